import dataclasses
import heapq
import random

import pytest

from pimentowick.gateway import admission
from pimentowick.gateway.policy import request_order
from pimentowick.scheduling import fairness

OBJECTIVE_S = 0.3
WAIT_TIMEOUT_S = 2.0
HOLD_S = 0.7


def replay(rates, slots, is_fair, until_s=60.0, seed=1):
    """Return the share of requests that start in time, by workspace."""
    draw = random.Random(seed)
    events = []
    for name, rate in rates.items():
        at = draw.expovariate(rate)
        while at < until_s:
            heapq.heappush(events, (at, 1, name))
            at += draw.expovariate(rate)
    tags = fairness.StartTags()
    queue = []
    free = slots
    arrived = dict.fromkeys(rates, 0)
    in_time = dict.fromkeys(rates, 0)
    while events:
        now, kind, name = heapq.heappop(events)
        if kind == 0:
            free += 1
        else:
            arrived[name] += 1
            start_tag = tags.assign(name, 1.0) if is_fair else 0.0
            start_deadline, wait_deadline = now + OBJECTIVE_S, now + WAIT_TIMEOUT_S
            queue.append(
                admission.SlotRequest(
                    "s", (0, 0), start_deadline, wait_deadline, False, name, start_tag
                )
            )
        queue = [entry for entry in queue if entry.wait_deadline > now]
        queue.sort(key=lambda entry: request_order.compute_sort_key(entry, now))
        while free and queue:
            entry = queue.pop(0)
            tags.record_served(entry.start_tag)
            free -= 1
            in_time[entry.workspace] += now <= entry.start_deadline
            heapq.heappush(events, (now + HOLD_S, 0, ""))
        if not queue:
            tags.reset()
    return {name: in_time[name] / arrived[name] for name in rates}


@pytest.mark.parametrize("seed", range(3))
def test_flood_of_one_workspace_does_not_delay_the_others(seed):
    # Capacity for 32 requests per second; 20 arrive from the others together, and 25
    # from one workspace.
    rates = {f"calm{n}": 1.0 for n in range(20)} | {"flood": 25.0}
    alone = replay(
        {name: rates[name] for name in list(rates)[:20]}, 23, True, seed=seed
    )
    with_flood = replay(rates, 23, True, seed=seed)
    unordered = replay(rates, 23, False, seed=seed)
    calm = [name for name in rates if name != "flood"]

    def average(shares):
        return sum(shares[name] for name in calm) / len(calm)

    assert average(with_flood) >= average(alone) - 0.05
    assert average(unordered) < average(with_flood) - 0.1


def make(**changes):
    demand = admission.SlotRequest("s", (0, 0), 10.0, 20.0)
    return dataclasses.replace(demand, **changes)


def test_sort_key_order():
    order = [
        make(rank=(-1, 1), start_tag=9.0),
        make(lost_target=True, start_tag=9.0),
        make(start_tag=1.0, start_deadline=11.0),
        make(start_tag=2.0, start_deadline=9.0),
        make(start_tag=0.0, start_deadline=1.0),
        make(rank=(1, 0)),
    ]
    ranked = sorted(order, key=lambda entry: request_order.compute_sort_key(entry, 5.0))
    assert ranked == order
