"""Which requests a stopping entry still sends to targets: those that it can finish.

Notes:
    Failure pattern: callers keep connections open and send further requests on them to
    an entry that is being stopped. A response that is cut as the process ends may have
    run, so that a call that must not be repeated is lost. A request that can't be
    finished in the time left is refused before it runs, and its caller may come back
    elsewhere at once.

    How long a response takes is learned for each route. Until enough responses were
    seen, a request is expected to take as long as its caller and its route allow. One
    that arrived while the load balancer still chose the entry would then be refused
    far too often, so that it may start in the first half of the stop.
"""

import math

from pimentowick.gateway.policy import latency_quantile

__all__ = ["GracefulStop"]

# Share of the responses of a route that take no longer than expected.
EXPECTED_SHARE = 0.99
# Allowance for a response that takes longer than nearly all before it.
DURATION_FACTOR = 1.5
# Routes come and go with the configuration; the oldest are forgotten beyond this.
MAX_ROUTES = 512


class GracefulStop:
    """Time left of an entry that is being stopped, and what fits into it.

    Attributes:
        ends_at: Monotonic time at which the last responses are cut, infinite while the
            entry is not being stopped.

    Examples:
        >>> stop = GracefulStop()
        >>> stop.begin(now=0.0, ends_at=8.0, listens_until=2.5)
        >>> stop.compute_latest_start("chat", received_at=4.0, deadline_at=9.0)
        3.0
        >>> stop.compute_latest_start("chat", received_at=2.0, deadline_at=9.0)
        4.0
        >>> for _ in range(20):
        ...     stop.record_duration("chat", 1.0)
        >>> 6.0 < stop.compute_latest_start("chat", 4.0, 9.0) < 6.6
        True
        >>> stop.compute_latest_start("chat", received_at=4.0, deadline_at=7.0)
        7.0
    """

    def __init__(self):
        self.ends_at = math.inf
        self._listens_until = math.inf
        self._half_s = math.inf
        self._durations = {}

    @property
    def has_begun(self):
        """Whether the entry is being stopped."""
        return self.ends_at < math.inf

    def begin(self, now, ends_at, listens_until):
        """Record that the entry is being stopped.

        Args:
            now: Monotonic time.
            ends_at: Monotonic time at which the last responses are cut.
            listens_until: Monotonic time at which the listener closes.
        """
        self.ends_at = ends_at
        self._listens_until = listens_until
        self._half_s = (ends_at - now) / 2

    def record_duration(self, route_name, duration_s):
        """Record how long a complete response took from sending its request."""
        durations = self._durations.get(route_name)
        if durations is None:
            if len(self._durations) >= MAX_ROUTES:
                del self._durations[next(iter(self._durations))]
            durations = latency_quantile.LatencyQuantile(math.inf)
            self._durations[route_name] = durations
        durations.record(duration_s)

    def compute_latest_start(self, route_name, received_at, deadline_at):
        """Return the monotonic time until which a request may be sent to a target.

        Args:
            route_name: Name of its route.
            received_at: Monotonic time at which it arrived.
            deadline_at: Monotonic time at which it is given up in any case.
        """
        if deadline_at <= self.ends_at:
            return deadline_at
        limit_s = deadline_at - received_at
        return self.ends_at - min(limit_s, self._expect_s(route_name, received_at))

    def _expect_s(self, route_name, received_at):
        durations = self._durations.get(route_name)
        expected_s = (
            math.inf if durations is None else durations.estimate(EXPECTED_SHARE)
        )
        if expected_s < math.inf:
            return DURATION_FACTOR * expected_s
        return self._half_s if received_at < self._listens_until else math.inf

    def limit_wait(self, wait_s, now):
        """Return how long a long poll may wait, in seconds."""
        return min(wait_s, max(0.0, self.ends_at - now) / 2)
