"""What the HTTP servers of both daemons have in common."""

import asyncio
import contextlib
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
# Bodies up to this many times the limit are read and passed over, so that the
# refusal arrives; larger ones end with the connection.
PASSED_OVER = 4
DRAIN_CHECK_S = 0.02
QUIET_S = 0.2
# Longer than clients of this package keep an idle connection.
IDLE_CONNECTION_S = 120
BODY_TIMEOUT_S = 120


class JsonHandler(web.RequestHandler):
    """Reads JSON, writes JSON, and turns errors into refusals."""

    def write_json(self, data, status=200):
        """Answer with `data`."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(data))

    def write_refusal(self, refusal):
        """Answer with a `pimentowick.verdict.Refusal`."""
        self.refusal = refusal
        for name, value in refusal.headers().items():
            self.set_header(name, value)
        self.write_json(self.describe_refusal(refusal), refusal.status)

    def describe_refusal(self, refusal):
        """Return the body that states a refusal."""
        return refusal.to_dict()

    def read_json(self):
        """Return the body as a JSON object.

        Raises:
            RefusedError: The body is something else.
        """
        try:
            data = orjson.loads(self.request.body)
        except ValueError as error:
            raise make_input_error(f"The body is not JSON: {error}.") from error
        if not isinstance(data, dict):
            raise make_input_error("The body must be a JSON object.")
        return data

    def log_exception(self, typ, value, tb):
        """Log only what is a fault of this process."""
        if isinstance(value, exception.RefusedError | web.HTTPError):
            return
        logger.opt(exception=(typ, value, tb)).error(
            "web: {} {} failed.", self.request.method, self.request.path
        )

    def write_error(self, status_code, **kwargs):
        """Answer an exception with JSON; see `tornado.web.RequestHandler`."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, exception.RefusedError):
            self.write_refusal(error.refusal)
            return
        self.write_refusal(_explain_status(status_code))


class UnknownPathHandler(JsonHandler):
    """Answers what no other handler is for."""

    def prepare(self):
        """Answer 404 whatever the method."""
        raise web.HTTPError(404)


def _explain_status(status):
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
    """Return the error for input that a caller has to change."""
    return exception.RefusedError(verdict.Refusal(status, code, message))


class _OversizedDelegate(httputil.HTTPMessageDelegate):
    """Passes a body over and then refuses it.

    A client that is still sending does not read: closed at once, it would see its
    connection reset and never the refusal.
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


class _BusyDelegate(httputil.HTTPMessageDelegate):
    """Notes that a request has begun to arrive on a connection."""

    def __init__(self, delegate, server, server_conn, request_conn):
        self._delegate = delegate
        self._server = server
        self._server_conn = server_conn
        self._request_conn = request_conn
        self._received = 0

    def headers_received(self, start_line, headers):
        self._server.busy.add(self._server_conn)
        length = headers.get("Content-Length", "")
        if length.isdecimal() and int(length) > self._server.max_body_bytes:
            self._delegate = _OversizedDelegate(self._request_conn)
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk):
        self._received += len(chunk)
        too_large = self._received > self._server.max_body_bytes
        if too_large and not isinstance(self._delegate, _OversizedDelegate):
            # Sent in chunks, with no length to refuse it by beforehand.
            raise httputil.HTTPInputError("The body is too large.")
        return self._delegate.data_received(chunk)

    def finish(self):
        self._delegate.finish()

    def on_connection_close(self):
        self._delegate.on_connection_close()


class DrainingServer(httpserver.HTTPServer):
    """An HTTP server that resets no connection when it stops listening."""

    def stop(self):
        """Stop listening; connections that the kernel has taken are served.

        The loop had no turn for these yet, and their requests may be with them. The
        kernel resets them with the listener: their callers would have to believe
        that the requests may have run.
        """
        waiting = []
        if not self._stopped:
            for listener in self._sockets.values():
                waiting += _accept_waiting(listener)
        super().stop()
        for connection, address in waiting:
            self._handle_connection(connection, address)


def _accept_waiting(listener):
    """Return the connections that wait, and let the kernel take hardly any more."""
    found = []
    listener.listen(0)
    with contextlib.suppress(BlockingIOError):
        while True:
            found.append(listener.accept())
    return found


class _CountingServer(DrainingServer):
    """Knows the connections whose request is not answered to the last byte."""

    # HTTPServer is configurable: initialize takes the place of __init__.
    def initialize(self, application, max_body_bytes, **kwargs):
        super().initialize(
            application,
            max_body_size=max_body_bytes * PASSED_OVER,
            max_buffer_size=max_body_bytes + MAX_HEADER_BYTES,
            **kwargs,
        )
        self.max_body_bytes = max_body_bytes
        self.busy = set()

    def start_request(self, server_conn, request_conn):
        # Tornado waits for the next request once the kernel has taken the whole
        # answer to the one before.
        self.busy.discard(server_conn)
        delegate = super().start_request(server_conn, request_conn)
        return _BusyDelegate(delegate, self, server_conn, request_conn)

    def on_close(self, server_conn):
        self.busy.discard(server_conn)
        super().on_close(server_conn)


class Server:
    """An HTTP server on one address.

    Args:
        application: The tornado application.
        address: IP number to listen on.
        port: TCP port; 0 lets the kernel choose.
        max_body_bytes: Largest body that is taken.
        ssl_context: For encrypted connections, or None.

    Attributes:
        address: ``IP:port`` once started.
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
        """Listen."""
        sockets = netutil.bind_sockets(self._port, self._ip)
        self._server = _CountingServer(
            self._application,
            self._max_body_bytes,
            max_header_size=MAX_HEADER_BYTES,
            # A connection that fell silent, in the middle of a request or between
            # two, would keep its socket and what has come of the body for ever.
            idle_connection_timeout=IDLE_CONNECTION_S,
            body_timeout=BODY_TIMEOUT_S,
            ssl_options=self._ssl_context,
        )
        self._server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        self.address = f"{self._ip}:{port}"

    def stop_listening(self):
        """Take no new connection; those that are open go on."""
        self._server.stop()

    def count_active_requests(self):
        """Return how many requests are not answered to the last byte."""
        return 0 if self._server is None else len(self._server.busy)

    async def drain(self, timeout_s):
        """Wait until every request is answered to the last byte.

        Args:
            timeout_s: Longest wait, in seconds.

        Returns:
            Number of requests that are not.
        """
        deadline = time.monotonic() + timeout_s
        busy_at = time.monotonic()
        # A connection that was just taken has a request on its way.
        while time.monotonic() < min(deadline, busy_at + QUIET_S):
            await asyncio.sleep(DRAIN_CHECK_S)
            if self.count_active_requests():
                busy_at = time.monotonic()
        return self.count_active_requests()

    async def close(self):
        """Close all connections."""
        if self._server is None:
            return
        self._server.stop()
        await self._server.close_all_connections()
        self._server = None
        await asyncio.sleep(0)
