"""Carries shards over the end of the log's retention.

A checkpoint holds the state of a shard, but the bodies of items and results stay in
records of their own. Those that are still needed are appended again under their id,
which only moves their place in every ledger. That needs no ownership: the copy is the
same whoever appends it, and a second one is harmless.
"""

import time

from loguru import logger

from pimentowick.batch import record as batch_record
from pimentowick.batch import shard as batch_shard
from pimentowick.replication import keeper

__all__ = ["Carrier"]

# With checkpoints in time, what the last one doesn't cover is younger than a period.
# After a longer gap its age is unknown, and all that is needed is carried.
GAP_PERIODS = 1.5


class Carrier:
    """Knows what this entry has to carry forward.

    Args:
        table: `pimentowick.batch.shard.ShardTable`.
        configuration: `pimentowick.replication.replica.Replica` of the configuration.
        settings: `pimentowick.settings.EntrySettings`.
        metrics: `pimentowick.metrics.EntryMetrics`.
    """

    def __init__(self, table, configuration, settings, metrics):
        self._table = table
        self._configuration = configuration
        self._settings = settings
        self._metrics = metrics

    def list_kept(self):
        """Return the `pimentowick.replication.keeper.Kept` of this entry."""
        names = self._table.list_names()
        order = batch_shard.rank_entries(self._configuration.stream, names)
        kept = [keeper.Kept(self._configuration, self._get_rank(order))]
        for number, shard in self._table.followed.items():
            rank = self._get_rank(self._table.list_followers(number))
            kept.append(keeper.Kept(shard.replica, rank, self._make_carry(shard)))
        return kept

    def _get_rank(self, order):
        name = self._settings.name
        return order.index(name) if name in order else len(order)

    def _make_carry(self, shard):
        async def carry():
            await self._expire(shard)
            await self._append_again(shard)

        return carry

    async def _expire(self, shard):
        """Drop the jobs whose results are no longer owed."""
        before = time.time() - self._settings.result_keep_s
        expired = [
            batch_record.make_expired(job.id, job.submission)
            for job in shard.ledger.jobs.values()
            if job.ended_at is not None and job.ended_at < before
        ]
        if expired:
            await keeper.append_patiently(shard.replica, expired)
            await shard.replica.catch_up(self._settings.append_s)
            logger.info("carry: {} jobs of {} expired.", len(expired), shard.stream)

    async def _append_again(self, shard):
        replica = shard.replica
        limit = replica.checkpoint_covers
        gap = GAP_PERIODS * keeper.get_period(self._settings)
        if replica.get_checkpoint_age() >= gap:
            limit = replica.offset
        offsets = [each for each in shard.ledger.list_needed_offsets() if each < limit]
        group = []
        for offset in offsets:
            page = await shard.read_one(offset)
            if not page.records or page.records[0][0] != offset:
                logger.error("carry: Record {} of {} is gone.", offset, shard.stream)
                continue
            group.append(page.records[0][1])
            if len(group) == keeper.RECORDS_PER_APPEND:
                await self._append_group(replica, group)
                group = []
        await self._append_group(replica, group)
        # The checkpoint that follows names the new places.
        await replica.catch_up(self._settings.append_s)

    async def _append_group(self, replica, group):
        if group:
            await keeper.append_patiently(replica, group)
            self._metrics.count_reappended(len(group))
