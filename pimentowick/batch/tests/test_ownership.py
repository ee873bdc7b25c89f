"""Renewal of shard ownership."""

import asyncio
import types

from pimentowick.batch import ownership
from pimentowick.batch import record as batch_record
from pimentowick.batch.tests import stubs, test_ledger


def test_slow_append_of_one_shard_holds_back_no_other():
    """The log stops answering appends to one shard, but answers those to another.

    Without renewals of the other shard, its live owner would be replaced and its items
    would run twice.
    """

    async def check():
        stuck = asyncio.Event()
        renewals = asyncio.Semaphore(0)

        async def append(stream, records):
            assert records[0]["type"] == batch_record.RENEW
            if stream == "shard-0":
                stuck.set()
                await asyncio.Event().wait()
            if stuck.is_set():
                renewals.release()

        log = types.SimpleNamespace(append=append)
        owned = [
            batch_record.make_claim(1, "a#1", 0.0),
            *test_ledger.submit("j0"),
        ]
        shards = {number: stubs.make_shard(number, log, owned) for number in (0, 1)}
        table = types.SimpleNamespace(followed=shards)
        settings = stubs.make_settings(takeover_s=0.3)
        watch = ownership.Ownership(table, None, settings, "a#1", None)
        await watch.start()
        try:
            async with asyncio.timeout(20):
                await stuck.wait()
                for _ in range(2):
                    await renewals.acquire()
        finally:
            await watch.close()

    asyncio.run(check())
