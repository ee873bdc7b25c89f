import bisect
import heapq
import random

import hypothesis
import pytest
from hypothesis import strategies

from pimentowick.gateway.policy import quota

WINDOW_S = 5.0
LIMIT = quota.Limit(rate_per_s=5.0, burst=5.0)


class Fleet:
    """Entries that tell each other after a delay, in virtual time.

    Args:
        make: Function from a time to a `quota.Quota`.
        count: Number of entries.
        loss: Share of the reports that are lost.
        delay_s: Time that a report is on its way.
    """

    def __init__(self, make, count, loss=0.0, delay_s=0.1, seed=1):
        self.random = random.Random(seed)
        self.quotas = [make(0.0) for _ in range(count)]
        self.loss = loss
        self.delay_s = delay_s
        self.groups = [0] * count
        self.split_at = float("inf")
        self.passed = []
        self.refused = 0

    def split(self, at, groups):
        """Let entries of different groups hear nothing of each other from a time on."""
        self.split_at = at
        self.groups = groups

    def hears(self, one, other, now):
        return now < self.split_at or self.groups[one] == self.groups[other]

    def update_member_counts(self, now):
        # Silence is noticed some time after it began.
        noticed = now - 1.2
        for index, each in enumerate(self.quotas):
            heard = sum(
                self.hears(index, other, noticed) for other in range(len(self.quotas))
            )
            each.update_member_counts(len(self.quotas), heard)

    def tell(self, index, now, queue):
        rows = self.quotas[index].build_report(now)
        for other in range(len(self.quotas)):
            if other == index or not self.hears(index, other, now):
                continue
            if self.random.random() >= self.loss:
                entry = (now + self.delay_s, 1, other, index, rows)
                heapq.heappush(queue, entry)

    def play(self, demand, until_s, limits):
        """Send requests at random entries; `demand` is requests a second by name."""
        queue = []
        for name, rate in demand.items():
            at = 0.0
            while at < until_s:
                at += self.random.expovariate(rate)
                index = self.random.randrange(len(self.quotas))
                heapq.heappush(queue, (at, 0, index, name, ()))
        for index in range(len(self.quotas)):
            phase = self.random.random() * 0.2
            for step in range(int(until_s / 0.2)):
                heapq.heappush(queue, (phase + step * 0.2, 2, index, "", ()))
        while queue:
            now, kind, index, name, rows = heapq.heappop(queue)
            if kind == 0:
                wait_s = self.quotas[index].take(name, limits[name], now)
                if wait_s:
                    self.refused += 1
                else:
                    self.passed.append((now, name))
            elif kind == 1:
                self.quotas[index].merge_report(name, rows, limits.get, now)
            else:
                self.update_member_counts(now)
                self.tell(index, now, queue)

    def count_most(self, name):
        """Return the most requests of a workspace in any window."""
        times = [at for at, passed in self.passed if passed == name]
        ends = [bisect.bisect(times, at + WINDOW_S) for at in times]
        return max(end - index for index, end in enumerate(ends))


def count_allowed(limit):
    return limit.rate_per_s * WINDOW_S + limit.burst


@pytest.mark.parametrize(("count", "factor"), [(9, 2.9), (33, 4.4), (56, 7.5)])
def test_hot_workspace_keeps_its_limit_over_all_entries(factor, count):
    # Every entry sees a few requests a second and lets them through by itself.
    fleet = Fleet(quota.SharedQuota, count, loss=0.05)
    demand = {"hot": LIMIT.rate_per_s / 1.6 * factor, "calm": 2.0}
    fleet.play(demand, 30.0, dict.fromkeys(demand, LIMIT))
    # News that is on its way as the limit is reached.
    late = demand["hot"] * 2 * fleet.delay_s + 1
    assert fleet.count_most("hot") <= count_allowed(LIMIT) + late
    served = sum(name == "hot" for _, name in fleet.passed)
    wanted = min(LIMIT.rate_per_s, demand["hot"]) * 30.0
    assert served >= 0.9 * wanted
    calm = [at for at, name in fleet.passed if name == "calm"]
    assert len(calm) + fleet.refused >= 50
    assert fleet.count_most("calm") <= count_allowed(LIMIT)


@pytest.mark.parametrize("seed", range(5))
def test_workspace_within_its_limit_is_not_refused(seed):
    # Less than one request a second and entry: an even share of the limit refuses most.
    counted = Fleet(quota.SharedQuota, 33, loss=0.05, seed=seed)
    demand = {"calm": 2.0}
    counted.play(demand, 30.0, {"calm": LIMIT})
    assert counted.refused == 0


def test_even_shares_refuse_what_lies_within_the_limit():
    shares = Fleet(quota.EvenShareQuota, 33)
    shares.play({"calm": 2.0}, 30.0, {"calm": LIMIT})
    assert shares.refused > len(shares.passed) / 5


