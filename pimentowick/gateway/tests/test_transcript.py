import asyncio

from pimentowick.fakes import faults, platform_store, wait
from pimentowick.gateway import event, job, ledger, record, transcript
from pimentowick.platform import store

TOPIC = "keyed.jobs"


class Entry:
    """A ledger of one entry, and its transcript of the only item."""

    def __init__(self, address):
        self.store = store.Store(address, timeout_s=0.5)
        self.ledger = ledger.Ledger(self.store, TOPIC, 0, 0.005, 0.2, 1 << 20)
        self.tasks = []

    async def start(self):
        await self.store.start()
        for work in (self.ledger.feed.run, self.ledger.run):
            self.tasks.append(asyncio.create_task(work()))

    async def open(self):
        books = self.ledger.book.jobs
        await wait.wait_for(lambda: "j" in books, 5, 0.005)
        return transcript.Transcript(self.ledger, books["j"], 0)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.store.close()


def run_with(check):
    async def run():
        outside = platform_store.PlatformStore()
        await outside.start()
        entries = [Entry(outside.address) for _ in range(2)]
        for entry in entries:
            await entry.start()
        items = [job.Item("i", "/p", {}, b"body", 7)]
        bodies, made = record.make_job("j", "h", "/p/", 0.0, items, 1 << 20)
        try:
            await entries[0].ledger.commit(lambda view: [*bodies, made], 5)
            await check(outside, *[await entry.open() for entry in entries])
        finally:
            for entry in entries:
                await entry.close()
            await outside.close()

    asyncio.run(run())


def add(made, name, first, last):
    for number in range(first, last + 1):
        assert made.add(event.Event(b"", str(number), f"{name}{number}"))


def test_texts_of_two_runs_that_reach_the_same_event_are_not_joined():
    # Two entries run an item, since a lease has lapsed, and both record after the
    # same event. Joined to the other's piece, the text would be that of two runs: a
    # caller sees a sentence that goes on with another one.
    async def check(outside, one, other):
        add(one, "a", 1, 3)
        add(other, "b", 1, 3)
        await one.save(5)
        await other.save(5)
        add(other, "b", 4, 5)
        await other.finish(5)
        assert one.item.result is None
        other.sync()
        assert other.last_event == "3"
        add(other, "c", 4, 5)
        await other.finish(5)
        assert other.item.result.text.split("\n") == ["a1", "a2", "a3", "c4", "c5"]

    run_with(check)


def test_text_goes_on_after_a_piece_whose_answer_was_lost():
    async def check(outside, one, other):
        add(one, "a", 1, 2)
        outside.board.place(faults.Order("lose_answer", count=1, path="/-/log-append"))
        await one.save(5)
        add(one, "a", 3, 3)
        await one.finish(5)
        assert one.item.result.text == "a1\na2\na3"

    run_with(check)


def test_event_that_does_not_follow_is_not_taken():
    async def check(outside, one, other):
        add(one, "a", 1, 2)
        assert not one.add(event.Event(b"", "4", "a4"))
        assert not one.add(event.Event(b"", "odd", "a"))
        assert one.last_event == "2"

    run_with(check)
