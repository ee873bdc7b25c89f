import collections

import pytest

from pimentowick.membership import fleet
from pimentowick.routing import balance

NOW = 100.0


@pytest.fixture
def near():
    return balance.TwoChoiceBalancer("here", lambda peer, now: True)


def count_choices(chooser, pool, calls, hold=False):
    counts = collections.Counter()
    for _ in range(calls):
        peer = chooser.choose(pool, now=NOW)
        counts[peer.name] += 1
        peer.online += hold
    return counts


def test_own_requests_count_before_the_next_report(near, make_pool):
    """Load reports are old: all requests between two of them seem to find the same
    empty target. A user would wait in its queue while others idle."""
    counts = count_choices(near, make_pool(10), 100, hold=True)
    assert max(counts.values()) <= 12


def test_near_targets_come_first_and_spill_when_full(near, make_pool):
    pool = make_pool(10, ("here", "there"))
    domains = {peer.name: peer.host.failure_domain for peer in pool.members}
    counts = count_choices(near, pool, 15, hold=True)
    assert {domains[name] for name in counts} == {"here"}
    counts = count_choices(near, pool, 200, hold=True)
    there = sum(n for name, n in counts.items() if domains[name] == "there")
    assert 60 <= there <= 100


def test_a_target_that_fails_at_once_does_not_draw_the_others(near, make_pool):
    """A target whose engine is gone answers every request at once with an error, so
    it looks like the emptiest one. A user would get errors while others serve."""
    known = fleet.Fleet(None, None, None, "e", None)
    pool = make_pool(4)
    for peer in pool.members[1:]:
        peer.online = 16
    broken = pool.members[0]
    known.eject([pool], broken, NOW)
    assert count_choices(near, pool, 50)[broken.name] == 0
    # Its time is over: it gets one request, and no second one beside that.
    broken.ejected_until = 0.0
    broken.online = 1
    assert count_choices(near, pool, 50)[broken.name] == 0


def test_a_target_that_works_again_gets_work_again(near, make_pool):
    """A target failed and was mended. If nobody tried it any more, its users would
    share what is left for good."""
    known = fleet.Fleet(None, None, None, "e", None)
    pool = make_pool(6)
    mended = pool.members[2]
    known.eject([pool], mended, NOW)
    mended.ejected_until = 0.0
    for peer in pool.members:
        peer.online = 0 if peer is mended else 8
    assert near.choose(pool, now=NOW) is mended
    known.record_success(mended)
    assert count_choices(near, pool, 50)[mended.name] > 10


def test_probes_of_failing_targets_are_a_small_share(near, make_pool):
    """A third of a large fleet fails. If each were tried again in its turn, a large
    part of all users would meet one of them."""
    pool = make_pool(90)
    for peer in pool.members[:30]:
        peer.failures = 1
    counts = count_choices(near, pool, 1000)
    assert 0 < sum(counts[peer.name] for peer in pool.members[:30]) <= 52


def test_half_of_the_targets_stay_when_all_fail(near, make_pool):
    """A network fault makes every target fail for a moment. If all were ejected, or
    all but one, the rest would drown and a user would be refused."""
    known = fleet.Fleet(None, None, None, "e", None)
    pool = make_pool(5)
    for peer in pool.members * 3:
        known.eject([pool], peer, NOW)
    ejected = [peer for peer in pool.members if peer.ejected_until > NOW]
    assert len(ejected) == 2
    assert near.choose(pool, now=NOW) not in ejected


def test_excluded_targets_are_taken_only_when_there_is_no_other(near, make_pool):
    pool = make_pool(2)
    chosen = near.choose(pool, excluded={"agent-0"}, now=NOW)
    assert chosen.name == "agent-1"
    assert near.choose(pool, excluded={"agent-0", "agent-1"}, now=NOW) is not None


def test_an_empty_pool_has_no_choice(near, make_pool):
    assert near.choose(make_pool(0), now=NOW) is None


def test_a_choice_looks_at_a_fixed_number_of_targets(make_pool):
    for count in (100, 1900):
        asked = []
        chooser = balance.TwoChoiceBalancer(
            "here", lambda peer, now, asked=asked: asked.append(peer) or True
        )
        chooser.choose(make_pool(count), now=NOW)
        assert len(asked) == 4
