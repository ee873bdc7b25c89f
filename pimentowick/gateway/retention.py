"""Dropping from the store the jobs that nobody may read any more."""

import time

from pimentowick import exception
from pimentowick.gateway import decision, ownership

__all__ = ["Retention"]

# Clocks of hosts differ; a job stays somewhat longer than it has to.
REMOVE_MARGIN_S = 30.0


class Retention:
    """Drops old jobs of the parts that this entry holds.

    Args:
        settings: `pimentowick.platform.node.NodeSettings`.
        ownership: `pimentowick.gateway.ownership.Ownership`.
        storage: `pimentowick.gateway.job_storage.JobStorage`.
    """

    def __init__(self, settings, ownership, storage):
        self._settings = settings
        self._ownership = ownership
        self._storage = storage

    async def remove_expired_jobs(self):
        """Drop the jobs that nobody may read any more from the store.

        The store takes no appends once it is full, and keeps the newest record of
        each key for good.
        """
        oldest = time.time() - self._settings.result_retention_s - REMOVE_MARGIN_S
        for found in list(self._storage.job_table.jobs.values()):
            part = ownership.find_part(found.id, self._settings.parts)
            if found.is_open or found.submitted_s > oldest:
                continue
            if part not in self._ownership.parts:
                continue
            try:
                await self._storage.remove(found)
            except exception.LogError as error:
                decision.note_belief("job.not_removed", job=found.id, why=str(error))
                return
            decision.note_request("job.removed", found.id, outcome="too_old")
