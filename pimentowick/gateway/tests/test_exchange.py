import asyncio
import socket
import time

import pytest
from tornado import httputil

from pimentowick import exception
from pimentowick.fakes import platform_site, wait
from pimentowick.gateway import exchange, refusals, route

REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"


def test_requests_that_wait_as_the_listener_closes_are_answered():
    # Requests on accepted connections must be answered completely when the listener
    # closes: if a connection closed after its request was handled, the caller could not
    # tell whether it ran.
    async def run():
        address = f"127.0.0.1:{platform_site.find_free_port()}"

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


@pytest.mark.parametrize("iterations", range(10))
def test_request_on_a_connection_that_was_closed_is_not_passed_on(iterations):
    # Idle connections are closed a few event loop iterations after the last byte of a
    # request arrived. The request must not be handled, since its caller sees a
    # connection that was closed before the request was read.
    async def run():
        address = f"127.0.0.1:{platform_site.find_free_port()}"
        handled = []

        async def answer(request):
            handled.append(request)
            await request.answer(200, httputil.HTTPHeaders(), request.body)

        server = exchange.Server(address, answer)
        await server.start()
        loop = asyncio.get_running_loop()
        sock = socket.create_connection(("127.0.0.1", server._port))
        sock.setblocking(False)
        await wait.wait_for(lambda: server._idle, 5, 0.005)
        await loop.sock_sendall(sock, REQUEST)
        for _ in range(iterations):
            await asyncio.sleep(0)
        server.close_idle()
        try:
            data = await asyncio.wait_for(loop.sock_recv(sock, 4096), 10)
        except ConnectionResetError:
            # The connection was closed before any byte was read.
            data = b""
        assert data.endswith(b"hi") == bool(handled)
        sock.close()
        await server.close()

    asyncio.run(run())


