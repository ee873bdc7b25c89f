"""The decisions on waiting, refusing, placing and yielding, without input or output."""

import collections
import random

import pytest

from pimentowick.gateway import beside, placing, refusing, target

SLOTS = 8


def make_targets(count, slots=SLOTS, domain="a"):
    return [
        target.Target(
            target.Registration(f"t{n}", "s", "127.0.0.1", 1 + n, domain, slots)
        )
        for n in range(count)
    ]


def test_wave_of_online_requests_is_spread_and_moves_batch_aside():
    # The load swings between a third and twice its mean within seconds, and batch
    # items fill what is free in the lows. At each step of the wave every target
    # has online requests within its places, and no two differ by more than one.
    targets = make_targets(5)
    for wanted in [6, 30, 6, 38, 40, 12]:
        running = sum(each.online for each in targets)
        for each in targets:
            while running > wanted and each.online:
                each.online -= 1
                running -= 1
        while running < wanted:
            chosen = placing.choose_for_online(targets, 0.0, "a")
            chosen.online += 1
            running += 1
        for each in targets:
            each.batch -= beside.count_yields(each, "me", {})
            assert each.online <= each.slots
            assert each.online + each.batch <= each.slots
        while (chosen := placing.choose_for_batch(targets, 0.0, "a")) is not None:
            chosen.batch += 1
        totals = [each.online + each.batch for each in targets]
        assert max(totals) <= SLOTS
        assert min(totals) >= SLOTS - placing.HEADROOM


def test_full_targets_take_no_online_request():
    targets = make_targets(2)
    for each in targets:
        each.online = SLOTS - 1
        each.peers_online = 1
    assert placing.choose_for_online(targets, 0.0, "a") is None


def test_target_that_leaves_rests_or_was_tried_is_passed_over():
    targets = make_targets(4)
    targets[0].gone = True
    targets[1].paused_until = 5.0
    assert placing.choose_for_online(targets, 1.0, "a", {"t2"}).id == "t3"
    assert placing.choose_for_online(targets, 9.0, "a", {"t2", "t3"}).id == "t1"


def test_equal_targets_nearby_go_first():
    targets = make_targets(1, domain="far") + make_targets(1, domain="near")
    chosen = {placing.choose_for_online(targets, 0.0, "near") for _ in range(20)}
    assert chosen == {targets[1]}


@pytest.mark.parametrize("seed", range(20))
def test_entries_yield_together_as_much_as_needed(seed):
    # Several entries run items at a target that online requests have filled. Each
    # decides alone from what all have told, and together they take off as many
    # items as there are requests too many: fewer would make online callers wait,
    # more would throw work away.
    draw = random.Random(seed)
    counts = {f"e{n}": draw.randrange(4) for n in range(5)}
    online = draw.randrange(SLOTS + 3)
    yields = 0
    for name, own in counts.items():
        (seen,) = make_targets(1)
        seen.batch = own
        seen.peers_batch = sum(counts.values()) - own
        seen.peers_online = online
        peers = {key: value for key, value in counts.items() if key != name and value}
        yields += beside.count_yields(seen, name, peers)
    total = sum(counts.values())
    assert yields == min(total, max(0, online + total - SLOTS))


@pytest.mark.parametrize("seed", range(10))
def test_entries_that_see_the_same_places_fill_them_together(seed):
    # A wave of online requests ends and places become free at once. Eight entries
    # with items that wait all see them before they hear of each other's starts. Each
    # taking what it sees, eight times as many items would start as have a place.
    draw = random.Random(seed)
    waiting = [draw.randrange(1, 12) for _ in range(8)]
    room = draw.randrange(1, 30)
    started = sum(
        beside.count_starts(room, own, sum(waiting) - own, draw.random)
        for own in waiting
    )
    wanted = min(room, sum(waiting))
    assert abs(started - wanted) <= len(waiting) / 2


def test_hopeless_requests_are_refused_and_others_wait():
    # Two of five targets are lost in a wave: more requests come than places become
    # free. Those that would be late are told at once, the others are in time.
    hold_s = 0.8
    objective_s = 0.3
    places = 24
    outcomes = collections.Counter()
    for waiting in range(60):
        line = refusing.Line(places, 0, waiting, hold_s)
        hopeless = refusing.is_hopeless(line, objective_s)
        in_time = (waiting + 1) * hold_s / places + 0.08 <= objective_s
        assert hopeless != in_time
        outcomes[hopeless] += 1
        if hopeless:
            again_s = refusing.make_retry_after(line)
            assert 0.1 <= again_s <= 1.5
    assert outcomes[False] == 6


def test_short_objective_does_not_make_every_wait_hopeless():
    # A service answers within 20 ms and promises 50: a request waits the millisecond
    # until a place is free.
    assert not refusing.is_hopeless(refusing.Line(18, 0, 0, 0.02), 0.05)


def test_without_any_target_a_caller_is_not_held():
    line = refusing.Line(0, 0, 0, 0.5)
    assert refusing.is_hopeless(line, 10.0)
    assert refusing.make_retry_after(line) == refusing.LONGEST_RETRY_S


Item = collections.namedtuple("Item", "due_at steps_done")


def test_items_due_first_start_first_and_late_ones_last():
    late, soon, far, begun = Item(5, 9), Item(20, 0), Item(30, 0), Item(30, 4)
    order = beside.order_items([late, far, begun, soon], 10)
    assert order == [soon, begun, far, late]
