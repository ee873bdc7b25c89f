"""Writes the results of an entry's shards, grouped.

One append for each item would be far more than the log takes. Results of a shard are
gathered for a moment and written as one record. A record whose append got no answer
is written again under the same id, which is harmless if the first one landed.
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
FULL_PAUSE_S = 1.0


@dataclasses.dataclass(slots=True)
class _Buffer:
    """Results of one shard that are not yet known to be in the log."""

    shard: object
    epoch: int
    results: list = dataclasses.field(default_factory=list)
    sizes: list = dataclasses.field(default_factory=list)
    # The record whose append got no answer, and how many results it holds.
    unknown: dict | None = None
    unknown_count: int = 0


class ResultWriter:
    """Gathers results and appends them.

    Args:
        settings: `pimentowick.settings.EntrySettings`.

    Attributes:
        bytes: Size of the results that wait, in bytes.
        appends: Number of appends tried.
    """

    def __init__(self, settings):
        self.bytes = 0
        self.appends = 0
        self._settings = settings
        self._limit = settings.platform.log_record_bytes - RECORD_MARGIN_BYTES
        self._buffers = {}
        self._added = asyncio.Event()
        self._supervisor = supervisor.Supervisor("results")

    async def start(self):
        """Begin to write."""
        await self._supervisor.start()
        self._supervisor.start_child("write", self._write_always)

    async def close(self):
        """Stop; what waits is lost, and its items run again."""
        await self._supervisor.close()

    @property
    def is_full(self):
        """Whether no more items should be started before something is written."""
        return self.bytes >= MAX_BUFFERED_BYTES

    def add(self, shard, epoch, job, item, status, body):
        """Take one result.

        Args:
            shard: `pimentowick.batch.shard.Shard`.
            epoch: Epoch under which the item was run.
            job: Id of the job.
            item: Number of the item.
            status: ``succeeded`` or ``failed``.
            body: The result.
        """
        size = len(orjson.dumps(body)) + len(job) + 32
        if size > self._limit:
            status = "failed"
            body = _make_oversized(body)
            size = len(orjson.dumps(body)) + len(job) + 32
        buffer = self._buffers.get(shard.number)
        if buffer is not None and buffer.epoch > epoch:
            # A result of an epoch that is over is void. Taking it would drop what
            # waits under the new one, and those items would never complete.
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
        """Forget what waits for a shard that is no longer owned."""
        buffer = self._buffers.pop(number, None)
        if buffer is not None:
            self.bytes -= sum(buffer.sizes)

    async def _write_always(self):
        while True:
            await self._added.wait()
            self._added.clear()
            await asyncio.sleep(self._settings.flush_s)
            await self.flush()
            if self._buffers_hold_results():
                self._added.set()

    def _buffers_hold_results(self):
        return any(buffer.results for buffer in self._buffers.values())

    async def flush(self):
        """Try to write everything that waits."""
        for buffer in list(self._buffers.values()):
            while buffer.results and self._buffers.get(buffer.shard.number) is buffer:
                if not await self._write(buffer):
                    break

    async def _write(self, buffer):
        if buffer.unknown is None:
            count = self._count_fitting(buffer)
            buffer.unknown = batch_record.make_results(
                buffer.epoch, buffer.results[:count], time.time()
            )
            buffer.unknown_count = count
        self.appends += 1
        try:
            await buffer.shard.replica.log.append(buffer.shard.stream, [buffer.unknown])
        except exception.LogThrottledError:
            # Everybody's appends are over the rate; more of them would not help.
            await asyncio.sleep(FULL_PAUSE_S)
            return False
        except exception.LogError as error:
            logger.warning("results: Shard {}: {}", buffer.shard.number, error)
            return False
        self._forget_written(buffer)
        return True

    def _count_fitting(self, buffer):
        total = 0
        for count, size in enumerate(buffer.sizes):
            total += size
            if total > self._limit:
                return count
        return len(buffer.sizes)

    def _forget_written(self, buffer):
        count = buffer.unknown_count
        if self._buffers.get(buffer.shard.number) is buffer:
            self.bytes -= sum(buffer.sizes[:count])
        del buffer.results[:count]
        del buffer.sizes[:count]
        buffer.unknown = None


def _make_oversized(body):
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
