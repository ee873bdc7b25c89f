"""Tests of custom adapters."""

import asyncio
import collections

import pytest

from pimentowick import exception
from pimentowick.external import adapter
from pimentowick.external import log as external_log
from pimentowick.fakes import embedded


class MemoryLog(external_log.Log):
    """In-memory log shared by all entries of this process."""

    streams = collections.defaultdict(list)
    appended = asyncio.Event()

    def __init__(self, address, client):
        self.address = address

    async def append(self, stream, records):
        """Append `records`."""
        stored = self.streams[stream]
        stored.extend(records)
        self.appended.set()
        return len(stored) - len(records)

    async def read(self, stream, offset, limit=500, wait_s=0.0):
        """Return records."""
        if offset >= len(self.streams[stream]) and wait_s:
            await self._wait(wait_s)
        stored = self.streams[stream]
        page = list(enumerate(stored))[offset : offset + limit]
        return external_log.Page(page, 0, len(stored))

    async def _wait(self, wait_s):
        self.appended.clear()
        try:
            async with asyncio.timeout(wait_s):
                await self.appended.wait()
        except TimeoutError:
            return


def test_job_runs_on_another_log():
    async def check():
        platform = {"log_adapter": f"{__name__}:MemoryLog"}
        fleet = embedded.EmbeddedDeployment(entry_settings={"platform": platform})
        try:
            await fleet.start()
            response = await fleet.submit(embedded.make_job_lines(10), "k")
            await fleet.wait_for_job(response.decode()["id"])
            assert len(await fleet.read_results(response.decode()["id"])) == 10
            assert not fleet.log._streams
        finally:
            await fleet.close()

    MemoryLog.streams.clear()
    asyncio.run(check())


@pytest.mark.parametrize("name", ["other", "json:loads", "no.such:Log"])
def test_unknown_adapter_is_named(name):
    with pytest.raises(exception.SettingsError, match=name):
        adapter.find_adapter("log", name)
