import asyncio
import socket

import pytest
from tornado import httputil

from pimentowick.fakes import platform_site, wait
from pimentowick.gateway import exchange

REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"


def test_requests_that_wait_as_the_listener_closes_are_answered():
    # A planned stop closes the listener while connections wait whose requests were
    # sent already, and others are being read. Each is answered whole: closed after
    # it was passed on, its caller could not know whether it ran.
    async def run():
        address = f"127.0.0.1:{platform_site.find_port()}"

        async def answer(request):
            await asyncio.sleep(0.05)
            await request.answer(200, httputil.HTTPHeaders(), request.body)

        server = exchange.Server(address, answer)
        await server.start()
        callers = []
        for _ in range(40):
            sock = socket.create_connection(("127.0.0.1", server._port))
            sock.sendall(REQUEST)
            sock.setblocking(False)
            callers.append(sock)
        await server.stop_listening()
        loop = asyncio.get_running_loop()
        for sock in callers:
            data = await asyncio.wait_for(loop.sock_recv(sock, 4096), 10)
            assert data.endswith(b"hi")
            sock.close()
        await server.close()

    asyncio.run(run())


@pytest.mark.parametrize("turns", range(10))
def test_request_on_a_connection_that_was_closed_is_not_passed_on(turns):
    # A planned stop closes idle connections while a request is being read, some turns
    # of the loop after its last byte came. Passed on, it would run although its
    # caller sees a connection that closed before it was read.
    async def run():
        address = f"127.0.0.1:{platform_site.find_port()}"
        passed_on = []

        async def answer(request):
            passed_on.append(request)
            await request.answer(200, httputil.HTTPHeaders(), request.body)

        server = exchange.Server(address, answer)
        await server.start()
        loop = asyncio.get_running_loop()
        sock = socket.create_connection(("127.0.0.1", server._port))
        sock.setblocking(False)
        await wait.wait_for(lambda: server._idle, 5, 0.005)
        await loop.sock_sendall(sock, REQUEST)
        for _ in range(turns):
            await asyncio.sleep(0)
        server.close_idle()
        try:
            data = await asyncio.wait_for(loop.sock_recv(sock, 4096), 10)
        except ConnectionResetError:
            # Closed before a byte was read.
            data = b""
        assert data.endswith(b"hi") == bool(passed_on)
        sock.close()
        await server.close()

    asyncio.run(run())


def test_connections_without_a_request_are_closed():
    async def run():
        address = f"127.0.0.1:{platform_site.find_port()}"
        server = exchange.Server(address, None)
        await server.start()
        sock = socket.create_connection(("127.0.0.1", server._port))
        sock.setblocking(False)
        await server.stop_listening()
        data = await asyncio.wait_for(
            asyncio.get_running_loop().sock_recv(sock, 10), 10
        )
        assert data == b""
        sock.close()
        await server.close()

    asyncio.run(run())
