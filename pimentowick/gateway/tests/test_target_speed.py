"""Tests of the estimates of target speeds and of their exchange between entries."""

import asyncio
import math
import random

import pytest

from pimentowick.fakes import platform_site, replica
from pimentowick.gateway import performance, target
from pimentowick.gateway.policy import target_speed

SERVICE = "s"
ROUTE = "r"
STEP_S = 0.05
EVENT_S = 0.024


def make_entry(count, started_ms=0):
    table = target.TargetTable()
    for n in range(count):
        table.put(
            target.Registration(
                f"t{n}", SERVICE, "127.0.0.1", 1 + n, "a", 8, started_ms=started_ms
            )
        )
    table.record_shared_hosts(SERVICE)
    return table, performance.PerformanceMonitor(table)


class Fleet:
    """Entries that receive responses of targets and exchange reports with loss."""

    def __init__(self, speeds, entries, seed, loss=0.05, is_shared=True):
        self.speeds = list(speeds)
        self.rng = random.Random(seed)
        self.loss = loss
        self.is_shared = is_shared
        self.entries = [make_entry(len(speeds)) for _ in range(entries)]
        self.now = 0.0

    def run(self, seconds, responses_per_s, noise=0.15):
        """Let entries receive responses at random; noise slows some hosts 2.5 times."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += STEP_S
            for _ in range(round(responses_per_s * STEP_S)):
                table, monitor = self.rng.choice(self.entries)
                number = self.rng.randrange(len(self.speeds))
                slowdown = 2.5 if self.rng.random() < noise else 1.0
                monitor.record_duration(
                    table.by_id[f"t{number}"],
                    ROUTE,
                    EVENT_S / self.speeds[number] * slowdown,
                    self.now,
                )
            if self.is_shared:
                self.exchange_reports()
        for _, monitor in self.entries:
            monitor.update_speeds(self.now)

    def exchange_reports(self):
        for sender, (_, monitor) in enumerate(self.entries):
            report = monitor.build_report(self.now)
            for receiver, (_, other) in enumerate(self.entries):
                if report and receiver != sender and self.rng.random() >= self.loss:
                    other.merge_report(f"e{sender}", report, self.now)

    def compute_errors(self):
        """Return the errors of all entries, as logarithms of the factor."""
        ordered = sorted(self.speeds)
        usual = ordered[len(ordered) // 2]
        return [
            abs(math.log(table.by_id[f"t{n}"].relative_speed / (speed / usual)))
            for table, _ in self.entries
            for n, speed in enumerate(self.speeds)
        ]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("entries", [9, 36])
def test_entries_that_see_few_responses_know_fast_and_slow_targets(entries, seed):
    # Guards against estimates that only a busy entry has: each of 36 entries gets a
    # response of a target every eight seconds.
    speeds = [0.7, 0.7, 1.7] * 6 + [0.7, 0.7]
    shared = Fleet(speeds, entries, seed)
    shared.run(8.0, 100)
    alone = Fleet(speeds, entries, seed, is_shared=False)
    alone.run(8.0, 100)
    errors = sorted(shared.compute_errors())
    assert errors[len(errors) // 2] < math.log(1.25)
    assert sum(errors) < 0.8 * sum(alone.compute_errors())


def test_target_that_turns_slow_is_known_within_some_responses():
    # Guards against a mean that remembers a target's former speed for too long.
    fleet = Fleet([1.0] * 20, 9, seed=1)
    fleet.run(8.0, 100, noise=0.0)
    fleet.speeds[3] = 0.2
    fleet.run(2.0, 100, noise=0.0)
    speeds = [table.by_id["t3"].relative_speed for table, _ in fleet.entries]
    assert max(speeds) < 0.5
    others = [table.by_id["t4"].relative_speed for table, _ in fleet.entries]
    assert all(0.8 < speed < 1.25 for speed in others)


def test_all_targets_alike_slow_keep_the_usual_speed():
    # Guards against taking an overload for slow targets.
    fleet = Fleet([0.3] * 10, 9, seed=2)
    fleet.run(5.0, 100, noise=0.0)
    assert max(fleet.compute_errors()) < math.log(1.2)


def test_entry_that_restarts_learns_from_others_within_a_second():
    # Guards against an entry that treats all targets alike for long after its start.
    fleet = Fleet([0.5] + [1.0] * 9, 9, seed=3)
    fleet.run(8.0, 200, noise=0.0)
    fleet.entries[0] = make_entry(10)
    fleet.run(1.0, 200, noise=0.0)
    table, _ = fleet.entries[0]
    assert table.by_id["t0"].relative_speed < 0.75


def test_report_on_a_former_run_of_a_target_is_ignored():
    # Guards against judging a target by the run before it, under the same identifier.
    _, sender = make_entry(2, started_ms=1)
    sender_table = sender._table
    for _ in range(6):
        sender.record_duration(sender_table.by_id["t0"], ROUTE, 0.2, 1.0)
        sender.record_duration(sender_table.by_id["t1"], ROUTE, 0.02, 1.0)
    report = sender.build_report(1.0)
    assert report["paces"].keys() == {"t0@1", "t1@1"}
    table, receiver = make_entry(2, started_ms=2)
    receiver.merge_report("e", report, 1.0)
    assert not table.by_id["t0"].pace.weight


def test_repeated_report_counts_once():
    # Guards against paces that count once for each copy of a datagram.
    _, sender = make_entry(1)
    sender.record_duration(sender._table.by_id["t0"], ROUTE, 0.2, 1.0)
    report = sender.build_report(1.0)
    assert sender.build_report(1.05) == report
    table, receiver = make_entry(1)
    receiver.merge_report("e", report, 1.0)
    receiver.merge_report("e", report, 1.05)
    assert table.by_id["t0"].pace.weight == 1.0


def test_newest_slowdown_counts_and_fades():
    # Guards against old news of a host's neighbours, and against a clock that jumped.
    _, sender = make_entry(1)
    listed = sender._table.by_id["t0"]
    sender.record_load(listed, target.ReportedLoad(1, 0, 8, 2.5), 10.0)
    table, receiver = make_entry(1)
    receiver.merge_report("e", sender.build_report(10.1), 20.1)
    known = table.by_id["t0"]
    assert known.get_slowdown(20.0) == pytest.approx(2.5, abs=0.01)
    assert known.get_slowdown(20.25) == pytest.approx(1.75, abs=0.01)
    receiver.merge_report("f", {"slowdowns": {"t0": [1.0, 5.0]}}, 20.1)
    assert known.slowdown == 2.5
    receiver.merge_report("f", {"slowdowns": {"t0": [4.0, -60.0]}}, 20.2)
    assert known.slowdown_at <= 20.2
    # What others told is not told on.
    assert not receiver.build_report(20.2)


def test_services_on_hosts_of_their_own_are_not_estimated():
    # Guards against a change for deployments whose targets report no slowdown.
    table = target.TargetTable()
    table.put(target.Registration("t0", SERVICE, "127.0.0.1", 1, "a", 8))
    monitor = performance.PerformanceMonitor(table)
    monitor.record_load(table.by_id["t0"], target.ReportedLoad(1, 0, 8), 1.0)
    monitor.record_duration(table.by_id["t0"], ROUTE, 0.2, 1.0)
    monitor.update_speeds(1.0)
    assert not monitor.build_report(1.0)
    assert table.by_id["t0"].get_effective_speed(1.0) == 1.0


def test_estimate_survives_a_clock_that_goes_back():
    # Guards against weights that grow, or are lost, as a suspended host wakes.
    estimate = target_speed.PaceEstimate()
    estimate.record(1.0, 3, now=100.0)
    estimate.decay(50.0)
    assert estimate.weight == 3.0
    assert target_speed.decay_slowdown(2.5, -60.0) == 2.5


@pytest.mark.parametrize("slowdown", [None, 250])
def test_load_that_a_response_reports_is_recorded(slowdown):
    # Guards against a header that is decoded and read by nobody, and against a change
    # for targets that report no slowdown.
    server = replica.Replica()
    server.slowdown = slowdown
    route = platform_site.make_route("/chat/", "stream")

    async def run():
        async with platform_site.open_site([server], [route]) as site:
            answer = await site.call(
                "POST",
                "/chat/1",
                b"hello",
                X_Pimentowick_Request_Id="r1",
                X_Pimentowick_Deadline_Ms="4000",
            )
            assert answer.status == 200
            (gateway,) = site.gateways
            listed = gateway.table.by_id[server.id]
            is_shared = gateway.table.has_shared_hosts(platform_site.SERVICE)
            assert is_shared == (slowdown is not None)
            assert listed.slowdown == (2.5 if slowdown else 1.0)

    asyncio.run(run())
