import asyncio

import pytest

from pimentowick import exception
from pimentowick.fakes import faults, wait
from pimentowick.gateway import content, job, ledger, record
from pimentowick.gateway.tests import writer


def make_add(job_id, limit=None):
    """Return a `build` function that adds a job if there are fewer than `limit`."""
    body = content.Reference("b/0/w", 0, 1, 4)
    items = [job.Item(f"{job_id}-0", "/p", {}, 7, body)]
    job_record = record.make_job(job_id, "h", "/p/", 0.0, items)

    def build(job_table):
        if job_id in job_table.jobs:
            return []
        if limit is not None and len(job_table.jobs) >= limit:
            raise exception.ConflictError("full")
        return [job_record]

    return build


def count_records(fake_store, key):
    prefix = bytes([len(key)]) + key.encode()
    records = fake_store.get_partition(writer.TOPIC, 0).records
    return sum(value.startswith(prefix) for value in records)


def test_concurrent_writers_write_each_key_once_within_the_limit():
    # Entries accept jobs concurrently. The conditional append must keep them within the
    # limit together.
    async def check(fake_store, writers):
        changes = [
            writer.ledger.commit(make_add(f"j{n % 12}", limit=10), 10, exclusive=True)
            for n in range(24)
            for writer in writers
        ]
        results = await asyncio.gather(*changes, return_exceptions=True)
        errors = [result for result in results if isinstance(result, Exception)]
        assert {type(result) for result in errors} == {exception.ConflictError}
        counts = [count_records(fake_store, f"j/j{n}") for n in range(12)]
        assert sorted(counts) == [0, 0] + [1] * 10

    writer.run_with(check, count=4)


def test_lost_answers_cause_no_duplicates():
    # Every other append succeeds without an acknowledgement.
    async def check(fake_store, writers):
        for number in range(6):
            order = faults.Fault("lose_answer", count=1, path="/-/log-append")
            fake_store.fault_injector.inject(order)
            await writers[number % 2].ledger.commit(make_add(f"j{number}"), 10)
        assert [count_records(fake_store, f"j/j{n}") for n in range(6)] == [1] * 6

    writer.run_with(check)


def test_late_append_takes_effect_once():
    # An append takes effect after it was retried.
    async def check(fake_store, writers):
        fake_store.append_delay_s = 0.7
        task = asyncio.create_task(writers[0].ledger.commit(make_add("a"), 10))
        await wait.wait_for(lambda: fake_store.calls["/-/log-append"] == 1, 5, 0.005)
        fake_store.append_delay_s = None
        await task
        await writers[1].ledger.commit(make_add("b"), 10)
        assert [count_records(fake_store, f"j/{name}") for name in "ab"] == [1, 1]

    writer.run_with(check)


def test_change_is_in_doubt_while_an_append_may_take_effect():
    # The pending append may still take effect, so the change is not known to have
    # failed.
    async def check(fake_store, writers):
        fake_store.append_delay_s = 30.0
        with pytest.raises(ledger.InDoubtError):
            await writers[0].ledger.commit(make_add("a"), 1.5)

    writer.run_with(check)


def test_change_is_not_committed_once_the_partition_advances():
    # Another append invalidates the condition of the pending one, which cannot take
    # effect any more.
    async def check(fake_store, writers):
        fake_store.append_delay_s = 30.0
        task = asyncio.create_task(writers[0].ledger.commit(make_add("a"), 4))
        await wait.wait_for(lambda: fake_store.calls["/-/log-append"] == 1, 5, 0.005)
        fake_store.put(writer.TOPIC, "e/none", b"1")
        fake_store.append_delay_s = None
        fake_store.fault_injector.inject(faults.Fault("down", path="/-/log-append"))
        with pytest.raises(ledger.NotCommittedError):
            await task
        assert count_records(fake_store, "j/a") == 0

    writer.run_with(check)


def test_timeout_during_an_append_waits_for_its_answer():
    # The store rejects the append shortly after the timeout. The error must say that
    # the change did not take effect.
    async def check(fake_store, writers):
        await writers[0].ledger.commit(make_add("first"), 10)
        for _ in range(50):
            order = faults.Fault("slow", seconds=0.3, path="/-/log-append")
            fake_store.fault_injector.inject(order)
        fake_store.capacity_bytes = 0
        with pytest.raises(ledger.NotCommittedError):
            await writers[0].ledger.commit(make_add("a"), 0.2)

    writer.run_with(check)


def test_change_committed_at_its_timeout_succeeds():
    async def check(fake_store, writers):
        await writers[0].ledger.commit(make_add("first"), 10)
        order = faults.Fault("slow", seconds=0.3, path="/-/log-append")
        fake_store.fault_injector.inject(order)
        await writers[0].ledger.commit(make_add("a"), 0.2)
        assert count_records(fake_store, "j/a") == 1

    writer.run_with(check)


def test_pending_changes_share_an_append():
    async def check(fake_store, writers):
        await writers[0].ledger.commit(make_add("first"), 10)
        before = fake_store.calls["/-/log-append"]
        changes = [writers[0].ledger.commit(make_add(f"j{n}"), 10) for n in range(30)]
        await asyncio.gather(*changes)
        assert fake_store.calls["/-/log-append"] - before <= 3

    writer.run_with(check)


def test_reader_loads_a_snapshot_after_the_log_is_truncated():
    # The log is truncated past the next offset of the reader. The new snapshot must
    # also remove records deleted meanwhile.
    async def check(fake_store, writers):
        reader = writers[1]
        await writers[0].ledger.commit(make_add("a"), 10)
        await wait.wait_for(lambda: "a" in reader.ledger.job_table.jobs, 5, 0.005)
        fake_store.fault_injector.inject(faults.Fault("down", path="/-/log-read"))
        partition = fake_store.get_partition(writer.TOPIC, 0)
        fake_store.put(writer.TOPIC, "j/a", b"")
        await asyncio.sleep(0)
        job_record = record.make_job("b", "h", "/p/", 0.0, [])
        fake_store.put(writer.TOPIC, job_record.key, job_record.value)
        partition.trim(partition.end)
        fake_store.fault_injector.inject(faults.Fault("clear"))
        await wait.wait_for(
            lambda: set(reader.ledger.job_table.jobs) == {"b"}, 5, 0.005
        )

    writer.run_with(check)
