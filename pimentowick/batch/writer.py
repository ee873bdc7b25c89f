"""Appends the results of an entry's shards to the log in groups.

One append for each item would exceed the log's append rate. The results of a shard
are buffered for a short time and written as one record. A record whose append was not
confirmed is retried under the same id, so a duplicate has no effect.
"""

import asyncio
import dataclasses
import time

import orjson
from loguru import logger

from pimentowick import exception, supervisor
from pimentowick.batch import record as batch_record

__all__ = ["ResultWriter"]

RECORD_MARGIN_BYTES = 2048
MAX_BUFFERED_BYTES = 4_194_304
LOG_FULL_BACKOFF_S = 1.0
# Bytes of a result in its record besides the body and the job id.
RESULT_OVERHEAD_BYTES = 32


@dataclasses.dataclass(slots=True)
class _Buffer:
    """Results of one shard that are not yet known to be in the log."""

    shard: object
    epoch: int
    results: list = dataclasses.field(default_factory=list)
    sizes: list = dataclasses.field(default_factory=list)
    # The record whose append was not confirmed, and its number of results.
    unconfirmed: dict | None = None
    unconfirmed_count: int = 0


class ResultWriter:
    """Buffers results and appends them to the log.

    Args:
        settings: `pimentowick.settings.EntrySettings`.

    Attributes:
        bytes: Size of the buffered results, in bytes.
        appends: Number of appends attempted.
    """

    def __init__(self, settings):
        self.bytes = 0
        self.appends = 0
        self._settings = settings
        self._max_record_bytes = (
            settings.platform.log_record_bytes - RECORD_MARGIN_BYTES
        )
        self._buffers = {}
        self._added = asyncio.Event()
        self._supervisor = supervisor.Supervisor("results")

    async def start(self):
        """Start the task that writes results."""
        await self._supervisor.start()
        self._supervisor.start_child("write", self._write_loop)

    async def close(self):
        """Stop; items whose results are still buffered will run again."""
        await self._supervisor.close()

    @property
    def is_full(self):
        """Whether the buffer is full, so that no more items should be started."""
        return self.bytes >= MAX_BUFFERED_BYTES

    def add(self, shard, epoch, job, item, status, body):
        """Buffer one result.

        Args:
            shard: `pimentowick.batch.shard.Shard`.
            epoch: Epoch under which the item ran.
            job: Id of the job.
            item: Number of the item.
            status: ``succeeded`` or ``failed``.
            body: Result of the item.
        """
        size = len(orjson.dumps(body)) + len(job) + RESULT_OVERHEAD_BYTES
        if size > self._max_record_bytes:
            status = "failed"
            body = _make_oversized_error(body)
            size = len(orjson.dumps(body)) + len(job) + RESULT_OVERHEAD_BYTES
        buffer = self._buffers.get(shard.number)
        if buffer is not None and buffer.epoch > epoch:
            # A result of an earlier epoch is void. Accepting it would discard the
            # results buffered under the current epoch, and their items would never
            # complete.
            return
        if buffer is None or buffer.epoch != epoch:
            self.drop(shard.number)
            buffer = _Buffer(shard, epoch)
            self._buffers[shard.number] = buffer
        buffer.results.append([job, item, status, body])
        buffer.sizes.append(size)
        self.bytes += size
        self._added.set()

    def drop(self, number):
        """Discard the buffered results of a shard that is no longer owned."""
        buffer = self._buffers.pop(number, None)
        if buffer is not None:
            self.bytes -= sum(buffer.sizes)

    async def _write_loop(self):
        while True:
            await self._added.wait()
            self._added.clear()
            await asyncio.sleep(self._settings.flush_s)
            await self.flush()
            if self._has_results():
                self._added.set()

    def _has_results(self):
        return any(buffer.results for buffer in self._buffers.values())

    async def flush(self):
        """Try to append all buffered results."""
        for buffer in list(self._buffers.values()):
            while buffer.results and self._buffers.get(buffer.shard.number) is buffer:
                if not await self._write(buffer):
                    break

    async def _write(self, buffer):
        if buffer.unconfirmed is None:
            count = self._count_fitting(buffer)
            buffer.unconfirmed = batch_record.make_results(
                buffer.epoch, buffer.results[:count], time.time()
            )
            buffer.unconfirmed_count = count
        self.appends += 1
        try:
            await buffer.shard.replica.log.append(
                buffer.shard.stream, [buffer.unconfirmed]
            )
        except exception.LogThrottledError:
            # The append rate of all entries is exceeded; retrying at once adds load.
            await asyncio.sleep(LOG_FULL_BACKOFF_S)
            return False
        except exception.LogError as error:
            logger.warning(
                "results: append to shard {} failed: {}", buffer.shard.number, error
            )
            return False
        self._remove_written(buffer)
        return True

    def _count_fitting(self, buffer):
        total = 0
        for count, size in enumerate(buffer.sizes):
            total += size
            if total > self._max_record_bytes:
                return count
        return len(buffer.sizes)

    def _remove_written(self, buffer):
        count = buffer.unconfirmed_count
        if self._buffers.get(buffer.shard.number) is buffer:
            self.bytes -= sum(buffer.sizes[:count])
        del buffer.results[:count]
        del buffer.sizes[:count]
        buffer.unconfirmed = None


def _make_oversized_error(body):
    return {
        "custom_id": body["custom_id"],
        "response": None,
        "error": {
            "code": "result_too_large",
            "message": "The result does not fit the log. Ask for fewer tokens.",
            "type": "result_too_large",
            "verdict": "ran",
        },
    }
