"""Log of accepted jobs, appended to with optimistic concurrency control.

Notes:
    A change builds its records from the state at the end of the partition. They are
    appended on condition that the partition still ends there. If the condition fails,
    newer records are applied and the change is built again; a change that is already
    applied builds no records.

    An append that is not acknowledged may still take effect while its condition holds.
    A second append with the same condition resolves this: at most one succeeds.

    All accepted jobs share one partition, so that concurrent submissions at different
    entries cannot exceed the quota.
"""

import asyncio
import dataclasses
import random

from pimentowick import exception
from pimentowick.gateway import decision_log, feed, record
from pimentowick.platform import store as platform_store

__all__ = ["InDoubtError", "Ledger", "NotCommittedError"]

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.8
# After this time without an acknowledgement, the partition is read and the append
# retried.
ANSWER_TIMEOUT_S = 0.12
# Concurrent attempts of the same append.
MAX_CONCURRENT_APPENDS = 3
CHECK_TIMEOUT_S = 0.3
# After its timeout, a change waits this long for an append in progress.
IN_FLIGHT_TIMEOUT_S = 1.2
# Leaves room for record framing within the store's limit of a call.
MAX_CALL_SHARE = 0.9


class NotCommittedError(exception.LogError):
    """The change was not committed and will not take effect."""


class InDoubtError(exception.LogError):
    """The timeout expired and the change may still take effect."""


@dataclasses.dataclass(eq=False, slots=True)
class _Change:
    """A change that is waiting to be appended.

    Attributes:
        build: Function from the `job.JobTable` to a list of records.
        future: Completed with the result of the change.
        exclusive: Whether an append may hold only one such change.
        in_doubt: Whether an unacknowledged append with this change may take effect.
    """

    build: object
    future: asyncio.Future
    exclusive: bool = False
    in_doubt: bool = False


