import asyncio

import orjson
import pytest

from pimentowick import exception
from pimentowick.fakes import faults, wait
from pimentowick.gateway import content, event_stream, job, record, transcript
from pimentowick.gateway.tests import writer


class Entry(writer.Writer):
    """An entry that accepts a job of one item and runs it."""

    async def accept(self, body=b"body"):
        name = record.name_body(0, "w")
        written = await self.storage.contents.put("j", {name: body}, 5)
        items = [job.Item("i", "/p", {}, 7, written[name])]
        job_record = record.make_job("j", "h", "/p/", 0.0, items)
        await self.storage.accepted.commit(lambda job_table: [job_record], 5)

    async def open_transcript(self):
        """Return a transcript loaded from the store, as a new owner does."""
        jobs = self.storage.job_table.jobs
        await wait.wait_for(lambda: "j" in jobs, 5, 0.005)
        item_transcript = transcript.Transcript(self.storage, jobs["j"], 0)
        item_transcript.load(await self.storage.contents.read_all("j"))
        return item_transcript

    async def read_text(self):
        """Return the lines of the recorded text once the item has a result."""
        accepted_job = self.storage.job_table.jobs["j"]
        await wait.wait_for(lambda: accepted_job.results, 5, 0.005)
        (listed,) = accepted_job.results
        contents = await self.storage.contents.read("j", [listed.text])
        return contents[listed.text.name].decode().split("\n")


def run_with(check, count=2):
    async def begin(fake_store, entries):
        await check(fake_store, *entries)

    writer.run_with(begin, count, Entry)


def add_events(item_transcript, name, first, last):
    for number in range(first, last + 1):
        assert item_transcript.add(
            event_stream.Event(b"", str(number), f"{name}{number}")
        )


def test_checkpoints_of_two_runs_are_not_mixed():
    # Two entries run an item after a lease expired, and both write checkpoints after
    # the same event. A chain must not mix the texts of both runs.
    async def check(fake_store, one, other):
        await one.accept()
        first, second = await one.open_transcript(), await other.open_transcript()
        add_events(first, "a", 1, 3)
        add_events(second, "b", 1, 3)
        await first.save(5)
        await second.save(5)
        add_events(second, "b", 4, 5)
        await second.save(5)
        third = await one.open_transcript()
        assert third.texts == ["b1", "b2", "b3", "b4", "b5"]
        add_events(third, "c", 6, 6)
        await third.finish(5)
        assert await other.read_text() == ["b1", "b2", "b3", "b4", "b5", "c6"]

    run_with(check)


def test_first_of_two_results_counts_for_all_entries():
    # Two entries complete an item concurrently. An entry that loads a snapshot later
    # must show the same result at the same position.
    async def check(fake_store, one, other, late):
        await one.accept()
        first, second = await one.open_transcript(), await other.open_transcript()
        add_events(first, "a", 1, 1)
        add_events(second, "b", 1, 1)
        await asyncio.gather(first.finish(5), second.finish(5))
        text = await one.read_text()
        assert await other.read_text() == text
        for partition in fake_store.partitions.values():
            partition.trim(partition.end)
        late.storage.outcomes.feed.end = None
        assert await late.read_text() == text

    run_with(check, count=3)


def test_late_duplicate_result_is_ignored():
    # An append takes effect after it was retried with another key.
    async def check(fake_store, one, other):
        await one.accept()
        item_transcript = await one.open_transcript()
        add_events(item_transcript, "a", 1, 2)
        await wait.wait_for(lambda: fake_store.partitions, 5, 0.005)
        calls = fake_store.calls["/-/log-append"]
        fake_store.delayed_topic = "keyed.outcomes"
        fake_store.append_delay_s = 0.6
        finishing = asyncio.create_task(item_transcript.finish(10))
        # The text of the item, then its result.
        await wait.wait_for(
            lambda: fake_store.calls["/-/log-append"] > calls + 1, 5, 0.001
        )
        fake_store.append_delay_s = None
        await finishing
        records = fake_store.get_partition("keyed.outcomes", 0)
        await wait.wait_for(lambda: records.end >= 2, 5, 0.005)
        assert await other.read_text() == ["a1", "a2"]

    run_with(check)


