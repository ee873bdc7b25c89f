"""Where a request goes: a less busy target, counting what other entries run.

Notes:
    Load pattern: online requests hold a place for about a second and come in waves
    of some seconds at twice to five times the lows; batch items fill the lows. An
    online request may go to a target that is full of batch items, since one of those is
    preempted at once (see `pimentowick.gateway.policy.preemption`); it may not go where
    other online requests fill all places, since engines know no priority and it would
    wait behind them.

    What entries know of each other is some 20 to 80 ms old. Each taking the least busy
    target, all would send what comes in that time to the same one. Here a target is
    drawn by its free places, one of all and one nearby, and the less busy is taken.

    As a wave begins, batch items have all places but a few. Where all entries send what
    comes in that time to these few, most of it waits there, behind requests that can't
    be preempted, while places of batch items would be had elsewhere. So only as many
    requests go to places that nobody has as there are such places; the others go where
    an item is preempted for them.

References:
    M. Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
"""

import math
import random

__all__ = [
    "choose_for_batch",
    "choose_for_online",
    "count_batch_capacity",
    "count_online_capacity",
]

# Share of all places that batch items leave free: an online request that comes in
# then starts without waiting for a preemption, and the item is not broken off.
HEADROOM_SHARE = 0.06


def count_online_capacity(targets, now):
    """Return how many places are not taken by online requests."""
    return sum(
        max(0, target.slots - target.total_online)
        for target in targets
        if target.is_usable(now)
    )


def count_batch_capacity(targets, now):
    """Return how many more batch items all targets together can take."""
    usable = [target for target in targets if target.is_usable(now)]
    headroom = math.ceil(HEADROOM_SHARE * sum(target.slots for target in usable))
    return max(0, sum(max(0, _count_untaken(t)) for t in usable) - headroom)


def choose_for_online(
    targets,
    now,
    failure_domain,
    avoid=frozenset(),
    expected_sends=1.0,
    draw=random.random,
):
    """Return the target for an online request, or None while all are full.

    Args:
        targets: Targets of the service.
        now: Monotonic time, in seconds.
        failure_domain: That of this entry; equal targets nearby go first, since
            bytes between failure domains are paid for.
        avoid: Identifiers of targets that this request was at.
        expected_sends: Requests that all entries send until they know of each other's.
        draw: Function that returns a number from 0 to 1.
    """
    usable = [
        target
        for target in targets
        if target.is_usable(now)
        and target.id not in avoid
        and target.total_online < target.slots
    ]
    free = [target for target in usable if _count_untaken(target) > 0]
    taken = [target for target in usable if _count_untaken(target) <= 0]
    places = sum(map(_count_untaken, free))
    if taken and places <= draw() * max(places, expected_sends):
        # An item is preempted, sooner where few already have to.
        drawn = _draw(
            taken, lambda target: target.slots - target.total_online, failure_domain
        )
    else:
        drawn = _draw(free, _count_untaken, failure_domain)
    if not drawn:
        return None
    return min(drawn, key=lambda target: _rank(target, failure_domain))


def _draw(targets, weigh, failure_domain):
    """Return one target of all and one of those nearby, drawn by weight."""
    near = [t for t in targets if t.registration.failure_domain == failure_domain]
    return [
        random.choices(group, [weigh(target) for target in group])[0]
        for group in (targets, near)
        if group
    ]


def _count_untaken(target):
    return target.slots - target.total_online - target.total_batch


def _rank(target, failure_domain):
    far = target.registration.failure_domain != failure_domain
    taken = target.total_online + target.total_batch
    return (max(0, taken + 1 - target.slots), taken / target.slots, far)


def choose_for_batch(targets, now, failure_domain):
    """Return the target for a batch item, or None while none has room."""
    if not count_batch_capacity(targets, now):
        return None
    free = [t for t in targets if t.is_usable(now) and _count_untaken(t) > 0]
    drawn = _draw(free, _count_untaken, failure_domain)
    return min(drawn, key=lambda target: _rank(target, failure_domain))
