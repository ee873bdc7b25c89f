import asyncio

import pytest

from pimentowick.fakes import faults, platform_site, replica, wait
from pimentowick.gateway import content, event_stream, job, record
from pimentowick.gateway.tests import test_job_api, test_transcript

BODY_BYTES = 20_000
JOBS = 6
ITEMS = 5


def count_read(gateway):
    """Return the bytes of jobs that an entry has read since its start."""
    read = gateway.store.bytes
    return sum(read[name, "in"] for name in ("newest", "read"))


def test_entry_that_starts_reads_neither_bodies_nor_texts():
    # All hosts lose power and start together. Each reading all bodies and texts of the
    # last two minutes, they share the store's way out for tens of seconds: jobs can't
    # be read, reads are given up half-way and begun anew.
    route = platform_site.make_route("/lot/", "batch", run_target_ms=20_000)

    async def run():
        server = replica.Replica(events=400, event_interval_s=0.02)
        async with platform_site.open_site([server], [route]) as site:
            body = test_job_api.make_body(ITEMS, size=BODY_BYTES)
            for number in range(JOBS):
                answer = await test_job_api.submit(site, body, f"job{number}")
                assert answer.status == 202
            settings = platform_site.make_settings(site.store.address)
            fresh = await site.start_entry(settings)
            await wait.wait_for(lambda: fresh.storage.is_loaded, 10, 0.01)
            assert len(fresh.storage.book.open_jobs) == JOBS
            assert count_read(fresh) < JOBS * ITEMS * 1_000
            answer = await site.call("GET", "/-/items/job0?id=item1", entry=1)
            assert answer.body == b"x" * BODY_BYTES

    asyncio.run(run())


def test_jobs_are_accepted_by_one_append_while_others_record_texts_and_results():
    # Eighty entries record texts and list results while callers submit jobs. In one
    # partition under one condition, each append would be overtaken by others.
    async def check(outside, one, other):
        await one.accept()
        made = [await one.open_transcript() for _ in range(20)]
        for each in made:
            each.add(event_stream.Event(b"", "1", "a"))
        partition = outside.get_partition("keyed.jobs", 0)
        before = partition.end
        records = [b"record"]

        def build(view):
            records.append(b"built")
            return []

        await asyncio.gather(
            *(each.save(5) for each in made),
            other.storage.accepted.commit(build, 5),
            *(each.finish(5) for each in made[:1]),
        )
        assert partition.end == before
        assert records.count(b"built") == 1

    test_transcript.run_with(check)


def test_content_is_read_after_the_log_has_dropped_its_record():
    # The store forgets its history; the newest record of each key stays.
    async def check(outside, one, other):
        contents = one.storage.contents
        named = {f"b/{n}/w": bytes([n]) * 5_000 for n in range(4)}
        written = await contents.put("j", named, 5)
        await contents.put("k", {"b/0/w": b"rival"}, 5)
        for partition in outside.partitions.values():
            partition.trim(partition.end)
        reading = other.storage.contents
        assert await reading.read("j", list(written.values())) == named
        with pytest.raises(content.MissingError):
            wrong = content.Reference("b/0/w", 0, 1, 4_999)
            await one.storage.contents.read("j", [wrong])

    test_transcript.run_with(check)


def test_offset_that_holds_another_record_gives_no_other_content():
    # A reference from an append that was done twice, or a store that was set up anew:
    # another job's bytes would be handed out.
    async def check(outside, one, other):
        contents = one.storage.contents
        written = await contents.put("j", {"b/0/w": b"ours"}, 5)
        found = written["b/0/w"]
        odd = content.Reference(found.name, found.offset + 1, 1, found.size)
        await contents.put("j", {"b/1/w": b"mine"}, 5)
        assert await contents.read("j", [odd]) == {"b/0/w": b"ours"}

    test_transcript.run_with(check)


def test_content_is_written_although_answers_are_lost():
    async def check(outside, one, other):
        order = faults.Fault("lose_answer", count=2, path="/-/log-append")
        outside.fault_injector.inject(order)
        written = await one.storage.contents.put("j", {"b/0/w": b"body"}, 5)
        named = await other.storage.contents.read("j", list(written.values()))
        assert named == {"b/0/w": b"body"}

    test_transcript.run_with(check)


