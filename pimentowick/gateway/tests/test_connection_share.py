import collections
import heapq
import math
import random

import pytest

from pimentowick.gateway.policy import connection_share

ENTRIES = 28
TARGETS = 20
SLOTS = 8
MAX_CONNECTIONS = 360
EVEN_SHARE = (MAX_CONNECTIONS - SLOTS) // ENTRIES
# Share of the requests whose connection is closed because their caller left.
CANCELLED_SHARE = 0.07


class Pool:
    """The connections of one entry to one target in virtual time."""

    def __init__(self, policy, timeout_s):
        self.policy = policy
        self.timeout_s = timeout_s
        self.peak = connection_share.PeakUse()
        self.idle = []
        self.busy = 0

    def take(self, now):
        """Take an idle connection; return whether there was one."""
        self.busy += 1
        self.peak.record(self.busy, now)
        self.expire(now)
        if not self.idle:
            return False
        self.idle.pop()
        return True

    def expire(self, now):
        self.idle = [until for until in self.idle if until > now]

    def give_back(self, now, is_reusable):
        self.busy -= 1
        limit = self.policy.compute_max_idle(EVEN_SHARE, self.peak.get(now))
        if is_reusable and len(self.idle) < limit:
            idle_s = self.policy.compute_idle_time(self.timeout_s)
            assert idle_s < self.timeout_s
            self.idle.append(now + idle_s)


class Fleet:
    """Entries of uneven use that send waves of requests to targets."""

    def __init__(self, policy, seed, timeout_s=15.0):
        self.rng = random.Random(seed)
        self.weights = [self.rng.uniform(0.2, 2.0) for _ in range(ENTRIES)]
        self.pools = [
            [Pool(policy, timeout_s) for _ in range(TARGETS)] for _ in range(ENTRIES)
        ]
        self.ends = []
        self.running = [0] * TARGETS
        self.requests = 0
        self.opened = 0
        self.opened_by_second = collections.Counter()
        self.peak_connections = 0

    def run(self, began_at, seconds, requests_per_s=130.0):
        now = began_at
        while now < began_at + seconds:
            wave = 1 + 0.67 * math.sin(now * 2 * math.pi / 6.0)
            now += self.rng.expovariate(requests_per_s * wave)
            self.release(now)
            self.send(now)

    def send(self, now):
        least = min(self.running)
        if least >= SLOTS:
            return
        target = self.rng.choice(
            [n for n in range(TARGETS) if self.running[n] == least]
        )
        (entry,) = self.rng.choices(range(ENTRIES), self.weights)
        self.requests += 1
        self.running[target] += 1
        if not self.pools[entry][target].take(now):
            self.opened += 1
            self.opened_by_second[target, int(now)] += 1
            self.update_peak(target)
        hold_s = self.rng.expovariate(1 / 0.5)
        end = (now + hold_s, entry, target, self.rng.random() >= CANCELLED_SHARE)
        heapq.heappush(self.ends, end)

    def update_peak(self, target):
        pools = [pools[target] for pools in self.pools]
        count = sum(pool.busy + len(pool.idle) for pool in pools)
        self.peak_connections = max(self.peak_connections, count)

    def release(self, now):
        while self.ends and self.ends[0][0] <= now:
            at, entry, target, is_reusable = heapq.heappop(self.ends)
            self.running[target] -= 1
            self.pools[entry][target].give_back(at, is_reusable)

    def restart_entries(self):
        for pool in (pool for pools in self.pools for pool in pools):
            pool.idle, pool.busy = [], 0
        self.ends = []
        self.running = [0] * TARGETS


def measure_share(policy, seed, timeout_s=15.0):
    """Return new connections per request after the first ones, and the fleet."""
    fleet = Fleet(policy, seed, timeout_s)
    fleet.run(0.0, 30.0)
    requests, opened = fleet.requests, fleet.opened
    fleet.run(30.0, 30.0)
    return (fleet.opened - opened) / (fleet.requests - requests), fleet


@pytest.mark.parametrize("seed", range(2))
def test_connections_are_reused_between_waves(seed):
    # Guards against connections that are closed before an entry's next request.
    before, _ = measure_share(connection_share.EvenShare(), seed)
    after, fleet = measure_share(connection_share.PeakShare(), seed)
    assert after < before / 2
    assert fleet.peak_connections <= MAX_CONNECTIONS


@pytest.mark.parametrize("seed", range(2))
def test_entries_that_return_together_stay_within_the_limit_of_each_target(seed):
    # Guards against entries that all connect at once and are reset by the targets.
    _, fleet = measure_share(connection_share.PeakShare(), seed)
    fleet.restart_entries()
    fleet.run(60.0, 5.0)
    assert fleet.peak_connections <= MAX_CONNECTIONS
    returned = [
        count for (_, second), count in fleet.opened_by_second.items() if second >= 60
    ]
    assert max(returned) < MAX_CONNECTIONS / 4


def test_idle_time_ends_before_the_timeout_of_the_target():
    # Guards against a request that meets the close of its connection.
    policy = connection_share.PeakShare()
    for timeout_s in range(1, 300):
        idle_s = policy.compute_idle_time(float(timeout_s))
        assert idle_s <= 0.8 * timeout_s
        assert idle_s >= connection_share.EvenShare().compute_idle_time(timeout_s)
