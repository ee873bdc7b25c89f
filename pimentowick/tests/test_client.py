"""What the client says when an exchange fails, and what it leaves behind."""

import asyncio
import contextlib
import socket
import time

import pytest

from pimentowick import client as http_client
from pimentowick import verdict

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
LINE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n"
OLD_S = 2.3


class Peer:
    """A server whose test decides what each connection does with each request."""

    def __init__(self, *plan):
        self.plan = plan
        self.requests = []
        self.closed = []
        self.opened = 0

    async def serve(self, reader, writer):
        number = self.opened
        self.opened += 1
        served = 0
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests.append(number)
                action = self.plan[min(served, len(self.plan) - 1)]
                served += 1
                if action == "close":
                    break
                if action == "answer":
                    writer.write(ANSWER)
                if action == "answer_next_turns":
                    asyncio.get_running_loop().call_later(0.01, writer.write, LINE)
        self.closed.append(number)
        writer.close()

    async def wait_for(self, predicate):
        async with asyncio.timeout(10):
            while not predicate():
                await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def start_peer(*plan, connections=4):
    peer = Peer(*plan)
    server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
    peer.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    client = http_client.Client(connections)
    await client.start()
    try:
        yield peer, client
    finally:
        await client.close()
        server.close()


async def fail(client, address, **fields):
    with pytest.raises(http_client.TransportError) as caught:
        await client.fetch("GET", address, "/", **fields)
    return caught.value


def test_request_on_a_dead_pooled_connection_is_not_sent_again():
    """A peer reads a request on a connection that was used before and then dies.

    libcurl by itself sends such a request again on a new connection; a call that
    must not be repeated would run twice.
    """

    async def check():
        async with start_peer("answer", "close") as (peer, client):
            await client.fetch("GET", peer.address, "/")
            error = await fail(client, peer.address)
            assert error.verdict is verdict.Verdict.MAY_HAVE_RUN
            assert peer.requests == [0, 0]

    asyncio.run(check())


def test_peer_that_takes_no_connection_ran_nothing():
    """Nobody listens, or the listener's queue is full and connecting takes for ever.

    The caller should read that nothing ran, since it may then try anything again.
    """

    async def check():
        async with start_peer("answer") as (peer, client):
            with socket.socket() as closed:
                closed.bind(("127.0.0.1", 0))
                address = f"127.0.0.1:{closed.getsockname()[1]}"
                error = await fail(client, address)
                assert error.verdict is verdict.Verdict.NOT_RUN
                closed.listen(0)
                with contextlib.ExitStack() as stack:
                    for _ in range(3):
                        other = stack.enter_context(socket.socket())
                        other.setblocking(False)
                        other.connect_ex(closed.getsockname())
                    error = await fail(client, address, timeout_s=0.5)
                assert error.verdict is verdict.Verdict.NOT_RUN
            assert not peer.requests

    asyncio.run(check())


@pytest.mark.parametrize("kind", ["stream", "fetch"])
def test_abandoned_request_frees_its_handle_and_connection(kind):
    """Callers leave while the peer is silent, as many as the pool has handles.

    Those who come next would wait in the pool, unseen by every queue that is
    watched, until the abandoned requests reach their time limit.
    """

    async def check():
        async with start_peer("hold", connections=1) as (peer, client):
            if kind == "stream":
                stream = client.open_stream("GET", peer.address, "/", idle_s=60)
                leave = stream.abort
            else:
                task = asyncio.ensure_future(
                    client.fetch("GET", peer.address, "/", timeout_s=60)
                )
                leave = task.cancel
            await peer.wait_for(lambda: peer.requests)
            leave()
            following = client.open_stream("GET", peer.address, "/", idle_s=60)
            await peer.wait_for(lambda: len(peer.requests) == 2 and peer.closed)
            assert peer.closed == [0]
            following.abort()

    asyncio.run(check())


def test_own_standstill_is_not_taken_for_silence_of_the_peer():
    """The process that waits for a stream gets no processor time for a while.

    When it runs again its timer is due, though the peer has answered or is about to.
    Its caller would read that the target fell silent, and may not ask again.
    """

    async def check():
        async with start_peer("answer_next_turns") as (peer, client):
            stream = client.open_stream("GET", peer.address, "/", idle_s=0.8)
            reading = asyncio.ensure_future(stream.read_lines())
            await peer.wait_for(lambda: peer.requests)
            time.sleep(1.2)
            assert await reading == [b"ok"]

    asyncio.run(check())


def test_silence_of_the_peer_ends_a_stream():
    """A peer takes a request and never answers; its caller must not wait for ever."""

    async def check():
        async with start_peer("hold") as (peer, client):
            stream = client.open_stream("GET", peer.address, "/", idle_s=0.4)
            with pytest.raises(http_client.TransportError) as caught:
                await stream.read_lines()
            assert caught.value.stalled
            assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN

    asyncio.run(check())


def test_request_that_waits_for_a_handle_ends_at_its_time_limit():
    """All connections of a pool are in use and stay so.

    A request that waits for one has a time limit like any other; its caller would
    otherwise wait for as long as the others take.
    """

    async def check():
        async with start_peer("hold", connections=1) as (peer, client):
            stream = client.open_stream("GET", peer.address, "/", idle_s=60)
            await peer.wait_for(lambda: peer.requests)
            error = await fail(client, peer.address, timeout_s=0.1)
            assert error.verdict is verdict.Verdict.NOT_RUN
            assert client.peak_queued == 1
            stream.abort()
            assert peer.requests == [0]

    asyncio.run(check())


def test_connections_older_than_a_silent_one_are_not_used_again():
    """Something between two hosts forgets all their open connections at once.

    One request finds out by its silence. Each of the others would find out at its
    own cost if it took another one of the connections that were open then.
    """

    async def check():
        async with start_peer("answer") as (peer, client):
            fetches = [client.fetch("GET", peer.address, "/") for _ in range(3)]
            await asyncio.gather(*fetches)
            client.retire_connections(peer.address)
            old = peer.opened
            since = time.monotonic()
            while time.monotonic() - since < OLD_S:
                count = len(peer.requests)
                await client.fetch("GET", peer.address, "/")
                assert min(peer.requests[count:]) >= old
                await asyncio.sleep(0.02)

    asyncio.run(check())
