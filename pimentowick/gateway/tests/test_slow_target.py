"""Tests of how slow targets are found and left alone."""

import collections
import heapq
import itertools
import random
import time
import types

import pytest

from pimentowick.gateway import performance, slow_target_monitor, target
from pimentowick.gateway.policy import slow_target

SERVICE = "s"
ROUTE = "r"
EVENT_S = 0.021
EVENTS = 30
OBJECTIVE_S = 0.311
STEP_S = 0.1
NOISE_S = 0.6
SLOTS = 8
SLOW = "t3"


class Entry:
    """The table of one entry and what it observes."""

    def __init__(self, count, started_ms=0):
        self.table = target.TargetTable()
        for n in range(count):
            self.table.put(
                target.Registration(
                    f"t{n}", SERVICE, "127.0.0.1", 1 + n, "a", SLOTS, False, started_ms
                )
            )
        self.table.record_shared_hosts(SERVICE)
        self.performance = performance.PerformanceMonitor(self.table)
        self.monitor = slow_target_monitor.SlowTargetMonitor(
            self.table, self.performance, "a"
        )

    def update(self, now):
        self.performance.update_speeds(now)
        self.monitor.update(now)

    def list_slow(self):
        return {key for key, listed in self.table.by_id.items() if listed.is_slow}


class Fleet:
    """Entries before targets, one of which may turn slow."""

    def __init__(self, entries, seed, speeds, noise=0.15, detects=True):
        self.rng = random.Random(seed)
        self.entries = [Entry(len(speeds)) for _ in range(entries)]
        self.speeds = {f"t{n}": speed for n, speed in enumerate(speeds)}
        self.noise, self.detects = noise, detects
        self.now, self.order, self.events = 0.0, itertools.count(), []
        self.running = collections.Counter()
        self.sent = collections.Counter()
        self.off_checks = collections.Counter()
        self.noisy = {}

    def run(self, seconds, requests_per_s=150):
        ends_at = self.now + seconds
        while self.now < ends_at - 1e-9:
            self.now += STEP_S
            self.noisy = {
                key: self.rng.random() < self.noise
                if int(self.now / NOISE_S) != int((self.now - STEP_S) / NOISE_S)
                else self.noisy.get(key)
                for key in self.speeds
            }
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            for _ in range(round(requests_per_s * STEP_S)):
                self.send(self.rng.choice(self.entries))
            self.exchange()

    def send(self, entry):
        usable = [
            listed
            for key, listed in entry.table.by_id.items()
            if listed.is_usable(0.0) and self.running[key] < SLOTS
        ]
        if not usable:
            return
        weights = [(SLOTS - self.running[t.id]) * t.relative_speed for t in usable]
        (listed,) = self.rng.choices(usable, weights)
        self.sent[listed.id] += 1
        self.running[listed.id] += 1
        speed = self.speeds[listed.id] / (2.5 if self.noisy[listed.id] else 1.0)
        interval_s = EVENT_S / speed

        def check():
            in_time = interval_s < OBJECTIVE_S
            entry.monitor.record_first_event(listed.run_id, in_time, self.now)
            if in_time:
                entry.performance.record_duration(listed, ROUTE, interval_s, self.now)

        def finish():
            self.running[listed.id] -= 1
            entry.performance.record_duration(listed, ROUTE, interval_s, self.now)

        if EVENTS * interval_s > OBJECTIVE_S:
            self.schedule(OBJECTIVE_S, check)
        self.schedule(EVENTS * interval_s, finish)

    def schedule(self, delay_s, callback):
        heapq.heappush(self.events, (self.now + delay_s, next(self.order), callback))

    def exchange(self):
        for number, entry in enumerate(self.entries):
            report = entry.performance.build_report(self.now)
            overdue = entry.monitor.build_report(self.now)
            for other in self.entries:
                if other is entry or self.rng.random() < 0.05:
                    continue
                if report:
                    other.performance.merge_report(number, report, self.now)
                other.monitor.merge_report(number, overdue)
        for entry in self.entries:
            if self.detects:
                entry.update(self.now)
            else:
                entry.performance.update_speeds(self.now)
            self.off_checks.update(entry.list_slow())

    def count_sent_while_slow(self, speed, seconds):
        """Return how many requests the slow target gets in some seconds."""
        self.run(6.0)
        self.speeds[SLOW] *= speed
        before = self.sent[SLOW]
        self.off_checks.clear()
        self.run(seconds)
        return self.sent[SLOW] - before


