"""How many idle connections to a target an entry keeps, and for how long.

Notes:
    Load pattern: thirty entries send to twenty targets in waves, so that each entry
    uses each target every few seconds, sometimes with several requests at once. A
    connection that is closed between two uses costs the target the time of a new one.
    A target limits its connections from all entries together, and resets those beyond
    the limit even while they carry a request.

    An idle connection is kept until shortly before the target would close it, so that
    no request meets the close on its way. A pool keeps as many as it used at once in
    the last waves, within the entry's share of the target's limit. Connections are
    opened for requests only, so that entries that return together open no more than
    they need.
"""

import abc

__all__ = ["EvenShare", "IdlePolicy", "PeakShare", "PeakUse"]

# Share of the target's idle timeout after which a connection is not reused.
IDLE_TIMEOUT_SHARE = 0.6
MAX_IDLE_S = 4.0
MAX_IDLE_CONNECTIONS = 16
# The same with a margin in seconds, which is what a request needs to reach the target.
LONG_IDLE_TIMEOUT_SHARE = 0.8
IDLE_MARGIN_S = 1.0
# Keep-alive probes find a dead connection much sooner; this bounds the number of
# connections to targets that state a very long timeout.
MAX_LONG_IDLE_S = 60.0
# Length of the windows over which the peak use is taken.
PEAK_WINDOW_S = 15.0


class IdlePolicy(abc.ABC):
    """Decides which idle connections a pool keeps."""

    @abc.abstractmethod
    def compute_idle_time(self, timeout_s):
        """Return for how long a connection may be idle, in seconds.

        Args:
            timeout_s: Idle timeout that the target states, or None.
        """

    @abc.abstractmethod
    def compute_max_idle(self, even_share, peak_use):
        """Return how many idle connections to keep.

        Args:
            even_share: This entry's share of the target's connection limit.
            peak_use: Largest number of connections used at once lately.
        """


class EvenShare(IdlePolicy):
    """Keeps the entry's share of connections for a few seconds.

    Examples:
        >>> EvenShare().compute_idle_time(10.0), EvenShare().compute_idle_time(5.0)
        (4.0, 3.0)
        >>> EvenShare().compute_max_idle(9, 2)
        9
    """

    def compute_idle_time(self, timeout_s):
        """Return a share of the timeout, four seconds at most."""
        if timeout_s is None:
            return MAX_IDLE_S
        return min(MAX_IDLE_S, timeout_s * IDLE_TIMEOUT_SHARE)

    def compute_max_idle(self, even_share, peak_use):
        """Return the share, whatever was used."""
        return min(MAX_IDLE_CONNECTIONS, even_share)


class PeakShare(IdlePolicy):
    """Keeps what the last waves used until shortly before the target's timeout.

    Examples:
        >>> policy = PeakShare()
        >>> [policy.compute_idle_time(each) for each in (1.0, 3.0, 10.0, None)]
        [0.6, 2.0, 8.0, 4.0]
        >>> policy.compute_max_idle(9, 2), policy.compute_max_idle(1, 2)
        (2, 1)
    """

    def compute_idle_time(self, timeout_s):
        """Return the timeout less a margin."""
        if timeout_s is None:
            return MAX_IDLE_S
        with_margin_s = min(
            timeout_s * LONG_IDLE_TIMEOUT_SHARE, timeout_s - IDLE_MARGIN_S
        )
        idle_s = max(timeout_s * IDLE_TIMEOUT_SHARE, with_margin_s)
        return min(MAX_LONG_IDLE_S, idle_s)

    def compute_max_idle(self, even_share, peak_use):
        """Return the peak use, within the share."""
        return min(even_share, max(1, peak_use))


class PeakUse:
    """The largest number of connections used at once in the last two windows.

    Examples:
        >>> peak = PeakUse()
        >>> peak.record(3, 0.0)
        >>> peak.record(1, 20.0)
        >>> peak.get(20.0), peak.get(31.0), peak.get(60.0)
        (3, 1, 0)
    """

    def __init__(self):
        self._began_at = 0.0
        self._current = 0
        self._previous = 0

    def record(self, count, now):
        """Record how many connections are in use."""
        self._rotate(now)
        self._current = max(self._current, count)

    def get(self, now):
        """Return the peak."""
        self._rotate(now)
        return max(self._current, self._previous)

    def _rotate(self, now):
        windows = int((now - self._began_at) // PEAK_WINDOW_S)
        if windows < 1:
            return
        self._previous = self._current if windows == 1 else 0
        self._current = 0
        self._began_at += windows * PEAK_WINDOW_S