def test_all_contents_of_a_job_are_dropped_with_it_and_no_others():
    async def check(outside, one, other):
        contents = one.storage.contents
        await contents.put("j", {"b/0/w": b"body", "t/0/x": b"piece"}, 5)
        kept = await contents.put("j2", {"b/0/w": b"body"}, 5)
        await contents.drop_all("j")
        assert await contents.read_all("j") == {}
        assert await contents.read("j2", list(kept.values())) == {"b/0/w": b"body"}

    test_transcript.run_with(check)


# Longer than any of these tests waits: calls that are not answered stay open.
NEVER_S = 300.0


async def lose_first_answer(outside, append_delay_s, work):
    """Run some work of which the first append gets no answer; return its result."""
    appends = outside.calls["/-/log-append"]
    outside.append_delay_s = append_delay_s
    task = asyncio.create_task(work)
    await wait.wait_for(lambda: outside.calls["/-/log-append"] > appends, 5, 0.001)
    outside.append_delay_s = None
    return await task


def test_lost_answer_does_not_hold_up_the_bodies_of_a_job():
    # The store loses a third of its answers for some seconds. A job is written in two
    # calls; each waited for until its time is up, its caller would be told after the
    # time that it has.
    async def check(outside, one, other):
        await wait.wait_for(lambda: one.storage.is_loaded, 5, 0.005)
        one.store.timeout_s = NEVER_S
        put = one.storage.contents.put("j", {"b/0/w": b"body"}, 5)
        written = await lose_first_answer(outside, NEVER_S, put)
        named = await other.storage.contents.read("j", list(written.values()))
        assert named == {"b/0/w": b"body"}

    test_transcript.run_with(check)


@pytest.mark.parametrize("append_delay_s", [0.05, NEVER_S])
def test_lost_answer_does_not_hold_up_the_acceptance_of_a_job(append_delay_s):
    # The store takes the job and its answer is lost: that shows in the partition long
    # before the call is given up on. Or it may take it seconds later: then the same
    # append is made again, and one of the two takes effect.
    async def check(outside, one, other):
        await wait.wait_for(lambda: one.storage.is_loaded, 5, 0.005)
        one.store.timeout_s = NEVER_S
        body = content.Reference("b/0/w", 0, 1, 4)
        made = record.make_job("j", "h", "/p/", 0.0, [job.Item("i", "/p", {}, 7, body)])

        def build(view):
            return [] if "j" in view.jobs else [made]

        commit = one.storage.accepted.commit(build, 5)
        await lose_first_answer(outside, append_delay_s, commit)
        assert len(outside.get_partition("keyed.jobs", 0).records) == 1

    test_transcript.run_with(check)


def test_lost_answer_does_not_hold_up_the_reading_of_contents():
    async def check(outside, one, other):
        written = await one.storage.contents.put("j", {"b/0/w": b"body"}, 5)
        await wait.wait_for(lambda: other.storage.is_loaded, 5, 0.005)
        await asyncio.gather(*(cancel(task) for task in other.tasks))
        other.store.timeout_s = NEVER_S
        outside.fault_injector.inject(
            faults.Fault("stall", count=1, path="/-/log-read")
        )
        for task in one.tasks:
            await cancel(task)
        named = await asyncio.wait_for(
            other.storage.contents.read("j", list(written.values())), 20
        )
        assert named == {"b/0/w": b"body"}

    test_transcript.run_with(check)


@pytest.mark.parametrize("append_delay_s", [0.3, NEVER_S])
def test_lost_answer_does_not_hold_up_the_listing_of_an_item(append_delay_s):
    # The same result may be taken twice; it is listed once, for all alike.
    async def check(outside, one, other):
        await one.accept()
        made = await one.open_transcript()
        made.add(event_stream.Event(b"", "1", "a"))
        one.store.timeout_s = NEVER_S
        listing = made.give_up(5)
        await lose_first_answer(outside, append_delay_s, listing)
        outcomes = outside.get_partition("keyed.outcomes", 0)
        jobs = other.storage.book.jobs
        await wait.wait_for(lambda: jobs["j"].results, 5, 0.005)
        if append_delay_s != NEVER_S:
            await wait.wait_for(lambda: outcomes.end >= 2, 5, 0.005)
        await other.storage.refresh()
        assert len(jobs["j"].results) == 1

    test_transcript.run_with(check)


async def cancel(task):
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
