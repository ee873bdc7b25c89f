"""Errors of the HTTP client, and the state of its pool after a failed request."""

import asyncio
import contextlib
import socket
import time

import pytest

from pimentowick import client as http_client
from pimentowick import verdict

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
LINE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n"
REUSE_CHECK_S = 2.3


class Peer:
    """A server that performs a list of actions, one for each request of a connection.

    The last action is repeated for all further requests.
    """

    def __init__(self, *actions):
        self.actions = actions
        self.requests = []
        self.closed = []
        self.opened = 0

    async def serve(self, reader, writer):
        connection_number = self.opened
        self.opened += 1
        served = 0
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests.append(connection_number)
                action = self.actions[min(served, len(self.actions) - 1)]
                served += 1
                if action == "close":
                    break
                if action == "answer":
                    writer.write(RESPONSE)
                if action == "answer_later":
                    asyncio.get_running_loop().call_later(
                        0.01, writer.write, LINE_RESPONSE
                    )
        self.closed.append(connection_number)
        writer.close()

    async def wait_for(self, predicate):
        async with asyncio.timeout(10):
            while not predicate():
                await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def start_peer(*actions, connections=4):
    peer = Peer(*actions)
    server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
    peer.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    client = http_client.Client(connections)
    await client.start()
    try:
        yield peer, client
    finally:
        await client.close()
        server.close()


async def fetch_error(client, address, **fields):
    with pytest.raises(http_client.TransportError) as caught:
        await client.fetch("GET", address, "/", **fields)
    return caught.value


def test_request_is_not_resent_when_a_pooled_connection_breaks():
    """The peer reads a request on a reused connection and closes it unanswered.

    By default libcurl resends such a request on a new connection, so a call that is
    not idempotent would run twice.
    """

    async def check():
        async with start_peer("answer", "close") as (peer, client):
            await client.fetch("GET", peer.address, "/")
            error = await fetch_error(client, peer.address)
            assert error.verdict is verdict.Verdict.MAY_HAVE_RUN
            assert peer.requests == [0, 0]

    asyncio.run(check())


def test_failure_to_connect_has_verdict_not_run():
    """No process listens, or the listen queue is full and connecting times out.

    The request was never sent, so the caller may retry it even if it is not idempotent.
    """

    async def check():
        async with start_peer("answer") as (peer, client):
            with socket.socket() as closed:
                closed.bind(("127.0.0.1", 0))
                address = f"127.0.0.1:{closed.getsockname()[1]}"
                error = await fetch_error(client, address)
                assert error.verdict is verdict.Verdict.NOT_RUN
                closed.listen(0)
                with contextlib.ExitStack() as stack:
                    for _ in range(3):
                        pending_connection = stack.enter_context(socket.socket())
                        pending_connection.setblocking(False)
                        pending_connection.connect_ex(closed.getsockname())
                    error = await fetch_error(client, address, timeout_s=0.5)
                assert error.verdict is verdict.Verdict.NOT_RUN
            assert not peer.requests

    asyncio.run(check())


@pytest.mark.parametrize("kind", ["stream", "fetch"])
def test_abandoned_request_frees_its_handle_and_connection(kind):
    """Callers abandon as many unanswered requests as the pool has connections.

    Otherwise later requests would wait in the pool until the abandoned ones time out.
    """

    async def check():
        async with start_peer("hold", connections=1) as (peer, client):
            if kind == "stream":
                stream = client.open_stream("GET", peer.address, "/", idle_s=60)
                cancel_request = stream.abort
            else:
                task = asyncio.ensure_future(
                    client.fetch("GET", peer.address, "/", timeout_s=60)
                )
                cancel_request = task.cancel
            await peer.wait_for(lambda: peer.requests)
            cancel_request()
            next_stream = client.open_stream("GET", peer.address, "/", idle_s=60)
            await peer.wait_for(lambda: len(peer.requests) == 2 and peer.closed)
            assert peer.closed == [0]
            next_stream.abort()

    asyncio.run(check())


def test_stalled_event_loop_does_not_time_out_a_stream():
    """The event loop is blocked for longer than the idle timeout of a stream.

    When it continues, the timer has expired although the peer answers in time. A
    timeout would be reported as MAY_HAVE_RUN, which the caller may not retry.
    """

    async def check():
        async with start_peer("answer_later") as (peer, client):
            stream = client.open_stream("GET", peer.address, "/", idle_s=0.8)
            reading = asyncio.ensure_future(stream.read_lines())
            await peer.wait_for(lambda: peer.requests)
            time.sleep(1.2)
            assert await reading == [b"ok"]

    asyncio.run(check())


def test_stream_without_data_times_out():
    """The peer accepts a request and never answers."""

    async def check():
        async with start_peer("hold") as (peer, client):
            stream = client.open_stream("GET", peer.address, "/", idle_s=0.4)
            with pytest.raises(http_client.TransportError) as caught:
                await stream.read_lines()
            assert caught.value.stalled
            assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN

    asyncio.run(check())


def test_request_queued_for_a_connection_times_out():
    """All connections of the pool are in use and are not released.

    The timeout of a request includes the time that it waits for a connection.
    """

    async def check():
        async with start_peer("hold", connections=1) as (peer, client):
            stream = client.open_stream("GET", peer.address, "/", idle_s=60)
            await peer.wait_for(lambda: peer.requests)
            error = await fetch_error(client, peer.address, timeout_s=0.1)
            assert error.verdict is verdict.Verdict.NOT_RUN
            assert client.peak_queued == 1
            stream.abort()
            assert peer.requests == [0]

    asyncio.run(check())


def test_distrusted_connections_are_not_reused():
    """A network device drops the state of all connections between two hosts.

    After the first timeout the client must not reuse any other connection that was
    open at that time, since each would cost one more request its timeout.
    """

    async def check():
        async with start_peer("answer") as (peer, client):
            fetches = [client.fetch("GET", peer.address, "/") for _ in range(3)]
            await asyncio.gather(*fetches)
            client.retire_connections(peer.address)
            first_new_connection = peer.opened
            started_at = time.monotonic()
            while time.monotonic() - started_at < REUSE_CHECK_S:
                count = len(peer.requests)
                await client.fetch("GET", peer.address, "/")
                assert min(peer.requests[count:]) >= first_new_connection
                await asyncio.sleep(0.02)

    asyncio.run(check())


@pytest.mark.parametrize("as_stream", [False, True])
@pytest.mark.parametrize("head", [b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/1.1 200 OK\r\n"])
def test_answer_without_end_is_given_up(head, as_stream):
    # All of it would be held in memory for as long as it comes.
    closed = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head)
        with contextlib.suppress(OSError):
            while True:
                writer.write(b"A: b\r\n" * 5000)
                await writer.drain()
        closed.set()
        writer.close()

    async def check():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = http_client.Client(max_body_bytes=1 << 20)
        await client.start()
        with pytest.raises(http_client.TransportError) as caught:
            if as_stream:
                stream = client.open_stream("GET", address, "/", timeout_s=60.0)
                await stream.read_response()
            else:
                await client.fetch("GET", address, "/", timeout_s=60.0)
        assert caught.value.verdict == verdict.Verdict.MAY_HAVE_RUN
        assert not caught.value.timed_out
        await asyncio.wait_for(closed.wait(), 20)
        await client.close()
        server.close()

    asyncio.run(check())