@pytest.mark.parametrize("entries", [9, 36, 88])
def test_slow_target_costs_few_requests_over_all_entries(entries):
    # Guards against each entry finding out for itself that a target is slow.
    slow, baseline = (
        Fleet(entries, 1, [1.0] * 20, detects=detects).count_sent_while_slow(0.2, 8.0)
        for detects in (True, False)
    )
    # Its slots are full before any response can show it; then a few more are sent.
    assert slow <= 2 * SLOTS
    assert slow <= baseline


def test_targets_of_uneven_speed_on_noisy_hosts_stay_in_use():
    # Guards against taking usual differences and short slowdowns for a failure.
    fleet = Fleet(36, 2, [0.4, 1.0, 2.0] * 6 + [0.4, 1.0], noise=0.3)
    fleet.run(10.0)
    checks = 36 * 20 * 10.0 / STEP_S
    assert sum(fleet.off_checks.values()) < 0.05 * checks
    assert max(len(entry.list_slow()) for entry in fleet.entries) <= 4


def test_targets_that_are_all_slow_stay_in_use():
    # Guards against taking an overload of all targets for failures.
    fleet = Fleet(9, 3, [1.0] * 20)
    fleet.run(5.0)
    fleet.speeds = dict.fromkeys(fleet.speeds, 0.2)
    # Until responses of all of them are known, some seem to be slower than others.
    for _ in range(4):
        fleet.run(1.0)
        assert max(len(entry.list_slow()) for entry in fleet.entries) <= 4
    fleet.off_checks.clear()
    fleet.run(6.0)
    assert not fleet.off_checks


def observe(speeds, weight=6.0, overdue=()):
    return {
        key: slow_target.Observation(speed, weight, 8.0, 3.0 if key in overdue else 0.0)
        for key, speed in speeds.items()
    }


def make_speeds(**changes):
    return {**{f"t{n}": 1.0 for n in range(10)}, **changes}


def test_no_more_than_the_stated_share_is_left_alone():
    # Guards against moving more load than the other targets can take.
    policy = slow_target.SlowTargets()
    speeds = make_speeds(t0=0.1, t1=0.12, t2=0.14, t3=0.16)
    assert policy.update(observe(speeds), 0.0) == {"t0", "t1"}
    assert policy.update(observe(speeds), 1.0) == {"t0", "t1"}
    assert not slow_target.SlowTargets().update(observe(speeds), 0.0, ejected=2)
    pair = {"t0": 0.1, "t1": 1.0}
    assert not slow_target.SlowTargets().update(observe(pair), 0.0)


def test_overdue_first_events_at_many_targets_are_an_overload():
    # Guards against leaving targets alone because the whole service is overloaded.
    policy = slow_target.SlowTargets()
    assert policy.update(observe(make_speeds(), overdue=["t3"]), 0.0) == {"t3"}
    policy = slow_target.SlowTargets()
    overdue = ["t3", "t4", "t5"]
    assert not policy.update(observe(make_speeds(), overdue=overdue), 0.0)


def test_target_returns_after_a_while_and_stays_off_longer_each_time():
    # Guards against a target that is never tried again, and against one that is slow
    # and fast by turns.
    policy = slow_target.SlowTargets()
    slow, usual = make_speeds(t0=0.1), make_speeds()
    rests = []
    now = 0.0
    for _ in range(3):
        assert policy.update(observe(slow), now) == {"t0"}
        rests.append(policy.get_rest_s("t0", now))
        now += rests[-1]
        assert not policy.update(observe(usual), now)
        now += 1.4
    assert rests == sorted(set(rests))
    now += slow_target.FORGIVE_S + 60.0
    policy.update(observe(usual), now)
    policy.update(observe(slow), now)
    assert policy.get_rest_s("t0", now) == rests[0]


def test_only_responses_after_its_return_count_against_a_target():
    # Guards against leaving a target alone for good because of old responses.
    policy = slow_target.SlowTargets()
    slow = make_speeds(t0=0.1)
    policy.update(observe(slow, weight=3.0), 0.0)
    # Requests that were sent before end in the meantime.
    assert not policy.update(observe(slow, weight=6.0), 2.0)
    # Without new responses the weight decays.
    assert not policy.update(observe(slow, weight=5.5), 3.0)
    assert policy.update(observe(slow, weight=6.0), 4.0) == {"t0"}


