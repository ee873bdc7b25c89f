import asyncio
import time

import pytest
from tornado import httputil

from pimentowick.gateway import connection_pool, pools, upstream
from pimentowick.gateway.policy import connection_share

RESPONSE = (
    b"HTTP/1.1 200 OK\r\nX-Pimentowick-Request-Id: r\r\n"
    b"X-Pimentowick-Server-Stamp: s\r\nKeep-Alive: timeout=10\r\n"
    b"Content-Length: 0\r\n\r\n"
)
REQUEST = upstream.Request("r", "GET", "/x", httputil.HTTPHeaders({"Host": "h"}), b"")
WAIT_S = 20.0


class IgnoringSink(upstream.Sink):
    """Discards the response."""

    async def on_headers(self, status, headers, answer):
        """Discard the headers."""

    async def on_chunk(self, chunk):
        """Discard a chunk."""


def run_with(policy, check):
    async def run():
        closed = asyncio.Event()

        async def respond(reader, writer):
            while await reader.readline() not in (b"\r\n", b""):
                pass
            writer.write(RESPONSE)
            await reader.read(1)
            closed.set()
            writer.close()

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = connection_pool.Pool("127.0.0.1", port, get_policy=lambda: policy)
        outcome = await pool.send(REQUEST, IgnoringSink())
        assert outcome.end == upstream.End.COMPLETE
        async with asyncio.timeout(WAIT_S):
            await check(pool, closed)
        pool.close()
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("policy", "idle_s"),
    [(connection_share.EvenShare(), 4.0), (connection_share.PeakShare(), 8.0)],
)
def test_idle_connection_is_closed_before_its_target_closes_it(policy, idle_s):
    # Guards against a connection that stays open until the target ends it.
    async def check(pool, closed):
        (connection,) = pool._idle
        assert idle_s - 2 < connection.idle_until - time.monotonic() <= idle_s
        pool.close_expired()
        assert pool.idle == 1
        connection.idle_until = time.monotonic()
        pool.close_expired()
        assert pool.open == 0
        await closed.wait()

    run_with(policy, check)


@pytest.mark.parametrize("has_shared_hosts", [False, True])
def test_connections_are_kept_by_use_only_on_shared_hosts(has_shared_hosts):
    # Guards against a change for services whose targets have hosts of their own.
    kept = pools.Pools(None, [], has_shared_hosts=lambda service: has_shared_hosts)
    policy = kept._choose_policy("service")
    assert isinstance(policy, connection_share.PeakShare) == has_shared_hosts
