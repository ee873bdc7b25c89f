"""Choice of a target for a request, by free slots and the load reports of all entries.

Notes:
    Load pattern: online requests hold a slot for about a second and arrive in bursts of
    some seconds, at two to five times the rate between bursts, when batch items use the
    free slots. An online request may go to a target that is full of batch items, since
    one of them is preempted at once (see `pimentowick.gateway.policy.preemption`). It
    may not go to a target whose slots are all held by online requests: engines have no
    priorities, so it would queue there.

    The load that entries know of each other is 20 to 80 ms old. If each chose the least
    loaded target, all requests that arrive in that time would go to the same one.
    Instead, one target of all and one of the same failure domain are drawn at random,
    weighted by free slots, and the less loaded of the two is chosen.

    When a burst begins, batch items hold all slots but a few. If all entries sent their
    requests to these few, most would queue there behind requests that cannot be
    preempted. So only about as many requests go to unused slots as there are unused
    slots; the others go to targets where an item is preempted for them.

References:
    M. Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
"""

import math
import random

__all__ = [
    "choose_for_batch",
    "choose_for_online",
    "choose_for_trial",
    "count_batch_capacity",
    "count_online_capacity",
]

# Share of all slots that batch items leave unused, so that a new online request can
# start without a preemption.
HEADROOM_SHARE = 0.06


def count_online_capacity(targets, now):
    """Return the number of slots not held by online requests."""
    return sum(
        max(0, target.slots - target.total_online)
        for target in targets
        if target.is_usable(now)
    )


def count_batch_capacity(targets, now):
    """Return how many more batch items all targets together can run."""
    usable = [target for target in targets if target.is_usable(now)]
    slots = sum(target.slots for target in usable)
    # An only slot is not left unused for good.
    headroom = min(math.ceil(HEADROOM_SHARE * slots), max(0, slots - 1))
    return max(0, sum(max(0, _count_unused(t)) for t in usable) - headroom)


def choose_for_online(
    targets,
    now,
    failure_domain,
    avoid=frozenset(),
    expected_sends=1.0,
    draw=random.random,
):
    """Return the target for an online request, or None if all are full.

    Args:
        targets: Targets of the service.
        now: Monotonic time, in seconds.
        failure_domain: Failure domain of this entry. It is preferred among equally
            loaded targets, since traffic between failure domains is charged.
        avoid: Identifiers of targets that this request was sent to before.
        expected_sends: Number of requests that all entries are expected to send before
            they receive each other's load reports.
        draw: Function that returns a random number in [0, 1).
    """
    usable = [
        target
        for target in targets
        if target.is_usable(now)
        and target.id not in avoid
        and target.total_online < target.slots
    ]
    free = [target for target in usable if _count_unused(target) > 0]
    full = [target for target in usable if _count_unused(target) <= 0]
    unused = sum(map(_count_unused, free))
    if full and unused <= draw() * max(unused, expected_sends):
        # Targets with more batch items to preempt are more likely.
        drawn = _draw(
            full, lambda target: target.slots - target.total_online, failure_domain
        )
    else:
        drawn = _draw(free, _count_unused, failure_domain)
    if not drawn:
        return None
    return min(drawn, key=lambda target: _rank(target, failure_domain))


def choose_for_trial(targets, now, crashed):
    """Return the target at which a crash does the least harm, or None if all are full.

    Trials are rare, so that they need not be spread. Batch items resume elsewhere, and
    most online requests are lost.

    Args:
        targets: Targets of the service.
        now: Monotonic time, in seconds.
        crashed: Runs of targets that crashed under the request. They may still be
            listed, and another run may have their address.
    """
    usable = [
        target
        for target in targets
        if target.is_usable(now)
        and target.run_id not in crashed
        and target.total_online < target.slots
    ]
    return min(
        usable,
        key=lambda target: (target.total_online, target.total_batch),
        default=None,
    )


def _draw(targets, weigh, failure_domain):
    """Return one target of all and one of the failure domain, drawn by weight."""
    near = [t for t in targets if t.registration.failure_domain == failure_domain]
    return [
        random.choices(group, [weigh(target) for target in group])[0]
        for group in (targets, near)
        if group
    ]


def _count_unused(target):
    return target.slots - target.total_online - target.total_batch


def _rank(target, failure_domain):
    is_remote = target.registration.failure_domain != failure_domain
    used = target.total_online + target.total_batch
    return (max(0, used + 1 - target.slots), used / target.slots, is_remote)


def choose_for_batch(targets, now, failure_domain):
    """Return the target for a batch item, or None if none has capacity."""
    if not count_batch_capacity(targets, now):
        return None
    free = [t for t in targets if t.is_usable(now) and _count_unused(t) > 0]
    drawn = _draw(free, _count_unused, failure_domain)
    return min(drawn, key=lambda target: _rank(target, failure_domain))
