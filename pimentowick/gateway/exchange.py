"""HTTP server for callers: a request and its response, limits and timeouts."""

import asyncio
import contextlib
import socket
import time
import urllib.parse

import orjson
from loguru import logger
from tornado import httputil, iostream, netutil

from pimentowick import exception, response_head, verdict
from pimentowick.gateway import (
    caller_connections,
    decision_log,
    held_bytes,
    refusals,
    request_reader,
    route,
    traffic,
)
from pimentowick.gateway.policy import memory_budget
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
# Time for a request to arrive on an idle connection before a stopping server closes
# it: a round trip to the caller and an iteration of a busy event loop.
IDLE_GRACE_S = 0.25
# Reason phrases that tornado lacks.
REASON_PHRASES = {421: "Misdirected Request"}
UNAUTHORIZED = 401
# Larger bodies are written apart from the headers, so that they are not copied.
LARGE_BODY_BYTES = 65_536


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
        read_at: Monotonic time at which the body was read to its end; until then that
            of the headers.
        started: Whether the headers of the response are sent.
        finished: Whether the response is complete or aborted.
        is_read: Whether the request has been read to its end.
        account: The `memory_budget.Account` of what is held for it.
    """

    def __init__(self, connection, start_line, headers, server):
        self.method = start_line.method
        self.uri = start_line.path
        self.path, _, query = start_line.path.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = b""
        self.limit_refusal = None
        self.sent_refusal = None
        self.workspace = None
        self.received_at = self.read_at = time.monotonic()
        self.started = False
        self.finished = False
        self.is_read = False
        self.account = server.held.open(connection.context.address[0])
        self._connection = connection
        self._server = server
        self._held = server.held

    @property
    def host(self):
        """Value of the Host header, or ""."""
        return self.headers.get("Host", "")

    @property
    def request_id(self):
        """Identifier of the request, or ""."""
        return self.headers.get(message.REQUEST_ID, "")

    @property
    def _has_no_body(self):
        """Whether the response consists of its head alone."""
        return self.method == "HEAD"

    def count_unread(self):
        """Return how many bytes were written that the kernel has not taken yet."""
        stream = self._connection.stream
        # Tornado has no public way to tell how much is buffered.
        return 0 if stream is None or stream.closed() else len(stream._write_buffer)

    def count_sent(self):
        """Return how many bytes of its connection the kernel has taken."""
        return self._connection.stream._total_write_done_index

    async def start(self, status, headers, chunk=None):
        """Send status and headers of the response, and optionally part of its body.

        Raises:
            ValueError: They are not those of a response.
        """
        _check_response(status, headers)
        self.started = True
        if self._has_no_body:
            chunk = None
        if self._server.is_closing():
            headers["Connection"] = "close"
        reason = REASON_PHRASES.get(status) or httputil.responses.get(status, "Unknown")
        line = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        if self._connection.stream is not None:
            # Nagle's algorithm would delay each small event until the previous one is
            # acknowledged.
            self._connection.stream.set_nodelay(True)
        self._server.traffic.sent += len(chunk or b"")
        is_limited = self._held.budget.is_limited
        if is_limited and chunk is not None and len(chunk) > LARGE_BODY_BYTES:
            self._connection.write_headers(line, headers)
            await self._pass_on(self._connection.write(chunk))
            return
        await self._pass_on(self._connection.write_headers(line, headers, chunk))

    async def write(self, chunk):
        """Send part of the response body."""
        if self._has_no_body:
            return
        self._server.traffic.sent += len(chunk)
        await self._pass_on(self._connection.write(chunk))

    async def _pass_on(self, written):
        """Wait until the kernel has taken what was written, if it must not be held.

        Args:
            written: Future of the write.
        """
        if not self._held.budget.is_limited or not self.count_unread():
            await written
        elif self._held.update_unread(self):
            await self._flush()

    async def _flush(self):
        # The future of an earlier write is not resolved once another one follows.
        await self._connection.stream.write(b"")

    def release_body(self):
        """Discard the body of the request, which is answered."""
        self.body = b""
        self.account.release_body(time.monotonic())

    async def wait_until_read(self):
        """Wait until the kernel has taken the whole response, if memory is limited.

        Raises:
            StreamClosedError: The connection was closed before.
        """
        if self._held.budget.is_limited and self.count_unread():
            self._held.update_unread(self)
            await self._flush()

    async def wait_for_room(self):
        """Wait until more of the response may be held."""
        await self._held.wait_for_room(self.account)

    def finish(self):
        """Complete the response."""
        self.finished = True
        self._connection.set_close_callback(None)
        if self.is_read:
            self._connection.finish()

    def end_request(self):
        """Complete a response that was sent before the request was read."""
        self.is_read = True
        if self.finished:
            self._connection.finish()

    @property
    def is_caller_connected(self):
        """Whether the caller's connection is open."""
        stream = self._connection.stream
        return stream is not None and not stream.closed()

    def disconnect(self):
        """Close the connection as if the caller had closed it."""
        self._connection.stream.close()

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


