"""Follows a keyed partition of the store: a snapshot, then all later records.

Notes:
    List and watch: the newest record of each key is read once, then the log from that
    offset on. If the log was truncated past the last offset read, a new snapshot is
    read. During an outage of the store the last known state is kept.

References:
    Kubernetes client-go, informers and reflectors (list and watch).
"""

import asyncio
import random
import time

from pimentowick import exception
from pimentowick.gateway import decision_log

__all__ = ["Feed", "Follower"]

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# A refresh reads at most this many pages, far more than a partition holds.
MAX_REFRESH_READS = 100
# Spreads the reads of entries that start at the same time.
PAUSE_JITTER = 0.2


class Follower:
    """Receives the records of a feed; the methods do nothing by default."""

    def preview(self, records):
        """Process part of the first snapshot before it is complete."""

    def reset(self, records):
        """Replace the state by a snapshot of the newest records, in order of offset."""

    def apply(self, record):
        """Apply one record; an empty value deletes its key."""

    def on_caught_up(self):
        """Handle a read that has reached the end of the partition."""

    def on_read_failed(self):
        """Handle the first of a series of failed reads."""


def read_boottime():
    """Return a monotonic time, in seconds, that includes the time suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Feed:
    """Reads one partition continuously.

    Args:
        store: `pimentowick.platform.store.Store`.
        topic: Name of a keyed topic.
        partition: Number of the partition.
        follower: The `Follower` that receives the records.
        pause_s: Pause after a read that returned records, in seconds. It batches the
            records of a busy topic, since each read has a cost.
        wait_s: Maximum duration of a long poll, in seconds. A dead connection is
            detected after this time plus the timeout of the store.
        clock: Function that returns the time used for `fresh_at_boottime`.
        max_backoff_s: Maximum pause between two failed reads, in seconds.

    Attributes:
        end: Offset after the last record read, or None before the first snapshot.
        fresh_at: Monotonic time at which the state was last known to be complete.
        fresh_at_boottime: The same, on a clock that includes the time suspended.
        unreachable_since: Monotonic time of the first failed read, or None.
        recovered_at: Monotonic time of the first successful read after failures.
    """

    def __init__(
        self,
        store,
        topic,
        partition,
        follower,
        pause_s,
        wait_s,
        clock=read_boottime,
        max_backoff_s=MAX_BACKOFF_S,
    ):
        self.store = store
        self.topic = topic
        self.partition = partition
        self.follower = follower
        self.pause_s = pause_s
        self.wait_s = wait_s
        self.clock = clock
        self.max_backoff_s = max_backoff_s
        self.end = None
        self.fresh_at = float("-inf")
        self.fresh_at_boottime = float("-inf")
        self.unreachable_since = None
        self.recovered_at = float("-inf")
        self._changed = asyncio.Event()
        self._loading = asyncio.Lock()

    async def run(self):
        """Read until cancelled."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            # A read that waits for records would take longer to fail again.
            wait_s = self.wait_s if self.unreachable_since is None else 0.0
            try:
                has_new_records = await self._read_once(wait_s)
            except exception.LogError as error:
                self._on_read_failed(error)
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(backoff_s * 2, self.max_backoff_s)
                continue
            backoff_s = INITIAL_BACKOFF_S
            if has_new_records:
                jitter = random.uniform(1 - PAUSE_JITTER, 1 + PAUSE_JITTER)
                await asyncio.sleep(self.pause_s * jitter)

    async def refresh(self):
        """Read up to the current end of the partition.

        A read that was already in progress may return older state, and one read may
        not reach the end. Reads repeat until one that began after this call does.

        Raises:
            LogError: The store did not answer, or the end was not reached.
        """
        requested_at = time.monotonic()
        for _ in range(MAX_REFRESH_READS):
            await self._read_once(0.0)
            if self.fresh_at >= requested_at:
                return
        raise exception.LogError(
            f"{self.topic}: end not reached after {MAX_REFRESH_READS} reads."
        )

    async def wait_for_change(self, timeout_s):
        """Wait until records are applied, for at most `timeout_s` seconds."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            pass

    def apply_records(self, records, start):
        """Apply records that begin at offset `start`; skip those already applied."""
        is_changed = False
        for offset, record in enumerate(records, start):
            if offset >= self.end:
                self.follower.apply(record)
                is_changed = True
        self.end = max(self.end, start + len(records))
        if is_changed:
            self._notify_changed()

    async def _read_once(self, wait_s):
        requested_at = time.monotonic()
        requested_at_boottime = self.clock()
        if self.end is None:
            await self._load()
            return True
        start = self.end
        try:
            page = await self.store.read(self.topic, self.partition, start, wait_s)
        except exception.LogTruncatedError as error:
            decision_log.log_event("feed.gap", topic=self.topic, why=str(error))
            await self._load()
            return True
        has_new_records = self._take_page(page)
        if self.end >= page.log_end:
            self._on_end_reached(requested_at, requested_at_boottime)
        return has_new_records

    def _take_page(self, page):
        is_changed = False
        for record in page.records:
            if record.offset >= self.end:
                self.follower.apply(record)
                is_changed = True
        self.end = max(self.end, page.end)
        if is_changed:
            self._notify_changed()
        return is_changed

    async def _load(self):
        end_before = self.end
        async with self._loading:
            if self.end != end_before:
                return
            requested_at = time.monotonic()
            requested_at_boottime = self.clock()
            preview = self.follower.preview if self.end is None else _ignore_records
            page = await self.store.read_newest(self.topic, self.partition, preview)
            later, end = await self._read_later(page)
            if self.end is not None and end < self.end:
                return
            self.follower.reset(_merge(page, later))
            self.end = end
        self._on_end_reached(requested_at, requested_at_boottime)
        self._notify_changed()

    async def _read_later(self, page):
        """Return (records written during the snapshot, offset after them).

        The pages of a snapshot are read one after the other, so that a record written
        meanwhile may be in a later page without its predecessors. Records written after
        the first page are therefore taken from the log in order, and become part of the
        snapshot: followers drop what it does not hold.
        """
        later = []
        end = page.end
        while end < page.log_end:
            later_page = await self.store.read(self.topic, self.partition, end)
            if later_page.end <= end:
                break
            later += later_page.records
            end = later_page.end
        return later, end

    def _on_end_reached(self, requested_at, requested_at_boottime):
        self.fresh_at = max(self.fresh_at, requested_at)
        self.fresh_at_boottime = max(self.fresh_at_boottime, requested_at_boottime)
        if self.unreachable_since is not None:
            lost_s = time.monotonic() - self.unreachable_since
            decision_log.log_event("feed.regained", topic=self.topic, lost_s=lost_s)
            self.unreachable_since = None
            self.recovered_at = time.monotonic()
        self.follower.on_caught_up()

    def _on_read_failed(self, error):
        if self.unreachable_since is None:
            self.unreachable_since = time.monotonic()
            decision_log.log_event("feed.lost", topic=self.topic, why=str(error))
            self.follower.on_read_failed()

    def _notify_changed(self):
        self._changed.set()
        self._changed = asyncio.Event()


def _merge(page, later):
    """Return the newest record of each key, in order of offset.

    Args:
        page: The `store.Page` of a snapshot.
        later: Records written after its first call, in order.
    """
    newest = {each.key: each for each in page.records if each.offset < page.end}
    newest |= {each.key: each for each in later}
    return sorted(newest.values(), key=lambda each: each.offset)


def _ignore_records(records):
    """Ignore part of a snapshot: the current state stays until all of it is read."""
