import asyncio

import orjson
import pytest

from pimentowick.fakes import faults, wait
from pimentowick.gateway import content, event_stream, job, record, transcript
from pimentowick.gateway.tests import writer


class Entry(writer.Writer):
    """An entry that accepts a job of one item and runs it."""

    async def accept(self, body=b"body"):
        name = record.name_body(0, "w")
        written = await self.storage.contents.put("j", {name: body}, 5)
        items = [job.Item("i", "/p", {}, 7, written[name])]
        made = record.make_job("j", "h", "/p/", 0.0, items)
        await self.storage.accepted.commit(lambda view: [made], 5)

    async def open_transcript(self):
        """Return the item's transcript as an entry has it that takes the item over."""
        jobs = self.storage.book.jobs
        await wait.wait_for(lambda: "j" in jobs, 5, 0.005)
        made = transcript.Transcript(self.storage, jobs["j"], 0)
        made.take_contents(await self.storage.contents.read_all("j"))
        return made

    async def read_text(self):
        """Return the text that is listed, once it is."""
        found = self.storage.book.jobs["j"]
        await wait.wait_for(lambda: found.results, 5, 0.005)
        (listed,) = found.results
        named = await self.storage.contents.read("j", [listed.text])
        return named[listed.text.name].decode().split("\n")


def run_with(check, count=2):
    async def begin(outside, entries):
        await check(outside, *entries)

    writer.run_with(begin, count, Entry)


def add(made, name, first, last):
    for number in range(first, last + 1):
        assert made.add(event_stream.Event(b"", str(number), f"{name}{number}"))


def test_texts_of_two_runs_that_reach_the_same_event_are_not_joined():
    # Two entries run an item, since a lease has lapsed, and both record after the
    # same event. Joined to the other's piece, the text would be that of two runs: a
    # caller sees a sentence that goes on with another one.
    async def check(outside, one, other):
        await one.accept()
        first, second = await one.open_transcript(), await other.open_transcript()
        add(first, "a", 1, 3)
        add(second, "b", 1, 3)
        await first.save(5)
        await second.save(5)
        add(second, "b", 4, 5)
        await second.save(5)
        third = await one.open_transcript()
        assert third.texts == ["b1", "b2", "b3", "b4", "b5"]
        add(third, "c", 6, 6)
        await third.finish(5)
        assert await other.read_text() == ["b1", "b2", "b3", "b4", "b5", "c6"]

    run_with(check)


def test_first_of_two_results_counts_for_all_entries():
    # Two entries end an item at the same moment. An entry that comes later and reads
    # the newest records only must show the same text at the same position.
    async def check(outside, one, other, late):
        await one.accept()
        first, second = await one.open_transcript(), await other.open_transcript()
        add(first, "a", 1, 1)
        add(second, "b", 1, 1)
        await asyncio.gather(first.finish(5), second.finish(5))
        found = await one.read_text()
        assert await other.read_text() == found
        for partition in outside.partitions.values():
            partition.trim(partition.end)
        late.storage.outcomes.feed.end = None
        assert await late.read_text() == found

    run_with(check, count=3)


def test_result_whose_append_lands_late_changes_nothing():
    # The store does an append seconds after it was given up on and done again.
    async def check(outside, one, other):
        await one.accept()
        made = await one.open_transcript()
        add(made, "a", 1, 2)
        await wait.wait_for(lambda: outside.partitions, 5, 0.005)
        calls = outside.calls["/-/log-append"]
        finishing = asyncio.create_task(made.finish(10))
        await wait.wait_for(lambda: outside.calls["/-/log-append"] > calls, 5, 0.001)
        outside.append_delay_s = 0.6
        await wait.wait_for(
            lambda: outside.calls["/-/log-append"] > calls + 1, 5, 0.001
        )
        outside.append_delay_s = None
        await finishing
        records = outside.get_partition("keyed.outcomes", 0)
        await wait.wait_for(lambda: records.end >= 2, 5, 0.005)
        assert await other.read_text() == ["a1", "a2"]

    run_with(check)


def test_text_goes_on_after_a_piece_whose_answer_was_lost():
    async def check(outside, one, other):
        await one.accept()
        made = await one.open_transcript()
        add(made, "a", 1, 2)
        outside.fault_injector.inject(
            faults.Fault("lose_answer", count=1, path="/-/log-append")
        )
        await made.save(5)
        add(made, "a", 3, 3)
        await made.finish(5)
        assert await other.read_text() == ["a1", "a2", "a3"]

    run_with(check)


def test_event_that_does_not_follow_is_not_taken():
    async def check(outside, one, other):
        await one.accept()
        made = await one.open_transcript()
        add(made, "a", 1, 2)
        assert not made.add(event_stream.Event(b"", "4", "a4"))
        assert not made.add(event_stream.Event(b"", "odd", "a"))
        assert made.last_event == "2"

    run_with(check)


def test_item_without_all_of_its_body_is_known_as_such():
    # Run with a part of its body, an item would give the answer to something else.
    async def check(outside, one, other):
        await one.accept(b"x" * 3000)
        made = await one.open_transcript()
        assert made.body == b"x" * 3000
        with pytest.raises(content.MissingError):
            made.take_contents({made.item.body.name: b"x" * 2000})
        with pytest.raises(content.MissingError):
            made.take_contents({})

    run_with(check)


def test_piece_whose_forerunner_is_gone_is_not_taken():
    # Pieces are dropped while another entry reads them, a page after the other.
    pieces = {
        "t/0/late": {"after": "t/0/gone", "texts": ["c"], "last": "3"},
        "t/0/first": {"after": None, "texts": ["a"], "last": "1"},
        "t/1/other": {"after": None, "texts": ["x", "y"], "last": "2"},
    }
    named = {name: orjson.dumps(piece) for name, piece in pieces.items()}
    named["t/0/odd"] = b"{"
    assert transcript.find_longest(named, 0)[1:] == (["a"], "1")
