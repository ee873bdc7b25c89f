"""Deletion of jobs past their retention period."""

import time

from pimentowick import exception
from pimentowick.gateway import decision_log, ownership

__all__ = ["Retention"]

# Tolerates clock skew between hosts, so that no job is deleted early.
CLOCK_SKEW_MARGIN_S = 30.0


class Retention:
    """Deletes expired jobs of the partitions that this entry owns.

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
        """Delete closed jobs past their retention period from the store.

        The store keeps the newest record of each key and refuses appends once it is
        full.
        """
        cutoff = time.time() - self._settings.result_retention_s - CLOCK_SKEW_MARGIN_S
        for job in list(self._storage.job_table.jobs.values()):
            partition = ownership.find_partition(job.id, self._settings.parts)
            if job.is_open or job.submitted_s > cutoff:
                continue
            if partition not in self._ownership.partitions:
                continue
            try:
                await self._storage.remove(job)
            except exception.LogError as error:
                decision_log.log_event("job.not_removed", job=job.id, why=str(error))
                return
            decision_log.log_request_event("job.removed", job.id, outcome="too_old")
