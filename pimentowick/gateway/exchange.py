"""HTTP server for callers: a request and its response, limits and timeouts."""

import asyncio
import contextlib
import time
import urllib.parse

import orjson
from loguru import logger
from tornado import httputil, iostream, netutil

from pimentowick import exception, verdict, web
from pimentowick.gateway import decision_log, route
from pimentowick.platform import message

__all__ = ["Exchange", "Server"]

# A request beyond these closes the connection without a response. A request between
# the configured limits and these is read and discarded, so that the caller receives
# the refusal.
MAX_READ_HEADER_BYTES = 131_072
MAX_READ_BODY_BYTES = 33_554_432
BODY_TIMEOUT_S = 30
# Interval of the check for slow headers, well below the configured header timeout.
SLOW_CHECK_INTERVAL_S = 0.25
# Time for requests to arrive on accepted connections after the listener closes: a
# round trip to the caller and an iteration of a busy event loop.
ACCEPTED_GRACE_S = 0.25
# Reason phrases that tornado lacks.
REASON_PHRASES = {421: "Misdirected Request"}
UNAUTHORIZED = 401


class Exchange:
    """One request of a caller and its response.

    Attributes:
        method: HTTP method.
        uri: Path and query as received.
        path: Path without the query.
        query: Arguments of the query by name; the last value of a repeated one.
        headers: `tornado.httputil.HTTPHeaders`.
        body: The complete body.
        limit_refusal: The `verdict.Refusal` of a request beyond the limits, or None.
        sent_refusal: The `verdict.Refusal` that it was answered with, or None.
        workspace: Name of the caller's workspace, or None if unknown.
        received_at: Monotonic time at which the headers were read.
        started: Whether the headers of the response are sent.
        finished: Whether the response is complete or aborted.
    """

    def __init__(self, connection, start_line, headers, is_closing):
        self.method = start_line.method
        self.uri = start_line.path
        self.path, _, query = start_line.path.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = b""
        self.limit_refusal = None
        self.sent_refusal = None
        self.workspace = None
        self.received_at = time.monotonic()
        self.started = False
        self.finished = False
        self._connection = connection
        self._is_closing = is_closing

    @property
    def host(self):
        """Value of the Host header, or ""."""
        return self.headers.get("Host", "")

    async def start(self, status, headers, chunk=None):
        """Send status and headers of the response, and optionally part of its body."""
        self.started = True
        if self._is_closing():
            headers["Connection"] = "close"
        reason = REASON_PHRASES.get(status) or httputil.responses.get(status, "Unknown")
        line = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        if self._connection.stream is not None:
            # Nagle's algorithm would delay each small event until the previous one is
            # acknowledged.
            self._connection.stream.set_nodelay(True)
        await self._connection.write_headers(line, headers, chunk)

    async def write(self, chunk):
        """Send part of the response body."""
        await self._connection.write(chunk)

    def finish(self):
        """Complete the response."""
        self.finished = True
        self._connection.set_close_callback(None)
        self._connection.finish()

    def abort(self):
        """Close the connection, so that the caller sees a truncated response."""
        self.finished = True
        self._connection.set_close_callback(None)
        self._connection.close()

    async def answer(self, status, headers, body=b""):
        """Send a complete response."""
        headers["Content-Length"] = str(len(body))
        await self.start(status, headers, body or None)
        self.finish()

    async def answer_json(self, data, status=200):
        """Send a complete JSON response, given as data or as encoded bytes."""
        body = data if isinstance(data, bytes) else orjson.dumps(data)
        headers = httputil.HTTPHeaders({"Content-Type": "application/json"})
        await self.answer(status, headers, body)

    async def refuse(self, refusal):
        """Send a `pimentowick.verdict.Refusal` as a complete response."""
        self.sent_refusal = refusal
        headers = httputil.HTTPHeaders({"Content-Type": "application/json"})
        if refusal.retry_after is not None:
            # Fractions of a second are kept: online deadlines are a few seconds.
            headers["Retry-After"] = f"{refusal.retry_after:.2f}"
        if refusal.status == UNAUTHORIZED:
            headers["WWW-Authenticate"] = message.SCHEME
        await self.answer(refusal.status, headers, orjson.dumps(refusal.to_dict()))


class _RequestReader(httputil.HTTPMessageDelegate):
    """Reads one request and starts the task that answers it."""

    def __init__(self, server, server_connection, connection):
        self._server = server
        self._server_connection = server_connection
        self._connection = connection
        self._exchange = None
        self._chunks = []
        self._received = 0
        self._limits = server.get_limits()
        self._limit_refusal = None

    def headers_received(self, start_line, headers):
        self._server.on_request_started(self._server_connection)
        self._exchange = Exchange(
            self._connection, start_line, headers, self._server.is_closing
        )
        if _count_bytes(start_line, headers) > self._limits.header_bytes:
            self._limit_refusal = verdict.Refusal(
                431, "headers_too_large", "The headers are too long. Shorten them."
            )
        length = headers.get("Content-Length", "")
        if length.isdecimal():
            self._check_body(int(length))

    def _check_body(self, size):
        if size > self._limits.body_bytes and self._limit_refusal is None:
            self._chunks.clear()
            self._limit_refusal = verdict.Refusal(
                413, "too_large", "The body is larger than this entry takes. Split it."
            )

    def data_received(self, chunk):
        self._received += len(chunk)
        self._check_body(self._received)
        if self._limit_refusal is None:
            self._chunks.append(chunk)

    def finish(self):
        self._exchange.body = b"".join(self._chunks)
        self._exchange.limit_refusal = self._limit_refusal
        self._chunks.clear()
        if self._connection.stream is None or self._connection.stream.closed():
            # The connection was closed while the last bytes were being processed. The
            # caller takes the request for unread, so it must not run.
            return
        task = asyncio.create_task(self._server.serve(self._exchange))
        # Cancels the request when the caller disconnects.
        self._connection.set_close_callback(task.cancel)

    def on_connection_close(self):
        self._chunks.clear()