def test_word_of_the_target_alone_changes_nothing():
    # Guards against a target that calls itself slow, or well, falsely.
    entry = Entry(10)
    listed = entry.table.by_id["t0"]
    listed.record_load(target.ReportedLoad(99, 99, 1, 50.0), 0.0)
    entry.update(0.0)
    assert not entry.list_slow()
    for _ in range(20):
        for key, known in reversed(entry.table.by_id.items()):
            pace_s = 0.2 if key == "t0" else 0.02
            entry.performance.record_duration(known, ROUTE, pace_s, 0.0)
    listed.record_load(target.ReportedLoad(0, 0, 8, 1.0), 0.0)
    entry.update(0.0)
    assert entry.list_slow() == {"t0"}


def test_restart_under_the_old_identifier_is_a_new_run():
    # Guards against leaving a target alone for what its former run did.
    entry = Entry(10, started_ms=1)
    run_id = entry.table.by_id["t0"].run_id
    entry.monitor.merge_report("a", {run_id: [3.0, 0.0]})
    entry.monitor.merge_report("b", {run_id: [3.0, 0.0]})
    entry.update(0.0)
    assert entry.list_slow() == {"t0"}
    restarted = Entry(10, started_ms=2)
    restarted.monitor.merge_report("a", {run_id: [3.0, 0.0]})
    restarted.monitor.merge_report("b", {run_id: [3.0, 0.0]})
    restarted.update(0.0)
    assert not restarted.list_slow()


def test_services_on_hosts_of_their_own_are_not_observed():
    # Guards against a change for services whose targets report no slowdown.
    entry = Entry(10)
    entry.table._services_on_shared_hosts.clear()
    entry.monitor.merge_report("a", {"t0": [3.0, 0.0]})
    entry.monitor.merge_report("b", {"t0": [3.0, 0.0]})
    entry.update(0.0)
    assert not entry.list_slow()


class Timers:
    """Stand-in for `asyncio.loop.call_later`."""

    def __init__(self):
        self.callbacks = []

    def call_later(self, delay_s, callback):
        self.callbacks.append(callback)
        return types.SimpleNamespace(cancel=self.callbacks.clear)

    def fire(self):
        for callback in list(self.callbacks):
            callback()


def watch(entry, times, online_at_start=0, fires=True):
    timers = Timers()
    slot = types.SimpleNamespace(
        target=entry.table.by_id["t0"],
        online_at_start=online_at_start,
        batch_at_start=0,
    )
    with entry.monitor.watch(
        slot, ROUTE, OBJECTIVE_S, lambda: times, timers.call_later
    ):
        if fires:
            timers.fire()
    assert not timers.callbacks
    return entry.monitor.build_report(time.monotonic())


def test_overdue_first_event_counts_at_a_target_that_seemed_free_only():
    # Guards against taking a queue at a full target for a slow target.
    assert watch(Entry(3), performance.EventTimes()) == {"t0": [1.0, 0.0]}
    assert not watch(Entry(3), performance.EventTimes(), online_at_start=SLOTS)
    now = time.monotonic()
    in_time = performance.EventTimes(now - 0.2, now, 5)
    assert not watch(Entry(3), in_time)
    # A response that ends before its objective counts once.
    entry = Entry(3)
    watch(entry, in_time, fires=False)
    assert watch(entry, performance.EventTimes()) == {
        "t0": [pytest.approx(1.0, abs=0.01), pytest.approx(1.0, abs=0.01)]
    }


def test_pace_of_a_stream_is_known_before_it_ends():
    # Guards against a slow target that is known only once its responses end.
    entry = Entry(3)
    now = time.monotonic()
    watch(entry, performance.EventTimes(now - 0.2, now, 5))
    assert entry.table.by_id["t0"].pace.weight == 1.0
    watch(entry, performance.EventTimes())
    assert entry.table.by_id["t0"].pace.weight == pytest.approx(1.0, abs=0.01)


def test_malformed_counts_of_another_entry_are_rejected():
    # Guards against a report of another version that stops the exchange.
    for report in ({"t0": [1.0]}, {"t0": ["x", 1]}, ["t0"], {"t0": None}):
        with pytest.raises((ValueError, TypeError, AttributeError)):
            Entry(3).monitor.merge_report("a", report)
