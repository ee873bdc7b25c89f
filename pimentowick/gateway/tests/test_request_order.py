import dataclasses
import heapq
import random

import pytest

from pimentowick.gateway import admission
from pimentowick.gateway.policy import request_order
from pimentowick.scheduling import fairness

OBJECTIVE_S = 0.3
PATIENCE_S = 2.0
PLACE_S = 0.7


def play(rates, places, is_fair, until_s=60.0, seed=1):
    """Return the share of requests that start in time, by workspace."""
    draw = random.Random(seed)
    events = []
    for name, rate in rates.items():
        at = draw.expovariate(rate)
        while at < until_s:
            heapq.heappush(events, (at, 1, name))
            at += draw.expovariate(rate)
    turns = fairness.Tags()
    line = []
    free = places
    came = dict.fromkeys(rates, 0)
    in_time = dict.fromkeys(rates, 0)
    while events:
        now, kind, name = heapq.heappop(events)
        if kind == 0:
            free += 1
        else:
            came[name] += 1
            turn = turns.assign(name, 1.0) if is_fair else 0.0
            start_by, give_up_at = now + OBJECTIVE_S, now + PATIENCE_S
            line.append(
                admission.Demand("s", (0, 0), start_by, give_up_at, False, name, turn)
            )
        line = [entry for entry in line if entry.give_up_at > now]
        line.sort(key=lambda entry: request_order.compute_sort_key(entry, now))
        while free and line:
            entry = line.pop(0)
            turns.note_served(entry.turn)
            free -= 1
            in_time[entry.workspace] += now <= entry.start_by
            heapq.heappush(events, (now + PLACE_S, 0, ""))
        if not line:
            turns.forget()
    return {name: in_time[name] / came[name] for name in rates}


@pytest.mark.parametrize("seed", range(3))
def test_flood_of_one_workspace_does_not_make_the_others_late(seed):
    # Places for 32 requests a second, 20 from the others together, 25 from one.
    rates = {f"calm{n}": 1.0 for n in range(20)} | {"flood": 25.0}
    alone = play({name: rates[name] for name in list(rates)[:20]}, 23, True, seed=seed)
    beside = play(rates, 23, True, seed=seed)
    unfair = play(rates, 23, False, seed=seed)
    calm = [name for name in rates if name != "flood"]

    def average(found):
        return sum(found[name] for name in calm) / len(calm)

    assert average(beside) >= average(alone) - 0.05
    assert average(unfair) < average(beside) - 0.1


def make(**changes):
    demand = admission.Demand("s", (0, 0), 10.0, 20.0)
    return dataclasses.replace(demand, **changes)


def test_what_goes_before_what():
    order = [
        make(rank=(-1, 1), turn=9.0),
        make(begun=True, turn=9.0),
        make(turn=1.0, start_by=11.0),
        make(turn=2.0, start_by=9.0),
        make(turn=0.0, start_by=1.0),
        make(rank=(1, 0)),
    ]
    ranked = sorted(order, key=lambda entry: request_order.compute_sort_key(entry, 5.0))
    assert ranked == order
