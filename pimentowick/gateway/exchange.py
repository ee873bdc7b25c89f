"""The server towards callers: one request and the answer to it."""

import asyncio
import contextlib
import time
import urllib.parse

import orjson
from loguru import logger
from tornado import httputil, iostream, netutil

from pimentowick import exception, verdict, web
from pimentowick.gateway import decision, route
from pimentowick.platform import message

__all__ = ["Exchange", "Server"]

# Beyond these the connection ends without an answer; what lies between them and the
# configured limits is read and passed over, so that the refusal arrives.
PASSED_HEADER_BYTES = 131_072
PASSED_BODY_BYTES = 33_554_432
BODY_TIMEOUT_S = 30
# How often connections are looked at whose headers are under way: well below what the
# configuration allows for them.
SLOW_CHECK_S = 0.25
# How long a connection that was just taken has to bring its request: a round trip to
# callers, and a turn of a busy loop.
READ_S = 0.25
REASONS = {421: "Misdirected Request"}
UNAUTHORIZED = 401


class Exchange:
    """One request of a caller, and its answer.

    Attributes:
        method: HTTP method.
        uri: Path and query as they came.
        path: Path alone.
        query: First value of each argument of the query.
        headers: `tornado.httputil.HTTPHeaders`.
        body: The whole body.
        refusal: Why the request breaks a limit, a `verdict.Refusal`, or None.
        refused: The `verdict.Refusal` that it was answered with, or None.
        workspace: Name of the caller's workspace, or None if it isn't known.
        received_at: Monotonic time at which the headers were read.
        started: Whether the head of the answer is sent.
        finished: Whether the answer is sent or broken off.
    """

    def __init__(self, connection, start_line, headers, is_closing):
        self.method = start_line.method
        self.uri = start_line.path
        self.path, _, query = start_line.path.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = b""
        self.refusal = None
        self.refused = None
        self.workspace = None
        self.received_at = time.monotonic()
        self.started = False
        self.finished = False
        self._connection = connection
        self._is_closing = is_closing

    @property
    def host(self):
        """Host header, or ""."""
        return self.headers.get("Host", "")

    async def start(self, status, headers, chunk=None):
        """Send the head of the answer, and some of its body."""
        self.started = True
        if self._is_closing():
            headers["Connection"] = "close"
        reason = REASONS.get(status) or httputil.responses.get(status, "Unknown")
        line = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        if self._connection.stream is not None:
            # Events are small: each would wait for the receipt of the one before.
            self._connection.stream.set_nodelay(True)
        await self._connection.write_headers(line, headers, chunk)

    async def write(self, chunk):
        """Send some of the body."""
        await self._connection.write(chunk)

    def finish(self):
        """End the answer."""
        self.finished = True
        self._connection.set_close_callback(None)
        self._connection.finish()

    def abort(self):
        """Break the answer off, so that it does not look complete."""
        self.finished = True
        self._connection.set_close_callback(None)
        self._connection.close()

    async def answer(self, status, headers, body=b""):
        """Send a whole answer."""
        headers["Content-Length"] = str(len(body))
        await self.start(status, headers, body or None)
        self.finish()

    async def answer_json(self, data, status=200):
        """Send a whole answer of JSON, given as data or as bytes."""
        body = data if isinstance(data, bytes) else orjson.dumps(data)
        headers = httputil.HTTPHeaders({"Content-Type": "application/json"})
        await self.answer(status, headers, body)

    async def refuse(self, refusal):
        """Send a `pimentowick.verdict.Refusal`."""
        self.refused = refusal
        headers = httputil.HTTPHeaders({"Content-Type": "application/json"})
        if refusal.retry_after is not None:
            # The exact time: rounded up to whole seconds it would be most of what
            # an online caller has.
            headers["Retry-After"] = f"{refusal.retry_after:.2f}"
        if refusal.status == UNAUTHORIZED:
            headers["WWW-Authenticate"] = message.SCHEME
        await self.answer(refusal.status, headers, orjson.dumps(refusal.to_dict()))


class _Receiver(httputil.HTTPMessageDelegate):
    """Collects one request and starts the task that answers it."""

    def __init__(self, server, server_connection, connection):
        self._server = server
        self._server_connection = server_connection
        self._connection = connection
        self._exchange = None
        self._chunks = []
        self._received = 0
        self._limits = server.get_limits()
        self._refusal = None

    def headers_received(self, start_line, headers):
        self._server.on_request_started(self._server_connection)
        self._exchange = Exchange(
            self._connection, start_line, headers, self._server.is_closing
        )
        if _count_bytes(start_line, headers) > self._limits.header_bytes:
            self._refusal = verdict.Refusal(
                431, "headers_too_large", "The headers are too long. Shorten them."
            )
        length = headers.get("Content-Length", "")
        if length.isdecimal():
            self._check_body(int(length))

    def _check_body(self, size):
        if size > self._limits.body_bytes and self._refusal is None:
            self._chunks.clear()
            self._refusal = verdict.Refusal(
                413, "too_large", "The body is larger than this entry takes. Split it."
            )

    def data_received(self, chunk):
        self._received += len(chunk)
        self._check_body(self._received)
        if self._refusal is None:
            self._chunks.append(chunk)

    def finish(self):
        self._exchange.body = b"".join(self._chunks)
        self._exchange.refusal = self._refusal
        self._chunks.clear()
        if self._connection.stream is None or self._connection.stream.closed():
            # Closed while its last bytes waited for their turn: passed on now, the
            # request would run for a caller who was told that it was not read.
            return
        task = asyncio.create_task(self._server.serve(self._exchange))
        # The caller is gone: whatever is done for the request ends with its task.
        self._connection.set_close_callback(task.cancel)

    def on_connection_close(self):
        self._chunks.clear()


