"""HTTP server and base request handlers shared by the daemons."""

import asyncio
import time

import orjson
from loguru import logger
from tornado import httpserver, httputil, netutil, web

from pimentowick import exception, verdict

__all__ = [
    "DrainingServer",
    "JsonHandler",
    "Server",
    "UnknownPathHandler",
    "make_input_error",
]

MAX_HEADER_BYTES = 32_768
MAX_BODY_BYTES = 67_108_864
# Bodies above the size limit, up to this factor, are read and discarded so that the
# client receives the refusal; for larger ones the connection is closed.
DISCARD_FACTOR = 4
DRAIN_POLL_S = 0.02
DRAIN_QUIET_S = 0.2
# Longer than the time for which clients of this package keep idle connections.
IDLE_CONNECTION_S = 120
BODY_TIMEOUT_S = 120


class JsonHandler(web.RequestHandler):
    """Base class of handlers with JSON bodies that report errors as refusals."""

    def write_json(self, data, status=200):
        """Respond with `data` as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(data))

    def write_refusal(self, refusal):
        """Respond with a `pimentowick.verdict.Refusal`."""
        self.refusal = refusal
        for name, value in refusal.make_headers().items():
            self.set_header(name, value)
        self.write_json(self.describe_refusal(refusal), refusal.status)

    def describe_refusal(self, refusal):
        """Return the response body of a refusal."""
        return refusal.to_dict()

    def read_json(self):
        """Return the request body decoded as a JSON object.

        Raises:
            RefusedError: The body is not a JSON object.
        """
        try:
            data = orjson.loads(self.request.body)
        except ValueError as error:
            raise make_input_error(f"The body is not JSON: {error}.") from error
        if not isinstance(data, dict):
            raise make_input_error("The body must be a JSON object.")
        return data

    def log_exception(self, typ, value, tb):
        """Log unexpected exceptions only; refusals are part of normal operation."""
        if isinstance(value, exception.RefusedError | web.HTTPError):
            return
        logger.opt(exception=(typ, value, tb)).error(
            "web: Unexpected error in {} {}.", self.request.method, self.request.path
        )

    def write_error(self, status_code, **kwargs):
        """Respond to an exception with a refusal; see `tornado.web.RequestHandler`."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, exception.RefusedError):
            self.write_refusal(error.refusal)
            return
        self.write_refusal(_make_status_refusal(status_code))


class UnknownPathHandler(JsonHandler):
    """Responds to requests for paths without a handler."""

    def prepare(self):
        """Respond with 404 for all methods."""
        raise web.HTTPError(404)


def _make_status_refusal(status):
    if status == 404:
        return verdict.Refusal(
            404, "unknown_path", "There is nothing under this path. See docs/API.md."
        )
    if status == 405:
        return verdict.Refusal(
            405, "wrong_method", "This path does not take this method. See docs/API.md."
        )
    if 400 <= status < 500:
        return verdict.Refusal(status, "bad_request", "The request is malformed.")
    return verdict.Refusal(
        500,
        "internal",
        "An unexpected error. Ask again with the same idempotency key.",
        verdict.Verdict.MAY_HAVE_RUN,
        retry_after=1.0,
    )


def make_input_error(message, code="bad_request", status=400):
    """Return the error for an invalid request."""
    return exception.RefusedError(verdict.Refusal(status, code, message))


class _OversizedDelegate(httputil.HTTPMessageDelegate):
    """Discards an oversized request body, then responds with 413.

    Most clients read the response only after they have sent the body. If the connection
    were closed earlier, they would see a connection reset instead of the refusal.
    """

    def __init__(self, request_conn):
        self._request_conn = request_conn

    def finish(self):
        refusal = verdict.Refusal(
            413, "too_large", "The body is larger than this entry takes. Split it."
        )
        data = orjson.dumps(refusal.to_dict())
        headers = httputil.HTTPHeaders(
            {"Content-Type": "application/json", "Content-Length": str(len(data))}
        )
        line = httputil.ResponseStartLine("HTTP/1.1", 413, "Content Too Large")
        self._request_conn.write_headers(line, headers, data)
        self._request_conn.finish()


