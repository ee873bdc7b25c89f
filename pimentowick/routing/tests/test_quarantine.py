import heapq
import itertools
import random

import hypothesis
import pytest
from hypothesis import strategies

from pimentowick.routing import quarantine

ALLOWED_CRASHES = 3
ALLOWED_RETRIES = 3
# Later runs count as retries beyond the allowed crashes.
STABLE_S = 3.0
RUN_S = 0.1
MAX_DEFERRED_S = 5.0


class Fleet:
    """Simulated entries that exchange delayed reports, in virtual time.

    Args:
        count: Number of entries.
        loss: Share of reports that are lost.
        delay_s: Transit time of a report, in seconds.
        store_delay_s: Time after which a record is read by all entries, in seconds.
        seed: Seed of the random choices.
    """

    def __init__(self, count, loss=0.0, delay_s=0.15, store_delay_s=1.2, seed=1):
        self.random = random.Random(seed)
        self.entries = [quarantine.Quarantine() for _ in range(count)]
        self.loss = loss
        self.delay_s = delay_s
        self.store_delay_s = store_delay_s
        self.counter = itertools.count()
        self.queue = []
        self.trials = {}
        self.sent_at = []
        self.crashed_at = []
        self.refused = 0
        self.report_rows = 0

    def push(self, at, action, *arguments):
        heapq.heappush(self.queue, (at, next(self.counter), action, arguments))

    def run(self):
        while self.queue:
            now, _, action, arguments = heapq.heappop(self.queue)
            action(now, *arguments)

    def arrive(self, now, fingerprint, crashes):
        """Let one attempt of a request arrive at a random entry."""
        entry = self.random.choice(self.entries)
        step = entry.choose_step(fingerprint, now)
        if step == quarantine.Step.TRIAL:
            step = self.claim_trial(now, entry, fingerprint)
        if step != quarantine.Step.RUN:
            self.refused += 1
            return
        self.sent_at.append(now)
        if crashes:
            target = f"t{next(self.counter)}"
            self.push(now + RUN_S, self.crash, entry, fingerprint, target)
        else:
            self.push(now + RUN_S, self.complete, entry, fingerprint)

    def claim_trial(self, now, entry, fingerprint):
        """Count a trial if no other entry has; all read it after a delay."""
        trials = entry.get_trials(fingerprint) + 1
        if self.trials.get(fingerprint, 0) >= trials:
            entry.record_trials(fingerprint, self.trials[fingerprint], now)
            return quarantine.Step.WAIT
        self.trials[fingerprint] = trials
        entry.record_trials(fingerprint, trials, now)
        known = entry.list_crashes(fingerprint)
        at = now + self.store_delay_s
        for other in self.entries:
            self.push(at, self.read_record, other, fingerprint, trials, known)
        return quarantine.Step.RUN

    def read_record(self, now, entry, fingerprint, trials, known):
        entry.merge_report(quarantine.Report({fingerprint: known}), now)
        entry.record_trials(fingerprint, trials, now, known_crashes=known)

    def crash(self, now, entry, fingerprint, target):
        self.crashed_at.append(now)
        entry.record_crash(fingerprint, target, now)
        self.send_report(now, entry)

    def complete(self, now, entry, fingerprint):
        if entry.record_survival(fingerprint, now):
            self.trials.pop(fingerprint, None)
            self.send_report(now, entry)

    def send_report(self, now, entry):
        """Report at once and again, as entries do for some seconds."""
        for repeat in range(4):
            self.push(now + 0.4 * repeat, self.deliver, entry)

    def deliver(self, now, entry):
        report = entry.build_report(now)
        rows = [*report.crashes.values(), *report.voided.values()]
        self.report_rows = max(self.report_rows, sum(map(len, rows)))
        for other in self.entries:
            if other is not entry and self.random.random() >= self.loss:
                self.push(now + self.delay_s, self.receive, other, report)

    def receive(self, now, entry, report):
        entry.merge_report(report, now)


@pytest.mark.parametrize("count", [1, 8, 88, 299])
@pytest.mark.parametrize("interval_s", [0.05, 0.3, 4.0])
def test_crashing_request_gets_few_runs_over_all_entries(count, interval_s):
    for seed in range(4):
        fleet = Fleet(count, loss=0.03, seed=seed)
        at = 0.0
        while at < 240.0:
            at += fleet.random.expovariate(1 / interval_s)
            fleet.push(at, fleet.arrive, "poison", True)
        fleet.run()
        third_at = fleet.crashed_at[ALLOWED_CRASHES - 1]
        retries = [at for at in fleet.sent_at if at > third_at + STABLE_S]
        assert len(retries) <= ALLOWED_RETRIES
        assert fleet.refused > len(fleet.sent_at)


