"""What the decision logs of several gateways say of one request, or of a day.

Notes:
    Only the logs are read. A line may begin with anything, such as a time and the
    name of the host, before its JSON object; without that the file's name stands for
    the process. Lines of other programs are passed over and counted.
"""

import collections
import dataclasses
import pathlib

import orjson

from pimentowick.gateway import loss

__all__ = [
    "Line",
    "explain",
    "find_related",
    "find_restart",
    "read_lines",
    "summarise",
]

# What a gateway came to believe this long before a request may have decided it.
BEFORE_S = 5.0
AFTER_S = 1.0
# The platform starts a process again within seconds of its end.
RESTART_S = 10.0
CONTEXT = ("feed.", "ownership.", "ledger.", "neighbour.", "configuration.", "gateway.")
SLOWEST = 5
COMMON = 10
# Lines of something that is not over yet.
UNDER_WAY = ("online.queued", "online.sent", "item.sent")
EXPLAINED_CALLERS = ("caller.unidentified", "caller.over_quota")


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of a log.

    Attributes:
        process: Name of the process that wrote it.
        data: Its fields.
    """

    process: str
    data: dict

    @property
    def time(self):
        """Unix time at which it was written."""
        return self.data["time"]

    @property
    def event(self):
        """What was decided."""
        return self.data["event"]

    def to_text(self, begin):
        """Return the line with its time counted from `begin`."""
        skipped = ("time", "event", "id")
        fields = [f"{k}={v}" for k, v in self.data.items() if k not in skipped]
        return f"{self.time - begin:9.3f} s  {self.process}  {self.event}  " + (
            " ".join(fields)
        )


def read_lines(paths):
    """Return (lines in order of time, number of others) of some files."""
    found = []
    others = 0
    for path in map(pathlib.Path, paths):
        for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
            line = _parse(text, path.stem)
            if line is None:
                others += 1
            else:
                found.append(line)
    return sorted(found, key=lambda line: line.time), others


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


def find_related(lines, wanted):
    """Return (lines of an id, lines of what its processes believed around them).

    Args:
        lines: All `Line` objects, in order of time.
        wanted: Identifier of a request, an item or a job.
    """
    own = [line for line in lines if _is_named(wanted, line)]
    if not own:
        return [], []
    begin, end = own[0].time - BEFORE_S, own[-1].time + AFTER_S
    processes = {line.process for line in own}
    targets = {line.data.get("target") for line in own} - {None}
    around = [
        line
        for line in lines
        if begin <= line.time <= end
        and line.process in processes
        and "id" not in line.data
        and (line.event.startswith(CONTEXT) or line.data.get("target") in targets)
    ]
    restart = find_restart(lines, own[-1])
    if restart is not None and restart.time > end:
        around.append(restart)
    return own, around


def _is_named(wanted, line):
    """Return whether a line is of an id; jobs stand with their workspace before it."""
    names = [str(line.data.get("id")), str(_get_job(line))]
    return any(name == wanted or name.endswith(f":{wanted}") for name in names)


def find_restart(lines, last):
    """Return the line with which a process started again soon after another, or None.

    Args:
        lines: All `Line` objects, in order of time.
        last: The `Line` after which it was started again.
    """
    for line in lines:
        if line.time > last.time + RESTART_S:
            return None
        if line.time > last.time and line.process == last.process:
            if line.event == "gateway.started":
                return line
    return None


def _get_job(line):
    return line.data.get("job")


def explain(own, around):
    """Return in a sentence or two what became of a request, item or job, and why."""
    if not own:
        return "No line names this id: it came to none of these processes."
    last = own[-1]
    if last.event in UNDER_WAY:
        found = _explain_cut(last, around)
    elif last.event in EXPLAINED_CALLERS:
        found = _explain_caller(last)
    elif last.event == "caller.refused":
        found = _explain_refused(last)
    elif last.event.startswith("online."):
        found = _explain_online(last)
    elif last.event.startswith("item."):
        found = _explain_item(own)
    else:
        found = _explain_job(own)
    return " ".join([found, *_explain_around(last, around)])


def _explain_cut(last, around):
    """Return what became of a request whose log ends while it was under way."""
    data = last.data
    where = f"waited for a place of {data.get('service')}"
    if last.event.endswith(".sent"):
        where = f"was at target {data.get('target')}, so that it may have run"
    restarts = [
        line
        for line in around
        if line.event == "gateway.started" and line.time > last.time
    ]
    if not restarts:
        return f"No line tells its end. The last one says that it {where}."
    after_s = restarts[-1].time - last.time
    return (
        f"Gateway {last.process} ended while it {where}: the gateway was started "
        f"again {after_s:.3f} s later and knows nothing of it."
    )


def _explain_caller(line):
    """Return why a request was refused for what its workspace is or has sent."""
    data = line.data
    known = f"version {data.get('configuration')} of the configuration"
    age_s = data.get("age_s")
    if age_s is not None:
        known += f", {age_s:.1f} s old"
    reasons = {
        "key_missing": "It was refused with 401: it carried no key that can be read.",
        "key_unknown": (
            f"It was refused with 401: no workspace has its key in {known}. The key "
            "was taken away, or never given."
        ),
        "key_unsure": (
            f"It was refused with 503 without having run: no workspace has its key in "
            f"{known}, and the store did not say whether there is a newer one."
        ),
        "configuration_old": (
            f"It was refused with 503 without having run: gateway {line.process} knows "
            f"{known}, and a key may have been taken away since."
        ),
        "rate_limit": (
            "It was refused with 429 without having run: workspace "
            f"{data.get('workspace')} sends more than {data.get('rate_per_s')} "
            f"requests a second and {data.get('burst')} at once."
        ),
    }
    return reasons.get(data.get("outcome"), _explain_refused(line))


def _explain_refused(line):
    data = line.data
    if data.get("outcome") == "not_ready":
        return (
            f"It was refused with {data.get('status')} without having run: gateway "
            f"{line.process} knew no configuration yet."
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
            f"No route takes its host and path in version {version}, {age:.1f} s old."
        )
    if line.event == "online.left":
        return f"Its caller left after {data['took_s']:.3f} s."
    if outcome == "answered":
        return _explain_answer(data)
    if data.get("status") == 503:
        return (
            f"It was refused after {data['took_s']:.3f} s without having run: "
            f"{data['waiting']} requests waited for {data['places']} places of "
            f"{data['service']}, {data['free']} of them free; targets had turned it "
            f"away {data['refusals']} times."
        )
    if outcome in ("timeout", "timeout_midway"):
        return (
            f"Its time was up after {data['took_s']:.3f} s at target {target}, with "
            f"{data['events']} events passed on."
        )
    return (
        f"Target {target} took it and the answer was lost ({outcome}); it may have "
        f"run, and {data['runs']} targets got it."
    )


def _explain_answer(data):
    waited = data.get("waited_s") or 0.0
    first = data.get("first_s")
    at_target = "" if first is None else f", {first - waited:.3f} s at the target"
    return (
        f"It was answered with {data['status']} after {data['took_s']:.3f} s: it "
        f"waited {waited:.3f} s for a place{at_target} until the first event."
    )


def _explain_item(own):
    counts = collections.Counter(line.event for line in own)
    processes = {line.process for line in own}
    last = own[-1].data
    ends = {
        "item.given_up": f"It was given up ({last.get('outcome')}).",
        "item.delayed": f"Its text could not be recorded: {last.get('why')}",
    }
    end = ends.get(own[-1].event)
    if end is None and last.get("outcome") == "answered":
        end = f"Its last run was whole, at target {last.get('target')}."
    if end is None:
        end = f"Its last run broke off ({last.get('outcome', own[-1].event)})."
    runs = counts["item.ran"] + counts["item.preempted"]
    return (
        f"{end} It ran {runs} times at {len(processes)} gateways, and gave its place "
        f"to online requests {counts['item.preempted']} times."
    )


def _explain_job(own):
    first = next((line for line in own if line.event.startswith("batch.")), own[0])
    items = {line.data["id"] for line in own if line.event.startswith("item.")}
    last = own[-1]
    return (
        f"The job got {first.event} ({first.data.get('outcome', '')}); lines of "
        f"{len(items)} items follow, the last one {last.event}."
    )


def _explain_around(last, around):
    counts = collections.Counter(line.event for line in around)
    found = []
    started = [line for line in around if line.event == "gateway.started"]
    if started and started[-1].time <= last.time:
        ago_s = last.time - started[-1].time
        found.append(f"The gateway had been started {ago_s:.3f} s before.")
    if counts["feed.lost"]:
        found.append("The store could not be read then.")
    if counts["ledger.delayed"]:
        found.append("The store took no appends then.")
    if counts["ownership.changed"]:
        found.append("The parts of the batch work were dealt anew.")
    paused = [line for line in around if line.event == "target.paused"]
    if paused:
        why = paused[-1].data.get("why")
        found.append(f"Its target rested after {why}.")
    if counts["target.gone"]:
        found.append("Its target was gone from the list.")
    if counts["gateway.draining"]:
        found.append("The gateway was told to stop.")
    return found


def summarise(lines, others=0):
    """Return a day's lines in a few rows: what ended how, and what was lost.

    Args:
        lines: All `Line` objects, in order of time.
        others: Number of lines that were no decisions.
    """
    if not lines:
        return ["no decisions"]
    begin = lines[0].time
    online = [line for line in lines if line.event == "online.ended"]
    rows = [
        f"{len(lines)} decisions of {len({line.process for line in lines})} processes "
        f"in {lines[-1].time - begin:.1f} s, {others} other lines",
        "online requests by outcome: " + _count(online, "outcome"),
        "  by status: " + _count(online, "status"),
    ]
    for name, kept in (
        ("waited for a place", lambda data: data.get("waited_s")),
        ("first event", lambda data: data.get("first_s")),
        ("whole", lambda data: data.get("took_s")),
    ):
        rows.append(f"  {name}: " + _rank([kept(line.data) for line in online]))
    slowest = sorted(online, key=lambda line: -(line.data.get("first_s") or 0.0))
    for line in slowest[:SLOWEST]:
        rows.append(
            f"  slow: id {line.data['id']} first event {line.data.get('first_s')} s, "
            f"waited {line.data.get('waited_s')} s, target {line.data.get('target')}"
        )
    items = [line for line in lines if line.event.startswith("item.")]
    rows.extend(loss.to_rows(loss.list_losses(lines)))
    rows.append("items by event: " + _count(items, "event"))
    runs = [line for line in items if line.event == "item.ran"]
    rows.append("  runs by outcome: " + _count(runs, "outcome"))
    refused = [line for line in lines if line.event.startswith("batch.")]
    rows.append("jobs by event: " + _count(refused, "event"))
    beliefs = [line for line in lines if "id" not in line.data]
    rows.append("beliefs by event: " + _count(beliefs, "event"))
    for line in beliefs:
        if line.event in ("feed.regained", "log.dropped"):
            rows.append("  " + line.to_text(begin).strip())
    return rows


def _count(lines, field):
    counts = collections.Counter(str(line.data.get(field)) for line in lines)
    return ", ".join(f"{k} {n}" for k, n in counts.most_common(COMMON)) or "none"


def _rank(values):
    found = sorted(value for value in values if value is not None)
    if not found:
        return "none"
    ranks = ((share, found[int(share * (len(found) - 1))]) for share in (0.5, 0.95, 1))
    return ", ".join(f"{share:.0%} within {value:.3f} s" for share, value in ranks)
