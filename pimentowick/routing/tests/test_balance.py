import collections

import pytest

from pimentowick.membership import fleet
from pimentowick.routing import balance

NOW = 100.0


@pytest.fixture
def two_choice():
    return balance.TwoChoiceBalancer("here", lambda peer, now: True)


def count_choices(balancer, pool, calls, hold=False):
    counts = collections.Counter()
    for _ in range(calls):
        peer = balancer.choose(pool, now=NOW)
        counts[peer.name] += 1
        peer.online += hold
    return counts


def test_own_requests_count_before_the_next_report(two_choice, make_pool):
    """Guards against sending all requests between two load reports to one target."""
    counts = count_choices(two_choice, make_pool(10), 100, hold=True)
    assert max(counts.values()) <= 12


def test_local_targets_are_preferred_until_loaded(two_choice, make_pool):
    pool = make_pool(10, ("here", "there"))
    domains = {peer.name: peer.host.failure_domain for peer in pool.members}
    counts = count_choices(two_choice, pool, 15, hold=True)
    assert {domains[name] for name in counts} == {"here"}
    counts = count_choices(two_choice, pool, 200, hold=True)
    there = sum(n for name, n in counts.items() if domains[name] == "there")
    assert 60 <= there <= 100


def test_failing_target_does_not_attract_requests(two_choice, make_pool):
    """Guards against preferring a target that fails all requests immediately.

    Such a target appears to be the least loaded one.
    """
    tracked = fleet.Fleet(None, None, None, "e", None)
    pool = make_pool(4)
    for peer in pool.members[1:]:
        peer.online = 16
    failing = pool.members[0]
    tracked.eject([pool], failing, NOW)
    assert count_choices(two_choice, pool, 50)[failing.name] == 0
    # After its ejection it receives one request at a time.
    failing.ejected_until = 0.0
    failing.online = 1
    assert count_choices(two_choice, pool, 50)[failing.name] == 0


def test_recovered_target_receives_requests_again(two_choice, make_pool):
    """Guards against never probing a target again after it has recovered."""
    tracked = fleet.Fleet(None, None, None, "e", None)
    pool = make_pool(6)
    recovered = pool.members[2]
    tracked.eject([pool], recovered, NOW)
    recovered.ejected_until = 0.0
    for peer in pool.members:
        peer.online = 0 if peer is recovered else 8
    assert two_choice.choose(pool, now=NOW) is recovered
    tracked.record_success(recovered)
    assert count_choices(two_choice, pool, 50)[recovered.name] > 10


def test_probes_of_failing_targets_are_a_small_share(two_choice, make_pool):
    """Guards against probing failing targets with a large fraction of the requests.

    A third of a large fleet fails.
    """
    pool = make_pool(90)
    for peer in pool.members[:30]:
        peer.failures = 1
    counts = count_choices(two_choice, pool, 1000)
    assert 0 < sum(counts[peer.name] for peer in pool.members[:30]) <= 52


def test_half_of_the_targets_are_not_ejected_when_all_fail(two_choice, make_pool):
    """Guards against ejecting most targets during a short network fault.

    The few remaining targets would be overloaded.
    """
    tracked = fleet.Fleet(None, None, None, "e", None)
    pool = make_pool(5)
    for peer in pool.members * 3:
        tracked.eject([pool], peer, NOW)
    ejected = [peer for peer in pool.members if peer.ejected_until > NOW]
    assert len(ejected) == 2
    assert two_choice.choose(pool, now=NOW) not in ejected


def test_excluded_targets_are_taken_only_when_there_is_no_other(two_choice, make_pool):
    pool = make_pool(2)
    chosen = two_choice.choose(pool, excluded={"agent-0"}, now=NOW)
    assert chosen.name == "agent-1"
    assert two_choice.choose(pool, excluded={"agent-0", "agent-1"}, now=NOW) is not None


def test_an_empty_pool_has_no_choice(two_choice, make_pool):
    assert two_choice.choose(make_pool(0), now=NOW) is None


def test_choice_examines_a_fixed_number_of_targets(make_pool):
    for count in (100, 1900):
        examined = []
        balancer = balance.TwoChoiceBalancer(
            "here", lambda peer, now, examined=examined: examined.append(peer) or True
        )
        balancer.choose(make_pool(count), now=NOW)
        assert len(examined) == 4
