import asyncio

import pytest

from pimentowick.fakes import faults, platform_store
from pimentowick.platform import store

TIMEOUT_S = 0.4


def run_with(check):
    async def run():
        outside = platform_store.PlatformStore()
        await outside.start()
        client = store.Store(outside.address, TIMEOUT_S)
        await client.start()
        for number in range(4):
            outside.put("keyed.t", f"k{number}", b"x" * 20_000)
        try:
            await check(outside, client)
        finally:
            await client.close()
            await outside.close()

    asyncio.run(run())


def read_newest(client):
    return client.read_newest("keyed.t", 0)


def read_log(client):
    return client.read("keyed.t", 0, 0)


@pytest.mark.parametrize("read", [read_newest, read_log])
def test_answer_that_keeps_arriving_over_a_slow_link_is_read_to_its_end(read):
    # All hosts return from a loss of power and read all of a large topic through
    # their small links. Each read would be given up on before its end, again and
    # again, and no entry would know the jobs that it has to run.
    async def check(outside, client):
        order = faults.Fault("trickle", seconds=TIMEOUT_S / 4, path="/-/log-")
        outside.fault_injector.inject(order)
        page = await read(client)
        assert [len(record.value) for record in page.records] == [20_000] * 4
        assert page.end == 4

    run_with(check)


@pytest.mark.parametrize("read", [read_newest, read_log])
def test_answer_that_stops_arriving_is_given_up(read):
    # The connection falls silent in the middle of an answer.
    async def check(outside, client):
        outside.fault_injector.inject(faults.Fault("stall", path="/-/log-"))
        with pytest.raises(store.UncertainError):
            await read(client)

    run_with(check)


def test_large_append_gets_the_time_that_its_bytes_take():
    # Given up on after the time of a small call, an append over a slow link would
    # never get through, however often it is tried again.
    async def check(outside, client):
        outside.fault_injector.inject(faults.Fault("slow", seconds=TIMEOUT_S * 1.5))
        records = [store.KeyedRecord("k", b"x" * 600_000)]
        assert await client.append("keyed.t", 0, records, 4) == 5
        with pytest.raises(store.UncertainError):
            await client.append("keyed.t", 0, [store.KeyedRecord("k", b"x")], 5)

    run_with(check)
