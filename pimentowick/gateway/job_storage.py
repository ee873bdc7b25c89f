"""What an entry keeps of all jobs, and how it reads and writes the rest."""

import asyncio
import time

from pimentowick import exception
from pimentowick.gateway import content, job, ledger, outcome_log

__all__ = ["JobStorage"]


class JobStorage:
    """Accepted jobs, their outcomes and their contents.

    Args:
        store: `pimentowick.platform.store.Store`.
        jobs_topic: Name of the keyed topic of accepted jobs.
        outcomes_topic: Name of the keyed topic of what became of them.
        pause_s: Pause between reads that found records, in seconds.
        wait_s: How long the store may hold a read, in seconds.
        settings: `pimentowick.platform.node.NodeSettings`.

    Attributes:
        job_table: The folded `job.JobTable`.
        accepted: The `ledger.Ledger`.
        outcomes: The `outcome_log.OutcomeLog`.
        contents: The `content.Contents`.
    """

    def __init__(self, store, jobs_topic, outcomes_topic, pause_s, wait_s, settings):
        self.job_table = job.JobTable()
        self.accepted = ledger.Ledger(
            store, jobs_topic, self.job_table, pause_s, wait_s, settings.call_bytes
        )
        self.outcomes = outcome_log.OutcomeLog(
            store, outcomes_topic, self.job_table, pause_s, wait_s
        )
        self.contents = content.Contents(
            store, settings.parts, settings.record_bytes, settings.call_bytes
        )

    @property
    def feeds(self):
        """The feeds of both partitions."""
        return self.accepted.feed, self.outcomes.feed

    @property
    def is_loaded(self):
        """Whether both partitions were read to their ends once."""
        return all(found.end is not None for found in self.feeds)

    async def load(self, timeout_s):
        """Wait until both partitions were read to their ends once.

        Raises:
            LogError: Time is up before.
        """
        ends_at = time.monotonic() + timeout_s
        for found in self.feeds:
            while found.end is None:
                left_s = ends_at - time.monotonic()
                if left_s <= 0:
                    raise exception.LogError("The jobs are not read yet.")
                await found.wait_changed(left_s)

    async def refresh(self):
        """Read both partitions up to their present ends.

        Raises:
            LogError: The store gave no answer, or an end was not reached.
        """
        await asyncio.gather(*(found.refresh() for found in self.feeds))

    async def remove(self, job):
        """Drop all of a job that is closed, and that nobody may read any more.

        Its contents go first: without the job, nobody would know of them. Its outcome
        goes last, since without that it would run again.

        Raises:
            LogError: Something of it may be left.
        """
        await self.contents.drop_all(job.id)
        await self.accepted.drop(job.id)
        await self.outcomes.drop(list(job.outcome.keys))

    def get_age(self):
        """Return how many seconds ago the jobs were known to be complete."""
        return time.monotonic() - min(found.fresh_at for found in self.feeds)
