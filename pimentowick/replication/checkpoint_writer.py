"""Writes checkpoints before the log drops the records that they cover.

Any process that holds the state may write a checkpoint, because its content depends
on the log alone. To limit the number of appends, the first-ranked entry of a stream
writes it, and the others only if none has appeared for longer.
"""

import asyncio
import dataclasses
import math
import random
import time

from loguru import logger

from pimentowick import exception, supervisor

__all__ = [
    "CheckpointWriter",
    "CheckpointedStream",
    "append_with_retry",
    "get_checkpoint_interval",
]

CHECKPOINTS_PER_RETENTION = 4
# A stream without a checkpoint may already be almost as old as the retention time.
FIRST_CHECKPOINT_FRACTION = 1 / 16
RANK_DELAY_FRACTION = 1 / 4
RETRY_FRACTION = 1 / 8
CHECK_FRACTION = 1 / 40
MAX_CHECK_INTERVAL_S = 30.0
MAX_REPLICA_LAG_S = 5.0
# Claims, results and configuration changes have priority over these appends: a refused
# append is retried later, and a pause after each one limits the rate of an entry.
APPEND_PAUSE_S = 0.05
RETRY_DELAY_S = 1.0
MAX_ATTEMPTS = 10
RECORDS_PER_APPEND = 4


@dataclasses.dataclass(slots=True)
class CheckpointedStream:
    """One stream whose state is checkpointed.

    Attributes:
        replica: `pimentowick.replication.replica.Replica` of the stream.
        rank: Rank of this entry among those that follow the stream, from 0.
        before_checkpoint: Coroutine function to call before each checkpoint, or None.
    """

    replica: object
    rank: int
    before_checkpoint: object = None


def get_checkpoint_interval(settings):
    """Return the interval between two checkpoints of a stream, in seconds.

    Args:
        settings: `pimentowick.settings.EntrySettings`.
    """
    return settings.platform.log_retention_s / CHECKPOINTS_PER_RETENTION


class CheckpointWriter:
    """Writes the checkpoints that are due at this entry.

    Args:
        settings: `pimentowick.settings.EntrySettings`.
        list_checkpointed_streams: Function that returns the `CheckpointedStream` list.
        metrics: `pimentowick.metrics.EntryMetrics`.
    """

    def __init__(self, settings, list_checkpointed_streams, metrics):
        self._settings = settings
        self._list_streams = list_checkpointed_streams
        self._metrics = metrics
        self._interval = get_checkpoint_interval(settings)
        self._tried_at = {}
        self._supervisor = supervisor.Supervisor("checkpoint")

    async def start(self):
        """Start checking the age of the checkpoints."""
        await self._supervisor.start()
        self._supervisor.start_child("check", self._check_loop)

    async def close(self):
        """Stop; other entries write the checkpoints that become due."""
        await self._supervisor.close()

    async def _check_loop(self):
        check_interval = min(self._interval * CHECK_FRACTION, MAX_CHECK_INTERVAL_S)
        while True:
            for checkpointed in self._list_streams():
                if self._is_due(checkpointed):
                    await self._write_checkpoint(checkpointed)
            await asyncio.sleep(check_interval)

    def _is_due(self, checkpointed):
        replica = checkpointed.replica
        now = time.monotonic()
        if not replica.ready or replica.caught_up_at is None or not replica.offset:
            return False
        if now - replica.caught_up_at > MAX_REPLICA_LAG_S:
            return False
        # If the clocks of two entries differ by days, each would find the other's
        # checkpoints too old at every check.
        tried_at = self._tried_at.get(replica.stream, -math.inf)
        if now - tried_at < self._interval * RETRY_FRACTION:
            return False
        age = replica.get_checkpoint_age()
        limit = self._interval
        if age == math.inf:
            age = now - replica.started_at
            limit = self._interval * FIRST_CHECKPOINT_FRACTION
        return age >= limit * (1 + checkpointed.rank * RANK_DELAY_FRACTION)

    async def _write_checkpoint(self, checkpointed):
        replica = checkpointed.replica
        self._tried_at[replica.stream] = time.monotonic()
        try:
            if checkpointed.before_checkpoint is not None:
                await checkpointed.before_checkpoint()
            await self._append_checkpoint(replica)
        except exception.LogError as error:
            # An incomplete checkpoint has no effect; the next attempt writes a new one.
            logger.warning("checkpoint: {} not written: {}", replica.stream, error)
            return
        self._metrics.count_checkpoint()

    async def _append_checkpoint(self, replica):
        record_bytes = self._settings.platform.log_record_bytes
        records = await replica.make_checkpoint(record_bytes)
        covers = records[0]["covers"]
        for start in range(0, len(records), RECORDS_PER_APPEND):
            group = records[start : start + RECORDS_PER_APPEND]
            await append_with_retry(replica, group)
        logger.info("checkpoint: {} written up to offset {}", replica.stream, covers)


async def append_with_retry(replica, records):
    """Append records that may be delayed or duplicated without harm.

    Raises:
        LogError: All `MAX_ATTEMPTS` attempts were refused or not answered.
    """
    for attempt in range(1, MAX_ATTEMPTS + 1):
        try:
            await replica.log.append(replica.stream, records)
            break
        except exception.LogError:
            if attempt == MAX_ATTEMPTS:
                raise
            await asyncio.sleep(RETRY_DELAY_S * random.uniform(0.5, 1.0))
    await asyncio.sleep(APPEND_PAUSE_S)