@pytest.mark.parametrize("count", [8, 88, 299])
def test_popular_request_is_served_while_targets_crash_under_it(count):
    # One in twenty of its runs is lost with a target that another request crashes.
    fleet = Fleet(count, loss=0.03)
    for number in range(4000):
        is_lost = fleet.random.random() < 0.05
        fleet.push(number * 0.01, fleet.arrive, "popular", is_lost)
    fleet.run()
    assert fleet.refused <= 40


def test_reports_and_memory_stay_bounded_in_a_flood():
    # Many different requests crash targets; what is kept and sent must not grow.
    policy = quarantine.Quarantine()
    for number in range(5000):
        policy.record_crash(f"f{number}", f"t{number}", now=number * 0.001)
        report = policy.build_report(now=number * 0.001)
        assert sum(map(len, report.crashes.values())) <= quarantine.MAX_REPORTED
        policy.record_survival(f"s{number}", now=number * 0.001)
    assert policy.count_suspects()[0] == quarantine.MAX_SUSPECTS
    assert len(policy._completed) == quarantine.MAX_COMPLETED
    for number in range(200):
        policy.record_crash("f4999", f"other{number}", now=6.0)
    assert len(policy.list_crashes("f4999")) == quarantine.MAX_CRASHES
    policy.expire(now=6.0 + quarantine.RETENTION_S + 1.0)
    assert policy.is_empty()


def test_flood_does_not_release_a_quarantined_request():
    policy = quarantine.Quarantine()
    policy.record_crash("poison", "t1", now=0.0)
    policy.record_crash("poison", "t2", now=0.0)
    for number in range(2 * quarantine.MAX_SUSPECTS):
        policy.record_crash(f"f{number}", "t3", now=1.0)
    assert policy.choose_step("poison", now=1.0) == quarantine.Step.TRIAL


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.booleans(), strategies.integers(0, 4)), max_size=8
    ),
    strategies.randoms(use_true_random=False),
)
def test_reports_may_be_lost_repeated_and_reordered(rows, order):
    # The result must depend only on which crashes were reported and voided.
    reports = [
        quarantine.Report(**{"voided" if is_voided else "crashes": {"f": [f"t{name}"]}})
        for is_voided, name in rows
    ]
    one, other = quarantine.Quarantine(), quarantine.Quarantine()
    for report in reports:
        one.merge_report(report, now=0.0)
    shuffled = reports * 2
    order.shuffle(shuffled)
    for report in shuffled:
        other.merge_report(report, now=0.0)
    assert one.list_crashes("f") == other.list_crashes("f")


def test_request_that_completed_before_is_suspected_again_after_a_while():
    # Targets may have changed meanwhile, so that it crashes them now.
    policy = quarantine.Quarantine()
    policy.record_survival("f", now=0.0)
    now = quarantine.COMPLETION_RETENTION_S + 1.0
    assert not policy.record_crash("f", "t1", now)
    assert policy.record_crash("f", "t2", now)


def test_trial_without_a_result_does_not_delay_the_next_one():
    # A target refused the trial, or it gave its slot to an online request.
    policies = [quarantine.Quarantine() for _ in range(2)]
    for policy in policies:
        policy.record_crash("f", "t1", now=0.0)
        policy.record_crash("f", "t2", now=0.0)
        policy.record_trials("f", 1, now=0.0)
    policies[0].cancel_trial("f", now=0.1)
    policies[1].record_trials("f", 1, now=0.2, cancelled=1)
    for policy in policies:
        assert policy.choose_step("f", now=0.2) == quarantine.Step.TRIAL
        policy.record_trials("f", 2, now=0.3, cancelled=1)
        assert policy.choose_step("f", now=0.3) == quarantine.Step.WAIT
        assert policy.get_delay("f", now=0.3) == quarantine.TRIAL_DELAYS_S[0]
    policies[0].cancel_trial("f", now=0.4)
    policies[0].cancel_trial("f", now=0.4)
    policies[0].cancel_trial("f", now=0.4)
    assert policies[0].get_cancelled("f") == 2


