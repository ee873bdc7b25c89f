import asyncio

import pytest

from pimentowick.fakes import faults, platform_site, replica, wait
from pimentowick.gateway import content, event_stream, job, record, transcript
from pimentowick.gateway.tests import test_job_api, test_transcript, writer

BODY_BYTES = 20_000
JOBS = 6
ITEMS = 5


def count_read(gateway):
    """Return the bytes of job records that an entry has read since its start."""
    read = gateway.store.bytes
    return sum(read[name, "in"] for name in ("newest", "read"))


def test_starting_entry_reads_no_bodies_or_texts():
    # All hosts restart together after a power failure. If each entry read all bodies
    # and texts, the bandwidth of the store would delay reads by tens of seconds.
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
            assert len(fresh.storage.job_table.open_jobs) == JOBS
            assert count_read(fresh) < JOBS * ITEMS * 1_000
            answer = await site.call("GET", "/-/items/job0?id=item1", entry=1)
            assert answer.body == b"x" * BODY_BYTES

    asyncio.run(run())


def test_checkpoints_and_results_do_not_conflict_with_accepting_jobs():
    # Checkpoints and results must not advance the partition of accepted jobs, or the
    # conditional appends there would keep failing.
    async def check(fake_store, one, other):
        await one.accept()
        transcripts = [await one.open_transcript() for _ in range(20)]
        for item_transcript in transcripts:
            item_transcript.add(event_stream.Event(b"", "1", "a"))
        partition = fake_store.get_partition("keyed.jobs", 0)
        before = partition.end
        records = [b"record"]

        def build(job_table):
            records.append(b"built")
            return []

        await asyncio.gather(
            *(item_transcript.save(5) for item_transcript in transcripts),
            other.storage.accepted.commit(build, 5),
            *(item_transcript.finish(5) for item_transcript in transcripts[:1]),
        )
        assert partition.end == before
        assert records.count(b"built") == 1

    test_transcript.run_with(check)


def test_content_is_read_after_the_log_is_truncated():
    # The log is truncated; the newest record of each key remains.
    async def check(fake_store, one, other):
        contents = one.storage.contents
        contents_by_name = {f"b/{n}/w": bytes([n]) * 5_000 for n in range(4)}
        written = await contents.put("j", contents_by_name, 5)
        await contents.put("k", {"b/0/w": b"rival"}, 5)
        for partition in fake_store.partitions.values():
            partition.trim(partition.end)
        reading = other.storage.contents
        assert await reading.read("j", list(written.values())) == contents_by_name
        with pytest.raises(content.MissingError):
            wrong = content.Reference("b/0/w", 0, 1, 4_999)
            await one.storage.contents.read("j", [wrong])

    test_transcript.run_with(check)


def test_wrong_offset_does_not_return_another_content():
    # After a duplicated append or a reset of the store, an offset may hold the bytes of
    # another content.
    async def check(fake_store, one, other):
        contents = one.storage.contents
        written = await contents.put("j", {"b/0/w": b"ours"}, 5)
        reference = written["b/0/w"]
        wrong_reference = content.Reference(
            reference.name, reference.offset + 1, 1, reference.size
        )
        await contents.put("j", {"b/1/w": b"mine"}, 5)
        assert await contents.read("j", [wrong_reference]) == {"b/0/w": b"ours"}

    test_transcript.run_with(check)


def test_content_is_written_although_answers_are_lost():
    async def check(fake_store, one, other):
        order = faults.Fault("lose_answer", count=2, path="/-/log-append")
        fake_store.fault_injector.inject(order)
        written = await one.storage.contents.put("j", {"b/0/w": b"body"}, 5)
        contents_by_name = await other.storage.contents.read(
            "j", list(written.values())
        )
        assert contents_by_name == {"b/0/w": b"body"}

    test_transcript.run_with(check)


def test_deleting_contents_of_a_job_keeps_those_of_others():
    async def check(fake_store, one, other):
        contents = one.storage.contents
        await contents.put("j", {"b/0/w": b"body", "t/0/x": b"piece"}, 5)
        kept = await contents.put("j2", {"b/0/w": b"body"}, 5)
        await contents.delete_all("j")
        assert await contents.read_all("j") == {}
        assert await contents.read("j2", list(kept.values())) == {"b/0/w": b"body"}

    test_transcript.run_with(check)


# Exceeds every timeout in these tests.
UNANSWERED_S = 300.0


async def run_with_first_answer_lost(fake_store, append_delay_s, coroutine):
    """Run a coroutine whose first append is not answered in time; return its result."""
    appends = fake_store.calls["/-/log-append"]
    fake_store.append_delay_s = append_delay_s
    task = asyncio.create_task(coroutine)
    await wait.wait_for(lambda: fake_store.calls["/-/log-append"] > appends, 5, 0.001)
    fake_store.append_delay_s = None
    return await task


