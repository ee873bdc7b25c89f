"""Tests of how responses and runs of the fake replica end."""

import asyncio
import contextlib
import socket

import pytest

from pimentowick.fakes import replica

REQUEST = (
    b"POST /chat/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
    b"X-Pimentowick-Request-Id: r1\r\n\r\n"
)
EVENTS = b"id: 1\ndata: word 1\n\nid: 2\ndata: word 2\n\nid: 3\ndata: word 3\n\n"


async def exchange(server):
    """Send a request; return the body, and whether its connection was reset."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", server.address.partition(":")[2]
    )
    writer.write(REQUEST)
    data = b""
    with contextlib.closing(writer):
        try:
            while block := await reader.read(1000):
                data += block
        except ConnectionResetError:
            return data.partition(b"\r\n\r\n")[2], True
    return data.partition(b"\r\n\r\n")[2], False


def run_with(check):
    """Run a check on a replica that sends no response with framing."""

    async def run():
        server = replica.Replica(started_ms=5)
        server.is_unframed = lambda request_id: True
        await server.start()
        try:
            await check(server)
        finally:
            await server.close()

    asyncio.run(run())


def test_cut_unframed_response_is_reset_and_a_whole_one_is_not():
    # Guards against a replica that lives on and closes in order what it has not sent.
    async def check(server):
        server.planned_behaviours = [
            replica.Behaviour("unframed", cut_after=2, resets=True),
            replica.Behaviour("unframed", cut_after=3, resets=True),
        ]
        body, is_reset = await exchange(server)
        assert is_reset
        assert EVENTS.startswith(body)
        assert body != EVENTS
        assert not server.whole_responses
        assert await exchange(server) == (EVENTS, False)
        assert await exchange(server) == (EVENTS, False)
        assert "r1" in server.whole_responses

    run_with(check)


def test_replica_that_ends_at_once_does_not_count_as_one_that_lives_on():
    # Guards against a check that asks for responses which nobody could confirm.
    async def check(server):
        await exchange(server)
        server.restart("v2")
        assert not server.whole_responses
        server.planned_behaviours = [replica.Behaviour("unframed", crashes=True)]
        await exchange(server)
        assert not server.whole_responses

    run_with(check)


@pytest.mark.parametrize(
    "end", [replica.Replica.crash, lambda each: each.restart("v2")]
)
def test_run_that_ends_takes_connections_with_it_that_wait_to_be_accepted(end):
    # Guards against requests of the old run that the new one answers.
    async def check(server):
        with socket.create_connection(
            ("127.0.0.1", server.address.partition(":")[2])
        ) as sock:
            sock.sendall(REQUEST)
            end(server)
            await asyncio.sleep(0.05)
            sock.settimeout(1.0)
            with pytest.raises(ConnectionResetError):
                sock.recv(1)
        assert not server.requests
        assert server.started_ms == 6

    run_with(check)
