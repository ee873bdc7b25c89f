"""Following one keyed partition of the store: the newest records, then the changes.

Notes:
    List, then watch: the newest record of each key is read once, and the log from
    there on; when records are gone that were not read, everything is read anew.
    While the store is away, what was known stays.

References:
    Kubernetes client-go, informers and reflectors (list and watch).
"""

import asyncio
import random
import time

from pimentowick import exception
from pimentowick.gateway import decision

__all__ = ["Feed", "Follower"]

FIRST_DELAY_S = 0.1
LAST_DELAY_S = 1.0
# Reads of a megabyte until the end is reached, many more than a partition holds.
MOST_READS = 100
# Spreads the reads of entries that were started together.
JITTER = 0.2


class Follower:
    """What a feed tells; the methods do nothing by default."""

    def preview(self, records):
        """Take some of the newest records while the first read is under way."""

    def reset(self, records):
        """Take the newest record of each key, in order of offset."""

    def apply(self, record):
        """Take the next record; an empty value drops its key."""

    def on_caught_up(self):
        """Note that all records that the store had were told."""


def read_clock():
    """Return a time in seconds that goes on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Feed:
    """Reads one partition for as long as it runs.

    Args:
        store: `pimentowick.platform.store.Store`.
        topic: Name of a keyed topic.
        part: Number of the partition.
        follower: The `Follower` that is told.
        pause_s: Pause between two reads that found records, in seconds. Reads are
            paid for, and a busy topic would otherwise be read once a record.
        wait_s: How long the store may hold a read, in seconds. A connection that
            fell silent is noticed after this time and the store's timeout.
        clock: Function that returns the time of `fresh_at_boottime`.

    Attributes:
        end: Offset behind the last record read, or None before the first.
        fresh_at: Monotonic time as of which the records are known to be complete.
        fresh_at_boottime: The same moment, on the clock that goes on while the host is
            suspended.
        unreachable_since: Monotonic time since which reads fail, or None.
        recovered_at: Monotonic time at which reads worked again after a failure.
    """

    def __init__(self, store, topic, part, follower, pause_s, wait_s, clock=read_clock):
        self.store = store
        self.topic = topic
        self.part = part
        self.follower = follower
        self.pause_s = pause_s
        self.wait_s = wait_s
        self.clock = clock
        self.end = None
        self.fresh_at = float("-inf")
        self.fresh_at_boottime = float("-inf")
        self.unreachable_since = None
        self.recovered_at = float("-inf")
        self._changed = asyncio.Event()
        self._loading = asyncio.Lock()

    async def run(self):
        """Read until cancelled."""
        delay = FIRST_DELAY_S
        while True:
            try:
                found = await self._read_once(self.wait_s)
            except exception.LogError as error:
                self._note_lost(error)
                await asyncio.sleep(delay * random.uniform(0.5, 1.0))
                delay = min(delay * 2, LAST_DELAY_S)
                continue
            delay = FIRST_DELAY_S
            if found:
                spread = random.uniform(1 - JITTER, 1 + JITTER)
                await asyncio.sleep(self.pause_s * spread)

    async def refresh(self):
        """Read up to the present end now.

        A read of everything that began before may end meanwhile, and one read may
        not reach the end: what counts is a read from now on that does.

        Raises:
            LogError: The store gave no answer, or the end was not reached.
        """
        asked_at = time.monotonic()
        for _ in range(MOST_READS):
            await self._read_once(0.0)
            if self.fresh_at >= asked_at:
                return
        raise exception.LogError(f"{self.topic}: the end was not reached.")

    async def wait_changed(self, timeout_s):
        """Wait until records were taken, or for `timeout_s` seconds."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            pass

    def take(self, records, start):
        """Take records from the offset `start` on; those known are passed over."""
        taken = False
        for offset, record in enumerate(records, start):
            if offset >= self.end:
                self.follower.apply(record)
                taken = True
        self.end = max(self.end, start + len(records))
        if taken:
            self._tell_changed()

    async def _read_once(self, wait_s):
        asked_at = time.monotonic()
        proves_at = self.clock()
        if self.end is None:
            await self._load()
            return True
        start = self.end
        try:
            page = await self.store.read(self.topic, self.part, start, wait_s)
        except exception.LogTruncatedError as error:
            decision.note_belief("feed.gap", topic=self.topic, why=str(error))
            await self._load()
            return True
        found = self._take_page(page)
        if self.end >= page.log_end:
            self._note_fresh(asked_at, proves_at)
        return found

    def _take_page(self, page):
        taken = False
        for record in page.records:
            if record.offset >= self.end:
                self.follower.apply(record)
                taken = True
        self.end = max(self.end, page.end)
        if taken:
            self._tell_changed()
        return taken

    async def _load(self):
        known = self.end
        async with self._loading:
            if self.end != known:
                return
            asked_at = time.monotonic()
            proves_at = self.clock()
            preview = self.follower.preview if self.end is None else _pass_over
            page = await self.store.read_newest(self.topic, self.part, preview)
            later, end = await self._read_later(page)
            if self.end is not None and end < self.end:
                return
            known = [record for record in page.records if record.offset < page.end]
            self.follower.reset(sorted(known, key=lambda record: record.offset))
            for record in later:
                self.follower.apply(record)
            self.end = end
        self._note_fresh(asked_at, proves_at)
        self._tell_changed()

    async def _read_later(self, page):
        """Return (records written while the newest were read, offset behind them).

        The newest records come in pages that are no snapshot: of a job that is written
        meanwhile one page may lack the bodies and the next hold the rest. What is
        written after the first page is taken from the log, in order, and nothing of it
        is told before all is there.
        """
        later = []
        end = page.end
        while end < page.log_end:
            found = await self.store.read(self.topic, self.part, end)
            if found.end <= end:
                break
            later += found.records
            end = found.end
        return later, end

    def _note_fresh(self, asked_at, proves_at):
        self.fresh_at = max(self.fresh_at, asked_at)
        self.fresh_at_boottime = max(self.fresh_at_boottime, proves_at)
        if self.unreachable_since is not None:
            lost_s = time.monotonic() - self.unreachable_since
            decision.note_belief("feed.regained", topic=self.topic, lost_s=lost_s)
            self.unreachable_since = None
            self.recovered_at = time.monotonic()
        self.follower.on_caught_up()

    def _note_lost(self, error):
        if self.unreachable_since is None:
            self.unreachable_since = time.monotonic()
            decision.note_belief("feed.lost", topic=self.topic, why=str(error))

    def _tell_changed(self):
        self._changed.set()
        self._changed = asyncio.Event()


def _pass_over(records):
    """Take no notice of a page: what is known stays until all is read."""
