"""One queue over all entries: whose requests get the slots that become free.

Notes:
    Load pattern: requests wait at some entries while slots become free at others, for
    seconds. An entry hears of slots and queues elsewhere tens of milliseconds late. If
    each entry served its own queue first, requests of a lower priority, late ones, or
    those of a workspace beyond its share would be served at one entry while the first
    of all requests waits at another.

    Each entry tells how many requests of each class wait there. Free slots go to the
    classes in order. Within a class they are divided by the number of requests. A slot
    that is released at an entry is left to the others if requests that come first wait
    there and not enough slots are free or will be released for them.

    A small share of all slots goes to requests behind the first priority: each entry
    earns credit for its part of them and spends it on the first one.

Failure pattern:
    A report is late or lost. The slots that are released within the propagation delay
    are left to a request with the probability at which it needs them, so that one
    waiting request does not hold back all entries.
"""

import collections
import dataclasses
import math

from pimentowick.gateway.policy import batch_queue

__all__ = [
    "LowPriorityCredit",
    "QueueClass",
    "compute_level",
    "compute_limit",
    "count_urgent",
    "limit_classes",
    "should_leave_slot",
    "sum_classes",
]

# Part of the slots that requests behind the first priority get in any case. A caller
# with timeouts of some seconds is answered after a few attempts.
MIN_LOW_PRIORITY_SHARE = 0.05
# Classes of a service in one report; the last one holds all behind it.
MAX_TOLD_CLASSES = 8
# Credit kept while no request can use it.
MAX_CREDIT = 1.0


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class QueueClass:
    """Requests among which slots are divided evenly; the smallest class comes first.

    Attributes:
        rank: Priority as a tuple; the smallest is the most urgent.
        is_late: Whether they can no longer start in time.
        level: See `compute_level`.
    """

    rank: tuple
    is_late: bool
    level: int


def compute_level(start_tag):
    """Return the class of a start tag: a step for each doubling of the share.

    Examples:
        >>> [compute_level(tag) for tag in (0.0, 0.5, 1.0, 3.0, 8.0)]
        [0, 0, 0, 1, 3]
    """
    return int(math.log2(max(1.0, start_tag)))


def limit_classes(counts):
    """Return the counts of the first classes; the last one holds the rest."""
    ordered = sorted(counts.items())
    kept = dict(ordered[:MAX_TOLD_CLASSES])
    rest = sum(count for _, count in ordered[MAX_TOLD_CLASSES:])
    if rest:
        kept[ordered[MAX_TOLD_CLASSES - 1][0]] += rest
    return kept


def count_urgent(queue_class, others):
    """Return how many requests at other entries are worth leaving a slot idle for.

    They have a higher priority, or are within the share of their workspace while those
    of the class are beyond it. Being in time is not enough: while the slot is idle,
    another request becomes late.

    Args:
        queue_class: First `QueueClass` of this entry.
        others: Number of requests queued at other entries, by class.
    """
    key = queue_class.rank, queue_class.level > 0
    return sum(n for each, n in others.items() if (each.rank, each.level > 0) < key)


def compute_limit(free_slots, own, others, draw):
    """Return how many of the free slots this entry may use for its queue.

    Args:
        free_slots: Number of free slots.
        own: Number of requests queued at this entry, by `QueueClass`.
        others: The same for all other entries together.
        draw: Function that returns a random number in [0, 1).

    Examples:
        >>> first, last = QueueClass((0,), False, 0), QueueClass((1,), False, 0)
        >>> compute_limit(3, {last: 5}, {first: 2}, lambda: 0.9)
        1
        >>> compute_limit(3, {first: 1, last: 5}, {last: 5}, lambda: 0.9)
        2
    """
    limit = 0
    left = free_slots
    for queue_class in sorted(own.keys() | others.keys()):
        if left <= 0:
            break
        here, elsewhere = own.get(queue_class, 0), others.get(queue_class, 0)
        limit += batch_queue.compute_entry_share(left, here, elsewhere, draw)
        left -= here + elsewhere
    return limit


def should_leave_slot(ahead, free_slots, expected_releases, draw):
    """Return whether to leave a slot that was released here to other entries.

    Args:
        ahead: Number of requests elsewhere from `count_urgent`.
        free_slots: Number of further free slots, which these requests get.
        expected_releases: Number of slots that all entries release within the
            propagation delay.
        draw: Function that returns a random number in [0, 1).
    """
    unserved = ahead - free_slots
    return unserved > 0 and draw() * max(unserved, expected_releases) < unserved


class LowPriorityCredit:
    """Credit of one entry for requests behind the first priority.

    Examples:
        >>> credit = LowPriorityCredit()
        >>> credit.earn(100.0, 1.0, now=0.0), credit.earn(100.0, 1.0, now=0.1)
        (False, False)
        >>> credit.earn(100.0, 1.0, now=0.21)
        True
    """

    def __init__(self):
        self._credit = 0.0
        self._updated_at = None

    def earn(self, slots_per_s, own_part, now):
        """Return whether to serve one of them next, at the cost of the credit.

        Args:
            slots_per_s: Number of slots that all entries release per second.
            own_part: This entry's part of all queued requests behind the first
                priority; 0.0 if it has none, or none of the first waits.
            now: Monotonic time, in seconds.
        """
        elapsed_s = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        if not own_part:
            return False
        earned = MIN_LOW_PRIORITY_SHARE * slots_per_s * own_part * max(0.0, elapsed_s)
        self._credit = min(MAX_CREDIT, self._credit + earned)
        if self._credit < MAX_CREDIT:
            return False
        self._credit = 0.0
        return True


def sum_classes(queues):
    """Return the counts of several queues together, by class."""
    total = collections.Counter()
    for counts in queues:
        total.update(counts)
    return total