def test_lost_answer_does_not_delay_writing_bodies():
    # The store drops acknowledgements. Waiting for the full timeout of each append
    # would exceed the timeout of the caller.
    async def check(fake_store, one, other):
        await wait.wait_for(lambda: one.storage.is_loaded, 5, 0.005)
        one.store.timeout_s = UNANSWERED_S
        put = one.storage.contents.put("j", {"b/0/w": b"body"}, 5)
        written = await run_with_first_answer_lost(fake_store, UNANSWERED_S, put)
        contents_by_name = await other.storage.contents.read(
            "j", list(written.values())
        )
        assert contents_by_name == {"b/0/w": b"body"}

    test_transcript.run_with(check)


@pytest.mark.parametrize("append_delay_s", [0.05, UNANSWERED_S])
def test_lost_answer_does_not_delay_accepting_a_job(append_delay_s):
    # The append takes effect at once or late, without an acknowledgement. Reading the
    # partition or retrying the append must resolve this well before the timeout.
    async def check(fake_store, one, other):
        await wait.wait_for(lambda: one.storage.is_loaded, 5, 0.005)
        one.store.timeout_s = UNANSWERED_S
        body = content.Reference("b/0/w", 0, 1, 4)
        job_record = record.make_job(
            "j", "h", "/p/", 0.0, [job.Item("i", "/p", {}, 7, body)]
        )

        def build(job_table):
            return [] if "j" in job_table.jobs else [job_record]

        commit = one.storage.accepted.commit(build, 5)
        await run_with_first_answer_lost(fake_store, append_delay_s, commit)
        assert len(fake_store.get_partition("keyed.jobs", 0).records) == 1

    test_transcript.run_with(check)


def test_lost_answer_does_not_delay_reading_contents():
    async def check(fake_store, one, other):
        written = await one.storage.contents.put("j", {"b/0/w": b"body"}, 5)
        await wait.wait_for(lambda: other.storage.is_loaded, 5, 0.005)
        await asyncio.gather(*(cancel(task) for task in other.tasks))
        other.store.timeout_s = UNANSWERED_S
        fake_store.fault_injector.inject(
            faults.Fault("stall", count=1, path="/-/log-read")
        )
        for task in one.tasks:
            await cancel(task)
        contents_by_name = await asyncio.wait_for(
            other.storage.contents.read("j", list(written.values())), 20
        )
        assert contents_by_name == {"b/0/w": b"body"}

    test_transcript.run_with(check)


@pytest.mark.parametrize("append_delay_s", [0.3, UNANSWERED_S])
def test_lost_answer_does_not_delay_recording_a_result(append_delay_s):
    # A duplicated result must be listed once.
    async def check(fake_store, one, other):
        await one.accept()
        item_transcript = await one.open_transcript()
        item_transcript.add(event_stream.Event(b"", "1", "a"))
        one.store.timeout_s = UNANSWERED_S
        listing = item_transcript.abandon(5)
        await run_with_first_answer_lost(fake_store, append_delay_s, listing)
        outcomes = fake_store.get_partition("keyed.outcomes", 0)
        jobs = other.storage.job_table.jobs
        await wait.wait_for(lambda: jobs["j"].results, 5, 0.005)
        if append_delay_s != UNANSWERED_S:
            await wait.wait_for(lambda: outcomes.end >= 2, 5, 0.005)
        await other.storage.refresh()
        assert len(jobs["j"].results) == 1

    test_transcript.run_with(check)


def test_many_results_at_once_do_not_exceed_an_append():
    # Of the items of jobs whose route was removed, or that ended during an outage. An
    # append that is too large would fail again and again, and all results with it.
    count = 2 * writer.CALL_BYTES // 100

    async def check(fake_store, one, other):
        fake_store.call_bytes = writer.CALL_BYTES
        await wait.wait_for(lambda: one.storage.is_loaded, 5, 0.005)
        items = [
            job.Item(f"i{n}", "/p", {}, 7, content.Reference("b/0/w", 0, 1, 4))
            for n in range(count)
        ]
        job_record = record.make_job("j", "h", "/p/", 0.0, items)
        one.storage.job_table.apply_job(job_record.key, job_record.value)
        accepted_job = one.storage.job_table.jobs["j"]
        transcripts = [
            transcript.Transcript(one.storage, accepted_job, number)
            for number in range(count)
        ]
        await asyncio.gather(*(each.abandon(20) for each in transcripts))
        assert len(accepted_job.results) == count

    test_transcript.run_with(check)


async def cancel(task):
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def test_job_of_an_earlier_release_counts_in_the_quota_of_its_route():
    # Guards against a quota that is exceeded in a rolling update: earlier releases
    # record the Host header of the submission, with its letter case and port.
    body = content.Reference("b/0/w", 0, 1, 4)
    items = [job.Item("i", "/p", {}, 7, body)]
    made = record.make_job("j", "Desk.Example:80", "/lot/new", 0.0, items)
    table = job.JobTable()
    table.apply_job(made.key, made.value)
    assert table.count_waiting_tokens("/lot/", "desk.example") == 7
