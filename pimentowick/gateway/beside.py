"""How much batch work runs beside online requests, and who yields.

Notes:
    Load pattern: online requests come in waves that last seconds, a batch item holds
    its place longer than a wave. An item yields within a message between entries,
    and goes on elsewhere after its last event: that costs one more read of its
    prompt, some milliseconds of a target.
"""

import math
import random

from pimentowick import rendezvous

__all__ = [
    "count_starts",
    "count_yields",
    "is_late",
    "order_items",
    "weigh_pending",
]

LATE_WEIGHT = 0.1


def count_starts(room, own, others, draw=random.random):
    """Return how many items an entry starts now, its share of the room there is.

    All entries see the same free places at the same time. Each filling them alone,
    most items would have to yield again before their first event (194 of 404 yields
    on a measured day).

    Args:
        room: Free places for batch items.
        own: Items that wait at this entry, or their weight.
        others: Items that wait at other entries, or their weight.
        draw: Function that returns a number from 0 to 1.

    Examples:
        >>> count_starts(6, 5, 10, lambda: 0.0), count_starts(6, 5, 0)
        (2, 5)
        >>> count_starts(1, 1, 3, lambda: 0.7), count_starts(1, 1, 3, lambda: 0.8)
        (0, 1)
    """
    if room <= 0 or own <= 0:
        return 0
    share = room * own / (own + others)
    return min(math.ceil(own), room, int(share + draw()))


def count_yields(target, own, peers):
    """Return how many of its own items an entry takes off a target.

    All entries work it out alike from what they told each other, so that together
    they take off as many items as the target has requests too many.

    Args:
        target: The `pimentowick.gateway.target.Target`.
        own: Name of this entry.
        peers: Number of items of each other entry at the target, by name.

    Returns:
        Number of items.
    """
    excess = target.all_online + target.all_batch - target.slots
    if excess <= 0 or not target.batch:
        return 0
    counts = dict(peers)
    counts[own] = target.batch
    order = sorted(counts, key=lambda name: rendezvous.weigh(target.id, name))
    for name in order:
        share = min(excess, counts[name])
        if name == own:
            return share
        excess -= share
    return 0


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


def weigh_pending(pending, now):
    """Return what an entry's share of the free places is measured by.

    Items that are late whatever is done leave the places to others' that are not.
    """
    return sum(LATE_WEIGHT if is_late(entry, now) else 1.0 for entry in pending)
