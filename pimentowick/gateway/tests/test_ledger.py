import asyncio

import pytest

from pimentowick import exception
from pimentowick.fakes import faults, wait
from pimentowick.gateway import content, job, ledger, record
from pimentowick.gateway.tests import writer


def make_add(job_id, limit=None):
    """Return a change that adds a job of one item, if fewer than `limit` are there."""
    body = content.Reference("b/0/w", 0, 1, 4)
    items = [job.Item(f"{job_id}-0", "/p", {}, 7, body)]
    made = record.make_job(job_id, "h", "/p/", 0.0, items)

    def build(view):
        if job_id in view.jobs:
            return []
        if limit is not None and len(view.jobs) >= limit:
            raise exception.ConflictError("full")
        return [made]

    return build


def count_records(outside, key):
    wanted = bytes([len(key)]) + key.encode()
    records = outside.get_partition(writer.TOPIC, 0).records
    return sum(content.startswith(wanted) for content in records)


def test_writers_that_race_write_each_key_once_and_keep_a_limit():
    # Many entries accept jobs at the same time. Each decides by the state at the
    # very end of the partition, so that together they never take one too many.
    async def check(outside, writers):
        changes = [
            writer.ledger.commit(make_add(f"j{n % 12}", limit=10), 10, limited=True)
            for n in range(24)
            for writer in writers
        ]
        found = await asyncio.gather(*changes, return_exceptions=True)
        refused = [each for each in found if isinstance(each, Exception)]
        assert {type(each) for each in refused} == {exception.ConflictError}
        counts = [count_records(outside, f"j/j{n}") for n in range(12)]
        assert sorted(counts) == [0, 0] + [1] * 10

    writer.run_with(check, count=4)


def test_lost_answers_write_nothing_twice():
    # The store takes every other append and the answers are lost.
    async def check(outside, writers):
        for number in range(6):
            order = faults.Fault("lose_answer", count=1, path="/-/log-append")
            outside.fault_injector.inject(order)
            await writers[number % 2].ledger.commit(make_add(f"j{number}"), 10)
        assert [count_records(outside, f"j/j{n}") for n in range(6)] == [1] * 6

    writer.run_with(check)


def test_append_that_lands_late_lands_once():
    # The store answers nothing and does the append seconds later, if its condition
    # still holds. By then the change was appended again.
    async def check(outside, writers):
        outside.append_delay_s = 0.7
        task = asyncio.create_task(writers[0].ledger.commit(make_add("a"), 10))
        await wait.wait_for(lambda: outside.calls["/-/log-append"] == 1, 5, 0.005)
        outside.append_delay_s = None
        await task
        await writers[1].ledger.commit(make_add("b"), 10)
        assert [count_records(outside, f"j/{name}") for name in "ab"] == [1, 1]

    writer.run_with(check)


def test_outcome_is_unsettled_while_an_append_may_land():
    # Given up now, the change may still take effect: that is no refusal.
    async def check(outside, writers):
        outside.append_delay_s = 30.0
        with pytest.raises(ledger.UnsettledError):
            await writers[0].ledger.commit(make_add("a"), 1.5)

    writer.run_with(check)


def test_outcome_is_settled_once_the_partition_moved_on():
    # Another writer appended meanwhile: the append without an answer cannot land any
    # more, and giving up is a true refusal.
    async def check(outside, writers):
        outside.append_delay_s = 30.0
        task = asyncio.create_task(writers[0].ledger.commit(make_add("a"), 4))
        await wait.wait_for(lambda: outside.calls["/-/log-append"] == 1, 5, 0.005)
        outside.put(writer.TOPIC, "e/none", b"1")
        outside.append_delay_s = None
        outside.fault_injector.inject(faults.Fault("down", path="/-/log-append"))
        with pytest.raises(ledger.NotWrittenError):
            await task
        assert count_records(outside, "j/a") == 0

    writer.run_with(check)


def test_time_that_is_up_during_an_append_waits_for_its_answer():
    # The store turns an append away just after the caller's time is up. Nothing was
    # done, and the refusal says so.
    async def check(outside, writers):
        await writers[0].ledger.commit(make_add("first"), 10)
        for _ in range(50):
            order = faults.Fault("slow", seconds=0.3, path="/-/log-append")
            outside.fault_injector.inject(order)
        outside.capacity_bytes = 0
        with pytest.raises(ledger.NotWrittenError):
            await writers[0].ledger.commit(make_add("a"), 0.2)

    writer.run_with(check)


def test_change_that_lands_as_its_time_is_up_is_done():
    async def check(outside, writers):
        await writers[0].ledger.commit(make_add("first"), 10)
        order = faults.Fault("slow", seconds=0.3, path="/-/log-append")
        outside.fault_injector.inject(order)
        await writers[0].ledger.commit(make_add("a"), 0.2)
        assert count_records(outside, "j/a") == 1

    writer.run_with(check)


def test_changes_that_wait_share_an_append():
    async def check(outside, writers):
        await writers[0].ledger.commit(make_add("first"), 10)
        before = outside.calls["/-/log-append"]
        changes = [writers[0].ledger.commit(make_add(f"j{n}"), 10) for n in range(30)]
        await asyncio.gather(*changes)
        assert outside.calls["/-/log-append"] - before <= 3

    writer.run_with(check)


def test_reader_loads_the_newest_records_when_the_log_has_gone_on():
    # The records that an entry was to read next are gone: everything is read anew,
    # and nothing that was dropped meanwhile stays.
    async def check(outside, writers):
        reader = writers[1]
        await writers[0].ledger.commit(make_add("a"), 10)
        await wait.wait_for(lambda: "a" in reader.ledger.book.jobs, 5, 0.005)
        outside.fault_injector.inject(faults.Fault("down", path="/-/log-read"))
        partition = outside.get_partition(writer.TOPIC, 0)
        outside.put(writer.TOPIC, "j/a", b"")
        await asyncio.sleep(0)
        made = record.make_job("b", "h", "/p/", 0.0, [])
        outside.put(writer.TOPIC, made.key, made.value)
        partition.trim(partition.end)
        outside.fault_injector.inject(faults.Fault("clear"))
        await wait.wait_for(lambda: set(reader.ledger.book.jobs) == {"b"}, 5, 0.005)

    writer.run_with(check)
