import heapq
import random

import pytest

from pimentowick.gateway.policy import memory_budget

MEGABYTE = 1_000_000
BODY_BYTES = 8 * MEGABYTE
MEMORY_BYTES = 160 * MEGABYTE
IDLE_BYTES = 50 * MEGABYTE
URGENT, ORDINARY, BATCH = (
    memory_budget.Rank.URGENT,
    memory_budget.Rank.ORDINARY,
    memory_budget.Rank.BATCH,
)


class Host:
    """A host in virtual time whose callers send large bodies.

    A body takes `read_s` to arrive and is then held for the time of an answer.
    """

    def __init__(self, seed, is_limited=True):
        self.rng = random.Random(seed)
        self.budget = memory_budget.MemoryBudget()
        self.is_limited = is_limited
        self.ends = []
        self.accepted = []
        self.refused = []
        self.peak_bytes = 0

    def compute_resident(self):
        copies = memory_budget.COPIES * (self.budget.held - self.budget.expected)
        return IDLE_BYTES + copies

    def run(self, seconds, bodies_per_s, read_s=0.7, callers=20, greedy=0.0):
        now = 0.0
        while now < seconds:
            now += self.rng.expovariate(bodies_per_s)
            self.release(now)
            if self.is_limited:
                self.budget.capacity = memory_budget.compute_capacity(
                    MEMORY_BYTES,
                    self.compute_resident(),
                    self.budget.held - self.budget.expected,
                    IDLE_BYTES,
                )
            self.offer(now, read_s, callers, greedy)

    def offer(self, now, read_s, callers, greedy):
        caller = 0 if self.rng.random() < greedy else self.rng.randrange(1, callers)
        rank = self.rng.choice([URGENT, ORDINARY, BATCH])
        if not self.budget.may_accept_body(caller, BODY_BYTES, rank):
            self.refused.append((caller, rank))
            return
        self.accepted.append((caller, rank))
        account = memory_budget.Account(self.budget, caller, now)
        account.reserve_body(BODY_BYTES)
        heapq.heappush(self.ends, (now + read_s, len(self.accepted), account, True))

    def release(self, now):
        while self.ends and self.ends[0][0] <= now:
            at, number, account, arrives = heapq.heappop(self.ends)
            if not arrives:
                account.close(at)
                continue
            account.receive_body(BODY_BYTES)
            self.peak_bytes = max(self.peak_bytes, self.compute_resident())
            held_s = self.rng.expovariate(1 / 1.0)
            heapq.heappush(self.ends, (at + held_s, number, account, False))

    def count(self, rank):
        accepted = sum(each == rank for _, each in self.accepted)
        refused = sum(each == rank for _, each in self.refused)
        return accepted / (accepted + refused)


@pytest.mark.parametrize("seed", range(3))
def test_large_bodies_never_exceed_the_memory_of_a_small_host(seed):
    # Guards against a process that is killed because it holds all bodies that arrive.
    host = Host(seed)
    host.run(60.0, bodies_per_s=10.0)
    assert host.peak_bytes < MEMORY_BYTES
    assert host.accepted
    before = Host(seed, is_limited=False)
    before.run(60.0, bodies_per_s=10.0)
    assert before.peak_bytes > MEMORY_BYTES
    host.release(1e9)
    assert host.budget.held == host.budget.expected == 0


@pytest.mark.parametrize("seed", range(3))
def test_urgent_requests_are_refused_last_and_batch_jobs_first(seed):
    # Guards against batch jobs that take the memory of urgent requests.
    host = Host(seed)
    host.run(120.0, bodies_per_s=3.0)
    assert host.count(URGENT) > host.count(ORDINARY) > host.count(BATCH)


@pytest.mark.parametrize("seed", range(3))
def test_caller_with_many_bodies_does_not_shut_out_the_others(seed):
    # Guards against one caller that holds all of the memory.
    def run(greedy):
        host = Host(seed)
        host.run(120.0, bodies_per_s=6.0 if greedy else 1.0, greedy=greedy)
        accepted = sum(caller > 0 for caller, _ in host.accepted)
        refused = sum(caller > 0 for caller, _ in host.refused)
        return accepted / (accepted + refused), host

    _, host = run(5 / 6)
    of_greedy = sum(caller == 0 for caller, _ in host.accepted)
    offered = of_greedy + sum(caller == 0 for caller, _ in host.refused)
    assert run(5 / 6)[0] > of_greedy / offered


def test_small_bodies_are_accepted_while_large_ones_are_refused():
    # Guards against a host that refuses everything because of a few large bodies.
    budget = memory_budget.MemoryBudget()
    budget.capacity = 10 * MEGABYTE
    account = memory_budget.Account(budget, "a", 0.0)
    account.reserve_body(9 * MEGABYTE)
    assert not budget.may_accept_body("b", MEGABYTE, URGENT)
    assert budget.may_accept_body("b", 2000, BATCH)
    account.close(1.0)
    assert budget.may_accept_body("b", 5 * MEGABYTE, BATCH)


def test_bodies_are_accepted_without_a_limit():
    # Guards against a change for hosts whose settings give no memory limit.
    budget = memory_budget.MemoryBudget()
    memory_budget.Account(budget, "a", 0.0).reserve_body(1000 * MEGABYTE)
    assert budget.may_accept_body("a", BODY_BYTES, BATCH)


def test_oldest_buffered_response_goes_on_when_the_capacity_is_used_up():
    # Guards against responses that all wait for room that none of them releases.
    budget = memory_budget.MemoryBudget()
    budget.capacity = 1000
    first, second = (memory_budget.Account(budget, n, 0.0) for n in "ab")
    for account in (first, second):
        account.add(memory_budget.Kind.RESPONSE, 600)
    assert budget.may_buffer(first)
    assert not budget.may_buffer(second)
    first.close(1.0)
    assert budget.may_buffer(second)


@pytest.mark.parametrize("readers", [1, 50, 500])
def test_unread_bytes_stay_within_their_share(readers):
    # Guards against slow readers that each get a share, and together too much.
    budget = memory_budget.MemoryBudget()
    budget.capacity = 40 * MEGABYTE
    accounts = [memory_budget.Account(budget, n, 0.0) for n in range(readers)]
    chunk = 4096
    writing = dict.fromkeys(accounts)
    while writing:
        for account in list(writing):
            account.add(memory_budget.Kind.UNREAD, chunk)
            if budget.must_pause(account):
                del writing[account]
    share = memory_budget.UNREAD_SHARE * budget.capacity
    assert 0.9 * share < budget.held <= share + readers * chunk
    assert budget.may_accept_body("another", 2000, ORDINARY)


def test_callers_refused_together_return_one_after_the_other():
    # Guards against a wave of refused bodies that returns as a wave.
    budget = memory_budget.MemoryBudget()
    budget.capacity = 40 * MEGABYTE
    for _ in range(100):
        budget.record_hold(1.0)
    delays = [budget.refuse_body(BODY_BYTES, 10.0) for _ in range(12)]
    assert delays == sorted(set(delays))
    assert delays[-1] > 2 * delays[0]
    assert budget.refuse_body(BODY_BYTES, 20.0) < 1.1 * delays[0]
