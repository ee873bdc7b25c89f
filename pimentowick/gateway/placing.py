"""Where a request goes: the least busy target, counting what other entries run.

Notes:
    Load pattern: online requests hold a place for about a second and come in waves
    of some seconds at twice to five times the lows; batch items fill the lows. An
    online request may go to a target that is full of batch items, since one of those
    yields at once (see `pimentowick.gateway.beside`); it may not go where other
    online requests fill all places, since engines know no priority and it would wait
    behind them.
"""

import random

__all__ = ["choose_for_batch", "choose_for_online", "count_free", "count_room"]

# Places of a target that batch items leave free: an online request that comes in
# then starts without waiting for an item to yield.
HEADROOM = 1


def count_free(targets, now):
    """Return how many places are not taken by online requests."""
    return sum(
        max(0, target.slots - target.all_online)
        for target in targets
        if target.is_usable(now)
    )


def count_room(targets, now):
    """Return how many more batch items all targets together can take."""
    return sum(_get_room(target) for target in targets if target.is_usable(now))


def _get_room(target):
    taken = target.all_online + target.all_batch
    return max(0, target.slots - HEADROOM - taken)


def choose_for_online(targets, now, failure_domain, avoid=frozenset()):
    """Return the target for an online request, or None while all are full.

    Args:
        targets: Targets of the service.
        now: Monotonic time, in seconds.
        failure_domain: That of this entry; equal targets nearby go first, since
            bytes between failure domains are paid for.
        avoid: Identifiers of targets that this request was at.
    """
    best = None
    best_rank = None
    for target in targets:
        if not target.is_usable(now) or target.id in avoid:
            continue
        if target.all_online >= target.slots:
            continue
        taken = target.all_online + target.all_batch
        rank = (
            max(0, taken + 1 - target.slots),
            taken / target.slots,
            target.registration.failure_domain != failure_domain,
            random.random(),
        )
        if best_rank is None or rank < best_rank:
            best, best_rank = target, rank
    return best


def choose_for_batch(targets, now, failure_domain):
    """Return the target for a batch item, or None while none has room."""
    best = None
    best_rank = None
    for target in targets:
        room = _get_room(target)
        if not target.is_usable(now) or not room:
            continue
        rank = (
            -room / target.slots,
            target.registration.failure_domain != failure_domain,
            random.random(),
        )
        if best_rank is None or rank < best_rank:
            best, best_rank = target, rank
    return best