@pytest.mark.parametrize("groups", [2, 11])
def test_entries_that_do_not_hear_each_other_keep_the_limit_together(groups):
    # A third is cut off, all from all: each would let the whole limit through.
    count = 33
    fleet = Fleet(quota.SharedQuota, count)
    alone = [index % groups + 1 if index < count // 3 else 0 for index in range(count)]
    fleet.split(10.0, alone)
    demand = {"hot": 20.0}
    fleet.play(demand, 30.0, {"hot": LIMIT})
    # What those that are cut off let through until the silence is noticed.
    unheard = demand["hot"] / 3 * 1.2 + demand["hot"] * 2 * fleet.delay_s
    # Each group may start with one request more.
    assert fleet.count_most("hot") <= count_allowed(LIMIT) + unheard + groups


def test_entry_that_was_just_started_does_not_give_all_out_again():
    # All are killed and return at once: a full bucket would be spent a second time.
    found = quota.SharedQuota(started_at=10.0)
    found.update_member_counts(known=33, heard=0)
    passed = [found.take("w", LIMIT, 10.1) for _ in range(5)]
    assert passed.count(0.0) == 1


def test_limit_that_falls_binds_at_once_and_one_that_rises_too():
    found = quota.SharedQuota()
    found.update_member_counts(1, 1)
    small = quota.Limit(1.0, 1.0)
    assert not found.take("w", LIMIT, 0.0)
    assert not found.take("w", small, 0.0)
    assert found.take("w", small, 0.0) == pytest.approx(1.0)
    assert not found.take("w", LIMIT, 0.5)


def test_request_that_has_not_run_is_given_back():
    found = quota.SharedQuota()
    found.update_member_counts(1, 1)
    small = quota.Limit(1.0, 1.0)
    assert not found.take("w", small, 0.0)
    found.refund("w", 0.0)
    assert not found.take("w", small, 0.0)
    assert found.build_report(0.0)["w"][1] == 1


def test_lost_report_is_made_up_for_by_the_next():
    here, there = quota.SharedQuota(), quota.SharedQuota()
    for each in (here, there):
        each.update_member_counts(2, 2)
    for step in range(5):
        assert not here.take("w", LIMIT, 10.9 + step * 0.05)
    report = here.build_report(11.5)
    there.merge_report("here", report, lambda name: LIMIT, 11.5)
    wait_s = there.take("w", LIMIT, 11.5)
    assert wait_s > 0.0
    there.merge_report("here", report, lambda name: LIMIT, 11.5)
    assert there.take("w", LIMIT, 11.5) == wait_s


def test_state_grows_with_the_workspaces_that_are_busy():
    found = quota.SharedQuota()
    found.update_member_counts(1, 1)
    for number in range(1300):
        found.take(f"w{number}", LIMIT, number * 0.01)
        found.merge_report(f"e{number % 300}", {f"w{number}": (0, 1, 0)}, {}.get, 0.0)
    found.take("last", LIMIT, 60.0)
    found.take("last", LIMIT, 70.0)
    assert found.count_buckets() <= 2
    assert not found._heard
    assert set(found.build_report(70.0)) == {"last"}


PAUSES = strategies.lists(strategies.floats(0.0, 2.0), min_size=1, max_size=80)
SAME_VERDICT = hypothesis.settings(max_examples=60, deadline=None, derandomize=True)


@SAME_VERDICT
@hypothesis.given(PAUSES)
def test_entry_alone_never_passes_its_limit_in_any_window(pauses):
    found = quota.SharedQuota()
    found.update_member_counts(1, 1)
    now = 0.0
    passed = []
    for pause in pauses:
        now += pause
        if not found.take("w", LIMIT, now):
            passed.append(now)
    for first, began in enumerate(passed):
        count = bisect.bisect(passed, began + WINDOW_S) - first
        assert count <= count_allowed(LIMIT)


@SAME_VERDICT
@hypothesis.given(PAUSES, strategies.integers(1, 3), strategies.randoms())
def test_reports_that_come_twice_or_are_lost_count_each_take_once(pauses, times, draw):
    here, there = quota.SharedQuota(), quota.SharedQuota()
    wide = quota.Limit(1.0, 1000.0)
    for each in (here, there):
        each.update_member_counts(2, 2)
    now = told_at = 10.0
    there.take("w", wide, now)
    taken = 0
    for pause in pauses:
        now += pause / 4
        taken += not here.take("w", wide, now)
        # A report tells of the last second at least; none is lost for so long.
        if draw.random() < 0.7 or now - told_at > 0.5:
            told_at = now
            for _ in range(times):
                there.merge_report(
                    "here", here.build_report(now), lambda name: wide, now
                )
    there.merge_report("here", here.build_report(now), lambda name: wide, now)
    gained = now - 10.0
    level = there._buckets["w"].level
    assert level <= 1000.0
    assert 999.0 - taken - 1e-6 <= level <= 999.0 - taken + gained + 1e-6


def test_large_hot_workspace_stays_within_what_the_rule_allows_amid_a_cut():
    # Entries that are cut off, each alone, go on by the whole limit until they notice.
    limit = quota.Limit(rate_per_s=44.0, burst=44.0)
    fleet = Fleet(quota.SharedQuota, 33)
    fleet.split(4.0, [index + 1 if index < 11 else 0 for index in range(33)])
    fleet.play({"hot": 380.0}, 12.0, {"hot": limit})
    assert fleet.count_most("hot") <= 1.1 * count_allowed(limit) + 20
