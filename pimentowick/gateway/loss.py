"""Counts requests and items that missed their deadlines, by cause.

Notes:
    Each online request and each item counts once, under one cause, so that the counts
    of a kind add up to its total of misses. Retries of a caller have different ids and
    count separately, since the logs do not link them. Requests that reached no gateway
    are not in the logs.
"""

import collections
import dataclasses

__all__ = [
    "MissCount",
    "count_misses",
    "explain_item",
    "explain_online",
    "format_misses",
]


# Events of requests that were refused before their route was known.
REFUSED_EVENTS = frozenset({"caller.refused", "caller.no_memory"})


@dataclasses.dataclass(frozen=True, slots=True)
class MissCount:
    """Number of missed deadlines for one cause.

    Attributes:
        kind: Kind of request as named by its route, or ``item``.
        cause: Cause in a few words.
        count: Number of requests or items that missed their deadlines.
        total: Number of all requests or items of this kind.
    """

    kind: str
    cause: str
    count: int
    total: int


def explain_online(id_lines):
    """Return (kind, cause) of an online request; the cause is "" if it was in time.

    Args:
        id_lines: The `pimentowick.gateway.history.Line` objects of its id, by time.
    """
    last = id_lines[-1]
    data = last.data
    kind = data.get("kind", "unknown")
    if last.event in REFUSED_EVENTS:
        return "unknown", f"refused: {data.get('outcome')}"
    if last.event in ("online.queued", "online.sent"):
        return kind, "its gateway terminated"
    if last.event == "online.left":
        return kind, "its caller disconnected"
    if data.get("in_time"):
        return kind, ""
    if data.get("outcome") != "answered":
        return kind, f"{data.get('outcome')}, status {data.get('status')}"
    return kind, _explain_late(id_lines)


def _explain_late(id_lines):
    sent = [line for line in id_lines if line.event == "online.sent"]
    if len(sent) > 1:
        return "late: its first target failed"
    if not sent:
        return "late"
    data = sent[0].data
    if (
        data["waited_s"]
        > (id_lines[-1].data["first_s"] or id_lines[-1].data["took_s"]) / 2
    ):
        return "late: waited for a slot"
    if data["online"] + data["batch"] >= data["slots"]:
        return "late: sent to a full target"
    return "late: slow at a target with free slots"


def explain_item(id_lines):
    """Return why an item missed its deadline, or "" if it was in time.

    Args:
        id_lines: The `pimentowick.gateway.history.Line` objects of its id, by time.
    """
    runs = [line for line in id_lines if line.event == "item.ran"]
    last = id_lines[-1]
    if last.event == "item.given_up":
        return f"given up: {last.data.get('outcome')}"
    if not runs or runs[-1].data.get("outcome") != "answered":
        return "not completed by the end of the log"
    due_in_s = runs[-1].data.get("due_in_s")
    if due_in_s is None or due_in_s >= 0:
        return ""
    return "late: " + _explain_late_item(id_lines, runs)


def _explain_late_item(id_lines, runs):
    processes = {line.process for line in id_lines}
    preemptions = sum(line.event == "item.preempted" for line in id_lines)
    failed_runs = sum(line.data.get("outcome") != "answered" for line in runs)
    sent = [line for line in id_lines if line.event == "item.sent"]
    if len(sent) > preemptions + len(runs):
        return "its gateway terminated or lost its partition"
    if len(processes) > 1:
        return "its partition was reassigned to another gateway"
    if failed_runs:
        return "a run failed"
    if sent and sent[0].data.get("due_in_s", 0.0) < 0:
        return "it started after it was due"
    if preemptions:
        return "it was preempted by online requests"
    return "waited for a slot"


def count_misses(lines):
    """Return the `MissCount` objects by kind, with the largest counts first.

    Args:
        lines: All `pimentowick.gateway.history.Line` objects, in order of time.
    """
    by_id = collections.defaultdict(list)
    for line in lines:
        if "id" in line.data:
            by_id[line.data["id"]].append(line)
    total = collections.Counter()
    missed = collections.Counter()
    for id_lines in by_id.values():
        classified = _explain(id_lines)
        if classified is None:
            continue
        kind, cause = classified
        total[kind] += 1
        if cause:
            missed[kind, cause] += 1
    return [
        MissCount(kind, cause, count, total[kind])
        for (kind, cause), count in sorted(
            missed.items(), key=lambda entry: (entry[0][0], -entry[1], entry[0][1])
        )
    ]


def _explain(id_lines):
    if id_lines[-1].event.startswith("item."):
        return "item", explain_item(id_lines)
    last = id_lines[-1].event
    if last.startswith("online.") or last in REFUSED_EVENTS:
        return explain_online(id_lines)
    return None


def format_misses(misses):
    """Return the counts as rows of text."""
    rows = []
    kind = None
    for miss in misses:
        if miss.kind != kind:
            kind = miss.kind
            total = sum(other.count for other in misses if other.kind == kind)
            rows.append(f"missed deadlines, {kind}: {total} of {miss.total}")
        rows.append(f"  {miss.count:5d}  {miss.cause}")
    return rows
