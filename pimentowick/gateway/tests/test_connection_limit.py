import asyncio
import dataclasses
import errno
import itertools
import random
import socket

import pytest
from tornado import httputil

from pimentowick.fakes import platform_site, replica, wait
from pimentowick.gateway import connection_pool, exchange, upstream
from pimentowick.gateway.policy import connection_limit
from pimentowick.platform import node

IDLE_TIMEOUT_S = 15.0
POLL_S = 0.01
WAIT_S = 20.0
REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"


class Connections:
    """Open connections in virtual time under a limit."""

    def __init__(self, max_connections):
        self.limit = connection_limit.ConnectionLimit()
        self.limit.max_connections = max_connections
        self.open = []
        self.closed = []
        self.rejected = []

    def connect(self, address, now):
        if self.limit.is_near(len(self.open)):
            decision = self.limit.decide(address, self.open, now, IDLE_TIMEOUT_S)
            if decision.closed is not None:
                self.open.remove(decision.closed)
                self.closed.append(decision.closed)
            if not decision.accepts:
                self.rejected.append(address)
                return None
        connection = connection_limit.Connection(object(), address, now)
        self.open.append(connection)
        return connection

    def count(self, address):
        return sum(each.address == address for each in self.open)


@pytest.mark.parametrize("seed", range(3))
def test_kept_connections_of_others_survive_a_flood(seed):
    # Guards against one caller that takes the descriptors of all others.
    rng = random.Random(seed)
    connections = Connections(200)
    kept = [connections.connect(f"caller {n % 40}", 0.0) for n in range(80)]
    for connection in kept:
        connection.is_proven = True
    now = 0.0
    for _ in range(5000):
        now += rng.expovariate(500)
        connections.connect("flood", now)
    assert all(connection in connections.open for connection in kept)
    assert len(connections.open) <= 200
    newcomer = connections.connect("another", now)
    assert newcomer in connections.open


def test_idle_connection_that_its_caller_may_still_use_is_not_closed():
    # Guards against a close that meets the next request of a kept connection.
    connections = Connections(10)
    kept = [connections.connect("a", 0.0) for _ in range(8)]
    for connection in kept:
        connection.is_proven = True
    assert connections.connect("a", 0.8 * IDLE_TIMEOUT_S - 0.01) is None
    assert connections.connect("a", 0.8 * IDLE_TIMEOUT_S) is not None
    assert connections.closed == kept[:1]


def test_busy_connections_are_never_closed():
    # Guards against a request that is cut for a new connection.
    connections = Connections(10)
    for _ in range(10):
        busy = connections.connect("a", 0.0)
        if busy is not None:
            busy.idle_since = None
    assert connections.connect("a", 1000.0) is None
    assert not connections.closed


def test_few_connections_are_not_limited():
    # Guards against a change for hosts that are far from their limit.
    connections = Connections(100)
    for _ in range(50):
        assert connections.connect("a", 0.0) is not None


async def open_callers(server, count):
    return [
        await asyncio.open_connection("127.0.0.1", server._port) for _ in range(count)
    ]


def run_with(check):
    async def run():
        async def answer(request):
            await request.answer(200, httputil.HTTPHeaders(), request.body)

        address = f"127.0.0.1:{platform_site.find_free_port()}"
        server = exchange.Server(address, answer)
        await server.start()
        try:
            async with asyncio.timeout(3 * WAIT_S):
                await check(server)
        finally:
            await server.close()

    asyncio.run(run())


def test_connections_beyond_the_limit_are_closed_and_kept_ones_go_on():
    # Guards against a limit that is computed and never enforced.
    async def check(server):
        server.connections.limit.max_connections = 10
        callers = await open_callers(server, 8)
        for reader, writer in callers:
            writer.write(REQUEST)
            await reader.readuntil(b"hi")
        for reader, writer in await open_callers(server, 4):
            assert await reader.read() == b""
            writer.close()
        assert server.connections.rejected == 4
        for reader, writer in callers:
            writer.write(REQUEST)
            await reader.readuntil(b"hi")
            writer.close()
        await wait.wait_for(lambda: not len(server.connections), WAIT_S, POLL_S)

    run_with(check)


class ExhaustedListener:
    """A listening socket whose first calls of `accept` find no descriptor."""

    def __init__(self, listener, failures):
        self.listener = listener
        self.failures = failures

    def __getattr__(self, name):
        return getattr(self.listener, name)

    def accept(self):
        if self.failures:
            self.failures -= 1
            raise OSError(errno.EMFILE, "Too many open files")
        return self.listener.accept()


