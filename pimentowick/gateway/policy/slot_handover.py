"""Who gets a slot that becomes free, or seems to be free, amid stale load reports.

Notes:
    Load pattern: for some seconds requests arrive faster than slots become free, at
    some thirty entries that know each other's load 20 to 80 ms late. The few slots that
    seem to be free are seen by all of them. Requests that race for these queue at the
    targets, which know neither priorities nor objectives, while others wait in order.

    A slot that an entry releases is known to be free there and nowhere else. It goes to
    the next request of that entry, so that no other entry can have taken it meanwhile.
    Slots that seem to be free go to about as many requests of all entries as there are
    slots; the other requests queue at their entries.

References:
    K. Ousterhout et al., "Sparrow: distributed, low latency scheduling", 2013, on late
    binding of tasks to slots.
"""

import random

__all__ = ["can_hand_over", "should_queue"]


def can_hand_over(target, now):
    """Return whether a slot just released at a target may take the next request.

    Args:
        target: The `pimentowick.gateway.target.Target`, without the released request.
        now: Monotonic time, in seconds.
    """
    return target.is_usable(now) and target.total_online < target.slots


def should_queue(free_slots, expected_sends, draw=random.random):
    """Return whether a new request queues although slots seem to be free.

    Args:
        free_slots: Slots that seem to be free of online requests.
        expected_sends: Number of requests that all entries are expected to send before
            they receive each other's load reports.
        draw: Function that returns a random number in [0, 1).

    Examples:
        >>> should_queue(20, 5.0), should_queue(0, 5.0)
        (False, True)
        >>> [should_queue(2, 8.0, lambda: drawn) for drawn in (0.2, 0.3)]
        [False, True]
    """
    return draw() * expected_sends >= free_slots
