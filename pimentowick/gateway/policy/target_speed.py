"""Estimates of how fast each target works, from the pace of its responses.

Notes:
    Load pattern: targets of one service differ in speed, some hosts slow down for
    fractions of a second because others share them, and a target may become several
    times slower while it stays listed. With forty entries before twenty targets, each
    entry alone sees a response of a target every few seconds. Entries therefore tell
    each other the pace of new responses, and each adds them to its own estimate.

    A pace is the logarithm of the time per event, or per plain response, against the
    mean of its route. An estimate is a mean of recent paces: its weight is bounded, so
    that it follows a change within some responses, and decays, so that an idle target
    returns to the usual speed. Paces far from the estimate are cut off, so that a
    single long response counts for little.

    A target that shares its host reports the current slowdown. The report is about the
    moment of the response and loses its weight within the time for which a slowdown
    lasts.
"""

import dataclasses
import math
import statistics

__all__ = ["PaceEstimate", "compute_relative_speeds", "decay_slowdown"]

# Half-life of the weight of an estimate.
HALF_LIFE_S = 8.0
# Number of responses after which an estimate has half forgotten a former speed.
MAX_WEIGHT = 6.0
# Weight of the assumption that a target has the usual speed of its service.
PRIOR_WEIGHT = 1.0
# A single pace moves the estimate by no more than that of a target this much slower or
# faster than estimated.
MAX_FACTOR = 4.0
# Half-life of a reported slowdown. Neighbours on a shared host come and go within
# tenths of a second.
SLOWDOWN_HALF_LIFE_S = 0.25


@dataclasses.dataclass(slots=True)
class PaceEstimate:
    """Decayed mean of the paces of one run of a target.

    Attributes:
        pace: Mean pace, as the logarithm of the factor on the usual time.
        weight: Number of responses that it stands for.
        updated_at: Monotonic time of the last decay, in seconds.

    Examples:
        >>> estimate = PaceEstimate()
        >>> for _ in range(20):
        ...     estimate.record(math.log(3.0), 1, now=0.0)
        >>> round(math.exp(estimate.pace), 1), estimate.weight
        (3.0, 6.0)
        >>> estimate.decay(8.0)
        >>> estimate.weight
        3.0
    """

    pace: float = 0.0
    weight: float = 0.0
    updated_at: float = 0.0

    def decay(self, now):
        """Decay the weight to a monotonic time; clocks that go back are ignored."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.weight *= 0.5 ** (elapsed_s / HALF_LIFE_S)
        self.updated_at = max(self.updated_at, now)

    def record(self, pace, count, now):
        """Add the mean pace of a number of responses."""
        self.decay(now)
        if self.weight:
            limit = math.log(MAX_FACTOR)
            pace = min(self.pace + limit, max(self.pace - limit, pace))
        total = self.weight + count
        self.pace += (pace - self.pace) * count / total
        self.weight = min(MAX_WEIGHT, total)


def compute_relative_speeds(estimates, now):
    """Return the speed of each target of a service against their median.

    Without recent responses the speed of a target tends to the usual one, 1.0.

    Args:
        estimates: The `PaceEstimate` of each target, by any key.
        now: Monotonic time, in seconds.

    Examples:
        >>> fast, usual, slow = (PaceEstimate(math.log(x), 6.0) for x in (0.5, 1, 2))
        >>> speeds = compute_relative_speeds({"f": fast, "u": usual, "s": slow}, 0.0)
        >>> [round(speeds[key], 2) for key in "fus"]
        [1.81, 1.0, 0.55]
    """
    for estimate in estimates.values():
        estimate.decay(now)
    known = [each.pace for each in estimates.values() if each.weight >= PRIOR_WEIGHT]
    if not known:
        return dict.fromkeys(estimates, 1.0)
    usual = statistics.median(known)
    return {
        key: math.exp((usual - each.pace) * each.weight / (each.weight + PRIOR_WEIGHT))
        for key, each in estimates.items()
    }


def decay_slowdown(slowdown, age_s):
    """Return the expected slowdown some time after it was reported.

    Examples:
        >>> decay_slowdown(2.5, 0.0), decay_slowdown(2.5, 0.25)
        (2.5, 1.75)
        >>> round(decay_slowdown(2.5, 10.0), 3)
        1.0
    """
    share = 0.5 ** (max(0.0, age_s) / SLOWDOWN_HALF_LIFE_S)
    return 1.0 + (slowdown - 1.0) * share
