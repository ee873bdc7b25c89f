"""A replica of a state machine that follows a log stream.

One task reads the stream and applies its records. The offset never decreases: when
records have passed out of retention, the replica skips them by loading a checkpoint
that covers them.
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
RETRY_DELAY_S = 0.2
CONFIRM_READ_WAIT_S = 0.5


class Replica:
    """Follows one stream and keeps its state machine up to date.

    Args:
        log: `pimentowick.external.log.Log` to read from.
        stream: Name of the stream.
        state_machine: `pimentowick.replication.state_machine.StateMachine` to update.
        get_wait: Function that returns how long the log may hold a read open when
            there are no new records, in seconds; None means `READ_WAIT_S`.

    Attributes:
        offset: First offset not yet applied.
        ready: Whether the replica has reached the head of the log at least once.
        caught_up_at: Monotonic start time of the last read that reached the head; all
            records in the log at that time have been applied. None before that.
        first: Oldest offset in the log at the last read.
        recovering: Whether records are missing and a checkpoint is needed.
        checkpoint_covers: First offset that the newest checkpoint does not cover.
    """

    def __init__(self, log, stream, state_machine, get_wait=None):
        self.log = log
        self.stream = stream
        self.state_machine = state_machine
        self.offset = 0
        self.ready = False
        self.caught_up_at = None
        self.first = 0
        self.recovering = False
        self.checkpoint_covers = 0
        self.started_at = time.monotonic()
        self._checkpoint_at = None
        self._checkpoint_read_at = None
        self.applied = asyncio.Condition()
        self._get_wait = get_wait or (lambda: READ_WAIT_S)
        self._scan_offset = 0
        self._assembler = checkpoint.CheckpointAssembler()
        self._read_lock = asyncio.Lock()
        self._supervisor = supervisor.Supervisor(f"replica {stream}")

    async def start(self):
        """Start following the stream."""
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
                await asyncio.sleep(RETRY_DELAY_S * random.uniform(1.0, 2.0))

    async def read_once(self, wait_s=0.0):
        """Read one page and apply it.

        Returns:
            Whether the page reached the head of the log.

        Raises:
            LogUnavailableError: The log did not answer; nothing was applied.
        """
        async with self._read_lock:
            began = time.monotonic()
            position = self._scan_offset if self.recovering else self.offset
            page = await self.log.read(self.stream, position, wait_s=wait_s)
            self.first = page.first
            if not self.recovering and page.first > self.offset:
                self._begin_recovery(page.first)
            if self.recovering:
                at_head = self._scan_page(page)
            else:
                at_head = self._apply_page(page)
            if at_head:
                self.ready = True
                self.caught_up_at = began
        async with self.applied:
            self.applied.notify_all()
        return at_head

    def _apply_page(self, page):
        for offset, record in page.records:
            # A gap would skip a record; a duplicate would be applied twice.
            if offset != self.offset:
                break
            self._apply_record(offset, record)
            self.offset = offset + 1
        return self.offset >= page.head

    def _apply_record(self, offset, record):
        if not isinstance(record, dict):
            record = {"id": "", "type": "malformed"}
        if record.get("type") != checkpoint.CHECKPOINT:
            self.state_machine.apply(offset, record)
            return
        complete = self._assembler.add(record)
        if complete is not None:
            self._record_checkpoint(complete)

    def _record_checkpoint(self, newest):
        if newest.covers >= self.checkpoint_covers:
            self.checkpoint_covers = newest.covers
            self._checkpoint_at = newest.at
            self._checkpoint_read_at = time.monotonic()

    def get_checkpoint_age(self):
        """Return the age of the newest checkpoint in seconds, infinite if none.

        This is the greater of two ages. The record's own time may come from a wrong
        clock, and the time since it was read is too short for a record that was old
        when it was read.
        """
        if self._checkpoint_at is None:
            return math.inf
        stated = time.time() - self._checkpoint_at
        return max(stated, time.monotonic() - self._checkpoint_read_at)

    def _begin_recovery(self, first):
        # The records between this replica's offset and the oldest one in the log are
        # gone. Only a checkpoint can cover them; the state is kept until one is found.
        logger.warning(
            "replica {}: records {} to {} are gone. Looking for a checkpoint.",
            self.stream,
            self.offset,
            first - 1,
        )
        self.recovering = True
        self.ready = False
        self._scan_offset = first
        self._assembler = checkpoint.CheckpointAssembler()

    def _scan_page(self, page):
        for offset, record in page.records:
            self._scan_offset = offset + 1
            if not isinstance(record, dict):
                continue
            if record.get("type") != checkpoint.CHECKPOINT:
                continue
            complete = self._assembler.add(record)
            if complete is not None and self._install_checkpoint(complete, page.first):
                break
        return False

    def _install_checkpoint(self, newest, first):
        # A checkpoint that ends before the oldest record in the log would leave a gap.
        if newest.covers < first or not self.install_state(newest.covers, newest.parts):
            return False
        self._record_checkpoint(newest)
        return True

    def install_state(self, covers, parts):
        """Replace the state by the dump of another replica of this stream.

        Args:
            covers: First offset that the other replica had not applied.
            parts: Dump of its state machine.

        Returns:
            Whether the state was replaced; a dump that is older than the state of this
            replica, or malformed, is rejected.
        """
        if covers < self.offset:
            return False
        try:
            self.state_machine.load(parts)
        except exception.ValidationError as error:
            logger.warning("replica {}: rejected a dump: {}", self.stream, error)
            return False
        self.offset = covers
        self.recovering = False
        self._assembler = checkpoint.CheckpointAssembler()
        logger.info("replica {}: loaded the state at offset {}", self.stream, covers)
        return True

    async def catch_up(self, timeout_s):
        """Apply all records that were in the log when this was called.

        Raises:
            LogUnavailableError: This took longer than `timeout_s` seconds.
        """
        deadline = time.monotonic() + timeout_s
        # A long read that began before this call may still be open and does not show
        # the current head, so the head is requested separately.
        head = await self._read_head(deadline)
        remaining_s = max(deadline - time.monotonic(), RETRY_DELAY_S)
        await self.wait_for(lambda: self.offset >= head, remaining_s)

    async def _read_head(self, deadline):
        while True:
            try:
                page = await self.log.read(self.stream, self.offset, limit=1)
            except exception.LogUnavailableError:
                if time.monotonic() >= deadline:
                    raise
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            return page.head

    async def wait_for(self, predicate, timeout_s):
        """Read the stream until `predicate` is true.

        Raises:
            LogUnavailableError: It is still false after `timeout_s` seconds.
        """
        deadline = time.monotonic() + timeout_s
        while not predicate():
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                raise exception.LogUnavailableError(
                    f"Stream {self.stream} did not show it within {timeout_s:g} s."
                )
            try:
                async with asyncio.timeout(remaining_s):
                    await self._read_some()
            except TimeoutError:
                continue
            except exception.LogUnavailableError:
                await asyncio.sleep(min(RETRY_DELAY_S, max(remaining_s, 0)))

    async def _read_some(self):
        # If a long read is open, wait for its result; a second read would only add
        # load to the log.
        if self._read_lock.locked():
            async with self.applied:
                await self.applied.wait()
            return
        await self.read_once()

    async def append(self, records, timeout_s):
        """Append records and wait until this replica has applied the last of them.

        If the answer is lost, the stream is searched for the last record: ids are
        random, so finding it proves that the append succeeded.

        Raises:
            LogThrottledError: The log refused the append; it had no effect.
            LogUnavailableError: The outcome of the append is unknown.
        """
        for record in records:
            record.setdefault("id", external_log.make_id())
        deadline = time.monotonic() + timeout_s
        # If the answer is lost, this replica may have read past the records before the
        # timeout, so the search starts at the offset before the append.
        position = self.offset
        first = await self._try_append(records, timeout_s)
        remaining_s = max(deadline - time.monotonic(), RETRY_DELAY_S)
        if first is not None:
            last = first + len(records) - 1
            await self._wait_until_applied(last, remaining_s)
            return first
        last = await self._find_record(records[-1]["id"], position, remaining_s)
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

    async def _find_record(self, record_id, position, timeout_s):
        # An append that was not answered may still land later; one that has landed is
        # found within a few reads.
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            try:
                page = await self.log.read(
                    self.stream, position, wait_s=CONFIRM_READ_WAIT_S
                )
            except exception.LogUnavailableError:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            for offset, record in page.records:
                position = offset + 1
                if isinstance(record, dict) and record.get("id") == record_id:
                    remaining_s = max(deadline - time.monotonic(), RETRY_DELAY_S)
                    await self._wait_until_applied(offset, remaining_s)
                    return offset
        raise exception.LogUnavailableError(
            "It is not known whether the log took an append."
        )

    async def make_checkpoint(self, record_bytes):
        """Return the records of a checkpoint of the current state.

        Args:
            record_bytes: Largest record that the log takes, in bytes.
        """
        # Compressing a large state takes long and must not block the event loop.
        return await asyncio.to_thread(
            checkpoint.make_checkpoint,
            self.state_machine.dump(),
            self.offset,
            time.time(),
            record_bytes,
        )
