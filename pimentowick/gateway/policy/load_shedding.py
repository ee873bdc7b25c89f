"""Whether to queue an online request or to refuse it with a retry delay.

Notes:
    Load pattern: targets are lost or a burst arrives, and for some seconds requests
    arrive faster than slots become free. If all of them were queued in order, all would
    be late. Requests that cannot start in time are refused at once, because a retry
    after the stated delay may still be served in time.
"""

import dataclasses

__all__ = ["QueueState", "compute_retry_after", "estimate_wait", "should_shed"]

# Latency of the first event at a target with free slots.
FIRST_EVENT_LATENCY_S = 0.08
# A request is not queued beyond this share of its timeout: a later answer is of no use.
MAX_WAIT_SHARE = 0.45
# Requests with an estimated wait beyond this share of their timeout are refused. It is
# below `MAX_WAIT_SHARE` because estimates are low: requests that are in time overtake.
SHED_WAIT_SHARE = 0.3
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class QueueState:
    """Load of one service as an entry observes it.

    Attributes:
        slots: Slots of all usable targets.
        free_slots: Slots without an online request.
        queued: Requests queued at all entries.
        mean_hold_s: Mean time that an online request holds a slot, in seconds.
    """

    slots: int
    free_slots: int
    queued: int
    mean_hold_s: float


def estimate_wait(state):
    """Return the estimated queueing time of a new request, in seconds.

    Examples:
        >>> estimate_wait(QueueState(40, 3, 0, 0.8))
        0.0
        >>> estimate_wait(QueueState(40, 0, 9, 0.8))
        0.2
        >>> estimate_wait(QueueState(0, 0, 0, 0.8))
        inf
    """
    if state.free_slots > state.queued:
        return 0.0
    if not state.slots:
        return float("inf")
    return (state.queued + 1 - state.free_slots) * state.mean_hold_s / state.slots


def should_shed(state, objective_s, timeout_s=0.0):
    """Return whether to refuse a new request instead of queueing it.

    A late answer still has some value to the caller; a refusal has none, and the retry
    is late as well. Requests may therefore wait for a share of their timeout, even if
    they miss the latency objective.

    Args:
        state: The `QueueState` of the service.
        objective_s: Latency objective, in seconds.
        timeout_s: Timeout of the caller, in seconds.
    """
    start_s = min(FIRST_EVENT_LATENCY_S, objective_s / 2)
    return estimate_wait(state) > max(
        objective_s - start_s, SHED_WAIT_SHARE * timeout_s
    )


def compute_retry_after(state):
    """Return the delay before a retry, in seconds."""
    wait_s = estimate_wait(state)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
