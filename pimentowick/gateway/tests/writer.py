"""A ledger with its tasks, as one entry has it."""

import asyncio

from pimentowick.fakes import platform_store
from pimentowick.gateway import job, ledger
from pimentowick.platform import store

TOPIC = "keyed.jobs"
CALL_BYTES = 100_000


class Writer:
    def __init__(self, address):
        self.store = store.Store(address, timeout_s=0.5)
        self.ledger = ledger.Ledger(
            self.store, TOPIC, job.Book(), 0.01, 0.2, CALL_BYTES
        )
        self.tasks = []

    async def start(self):
        await self.store.start()
        for work in (self.ledger.feed.run, self.ledger.run):
            self.tasks.append(asyncio.create_task(work()))

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.store.close()


def run_with(check, count=2):
    """Run a check with a store's stand-in and writers."""

    async def run():
        outside = platform_store.PlatformStore()
        await outside.start()
        writers = [Writer(outside.address) for _ in range(count)]
        for each in writers:
            await each.start()
        try:
            await check(outside, writers)
        finally:
            for each in writers:
                await each.close()
            await outside.close()

    asyncio.run(run())