class Ledger(feed.Follower):
    """Follows and appends to the partition of accepted jobs.

    Args:
        store: `pimentowick.platform.store.Store`.
        topic: Name of the keyed topic.
        job_table: The `pimentowick.gateway.job.JobTable` that the records update.
        pause_s: Pause after a read that returned records, in seconds.
        wait_s: Maximum duration of a long poll, in seconds.
        call_bytes: Maximum size of one append, in bytes.

    Attributes:
        job_table: The `pimentowick.gateway.job.JobTable`.
        feed: The `feed.Feed` that keeps it up to date.
    """

    def __init__(self, store, topic, job_table, pause_s, wait_s, call_bytes):
        self.store = store
        self.job_table = job_table
        self.feed = feed.Feed(store, topic, 0, self, pause_s, wait_s)
        self._call_bytes = call_bytes * MAX_CALL_SHARE
        self._pending = []
        self._in_flight = None
        self._wake = asyncio.Event()

    def reset(self, records):
        """Replace the accepted jobs by a snapshot; see `feed.Follower`."""
        self.job_table.reset_jobs(records)

    def apply(self, record):
        """Apply one record; see `feed.Follower`."""
        self.job_table.apply_job(record.key, record.value)

    @property
    def is_loaded(self):
        """Whether the partition has been read to its end at least once."""
        return self.feed.end is not None

    async def read_keys(self):
        """Return the keys of all records in the store, whatever their values.

        Raises:
            LogError: The store did not answer.
        """
        page = await self.store.read_newest(self.feed.topic, self.feed.partition)
        return {newest.key for newest in page.records}

    async def delete(self, job_id):
        """Delete the record of a job.

        Raises:
            LogError: The append was not acknowledged.
        """
        tombstone = record.make_job_tombstone(job_id)
        await self.store.append(self.feed.topic, self.feed.partition, [tombstone], None)

    async def commit(self, build, timeout_s, exclusive=False):
        """Append the records that `build` returns for the current end of the partition.

        Args:
            build: Function from the `job.JobTable` to a list of records, empty if the
                change is already applied. Its exceptions are raised to the caller.
            timeout_s: Timeout, in seconds.
            exclusive: Whether `build` checks a limit across keys. Changes in one append
                do not see each other, so an append holds only one exclusive change.

        Raises:
            NotCommittedError: The timeout expired and the change will not take effect.
            InDoubtError: The timeout expired and the change may still take effect.
        """
        future = asyncio.get_running_loop().create_future()
        change = _Change(build, future, exclusive)
        self._pending.append(change)
        self._wake.set()
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.shield(change.future)
        except TimeoutError:
            await self._resolve_timeout(change)
        finally:
            # Its effect, if any, is visible in the job table.
            if change in self._pending:
                self._pending.remove(change)

    async def _resolve_timeout(self, change):
        """Determine the result of a change whose timeout has expired."""
        if change in self._pending:
            self._pending.remove(change)
        if change.in_doubt and self._in_flight is not None:
            # The result of the append in progress tells whether the change took effect.
            await asyncio.wait({self._in_flight}, timeout=IN_FLIGHT_TIMEOUT_S)
        if change.future.done():
            await change.future
            return
        if change.in_doubt:
            raise InDoubtError(
                "An append was not acknowledged and may still take effect."
            )
        if not change.build(self.job_table):
            return
        raise NotCommittedError("No append was acknowledged before the timeout.")

    async def run(self):
        """Append pending changes in batches until cancelled."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            if not self._pending:
                self._wake.clear()
                await self._wake.wait()
            try:
                if not self.is_loaded:
                    await self.feed.refresh()
                self._in_flight = asyncio.ensure_future(self._append_batch())
                await self._in_flight
                backoff_s = INITIAL_BACKOFF_S
            except exception.LogError as error:
                decision_log.log_event(
                    "ledger.delayed",
                    waiting=len(self._pending),
                    why=str(error),
                )
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def _append_batch(self):
        expected_end = self.feed.end
        batch, records = self._build_batch()
        if not batch:
            return
        was_in_doubt = [change.in_doubt for change in batch]
        for change in batch:
            change.in_doubt = True
        try:
            if not await self._append(records, expected_end):
                _clear_in_doubt(batch)
                return
        except platform_store.RejectedError:
            # An earlier append of the same change may still be unacknowledged.
            for change, in_doubt in zip(batch, was_in_doubt, strict=True):
                change.in_doubt = in_doubt
            raise
        except (platform_store.OffsetConflictError, platform_store.UnknownOutcomeError):
            await self.feed.refresh()
            # Changes stay in doubt until newer records have been read: an earlier
            # append of the same change may be among them.
            if self.feed.end > expected_end:
                _clear_in_doubt(batch)
            return
        self.feed.apply_records(records, expected_end)
        for change in batch:
            self._complete(change)

    async def _append(self, records, expected_end):
        """Append records; return False if the partition has advanced without an ack.

        The store may apply an unacknowledged append at once, later or never. The
        partition is read to find out, and the append is retried until then. The
        condition ensures that at most one attempt takes effect.
        """
        topic, partition = self.feed.topic, self.feed.partition
        tasks = set()
        errors = []
        try:
            while tasks or not errors:
                if not errors and len(tasks) < MAX_CONCURRENT_APPENDS:
                    append = self.store.append(topic, partition, records, expected_end)
                    tasks.add(asyncio.ensure_future(append))
                done, tasks = await asyncio.wait(
                    tasks, timeout=ANSWER_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
                )
                attempt_errors = [task.exception() for task in done]
                if None in attempt_errors:
                    return True
                errors += attempt_errors
                if not done and await self._has_advanced(expected_end):
                    return False
            raise _choose_error(errors)
        finally:
            for task in tasks:
                task.cancel()

    async def _has_advanced(self, expected_end):
        """Return whether the partition is known to end after an offset."""
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                await self.feed.refresh()
        except (TimeoutError, exception.LogError):
            pass
        return self.feed.end > expected_end

    def _build_batch(self):
        batch = []
        records = []
        keys = set()
        batch_bytes = 0
        for change in list(self._pending):
            new_records = self._build_one(change)
            size_bytes = sum(
                len(record.key) + len(record.value) for record in new_records
            )
            record_keys = {record.key for record in new_records}
            if not new_records or record_keys & keys:
                continue
            if change.exclusive and any(other.exclusive for other in batch):
                continue
            if batch and batch_bytes + size_bytes > self._call_bytes:
                break
            batch.append(change)
            records += new_records
            keys |= record_keys
            batch_bytes += size_bytes
        return batch, records

    def _build_one(self, change):
        try:
            records = change.build(self.job_table)
        except Exception as error:
            self._complete(change, error)
            return []
        if not records:
            self._complete(change)
        return records

    def _complete(self, change, error=None):
        change.in_doubt = False
        if change in self._pending:
            self._pending.remove(change)
        if change.future.done():
            return
        if error is None:
            change.future.set_result(None)
        else:
            change.future.set_exception(error)


def _clear_in_doubt(batch):
    """Mark changes as resolved: their condition cannot hold any more."""
    for change in batch:
        change.in_doubt = False


def _choose_error(errors):
    """Return the most conservative error of several attempts of one append.

    The append is known to have no effect only if this holds for every attempt.
    """
    for kind in (
        platform_store.OffsetConflictError,
        platform_store.UnknownOutcomeError,
    ):
        for error in errors:
            if isinstance(error, kind):
                return error
    return errors[-1]
