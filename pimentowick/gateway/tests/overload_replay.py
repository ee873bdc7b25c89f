"""Replay of waves of requests at several entries, in virtual time."""

import collections
import dataclasses
import heapq
import itertools
import math
import random
import statistics

from pimentowick.gateway import admission
from pimentowick.gateway.policy import (
    batch_queue,
    latency_quantile,
    load_shedding,
    overload,
    request_order,
    retry_delay,
    returning_callers,
)
from pimentowick.scheduling import fairness

OBJECTIVE_S = 0.3
TIMEOUT_S = 5.0
SLOTS = 136
REPORT_S = 0.08
PERIOD_S = 6.6
LOW_S = 3.8
HOLD = (math.log(0.55), 0.9)
# Logarithmic mean and deviation of the time to the first event, by fill of the targets.
FAST = (math.log(0.026), 0.9)
FULL = (math.log(0.07), 1.5)
WORKSPACES = 40
# Start of the second wave; the lost targets are back after `LOSS_S`.
LOST_AT_S = PERIOD_S + LOW_S
LOSS_S = 4.0


@dataclasses.dataclass(frozen=True)
class Way:
    """A way to decide; the defaults are the one without this part."""

    order: str = "today"
    reserves: bool = False
    refuses_early: bool = False
    quantile: float | None = None

    @property
    def is_new(self):
        """Whether late requests wait apart from the others."""
        return self.reserves or self.refuses_early


TODAY = Way()
NEW = Way("newest", reserves=True, quantile=0.5)


@dataclasses.dataclass
class Caller:
    number: int
    workspace: str
    arrived_at: float
    attempts: int = 0
    started_at: float | None = None
    first_at: float = math.inf
    done_at: float = math.inf
    refusals: int = 0
    refused_at: float | None = None

    @property
    def key(self):
        """Stands for the fingerprint."""
        return f"{self.number:016x}"[::-1]


class Entry:
    def __init__(self):
        self.queue = []
        self.tags = fairness.StartTags()
        self.state = overload.OverloadState()
        self.latency = latency_quantile.LatencyQuantile(0.08)
        self.returning = returning_callers.ReturningCallers()
        self.hold_s = 0.5
        self.told = (0, 0)


def make_queue_state(room):
    return load_shedding.QueueState(
        room.slots, room.free_slots, room.in_time, room.hold_s
    )


