"""Writing what became of jobs: results, failures, ends.

Notes:
    Records are appended under no condition, each under a key that no other has: of two
    results of an item the first by offset counts, for all entries alike. So writers
    don't wait for each other, however many they are and however slow the store is. An
    append without an answer is done again under other keys; landing late, the first one
    changes nothing.
"""

import asyncio
import dataclasses
import random
import time

from pimentowick import exception
from pimentowick.gateway import decision, feed, hedging, record

__all__ = ["OutcomeLog"]

FIRST_DELAY_S = 0.05
LAST_DELAY_S = 0.8


@dataclasses.dataclass(eq=False, slots=True)
class _Change:
    """A change that waits for its append.

    Attributes:
        build: Function that returns records, none once there is nothing to do.
        future: Ends with the change.
    """

    build: object
    future: asyncio.Future


class OutcomeLog(feed.Follower):
    """The partition of outcomes at one entry.

    Args:
        store: `pimentowick.platform.store.Store`.
        topic: Name of the keyed topic.
        job_table: The `pimentowick.gateway.job.JobTable` that folds it.
        pause_s: Pause between reads that found records, in seconds.
        wait_s: How long the store may hold a read, in seconds.

    Attributes:
        feed: The `feed.Feed` that keeps the book up to date.
    """

    def __init__(self, store, topic, job_table, pause_s, wait_s):
        self._store = store
        self._book = job_table
        self.feed = feed.Feed(store, topic, 0, self, pause_s, wait_s)
        self._waiting = []
        self._wake = asyncio.Event()

    def reset(self, records):
        """Fold the newest records."""
        self._book.reset_outcomes(records)

    def apply(self, record):
        """Fold one more record."""
        self._book.apply_outcome(record.key, record.value)

    async def put(self, build, timeout_s):
        """Append what `build` returns until the book shows that nothing is to do.

        Args:
            build: Function that returns records, none once their effect shows in the
                book. It is called anew for each try, and names its records anew.
            timeout_s: How long to try, in seconds.

        Raises:
            LogError: Time is up, and it is not known whether the records count.
        """
        ends_at = time.monotonic() + timeout_s
        change = _Change(build, asyncio.get_running_loop().create_future())
        self._waiting.append(change)
        self._wake.set()
        try:
            async with asyncio.timeout(timeout_s):
                await change.future
                while build():
                    await self.feed.wait_changed(ends_at - time.monotonic())
        except TimeoutError:
            raise exception.LogError("The store took no append in time.") from None
        finally:
            if change in self._waiting:
                self._waiting.remove(change)

    async def drop(self, keys):
        """Drop records of a job that is dropped.

        Raises:
            LogError: They are not known to be dropped.
        """
        records = [record.drop(key) for key in keys]
        if records:
            await self._store.append(self.feed.topic, self.feed.part, records, None)

    async def run(self):
        """Append changes until cancelled."""
        delay = FIRST_DELAY_S
        while True:
            if not self._waiting:
                self._wake.clear()
                await self._wake.wait()
            try:
                await self._append_waiting()
                delay = FIRST_DELAY_S
            except exception.LogError as error:
                decision.note_belief(
                    "outcomes.delayed", waiting=len(self._waiting), why=str(error)
                )
                await asyncio.sleep(delay * random.uniform(0.5, 1.0))
                delay = min(delay * 2, LAST_DELAY_S)

    async def _append_waiting(self):
        batch = list(self._waiting)
        await hedging.hedge(lambda: self._append(batch))
        for change in batch:
            if change in self._waiting:
                self._waiting.remove(change)
            if not change.future.done():
                change.future.set_result(None)

    async def _append(self, batch):
        """Append what changes still need; each time under keys of its own."""
        records = [entry for change in batch for entry in change.build()]
        if not records:
            return
        topic, part = self.feed.topic, self.feed.part
        end = await self._store.append(topic, part, records, None)
        if self.feed.end == end - len(records):
            self.feed.take(records, end - len(records))
