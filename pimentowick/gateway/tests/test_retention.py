"""Deletion of closed jobs, and what clocks must not decide alone."""

import asyncio
import time

import pytest

from pimentowick import exception
from pimentowick.fakes import platform_site, wait
from pimentowick.gateway import content, job, ownership, record, retention
from pimentowick.gateway.tests import test_job_api, writer

JOB = "j"
PARTS = 8
LARGE_SKEW_S = 1_000.0


class Entry(writer.Writer):
    """An entry that accepts a job of one item, gives it up and deletes it."""

    async def accept(self, submitted_s):
        body = content.Reference(record.name_body(0, "w"), 0, 1, 4)
        item = job.Item("i", "/p", {}, 7, body)
        made = record.make_job(JOB, "h", "/p/", submitted_s, [item])
        await self.storage.accepted.commit(lambda job_table: [made], 5)

    async def close_job(self):
        result = record.make_result(JOB, 0, "w", False, None)
        job_table = self.storage.job_table

        def build():
            return [result] if JOB in job_table.open_jobs else []

        await self.storage.outcomes.put(build, 5)

    async def delete_expired(self, retention_s):
        """Delete expired jobs; return whether the job is still there."""
        settings = platform_site.make_settings(
            self.store.address, parts=PARTS, result_retention_s=retention_s
        )
        owner = ownership.Ownership(self.store, "one", 1.0, None, None)
        owner.partitions = frozenset(range(PARTS))
        cleaner = retention.Retention(settings, owner, self.storage)
        await cleaner.remove_expired_jobs()
        await self.storage.refresh()
        return JOB in self.storage.job_table.jobs


def run_with(check):
    async def begin(fake_store, entries):
        await check(fake_store, *entries)

    writer.run_with(begin, 1, Entry)


def shift_clock(monkeypatch, seconds):
    read_time = time.time
    monkeypatch.setattr(time, "time", lambda: read_time() + seconds)


@pytest.mark.parametrize("is_accepting", [True, False])
def test_wrong_clock_deletes_no_job(monkeypatch, is_accepting):
    # One clock that was ahead, or behind as the job was accepted, sufficed for its
    # deletion within seconds.
    async def check(fake_store, entry):
        skew_s = -LARGE_SKEW_S if is_accepting else 0.0
        await entry.accept(time.time() + skew_s)
        await entry.close_job()
        if not is_accepting:
            shift_clock(monkeypatch, LARGE_SKEW_S)
        assert await entry.delete_expired(120.0)

    run_with(check)


def test_job_is_kept_while_its_last_result_is_read():
    # A job whose last result was listed after its retention was deleted at once.
    async def check(fake_store, entry):
        await entry.accept(time.time() - LARGE_SKEW_S)
        await entry.close_job()
        assert await entry.delete_expired(-LARGE_SKEW_S)

    run_with(check)


@pytest.mark.parametrize("skew_s", [0.0, LARGE_SKEW_S])
def test_expired_job_is_deleted(monkeypatch, skew_s):
    # With a clock behind, it would be kept until the store is full.
    monkeypatch.setattr(retention, "READING_MARGIN_S", 0.05, raising=False)

    async def check(fake_store, entry):
        await entry.accept(time.time() + skew_s)
        assert await entry.delete_expired(0.0)
        await entry.close_job()

        async def is_deleted():
            return not await entry.delete_expired(0.0)

        await wait.wait_for(is_deleted, 10, 0.02)
        assert not fake_store.get_partition(writer.TOPIC, 0).newest
        assert not fake_store.get_partition(writer.OUTCOMES, 0).newest

    run_with(check)


@pytest.mark.parametrize("step", ["contents", "accepted", "outcomes"])
def test_deletion_that_stops_halfway_is_completed(monkeypatch, step):
    # The outcomes of a deleted job stayed in the store for good, and in the memory of
    # each entry that started later.
    monkeypatch.setattr(retention, "READING_MARGIN_S", 0.05)

    async def check(fake_store, entry):
        await entry.accept(time.time())
        await entry.close_job()
        log = getattr(entry.storage, step)
        name = "delete_all" if step == "contents" else "delete"
        delete = getattr(log, name)
        failures = []

        async def fail_once(*arguments):
            if not failures:
                failures.append(arguments)
                raise exception.LogError
            await delete(*arguments)

        setattr(log, name, fail_once)

        async def is_deleted():
            await entry.delete_expired(0.0)
            partitions = fake_store.partitions.values()
            return not any(partition.newest for partition in partitions)

        await wait.wait_for(is_deleted, 10, 0.02)
        assert failures
        await entry.accept(time.time())
        assert entry.storage.job_table.jobs[JOB].is_open

    run_with(check)


