"""Whether a request is worth holding, and when to come back if not.

Notes:
    Load pattern: replicas are lost or a burst comes, and for some seconds more
    requests arrive than places become free. Held in order, all of them would be
    late; the ones that cannot start in time are told so at once, while a new attempt
    after the stated time can still be served.
"""

import dataclasses

__all__ = ["Line", "estimate_wait", "make_retry_after", "should_shed"]

# Time from the start at a target with free places to the first event.
FIRST_EVENT_S = 0.08
# A caller that waits longer than this share of its time gets no use of a late answer.
LONGEST_SHARE = 0.45
# One that would start later than this share of it is refused at once. Most waits turn
# out longer than estimated, since requests that are in time go before; so it is less
# than the longest.
LATE_SHARE = 0.3
LEAST_RETRY_S = 0.1
LONGEST_RETRY_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """The state of a service that decides.

    Attributes:
        places: Places of all usable targets.
        free: Places without an online request.
        waiting: Requests that wait at all entries.
        hold_s: Mean time that an online request holds a place, in seconds.
    """

    places: int
    free: int
    waiting: int
    hold_s: float


def estimate_wait(line):
    """Return in how many seconds a request that comes now gets a place.

    Examples:
        >>> estimate_wait(Line(40, 3, 0, 0.8))
        0.0
        >>> estimate_wait(Line(40, 0, 9, 0.8))
        0.2
        >>> estimate_wait(Line(0, 0, 0, 0.8))
        inf
    """
    if line.free > line.waiting:
        return 0.0
    if not line.places:
        return float("inf")
    return (line.waiting + 1 - line.free) * line.hold_s / line.places


def should_shed(line, objective_s, time_s=0.0):
    """Return whether a request that comes now is better told so at once.

    Args:
        line: The `Line`.
        objective_s: Time within which an answer is in time, in seconds.
        time_s: Time that its caller has, in seconds.

    A late answer is worth something to its caller, a refusal nothing, and the new
    attempt that it asks for is late, too; so a request waits for some part of the
    time that its caller has.
    """
    start_s = min(FIRST_EVENT_S, objective_s / 2)
    return estimate_wait(line) > max(objective_s - start_s, LATE_SHARE * time_s)


def make_retry_after(line):
    """Return after how many seconds a new attempt makes sense."""
    wait = estimate_wait(line)
    return min(LONGEST_RETRY_S, max(LEAST_RETRY_S, wait))
