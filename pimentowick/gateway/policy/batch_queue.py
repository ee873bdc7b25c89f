"""Which batch items start beside online requests, how many of them, and in which order.

Notes:
    Load pattern: places become free in the lows between waves of online requests, for
    a few seconds; all entries see them at the same time and have items that wait.
"""

import math
import random

__all__ = ["compute_entry_share", "is_late", "order_items", "sum_pending_weight"]

LATE_ITEM_WEIGHT = 0.1


def compute_entry_share(room, own, others, draw=random.random):
    """Return how many items an entry starts now, its share of the room there is.

    All entries see the same free places at the same time. Each filling them alone,
    most items would be preempted again before their first event.

    Args:
        room: Free places for batch items.
        own: Items that wait at this entry, or their weight.
        others: Items that wait at other entries, or their weight.
        draw: Function that returns a number from 0 to 1.

    Examples:
        >>> compute_entry_share(6, 5, 10, lambda: 0.0), compute_entry_share(6, 5, 0)
        (2, 5)
        >>> [compute_entry_share(1, 1, 3, lambda: drawn) for drawn in (0.7, 0.8)]
        [0, 1]
    """
    if room <= 0 or own <= 0:
        return 0
    share = room * own / (own + others)
    return min(math.ceil(own), room, int(share + draw()))


def order_items(pending, now):
    """Return what waits in the order in which it starts.

    Args:
        pending: Objects with `due_at`, a Unix time, `left_s`, the seconds that they
            still have to run, and `steps_done`.
        now: Unix time.

    Items that cannot be done by their due time come last; among the others the one
    with least left to run goes first, and of those alike the earliest due. Ordered by
    due time alone, an overload would be spent on items that are done shortly after
    it, one after the other; with the earliest due first among those that can be in
    time, a tenth fewer are, since more are begun and broken off.

    How long an item is nobody knows before its end: what is left is the mean of its
    route less what is done, so that long items don't wait behind short ones.

    References:
        L. Schrage, "A proof of the optimality of the shortest remaining processing
        time discipline", 1968.
    """

    def rank(entry):
        left = round(entry.left_s, 1)
        return is_late(entry, now), left, entry.due_at, -entry.steps_done

    return sorted(pending, key=rank)


def is_late(entry, now):
    """Return whether an item cannot be done by its due time any more."""
    return entry.due_at <= now + entry.left_s


def sum_pending_weight(pending, now):
    """Return what an entry's share of the free places is measured by.

    Items that are late whatever is done leave the places to others' that are not.
    """
    return sum(LATE_ITEM_WEIGHT if is_late(entry, now) else 1.0 for entry in pending)
