"""Handover of job partitions between entries.

Notes:
    The store may reassign a partition while its old owner still runs it: after an
    outage in which all leases expired, or in a rebalance. The old owner learns of this
    at its next renewal. If the new owner started at once, items would run twice, from
    outdated checkpoints, and occupy slots that others need.

    The new owner therefore waits while a peer announces that it holds the partition.
    The old owner stops its items, writes their checkpoints and then announces the
    release. Peers that are silent are not waited for. An entry that alone has lost the
    store does not announce partitions with unwritten checkpoints, since it cannot write
    them. An entry that has just started first listens for announcements.
"""

import asyncio
import time

from pimentowick import exception
from pimentowick.gateway import decision_log

__all__ = ["Handover"]

# An old owner detects the loss of its lease and releases within this time, also if it
# hears nothing of the store for a second and tries again half a second later.
MAX_WAIT_S = 3.0
# Shorter than the time in which peers exchange announcements.
CHECK_INTERVAL_S = 0.02


class Handover:
    """Transfers newly assigned partitions to the runner once they are free.

    Args:
        ownership: `pimentowick.gateway.ownership.Ownership`.
        runner: `pimentowick.gateway.runner.Runner`.
        storage: `pimentowick.gateway.job_storage.JobStorage`.
        load_reporter: `pimentowick.gateway.load_report.LoadReporter`.
    """

    def __init__(self, ownership, runner, storage, load_reporter):
        self._ownership = ownership
        self._runner = runner
        self._storage = storage
        self._load_reporter = load_reporter

    def list_held_partitions(self):
        """Return the partitions that other entries must not run yet."""
        if self._ownership.released_while_cut_off:
            return self._runner.owned_partitions
        return self._runner.owned_partitions | self._runner.recording_partitions

    async def take_over(self):
        """Release lost partitions, and take over new ones once they are free."""
        assigned = self._ownership.partitions
        self._runner.set_partitions(self._runner.owned_partitions & assigned)
        while not self._load_reporter.has_heard_peers:
            await asyncio.sleep(CHECK_INTERVAL_S)
        started_at = time.monotonic()
        remaining = assigned - self._runner.owned_partitions
        while remaining:
            held = frozenset()
            if time.monotonic() - started_at < MAX_WAIT_S:
                held = remaining & self._load_reporter.list_peer_partitions()
            if remaining - held:
                await self._refresh()
                self._runner.set_partitions(
                    self._runner.owned_partitions | (remaining - held)
                )
                remaining = held
                decision_log.log_event(
                    "ownership.taken",
                    parts=sorted(self._runner.owned_partitions),
                    waits_for=sorted(held),
                    waited_s=time.monotonic() - started_at,
                )
                continue
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _refresh(self):
        """Read the outcomes that the previous owners recorded."""
        try:
            await self._storage.refresh()
        except exception.LogError as error:
            decision_log.log_event("ownership.not_refreshed", why=str(error))
