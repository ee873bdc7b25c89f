"""Leases that let an entry dispatch batch items to an agent.

A lease is counted by the agent's clock alone and renewed by heartbeats. An entry
that was frozen, or cut off, holds a lapsed lease when it comes back: what it sends
is refused before it reaches the engine, and what it left running was cancelled.
That bounds how long a stale owner can start items of a job that was cancelled.
"""

import dataclasses
import time

__all__ = ["LeaseTable"]


@dataclasses.dataclass(slots=True)
class _Lease:
    lease_id: int
    expires_at: float


class LeaseTable:
    """The leases that one agent granted.

    Args:
        duration_s: How long a lease holds without a heartbeat, in seconds.
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
        # Numbers of an earlier process of this agent must not be valid again.
        self._next_number = time.time_ns() // 1_000_000

    def renew(self, entry, lease_id):
        """Extend the lease `lease_id` of `entry`, or grant a new one.

        Returns:
            The number of the lease that now holds; another than `lease_id` if that
            one had lapsed.
        """
        now = self._clock()
        lease = self._leases.get(entry)
        if lease is None or lease.lease_id != lease_id or lease.expires_at <= now:
            self._next_number += 1
            lease = _Lease(self._next_number, now)
            self._leases[entry] = lease
        lease.expires_at = now + self.duration_s
        return lease.lease_id

    def is_valid(self, entry, lease_id):
        """Return whether `entry` holds the lease `lease_id` now."""
        lease = self._leases.get(entry)
        if lease is None or lease.lease_id != lease_id:
            return False
        return self._clock() < lease.expires_at

    def pop_expired(self):
        """Forget the lapsed leases and return their holders."""
        now = self._clock()
        lapsed = [
            name for name, lease in self._leases.items() if lease.expires_at <= now
        ]
        for name in lapsed:
            del self._leases[name]
        return lapsed

    def count(self):
        """Return the number of holders."""
        return len(self._leases)
