"""A copy of a fold that follows its stream.

One task reads the stream and applies what it reads. The copy never goes back: it
only moves to higher offsets, also when it has to jump over records that passed out
of retention by loading a checkpoint.
"""

import asyncio
import math
import random
import time

from loguru import logger

from pimentowick import exception, supervisor
from pimentowick.external import log as external_log
from pimentowick.replication import checkpoint

__all__ = ["Replica"]

READ_WAIT_S = 1.0
RETRY_S = 0.2
CONFIRM_READ_WAIT_S = 0.5


class Replica:
    """Follows one stream and keeps its fold up to date.

    Args:
        log: `pimentowick.external.log.Log` to read from.
        stream: Name of the stream.
        fold: `pimentowick.replication.fold.Fold` to keep.
        get_wait: Function that returns how long the log may hold an empty answer, in
            seconds; None means `READ_WAIT_S`.

    Attributes:
        offset: First offset not yet applied.
        ready: Whether the fold has held everything up to some head of the log.
        fresh_at: Monotonic time at which the last read that reached the head
            began; what was in the log then is in the fold. None before.
        first: Oldest offset that the log kept at the last read.
        recovering: Whether records are missing and a checkpoint is looked for.
        checkpoint_covers: What the newest checkpoint in the log covers.
    """

    def __init__(self, log, stream, fold, get_wait=None):
        self.log = log
        self.stream = stream
        self.fold = fold
        self.offset = 0
        self.ready = False
        self.fresh_at = None
        self.first = 0
        self.recovering = False
        self.checkpoint_covers = 0
        self.started_at = time.monotonic()
        self._checkpoint_at = None
        self._checkpoint_read_at = None
        self.applied = asyncio.Condition()
        self._get_wait = get_wait or (lambda: READ_WAIT_S)
        self._scan = 0
        self._collector = checkpoint.Collector()
        self._reading = asyncio.Lock()
        self._supervisor = supervisor.Supervisor(f"replica {stream}")

    async def start(self):
        """Begin to follow the stream."""
        await self._supervisor.start()
        self._supervisor.start_child("follow", self._follow)

    async def close(self):
        """Stop following."""
        await self._supervisor.close()

    async def _follow(self):
        failing = False
        while True:
            try:
                await self.read_once(self._get_wait())
                failing = False
            except exception.LogUnavailableError as error:
                if not failing:
                    logger.warning("replica {}: {}", self.stream, error)
                failing = True
                await asyncio.sleep(RETRY_S * random.uniform(1.0, 2.0))

    async def read_once(self, wait_s=0.0):
        """Read one page and apply it.

        Returns:
            Whether the page reached the head of the log.

        Raises:
            LogUnavailableError: The log gave no answer; nothing was applied.
        """
        async with self._reading:
            began = time.monotonic()
            position = self._scan if self.recovering else self.offset
            page = await self.log.read(self.stream, position, wait_s=wait_s)
            self.first = page.first
            if not self.recovering and page.first > self.offset:
                self._begin_recovery(page.first)
            if self.recovering:
                reached = self._scan_page(page)
            else:
                reached = self._apply_page(page)
            if reached:
                self.ready = True
                self.fresh_at = began
        async with self.applied:
            self.applied.notify_all()
        return reached

    def _apply_page(self, page):
        for offset, record in page.records:
            # A gap would leave out a record; a repeat would apply one twice.
            if offset != self.offset:
                break
            self._apply(offset, record)
            self.offset = offset + 1
        return self.offset >= page.head

    def _apply(self, offset, record):
        if not isinstance(record, dict):
            record = {"id": "", "type": "malformed"}
        if record.get("type") != checkpoint.CHECKPOINT:
            self.fold.apply(offset, record)
            return
        whole = self._collector.add(record)
        if whole is not None:
            self._note_checkpoint(whole)

    def _note_checkpoint(self, found):
        if found.covers >= self.checkpoint_covers:
            self.checkpoint_covers = found.covers
            self._checkpoint_at = found.at
            self._checkpoint_read_at = time.monotonic()

    def get_checkpoint_age(self):
        """Return the age of the newest checkpoint in seconds, infinite if none.

        Two clocks are asked and the greater age is taken. The time that a record
        states may come from a clock that is wrong, and the time of reading says
        nothing about a record that was old when it was read.
        """
        if self._checkpoint_at is None:
            return math.inf
        stated = time.time() - self._checkpoint_at
        return max(stated, time.monotonic() - self._checkpoint_read_at)

    def _begin_recovery(self, first):
        # What was between our offset and the oldest kept record is gone. Only a
        # checkpoint can bridge that; until one is found the copy stays as it is.
        logger.warning(
            "replica {}: records {} to {} are gone. Looking for a checkpoint.",
            self.stream,
            self.offset,
            first - 1,
        )
        self.recovering = True
        self.ready = False
        self._scan = first
        self._collector = checkpoint.Collector()

    def _scan_page(self, page):
        for offset, record in page.records:
            self._scan = offset + 1
            if not isinstance(record, dict):
                continue
            if record.get("type") != checkpoint.CHECKPOINT:
                continue
            whole = self._collector.add(record)
            if whole is not None and self._adopt(whole, page.first):
                break
        return False

    def _adopt(self, found, first):
        # One that covers less than the oldest kept record would leave a gap again.
        if found.covers < first or not self.adopt(found.covers, found.parts):
            return False
        self._note_checkpoint(found)
        return True

    def adopt(self, covers, parts):
        """Take over the state that another copy of this stream dumped.

        Args:
            covers: Offset of the first record that it had not applied.
            parts: What its fold dumped.

        Returns:
            Whether it was taken: never if that would take this copy back.
        """
        if covers < self.offset:
            return False
        try:
            self.fold.load(parts)
        except exception.ValidationError as error:
            logger.warning("replica {}: A dump is broken. {}", self.stream, error)
            return False
        self.offset = covers
        self.recovering = False
        self._collector = checkpoint.Collector()
        logger.info("replica {}: loaded a state at {}.", self.stream, covers)
        return True

    async def catch_up(self, timeout_s):
        """Apply all that the log held when this was called.

        Raises:
            LogUnavailableError: That took longer than `timeout_s` seconds.
        """
        deadline = time.monotonic() + timeout_s
        # The follower may hold a long read that began before this call and says
        # nothing about it until it ends; the head is asked for beside it.
        head = await self._read_head(deadline)
        left = max(deadline - time.monotonic(), RETRY_S)
        await self.wait_for(lambda: self.offset >= head, left)

    async def _read_head(self, deadline):
        while True:
            try:
                page = await self.log.read(self.stream, self.offset, limit=1)
            except exception.LogUnavailableError:
                if time.monotonic() >= deadline:
                    raise
                await asyncio.sleep(RETRY_S)
                continue
            return page.head

    async def wait_for(self, predicate, timeout_s):
        """Read on until `predicate` holds.

        Raises:
            LogUnavailableError: It did not within `timeout_s` seconds.
        """
        deadline = time.monotonic() + timeout_s
        while not predicate():
            left = deadline - time.monotonic()
            if left <= 0:
                raise exception.LogUnavailableError(
                    f"Stream {self.stream} did not show it within {timeout_s:g} s."
                )
            try:
                async with asyncio.timeout(left):
                    await self._read_some()
            except TimeoutError:
                continue
            except exception.LogUnavailableError:
                await asyncio.sleep(min(RETRY_S, max(left, 0)))

    async def _read_some(self):
        # While the following task holds a long read, its next result is what we
        # wait for; a second read would only cost the log another request.
        if self._reading.locked():
            async with self.applied:
                await self.applied.wait()
            return
        await self.read_once()

    async def append(self, records, timeout_s):
        """Append records and return once this copy has applied the last of them.

        A lost answer is settled by reading on: the ids of the records are random,
        so seeing the last one proves that the append took place.

        Raises:
            LogThrottledError: The log refused; nothing was appended.
            LogUnavailableError: It is not known whether the append took place.
        """
        for record in records:
            record.setdefault("id", external_log.make_id())
        deadline = time.monotonic() + timeout_s
        # Where the answer is lost, the follower may have passed the records by the
        # time that the loss is noticed; the search begins before them.
        position = self.offset
        first = await self._try_append(records, timeout_s)
        left = max(deadline - time.monotonic(), RETRY_S)
        if first is not None:
            last = first + len(records) - 1
            await self._wait_until_applied(last, left)
            return first
        last = await self._find(records[-1]["id"], position, left)
        return last - len(records) + 1

    async def _wait_until_applied(self, offset, timeout_s):
        await self.wait_for(lambda: self.offset > offset, timeout_s)

    async def _try_append(self, records, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                return await self.log.append(self.stream, records)
        except TimeoutError as error:
            raise exception.LogUnavailableError(
                "The log did not answer an append in time."
            ) from error
        except exception.LogUnavailableError:
            return None

    async def _find(self, record_id, position, timeout_s):
        # The append that got no answer may still land; where it has landed
        # already, a few reads of the head show it.
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            try:
                page = await self.log.read(
                    self.stream, position, wait_s=CONFIRM_READ_WAIT_S
                )
            except exception.LogUnavailableError:
                await asyncio.sleep(RETRY_S)
                continue
            for offset, record in page.records:
                position = offset + 1
                if isinstance(record, dict) and record.get("id") == record_id:
                    left = max(deadline - time.monotonic(), RETRY_S)
                    await self._wait_until_applied(offset, left)
                    return offset
        raise exception.LogUnavailableError(
            "It is not known whether the log took an append."
        )

    async def make_checkpoint(self, record_bytes):
        """Return the records of a checkpoint of the fold as it is now.

        Args:
            record_bytes: Largest record that the log takes, in bytes.
        """
        # Packing takes long for a large state; the loop has callers to answer.
        return await asyncio.to_thread(
            checkpoint.make_checkpoint,
            self.fold.dump(),
            self.offset,
            time.time(),
            record_bytes,
        )
