"""Preserves the records that shards still need beyond the log's retention.

A checkpoint holds the state of a shard, but the bodies of items and results stay in
records of their own. Records that are still needed are appended again under the same
id, which only changes their offset in every ledger. Any process may do so, owner or
not: the copies are identical, and duplicates are harmless.
"""

import time

from loguru import logger

from pimentowick.batch import record as batch_record
from pimentowick.batch import shard as batch_shard
from pimentowick.replication import checkpoint_writer

__all__ = ["RecordRelocator"]

# While checkpoints are on time, records after the last one are younger than an
# interval. After a longer gap their age is unknown, and all needed ones are relocated.
MAX_CHECKPOINT_AGE_INTERVALS = 1.5


class RecordRelocator:
    """Lists the streams that this entry checkpoints, and relocates their records.

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

    def list_checkpointed_streams(self):
        """Return the `CheckpointedStream` of each stream that this entry follows."""
        names = self._table.list_entry_names()
        order = batch_shard.rank_entries(self._configuration.stream, names)
        streams = [
            checkpoint_writer.CheckpointedStream(
                self._configuration, self._get_rank(order)
            )
        ]
        for number, shard in self._table.followed.items():
            rank = self._get_rank(self._table.list_followers(number))
            streams.append(
                checkpoint_writer.CheckpointedStream(
                    shard.replica, rank, self._make_relocate(shard)
                )
            )
        return streams

    def _get_rank(self, order):
        name = self._settings.name
        return order.index(name) if name in order else len(order)

    def _make_relocate(self, shard):
        async def before_checkpoint():
            await self._expire_jobs(shard)
            await self._relocate_records(shard)

        return before_checkpoint

    async def _expire_jobs(self, shard):
        """Expire the jobs whose results have passed their retention time."""
        before = time.time() - self._settings.result_keep_s
        expired = [
            batch_record.make_expired(job.id, job.submission)
            for job in shard.ledger.jobs.values()
            if job.ended_at is not None and job.ended_at < before
        ]
        if expired:
            await checkpoint_writer.append_with_retry(shard.replica, expired)
            await shard.replica.catch_up(self._settings.append_s)
            logger.info("relocation: {} jobs of {} expired", len(expired), shard.stream)

    async def _relocate_records(self, shard):
        replica = shard.replica
        limit = replica.checkpoint_covers
        max_age_s = (
            MAX_CHECKPOINT_AGE_INTERVALS
            * checkpoint_writer.get_checkpoint_interval(self._settings)
        )
        if replica.get_checkpoint_age() >= max_age_s:
            limit = replica.offset
        offsets = [each for each in shard.ledger.list_needed_offsets() if each < limit]
        group = []
        for offset in offsets:
            page = await shard.read_record(offset)
            if not page.records or page.records[0][0] != offset:
                logger.error(
                    "relocation: record {} of {} is no longer in the log",
                    offset,
                    shard.stream,
                )
                continue
            group.append(page.records[0][1])
            if len(group) == checkpoint_writer.RECORDS_PER_APPEND:
                await self._append_group(replica, group)
                group = []
        await self._append_group(replica, group)
        # The next checkpoint then contains the new offsets.
        await replica.catch_up(self._settings.append_s)

    async def _append_group(self, replica, group):
        if group:
            await checkpoint_writer.append_with_retry(replica, group)
            self._metrics.count_reappended(len(group))
