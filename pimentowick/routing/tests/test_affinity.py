import random

import pytest

from pimentowick.routing import affinity, balance, prefix

NOW = 100.0


def make_affinity():
    fallback = balance.TwoChoiceBalancer("here", lambda peer, now: True)
    return affinity.AffinityBalancer(fallback)


@pytest.fixture
def balancer():
    return make_affinity()


def make_levels(seed, length=2000):
    return prefix.hash_prefixes(random.Random(seed).randbytes(length // 2).hex())


def test_prefix_is_routed_to_the_same_target_again(balancer, make_pool):
    pool = make_pool(1900)
    homes = [balancer.choose(pool, make_levels(i), now=NOW) for i in range(50)]
    again = [balancer.choose(pool, make_levels(i), now=NOW) for i in range(50)]
    assert homes == again
    assert len(set(homes)) > 40


def test_entries_agree_without_communication(make_pool):
    levels = [make_levels(i) for i in range(50)]
    first, second = make_affinity(), make_affinity()
    ours = [first.choose(make_pool(40), each, now=NOW).name for each in levels]
    theirs = [second.choose(make_pool(40), each, now=NOW).name for each in levels]
    assert ours == theirs


def test_the_longest_known_prefix_decides(balancer, make_pool):
    pool = make_pool(40)
    text = "s" * 1000
    balancer.choose(pool, prefix.hash_prefixes(text + "a" * 1000), now=NOW)
    other = pool.members[7]
    levels = prefix.hash_prefixes(text + "b" * 1000)
    balancer.prefix_index.insert(levels, other.name, NOW)
    longer = prefix.hash_prefixes(text + "b" * 1000 + "question" * 20)
    assert balancer.choose(pool, longer, now=NOW) is other


def test_a_popular_prefix_spreads_within_the_bound(balancer, make_pool):
    """Guards against sending all requests with a popular prefix to a single target.

    Without a load bound they would queue there while other targets are idle.
    """
    pool = make_pool(10)
    levels = make_levels(3)
    for number in range(200):
        balancer.choose(pool, levels, now=NOW).online += 1
        if number % 10 == 0:
            for peer in pool.members:
                peer.report["online"] = peer.online_at_report = peer.online
                pool.add(peer)
    assert max(peer.online for peer in pool.members) <= 1.6 * 20


def test_a_lost_target_moves_only_its_own_prefixes(balancer, make_pool):
    """Guards against remapping the prefixes of other targets when a host is lost.

    All caches would then be cold, and every prompt would be prefilled in full.
    """
    pool = make_pool(40)
    levels = [make_levels(i) for i in range(100)]
    before = [balancer.choose(pool, each, now=NOW) for each in levels]
    lost = before[0]
    pool.discard(lost)
    after = [balancer.choose(pool, each, now=NOW) for each in levels]
    moved = [old for old, new in zip(before, after, strict=True) if old is not new]
    assert set(moved) == {lost}


def test_holder_with_evicted_prefix_is_not_preferred(balancer, make_pool):
    """Guards against routing to a cache from which the prefix was already evicted.

    The agent reports a block lifetime of ten seconds.
    """
    pool = make_pool(40)
    levels = make_levels(3)
    home = balancer.choose(pool, levels, now=NOW)
    holder = next(peer for peer in pool.members if peer is not home)
    holder.report["cache_life_s"] = 10.0
    balancer = make_affinity()
    balancer.prefix_index.insert(levels, holder.name, NOW)
    assert balancer.choose(pool, levels, now=NOW + 9) is holder
    balancer.prefix_index.insert(levels, holder.name, NOW)
    assert balancer.choose(pool, levels, now=NOW + 11) is home


def test_prefix_index_is_bounded():
    prefix_index = prefix.PrefixIndex(max_prefixes=100)
    for seed in range(100):
        prefix_index.insert(make_levels(seed), "t", NOW)
    assert len(prefix_index) == 100