def test_accepting_goes_on_after_descriptors_were_exhausted(monkeypatch):
    # Guards against an event loop that does nothing but fail to accept.
    listeners = []

    def bind_sockets(*args, **kwargs):
        listeners.append(ExhaustedListener(*bind(*args, **kwargs), failures=3))
        return listeners

    bind = exchange.netutil.bind_sockets
    monkeypatch.setattr(exchange.netutil, "bind_sockets", bind_sockets)

    async def check(server):
        ((reader, writer),) = await open_callers(server, 1)
        writer.write(REQUEST)
        iterations = 0
        task = asyncio.create_task(reader.readuntil(b"hi"))
        while not task.done():
            iterations += 1
            await asyncio.sleep(POLL_S)
        assert not listeners[0].failures
        assert iterations > 3
        writer.close()

    run_with(check)


def test_listener_closes_although_descriptors_are_exhausted():
    # Guards against a shutdown that ends with an error in place of the responses.
    async def check(server):
        (descriptor,) = server._server._sockets
        listener = server._server._sockets[descriptor]
        server._server._sockets[descriptor] = ExhaustedListener(listener, failures=1)
        await server.stop_listening()
        assert server._server._stopped

    run_with(check)


@pytest.mark.parametrize("at_once", [16, 128])
def test_flood_of_connections_leaves_turns_to_other_work(at_once):
    # Guards against readiness checks that wait until a flood has been accepted.
    async def check(server):
        server.connections.accepted_at_once = at_once
        address = ("127.0.0.1", server._port)
        callers = [socket.create_connection(address) for _ in range(200)]
        counts = [0]
        while counts[-1] < len(callers):
            await asyncio.sleep(0)
            counts.append(len(server.connections))
        steps = [after - before for before, after in itertools.pairwise(counts)]
        assert max(steps) <= at_once
        for sock in callers:
            sock.close()

    run_with(check)


def test_connection_whose_request_was_just_read_is_not_closed(monkeypatch):
    # It was closed without an answer for a new one in the same iteration of the loop.
    monkeypatch.setattr(connection_limit, "UNUSED_S", 0.0)

    async def check(server):
        server.connections.limit.max_connections = 1
        loop = asyncio.get_running_loop()
        with socket.create_connection(("127.0.0.1", server._port)) as caller:
            caller.setblocking(False)
            await wait.wait_for(lambda: server._idle, WAIT_S, POLL_S)
            caller.send(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
            with socket.create_connection(("127.0.0.1", server._port)):
                data = await asyncio.wait_for(loop.sock_recv(caller, 4096), WAIT_S)
        assert data.startswith(b"HTTP/1.1 200 ")

    run_with(check)


@pytest.mark.parametrize("has_idle", [False, True])
def test_target_is_not_blamed_if_no_descriptor_can_be_had(monkeypatch, has_idle):
    # Guards against targets that are paused because this entry has no descriptor.
    async def run():
        async with platform_site.open_site([replica.Replica()]) as site:
            gateway = site.gateways[0]
            (target,) = gateway.table.by_id.values()
            open_connection = upstream.open_connection
            failures = [1] if has_idle else [1] * 100
            released = []

            async def fail(*args):
                if failures:
                    failures.pop()
                    raise OSError(errno.EMFILE, "Too many open files")
                return await open_connection(*args)

            monkeypatch.setattr(connection_pool.upstream, "open_connection", fail)
            monkeypatch.setattr(
                connection_pool.Pool,
                "close_oldest",
                lambda pool: released.append(pool) or has_idle,
            )
            response = await site.call(
                "POST", "/chat/", b"hi", X_Pimentowick_Request_Id="r1"
            )
            assert response.status == (200 if has_idle else 503)
            assert released
            assert not target.failures
            assert target.paused_until == 0.0

    asyncio.run(run())


def test_idle_connection_gives_its_descriptor_to_another_target():
    # Guards against idle connections that keep a request from any target.
    async def run():
        async with platform_site.open_site([replica.Replica()]) as site:
            await site.call("POST", "/chat/", b"hi", X_Pimentowick_Request_Id="r1")
            pools = site.gateways[0].pools
            assert pools.count_open() == 1
            assert pools.release_descriptor()
            assert pools.count_open() == 0
            assert not pools.release_descriptor()

    asyncio.run(run())


def test_limit_on_connections_needs_pressure_and_a_limit_of_the_host(monkeypatch):
    # Guards against a change for deployments that expect no pressure.
    async def run():
        async with platform_site.open_site(max_descriptors=1675) as site:
            connections = site.gateways[0]._caller_server.connections
            assert connections.limit.max_connections is None
        changes = {"max_descriptors": 1675, "expects_pressure": True}
        async with platform_site.open_site(**changes) as site:
            connections = site.gateways[0]._caller_server.connections
            assert connections.limit.max_connections == 1032
            gateway = site.gateways[0]
            settings = dataclasses.replace(gateway.settings, expects_pressure=False)
            monkeypatch.setattr(node, "read_settings", lambda path: settings)
            gateway.reload()
            assert connections.limit.max_connections is None

    asyncio.run(run())
