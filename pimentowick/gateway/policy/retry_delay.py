"""After how long a caller that was turned away should come back.

Notes:
    Load pattern: many callers are turned away in the same second, by the loss of
    targets or by a wave. With one delay for all they would come back in the same
    moment and be turned away again.

    Delays are drawn uniformly from the time in which the room for all those turned
    away comes free. None is earlier than the time at which the caller is expected to be
    served. A caller that would come back too late to be served gets no delay.
"""

import random

__all__ = ["MIN_SPREAD_S", "compute_retry_after"]

# Callers that are turned away one after the other are spread as well.
MIN_SPREAD_S = 0.1


def compute_retry_after(expected_s, turned_away, room_per_s, left_s, draw=None):
    """Return the delay before a retry in seconds, or None if a retry is of no use.

    Args:
        expected_s: Time until the caller is expected to be served, in seconds.
        turned_away: Number of callers turned away lately, with this one.
        room_per_s: Requests that can start per second.
        left_s: Time until a start is of no use to the caller any more, in seconds.
        draw: Function that returns a random number in [0, 1).

    Examples:
        >>> compute_retry_after(0.5, 40, 100.0, 3.0, lambda: 0.5)
        0.7
        >>> compute_retry_after(0.5, 40, 0.0, 3.0) is None
        True
        >>> compute_retry_after(3.5, 40, 100.0, 3.0) is None
        True
    """
    if expected_s >= left_s or room_per_s <= 0:
        return None
    drawn = (draw or random.random)()
    spread_s = max(MIN_SPREAD_S, turned_away / room_per_s)
    return expected_s + drawn * min(spread_s, left_s - expected_s)
