"""How many new connections an entry serves while it gets most of them.

Notes:
    Load pattern: for some seconds the load balancer hands most new connections of a
    failure domain, or of all, to one entry, and callers open new ones more often. The
    entry's processor does not suffice for what it reads, so that requests on kept
    connections are late as well.

    A connection that is closed before its request is read costs its caller one retry,
    which is safe and meets another entry. So the entry closes new connections beyond a
    rate, which it lowers while its processor is busy and raises again when it is not
    (additive increase would take longer than such a flood lasts). It does so only while
    it holds most of the requests of all entries: if all are busy, a retry meets another
    busy one and gains nothing.

References:
    D. Chiu, R. Jain, "Analysis of the increase and decrease algorithms for congestion
    avoidance in computer networks", 1989.
"""

__all__ = ["ConnectionShedding"]

# Share of all running requests from which an entry counts as singled out.
MIN_REQUEST_SHARE = 0.5
# Below this share a flood is over.
END_REQUEST_SHARE = 0.3
HIGH_PROCESSOR_SHARE = 0.85
LOW_PROCESSOR_SHARE = 0.7
DECREASE = 0.5
INCREASE = 1.15
# A few connections are served in any case, so that the load stays known.
MIN_RATE_PER_S = 2.0
# Connections that may come at once.
BURST_S = 0.2


class ConnectionShedding:
    """Decides which new connections are served; times are monotonic, in seconds.

    Attributes:
        rate_per_s: Limit on the connections served, or None without one.

    Examples:
        >>> shedding = ConnectionShedding()
        >>> for now in (0.0, 0.5, 1.0):
        ...     admitted = [shedding.admit(now + 0.005 * n) for n in range(100)]
        ...     shedding.observe(0.95, 0.8, now + 0.5)
        >>> 0 < sum(admitted) < 100
        True
        >>> shedding.observe(0.95, 0.1, 2.0)
        >>> shedding.rate_per_s
    """

    def __init__(self):
        self.rate_per_s = None
        self._tokens = 0.0
        self._refilled_at = 0.0
        self._arrived = 0
        self._observed_at = None

    def admit(self, now):
        """Return whether to serve a new connection."""
        self._arrived += 1
        if self.rate_per_s is None:
            return True
        burst = max(1.0, self.rate_per_s * BURST_S)
        gained = (now - self._refilled_at) * self.rate_per_s
        self._tokens = min(burst, self._tokens + max(0.0, gained))
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def observe(self, processor_share, request_share, now):
        """Update the limit; call at regular intervals.

        Args:
            processor_share: Share of its processor that the entry uses.
            request_share: Share of the running requests of all entries that it holds.
            now: Current time.
        """
        arrived, self._arrived = self._arrived, 0
        observed_at, self._observed_at = self._observed_at, now
        if request_share < END_REQUEST_SHARE:
            self.rate_per_s = None
            return
        if processor_share >= HIGH_PROCESSOR_SHARE:
            if self.rate_per_s is None and observed_at is not None:
                if request_share >= MIN_REQUEST_SHARE and now > observed_at:
                    self._set_rate(arrived / (now - observed_at) * DECREASE)
            elif self.rate_per_s is not None:
                self._set_rate(self.rate_per_s * DECREASE)
        elif processor_share < LOW_PROCESSOR_SHARE and self.rate_per_s is not None:
            self._set_rate(self.rate_per_s * INCREASE)

    def _set_rate(self, rate_per_s):
        self.rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