def test_text_continues_after_a_checkpoint_with_a_lost_answer():
    async def check(fake_store, one, other):
        await one.accept()
        item_transcript = await one.open_transcript()
        add_events(item_transcript, "a", 1, 2)
        fake_store.fault_injector.inject(
            faults.Fault("lose_answer", count=1, path="/-/log-append")
        )
        await item_transcript.save(5)
        add_events(item_transcript, "a", 3, 3)
        await item_transcript.finish(5)
        assert await other.read_text() == ["a1", "a2", "a3"]

    run_with(check)


def test_event_out_of_sequence_is_rejected():
    async def check(fake_store, one, other):
        await one.accept()
        item_transcript = await one.open_transcript()
        add_events(item_transcript, "a", 1, 2)
        assert not item_transcript.add(event_stream.Event(b"", "4", "a4"))
        assert not item_transcript.add(event_stream.Event(b"", "odd", "a"))
        assert item_transcript.last_event == "2"

    run_with(check)


def test_incomplete_body_is_detected():
    # An item with a truncated body must not run.
    async def check(fake_store, one, other):
        await one.accept(b"x" * 3000)
        item_transcript = await one.open_transcript()
        assert item_transcript.body == b"x" * 3000
        with pytest.raises(content.MissingError):
            item_transcript.load({item_transcript.item.body.name: b"x" * 2000})
        with pytest.raises(content.MissingError):
            item_transcript.load({})

    run_with(check)


def test_text_written_anew_does_not_replace_the_text_of_a_late_result():
    # The result of the first text is recorded late, after the item has begun anew at
    # another software version; the log is truncated, so that texts are read by name.
    async def check(fake_store, one, other):
        await one.accept()
        item_transcript = await one.open_transcript()
        add_events(item_transcript, "a", 1, 2)
        outcomes = one.storage.outcomes
        put = outcomes.put
        late_builds = []

        async def lose_contact(build, timeout_s):
            late_builds.append(build())
            raise exception.LogError("no answer")

        outcomes.put = lose_contact
        with pytest.raises(exception.LogError):
            await item_transcript.finish(5)
        (late_records,) = late_builds
        item_transcript.restart()
        add_events(item_transcript, "b", 1, 3)
        await one.store.append(writer.OUTCOMES, 0, late_records, None)
        outcomes.put = put
        await item_transcript.finish(5)
        for partition in fake_store.partitions.values():
            partition.trim(partition.end)
        assert await other.read_text() == ["a1", "a2"]

    run_with(check)


def test_body_is_kept_while_the_item_has_no_result():
    # The job in the table is replaced as a snapshot is read; nothing is recorded for
    # the item of the previous one, which then still has to run.
    async def check(fake_store, one, other):
        await one.accept()
        item_transcript = await one.open_transcript()
        table = one.storage.job_table
        current = table.jobs["j"]
        table.reset_jobs([])
        await item_transcript.abandon(5)
        await other.storage.refresh()
        assert not other.storage.job_table.jobs["j"].results
        read = other.storage.contents.read_all("j")
        assert (await read)[current.items[0].body.name] == b"body"

    run_with(check)


def test_checkpoint_with_a_missing_predecessor_is_ignored():
    # Checkpoints may be deleted while another entry reads them page by page.
    checkpoints = {
        "t/0/late": {"after": "t/0/gone", "texts": ["c"], "last": "3"},
        "t/0/first": {"after": None, "texts": ["a"], "last": "1"},
        "t/1/other": {"after": None, "texts": ["x", "y"], "last": "2"},
    }
    contents = {
        name: orjson.dumps(checkpoint) for name, checkpoint in checkpoints.items()
    }
    contents["t/0/odd"] = b"{"
    assert transcript.find_longest_text(contents, 0)[1:] == (["a"], "1", None)