def _count_bytes(start_line, headers):
    """Return the size of the request line and headers on the wire."""
    line = len(start_line.method) + len(start_line.path) + len(start_line.version) + 4
    return line + sum(len(name) + len(text) + 4 for name, text in headers.get_all())


class Server(httputil.HTTPServerConnectionDelegate):
    """An HTTP server for one address.

    Args:
        address: ``IP:port``.
        handle: Coroutine function that answers an `Exchange`.
        get_limits: Function that returns the `route.Limits` in force.
        on_refused: Function called with each `Exchange` that was refused.

    Attributes:
        active_requests: Number of requests being answered.
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
        self.active_requests = 0

    def is_closing(self):
        """Return whether connections are closed after their next response."""
        return self._closing

    async def start(self):
        """Bind the address and accept connections."""
        sockets = netutil.bind_sockets(self._port, self._ip, backlog=1024)
        self._server = web.DrainingServer(
            self,
            max_header_size=MAX_READ_HEADER_BYTES,
            max_body_size=MAX_READ_BODY_BYTES,
            body_timeout=BODY_TIMEOUT_S,
        )
        self._server.add_sockets(sockets)

    def close_after_response(self):
        """Close each connection after its next response."""
        self._closing = True

    async def stop_listening(self):
        """Stop accepting connections and close the idle ones.

        A request sent while its connection closes is not read; the caller sees the
        close and knows that it did not run.
        """
        self._server.stop()
        # Connections accepted by the kernel may hold requests that are not read yet.
        await asyncio.sleep(ACCEPTED_GRACE_S)
        self.close_idle()

    async def close_slow_connections(self):
        """Close connections that exceed the header timeout, until cancelled.

        A client that sends its headers byte by byte would hold a connection and its
        memory indefinitely.
        """
        partial_since = {}
        while True:
            await asyncio.sleep(SLOW_CHECK_INTERVAL_S)
            now = time.monotonic()
            limit_s = self.get_limits().header_timeout_s
            # Tornado has no public way to tell whether part of a request arrived.
            partial = [conn for conn in self._idle if conn.stream._read_buffer_size]
            partial_since = {conn: partial_since.get(conn, now) for conn in partial}
            for connection, since in partial_since.items():
                if now - since > limit_s:
                    decision_log.log_event("caller.slow", waited_s=now - since)
                    connection.stream.close()

    def close_idle(self):
        """Close the connections without a request whose headers are complete."""
        for connection in list(self._idle):
            connection.stream.close()

    async def close(self):
        """Close all connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
            self._server = None

    def start_request(self, server_conn, request_conn):
        """Return a reader; see `tornado.httputil.HTTPServerConnectionDelegate`."""
        self._idle.add(server_conn)
        # Shared by all connections; tornado reads it before each request.
        self._server.conn_params.header_timeout = self.get_limits().idle_timeout_s
        return _RequestReader(self, server_conn, request_conn)

    def on_request_started(self, server_conn):
        """Mark a connection as busy once the headers of a request are complete."""
        self._idle.discard(server_conn)

    def on_close(self, server_conn):
        """Remove a closed connection from the idle ones."""
        self._idle.discard(server_conn)

    async def serve(self, exchange):
        """Answer one request; refuse it or abort the response on an error."""
        self.active_requests += 1
        try:
            if exchange.limit_refusal is not None:
                raise exception.RefusedError(exchange.limit_refusal)
            await self._handle(exchange)
        except iostream.StreamClosedError:
            pass
        except exception.RefusedError as error:
            await self._refuse_or_abort(exchange, error.refusal)
        except Exception:
            logger.exception(
                "Unhandled error while answering a {} request.", exchange.method
            )
            refusal = verdict.Refusal(
                500,
                "internal",
                "An unexpected error.",
                verdict.Verdict.MAY_HAVE_RUN,
            )
            await self._refuse_or_abort(exchange, refusal)
        finally:
            self.active_requests -= 1
            if exchange.sent_refusal is not None:
                self._on_refused(exchange)
            if not exchange.finished:
                exchange.abort()

    async def _refuse_or_abort(self, exchange, refusal):
        if exchange.started:
            exchange.abort()
            return
        with contextlib.suppress(iostream.StreamClosedError):
            await exchange.refuse(refusal)