def test_cancelled_run_voids_only_the_crashes_so_far():
    # A request that crashes its targets late in its run may be cancelled before.
    policy = quarantine.Quarantine()
    for name in ("t1", "t2"):
        policy.record_crash("f", name, now=0.0)
    assert policy.record_survival("f", now=1.0, completed=False)
    assert policy.choose_step("f", now=1.0) == quarantine.Step.RUN
    for name in ("t3", "t4"):
        policy.record_crash("f", name, now=2.0)
    assert policy.choose_step("f", now=2.0) == quarantine.Step.TRIAL


def open_breaker(*targets):
    entry = quarantine.Quarantine()
    for at, target in enumerate(targets):
        entry.record_crash("f", target, float(at))
    return entry


def test_crash_that_its_target_survived_no_longer_counts():
    # A connection that was reset looks like a crash until the target shows up again.
    entry = open_breaker("t1", "t2")
    entry.record_trials("f", 3, 2.0)
    assert entry.get_delay("f", 2.0) > 100
    assert entry.record_target_survival("t2", until=3.0, now=3.5) == (["f"], ["f"])
    assert entry.choose_step("f", 3.5) == quarantine.Step.RUN
    assert entry.get_trials("f") == 0


def test_crash_counts_if_its_target_was_seen_before_only():
    # A registration that was written before the crash is read after it.
    entry = open_breaker("t1", "t2")
    assert entry.record_target_survival("t2", until=1.0, now=3.0) == ([], [])
    assert entry.record_target_survival("t3", until=3.0, now=3.0) == ([], [])
    assert entry.choose_step("f", 3.0) == quarantine.Step.TRIAL


def test_target_that_survived_a_reset_may_crash_later():
    # The crash counts, once, in whatever order the entries learn of both.
    first, second = open_breaker("t1"), quarantine.Quarantine()
    reset = first.build_report(0.0)
    first.record_target_survival("t1", until=1.0, now=1.0)
    survival = first.build_report(1.0)
    first.record_crash("f", "t1", 2.0)
    crash = first.build_report(2.0)
    assert len(first.list_crashes("f")) == 1
    for report in (crash, reset, survival, crash):
        second.merge_report(report, 3.0)
    assert second.list_crashes("f") == first.list_crashes("f")
    for entry in (first, second):
        entry.record_target_survival("t1", until=5.0, now=5.0)
        assert not entry.list_crashes("f")


def test_survival_is_told_to_entries_that_did_not_see_it():
    first = open_breaker("t1", "t2")
    second = quarantine.Quarantine()
    second.merge_report(first.build_report(1.0), 1.0)
    assert second.is_quarantined("f")
    first.record_target_survival("t1", until=2.0, now=2.0)
    second.merge_report(first.build_report(2.0), 2.0)
    assert not second.is_quarantined("f")


@pytest.mark.parametrize("name", ["f", quarantine.name_part("lm", "a0")])
@pytest.mark.parametrize("crashes", [3, 5, 8, 12])
def test_deferred_work_is_held_for_seconds_after_the_latest_crash(name, crashes):
    # Nobody sends it again, so that a delay of minutes would lose it.
    entry = quarantine.Quarantine()
    for number in range(crashes):
        entry.record_crash(name, f"t{number}", float(number))
        entry.record_trials(name, max(0, number - 2), float(number))
    calm_at = float(crashes - 1)
    assert entry.get_deferred_delay([name], calm_at) <= MAX_DEFERRED_S
    step = entry.choose_deferred_step([name], calm_at + MAX_DEFERRED_S)
    assert step == quarantine.Step.TRIAL


def test_deferred_trial_that_crashes_delays_the_next_one():
    # Else an item whose part does crash targets would end one after the other.
    entry = open_breaker("t1", "t2")
    ended_at = []
    now = 1.0
    while now < 60.0:
        if entry.choose_deferred_step(["f"], now) == quarantine.Step.TRIAL:
            entry.record_trials("f", entry.get_trials("f") + 1, now)
            entry.record_crash("f", f"d{len(ended_at)}", now + RUN_S)
            ended_at.append(now)
        now += 0.5
    assert 60 / MAX_DEFERRED_S - 1 <= len(ended_at) <= 60 / MAX_DEFERRED_S + 2