def _count_bytes(start_line, headers):
    """Return the length of a request's line and headers as they came."""
    line = len(start_line.method) + len(start_line.path) + len(start_line.version) + 4
    return line + sum(len(name) + len(text) + 4 for name, text in headers.get_all())


class Server(httputil.HTTPServerConnectionDelegate):
    """An HTTP server for one address.

    Args:
        address: ``IP:port``.
        handle: Coroutine function that answers an `Exchange`.
        get_limits: Function that returns the `route.Limits` in force.
        on_refused: Function that gets an `Exchange` that was refused.

    Attributes:
        busy: Number of requests that are not answered.
    """

    def __init__(
        self,
        address,
        handle,
        get_limits=route.Limits,
        on_refused=lambda exchange: None,
    ):
        self.get_limits = get_limits
        self._on_refused = on_refused
        self._ip, _, port = address.rpartition(":")
        self._port = int(port)
        self._handle = handle
        self._server = None
        self._closing = False
        self._idle = set()
        self.busy = 0

    def is_closing(self):
        """Return whether connections end with the answer under way."""
        return self._closing

    async def start(self):
        """Listen."""
        sockets = netutil.bind_sockets(self._port, self._ip, backlog=1024)
        self._server = web.DrainingServer(
            self,
            max_header_size=PASSED_HEADER_BYTES,
            max_body_size=PASSED_BODY_BYTES,
            body_timeout=BODY_TIMEOUT_S,
        )
        self._server.add_sockets(sockets)

    def close_connections(self):
        """End each connection with its next answer."""
        self._closing = True

    async def stop_listening(self):
        """Take no new connection, and close those on which no request is.

        A request that crosses the close was not read, and its caller knows that.
        """
        self._server.stop()
        # What the kernel had taken is not read yet: closed now, its request would
        # be lost half way through.
        await asyncio.sleep(READ_S)
        self.close_idle()

    async def close_slow(self):
        """Close connections whose headers take too long, until cancelled.

        A client that sends a byte now and then would hold a connection, and memory,
        for nothing.
        """
        begun_at = {}
        while True:
            await asyncio.sleep(SLOW_CHECK_S)
            now = time.monotonic()
            limit_s = self.get_limits().header_timeout_s
            # Tornado has no other way to ask whether part of a request is there.
            begun = [conn for conn in self._idle if conn.stream._read_buffer_size]
            begun_at = {conn: begun_at.get(conn, now) for conn in begun}
            for connection, at in begun_at.items():
                if now - at > limit_s:
                    decision.log_event("caller.slow", waited_s=now - at)
                    connection.stream.close()

    def close_idle(self):
        """Close the connections on which no request has begun to arrive."""
        for connection in list(self._idle):
            connection.stream.close()

    async def close(self):
        """Close all connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
            self._server = None

    def start_request(self, server_conn, request_conn):
        """Take a request; see `tornado.httputil.HTTPServerConnectionDelegate`."""
        self._idle.add(server_conn)
        # All connections share this object, and look at it before each request.
        self._server.conn_params.header_timeout = self.get_limits().idle_timeout_s
        return _Receiver(self, server_conn, request_conn)

    def on_request_started(self, server_conn):
        """Note that a request has begun to arrive on a connection."""
        self._idle.discard(server_conn)

    def on_close(self, server_conn):
        """Forget a connection."""
        self._idle.discard(server_conn)

    async def serve(self, exchange):
        """Answer one request, whatever happens."""
        self.busy += 1
        try:
            if exchange.refusal is not None:
                raise exception.RefusedError(exchange.refusal)
            await self._handle(exchange)
        except iostream.StreamClosedError:
            pass
        except exception.RefusedError as error:
            await self._refuse_late(exchange, error.refusal)
        except Exception:
            logger.exception("Answering {} failed.", exchange.method)
            refusal = verdict.Refusal(
                500,
                "internal",
                "An unexpected error.",
                verdict.Verdict.MAY_HAVE_RUN,
            )
            await self._refuse_late(exchange, refusal)
        finally:
            self.busy -= 1
            if exchange.refused is not None:
                self._on_refused(exchange)
            if not exchange.finished:
                exchange.abort()

    async def _refuse_late(self, exchange, refusal):
        if exchange.started:
            exchange.abort()
            return
        with contextlib.suppress(iostream.StreamClosedError):
            await exchange.refuse(refusal)
