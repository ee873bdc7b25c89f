"""Reports of experiments, and comparisons of two reports."""

import collections
import dataclasses
import math

__all__ = [
    "Sample",
    "compare_reports",
    "format_report",
    "get_percentile",
    "make_report",
]

PERCENTILES = (50, 95, 99)
MEASURES = ("first_token_s", "between_tokens_s", "total_s")


@dataclasses.dataclass(slots=True)
class Sample:
    """Measurements of one online request.

    Attributes:
        traffic: Name of the stream of requests.
        outcome: ``answered``, ``wrong`` or the code of the refusal.
        verdict: Verdict of the refusal, or ``ran``.
        first_token_s: Time to the first token, in seconds, or None.
        total_s: Time to the end of the response, in seconds.
        gaps_s: Times between consecutive reads with tokens, in seconds.
        tokens: Number of received tokens.
    """

    traffic: str
    outcome: str
    verdict: str = "ran"
    first_token_s: float | None = None
    total_s: float = 0.0
    gaps_s: list = dataclasses.field(default_factory=list)
    tokens: int = 0


def get_percentile(values, percent):
    """Return a percentile by the nearest-rank method.

    Examples:
        >>> get_percentile([3, 1, 2, 4], 50)
        2
        >>> get_percentile([], 50) is None
        True
    """
    if not values:
        return None
    ordered = sorted(values)
    return ordered[max(0, math.ceil(len(ordered) * percent / 100) - 1)]


def make_report(samples, jobs, duration_s):
    """Return the report of an experiment as JSON data.

    Args:
        samples: List of `Sample`.
        jobs: Dictionary of job names to the job objects returned by the entry.
        duration_s: Duration of the experiment, in seconds.
    """
    groups = collections.defaultdict(list)
    for sample in samples:
        groups[sample.traffic].append(sample)
    return {
        "duration_s": duration_s,
        "traffic": {name: _summarise(group) for name, group in groups.items()},
        "jobs": jobs,
    }


def _summarise(group):
    answered = [sample for sample in group if sample.outcome == "answered"]
    values = {
        "first_token_s": [sample.first_token_s for sample in answered],
        "between_tokens_s": [gap for sample in answered for gap in sample.gaps_s],
        "total_s": [sample.total_s for sample in answered],
    }
    return {
        "requests": len(group),
        "outcomes": dict(collections.Counter(sample.outcome for sample in group)),
        "verdicts": dict(collections.Counter(sample.verdict for sample in group)),
        "tokens": sum(sample.tokens for sample in group),
        "percentiles": {
            measure: {str(p): get_percentile(values[measure], p) for p in PERCENTILES}
            for measure in MEASURES
        },
    }


def format_report(report):
    """Return a report as lines of text."""
    lines = []
    for name, traffic in report["traffic"].items():
        lines.append(f"{name}: {traffic['requests']} requests, {traffic['outcomes']}")
        for measure, values in traffic["percentiles"].items():
            cells = [f"p{p} {_format_ms(values[str(p)])}" for p in PERCENTILES]
            lines.append(f"  {measure.removesuffix('_s'):<16} {'  '.join(cells)}")
    for name, job in report["jobs"].items():
        lines.append(f"{name}: {job['status']}, {job['request_counts']}")
    return lines


def _format_ms(value):
    return "-" if value is None else f"{value * 1000:.1f} ms"


def compare_reports(base, other):
    """Return the ratios of the percentiles of `other` and `base` as lines of text.

    Examples:
        >>> def make(seconds):
        ...     sample = Sample("t", "answered", first_token_s=seconds, total_s=seconds)
        ...     return make_report([sample], {}, 1.0)
        >>> compare_reports(make(0.1), make(0.2))[0]
        't first_token: p50 2.00  p95 2.00  p99 2.00'
    """
    lines = []
    for name, traffic in base["traffic"].items():
        if name not in other["traffic"]:
            continue
        compared = other["traffic"][name]["percentiles"]
        for measure, values in traffic["percentiles"].items():
            cells = [
                f"p{p} {_format_ratio(values[str(p)], compared[measure][str(p)])}"
                for p in PERCENTILES
            ]
            lines.append(f"{name} {measure.removesuffix('_s')}: {'  '.join(cells)}")
    return lines


def _format_ratio(base, other):
    if not base or other is None:
        return "-"
    return f"{other / base:.2f}"