class Server(httputil.HTTPServerConnectionDelegate):
    """An HTTP server for one address.

    Args:
        address: ``IP:port``.
        handle: Coroutine function that answers an `Exchange`.
        get_limits: Function that returns the `route.Limits` in force.
        on_refused: Function called with each `Exchange` that was refused.
        find_rank: Function that returns the `memory_budget.Rank` of an `Exchange`.

    Attributes:
        active_requests: Number of requests being answered.
        connections: The `caller_connections.CallerConnections`.
        held: The `held_bytes.HeldBytes` of its callers.
        traffic: The `traffic.Traffic` that it counts.
    """

    def __init__(
        self,
        address,
        handle,
        get_limits=route.Limits,
        on_refused=lambda exchange: None,
        find_rank=lambda exchange: memory_budget.Rank.ORDINARY,
    ):
        self.get_limits = get_limits
        self.connections = caller_connections.CallerConnections(
            lambda: self.get_limits().idle_timeout_s
        )
        self.held = held_bytes.HeldBytes()
        self.traffic = traffic.Traffic()
        self._find_rank = find_rank
        self._on_refused = on_refused
        self._ip, _, port = address.rpartition(":")
        self._port = int(port)
        self._handle = handle
        self._server = None
        self._closing = False
        self._closes_idle = False
        self._gives_up = False
        # `asyncio.Timeout` of each request being answered.
        self._timers = set()
        self._idle = set()
        # Connections with a request, from the end of its headers to that of its answer.
        self._busy = set()
        self.active_requests = 0

    @property
    def has_unfinished_requests(self):
        """Whether a request is being read or answered, or may still arrive."""
        is_open = self._closes_idle and self._idle
        return bool(self._busy or self.active_requests or is_open)

    def is_closing(self):
        """Return whether connections are closed after their next response."""
        return self._closing

    async def start(self):
        """Bind the address and accept connections."""
        sockets = netutil.bind_sockets(self._port, self._ip, backlog=1024)
        self._server = caller_connections.AcceptingServer(
            self,
            max_header_size=MAX_READ_HEADER_BYTES,
            max_body_size=MAX_READ_BODY_BYTES,
            body_timeout=BODY_TIMEOUT_S,
        )
        self._server.add_sockets(sockets)

    def close_after_response(self):
        """Close each connection after its next response."""
        self._closing = True

    def give_up_requests(self):
        """Refuse the requests without a response; the process is about to end."""
        self._gives_up = True
        for timer in self._timers:
            if not timer.expired():
                timer.reschedule(asyncio.get_running_loop().time())

    async def stop_listening(self):
        """Stop accepting connections, and close idle ones from now on.

        A request sent while its connection closes is not read; the caller sees the
        close and knows that it did not run.
        """
        self._server.stop()
        self._closes_idle = True
        for connection in self._idle:
            self._close_if_idle_later(connection)
        # Connections accepted by the kernel may hold requests that are not read yet.
        await asyncio.sleep(IDLE_GRACE_S)

    def _close_if_idle_later(self, connection):
        asyncio.get_running_loop().call_later(
            IDLE_GRACE_S, self._close_if_idle, connection
        )

    def _close_if_idle(self, connection):
        """Close a connection unless a request has arrived on it or is arriving."""
        if connection not in self._idle:
            return
        if _may_hold_request(connection.stream):
            self._close_if_idle_later(connection)
            return
        connection.stream.close()

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

    def make_exchange(self, connection, start_line, headers):
        """Return the `Exchange` for a request whose headers have arrived."""
        return Exchange(connection, start_line, headers, self)

    def refuse_body(self, exchange, size):
        """Return the refusal if more of a body must not be held, or None."""
        if self.held.budget.is_limited:
            return self.held.refuse_body(exchange, size, self._find_rank(exchange))
        return None

    def start_request(self, server_conn, request_conn):
        """Return a reader; see `tornado.httputil.HTTPServerConnectionDelegate`."""
        self._idle.add(server_conn)
        self._busy.discard(server_conn)
        self.connections.mark_idle(server_conn)
        if self._closes_idle:
            self._close_if_idle_later(server_conn)
        # Shared by all connections; tornado reads it before each request.
        self._server.conn_params.header_timeout = self.get_limits().idle_timeout_s
        return request_reader.RequestReader(self, server_conn, request_conn)

    def on_request_started(self, server_conn):
        """Mark a connection as busy once the headers of a request are complete."""
        self._idle.discard(server_conn)
        self._busy.add(server_conn)
        self.connections.mark_busy(server_conn)

    def on_close(self, server_conn):
        """Forget a closed connection."""
        self._idle.discard(server_conn)
        self._busy.discard(server_conn)
        self.connections.remove(server_conn)

    async def serve(self, exchange):
        """Answer one request; refuse it or abort the response on an error."""
        self.active_requests += 1
        cause = "unfinished"
        try:
            if exchange.limit_refusal is not None:
                raise exception.RefusedError(exchange.limit_refusal)
            await self._handle_in_time(exchange)
            exchange.release_body()
            await exchange.wait_until_read()
        except iostream.StreamClosedError:
            cause = "stream_closed"
        except asyncio.CancelledError:
            cause = "cancelled"
            raise
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
                _log_unanswered(exchange, cause)
                exchange.abort()
            self.held.close(exchange)

    async def _handle_in_time(self, exchange):
        """Answer a request, or refuse it before the process ends."""
        timer = asyncio.timeout(0 if self._gives_up else None)
        try:
            async with timer:
                self._timers.add(timer)
                await self._handle(exchange)
        except TimeoutError:
            if not timer.expired():
                raise
            raise exception.RefusedError(refusals.UNFINISHED) from None
        finally:
            self._timers.discard(timer)

    async def refuse_early(self, exchange, refusal):
        """Refuse a request before its body is read; the rest of it is discarded."""
        with contextlib.suppress(iostream.StreamClosedError):
            await exchange.refuse(refusal)
        self._on_refused(exchange)
        self.held.close(exchange)

    async def _refuse_or_abort(self, exchange, refusal):
        if exchange.started:
            _log_unanswered(exchange, refusal.code)
            exchange.abort()
            return
        with contextlib.suppress(iostream.StreamClosedError):
            await exchange.refuse(refusal)


def _log_unanswered(exchange, cause):
    """Log that a connection is closed without a complete response.

    A caller that has left closed the connection itself.
    """
    if exchange.is_caller_connected:
        decision_log.log_request_event(
            "caller.unanswered",
            exchange.request_id,
            outcome=cause,
            path=exchange.path,
            is_started=exchange.started,
            took_s=time.monotonic() - exchange.received_at,
        )


def _check_response(status, headers):
    """Raise a `ValueError` if a status or a field is not one of the protocol."""
    if not response_head.is_final(status):
        raise ValueError(f"{status} is not the status of a final response.")
    if "Transfer-Encoding" in headers:
        raise ValueError("The server chooses the framing.")
    checked = httputil.HTTPHeaders()
    try:
        for name, value in headers.get_all():
            checked.add(name, value)
    except httputil.HTTPInputError as error:
        raise ValueError(str(error)) from error


def _may_hold_request(stream):
    """Return whether bytes of a request have arrived on an idle connection."""
    if stream.closed():
        return False
    if caller_connections.has_arrived(stream):
        return True
    # Tornado has no public way to tell how much is buffered.
    if stream._read_buffer_size:
        return True
    try:
        return bool(stream.socket.recv(1, socket.MSG_PEEK))
    except OSError:
        return False
