"""Membership in the consumer group that assigns job partitions to entries.

Notes:
    Two entries may run the same partition for a while, if a lease has expired at the
    store and its holder has not noticed yet. Items then run twice, but only the first
    result of each item counts (see `pimentowick.gateway.outcome_log`).
"""

import asyncio
import random
import time
import zlib

from pimentowick import exception
from pimentowick.gateway import decision_log
from pimentowick.gateway.policy import reachability

__all__ = ["Ownership", "find_partition"]

GROUP = "batch"
# Holds no records; only its partitions are assigned.
TOPIC = "work"
# Up to three consecutive renewals may be lost. The store bills a renewal as a tenth of
# a call.
RENEWALS_PER_LEASE = 4
# Bounds how long the items of a crashed host stay idle, and how much text is lost of a
# host that the store turns away.
LEASE_S = 2.0
# The store may revoke a lease early. If two renewals fail while those of peers succeed,
# it probably has, and running items twice is expensive.
SUSPECT_LEASE_SHARE = 0.5
# Interval of checking the renewals of peers while a renewal is unanswered.
PEER_CHECK_INTERVAL_S = 0.05


def find_partition(job_id, partition_count):
    """Return the number of the partition that a job belongs to.

    Examples:
        >>> find_partition("e5b2907c14da6f38", 8)
        5
    """
    return zlib.crc32(job_id.encode()) % partition_count


class Ownership:
    """Renews this entry's membership and tracks its assigned partitions.

    Args:
        store: `pimentowick.platform.store.Store`.
        member: Name of the entry in the group, stable across restarts.
        min_lease_s: Minimum lease that the store accepts, in seconds.
        on_change: Function called when the assignment changes.
        get_peer_renewal: Function that returns the monotonic time of the latest lease
            renewal of any other entry.

    Attributes:
        partitions: Numbers of the partitions assigned to this entry.
        renewed_at: Monotonic time of the last renewal, or None.
        released_while_cut_off: Whether the partitions were released because this entry
            alone has lost the store.
    """

    def __init__(self, store, member, min_lease_s, on_change, get_peer_renewal):
        self._store = store
        self._member = member
        self._lease_s = max(LEASE_S, min_lease_s)
        self._on_change = on_change
        self._get_peer_renewal = get_peer_renewal
        self.renewed_at = None
        self.released_while_cut_off = False
        self._reachability = reachability.Reachability()
        self._generation = 0
        self.partitions = frozenset()

    async def run(self):
        """Renew the lease until cancelled."""
        while True:
            self._reachability.start_attempt(time.monotonic())
            try:
                await self._attempt_renewal()
            except exception.LogError as error:
                self._on_renewal_failed(error)
            finally:
                self._reachability.end_attempt()
            await self._pause()

    async def _attempt_renewal(self):
        """Renew the lease; abort once peers are seen to reach the store.

        An attempt that began during an outage may wait for a lost answer, while a new
        attempt would be answered at once.

        Raises:
            LogError: The lease was not renewed.
        """
        renewal = asyncio.ensure_future(self._renew())
        try:
            while not renewal.done():
                await asyncio.wait({renewal}, timeout=PEER_CHECK_INTERVAL_S)
                if not renewal.done() and self._detect_peer_renewal():
                    raise exception.LogError(
                        "No answer to the renewal, while other entries renewed theirs."
                    )
            renewal.result()
        finally:
            renewal.cancel()

    async def _pause(self):
        """Wait until the next renewal; after a failure, only until peers succeed."""
        pause_s = self._lease_s / RENEWALS_PER_LEASE * random.uniform(0.8, 1.0)
        if not self._reachability.has_failed:
            await asyncio.sleep(pause_s)
            return
        deadline = time.monotonic() + pause_s
        while not self._detect_peer_renewal():
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                return
            await asyncio.sleep(min(PEER_CHECK_INTERVAL_S, remaining_s))

    def _detect_peer_renewal(self):
        """Return whether peers are newly seen to reach the store."""
        return self._reachability.observe_peers(
            time.monotonic(), self._get_peer_renewal()
        )

    @property
    def is_cut_off(self):
        """Whether this entry alone has lost the store."""
        return self._reachability.is_cut_off(
            time.monotonic(), self._store.last_contact_at
        )

    def _on_renewal_failed(self, error):
        if not self._reachability.has_failed:
            decision_log.log_event(
                "ownership.lost_store", parts=sorted(self.partitions), why=str(error)
            )
        self._reachability.record_failure()
        if self.is_cut_off:
            self._release_suspect_lease()

    def get_lease_age(self):
        """Return the seconds since the last renewal, or None."""
        if self.renewed_at is None:
            return None
        return time.monotonic() - self.renewed_at

    def _release_suspect_lease(self):
        """Release the partitions if the lease may have been reassigned."""
        if (
            not self.partitions
            or self.get_lease_age() < self._lease_s * SUSPECT_LEASE_SHARE
        ):
            return
        self.released_while_cut_off = True
        decision_log.log_event("ownership.given_up", parts=sorted(self.partitions))
        self.partitions = frozenset()
        self._on_change()

    async def leave(self):
        """Leave the group, so that the partitions are reassigned at once."""
        self.partitions = frozenset()
        try:
            await self._store.leave(GROUP, self._member)
        except exception.LogError as error:
            decision_log.log_event("ownership.leave_failed", why=str(error))

    async def _renew(self):
        assignment = await self._store.join(
            GROUP, self._member, TOPIC, self._lease_s, self._generation
        )
        self._generation = assignment.generation
        self.renewed_at = time.monotonic()
        self._reachability.record_success()
        self.released_while_cut_off = False
        if assignment.parts == self.partitions:
            return
        decision_log.log_event(
            "ownership.changed",
            generation=assignment.generation,
            parts=sorted(assignment.parts),
            before=sorted(self.partitions),
        )
        self.partitions = assignment.parts
        self._on_change()
