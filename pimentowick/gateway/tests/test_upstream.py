"""Requests to targets whose connections or callers end at an awkward moment."""

import asyncio
import contextlib
import math
import socket
import time

import pytest
from tornado import httputil, iostream

from pimentowick.gateway import connection_pool, traffic, upstream

WAIT_S = 20.0
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nX-Pimentowick-Request-Id: r\r\n"
    b"X-Pimentowick-Server-Stamp: s\r\nContent-Length: 4\r\n\r\nbody"
)


class WaitingSink(upstream.Sink):
    """Takes no chunk of the body, as the sink of a caller that does not read."""

    def __init__(self):
        self.is_waiting = asyncio.Event()

    async def on_headers(self, status, headers, answer):
        """Discard the headers."""

    async def on_chunk(self, chunk):
        """Wait until cancelled."""
        self.is_waiting.set()
        await asyncio.Event().wait()


def make_request(run_check=None):
    headers = httputil.HTTPHeaders({"Host": "h"})
    return upstream.Request("r", "GET", "/x", headers, b"", run_check=run_check)


@contextlib.asynccontextmanager
async def open_target():
    """Run a target that answers each request; return its address."""

    async def respond(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(RESPONSE)
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()
    finally:
        server.close()


def test_cancellation_ends_a_request_whose_caller_does_not_read():
    # Guards against a response that is taken for a broken one of its target, and sent
    # for once more, as its caller leaves or its time is up while a write to it waits.
    async def run():
        async with open_target() as (ip, port):
            pool = connection_pool.Pool(ip, port)
            sink = WaitingSink()
            sending = asyncio.create_task(pool.send(make_request(), sink))
            await sink.is_waiting.wait()
            sending.cancel()
            with pytest.raises(asyncio.CancelledError):
                await sending
            assert pool.open == 0

    asyncio.run(asyncio.wait_for(run(), WAIT_S))


def test_request_is_not_run_if_its_target_closed_the_connection_before_it_is_asked():
    # Guards against an unexpected error, instead of another attempt, as a target closes
    # a connection that was just opened.
    async def run():
        async with open_target() as address:
            connection = await upstream.open_connection(
                address, lambda load: None, traffic.Traffic()
            )
            connection.close()
            with pytest.raises(iostream.StreamClosedError):
                await connection.ask_start()

    asyncio.run(asyncio.wait_for(run(), WAIT_S))


def open_pair():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        sender = socket.create_connection(listener.getsockname())
        return sender, listener.accept()[0]


def test_time_of_the_last_bytes_is_known_although_they_are_read_late():
    # An answer that its caller reads slowly would look as if its target had just lived.
    sender, receiver = open_pair()
    with sender, receiver:
        began_at = time.monotonic()
        sender.send(b"x")
        time.sleep(0.2)
        receiver.recv(1)
        silence_s = upstream._measure_silence(receiver)
        assert 0.1 < silence_s < time.monotonic() - began_at + 0.1


def test_time_of_the_last_bytes_is_unknown_without_the_kernel(monkeypatch):
    # The target would count as alive at the end of each answer.
    with socket.socket() as sock:
        monkeypatch.setattr(upstream, "TCP_INFO_BYTES", 8)
        assert upstream._measure_silence(sock) == math.inf
