import asyncio
import contextlib
import socket
import time

import pytest
from tornado import httputil

from pimentowick.fakes import platform_site, replica, wait
from pimentowick.gateway import decision_log, exchange
from pimentowick.gateway.policy import memory_budget

CAPACITY = 4_000_000
BODY = b"x" * 1_000_000
CHUNK = b"data: " + b"x" * 20_000 + b"\n\n"
REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
POLL_S = 0.01
WAIT_S = 20.0


def limit_send_buffers(server):
    """Let the kernel take little of what is written to a server's connections."""
    for listener in server._server._sockets.values():
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)


class Callers:
    """A server and raw connections to it."""

    def __init__(self, handle):
        address = f"127.0.0.1:{platform_site.find_free_port()}"
        self.server = exchange.Server(address, handle)
        self.budget = self.server.held.budget
        self.budget.capacity = CAPACITY
        self.sockets = []
        self.peak_held = 0

    def connect(self, request=REQUEST):
        """Return a connection with a small receive window that sent a request."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(("127.0.0.1", self.server._port))
        sock.sendall(request)
        sock.setblocking(False)
        self.sockets.append(sock)
        return sock

    async def read(self, sock, until=b"\r\n\r\n", limit=1 << 30):
        """Read until a text has arrived, or the end."""
        data = bytearray()
        loop = asyncio.get_running_loop()
        while until not in data[-len(until) - 65_536 :] and len(data) < limit:
            chunk = await asyncio.wait_for(loop.sock_recv(sock, 65_536), WAIT_S)
            if not chunk:
                break
            data += chunk
            self.peak_held = max(self.peak_held, self.budget.held)
        return bytes(data)


def run_with(handle, check):
    async def run():
        callers = Callers(handle)
        await callers.server.start()
        limit_send_buffers(callers.server)
        try:
            async with asyncio.timeout(3 * WAIT_S):
                await check(callers)
        finally:
            for sock in callers.sockets:
                sock.close()
            await callers.server.close()

    asyncio.run(run())


async def answer_with_body(request):
    await request.answer(200, httputil.HTTPHeaders(), BODY)


async def stream_chunks(request):
    await request.start(200, httputil.HTTPHeaders(), CHUNK)
    for _ in range(100):
        await request.write(CHUNK)
    request.finish()


def make_upload(size, sent):
    head = f"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n"
    return head.encode() + b"x" * sent


CHUNKED_HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


def test_body_beyond_the_memory_is_refused_before_it_is_read():
    # Guards against a body that is read whole before anybody asks whether it fits.
    handled = []

    async def handle(request):
        handled.append(request)
        await request.answer(200, httputil.HTTPHeaders())

    async def check(callers):
        sock = callers.connect(make_upload(4_000_000, 1000))
        head = await callers.read(sock, until=b"}}")
        assert head.split()[1] == b"503"
        assert b"Retry-After" in head
        assert b'"not_run"' in head
        assert not handled
        assert not callers.budget.held
        # The rest of the body is discarded, and the connection stays in use.
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, b"x" * 3_999_000 + REQUEST)
        head = await callers.read(sock)
        assert head.split()[1] == b"200"
        assert len(handled) == 1

    run_with(handle, check)


def test_chunked_body_beyond_the_memory_is_refused_amid_its_transfer():
    # Guards against bodies of unknown length that pass the budget by.
    handled = []

    async def check(callers):
        sock = callers.connect(CHUNKED_HEAD)
        loop = asyncio.get_running_loop()
        chunk = b"%x\r\n" % 100_000 + b"x" * 100_000 + b"\r\n"
        for _ in range(38):
            await loop.sock_sendall(sock, chunk)
        head = await callers.read(sock, until=b"}}")
        assert head.split()[1] == b"503"
        assert not callers.budget.held
        await loop.sock_sendall(sock, b"0\r\n\r\n")
        assert not handled

    run_with(handled.append, check)


def test_caller_that_leaves_amid_its_body_releases_what_was_held():
    # Guards against memory that stays reserved for bodies that never arrive.
    async def check(callers):
        sock = callers.connect(make_upload(2_000_000, 1000))
        await wait.wait_for(lambda: callers.budget.held == 2_000_000, WAIT_S, POLL_S)
        sock.close()
        await wait.wait_for(lambda: not callers.budget.held, WAIT_S, POLL_S)
        assert not callers.budget.expected
        await wait.wait_for(lambda: not len(callers.server.connections), WAIT_S, POLL_S)
        assert not callers.server._idle

    run_with(None, check)


def test_fast_callers_are_served_beside_slow_ones():
    # Guards against slow readers that take the memory, or the turn, of fast ones.
    async def check(callers):
        for _ in range(50):
            callers.connect()
        await wait.wait_for(
            lambda: callers.server.held.paused_responses, WAIT_S, POLL_S
        )
        for _ in range(10):
            data = await callers.read(callers.connect(), until=b"0\r\n\r\n")
            assert data.count(CHUNK) == 101
        assert callers.server.active_requests == 50
        # Each of them is counted and logged once, however often it pauses.
        assert callers.server.held.paused_responses <= 60
        share = memory_budget.UNREAD_SHARE * CAPACITY
        assert callers.peak_held < 2 * share

    run_with(stream_chunks, check)


def test_slow_reader_does_not_hold_up_the_response_that_is_written():
    # Guards against a target's slot that is held until the caller has read.
    written = asyncio.Event()

    async def handle(request):
        await request.start(200, httputil.HTTPHeaders(), CHUNK)
        for _ in range(20):
            await request.write(CHUNK)
        request.finish()
        written.set()

    async def check(callers):
        callers.budget.capacity = 100 * CAPACITY
        sock = callers.connect()
        await written.wait()
        assert callers.server.active_requests == 1
        data = await callers.read(sock, until=b"0\r\n\r\n")
        assert data.count(CHUNK) == 21
        await wait.wait_for(lambda: not callers.server.active_requests, WAIT_S, POLL_S)
        assert not callers.budget.held

    run_with(handle, check)


@pytest.mark.parametrize("handle", [answer_with_body, stream_chunks])
def test_caller_that_reads_nothing_is_ended_with_an_incomplete_response(handle):
    # Guards against callers that hold memory for ever, and against a cut response
    # that looks complete.
    async def check(callers):
        sock = callers.connect()
        held = callers.server.held
        await wait.wait_for(lambda: callers.budget.held, WAIT_S, POLL_S)
        held.check_readers(15.0, time.monotonic() + 14.0)
        assert not held.ended_readers
        held.check_readers(15.0, time.monotonic() + 16.0)
        assert held.ended_readers == 1
        await wait.wait_for(lambda: not callers.budget.held, WAIT_S, POLL_S)
        with contextlib.suppress(ConnectionResetError):
            data = await callers.read(sock, until=b"0\r\n\r\n")
            assert not data.endswith(b"0\r\n\r\n")
            assert len(data) < len(BODY)

    run_with(handle, check)


def test_slowest_reader_is_ended_when_the_memory_is_used_up():
    # Guards against memory that stays used up because every caller reads a little.
    async def check(callers):
        for _ in range(4):
            callers.connect()
        held = callers.server.held
        await wait.wait_for(lambda: len(held._unread) == 4, WAIT_S, POLL_S)
        callers.budget.capacity = callers.budget.held
        held.check_readers(15.0, time.monotonic() + 6.0)
        assert held.ended_readers == 1

    run_with(answer_with_body, check)


def test_without_a_limit_a_write_waits_for_the_caller():
    # Guards against a change for hosts whose settings give no memory limit.
    async def check(callers):
        callers.budget.capacity = None
        callers.connect()
        await wait.wait_for(lambda: callers.server.active_requests == 1, WAIT_S, POLL_S)
        assert not callers.server.held._unread
        assert not callers.budget.by_kind[memory_budget.Kind.UNREAD]

    run_with(stream_chunks, check)


def test_termination_amid_slow_readers_ends_all_that_can_end(monkeypatch):
    # Guards against responses that are cut although their callers still read them.
    events = []
    monkeypatch.setattr(
        decision_log, "log_event", lambda event, **fields: events.append(event)
    )

    async def run():
        server = replica.Replica(events=0)
        routes = [platform_site.make_route("/p/", "idempotent")]
        site_changes = {"memory_mb": 4000.0, "stop_grace_s": 6.0}
        async with platform_site.open_site([server], routes, **site_changes) as site:
            gateway = site.gateways[0]
            limit_send_buffers(gateway._caller_server)
            readers, stalled = await open_readers(site, 10), await open_readers(site, 3)
            held = gateway._caller_server.held
            await wait.wait_for(lambda: len(held._unread) == 13, WAIT_S, POLL_S)
            assert server.running == 0
            draining = asyncio.create_task(gateway.drain())
            responses = await asyncio.gather(*(read_all(sock) for sock in readers))
            assert all(each.count(b"x") >= len(BODY) for each in responses)
            await draining
            assert gateway._caller_server.active_requests == 3
            for sock in (*readers, *stalled):
                sock.close()

    asyncio.run(run())
    assert "gateway.drained" in events


async def open_readers(site, count):
    """Open connections that have sent a request and read nothing yet."""
    ip, _, port = site.gateways[0].settings.callers_address.partition(":")
    loop = asyncio.get_running_loop()
    sockets = []
    for number in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        await loop.sock_connect(sock, (ip, int(port)))
        head = f"POST /p/ HTTP/1.1\r\nHost: {platform_site.HOST}\r\n"
        head += f"X-Pimentowick-Request-Id: r{id(sock)}{number}\r\n"
        head += f"Content-Length: {len(BODY)}\r\n\r\n"
        await loop.sock_sendall(sock, head.encode() + BODY)
        sockets.append(sock)
    return sockets


async def read_all(sock):
    loop = asyncio.get_running_loop()
    data = bytearray()
    while data.count(b"x") < len(BODY):
        chunk = await asyncio.wait_for(loop.sock_recv(sock, 1 << 20), WAIT_S)
        if not chunk:
            break
        data += chunk
    return bytes(data)
