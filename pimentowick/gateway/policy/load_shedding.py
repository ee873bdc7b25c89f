"""Whether a request is worth holding, and when to come back if not.

Notes:
    Load pattern: replicas are lost or a burst comes, and for some seconds more
    requests arrive than places become free. Held in order, all of them would be
    late; the ones that cannot start in time are told so at once, while a new attempt
    after the stated time can still be served.
"""

import dataclasses

__all__ = ["QueueState", "compute_retry_after", "estimate_wait", "should_shed"]

# Time from the start at a target with free places to the first event.
FIRST_EVENT_LATENCY_S = 0.08
# A caller that waits longer than this share of its time gets no use of a late answer.
MAX_WAIT_SHARE = 0.45
# One that would start later than this share of it is refused at once. Most waits turn
# out longer than estimated, since requests that are in time go before; so it is less
# than the longest.
LATE_SHARE = 0.3
LEAST_RETRY_S = 0.1
MAX_RETRY_AFTER_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class QueueState:
    """The state of a service that decides.

    Attributes:
        slots: Places of all usable targets.
        free_slots: Places without an online request.
        queued: Requests that wait at all entries.
        mean_hold_s: Mean time that an online request holds a place, in seconds.
    """

    slots: int
    free_slots: int
    queued: int
    mean_hold_s: float


def estimate_wait(line):
    """Return in how many seconds a request that comes now gets a place.

    Examples:
        >>> estimate_wait(QueueState(40, 3, 0, 0.8))
        0.0
        >>> estimate_wait(QueueState(40, 0, 9, 0.8))
        0.2
        >>> estimate_wait(QueueState(0, 0, 0, 0.8))
        inf
    """
    if line.free_slots > line.queued:
        return 0.0
    if not line.slots:
        return float("inf")
    return (line.queued + 1 - line.free_slots) * line.mean_hold_s / line.slots


def should_shed(line, objective_s, time_s=0.0):
    """Return whether a request that comes now is better told so at once.

    Args:
        line: The `QueueState`.
        objective_s: Time within which an answer is in time, in seconds.
        time_s: Time that its caller has, in seconds.

    A late answer is worth something to its caller, a refusal nothing, and the new
    attempt that it asks for is late, too; so a request waits for some part of the
    time that its caller has.
    """
    start_s = min(FIRST_EVENT_LATENCY_S, objective_s / 2)
    return estimate_wait(line) > max(objective_s - start_s, LATE_SHARE * time_s)


def compute_retry_after(line):
    """Return after how many seconds a new attempt makes sense."""
    wait = estimate_wait(line)
    return min(MAX_RETRY_AFTER_S, max(LEAST_RETRY_S, wait))
