"""What was late or failed in a day, by cause, from the gateways' decision logs.

Notes:
    Each online request and each batch item counts once, under one cause, so that the
    causes of a kind add up to what was not in time. Attempts of one caller carry
    different ids and count each: the logs cannot tell that they belong together.
    Callers that reached no gateway at all have no line and are missing here.
"""

import collections
import dataclasses

__all__ = ["Loss", "explain_item", "explain_online", "list_losses", "to_rows"]


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """What was not in time for one cause.

    Attributes:
        kind: Kind of request, as the routes name it, or ``item``.
        cause: Why, in a few words.
        count: Number of requests or items.
        asked: Number of all of this kind.
    """

    kind: str
    cause: str
    count: int
    asked: int


def explain_online(own):
    """Return (kind, cause) of an online request; the cause is "" if it was in time.

    Args:
        own: The `pimentowick.gateway.history.Line` objects of its id, by time.
    """
    last = own[-1]
    data = last.data
    kind = data.get("kind", "unknown")
    if last.event == "caller.refused":
        return "unknown", f"refused: {data.get('outcome')}"
    if last.event in ("online.queued", "online.sent"):
        return kind, "its gateway ended"
    if last.event == "online.left":
        return kind, "its caller left"
    if data.get("in_time"):
        return kind, ""
    if data.get("outcome") != "answered":
        return kind, f"{data.get('outcome')}, status {data.get('status')}"
    return kind, _explain_late(own)


def _explain_late(own):
    sent = [line for line in own if line.event == "online.sent"]
    if len(sent) > 1:
        return "late: its first target failed"
    if not sent:
        return "late"
    data = sent[0].data
    if data["waited_s"] > (own[-1].data["first_s"] or own[-1].data["took_s"]) / 2:
        return "late: waited for a place"
    if data["online"] + data["batch"] >= data["slots"]:
        return "late: sent to a full target"
    return "late: slow at a target with free places"


def explain_item(own):
    """Return the cause for which an item was late, "" if it was in time.

    Args:
        own: The lines of its id, by time.
    """
    runs = [line for line in own if line.event == "item.ran"]
    last = own[-1]
    if last.event == "item.given_up":
        return f"given up: {last.data.get('outcome')}"
    if not runs or runs[-1].data.get("outcome") != "answered":
        return "not done by the end of the log"
    due_in_s = runs[-1].data.get("due_in_s")
    if due_in_s is None or due_in_s >= 0:
        return ""
    return "late: " + _explain_late_item(own, runs)


def _explain_late_item(own, runs):
    processes = {line.process for line in own}
    preemptions = sum(line.event == "item.preempted" for line in own)
    broken = sum(line.data.get("outcome") != "answered" for line in runs)
    sent = [line for line in own if line.event == "item.sent"]
    if len(sent) > preemptions + len(runs):
        return "its gateway ended or lost its part"
    if len(processes) > 1:
        return "its part was dealt to another gateway"
    if broken:
        return "a target broke off"
    if sent and sent[0].data.get("due_in_s", 0.0) < 0:
        return "it began after it was due"
    if preemptions:
        return "it gave its place to online requests"
    return "waited for a place"


def list_losses(lines):
    """Return the `Loss` objects of a day, the largest of each kind first.

    Args:
        lines: All `pimentowick.gateway.history.Line` objects, in order of time.
    """
    by_id = collections.defaultdict(list)
    for line in lines:
        if "id" in line.data:
            by_id[line.data["id"]].append(line)
    asked = collections.Counter()
    lost = collections.Counter()
    for own in by_id.values():
        found = _explain(own)
        if found is None:
            continue
        kind, cause = found
        asked[kind] += 1
        if cause:
            lost[kind, cause] += 1
    return [
        Loss(kind, cause, count, asked[kind])
        for (kind, cause), count in sorted(
            lost.items(), key=lambda entry: (entry[0][0], -entry[1], entry[0][1])
        )
    ]


def _explain(own):
    if own[-1].event.startswith("item."):
        return "item", explain_item(own)
    if own[-1].event.startswith("online.") or own[-1].event == "caller.refused":
        return explain_online(own)
    return None


def to_rows(losses):
    """Return a day's losses as rows of text."""
    rows = []
    kind = None
    for entry in losses:
        if entry.kind != kind:
            kind = entry.kind
            total = sum(other.count for other in losses if other.kind == kind)
            rows.append(f"not in time, {kind}: {total} of {entry.asked}")
        rows.append(f"  {entry.count:5d}  {entry.cause}")
    return rows
