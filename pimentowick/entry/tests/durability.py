"""Helpers for tests of batch jobs and configuration under failures."""

import asyncio
import collections

from pimentowick import exception
from pimentowick.batch import record as batch_record
from pimentowick.fakes import embedded, engine

__all__ = [
    "LogInterceptor",
    "check_results",
    "claim",
    "find_owner",
    "get_runs",
    "intercept_logs",
    "run",
]


def run(check, **settings):
    """Run the coroutine function `check` with an embedded deployment."""

    async def run_check():
        fleet = embedded.EmbeddedDeployment(**settings)
        try:
            await fleet.start()
            await check(fleet)
        finally:
            await fleet.close()

    asyncio.run(run_check())


class LogInterceptor:
    """Intercepts the calls of one entry to the log.

    Attributes:
        rule: Coroutine function that replaces appends to shards, or None.
        reads: Event that is set while reads are let through.
        counts_by_type: Number of records appended, by type.
    """

    def __init__(self, entry):
        self.log = entry.configuration_replica.log
        self.rule = None
        self.reads = asyncio.Event()
        self.reads.set()
        self.counts_by_type = collections.Counter()
        self._append = self.log.append
        self._read = self.log.read
        self.log.append = self.append
        self.log.read = self.read

    async def append(self, stream, records):
        self.counts_by_type.update(record["type"] for record in records)
        if self.rule is not None and stream.startswith("shard-"):
            return await self.rule(stream, records)
        return await self._append(stream, records)

    async def read(self, *args, **fields):
        page = await self._read(*args, **fields)
        await self.reads.wait()
        return page

    def fail_append(self, kind, number, effect, then):
        """Fail the `number`-th append of a record type after running `then`.

        The append takes effect if `effect` is true; only its response is lost then.
        """
        attempts = []

        async def rule(stream, records):
            if records[0]["type"] != kind:
                return await self._append(stream, records)
            attempts.append(1)
            if len(attempts) != number:
                return await self._append(stream, records)
            if effect:
                await self._append(stream, records)
            await then()
            raise exception.LogUnavailableError("no answer")

        self.rule = rule

    def delay_appends(self, kind):
        """Delay appends of a record type.

        Returns:
            The list of delayed records, the event that releases them, and the list of
            offsets at which they are then appended.
        """
        held, release, offsets = [], asyncio.Event(), []

        async def rule(stream, records):
            if records[0]["type"] != kind:
                return await self._append(stream, records)
            held.extend(records)
            await release.wait()
            first = await self._append(stream, records)
            offsets.append(first)
            return first

        self.rule = rule
        return held, release, offsets


async def claim(fleet, name, job_id):
    """Make an entry claim the shard of a job; return once it owns the shard."""
    entry = fleet.entries[name]
    shard = entry.table.find(job_id)
    record = batch_record.make_claim(shard.ledger.epoch + 1, entry.owner, 0.0)
    await shard.replica.append([record], 5)


def intercept_logs(fleet):
    """Return a `LogInterceptor` for each entry by name."""
    return {name: LogInterceptor(entry) for name, entry in fleet.entries.items()}


def find_owner(fleet, job_id):
    """Return the name of the entry that owns a job's shard, or None."""
    for name, entry in fleet.entries.items():
        if entry.table.find(job_id).ledger.owner == entry.owner:
            return name
    return None


def get_runs(fleet, job_id):
    """Return the number of runs of each item of a job, over all engines."""
    runs = collections.Counter()
    for target in fleet.targets.values():
        runs.update({n: c for n, c in target.runs.items() if n.startswith(job_id)})
    return runs


async def check_results(fleet, job_id, count, tokens=4, entry=None, prefix="item"):
    """Wait for a job and check that each item has exactly one, correct result."""
    await fleet.wait_for_job(job_id, entry=entry)
    results = await fleet.read_results(job_id, entry=entry)
    names = sorted(result["custom_id"] for result in results)
    assert names == sorted(f"{prefix}-{number}" for number in range(count))
    for result in results:
        content = result["response"]["body"]["choices"][0]["message"]["content"]
        expected = engine.make_expected_text(f"user: {result['custom_id']}", tokens)
        assert content == expected
