"""Deletion of jobs past their retention period.

Notes:
    A deletion cannot be undone, so no clock that other hosts set decides on it. An
    entry counts the time since it first read the record of a job itself. This is at
    most the age of the job, whatever the clocks say, and less after a restart.
"""

import time

from pimentowick import exception
from pimentowick.gateway import decision_log, ownership

__all__ = ["Retention"]

# For callers that still read, even the results that were listed last.
READING_MARGIN_S = 30.0


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
        now = time.monotonic()
        for job in list(self._storage.job_table.jobs.values()):
            if not self._owns(job.id) or not self._is_expired(job, now):
                continue
            try:
                await self._storage.remove(job)
            except exception.LogError as error:
                decision_log.log_event("job.not_removed", job=job.id, why=str(error))
                return
            decision_log.log_request_event("job.removed", job.id, outcome="too_old")
        await self._remove_orphans(now)

    async def _remove_orphans(self, now):
        retention_s = self._settings.result_retention_s + READING_MARGIN_S
        orphans = [
            orphan
            for orphan in self._storage.job_table.list_orphans()
            if self._owns(orphan.job_id) and now - orphan.known_since > retention_s
        ]
        if not orphans:
            return
        try:
            await self._storage.remove_orphans(orphans)
        except exception.LogError as error:
            decision_log.log_event("job.not_removed", why=str(error))

    def _owns(self, job_id):
        partition = ownership.find_partition(job_id, self._settings.parts)
        return partition in self._ownership.partitions

    def _is_expired(self, job, now):
        if job.closed_since is None:
            return False
        retention_s = self._settings.result_retention_s + READING_MARGIN_S
        is_old = now - job.known_since > retention_s
        return is_old and now - job.closed_since > READING_MARGIN_S
