"""Accepting jobs: read to the end of their partition, append there.

Notes:
    Optimistic concurrency: a change is built from the folded state and appended on
    condition that the partition still ends where the state does. If it does not,
    the state is read on and the change built anew; a change whose effect is there
    already builds no record.

    An append without an answer may take effect seconds later, if its condition still
    holds. The next append under the same condition settles it: one of the two fails.

    All jobs are accepted in one partition, so that a limit over what waits is kept by
    one condition, whichever entries take large jobs at the same moment.
"""

import asyncio
import dataclasses
import random

from pimentowick import exception
from pimentowick.gateway import decision, feed, record
from pimentowick.platform import store as platform_store

__all__ = ["Ledger", "NotWrittenError", "UnsettledError"]

FIRST_DELAY_S = 0.05
LAST_DELAY_S = 0.8
# An append that has no answer by then may have lost it: what it did is looked up.
LATE_S = 0.12
# Appends with the same records under way at once.
MOST_APPENDS = 3
LOOK_S = 0.3
# How long a change whose time is up waits for the answer to an append with it.
FLIGHT_S = 1.2
# Well below the store's limit of a call, for the frames of the records.
CALL_SHARE = 0.9


class NotWrittenError(exception.LogError):
    """The change was given up, and will never take effect."""


class UnsettledError(exception.LogError):
    """Time is up, and whether the change takes effect is not known."""


@dataclasses.dataclass(eq=False, slots=True)
class _Change:
    """A change that waits for its append.

    Attributes:
        build: Function that gets the `job.Book` and returns records.
        future: Ends with the change.
        limited: Whether no other such change may share its append.
        unsettled: Whether an append with this change had no answer yet.
    """

    build: object
    future: asyncio.Future
    limited: bool = False
    unsettled: bool = False


