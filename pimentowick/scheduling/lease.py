"""Leases that permit an entry to dispatch batch items to an agent.

Leases are timed by the agent's clock alone and renewed by heartbeats. When an entry
resumes after a process pause or a network partition, its lease has expired: the agent
refuses its new items before they reach the engine, and has cancelled those that were
running. This bounds the time during which a stale owner can start items of a cancelled
job.
"""

import dataclasses
import time

__all__ = ["LeaseTable"]


@dataclasses.dataclass(slots=True)
class _Lease:
    lease_id: int
    expires_at: float


class LeaseTable:
    """Leases granted by one agent.

    Args:
        duration_s: Validity of a lease without renewal, in seconds.
        clock: Function that returns monotonic seconds.

    Examples:
        >>> now = [0.0]
        >>> table = LeaseTable(2.0, clock=lambda: now[0])
        >>> lease_id = table.renew("entry-1", 0)
        >>> table.is_valid("entry-1", lease_id)
        True
        >>> now[0] = 2.5
        >>> table.is_valid("entry-1", lease_id)
        False
        >>> table.renew("entry-1", lease_id) == lease_id
        False
    """

    def __init__(self, duration_s, clock=time.monotonic):
        self.duration_s = duration_s
        self._clock = clock
        self._leases = {}
        # Ids granted by an earlier process of this agent must not become valid again.
        self._next_id = time.time_ns() // 1_000_000

    def renew(self, entry, lease_id):
        """Renew the lease `lease_id` of `entry`, or grant a new one.

        Returns:
            The id of the valid lease; it differs from `lease_id` if that lease had
            expired.
        """
        now = self._clock()
        lease = self._leases.get(entry)
        if lease is None or lease.lease_id != lease_id or lease.expires_at <= now:
            self._next_id += 1
            lease = _Lease(self._next_id, now)
            self._leases[entry] = lease
        lease.expires_at = now + self.duration_s
        return lease.lease_id

    def is_valid(self, entry, lease_id):
        """Return whether `entry` holds the unexpired lease `lease_id`."""
        lease = self._leases.get(entry)
        if lease is None or lease.lease_id != lease_id:
            return False
        return self._clock() < lease.expires_at

    def pop_expired(self):
        """Remove the expired leases and return the names of their holders."""
        now = self._clock()
        expired = [
            name for name, lease in self._leases.items() if lease.expires_at <= now
        ]
        for name in expired:
            del self._leases[name]
        return expired

    def count(self):
        """Return the number of entries that hold a lease."""
        return len(self._leases)
