"""Which requests a stopping entry still sends to targets: those that it can finish.

Notes:
    Failure pattern: callers keep connections open and send further requests on them to
    an entry that is being stopped. A response that is cut as the process ends may have
    run, so that a call that must not be repeated is lost. A request that can't be
    finished in the time left is refused before it runs, and its caller may come back
    elsewhere at once.

    How long a response takes is learned for each route. Until enough responses were
    seen, a request is expected to take as long as its caller and its route allow.

    The listener closes early enough for usual requests to be finished. One that arrived
    before is refused only if it is more likely to be cut than not, and, if nothing is
    known of its route, not in the first half of the stop: too cautious an estimate
    would refuse requests that the load balancer still sends here. Of those, one whose
    body is read later has less time left: it is refused unless nearly all responses of
    its route would be finished, if that is known.
"""

import math

from pimentowick.gateway.policy import latency_quantile

__all__ = ["GracefulStop"]

# Share of the responses of a route that take no longer than expected.
EXPECTED_SHARE = 0.99
# The same for requests that were read before the listener closed.
EARLY_EXPECTED_SHARE = 0.5
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
        >>> stop.begin(now=0.0, ends_at=8.0, accepts_until=2.5)
        >>> stop.compute_latest_start("chat", 4.0, read_at=4.0, deadline_at=9.0)
        3.0
        >>> stop.compute_latest_start("chat", 2.0, read_at=2.0, deadline_at=9.0)
        4.0
        >>> stop.compute_latest_start("chat", 2.0, read_at=4.0, deadline_at=9.0)
        4.0
        >>> for _ in range(20):
        ...     stop.record_duration("chat", 1.0)
        >>> 6.0 < stop.compute_latest_start("chat", 4.0, 4.0, 9.0) < 6.6
        True
        >>> 6.0 < stop.compute_latest_start("chat", 2.0, 4.0, 9.0) < 6.6
        True
        >>> 6.6 < stop.compute_latest_start("chat", 2.0, 2.0, 9.0) < 7.1
        True
        >>> stop.compute_latest_start("chat", 4.0, read_at=4.0, deadline_at=7.0)
        7.0
    """

    def __init__(self):
        self.ends_at = math.inf
        self._accepts_until = math.inf
        self._half_s = math.inf
        self._durations = {}

    @property
    def has_begun(self):
        """Whether the entry is being stopped."""
        return self.ends_at < math.inf

    def begin(self, now, ends_at, accepts_until):
        """Record that the entry is being stopped.

        Args:
            now: Monotonic time.
            ends_at: Monotonic time at which the last responses are cut.
            accepts_until: Monotonic time until which requests on new connections are
                expected.
        """
        self.ends_at = ends_at
        self._accepts_until = accepts_until
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

    def compute_latest_start(self, route_name, received_at, read_at, deadline_at):
        """Return the monotonic time until which a request may be sent to a target.

        Args:
            route_name: Name of its route.
            received_at: Monotonic time at which its headers were read.
            read_at: Monotonic time at which it was read to its end.
            deadline_at: Monotonic time at which it is given up in any case.
        """
        if deadline_at <= self.ends_at:
            return deadline_at
        expected_s = self._expect_s(route_name, received_at, read_at)
        return self.ends_at - min(deadline_at - read_at, expected_s)

    def _expect_s(self, route_name, received_at, read_at):
        durations = self._durations.get(route_name)
        unknown_s = self._half_s if received_at < self._accepts_until else math.inf
        if read_at < self._accepts_until:
            share, factor = EARLY_EXPECTED_SHARE, 1.0
        else:
            share, factor = EXPECTED_SHARE, DURATION_FACTOR
        expected_s = math.inf if durations is None else durations.estimate(share)
        return factor * expected_s if expected_s < math.inf else unknown_s

    def limit_wait(self, wait_s, now):
        """Return how long a long poll may wait, in seconds."""
        return min(wait_s, max(0.0, self.ends_at - now) / 2)
