"""Tests of the choice of a target by expected delay."""

import asyncio
import collections
import dataclasses
import math
import random
import statistics
import time
import types

import pytest

from pimentowick.gateway import admission, target
from pimentowick.gateway.policy import delay_choice, preemption, request_cost
from pimentowick.gateway.tests import uneven_load

SERVICE = "s"
MODERATE = uneven_load.Load()
UNEVEN = uneven_load.Load(speeds=(0.4, 1.0, 2.0), noise=0.3)
OVERLOAD = dataclasses.replace(UNEVEN, requests_per_s=165.0)


def replay(load, choice, seeds=2):
    """Return the mean figures of some replays."""
    rows = []
    for seed in range(seeds):
        random.seed(seed)
        rows.append(uneven_load.Replay(load, choice, seed).run().compute_figures())
    return {name: statistics.fmean(row[name] for row in rows) for name in rows[0]}


def make_targets(count, slots=8):
    return [
        target.Target(
            target.Registration(
                f"t{n}", SERVICE, "127.0.0.1", 1 + n, f"d{n % 3}", slots
            )
        )
        for n in range(count)
    ]


def make_situation(**changes):
    return delay_choice.Situation(
        **{"now": 0.0, "failure_domain": "d0", "mean_hold_s": 0.6, **changes}
    )


@pytest.mark.parametrize("load", [MODERATE, UNEVEN, OVERLOAD])
def test_waves_before_uneven_targets_are_answered_in_time_more_often(load):
    # Guards against slots of slow targets that are held for long, and against requests
    # that queue at targets chosen by several entries with the same news.
    by_slots = replay(load, delay_choice.SlotChoice())
    by_delay = replay(load, delay_choice.LeastDelayChoice())
    assert 1 - by_delay["in_aim"] < 0.75 * (1 - by_slots["in_aim"])
    assert by_delay["overfull"] < by_slots["overfull"]
    assert by_delay["p99"] < by_slots["p99"]


def test_targets_that_are_all_new_are_chosen_no_worse_than_by_slots():
    # Guards against a choice that needs estimates of speed.
    load = dataclasses.replace(UNEVEN, are_speeds_known=False)
    by_slots = replay(load, delay_choice.SlotChoice(), seeds=5)
    by_delay = replay(load, delay_choice.LeastDelayChoice(), seeds=5)
    assert by_delay["in_aim"] >= by_slots["in_aim"]


def test_loss_of_half_of_the_reports_leaves_the_choice_no_worse_than_by_slots():
    # Guards against entries that flock together when their news is old.
    load = dataclasses.replace(UNEVEN, loss=0.5)
    by_slots = replay(load, delay_choice.SlotChoice())
    by_delay = replay(load, delay_choice.LeastDelayChoice())
    assert by_delay["in_aim"] >= by_slots["in_aim"]
    assert by_delay["p99"] <= by_slots["p99"]


def test_three_hundred_entries_choose_no_worse_than_by_slots():
    # Guards against a choice that relies on how many requests one entry sends itself.
    load = dataclasses.replace(UNEVEN, entries=300, lag_s=(0.04, 0.15))
    by_slots = replay(load, delay_choice.SlotChoice())
    by_delay = replay(load, delay_choice.LeastDelayChoice())
    assert by_delay["in_aim"] >= by_slots["in_aim"]
    assert by_delay["overfull"] < by_slots["overfull"]


@pytest.mark.parametrize(
    "load",
    [
        target.ReportedLoad(0, 0, 10**6, 0.01),
        target.ReportedLoad(10**6, 10**6, 0, 10**4),
    ],
)
def test_target_that_lies_in_every_figure_keeps_about_its_share(load):
    # Guards against a target that draws all requests, or turns all away, by its word.
    targets = make_targets(20)
    rng = random.Random(1)
    choice = delay_choice.LeastDelayChoice()
    counts = collections.Counter()
    for _ in range(2000):
        targets[3].record_load(load, 0.0)
        counts[choice.choose(targets, make_situation(), rng).target.id] += 1
    liar = counts.pop("t3")
    honest = [counts[listed.id] for listed in targets[::3] if listed is not targets[3]]
    assert 0 < liar < 2 * statistics.fmean(honest)


def test_target_whose_slots_are_all_held_by_online_requests_is_not_chosen():
    # Guards against requests that queue at a target, however fast it is.
    targets = make_targets(2, slots=4)
    targets[0].relative_speed = 5.0
    targets[0].peers_online = 4
    rng = random.Random(1)
    choice = delay_choice.LeastDelayChoice()
    chosen = {
        selection.target.id
        for _ in range(100)
        if (selection := choice.choose(targets, make_situation(), rng))
    }
    assert chosen == {"t1"}
    targets[1].peers_online = 4
    assert choice.choose(targets, make_situation(), rng) is None


def test_near_target_is_preferred_among_about_equal_ones_only():
    # Guards against traffic between failure domains that gains nothing, and against a
    # slow target that is chosen because it is near.
    targets = make_targets(3)
    rng = random.Random(1)
    choice = delay_choice.LeastDelayChoice()

    def count_near():
        chosen = [
            choice.choose(targets, make_situation(mean_hold_s=1.0), rng)
            for _ in range(200)
        ]
        return sum(selection.target is targets[0] for selection in chosen)

    assert count_near() == 200
    targets[0].relative_speed = 0.2
    assert count_near() < 50


def test_slot_released_here_is_taken_at_once_where_all_others_are_full():
    # Guards against a free slot that waits until other entries have heard of it.
    targets = make_targets(20)
    for listed in targets:
        listed.peers_online = 8
    targets[5].peers_online = 7
    targets[5].acquire_online()
    targets[5].release_online(9.99)
    rng = random.Random(1)
    choice = delay_choice.LeastDelayChoice()
    situation = make_situation(now=10.0, propagation_delay_s=0.05)
    assert all(choice.choose(targets, situation, rng) for _ in range(50))
    # Once others may know of it, only some of them send their requests there.
    later = dataclasses.replace(situation, now=10.1)
    sent = sum(choice.choose(targets, later, rng) is not None for _ in range(200))
    assert 0 < sent < 100


