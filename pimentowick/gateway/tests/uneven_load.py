"""Waves of requests before targets of uneven speed, replayed in virtual time.

Entries know what others sent only after a delay. A target works on its requests in the
order of their arrival, as many at once as it has slots.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from pimentowick.gateway import target
from pimentowick.gateway.policy import batch_queue, delay_choice, target_choice

SLOTS = 8
DOMAINS = 3
# Time until the first event and until the end at a target of the usual speed.
FIRST_EVENT_S = 0.025
HOLD_S = 0.63
OBJECTIVE_S = 0.311
START_S = 0.08
WAIT_LIMIT_S = 2.3
PERIOD_S = 6.6
TROUGH_S = 3.8
TROUGH, PEAK = 0.377, 1.84
NOISE_S = 0.6
SLOWDOWN = 2.5
JOB_ITEMS = 10
DUE_S = 18.0
ITEM_S = 4.3
SCHEDULE_S = 0.05
HOT_QUANTILE = 0.84
PROBES = 3


@dataclasses.dataclass(frozen=True)
class Load:
    """Demand and targets of a replay; the requests are those per second on average."""

    speeds: tuple = (0.7, 0.7, 1.7)
    noise: float = 0.15
    requests_per_s: float = 103.0
    jobs_per_s: float = 1.0
    targets: int = 20
    entries: int = 28
    lag_s: tuple = (0.02, 0.08)
    loss: float = 0.0
    duration_s: float = 20.0
    is_stream: bool = True
    are_speeds_known: bool = True


@dataclasses.dataclass(eq=False)
class Work:
    """A request or an item; times are those of the replay, in seconds."""

    entry: int
    arrived_at: float
    is_batch: bool = False
    work_s: float = HOLD_S
    number: int = -1
    first_event_at: float = float("inf")
    done_s: float = 0.0
    started_at: float | None = None
    runs: int = 0
    is_gone: bool = False
    sent_at: float = 0.0
    chosen: int = -1
    queued_there: bool = False


class SpeedWeightedChoice(delay_choice.SampledChoice):
    """Draws a target by room and speed."""

    def _choose_from(self, sample, situation, rng):
        return delay_choice.Selection(delay_choice.draw(sample.candidates, rng).target)


class HotColdChoice(delay_choice.SampledChoice):
    """Takes the fastest of some targets that are not hot, else the least loaded.

    References:
        B. Wydrowski et al., "Load is not what you should balance: introducing Prequal",
        2024.
    """

    def _choose_from(self, sample, situation, rng):
        loads = sorted(each.target.total_online for each in sample.candidates)
        limit = loads[int(HOT_QUANTILE * (len(loads) - 1))]
        drawn = rng.sample(sample.candidates, min(PROBES, len(sample.candidates)))
        cold = [each for each in drawn if each.target.total_online <= limit]
        if cold:
            chosen = max(cold, key=lambda each: (each.speed, each.unused))
        else:
            chosen = min(drawn, key=lambda each: each.target.total_online)
        return delay_choice.Selection(chosen.target)


class Replay:
    """Plays a `Load` with a `delay_choice.Choice`."""

    def __init__(self, load, choice, seed, are_items_placed_by_due_time=True):
        self.load, self.choice = load, choice
        self.are_items_placed_by_due_time = are_items_placed_by_due_time
        # The demand is the same for all choices.
        self.demand_rng, self.job_rng, self.noise_rng, self.rng, self.choice_rng = (
            random.Random(5 * seed + n) for n in range(5)
        )
        self.now = 0.0
        self.events, self.order = [], itertools.count()
        self.views = [
            target.Target(
                target.Registration(
                    f"t{n}", "s", "127.0.0.1", 1, f"d{n // 3 % DOMAINS}", 8
                )
            )
            for n in range(load.targets)
        ]
        self.speeds = [load.speeds[n % len(load.speeds)] for n in range(load.targets)]
        for view, speed in zip(self.views, self.speeds, strict=True):
            view.relative_speed = speed if load.are_speeds_known else 1.0
        self.online = [0] * load.targets
        self.batch = [0] * load.targets
        self.own = collections.Counter()
        self.changes = collections.deque()
        self.released = collections.defaultdict(list)
        self.running = [[] for _ in range(load.targets)]
        self.backlog = [[] for _ in range(load.targets)]
        self.slow = {}
        self.queues = [[] for _ in range(load.entries)]
        self.next_grant_at = [0.0] * load.entries
        self.items = []
        self.requests, self.sent, self.finished_items = [], [], []
        self.offered_items = 0
        self.hold_s = HOLD_S

    def schedule(self, delay_s, callback, *args):
        event = (self.now + delay_s, next(self.order), callback, args)
        heapq.heappush(self.events, event)

    def run(self):
        self.schedule(0.0, self.on_arrival)
        self.schedule(0.0, self.run_batch)
        if self.load.jobs_per_s:
            self.schedule(0.0, self.on_job)
        while self.events[0][0] < self.load.duration_s + 3.0:
            self.now, _, callback, args = heapq.heappop(self.events)
            callback(*args)
        return self

    def choose_for_item(self, work):
        if not self.are_items_placed_by_due_time:
            return target_choice.choose_for_batch(self.views, self.now, "d0")
        return delay_choice.choose_for_item(
            tuple(self.views),
            self.now,
            "d0",
            work.work_s - work.done_s,
            work.arrived_at + DUE_S - self.now,
        )

    # Targets.

    def get_slowdown(self, number):
        epoch = int(self.now / NOISE_S)
        if epoch not in self.slow:
            draws = [self.noise_rng.random() for _ in self.views]
            self.slow[epoch] = [draw < self.load.noise for draw in draws]
        return SLOWDOWN if self.slow[epoch][number] else 1.0

    def start_work(self, number):
        while self.backlog[number] and len(self.running[number]) < SLOTS:
            work = self.backlog[number].pop(0)
            self.running[number].append(work)
            work.started_at = self.now
            first_s = FIRST_EVENT_S - HOLD_S
            self.advance(work, work.runs)
            if work.is_batch:
                continue
            self.schedule(
                (work.work_s + first_s)
                * self.get_slowdown(number)
                / self.speeds[number],
                self.on_first_event,
                work,
            )

    def advance(self, work, run):
        """Let a run work until the slowdown of its host may change."""
        if work.is_gone or work.runs != run or work.number < 0:
            return
        number = work.number
        rate = self.speeds[number] / self.get_slowdown(number)
        epoch_left_s = NOISE_S - self.now % NOISE_S + 1e-6
        left_s = (work.work_s - work.done_s) / rate
        step_s = min(epoch_left_s, left_s)
        work.done_s += step_s * rate
        if left_s <= epoch_left_s:
            self.schedule(step_s, self.finish, work, run)
        else:
            self.schedule(step_s, self.advance, work, run)

    def on_first_event(self, work):
        if work.first_event_at == float("inf"):
            work.first_event_at = self.now
        slowdown = self.get_slowdown(work.number)
        lag_s = self.rng.uniform(*self.load.lag_s)
        view = self.views[work.number]
        self.schedule(lag_s, view.record_slowdown, slowdown, self.now)

    def finish(self, work, run):
        if work.is_gone or work.runs != run or work.number < 0:
            return
        number = work.number
        self.leave(work)
        if work.is_batch:
            self.finished_items.append(work)
            work.first_event_at = self.now
            return
        work.is_gone = True
        self.hold_s += 0.05 * (self.now - work.sent_at - self.hold_s)
        self.released[work.entry, number].append(self.now)
        self.grant(work.entry)

    def leave(self, work):
        number, work.number = work.number, -1
        if work in self.running[number]:
            self.running[number].remove(work)
        else:
            self.backlog[number].remove(work)
        self.change(number, work.entry, -(not work.is_batch), -work.is_batch)
        self.start_work(number)

    # Entries.

    def change(self, number, entry, online, batch):
        self.online[number] += online
        self.batch[number] += batch
        self.own[entry, number] += online
        self.changes.append((self.now, number, entry, online, batch))
        while self.changes[0][0] < self.now - 0.2:
            self.changes.popleft()

    def look(self, entry):
        """Show the targets as an entry knows them."""
        for view, online, batch in zip(
            self.views, self.online, self.batch, strict=True
        ):
            view.peers_online, view.peers_batch = online, batch
        lag_s = self.rng.uniform(*self.load.lag_s)
        if self.rng.random() < self.load.loss:
            lag_s = 0.2
        for at, number, sender, online, batch in self.changes:
            if at > self.now - lag_s and sender != entry:
                self.views[number].peers_online -= online
                self.views[number].peers_batch -= batch
        for number, view in enumerate(self.views):
            view._released_at = self.released[entry, number]
        return sum(max(0, SLOTS - view.total_online) for view in self.views)

    def on_arrival(self):
        is_trough = self.now % PERIOD_S < TROUGH_S
        rate = self.load.requests_per_s * (TROUGH if is_trough else PEAK)
        if self.now < self.load.duration_s:
            self.schedule(self.demand_rng.expovariate(rate), self.on_arrival)
        work = Work(self.demand_rng.randrange(self.load.entries), self.now)
        self.requests.append(work)
        if any(self.queues) or not self.send(work):
            self.queues[work.entry].append(work)
            self.grant_share(work.entry)

    def on_job(self):
        if self.now < self.load.duration_s:
            interval_s = self.job_rng.expovariate(self.load.jobs_per_s)
            self.schedule(interval_s, self.on_job)
        self.items += [Work(0, self.now, True, ITEM_S) for _ in range(JOB_ITEMS)]
        self.offered_items += JOB_ITEMS

    def send(self, work):
        self.look(work.entry)
        situation = delay_choice.Situation(
            self.now,
            f"d{work.entry % DOMAINS}",
            frozenset(),
            self.hold_s,
            sum(self.load.lag_s) / 2,
            self.load.is_stream,
        )
        selection = self.choice.choose(self.views, situation, self.choice_rng)
        if selection is None:
            return False
        work.number = self.views.index(selection.target)
        work.sent_at = self.now
        work.chosen = work.number
        if self.released[work.entry, work.number]:
            self.released[work.entry, work.number].pop()
        self.change(work.number, work.entry, 1, 0)
        self.backlog[work.number].append(work)
        self.sent.append(work)
        work.queued_there = len(self.backlog[work.number]) > 1
        self.start_work(work.number)
        return True

    def grant(self, entry, limit=100):
        """Send queued requests, first those that can still be in time."""
        queue = self.queues[entry]
        queue[:] = [w for w in queue if self.now - w.arrived_at <= WAIT_LIMIT_S]
        late_since = self.now - OBJECTIVE_S + START_S
        queue.sort(key=lambda work: (work.arrived_at < late_since, work.arrived_at))
        while queue and limit > 0 and self.send(queue[0]):
            queue.pop(0)
            limit -= 1

    def grant_share(self, entry):
        """Send this entry's share of its queue, as `admission.Admission` does."""
        own = len(self.queues[entry])
        if not own or self.now < self.next_grant_at[entry]:
            return
        free = self.look(entry)
        others = sum(map(len, self.queues)) - own
        delay_s = sum(self.load.lag_s) / 2
        self.next_grant_at[entry] = self.now + delay_s
        self.schedule(delay_s, self.grant_share, entry)
        self.grant(
            entry, batch_queue.compute_entry_share(free, own, others, self.rng.random)
        )

    def run_batch(self):
        """Preempt items at overloaded targets, and start others in free slots."""
        self.schedule(SCHEDULE_S, self.run_batch)
        self.look(0)
        for number, view in enumerate(self.views):
            excess = view.total_online + self.batch[number] - SLOTS
            runs = [work for work in self.running[number] if work.is_batch]
            runs += [work for work in self.backlog[number] if work.is_batch]
            runs.sort(key=lambda work: work.done_s)
            for work in runs[: max(0, excess)]:
                work.runs += 1
                self.leave(work)
                self.items.insert(0, work)
        self.look(0)
        for view, batch in zip(self.views, self.batch, strict=True):
            view.peers_batch = batch
        while self.items:
            chosen = self.choose_for_item(self.items[0])
            if chosen is None:
                return
            work = self.items.pop(0)
            work.number = self.views.index(chosen)
            chosen.peers_batch += 1
            work.runs += 1
            self.change(work.number, 0, 0, 1)
            self.backlog[work.number].append(work)
            self.start_work(work.number)

    # Figures.

    def compute_figures(self):
        delays = sorted(w.first_event_at - w.arrived_at for w in self.requests)
        served = [delay for delay in delays if delay < float("inf")]
        counts = collections.Counter(self.sent_numbers())
        relative = [counts[n] / speed for n, speed in enumerate(self.speeds)]
        in_time = [
            w for w in self.finished_items if w.first_event_at - w.arrived_at <= DUE_S
        ]
        return {
            "p50": served[len(served) // 2],
            "p99": served[int(0.99 * (len(served) - 1))],
            "in_aim": sum(d <= OBJECTIVE_S for d in delays) / len(delays),
            "overfull": sum(w.queued_there for w in self.sent) / len(self.sent),
            "busiest": max(relative) / (sum(relative) / len(relative)),
            "items": len(in_time) / max(1, self.offered_items),
            "item_runs": sum(w.runs for w in in_time) / max(1, len(in_time)),
        }

    def sent_numbers(self):
        return [work.chosen for work in self.sent]
