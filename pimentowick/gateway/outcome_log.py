"""Log of job outcomes: results, failures and cancellations.

Notes:
    Appends are unconditional and every record has a unique key. If an item has several
    results, every entry uses the one with the lowest offset. Writers therefore do not
    contend with each other. An unacknowledged append is retried with new keys; if the
    first attempt takes effect later, its records are ignored as duplicates.
"""

import asyncio
import dataclasses
import random
import time

from pimentowick import exception
from pimentowick.gateway import decision_log, feed, hedging, record

__all__ = ["OutcomeLog"]

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.8
# Leaves room for record framing within the store's limit of a call.
MAX_CALL_SHARE = 0.9


@dataclasses.dataclass(eq=False, slots=True)
class _Change:
    """A change that is waiting to be appended.

    Attributes:
        build: Function that returns a list of records, empty once they are applied.
        future: Completed when the records are appended.
    """

    build: object
    future: asyncio.Future


class OutcomeLog(feed.Follower):
    """Follows and appends to the partition of job outcomes.

    Args:
        store: `pimentowick.platform.store.Store`.
        topic: Name of the keyed topic.
        job_table: The `pimentowick.gateway.job.JobTable` that the records update.
        pause_s: Pause after a read that returned records, in seconds.
        wait_s: Maximum duration of a long poll, in seconds.
        call_bytes: Maximum size of one append, in bytes.

    Attributes:
        feed: The `feed.Feed` that keeps the table up to date.
    """

    def __init__(self, store, topic, job_table, pause_s, wait_s, call_bytes):
        self._store = store
        self._call_bytes = call_bytes * MAX_CALL_SHARE
        self._job_table = job_table
        self.feed = feed.Feed(store, topic, 0, self, pause_s, wait_s)
        self._pending = []
        self._wake = asyncio.Event()

    def reset(self, records):
        """Replace the outcomes by a snapshot; see `feed.Follower`."""
        self._job_table.reset_outcomes(records)

    def apply(self, record):
        """Apply one record; see `feed.Follower`."""
        self._job_table.apply_outcome(record.key, record.value)

    async def put(self, build, timeout_s):
        """Append the records that `build` returns until they are applied to the table.

        Args:
            build: Function that returns a list of records, empty once they are applied.
                It is called for each attempt and must create new keys each time.
            timeout_s: Timeout, in seconds.

        Raises:
            LogError: The timeout expired; the records may still take effect.
        """
        deadline = time.monotonic() + timeout_s
        change = _Change(build, asyncio.get_running_loop().create_future())
        self._pending.append(change)
        self._wake.set()
        try:
            async with asyncio.timeout(timeout_s):
                await change.future
                while build():
                    await self.feed.wait_for_change(deadline - time.monotonic())
        except TimeoutError:
            raise exception.LogError(
                "The records were not applied before the timeout."
            ) from None
        finally:
            if change in self._pending:
                self._pending.remove(change)

    async def delete(self, keys):
        """Delete the outcome records of a deleted job.

        Raises:
            LogError: The append was not acknowledged.
        """
        records = [record.make_tombstone(key) for key in keys]
        if records:
            await self._store.append(
                self.feed.topic, self.feed.partition, records, None
            )

    async def run(self):
        """Append pending changes in batches until cancelled."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            if not self._pending:
                self._wake.clear()
                await self._wake.wait()
            try:
                await self._append_batch()
                backoff_s = INITIAL_BACKOFF_S
            except exception.LogError as error:
                decision_log.log_event(
                    "outcomes.delayed", waiting=len(self._pending), why=str(error)
                )
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def _append_batch(self):
        batch = self._choose_batch()
        await hedging.hedge(lambda: self._append(batch))
        for change in batch:
            if change in self._pending:
                self._pending.remove(change)
            if not change.future.done():
                change.future.set_result(None)

    def _choose_batch(self):
        """Return the oldest pending changes that fit into one append, at least one."""
        batch = []
        size_bytes = 0
        for change in self._pending:
            size_bytes += sum(
                len(new_record.key) + len(new_record.value)
                for new_record in change.build()
            )
            if batch and size_bytes > self._call_bytes:
                break
            batch.append(change)
        return batch

    async def _append(self, batch):
        """Append the records of unapplied changes, with new keys on each call."""
        records = [new_record for change in batch for new_record in change.build()]
        if not records:
            return
        topic, partition = self.feed.topic, self.feed.partition
        end = await self._store.append(topic, partition, records, None)
        if self.feed.end == end - len(records):
            self.feed.apply_records(records, end - len(records))
