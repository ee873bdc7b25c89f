"""Deletion of closed jobs, and what clocks must not decide alone."""

import time

import pytest

from pimentowick.fakes import platform_site, wait
from pimentowick.gateway import content, job, ownership, record, retention
from pimentowick.gateway.tests import writer

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
