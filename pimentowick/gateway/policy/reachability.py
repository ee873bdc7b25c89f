"""Whether this entry alone does not reach the store, or the store is away for all.

Notes:
    Load pattern: the store goes away for seconds, for all entries or for some, silently
    or by refusing; or it loses a share of its answers. While it is away for all, nobody
    can take over: batch work goes on, its results wait, and jobs are held until the
    store is back. An entry that alone lost it runs items that were dealt to others, can
    record nothing, and keeps callers waiting that another entry could serve at once.

    Entries tell each other when the store last renewed their leases. Renewals are
    spread over half a second, so that in an outage for all most others were renewed
    after this entry, but none since its own tries began to fail. When the store is
    back, others may be renewed while a try here still waits for an answer that was lost
    in the outage: it is broken off, and only a try that began after that counts.
"""

import math

__all__ = ["Reachability"]

# An answer that was on its way as the store went away.
SAME_TIME_S = 0.1
# A store that answers at all answers within this time: 0.24 s at sixty times its usual
# 4 ms.
LATE_ANSWER_S = 0.4


class Reachability:
    """What the tries to renew a lease say of the way to the store.

    All times are monotonic, in seconds.

    Examples:
        >>> found = Reachability()
        >>> found.start_attempt(10.0)
        >>> found.record_failure()
        >>> found.observe_peers(10.2, others_renewed_at=9.9)
        False
        >>> found.observe_peers(10.6, others_renewed_at=10.5)
        True
        >>> found.start_attempt(10.6)
        >>> found.record_failure()
        >>> found.is_cut_off(10.7, served_at=9.0)
        True
    """

    def __init__(self):
        self._began_at = None
        self._failed_since = None
        self._passed_at = None
        self._is_proved = False

    @property
    def has_failed(self):
        """Whether the last try failed."""
        return self._failed_since is not None

    def start_attempt(self, now):
        """Note that a try begins."""
        self._began_at = now

    def end_attempt(self):
        """Note that no try is under way any more."""
        self._began_at = None

    def record_success(self):
        """Note that the lease was renewed."""
        self.__init__()

    def record_failure(self):
        """Note that the try under way has failed."""
        if self._failed_since is None:
            self._failed_since = self._began_at
        if self._passed_at is not None and self._began_at >= self._passed_at:
            self._is_proved = True

    def observe_peers(self, now, others_renewed_at):
        """Return whether others are seen for the first time to reach the store.

        Args:
            now: The time.
            others_renewed_at: When the newest lease of another entry was renewed.
        """
        if self._passed_at is not None:
            return False
        if others_renewed_at <= self._get_lost_since(now) + SAME_TIME_S:
            return False
        self._passed_at = now
        return True

    def is_cut_off(self, now, served_at):
        """Return whether others reach the store, and a try since that was seen failed.

        Args:
            now: The time.
            served_at: When the newest call was sent that the store has served. One that
                loses some answers and serves other calls has turned nobody away.
        """
        if self._passed_at is None or served_at > self._passed_at:
            return False
        if self._is_proved:
            return True
        return self._is_late(now) and self._began_at >= self._passed_at

    def _get_lost_since(self, now):
        """Return since when the store gives no answer; infinity if it does."""
        if self._failed_since is not None:
            return self._failed_since
        return self._began_at if self._is_late(now) else math.inf

    def _is_late(self, now):
        return self._began_at is not None and now - self._began_at >= LATE_ANSWER_S
