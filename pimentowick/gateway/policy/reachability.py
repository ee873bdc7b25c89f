"""Tells a store outage for all entries from one that affects this entry alone.

Notes:
    Failure pattern: the store is unavailable for seconds to all or some entries, either
    silent or refusing calls; or it loses a share of its answers. During an outage for
    all, no entry can take over: batch items keep running, results wait to be written,
    and new jobs are held until the store recovers. An entry that alone lost the store
    runs items that were reassigned, can record nothing, and delays callers whom another
    entry could serve at once.

    Entries report when the store last renewed their leases. Renewals are spread over
    half a second. In an outage for all, most peers renewed later than this entry, but
    none renewed after the attempts of this entry began to fail. When the store
    recovers, peers may renew while an attempt here still waits for an answer that was
    lost in the outage. That attempt is cancelled, and only an attempt that started
    after the peers' renewal counts as evidence.
"""

import math

__all__ = ["Reachability"]

# Tolerance for a peer's renewal whose answer was in transit as the outage began.
IN_TRANSIT_S = 0.1
# An attempt without an answer for this long counts as failed. A store that takes sixty
# times its usual 4 ms still answers in 0.24 s.
ANSWER_TIMEOUT_S = 0.4


class Reachability:
    """Evidence from the lease renewals of this entry and of its peers.

    All times are monotonic, in seconds.

    Examples:
        >>> reachability = Reachability()
        >>> reachability.start_attempt(10.0)
        >>> reachability.record_failure()
        >>> reachability.observe_peers(10.2, peers_renewed_at=9.9)
        False
        >>> reachability.observe_peers(10.6, peers_renewed_at=10.5)
        True
        >>> reachability.start_attempt(10.6)
        >>> reachability.record_failure()
        >>> reachability.is_cut_off(10.7, served_at=9.0)
        True
    """

    def __init__(self):
        self._attempt_started_at = None
        self._failing_since = None
        self._peers_observed_at = None
        self._is_confirmed = False

    @property
    def has_failed(self):
        """Whether the last attempt failed."""
        return self._failing_since is not None

    def start_attempt(self, now):
        """Record the start of a renewal attempt."""
        self._attempt_started_at = now

    def end_attempt(self):
        """Record that no attempt is in progress."""
        self._attempt_started_at = None

    def record_success(self):
        """Record that the lease was renewed, and discard earlier evidence."""
        self.__init__()

    def record_failure(self):
        """Record that the attempt in progress failed."""
        if self._failing_since is None:
            self._failing_since = self._attempt_started_at
        if (
            self._peers_observed_at is not None
            and self._attempt_started_at >= self._peers_observed_at
        ):
            self._is_confirmed = True

    def observe_peers(self, now, peers_renewed_at):
        """Return whether peers are now first observed to reach the store.

        Args:
            now: Monotonic time, in seconds.
            peers_renewed_at: Time of the latest lease renewal of another entry.
        """
        if self._peers_observed_at is not None:
            return False
        if peers_renewed_at <= self._get_failing_since(now) + IN_TRANSIT_S:
            return False
        self._peers_observed_at = now
        return True

    def is_cut_off(self, now, served_at):
        """Return whether peers reach the store while a later attempt here failed.

        Args:
            now: Monotonic time, in seconds.
            served_at: Send time of the latest call that the store answered. A store
                that answers other calls is reachable, even if it loses some answers.
        """
        if self._peers_observed_at is None or served_at > self._peers_observed_at:
            return False
        if self._is_confirmed:
            return True
        return (
            self._is_overdue(now)
            and self._attempt_started_at >= self._peers_observed_at
        )

    def _get_failing_since(self, now):
        """Return since when the store has not answered; infinity if it answers."""
        if self._failing_since is not None:
            return self._failing_since
        return self._attempt_started_at if self._is_overdue(now) else math.inf

    def _is_overdue(self, now):
        return (
            self._attempt_started_at is not None
            and now - self._attempt_started_at >= ANSWER_TIMEOUT_S
        )