def test_request_that_lost_its_target_is_sent_to_another_one_at_once():
    # Guards against a retry at the target that failed, because no other is chosen.
    targets = make_targets(20)
    for listed in targets:
        listed.peers_online = 7
    rng = random.Random(1)
    choice = delay_choice.LeastDelayChoice()
    situation = make_situation(propagation_delay_s=0.3)
    sent = [choice.choose(targets, situation, rng) for _ in range(100)]
    assert None in sent
    retry = dataclasses.replace(situation, avoid=frozenset({"t0"}))
    sent = [choice.choose(targets, retry, rng) for _ in range(100)]
    assert all(selection.target.id != "t0" for selection in sent)


def test_short_holds_of_failed_requests_do_not_keep_requests_waiting():
    # Guards against an entry whose own requests fail at once and which then takes the
    # requests of others for too many to send any.
    async def run():
        controller, table = make_admission(is_shared=True)
        controller.mean_hold_s[SERVICE] = 1e-9
        for listed in table.by_id.values():
            listed.peers_online = 2
        # As many requests of others as run now may end and begin in the meantime.
        slots = [controller.try_acquire(make_slot_request()) for _ in range(12)]
        assert None not in slots

    random.seed(1)
    asyncio.run(run())


def test_wait_grows_with_expected_arrivals_and_shrinks_with_speed():
    # Guards against a sign or a unit that is wrong in the estimate.
    (listed,) = make_targets(1)
    situation = make_situation()

    def estimate(speed, room, arrivals):
        candidate = delay_choice.Candidate(listed, speed, room, room, 0)
        return delay_choice.estimate_delay(candidate, situation, arrivals)

    assert estimate(1.0, 1, 0.1) < estimate(1.0, 1, 1.0) < estimate(1.0, 1, 3.0)
    assert estimate(2.0, 1, 1.0) < estimate(1.0, 1, 1.0) < estimate(0.4, 1, 1.0)
    assert estimate(1.0, 8, 1.0) < estimate(1.0, 1, 1.0)
    assert all(math.isfinite(estimate(1.0, 1, a)) for a in (0.0, 1e6))


def test_item_goes_where_it_finishes_by_its_due_time():
    # Guards against items that are late because they run at a slow target, and against
    # items that wait although slots are unused.
    targets = make_targets(12)
    for number, listed in enumerate(targets):
        listed.relative_speed = 0.25 if number < 8 else 2.0

    def choose(due_in_s):
        random.seed(1)
        return [
            delay_choice.choose_for_item(targets, 0.0, "d0", 4.0, due_in_s)
            for _ in range(100)
        ]

    assert all(chosen.relative_speed == 2.0 for chosen in choose(8.0))
    assert any(chosen.relative_speed == 0.25 for chosen in choose(60.0))
    for listed in targets[8:]:
        listed.peers_batch = 8
    assert all(chosen.relative_speed == 0.25 for chosen in choose(8.0))
    for listed in targets:
        listed.peers_batch = 8
    assert set(choose(8.0)) == {None}


def test_item_that_loses_least_is_preempted():
    # Guards against preempting an item that would then be late.
    def make_item(events, remaining_s, due_in_s):
        return types.SimpleNamespace(
            events_generated=events, remaining_s=remaining_s, due_at=100.0 + due_in_s
        )

    due_soon = make_item(1, 4.0, 6.0)
    late = make_item(5, 4.0, 2.0)
    long = make_item(90, 1.0, 9.0)
    ordered = preemption.order_by_loss([due_soon, long, late], 100.0)
    assert ordered == [late, long, due_soon]


def make_admission(is_shared, count=3):
    table = target.TargetTable()
    for listed in make_targets(count):
        table.put(listed.registration)
    if is_shared:
        table.record_shared_hosts(SERVICE)
    return admission.Admission(table, "d0"), table


def make_slot_request(prompt_tokens=450):
    now = time.monotonic()
    cost = request_cost.Cost(prompt_tokens=prompt_tokens)
    return admission.SlotRequest(SERVICE, (0, 0), now + 1, now + 1, cost=cost)


def test_admission_chooses_by_delay_for_services_on_shared_hosts_only():
    # Guards against a change for services whose targets report no slowdown.
    random.seed(1)

    async def run():
        controller, table = make_admission(is_shared=True)
        table.by_id["t1"].relative_speed = 4.0
        table.by_id["t0"].relative_speed = 0.1
        slots = [controller.try_acquire(make_slot_request(0)) for _ in range(12)]
        chosen = collections.Counter(slot.target.id for slot in slots)
        assert chosen["t0"] < chosen["t2"] < chosen["t1"]
        assert all(slot.selection.delay_s > 0 for slot in slots)
        controller, _ = make_admission(is_shared=False)
        assert controller.try_acquire(make_slot_request()).selection is None

    asyncio.run(run())


def test_restart_of_a_target_under_its_old_identifier_starts_anew():
    # Guards against slots of a former run that count as free at the next one.
    async def run():
        controller, table = make_admission(is_shared=True, count=1)
        slot = controller.try_acquire(make_slot_request())
        restarted = dataclasses.replace(slot.target.registration, started_ms=5)
        table.put(restarted)
        slot.release()
        listed = table.by_id["t0"]
        assert table.get_targets(SERVICE) == (listed,)
        assert listed.online == 0
        assert not listed.count_private_slots(0.0)

    asyncio.run(run())
