"""A flood of new connections to one entry."""

import asyncio
import random

import pytest
from tornado import httputil

from pimentowick.fakes import platform_site
from pimentowick.gateway import exchange
from pimentowick.gateway.policy import connection_shedding

CAPACITY_PER_S = 60.0
KEPT_PER_S = 15.0
FLOOD_S = 6.0
# From this time of a flood on, requests that are read have to be served again.
STABLE_S = 3.0
STEP_S = 0.05
OBSERVE_S = 0.3
# Requests that wait for longer are late, and given up by their callers after a second.
PATIENCE_S = 0.5
GIVEN_UP_S = 1.0


def replay(new_per_s, request_share, sheds=True, seed=1):
    """Return the share of the requests read after `STABLE_S` that are served in time.

    The entry serves what it reads in order, as fast as its processor allows.
    """
    rng = random.Random(seed)
    shedding = connection_shedding.ConnectionShedding()
    backlog = 0.0
    read = served = used = 0.0
    next_at = OBSERVE_S
    now = 0.0
    while now < FLOOD_S:
        arrivals = _draw(rng, KEPT_PER_S * STEP_S)
        new = _draw(rng, new_per_s * STEP_S)
        admitted = sum(shedding.admit(now) for _ in range(new))
        arrivals += admitted if sheds else new
        in_time = backlog <= PATIENCE_S * CAPACITY_PER_S
        if now >= STABLE_S:
            read += arrivals
            served += arrivals * in_time
        backlog = min(backlog + arrivals, GIVEN_UP_S * CAPACITY_PER_S)
        done = min(backlog, CAPACITY_PER_S * STEP_S)
        backlog -= done
        used += done
        now += STEP_S
        if now >= next_at:
            share = used / (CAPACITY_PER_S * OBSERVE_S)
            shedding.observe(share, request_share, now)
            next_at += OBSERVE_S
            used = 0.0
    return served / read


def _draw(rng, mean):
    count, at = 0, rng.expovariate(1.0)
    while at < mean:
        count += 1
        at += rng.expovariate(1.0)
    return count


@pytest.mark.parametrize("new_per_s", [100.0, 200.0, 400.0])
def test_requests_read_in_a_flood_of_connections_are_served(new_per_s):
    for seed in range(10):
        assert replay(new_per_s, 0.9, seed=seed) > 0.75
    assert replay(new_per_s, 0.9, sheds=False) < 0.75


def test_entry_that_is_as_busy_as_all_closes_no_connection():
    # A retry would meet another busy entry.
    shedding = connection_shedding.ConnectionShedding()
    for step in range(20):
        assert shedding.admit(0.1 * step)
        shedding.observe(1.0, 0.2, 0.1 * step)
    assert shedding.rate_per_s is None


def test_limit_ends_with_the_flood():
    shedding = connection_shedding.ConnectionShedding()
    for step in range(10):
        for _ in range(100):
            shedding.admit(0.3 * step)
        shedding.observe(1.0, 0.9, 0.3 * step)
    assert shedding.rate_per_s is not None
    shedding.observe(0.2, 0.1, 4.0)
    assert all(shedding.admit(4.0) for _ in range(100))


REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"


def test_connection_beyond_the_limit_is_closed_unread_and_kept_ones_go_on():
    # Its caller may retry whatever it asked for.
    async def run():
        address = f"127.0.0.1:{platform_site.find_free_port()}"
        handled = []

        async def answer(request):
            handled.append(request)
            await request.answer(200, httputil.HTTPHeaders(), request.body)

        server = exchange.Server(address, answer)
        await server.start()
        host, port = address.split(":")
        kept = await asyncio.open_connection(host, int(port))

        async def ask(connection):
            reader, writer = connection
            writer.write(REQUEST)
            try:
                async with asyncio.timeout(10):
                    return await reader.readuntil(b"hi")
            except (asyncio.IncompleteReadError, ConnectionError):
                return None

        assert await ask(kept) is not None
        server.connections.shedding.rate_per_s = 1e-6
        for _ in range(5):
            assert await ask(await asyncio.open_connection(host, int(port))) is None
        assert server.connections.shed == 5
        assert await ask(kept) is not None
        assert len(handled) == 2
        await server.close()

    asyncio.run(run())


def test_entry_that_hears_no_other_closes_no_connection():
    # A retry would come back to it.
    async def run():
        async with platform_site.open_site() as site:
            gateway = site.gateways[0]
            [target] = gateway.table.by_id.values()
            target.online = 4
            for _ in range(5):
                gateway._on_processor_use(1.0)
                await asyncio.sleep(0.01)
            assert gateway._caller_server.connections.shedding.rate_per_s is None
            target.online = 0

    asyncio.run(run())
