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
# An answer that was on its way as the store went away; some 5 ms, and a busy turn.
SAME_TIME_S = 0.1
# A store that answers at all answers within this time: 0.24 s at sixty times its usual
# 4 ms.
LATE_ANSWER_S = 0.4
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
        least_lease_s: Shortest lease that the store takes, in seconds.
        on_change: Function called when other parts are dealt.
        is_replaced: Function that returns whether other entries can have taken over
            since a monotonic time from which on this one did not reach the store.

    Attributes:
        parts: Numbers of the parts dealt to this entry.
        renewed_at: Monotonic time of the last renewal, or None.
        is_alone: Whether others reach the store, and this entry did not.
    """

    def __init__(self, store, member, least_lease_s, on_change, is_replaced):
        self._store = store
        self._member = member
        self._lease_s = max(LEASE_S, least_lease_s)
        self._on_change = on_change
        self._is_replaced = is_replaced
        self.renewed_at = None
        self.is_alone = False
        self._began_at = None
        self._failed_since = None
        self._passed_at = None
        self._is_proved = False
        self._generation = 0
        self.parts = frozenset()

    async def run(self):
        """Renew until cancelled."""
        while True:
            self._began_at = time.monotonic()
            try:
                await self._try()
            except exception.LogError as error:
                self._note_failure(error)
            finally:
                self._began_at = None
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
        if self._failed_since is None:
            await asyncio.sleep(pause_s)
            return
        ends_at = time.monotonic() + pause_s
        while not self._sees_others():
            left_s = ends_at - time.monotonic()
            if left_s <= 0:
                return
            await asyncio.sleep(min(CHECK_S, left_s))

    def _sees_others(self):
        """Return whether others are seen for the first time to reach the store.

        That is after this entry has stopped to. While the store is away for all,
        nobody takes over and work goes on.
        """
        lost_since = self._get_lost_since()
        if lost_since is None or self._passed_at is not None:
            return False
        if not self._is_replaced(lost_since + SAME_TIME_S):
            return False
        self._passed_at = time.monotonic()
        return True

    def _get_lost_since(self):
        """Return the monotonic time since which the store gives no answer, or None."""
        if self._failed_since is not None:
            return self._failed_since
        return self._began_at if self._is_late() else None

    def _is_late(self):
        if self._began_at is None:
            return False
        return time.monotonic() - self._began_at >= LATE_ANSWER_S

    @property
    def is_passed_over(self):
        """Whether others reach the store, and a try since that was seen failed here.

        A store that loses some answers and serves other calls has not turned this
        entry away.
        """
        if self._passed_at is None or self._store.reached_at > self._passed_at:
            return False
        if self._is_proved:
            return True
        return self._is_late() and self._began_at >= self._passed_at

    def _note_failure(self, error):
        if self._failed_since is None:
            self._failed_since = self._began_at
            decision.note_belief(
                "ownership.lost_store", parts=sorted(self.parts), why=str(error)
            )
        if self._passed_at is not None and self._began_at >= self._passed_at:
            self._is_proved = True
        if self.is_passed_over:
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
        self._failed_since = None
        self._passed_at = None
        self._is_proved = False
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
