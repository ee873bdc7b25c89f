"""Job storage with its background tasks, for tests."""

import asyncio

from pimentowick.fakes import platform_site, platform_store
from pimentowick.gateway import job_storage
from pimentowick.platform import store

TOPIC = "keyed.jobs"
OUTCOMES = "keyed.outcomes"
RECORD_BYTES = 2_048
CALL_BYTES = 100_000


class Writer:
    def __init__(self, address):
        settings = platform_site.make_settings(
            address, record_bytes=RECORD_BYTES, call_bytes=CALL_BYTES
        )
        self.store = store.Store(address, timeout_s=0.5)
        self.storage = job_storage.JobStorage(
            self.store, TOPIC, OUTCOMES, 0.01, 0.2, settings
        )
        self.ledger = self.storage.accepted
        self.tasks = []

    async def start(self):
        await self.store.start()
        for log in (self.storage.accepted, self.storage.outcomes):
            for run in (log.feed.run, log.run):
                self.tasks.append(asyncio.create_task(run()))

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.store.close()


def run_with(check, count=2, make=Writer):
    """Run a check with a fake store and a number of writers."""

    async def run():
        fake_store = platform_store.PlatformStore()
        await fake_store.start()
        writers = [make(fake_store.address) for _ in range(count)]
        for one in writers:
            await one.start()
        try:
            await check(fake_store, writers)
        finally:
            for one in writers:
                await one.close()
            await fake_store.close()

    asyncio.run(run())