def test_job_that_is_read_again_has_its_results():
    # A job that a snapshot lacked began without results once it was read again, so that
    # positions that had been read were empty and its items ran again.
    body = content.Reference("b/0/w", 0, 1, 4)
    made = record.make_job(JOB, "h", "/p/", 0.0, [job.Item("i", "/p", {}, 7, body)])
    result = record.make_result(JOB, 0, "w", False, None)
    table = job.JobTable()
    table.apply_job(made.key, made.value)
    table.apply_outcome(result.key, result.value)
    table.reset_jobs([])
    table.apply_job(made.key, made.value)
    assert [row.id for row in table.jobs[JOB].results] == ["i"]
    assert not table.open_jobs


def test_outcomes_of_a_job_that_cannot_be_decoded_are_kept(monkeypatch):
    # An entry of a later version may have written it in another form.
    monkeypatch.setattr(retention, "READING_MARGIN_S", 0.05)

    async def check(fake_store, entry):
        fake_store.put(writer.TOPIC, f"j/{JOB}", b"{}")
        fake_store.put(writer.OUTCOMES, f"e/{JOB}", b"1")
        table = entry.storage.job_table
        await wait.wait_for(table.list_orphans, 10, 0.01)
        assert len(table.list_orphans()) == 1
        table._outcomes[JOB].known_since = float("-inf")
        await entry.delete_expired(0.0)
        assert fake_store.get_partition(writer.OUTCOMES, 0).newest

    run_with(check)


async def start_waiting_item(site):
    """Submit an item that no target may run; return its run."""
    (gateway,) = site.gateways
    (target,) = gateway.table.list_targets("lm")
    target.paused_until = float("inf")
    answer = await test_job_api.submit(site, test_job_api.make_body(1))
    assert answer.status == 202

    def find_run():
        runs = gateway.runner.list_runs()
        return runs if runs and runs[0].transcript.body is not None else None

    (run,) = await wait.wait_for(find_run, 10, 0.01)
    return run


def run_site_with(check, abandon_after_s):
    route = test_job_api.BATCH | {"retention_s": abandon_after_s}

    async def run():
        async with platform_site.open_site(routes=[route]) as site:
            await check(site)

    asyncio.run(run())


def test_wrong_clock_gives_up_no_item(monkeypatch):
    # An item that waits for a slot was listed as dead as soon as a clock was wrong.
    async def check(site):
        run = await start_waiting_item(site)
        shift_clock(monkeypatch, LARGE_SKEW_S)
        site.gateways[0].runner._start_ready()
        assert run.task is None

    run_site_with(check, 60)


def test_item_is_given_up_although_the_clock_is_behind(monkeypatch):
    # A job was open for as long as the clock was behind.
    async def check(site):
        await start_waiting_item(site)
        shift_clock(monkeypatch, -LARGE_SKEW_S)
        (row,) = await test_job_api.read_all(site, 1)
        assert row["state"] == "dead"

    run_site_with(check, 0.5)


def test_item_whose_body_is_missing_is_given_up():
    # It was neither run nor given up, and its job stayed open for good.
    async def check(site):
        run = await start_waiting_item(site)
        (gateway,) = site.gateways
        contents = gateway.storage.contents
        await contents.delete(run.job.id, [run.item.body])
        gateway.runner.set_partitions(frozenset())
        gateway.runner.set_partitions(frozenset(range(PARTS)))
        (row,) = await test_job_api.read_all(site, 1)
        assert row["state"] == "dead"

    run_site_with(check, 0.5)


def test_job_that_is_accepted_as_its_old_outcomes_are_deleted_keeps_its_results():
    # Guards against a deletion that takes results which were written after the check
    # that decided on it.
    async def check(fake_store, entry):
        fake_store.put(writer.OUTCOMES, f"f/{JOB}/0/w", b"1")
        table = entry.storage.job_table
        (orphan,) = await wait.wait_for(table.list_orphans, 10, 0.01)
        read_keys = entry.storage.accepted.read_keys

        async def accept_after_reading():
            keys = await read_keys()
            await entry.accept(time.time())
            await entry.close_job()
            return keys

        entry.storage.accepted.read_keys = accept_after_reading
        await entry.storage.remove_orphans([orphan])
        newest = fake_store.get_partition(writer.OUTCOMES, 0).newest
        assert f"i/{JOB}/0/w" in newest

    run_with(check)
