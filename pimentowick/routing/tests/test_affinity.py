import random

import pytest

from pimentowick.routing import affinity, balance, prefix

NOW = 100.0


def make_affinity():
    near = balance.TwoChoiceBalancer("here", lambda peer, now: True)
    return affinity.AffinityBalancer(near)


@pytest.fixture
def chooser():
    return make_affinity()


def make_levels(seed, length=2000):
    return prefix.hash_prefixes(random.Random(seed).randbytes(length // 2).hex())


def test_a_prefix_goes_where_it_went_before(chooser, make_pool):
    pool = make_pool(1900)
    homes = [chooser.choose(pool, make_levels(i), now=NOW) for i in range(50)]
    again = [chooser.choose(pool, make_levels(i), now=NOW) for i in range(50)]
    assert homes == again
    assert len(set(homes)) > 40


def test_entries_agree_without_a_message(make_pool):
    levels = [make_levels(i) for i in range(50)]
    first, second = make_affinity(), make_affinity()
    ours = [first.choose(make_pool(40), each, now=NOW).name for each in levels]
    theirs = [second.choose(make_pool(40), each, now=NOW).name for each in levels]
    assert ours == theirs


def test_the_longest_known_prefix_decides(chooser, make_pool):
    pool = make_pool(40)
    text = "s" * 1000
    chooser.choose(pool, prefix.hash_prefixes(text + "a" * 1000), now=NOW)
    other = pool.members[7]
    levels = prefix.hash_prefixes(text + "b" * 1000)
    chooser.prefix_index.insert(levels, other.name, NOW)
    longer = prefix.hash_prefixes(text + "b" * 1000 + "question" * 20)
    assert chooser.choose(pool, longer, now=NOW) is other


def test_a_popular_prefix_spreads_within_the_bound(chooser, make_pool):
    """Everybody asks about one document. Without a bound its target gets all of it,
    and a user waits in that queue while others idle."""
    pool = make_pool(10)
    levels = make_levels(3)
    for number in range(200):
        chooser.choose(pool, levels, now=NOW).online += 1
        if number % 10 == 0:
            for peer in pool.members:
                peer.report["online"] = peer.online_at_report = peer.online
                pool.add(peer)
    assert max(peer.online for peer in pool.members) <= 1.6 * 20


def test_a_lost_target_moves_only_its_own_prefixes(chooser, make_pool):
    """A host is lost. If the prefixes of the others moved too, every cache would be
    cold and every user would wait for whole prompts to be read again."""
    pool = make_pool(40)
    levels = [make_levels(i) for i in range(100)]
    before = [chooser.choose(pool, each, now=NOW) for each in levels]
    lost = before[0]
    pool.discard(lost)
    after = [chooser.choose(pool, each, now=NOW) for each in levels]
    moved = [old for old, new in zip(before, after, strict=True) if old is not new]
    assert set(moved) == {lost}


def test_a_holder_whose_cache_forgot_is_not_preferred(chooser, make_pool):
    """The report says that blocks stay ten seconds in that cache. Requests that
    still went there for an older prefix would wait for nothing."""
    pool = make_pool(40)
    levels = make_levels(3)
    home = chooser.choose(pool, levels, now=NOW)
    holder = next(peer for peer in pool.members if peer is not home)
    holder.report["cache_life_s"] = 10.0
    chooser = make_affinity()
    chooser.prefix_index.insert(levels, holder.name, NOW)
    assert chooser.choose(pool, levels, now=NOW + 9) is holder
    chooser.prefix_index.insert(levels, holder.name, NOW)
    assert chooser.choose(pool, levels, now=NOW + 11) is home


def test_the_memory_is_bounded():
    prefix_index = prefix.PrefixIndex(max_entries=100)
    for seed in range(100):
        prefix_index.insert(make_levels(seed), "t", NOW)
    assert len(prefix_index) == 100
