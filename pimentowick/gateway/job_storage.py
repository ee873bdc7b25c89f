"""Storage of batch jobs: local tables, and contents in the store."""

import asyncio
import time

from pimentowick import exception
from pimentowick.gateway import (
    content,
    decision_log,
    job,
    ledger,
    outcome_log,
    record,
)

__all__ = ["JobStorage"]


class JobStorage:
    """Accepted jobs, their outcomes and their contents.

    Args:
        store: `pimentowick.platform.store.Store`.
        jobs_topic: Name of the keyed topic of accepted jobs.
        outcomes_topic: Name of the keyed topic of job outcomes.
        pause_s: Pause after a read that returned records, in seconds.
        wait_s: Maximum duration of a long poll, in seconds.
        settings: `pimentowick.platform.node.NodeSettings`.

    Attributes:
        job_table: The `job.JobTable`.
        accepted: The `ledger.Ledger`.
        outcomes: The `outcome_log.OutcomeLog`.
        contents: The `content.Contents`.
        max_record_bytes: Maximum size of a record in the store.
    """

    def __init__(self, store, jobs_topic, outcomes_topic, pause_s, wait_s, settings):
        self.job_table = job.JobTable()
        self.accepted = ledger.Ledger(
            store, jobs_topic, self.job_table, pause_s, wait_s, settings.call_bytes
        )
        self.outcomes = outcome_log.OutcomeLog(
            store,
            outcomes_topic,
            self.job_table,
            pause_s,
            wait_s,
            settings.call_bytes,
        )
        self.contents = content.Contents(
            store, settings.parts, settings.record_bytes, settings.call_bytes
        )
        self.max_record_bytes = settings.record_bytes

    @property
    def feeds(self):
        """The feeds of the accepted jobs and of their outcomes."""
        return self.accepted.feed, self.outcomes.feed

    @property
    def is_loaded(self):
        """Whether both partitions have been read to their ends at least once."""
        return all(partition_feed.end is not None for partition_feed in self.feeds)

    async def load(self, timeout_s):
        """Wait until both partitions have been read to their ends at least once.

        Raises:
            LogError: The timeout expired.
        """
        deadline = time.monotonic() + timeout_s
        for partition_feed in self.feeds:
            while partition_feed.end is None:
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0:
                    raise exception.LogError(
                        f"Jobs not loaded from the store within {timeout_s} s."
                    )
                await partition_feed.wait_for_change(remaining_s)

    async def refresh(self):
        """Read both partitions to their current ends.

        Raises:
            LogError: The store did not answer, or an end was not reached.
        """
        await asyncio.gather(
            *(partition_feed.refresh() for partition_feed in self.feeds)
        )

    async def remove(self, job):
        """Delete a closed job.

        Contents are deleted first, since they cannot be found without the job. Outcomes
        are deleted last, since a job without them would run again.

        Raises:
            LogError: The job may be deleted only in part.
        """
        await self.contents.delete_all(job.id)
        await self.accepted.delete(job.id)
        await self.outcomes.delete(list(job.outcome.keys))

    async def remove_orphans(self, orphans):
        """Delete the outcomes of deleted jobs, left by a deletion that stopped halfway.

        An outcome is written after its job, so that a job without a record was deleted.

        Args:
            orphans: The `job.Orphan` objects.

        Raises:
            LogError: Some may not be deleted.
        """
        keys = await self.accepted.read_keys()
        for orphan in orphans:
            if record.make_job_tombstone(orphan.job_id).key not in keys:
                await self.outcomes.delete(orphan.keys)
                decision_log.log_request_event(
                    "job.outcomes_removed", orphan.job_id, outcome="orphaned"
                )

    def get_staleness_s(self):
        """Return the age of the local state, in seconds."""
        return time.monotonic() - min(
            partition_feed.fresh_at for partition_feed in self.feeds
        )
