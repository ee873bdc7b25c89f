import asyncio
import socket

from tornado import httputil

from pimentowick.fakes import platform_site
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
