"""Paired comparison of source trees by their plays of days of the users' bench.

Notes:
    A play is one run of a day, which is a workload of the bench with a seed, and is
    recorded in the journal of its tree. Plays by two trees of the same day, seed and
    deployment make a pair. A comparison gives the mean differences of the score (the
    worth) with its standard error, of its parts, of the penalties (the prices) and of
    the score of each kind of request. Incomplete plays are skipped.
"""

import dataclasses
import math
import pathlib
import statistics

import orjson

__all__ = ["Comparison", "Play", "compare", "make_table", "read_plays"]

# Smaller differences of penalties are not printed.
MIN_SHOWN_PENALTY = 0.0005


@dataclasses.dataclass(frozen=True, slots=True)
class Play:
    """The result of one play.

    Attributes:
        key: Deployment, name of the day and seed.
        worth: Score, without the effect of violated rules.
        violations: Number of violations by rule.
        parts: Score by part of the objective.
        prices: Penalties subtracted from the score, by cause.
        by_class: Score by kind of request, in the order of the deployment.
    """

    key: tuple
    worth: float
    violations: dict
    parts: dict
    prices: dict
    by_class: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """Differences of another tree to the first; negative if its values are lower.

    Attributes:
        pairs: Number of days played by both trees.
        worth: Mean difference of the score.
        error: Standard error of `worth`; infinite with one pair.
        by_day: Difference of the score by key of the day.
        parts: Mean difference of the score by part of the objective.
        prices: Mean difference of the penalties by cause.
        by_class: Mean difference of the score by kind of request.
    """

    pairs: int
    worth: float
    error: float
    by_day: dict
    parts: dict
    prices: dict
    by_class: tuple

    @property
    def is_clear(self):
        """Whether the difference is more than twice its standard error."""
        return abs(self.worth) > 2 * self.error


def read_plays(directory, since=""):
    """Return the newest play of each day in a journal, by key.

    Args:
        directory: Directory of the journal.
        since: Journal entries whose names sort before this are skipped.
    """
    plays = {}
    for path in sorted(pathlib.Path(directory).glob("*.json")):
        if path.name < since:
            continue
        entry = orjson.loads(path.read_bytes())
        if "--until" in entry.get("argv", ()):
            continue
        for day in entry.get("days") or ():
            if day.get("G") is None:
                continue
            play = _decode(entry.get("site"), day)
            plays[play.key] = play
    return plays


def _decode(site, day):
    return Play(
        key=(site, day["name"], day["seed"]),
        worth=day["G"],
        violations=day.get("rules") or {},
        parts={name: worth for name, _, worth in day.get("parts") or ()},
        prices={name: taken for name, _, taken in day.get("prices") or ()},
        by_class=tuple(worth or 0.0 for worth in day.get("by_class") or ()),
    )


def compare(first, other):
    """Return the `Comparison` of the plays of two trees, or None without a pair.

    Examples:
        >>> make = lambda seed, worth: Play(("s", "d", seed), worth, {}, {}, {}, ())
        >>> one = {make(n, 0.8).key: make(n, 0.8) for n in range(2)}
        >>> two = {make(n, 0.8).key: make(n, 0.9 + n / 10) for n in range(2)}
        >>> result = compare(one, two)
        >>> result.pairs, round(result.worth, 3), round(result.error, 3)
        (2, 0.15, 0.05)
    """
    keys = sorted(first.keys() & other.keys())
    if not keys:
        return None
    pairs = [(first[key], other[key]) for key in keys]
    by_day = {one.key: two.worth - one.worth for one, two in pairs}
    differences = list(by_day.values())
    error = math.inf
    if len(differences) > 1:
        error = statistics.stdev(differences) / math.sqrt(len(differences))
    return Comparison(
        pairs=len(pairs),
        worth=statistics.fmean(differences),
        error=error,
        by_day=by_day,
        parts=_compare_named(pairs, "parts"),
        prices=_compare_named(pairs, "prices"),
        by_class=tuple(
            statistics.fmean(values)
            for values in zip(
                *(
                    [b - a for a, b in zip(one.by_class, two.by_class, strict=False)]
                    for one, two in pairs
                ),
                strict=False,
            )
        ),
    )


def _compare_named(pairs, field):
    names = {name for pair in pairs for play in pair for name in getattr(play, field)}
    return {
        name: statistics.fmean(
            getattr(two, field).get(name, 0.0) - getattr(one, field).get(name, 0.0)
            for one, two in pairs
        )
        for name in sorted(names)
    }


def make_table(trees):
    """Return a text table that compares each tree with the first.

    Args:
        trees: Plays by name of the tree; the first tree is the baseline.
    """
    names = list(trees)
    keys = sorted({key for plays in trees.values() for key in plays})
    width = max([len(" ".join(map(str, key))) for key in keys], default=0)
    rows = [" " * width + "".join(f"  {name:>12}" for name in names)]
    for key in keys:
        cells = [_format(trees[name].get(key)) for name in names]
        label = " ".join(map(str, key))
        rows.append(f"{label:{width}}" + "".join(f"  {cell:>12}" for cell in cells))
    for name in names[1:]:
        comparison = compare(trees[names[0]], trees[name])
        if comparison is not None:
            rows += ["", *_describe(names[0], name, comparison)]
    return "\n".join(rows)


def _format(play):
    if play is None:
        return "-"
    return f"{play.worth:.3f}" + ("!" if play.violations else "")


def _describe(first, name, comparison):
    error = "-" if math.isinf(comparison.error) else f"{comparison.error:.4f}"
    verdict = "clear" if comparison.is_clear else "not clear"
    rows = [
        f"{name} less {first}: {comparison.worth:+.4f}, standard error {error}, "
        f"{comparison.pairs} pairs, {verdict}"
    ]
    rows += [f"  {part}: {value:+.4f}" for part, value in comparison.parts.items()]
    classes = " ".join(f"{value:+.4f}" for value in comparison.by_class)
    rows.append(f"  by kind of request: {classes}")
    rows += [
        f"  price of {cause}: {value:+.4f}"
        for cause, value in comparison.prices.items()
        if abs(value) >= MIN_SHOWN_PENALTY
    ]
    return rows
