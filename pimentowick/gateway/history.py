"""Explains requests, items and jobs from the decision logs of several gateways.

Notes:
    Only log files are read. A line may have a prefix, such as a time and a host name,
    before its JSON object; the last word of the prefix names the process. Without a
    prefix the name of the file is used. Lines without a decision are only counted.
"""

import collections
import dataclasses
import pathlib

import orjson

from pimentowick.gateway import loss
from pimentowick.routing import quarantine

__all__ = [
    "Line",
    "explain",
    "explain_fingerprint",
    "find_related",
    "find_restart",
    "read_lines",
    "summarise",
]

# State changes this close to a request are shown as context.
CONTEXT_BEFORE_S = 5.0
CONTEXT_AFTER_S = 1.0
# The platform restarts a process within this time.
MAX_RESTART_S = 10.0
CONTEXT_EVENTS = (
    "feed.",
    "ownership.",
    "ledger.",
    "neighbour.",
    "configuration.",
    "gateway.",
)
SLOWEST_COUNT = 5
TOP_COUNT = 10
# A log that ends with one of these was cut off.
IN_PROGRESS_EVENTS = ("online.queued", "online.sent", "item.sent")
STREAM_REFUSALS = {
    "stream_unknown": (
        "its caller takes a stream up, and no gateway that was asked knows which "
        "software version began it (event stream.origin)."
    ),
    "stream_lost": (
        "its caller takes a stream up, and all gateways that could know which software "
        "version began it have answered that they don't (event stream.origin)."
    ),
    "stream_version_gone": (
        "its caller takes a stream up, and no target runs the software version that "
        "began it any more (event stream.origin)."
    ),
}
CALLER_EVENTS = (
    "caller.unidentified",
    "caller.over_quota",
    "caller.no_memory",
    "caller.unanswered",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of a decision log.

    Attributes:
        process: Name of the process that wrote the line.
        data: Fields of its JSON object.
    """

    process: str
    data: dict

    @property
    def time(self):
        """Unix time of the line."""
        return self.data["time"]

    @property
    def event(self):
        """Name of the event."""
        return self.data["event"]

    def to_text(self, start_time, shows_id=False):
        """Return the line as text.

        Args:
            start_time: Unix time that the time of the line is relative to.
            shows_id: Whether to include the identifier of the request or item.
        """
        skipped = ("time", "event") if shows_id else ("time", "event", "id")
        fields = [f"{k}={v}" for k, v in self.data.items() if k not in skipped]
        return f"{self.time - start_time:9.3f} s  {self.process}  {self.event}  " + (
            " ".join(fields)
        )


def read_lines(paths):
    """Return (lines in order of time, number of other lines) of the given files."""
    lines = []
    other_count = 0
    for path in map(pathlib.Path, paths):
        for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
            line = _parse(text, path.stem)
            if line is None:
                other_count += 1
            else:
                lines.append(line)
    return sorted(lines, key=lambda line: line.time), other_count


def _parse(text, name):
    before, brace, rest = text.partition("{")
    try:
        data = orjson.loads(brace + rest)
    except ValueError:
        return None
    if not isinstance(data.get("event"), str) or "time" not in data:
        return None
    words = before.split()
    return Line(words[-1] if words else name, data)


def find_related(lines, wanted_id):
    """Return (lines of an id, state changes of its processes around that time).

    Args:
        lines: All `Line` objects, in order of time.
        wanted_id: Identifier of a request, an item or a job, or a fingerprint.
    """
    id_lines = [line for line in lines if _has_id(wanted_id, line)]
    if not id_lines:
        return [], []
    begin, end = (
        id_lines[0].time - CONTEXT_BEFORE_S,
        id_lines[-1].time + CONTEXT_AFTER_S,
    )
    processes = {line.process for line in id_lines}
    targets = {line.data.get("target") for line in id_lines} - {None}
    context_lines = [
        line
        for line in lines
        if begin <= line.time <= end
        and line.process in processes
        and "id" not in line.data
        and (
            line.event.startswith(CONTEXT_EVENTS) or line.data.get("target") in targets
        )
    ]
    restart = find_restart(lines, id_lines[-1])
    if restart is not None and restart.time > end:
        context_lines.append(restart)
    return id_lines, context_lines


def _has_id(wanted_id, line):
    """Return whether a line has this id, with or without a workspace prefix.

    Lines of requests with a part of a prompt name it as such, or under the name by
    which it is quarantined.
    """
    names = [str(line.data.get(field)) for field in ("id", "job", "fingerprint")]
    names += line.data.get("quarantined") or ()
    if wanted_id.startswith(quarantine.PART_PREFIX):
        part = wanted_id.removeprefix(quarantine.PART_PREFIX).partition("@")[0]
        if part in (line.data.get("parts") or ()):
            return True
    return any(name == wanted_id or name.endswith(f":{wanted_id}") for name in names)


def find_restart(lines, last):
    """Return the start of a process soon after its last line, or None.

    Args:
        lines: All `Line` objects, in order of time.
        last: The last `Line` before the restart.
    """
    for line in lines:
        if line.time > last.time + MAX_RESTART_S:
            return None
        if line.time > last.time and line.process == last.process:
            if line.event == "gateway.started":
                return line
    return None


def explain(id_lines, context_lines):
    """Return the result of a request, item or job and its cause, in a few sentences."""
    if not id_lines:
        return "No log line has this id: none of these processes received it."
    last = id_lines[-1]
    if last.event in IN_PROGRESS_EVENTS:
        summary = _explain_unfinished(last, context_lines)
    elif last.event in CALLER_EVENTS:
        summary = _explain_caller(last)
    elif last.event == "caller.refused":
        summary = _explain_refused(last)
    elif last.event.startswith("online."):
        summary = _explain_online(last)
    elif last.event.startswith("item."):
        summary = _explain_item(id_lines)
    else:
        summary = _explain_job(id_lines)
    return " ".join([summary, *_explain_context(last, context_lines)])


def explain_fingerprint(id_lines, what="this request"):
    """Return what became of all attempts of one request, in a few sentences.

    Args:
        id_lines: All `Line` objects with its fingerprint, or with a part of prompts, in
            order of time.
        what: What their attempts have in common.
    """
    lost = [line for line in id_lines if line.event in ("online.lost", "item.lost")]
    targets = {line.data.get("target") for line in lost}
    processes = {line.process for line in lost}
    trials = sum(line.event == "quarantine.trial" for line in id_lines)
    refused = sum(
        line.event == "online.ended" and line.data.get("status") == 503
        for line in id_lines
    )
    is_released = any(line.event == "quarantine.released" for line in id_lines)
    end = "It completed afterwards and was released" if is_released else ""
    if not is_released:
        end = "It was not seen to complete afterwards"
    return (
        f"{len(targets)} targets broke off {len(lost)} runs of {what}, sent by "
        f"{len(processes)} gateways. {trials} runs were trials, and {refused} attempts "
        f"were refused without having run. {end}."
    )


def _explain_unfinished(last, context_lines):
    """Explain a request or item whose log ends while it was in progress."""
    data = last.data
    where = f"was queued for a slot of {data.get('service')}"
    if last.event.endswith(".sent"):
        where = f"was at target {data.get('target')}, so it may have run"
    restarts = [
        line
        for line in context_lines
        if line.event == "gateway.started" and line.time > last.time
    ]
    if not restarts:
        return f"The logs contain no outcome. Its last line says that it {where}."
    after_s = restarts[-1].time - last.time
    return (
        f"Gateway {last.process} terminated while it {where}. The gateway restarted "
        f"{after_s:.3f} s later and has no record of it."
    )


def _explain_caller(line):
    """Explain why a request was refused because of its key or its workspace."""
    data = line.data
    if line.event == "caller.unanswered":
        return (
            f"Gateway {line.process} closed its connection after {data['took_s']:.3f} "
            f"s without a complete response ({data.get('outcome')})."
        )
    version_text = f"version {data.get('configuration')} of the configuration"
    age_s = data.get("age_s")
    if age_s is not None:
        version_text += f", {age_s:.1f} s old"
    reasons = {
        "key_missing": "It was refused with 401: it has no readable API key.",
        "key_unknown": (
            f"It was refused with 401: no workspace has its API key in {version_text}. "
            "The key was revoked or never issued."
        ),
        "key_unsure": (
            f"It was refused with 503 without having run: no workspace has its API "
            f"key in {version_text}, and the store did not answer whether a newer "
            "version exists."
        ),
        "configuration_old": (
            f"It was refused with 503 without having run: gateway {line.process} has "
            f"{version_text}, and keys may have been revoked since."
        ),
        "rate_limit": (
            "It was refused with 429 without having run: workspace "
            f"{data.get('workspace')} exceeded its rate limit of "
            f"{data.get('rate_per_s')} requests per second and its burst limit of "
            f"{data.get('burst')} requests."
        ),
        "no_memory": (
            f"It was refused with 503 without having run: gateway {line.process} had "
            f"no memory for its body, with {data.get('held_bytes')} of "
            f"{data.get('capacity_bytes')} bytes held, {data.get('held_for_caller')} "
            "of them for this caller."
        ),
    }
    return reasons.get(data.get("outcome"), _explain_refused(line))


def _explain_refused(line):
    data = line.data
    if data.get("outcome") == "not_ready":
        return (
            f"It was refused with {data.get('status')} without having run: gateway "
            f"{line.process} had not read a configuration yet."
        )
    return (
        f"It was refused with {data.get('status')} ({data.get('outcome')}) before a "
        "target was chosen."
    )


def _explain_online(line):
    data = line.data
    outcome = data.get("outcome")
    target = data.get("target")
    if line.event == "online.no_route":
        version, age = data.get("configuration"), data.get("age_s", 0.0)
        return (
            f"No route matches its host and path in version {version} of the "
            f"configuration, {age:.1f} s old."
        )
    if line.event == "online.left":
        return f"Its caller disconnected after {data['took_s']:.3f} s."
    if outcome == "answered":
        return _explain_answer(data)
    if outcome == "quarantined" and data.get("status") == 503:
        return (
            f"It was refused after {data['took_s']:.3f} s without having run: targets "
            f"{', '.join(data['crashed'])} crashed under this request or a part of its "
            f"prompt, and {data['trials']} trials since did not complete. The next "
            f"trial may start {data['retry_after_s']:.1f} s later. Trace "
            f"{_list_traced(data)} for all such attempts."
        )
    if outcome in STREAM_REFUSALS:
        return (
            f"It was refused after {data['took_s']:.3f} s without having run: "
            f"{STREAM_REFUSALS[outcome]}"
        )
    if data.get("status") == 503:
        return (
            f"It was refused after {data['took_s']:.3f} s without having run: "
            f"{data['waiting']} requests were queued for {data['places']} slots of "
            f"{data['service']}, {data['free']} of them free; targets had rejected it "
            f"{data['refusals']} times.{_explain_turning_away(data)}"
        )
    if outcome in ("timeout", "timeout_midway"):
        return (
            f"It timed out after {data['took_s']:.3f} s at target {target}, with "
            f"{data['events']} events forwarded."
        )
    return (
        f"Target {target} received it and the response was lost ({outcome}); it may "
        f"have run {data['runs']} times."
    )


def _list_traced(data):
    names = data.get("quarantined") or [data["fingerprint"]]
    kinds = [
        name if name.startswith(quarantine.PART_PREFIX) else f"fingerprint {name}"
        for name in names
    ]
    return " and ".join(kinds)


def _explain_turning_away(data):
    """Return why a request was refused in an overload, or "" if it was not."""
    if "turned_away" not in data:
        return ""
    retry_after_s = data["retry_after_s"]
    returned = "again " if data["returned"] else ""
    if retry_after_s is None:
        advice = "too late for a retry"
    else:
        advice = f"so that it should come back after {retry_after_s:.2f} s"
    expected_s = data["expected_s"]
    expected = "not known" if expected_s is None else f"{expected_s:.2f} s away"
    return (
        f" Its caller was turned away {returned}({data['turned_away']}): room was "
        f"{expected}, with {data['left_s']:.2f} s left to its caller, {advice}."
    )


def _explain_answer(data):
    waited = data.get("waited_s") or 0.0
    first = data.get("first_s")
    first_event_text = (
        "" if first is None else f" and {first - waited:.3f} s for the first event"
    )
    return (
        f"It was answered with {data['status']} after {data['took_s']:.3f} s: it "
        f"waited {waited:.3f} s for a slot{first_event_text}."
    )


def _explain_item(id_lines):
    counts = collections.Counter(line.event for line in id_lines)
    processes = {line.process for line in id_lines}
    last_event, last = id_lines[-1].event, id_lines[-1].data
    ends = {
        "item.given_up": f"It was given up ({last.get('outcome')}).",
        "item.delayed": f"It was delayed by an error: {last.get('why')}",
    }
    end = ends.get(last_event)
    if last_event == "item.waiting":
        end = (
            f"It has waited for {last['waited_s']:.1f} s ({last.get('outcome')}): "
            f"{last['usable']} of {last['targets']} targets of {last['service']} are "
            f"usable, with {last['slots']} slots, {last['online']} online requests "
            f"and {last['batch']} items."
        )
    if last_event == "item.quarantined":
        end = (
            f"It waits: targets {', '.join(last['crashed'])} crashed under it, and "
            f"{last['trials']} trials since did not complete it."
        )
    if end is None and last.get("outcome") == "answered":
        end = f"Its last run completed, at target {last.get('target')}."
    if end is None:
        end = f"Its last run did not complete ({last.get('outcome', last_event)})."
    runs = counts["item.ran"] + counts["item.preempted"]
    return (
        f"{end} It ran {runs} times at {len(processes)} gateways and was preempted by "
        f"online requests {counts['item.preempted']} times."
    )


def _explain_job(id_lines):
    first = next(
        (line for line in id_lines if line.event.startswith("batch.")), id_lines[0]
    )
    items = {line.data["id"] for line in id_lines if line.event.startswith("item.")}
    last = id_lines[-1]
    return (
        f"The first event of the job is {first.event} "
        f"({first.data.get('outcome', '')}); lines of {len(items)} items follow, and "
        f"the last event is {last.event}."
    )


def _explain_context(last, context_lines):
    counts = collections.Counter(line.event for line in context_lines)
    sentences = []
    started = [line for line in context_lines if line.event == "gateway.started"]
    if started and started[-1].time <= last.time:
        ago_s = last.time - started[-1].time
        sentences.append(f"The gateway had been started {ago_s:.3f} s before.")
    if counts["feed.lost"]:
        sentences.append("The store could not be read at that time.")
    if counts["ledger.delayed"]:
        sentences.append("Appends to the store failed at that time.")
    if counts["ownership.changed"]:
        sentences.append("The partitions of the batch jobs were reassigned.")
    paused = [line for line in context_lines if line.event == "target.paused"]
    if paused:
        why = paused[-1].data.get("why")
        sentences.append(f"Its target was paused after {why}.")
    if counts["target.gone"]:
        sentences.append("Its target was no longer listed.")
    if counts["gateway.draining"]:
        sentences.append("The gateway was shutting down.")
    return sentences


def summarise(lines, other_count=0):
    """Return a summary as rows of text: outcomes, latencies and missed deadlines.

    Args:
        lines: All `Line` objects, in order of time.
        other_count: Number of lines without a decision.
    """
    if not lines:
        return ["no decisions"]
    start_time = lines[0].time
    online = [line for line in lines if line.event == "online.ended"]
    rows = [
        f"{len(lines)} decisions of {len({line.process for line in lines})} processes "
        f"in {lines[-1].time - start_time:.1f} s, {other_count} other lines",
        "online requests by outcome: " + _format_counts(online, "outcome"),
        "  by status: " + _format_counts(online, "status"),
    ]
    for name, get_value in (
        ("waited for a slot", lambda data: data.get("waited_s")),
        ("first event", lambda data: data.get("first_s")),
        ("complete response", lambda data: data.get("took_s")),
    ):
        rows.append(
            f"  {name}: " + _format_quantiles([get_value(line.data) for line in online])
        )
    slowest = sorted(online, key=lambda line: -(line.data.get("first_s") or 0.0))
    for line in slowest[:SLOWEST_COUNT]:
        rows.append(
            f"  slow: id {line.data['id']} first event {line.data.get('first_s')} s, "
            f"waited {line.data.get('waited_s')} s, target {line.data.get('target')}"
        )
    items = [line for line in lines if line.event.startswith("item.")]
    rows.extend(loss.format_misses(loss.count_misses(lines)))
    rows.append("items by event: " + _format_counts(items, "event"))
    runs = [line for line in items if line.event == "item.ran"]
    rows.append("  runs by outcome: " + _format_counts(runs, "outcome"))
    jobs = [line for line in lines if line.event.startswith("batch.")]
    rows.append("jobs by event: " + _format_counts(jobs, "event"))
    state_changes = [line for line in lines if "id" not in line.data]
    rows.append("state changes by event: " + _format_counts(state_changes, "event"))
    for line in state_changes:
        if line.event in ("feed.regained", "log.dropped"):
            rows.append("  " + line.to_text(start_time).strip())
    return rows


def _format_counts(lines, field):
    counts = collections.Counter(str(line.data.get(field)) for line in lines)
    return ", ".join(f"{k} {n}" for k, n in counts.most_common(TOP_COUNT)) or "none"


def _format_quantiles(values):
    ordered = sorted(value for value in values if value is not None)
    if not ordered:
        return "none"
    ranks = (
        (share, ordered[int(share * (len(ordered) - 1))]) for share in (0.5, 0.95, 1)
    )
    return ", ".join(f"{share:.0%} within {value:.3f} s" for share, value in ranks)
