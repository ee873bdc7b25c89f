"""Learned quantiles of a time, such as that from sending a request to its first event.

Notes:
    Load pattern: targets fill up in waves of some seconds, and the time to the first
    event then grows to several times its usual value, unevenly. A mean hides that a
    part of the requests takes much longer, and a fixed allowance is wrong both in and
    between the waves.

    A histogram with logarithmic bins, whose counts decay with each observation, bounds
    memory and follows a change within about `MEMORY` observations.
"""

import math

__all__ = ["LatencyQuantile"]

MIN_S = 0.002
# Ratio of the limits of neighbouring bins.
BIN_FACTOR = 1.2
BINS = 48
# Number of observations that the estimate remembers.
MEMORY = 60
# Fewer observations say too little about a tail.
MIN_OBSERVATIONS = 8


class LatencyQuantile:
    """Decayed histogram of a time.

    Args:
        initial_s: Estimate before enough observations were made, in seconds.

    Examples:
        >>> latency = LatencyQuantile(0.08)
        >>> latency.estimate(0.5)
        0.08
        >>> for _ in range(20):
        ...     latency.record(0.04)
        >>> 0.03 < latency.estimate(0.5) < 0.05
        True
    """

    def __init__(self, initial_s):
        self._initial_s = initial_s
        self._counts = [0.0] * BINS
        self._total = 0.0

    def record(self, seconds):
        """Record an observation."""
        position = math.log(max(seconds, MIN_S) / MIN_S, BIN_FACTOR)
        decay = 1 - 1 / MEMORY
        self._counts = [count * decay for count in self._counts]
        self._counts[min(BINS - 1, int(position))] += 1.0
        self._total = self._total * decay + 1.0

    def estimate(self, share):
        """Return the time that is not exceeded by a share of the observations."""
        if self._total < MIN_OBSERVATIONS:
            return self._initial_s
        wanted = share * self._total
        for number, count in enumerate(self._counts):
            if count >= wanted > 0:
                return MIN_S * BIN_FACTOR ** (number + wanted / count)
            wanted -= count
        return MIN_S * BIN_FACTOR**BINS
