"""Requests to targets whose connections or callers end at an awkward moment."""

import asyncio
import contextlib

import pytest
from tornado import iostream

from pimentowick.gateway import traffic, upstream

WAIT_S = 20.0
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nX-Pimentowick-Request-Id: r\r\n"
    b"X-Pimentowick-Server-Stamp: s\r\nContent-Length: 4\r\n\r\nbody"
)


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