class Replay:
    def __init__(self, way, seed, scale=1.6, entries=9, until_s=33.0, lost=0.0):
        self.way = way
        self.rng = random.Random(seed)
        self.scale = scale
        self.until_s = until_s
        self.lost = lost
        self.now = 0.0
        self.slots = SLOTS
        self.running = 0
        self.entries = [Entry() for _ in range(entries)]
        self.events = []
        self.order = itertools.count()
        self.callers = []
        self.max_queued = 0

    def schedule(self, delay, callback, *args):
        row = (self.now + delay, next(self.order), callback, args)
        heapq.heappush(self.events, row)

    def run(self):
        """Play all arrivals and what follows of them."""
        self.schedule(0.0, self.arrive)
        self.schedule(0.0, self.report)
        if self.lost:
            self.schedule(LOST_AT_S, self.lose)
        while self.events and self.now < self.until_s + TIMEOUT_S:
            self.now, _, callback, args = heapq.heappop(self.events)
            callback(*args)
        return self

    def arrive(self):
        level = 0.377 if self.now % PERIOD_S < LOW_S else 1.84
        interval_s = self.rng.expovariate(93 * self.scale * level)
        if self.now + interval_s < self.until_s:
            self.schedule(interval_s, self.arrive)
        # A few workspaces are large.
        number = int(WORKSPACES * self.rng.random() ** 1.5)
        caller = Caller(len(self.callers), f"w{number}", self.now)
        self.callers.append(caller)
        self.attempt(caller)

    def lose(self):
        """Lose a share of the slots; requests that hold one run to their end."""
        self.slots = round(self.slots * (1 - self.lost))
        self.schedule(LOSS_S, self.regain)

    def regain(self):
        self.slots = SLOTS

    def report(self):
        """Exchange what waits, and share the free slots."""
        self.schedule(REPORT_S, self.report)
        for entry in self.entries:
            entry.told = self.count(entry)
        reports = [entry.returning.build_report(self.now) for entry in self.entries]
        for entry in self.entries:
            for report in reports:
                entry.returning.merge(report, self.now)
        for entry in self.rng.sample(self.entries, len(self.entries)):
            self.grant_share(entry)
        queued = sum(len(entry.queue) for entry in self.entries)
        self.max_queued = max(self.max_queued, queued)

    def count(self, entry):
        late = 0
        if self.way.is_new:
            late = sum(overload.is_late(row[0], self.now) for row in entry.queue)
        return len(entry.queue) - late, late

    def make_room(self, entry):
        in_time, late = self.count(entry)
        for other in self.entries:
            if other is not entry:
                in_time += other.told[0]
                late += other.told[1]
        return overload.Room(
            self.slots,
            float(self.slots),
            max(0, self.slots - self.running),
            entry.hold_s,
            in_time,
            late,
            self.running / entry.hold_s * REPORT_S,
        )

    def attempt(self, caller):
        entry = self.rng.choice(self.entries)
        caller.attempts += 1
        received_at = self.now
        left_s = caller.arrived_at + TIMEOUT_S - self.now
        way = self.way
        start_s, wait_s = load_shedding.FIRST_EVENT_LATENCY_S, 0.45 * left_s
        first_at = None
        if way.quantile is not None:
            start_s = min(entry.latency.estimate(way.quantile), OBJECTIVE_S / 2)
            wait_s = left_s - entry.hold_s
            first_at = entry.returning.take(caller.key, self.now)
        objective_at = (received_at if first_at is None else first_at) + OBJECTIVE_S
        request = admission.SlotRequest(
            "s",
            (0, 0),
            objective_at - start_s,
            self.now + wait_s,
            workspace=caller.workspace,
            objective_at=objective_at,
            is_return=first_at is not None,
        )
        room = self.make_room(entry)
        if (
            not room.in_time
            and room.free_slots
            and not (way.is_new and overload.is_late(request, self.now))
        ):
            self.start(entry, caller)
            return
        if way.quantile is not None:
            slack_s = OBJECTIVE_S - start_s
            entry.state.update(room, slack_s, self.now)
            prospect, expected_s = entry.state.predict(room, request, self.now)
            is_refused = prospect == overload.Prospect.NONE
        else:
            state = make_queue_state(room)
            is_refused = load_shedding.should_shed(state, OBJECTIVE_S, left_s)
            expected_s = load_shedding.compute_retry_after(state)
        if is_refused:
            self.refuse(entry, caller, room, expected_s)
            return
        tag = entry.tags.assign(caller.workspace, 1.0)
        request = dataclasses.replace(request, start_tag=tag)
        row = (request, caller)
        entry.queue.append(row)
        self.schedule(wait_s, self.leave, entry, row)
        if way.refuses_early:
            self.schedule(OBJECTIVE_S - start_s, self.leave, entry, row)

    def leave(self, entry, row):
        if row in entry.queue:
            entry.queue.remove(row)
            room = self.make_room(entry)
            expected_s = load_shedding.compute_retry_after(make_queue_state(room))
            if self.way.quantile is not None:
                expected_s = entry.state.estimate_late_wait_s(
                    room, room.in_time, self.now
                )
            self.refuse(entry, row[1], room, expected_s)

    def refuse(self, entry, caller, room, expected_s):
        caller.refusals += 1
        caller.refused_at = self.now
        left_s = caller.arrived_at + TIMEOUT_S - self.now
        delay_s = expected_s
        if self.way.quantile is not None:
            entry.returning.record(
                caller.key, caller.arrived_at, self.now, caller.arrived_at + TIMEOUT_S
            )
            delay_s = retry_delay.compute_retry_after(
                expected_s,
                entry.returning.count_recent(self.now),
                overload.compute_room_per_s(room),
                left_s - entry.hold_s,
                self.rng.random,
            )
        if caller.attempts == 1 and delay_s is not None and delay_s <= left_s / 3:
            self.schedule(delay_s, self.attempt, caller)

    def start(self, entry, caller):
        caller.started_at = self.now
        is_full = self.running > 0.85 * self.slots
        self.running += 1
        latency_s = self.rng.lognormvariate(*(FULL if is_full else FAST))
        hold_s = self.rng.lognormvariate(*HOLD) + latency_s
        caller.first_at = self.now + latency_s
        caller.done_at = self.now + hold_s
        self.schedule(hold_s, self.finish, entry, hold_s, latency_s, is_full)

    def finish(self, entry, hold_s, latency_s, is_full):
        self.running -= 1
        entry.hold_s += 0.05 * (hold_s - entry.hold_s)
        if is_full:
            entry.latency.record(latency_s)
        if self.running < self.slots:
            self.grant(entry)

    def grant_share(self, entry):
        room = self.make_room(entry)
        if self.way.quantile is not None:
            slack_s = OBJECTIVE_S - entry.latency.estimate(self.way.quantile)
            entry.state.update(room, slack_s, self.now)
            entry.state.observe_load(room)
        own, own_late = self.count(entry)
        limit = batch_queue.compute_entry_share(
            room.free_slots, own, room.in_time - own, self.rng.random
        )
        self.grant(entry, limit)
        if own_late:
            room = self.make_room(entry)
            limit = batch_queue.compute_entry_share(
                entry.state.count_late_starts(room, self.now),
                own_late,
                room.late - own_late,
                self.rng.random,
            )
            late = [row for row in entry.queue if overload.is_late(row[0], self.now)]
            order = overload.order_late([row[0] for row in late])
            late = [late[position] for position in order]
            for row in late[:limit]:
                entry.queue.remove(row)
                self.start(entry, row[1])
            self.drop(entry, room, late[limit:])

    def drop(self, entry, room, late):
        requests = [row[0] for row in late]
        peers_late = room.late - len(late)
        for position in entry.state.list_unservable(
            room, requests, max(0, peers_late), self.now
        ):
            self.leave(entry, late[position])

    def grant(self, entry, limit=math.inf):
        way = self.way
        rows = list(entry.queue)
        if way.is_new:
            rows = [row for row in rows if not overload.is_late(row[0], self.now)]
        requests = [row[0] for row in rows]
        is_newest = way.order == "newest" and entry.state.is_overloaded
        if way.order == "today":
            key = request_order.compute_sort_key
            order = sorted(range(len(rows)), key=lambda n: key(requests[n], self.now))
            order = [(position, requests[position].start_tag) for position in order]
        else:
            order = overload.order_in_time(requests, is_newest)
        for position, tag in order:
            if limit < 1 or self.running >= self.slots:
                return
            limit -= 1
            entry.queue.remove(rows[position])
            entry.tags.record_served(tag)
            self.start(entry, rows[position][1])
        if not entry.queue:
            entry.tags.reset()

    def summarise(self):
        """Return the figures of the whole replay, as shares of all callers."""
        total = len(self.callers)
        in_time = [c for c in self.callers if c.first_at <= c.arrived_at + OBJECTIVE_S]
        done = [c for c in self.callers if c.done_at <= c.arrived_at + TIMEOUT_S]
        waits = sorted(
            c.started_at - c.arrived_at for c in self.callers if c.started_at
        )
        told = [
            c.refused_at - c.arrived_at
            for c in self.callers
            if c.started_at is None and c.refused_at is not None
        ]
        asked = collections.Counter(c.workspace for c in self.callers)
        served = collections.Counter(c.workspace for c in in_time)
        shares = [served[name] / count for name, count in asked.items()]
        squares = sum(share**2 for share in shares)
        both = len({c.number for c in in_time} & {c.number for c in done})
        return {
            "in_time": both / total,
            "late": (len(done) - both) / total,
            "unserved": 1 - len(done) / total,
            "refusals": sum(c.refusals for c in self.callers) / total,
            "told": statistics.fmean(told) if told else 0.0,
            "twice": sum(c.refusals > 1 for c in self.callers) / total,
            "wait_p50": waits[len(waits) // 2],
            "wait_p99": waits[int(len(waits) * 0.99)],
            "jain": sum(shares) ** 2 / (len(shares) * squares),
            "queued": self.max_queued,
        }


def compare(ways, seeds, **settings):
    """Return the mean and standard error of each figure, by way."""
    rows = {}
    for name, way in ways.items():
        runs = [Replay(way, seed, **settings).run().summarise() for seed in seeds]
        rows[name] = {
            key: (
                statistics.fmean(run[key] for run in runs),
                statistics.stdev(run[key] for run in runs) / len(runs) ** 0.5,
            )
            for key in runs[0]
        }
    return rows