class Ledger(feed.Follower):
    """The partition of accepted jobs at one entry.

    Args:
        store: `pimentowick.platform.store.Store`.
        topic: Name of the keyed topic.
        book: The `pimentowick.gateway.job.Book` that folds it.
        pause_s: Pause between reads that found records, in seconds.
        wait_s: How long the store may hold a read, in seconds.
        call_bytes: Most bytes of one append.

    Attributes:
        book: The folded `pimentowick.gateway.job.Book`.
        feed: The `feed.Feed` that keeps it up to date.
    """

    def __init__(self, store, topic, book, pause_s, wait_s, call_bytes):
        self.store = store
        self.book = book
        self.feed = feed.Feed(store, topic, 0, self, pause_s, wait_s)
        self._call_bytes = call_bytes * CALL_SHARE
        self._waiting = []
        self._flight = None
        self._wake = asyncio.Event()

    def reset(self, records):
        """Fold the newest records."""
        self.book.reset_jobs(records)

    def apply(self, record):
        """Fold one more record."""
        self.book.apply_job(record.key, record.value)

    @property
    def is_loaded(self):
        """Whether the partition was read to its end once."""
        return self.feed.end is not None

    async def drop(self, job_id):
        """Drop a job that is closed.

        Raises:
            LogError: It is not known to be dropped.
        """
        dropped = record.drop_job(job_id)
        await self.store.append(self.feed.topic, self.feed.part, [dropped], None)

    async def commit(self, build, timeout_s, limited=False):
        """Append what `build` returns for the state at the end of the partition.

        Args:
            build: Function from the `job.Book` to a list of records; an empty list
                says that there is nothing to do. What it raises is raised here.
            timeout_s: How long to try, in seconds.
            limited: Whether `build` keeps a limit over several keys. Changes that
                share an append don't see each other, so only one of these is in it.

        Raises:
            NotWrittenError: Time is up, and the change will never take effect.
            UnsettledError: Time is up, and it may take effect.
        """
        future = asyncio.get_running_loop().create_future()
        change = _Change(build, future, limited)
        self._waiting.append(change)
        self._wake.set()
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.shield(change.future)
        except TimeoutError:
            await self._give_up(change)
        finally:
            # A change without an answer is let go; its effect shows in the book.
            if change in self._waiting:
                self._waiting.remove(change)

    async def _give_up(self, change):
        """Say what became of a change whose time is up."""
        if change in self._waiting:
            self._waiting.remove(change)
        if change.unsettled and self._flight is not None:
            # The answer to the append under way says whether it took effect.
            await asyncio.wait({self._flight}, timeout=FLIGHT_S)
        if change.future.done():
            await change.future
            return
        if change.unsettled:
            raise UnsettledError("The store has not answered.")
        if not change.build(self.book):
            return
        raise NotWrittenError("The store took no append in time.")

    async def run(self):
        """Append changes until cancelled."""
        delay = FIRST_DELAY_S
        while True:
            if not self._waiting:
                self._wake.clear()
                await self._wake.wait()
            try:
                if not self.is_loaded:
                    await self.feed.refresh()
                self._flight = asyncio.ensure_future(self._append_waiting())
                await self._flight
                delay = FIRST_DELAY_S
            except exception.LogError as error:
                decision.note_belief(
                    "ledger.delayed",
                    waiting=len(self._waiting),
                    why=str(error),
                )
                await asyncio.sleep(delay * random.uniform(0.5, 1.0))
                delay = min(delay * 2, LAST_DELAY_S)

    async def _append_waiting(self):
        at = self.feed.end
        batch, records = self._build_waiting()
        if not batch:
            return
        before = [change.unsettled for change in batch]
        for change in batch:
            change.unsettled = True
        try:
            if not await self._append(records, at):
                _settle(batch)
                return
        except platform_store.RejectedError:
            # An earlier append of the same change may still be without an answer.
            for change, unsettled in zip(batch, before, strict=True):
                change.unsettled = unsettled
            raise
        except (platform_store.OffsetConflictError, platform_store.UnknownOutcomeError):
            await self.feed.refresh()
            # Nothing is settled before the records that came instead are read: one
            # of them may be a former append of the same change.
            if self.feed.end > at:
                _settle(batch)
            return
        self.feed.take(records, at)
        for change in batch:
            self._end(change)

    async def _append(self, records, at):
        """Append; return False if the partition has moved on before the answer came.

        An answer may be lost or late, and the records taken at once, seconds later or
        never. Whether they were shows in the partition; until they are, the same append
        is made again: under one condition no more than one takes effect.
        """
        topic, part = self.feed.topic, self.feed.part
        tasks = set()
        errors = []
        try:
            while tasks or not errors:
                if not errors and len(tasks) < MOST_APPENDS:
                    append = self.store.append(topic, part, records, at)
                    tasks.add(asyncio.ensure_future(append))
                done, tasks = await asyncio.wait(
                    tasks, timeout=LATE_S, return_when=asyncio.FIRST_COMPLETED
                )
                found = [task.exception() for task in done]
                if None in found:
                    return True
                errors += found
                if not done and await self._has_moved(at):
                    return False
            raise _choose_error(errors)
        finally:
            for task in tasks:
                task.cancel()

    async def _has_moved(self, at):
        """Return whether the partition is known to end behind an offset by now."""
        try:
            async with asyncio.timeout(LOOK_S):
                await self.feed.refresh()
        except (TimeoutError, exception.LogError):
            pass
        return self.feed.end > at

    def _build_waiting(self):
        batch = []
        records = []
        keys = set()
        size = 0
        for change in list(self._waiting):
            found = self._build_one(change)
            found_size = sum(len(record.key) + len(record.value) for record in found)
            found_keys = {record.key for record in found}
            if not found or found_keys & keys:
                continue
            if change.limited and any(other.limited for other in batch):
                continue
            if batch and size + found_size > self._call_bytes:
                break
            batch.append(change)
            records += found
            keys |= found_keys
            size += found_size
        return batch, records

    def _build_one(self, change):
        try:
            found = change.build(self.book)
        except Exception as error:
            self._end(change, error)
            return []
        if not found:
            self._end(change)
        return found

    def _end(self, change, error=None):
        change.unsettled = False
        if change in self._waiting:
            self._waiting.remove(change)
        if change.future.done():
            return
        if error is None:
            change.future.set_result(None)
        else:
            change.future.set_exception(error)


def _settle(batch):
    """Note that the partition has moved on: a former append cannot land any more."""
    for change in batch:
        change.unsettled = False


def _choose_error(errors):
    """Return the error that says most of some appends with the same records.

    Nothing was done only if none of them did anything.
    """
    for kind in (
        platform_store.OffsetConflictError,
        platform_store.UnknownOutcomeError,
    ):
        for error in errors:
            if isinstance(error, kind):
                return error
    return errors[-1]
