"""Which part of the batch work is this entry's: what a group of the store deals it.

Notes:
    Two entries may hold the same part for a while, when a lease has lapsed at the
    store and its holder does not know yet. That costs a second run; what is listed
    is decided by the fold of the records (see `pimentowick.gateway.ledger`).
"""

import asyncio
import random
import time
import zlib

from pimentowick import exception
from pimentowick.gateway import decision
from pimentowick.gateway.policy import reachability

__all__ = ["Ownership", "find_part"]

GROUP = "batch"
# Nothing is written there; its partitions stand for the parts of the work.
TOPIC = "work"
# Renewals in the time of a lease: three may be lost. A renewal is paid for as a tenth
# of a call.
RENEWALS = 4
# Items of a host that is gone, and texts of one that the store turns away, stand or are
# lost for so long; a host that stands still for longer does no work meanwhile.
LEASE_S = 2.0
# The store may take a lease away before its end. Two renewals that failed while
# others reach the store say so; a part run twice costs all that its items take.
DOUBT_SHARE = 0.5
# How often is looked at what others tell, while the store gives no answer.
CHECK_S = 0.05


def find_part(item_id, parts):
    """Return the number of the part that an item belongs to.

    Examples:
        >>> find_part("e5b2907c14da6f38", 8)
        5
    """
    return zlib.crc32(item_id.encode()) % parts


class Ownership:
    """Keeps this entry in the group.

    Args:
        store: `pimentowick.platform.store.Store`.
        member: Name of the entry in the group, the same after each start.
        min_lease_s: Shortest lease that the store takes, in seconds.
        on_change: Function called when other parts are dealt.
        get_others_renewal: Function that returns the monotonic time at which the newest
            lease of another entry was renewed.

    Attributes:
        parts: Numbers of the parts dealt to this entry.
        renewed_at: Monotonic time of the last renewal, or None.
        is_alone: Whether others reach the store, and this entry did not.
    """

    def __init__(self, store, member, min_lease_s, on_change, get_others_renewal):
        self._store = store
        self._member = member
        self._lease_s = max(LEASE_S, min_lease_s)
        self._on_change = on_change
        self._get_others_renewal = get_others_renewal
        self.renewed_at = None
        self.is_alone = False
        self._reachability = reachability.Reachability()
        self._generation = 0
        self.parts = frozenset()

    async def run(self):
        """Renew until cancelled."""
        while True:
            self._reachability.begin(time.monotonic())
            try:
                await self._try()
            except exception.LogError as error:
                self._note_failure(error)
            finally:
                self._reachability.end()
            await self._pause()

    async def _try(self):
        """Renew; break off as soon as others are seen to reach the store.

        After an outage a try may wait for an answer that was lost in it, where a new
        one gets its answer at once.

        Raises:
            LogError: The lease was not renewed.
        """
        renewal = asyncio.ensure_future(self._renew())
        try:
            while not renewal.done():
                await asyncio.wait({renewal}, timeout=CHECK_S)
                if not renewal.done() and self._sees_others():
                    raise exception.LogError("Others reach the store meanwhile.")
            renewal.result()
        finally:
            renewal.cancel()

    async def _pause(self):
        """Wait until the next renewal; not at all once others reach the store again."""
        pause_s = self._lease_s / RENEWALS * random.uniform(0.8, 1.0)
        if not self._reachability.has_failed:
            await asyncio.sleep(pause_s)
            return
        ends_at = time.monotonic() + pause_s
        while not self._sees_others():
            left_s = ends_at - time.monotonic()
            if left_s <= 0:
                return
            await asyncio.sleep(min(CHECK_S, left_s))

    def _sees_others(self):
        """Return whether others are seen for the first time to reach the store."""
        return self._reachability.see_others(
            time.monotonic(), self._get_others_renewal()
        )

    @property
    def is_cut_off(self):
        """Whether this entry alone does not reach the store."""
        return self._reachability.is_cut_off(
            time.monotonic(), self._store.last_contact_at
        )

    def _note_failure(self, error):
        if not self._reachability.has_failed:
            decision.note_belief(
                "ownership.lost_store", parts=sorted(self.parts), why=str(error)
            )
        self._reachability.fail()
        if self.is_cut_off:
            self._give_up_lapsed()

    def get_age(self):
        """Return how many seconds ago the lease was renewed, or None."""
        if self.renewed_at is None:
            return None
        return time.monotonic() - self.renewed_at

    def _give_up_lapsed(self):
        """Give the parts up if the lease may have ended, for others run them by now."""
        if not self.parts or self.get_age() < self._lease_s * DOUBT_SHARE:
            return
        self.is_alone = True
        decision.note_belief("ownership.given_up", parts=sorted(self.parts))
        self.parts = frozenset()
        self._on_change()

    async def leave(self):
        """Give the parts back at once."""
        self.parts = frozenset()
        try:
            await self._store.leave(GROUP, self._member)
        except exception.LogError as error:
            decision.note_belief("ownership.leave_failed", why=str(error))

    async def _renew(self):
        dealt = await self._store.join(
            GROUP, self._member, TOPIC, self._lease_s, self._generation
        )
        self._generation = dealt.generation
        self.renewed_at = time.monotonic()
        self._reachability.succeed()
        self.is_alone = False
        if dealt.parts == self.parts:
            return
        decision.note_belief(
            "ownership.changed",
            generation=dealt.generation,
            parts=sorted(dealt.parts),
            before=sorted(self.parts),
        )
        self.parts = dealt.parts
        self._on_change()