class _ActiveRequestDelegate(httputil.HTTPMessageDelegate):
    """Marks a connection as active when request headers arrive on it."""

    def __init__(self, delegate, server, server_conn, request_conn):
        self._delegate = delegate
        self._server = server
        self._server_conn = server_conn
        self._request_conn = request_conn
        self._received = 0

    def headers_received(self, start_line, headers):
        self._server.active_connections.add(self._server_conn)
        length = headers.get("Content-Length", "")
        if length.isdecimal() and int(length) > self._server.max_body_bytes:
            self._delegate = _OversizedDelegate(self._request_conn)
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk):
        self._received += len(chunk)
        too_large = self._received > self._server.max_body_bytes
        if too_large and not isinstance(self._delegate, _OversizedDelegate):
            # Chunked transfer encoding: the size is not known from the headers.
            raise httputil.HTTPInputError("Chunked request body too large.")
        return self._delegate.data_received(chunk)

    def finish(self):
        self._delegate.finish()

    def on_connection_close(self):
        self._delegate.on_connection_close()


class DrainingServer(httpserver.HTTPServer):
    """HTTP server that does not reset pending connections when it stops listening."""

    def stop(self):
        """Stop listening, but serve the connections in the kernel's accept queue.

        Closing the listener would reset these connections, and their clients could not
        tell whether their requests were executed.
        """
        queued = []
        if not self._stopped:
            for listener in self._sockets.values():
                queued += _accept_queued(listener)
        super().stop()
        for connection, address in queued:
            self._handle_connection(connection, address)


def _accept_queued(listener):
    """Accept the queued connections after reducing the listen backlog to 0."""
    accepted = []
    listener.listen(0)
    try:
        while True:
            accepted.append(listener.accept())
    except BlockingIOError:
        return accepted
    except OSError as error:
        # The other clients see a reset, as without an accept queue.
        logger.warning("web: Queued connections were not accepted: {}.", error)
        return accepted


class _TrackingServer(DrainingServer):
    """Tracks the connections with an incomplete request or response."""

    # Tornado's configurable classes use initialize instead of __init__.
    def initialize(self, application, max_body_bytes, **kwargs):
        super().initialize(
            application,
            max_body_size=max_body_bytes * DISCARD_FACTOR,
            max_buffer_size=max_body_bytes + MAX_HEADER_BYTES,
            **kwargs,
        )
        self.max_body_bytes = max_body_bytes
        self.active_connections = set()

    def start_request(self, server_conn, request_conn):
        # Called once the previous response has been written to the socket.
        self.active_connections.discard(server_conn)
        delegate = super().start_request(server_conn, request_conn)
        return _ActiveRequestDelegate(delegate, self, server_conn, request_conn)

    def on_close(self, server_conn):
        self.active_connections.discard(server_conn)
        super().on_close(server_conn)


class Server:
    """HTTP server on one address.

    Args:
        application: The tornado application.
        address: IP number to listen on.
        port: TCP port; 0 lets the kernel choose.
        max_body_bytes: Maximum size of a request body, in bytes.
        ssl_context: `ssl.SSLContext` for HTTPS, or None for HTTP.

    Attributes:
        address: ``IP:port`` after the start, before that None.
    """

    def __init__(
        self,
        application,
        address="127.0.0.1",
        port=0,
        max_body_bytes=MAX_BODY_BYTES,
        ssl_context=None,
    ):
        self._application = application
        self._ip = address
        self._port = port
        self._max_body_bytes = max_body_bytes
        self._ssl_context = ssl_context
        self._server = None
        self.address = None

    async def start(self):
        """Start listening."""
        sockets = netutil.bind_sockets(self._port, self._ip)
        self._server = _TrackingServer(
            self._application,
            self._max_body_bytes,
            max_header_size=MAX_HEADER_BYTES,
            # Close idle connections, which would otherwise keep their sockets and
            # partially received bodies.
            idle_connection_timeout=IDLE_CONNECTION_S,
            body_timeout=BODY_TIMEOUT_S,
            ssl_options=self._ssl_context,
        )
        self._server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        self.address = f"{self._ip}:{port}"

    def stop_listening(self):
        """Accept no new connections; open connections are still served."""
        self._server.stop()

    def count_active_requests(self):
        """Return the number of requests without a completely sent response."""
        return 0 if self._server is None else len(self._server.active_connections)

    async def drain(self, timeout_s):
        """Wait until the responses to all requests have been sent.

        Args:
            timeout_s: Maximum wait, in seconds.

        Returns:
            Number of requests that are still active.
        """
        deadline = time.monotonic() + timeout_s
        last_active_at = time.monotonic()
        # A request may be in transit on a connection that was just accepted.
        while time.monotonic() < min(deadline, last_active_at + DRAIN_QUIET_S):
            await asyncio.sleep(DRAIN_POLL_S)
            if self.count_active_requests():
                last_active_at = time.monotonic()
        return self.count_active_requests()

    async def close(self):
        """Close all connections."""
        if self._server is None:
            return
        self._server.stop()
        await self._server.close_all_connections()
        self._server = None
        await asyncio.sleep(0)