@pytest.mark.parametrize("sent", [REQUEST, b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"])
def test_request_that_arrives_during_a_stall_of_a_stopping_process_is_answered(sent):
    # Its bytes are read in the iteration of the event loop in which the timer ends that
    # closes idle connections; the connection was closed without an answer.
    async def run():
        address = f"127.0.0.1:{platform_site.find_free_port()}"

        async def answer(request):
            await request.answer(200, httputil.HTTPHeaders(), request.body)

        server = exchange.Server(address, answer)
        await server.start()
        loop = asyncio.get_running_loop()
        sock = socket.create_connection(("127.0.0.1", server._port))
        sock.setblocking(False)
        await wait.wait_for(lambda: server._idle, 5, 0.005)
        stopping = asyncio.create_task(server.stop_listening())
        await asyncio.sleep(0)
        sock.send(sent)
        time.sleep(2 * exchange.IDLE_GRACE_S)
        data = await asyncio.wait_for(loop.sock_recv(sock, 4096), 10)
        assert data.startswith(b"HTTP/1.1 200 ")
        await stopping
        sock.close()
        await server.close()

    asyncio.run(run())


def test_head_requests_are_answered_without_a_body():
    # Guards against a connection that is closed without an answer, as the response to
    # a HEAD request has a body.
    async def run():
        address = f"127.0.0.1:{platform_site.find_free_port()}"

        async def answer(request):
            if request.path == "/refused":
                raise exception.RefusedError(refusals.STOPPING)
            await request.start(200, httputil.HTTPHeaders(), b"first")
            await request.write(b"second")
            request.finish()

        server = exchange.Server(address, answer)
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server._port)
        for path, status in (("/refused", 503), ("/streamed", 200), ("/refused", 503)):
            writer.write(f"HEAD {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
            async with asyncio.timeout(10):
                first_line = await reader.readline()
                assert first_line.startswith(b"HTTP/1.1 %d " % status)
                while await reader.readline() != b"\r\n":
                    pass
        writer.write_eof()
        async with asyncio.timeout(10):
            assert await reader.read() == b""
        writer.close()
        await server.close()

    asyncio.run(run())


def test_connections_without_a_request_are_closed():
    async def run():
        address = f"127.0.0.1:{platform_site.find_free_port()}"
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


SMALL_LIMITS = route.Limits(header_bytes=500, body_bytes=1000, idle_timeout_s=60)
SHORT_TIMEOUTS = route.Limits(header_timeout_s=0.3, idle_timeout_s=0.6)


def run_server(check, limits=SMALL_LIMITS):
    async def run():
        handled = []

        async def answer(request):
            handled.append(request)
            await request.answer(200, httputil.HTTPHeaders(), request.body)

        address = f"127.0.0.1:{platform_site.find_free_port()}"
        server = exchange.Server(address, answer, lambda: limits)
        await server.start()
        watch = asyncio.create_task(server.close_slow_connections())
        reader, writer = await asyncio.open_connection("127.0.0.1", server._port)
        try:
            async with asyncio.timeout(20):
                await check(reader, writer, handled)
        finally:
            watch.cancel()
            writer.close()
            await server.close()

    asyncio.run(run())


def encode_chunked(*chunks):
    parts = [f"{len(each):x}\r\n".encode() + each + b"\r\n" for each in chunks]
    return b"".join(parts) + b"0\r\n\r\n"


BIG = b"x" * 600
LONG_BODY = b"Content-Length: 1200\r\n\r\n" + 2 * BIG
LONG_CHUNKED_BODY = b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunked(BIG, BIG)


@pytest.mark.parametrize(
    ("rest", "status"),
    [
        (b"X-Long: " + BIG + b"\r\nContent-Length: 2\r\n\r\nhi", b"431"),
        (LONG_BODY, b"413"),
        (LONG_CHUNKED_BODY, b"413"),
    ],
)
def test_request_beyond_the_limits_is_refused_and_not_passed_on(rest, status):
    # The refusal must arrive although the client is still sending, and the next request
    # on the connection must be served.
    async def check(reader, writer, handled):
        writer.write(b"POST /x HTTP/1.1\r\nHost: h\r\n" + rest)
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.split()[1] == status
        length = int(head.lower().partition(b"content-length: ")[2].split()[0])
        assert b'"not_run"' in await reader.readexactly(length)
        assert not handled
        writer.write(REQUEST)
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.split()[1] == b"200"
        assert len(handled) == 1

    run_server(check)


@pytest.mark.parametrize("sent", [b"", b"POST /x HT", b"POST /x HTTP/1.1\r\nHo"])
def test_connection_that_stays_idle_or_is_slow_with_its_headers_is_closed(sent):
    # Clients that stall or send slowly would otherwise hold connections indefinitely.
    async def check(reader, writer, handled):
        writer.write(sent)
        assert await reader.read() == b""
        assert not handled

    run_server(check, SHORT_TIMEOUTS)


@pytest.mark.parametrize(
    "rest",
    [
        b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi!",
        b"Content-Length: 2, 3\r\n\r\nhi!",
        b"Content-Length: +2\r\n\r\nhi",
        b"Content-Length: -2\r\n\r\n",
        b"Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n",
        b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        b"Content-Length : 2\r\n\r\nhi",
        b"X: a\rContent-Length: 2\r\n\r\nhi",
        b"Transfer-Encoding: chunked\r\n\r\n2;\nhi\r\n0\r\n\r\n",
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nhixx\r\n0\r\n\r\n",
    ],
)
def test_ambiguous_framing_is_refused(rest):
    # Request smuggling: a target could see another end of the body and treat the bytes
    # after it as the request of another client.
    async def check(reader, writer, handled):
        writer.write(b"POST /x HTTP/1.1\r\nHost: h\r\n" + rest)
        answer = await reader.read()
        assert answer == b"" or answer.split()[1] == b"400"
        assert not handled

    run_server(check)


def test_chunked_body_is_joined_and_requests_follow_each_other():
    async def check(reader, writer, handled):
        body = encode_chunked(b"he", b"llo")
        head = b"POST /x?a=%20b&c HTTP/1.1\r\nHost: h\r\nX-Other: y; z\r\n"
        writer.write((head + b"Transfer-Encoding: chunked\r\n\r\n" + body) * 2)
        for _ in range(2):
            await reader.readuntil(b"\r\n\r\n")
            assert await reader.readexactly(5) == b"hello"
        assert [each.uri for each in handled] == ["/x?a=%20b&c"] * 2
        assert handled[0].headers["X-Other"] == "y; z"

    run_server(check)


@pytest.mark.parametrize(
    ("status", "name", "value"),
    [
        (0, "X-Odd", "1"),
        (99, "X-Odd", "1"),
        (101, "X-Odd", "1"),
        (600, "X-Odd", "1"),
        (200, "X Odd", "1"),
        (200, "", "1"),
        (200, "X-Odd\x01", "1"),
        (200, "X-Odd", "1\r\nX-Other: 1"),
        (200, "X-Odd", "\x00"),
        (200, "Transfer-Encoding", "chunked"),
    ],
)
def test_response_that_is_none_leaves_no_server(status, name, value):
    # Callers would get what a reader of answers has missed.
    async def run():
        address = f"127.0.0.1:{platform_site.find_free_port()}"

        async def answer(request):
            headers = httputil.HTTPHeaders()
            headers[name] = value
            await request.answer(status, headers, request.body)

        server = exchange.Server(address, answer)
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server._port)
        writer.write(REQUEST)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
        assert head.startswith(b"HTTP/1.1 500 ")
        assert b"Odd" not in head
        writer.close()
        await server.close()

    asyncio.run(run())
