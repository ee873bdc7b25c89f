"""Order of queued batch items, and how many of them an entry may start.

Notes:
    Load pattern: slots become free for a few seconds between bursts of online requests.
    All entries observe the free slots at the same time, and each has queued items.
"""

import math
import random

__all__ = ["compute_entry_share", "is_late", "order_items", "sum_pending_weight"]

LATE_ITEM_WEIGHT = 0.1


def compute_entry_share(free_slots, own, others, draw=random.random):
    """Return this entry's share of the free slots, rounded at random.

    All entries observe the same free slots at the same time. If each of them filled
    all free slots, most of the started items would be preempted before their first
    event.

    Args:
        free_slots: Number of free slots.
        own: Number, or summed weight, of the items or requests queued at this entry.
        others: The same for all other entries together.
        draw: Function that returns a random number in [0, 1).

    Returns:
        Number of items or requests that this entry may start.

    Examples:
        >>> compute_entry_share(6, 5, 10, lambda: 0.0), compute_entry_share(6, 5, 0)
        (2, 5)
        >>> [compute_entry_share(1, 1, 3, lambda: drawn) for drawn in (0.7, 0.8)]
        [0, 1]
    """
    if free_slots <= 0 or own <= 0:
        return 0
    share = free_slots * own / (own + others)
    return min(math.ceil(own), free_slots, int(share + draw()))


def order_items(pending, now):
    """Return the queued items in the order in which to start them.

    Items that can no longer meet their due time come last. The others are ordered by
    shortest remaining time, then by earliest due time. Ordering by due time alone
    spends an overload on items that finish shortly after they are due; ordering the
    feasible items by due time starts and preempts more of them.

    The length of an item is unknown until it ends. Its remaining time is estimated from
    the mean length on its route minus the events generated so far, so that short items
    do not queue behind long ones.

    Args:
        pending: Objects with `due_at` (Unix time, in seconds), `remaining_s` (estimated
            remaining run time, in seconds) and `events_generated`.
        now: Unix time, in seconds.

    References:
        L. Schrage, "A proof of the optimality of the shortest remaining processing
        time discipline", 1968.
    """

    def make_sort_key(item):
        remaining_s = round(item.remaining_s, 1)
        return is_late(item, now), remaining_s, item.due_at, -item.events_generated

    return sorted(pending, key=make_sort_key)


def is_late(item, now):
    """Return whether an item can no longer finish by its due time."""
    return item.due_at <= now + item.remaining_s


def sum_pending_weight(pending, now):
    """Return the weight of the queued items in the division of free slots.

    Late items count less, so that entries with items that can still finish in time
    get more slots.
    """
    return sum(LATE_ITEM_WEIGHT if is_late(item, now) else 1.0 for item in pending)
