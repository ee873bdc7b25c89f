import asyncio

import pytest

from pimentowick.fakes import faults, platform_store
from pimentowick.platform import store

TIMEOUT_S = 0.4


def run_with(check):
    async def run():
        fake_store = platform_store.PlatformStore()
        await fake_store.start()
        client = store.Store(fake_store.address, TIMEOUT_S)
        await client.start()
        for number in range(4):
            fake_store.put("keyed.t", f"k{number}", b"x" * 20_000)
        try:
            await check(fake_store, client)
        finally:
            await client.close()
            await fake_store.close()

    asyncio.run(run())


def read_newest(client):
    return client.read_newest("keyed.t", 0)


def read_log(client):
    return client.read("keyed.t", 0, 0)


@pytest.mark.parametrize("read", [read_newest, read_log])
def test_slow_response_is_read_to_its_end(read):
    # After a power loss, all hosts read a large topic over slow links. With a total
    # timeout no read would ever complete, and no entry would learn its jobs.
    async def check(fake_store, client):
        order = faults.Fault("trickle", seconds=TIMEOUT_S / 4, path="/-/log-")
        fake_store.fault_injector.inject(order)
        page = await read(client)
        assert [len(record.value) for record in page.records] == [20_000] * 4
        assert page.end == 4

    run_with(check)


@pytest.mark.parametrize("read", [read_newest, read_log])
def test_stalled_response_times_out(read):
    # The connection stalls in the middle of a response.
    async def check(fake_store, client):
        fake_store.fault_injector.inject(faults.Fault("stall", path="/-/log-"))
        with pytest.raises(store.UnknownOutcomeError):
            await read(client)

    run_with(check)


def test_timeout_of_an_append_grows_with_its_size():
    # With the timeout of a small call, a large append over a slow link would never
    # complete, however often it is retried.
    async def check(fake_store, client):
        fake_store.fault_injector.inject(faults.Fault("slow", seconds=TIMEOUT_S * 1.5))
        records = [store.KeyedRecord("k", b"x" * 600_000)]
        assert await client.append("keyed.t", 0, records, 4) == 5
        with pytest.raises(store.UnknownOutcomeError):
            await client.append("keyed.t", 0, [store.KeyedRecord("k", b"x")], 5)

    run_with(check)


def test_records_are_not_declared_to_be_a_form():
    # A server that reads bodies by their declared type rejected an append with many
    # ampersands, so that a job with such bodies was never accepted.
    async def check(fake_store, client):
        record = store.KeyedRecord("k", b"&" * 2_000)
        assert await client.append("keyed.t", 0, [record], None) == 5

    run_with(check)
