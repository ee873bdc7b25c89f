import asyncio

import pytest

from pimentowick import exception
from pimentowick.gateway import feed
from pimentowick.platform import store


class ManualStore:
    """A store that holds back its snapshot until the test releases it."""

    def __init__(self, count):
        self.records = [store.KeyedRecord(f"k{n}", b"x", n) for n in range(count)]
        self.page_records = 100
        self.read_started = asyncio.Event()
        self.read_released = asyncio.Event()

    def put(self):
        number = len(self.records)
        self.records.append(store.KeyedRecord(f"k{number}", b"x", number))

    async def read_newest(self, topic, partition, on_page):
        records = list(self.records)
        on_page(records[: self.page_records])
        self.read_started.set()
        await self.read_released.wait()
        return store.Page(records, len(records), len(records))

    async def read(self, topic, partition, offset, wait_s=0.0):
        records = self.records[offset : offset + self.page_records]
        return store.Page(records, offset + len(records), len(self.records))


class KeyFollower(feed.Follower):
    def __init__(self):
        self.keys = set()

    def reset(self, records):
        self.keys = {record.key for record in records}

    def apply(self, record):
        self.keys.add(record.key)


def make_feed(fake_store):
    return feed.Feed(fake_store, "keyed.t", 0, KeyFollower(), 0.01, 0.05)


def test_refresh_during_a_snapshot_includes_records_written_meanwhile():
    # A job is accepted elsewhere while the first snapshot is being read. If the refresh
    # ended with the snapshot, the entry would answer 404 for that job.
    async def run():
        fake_store = ManualStore(3)
        followed = make_feed(fake_store)
        first = asyncio.create_task(followed.refresh())
        await fake_store.read_started.wait()
        fake_store.put()
        second = asyncio.create_task(followed.refresh())
        await asyncio.sleep(0)
        fake_store.read_released.set()
        await asyncio.gather(first, second)
        assert followed.follower.keys == {"k0", "k1", "k2", "k3"}

    asyncio.run(run())


def test_refresh_reads_all_pages_up_to_the_end():
    # Records beyond the first page must be read too, or the newest jobs stay unknown.
    async def run():
        fake_store = ManualStore(0)
        fake_store.read_released.set()
        followed = make_feed(fake_store)
        await followed.refresh()
        fake_store.page_records = 2
        for _ in range(7):
            fake_store.put()
        await followed.refresh()
        assert len(followed.follower.keys) == 7

    asyncio.run(run())


def test_state_is_not_fresh_before_the_end_is_reached():
    async def run():
        fake_store = ManualStore(0)
        fake_store.read_released.set()
        followed = make_feed(fake_store)
        await followed.refresh()
        fresh_before = followed.fresh_at
        fake_store.page_records = 2
        for _ in range(5):
            fake_store.put()
        await followed._read_once(0.0)
        assert followed.fresh_at == fresh_before
        await followed._read_once(0.0)
        await followed._read_once(0.0)
        assert followed.fresh_at > fresh_before

    asyncio.run(run())


def test_refresh_fails_if_the_end_advances_too_fast():
    async def run():
        fake_store = ManualStore(0)
        fake_store.read_released.set()
        followed = make_feed(fake_store)
        await followed.refresh()
        fake_store.page_records = 1
        for _ in range(1000):
            fake_store.put()
        with pytest.raises(exception.LogError):
            await followed.refresh()

    asyncio.run(run())


class TwoPageStore(ManualStore):
    """A store that appends records between two pages of a snapshot."""

    async def read_newest(self, topic, partition, on_page):
        first = [record for record in self.records if record.key < "j"]
        end = len(self.records)
        self.records.append(store.KeyedRecord("b/job", b"body", end))
        self.records.append(store.KeyedRecord("j/job", b"job", end + 1))
        second = [record for record in self.records if record.key >= "j"]
        return store.Page(first + second, end, len(self.records))


class OrderFollower(feed.Follower):
    def __init__(self):
        self.keys_in_order = []

    def reset(self, records):
        self.keys_in_order = [record.key for record in records]

    def apply(self, record):
        self.keys_in_order.append(record.key)


def test_records_written_between_two_pages_are_applied_in_order():
    # A job is written between two pages of a snapshot. If its record were applied
    # without its bodies, its items would run with empty bodies.
    async def run():
        followed = feed.Feed(TwoPageStore(0), "keyed.t", 0, OrderFollower(), 0.01, 0.05)
        await followed.refresh()
        assert followed.follower.keys_in_order == ["b/job", "j/job"]
        assert followed.end == 2

    asyncio.run(run())


class PagedStore(ManualStore):
    """A store to which a record is written between the pages of a snapshot."""

    async def read_newest(self, topic, partition, on_page):
        first = list(self.records)
        self.put()
        return store.Page(first, len(first), len(self.records))


def test_snapshot_holds_the_records_that_were_written_while_it_was_read():
    # Guards against jobs that an entry already knows and drops for a moment, since they
    # were accepted after the first page: their runs would take them for deleted.
    class Follower(KeyFollower):
        def reset(self, records):
            super().reset(records)
            self.keys_of_snapshot = set(self.keys)

    async def run():
        followed = feed.Feed(PagedStore(3), "keyed.t", 0, Follower(), 0.01, 0.05)
        await followed.refresh()
        assert followed.follower.keys_of_snapshot == {"k0", "k1", "k2", "k3"}

    asyncio.run(run())
