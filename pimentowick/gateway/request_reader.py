"""Reading of callers' requests within the limits on their size and on memory."""

import asyncio
import time

from tornado import httputil

from pimentowick import verdict

__all__ = ["RequestReader"]


class RequestReader(httputil.HTTPMessageDelegate):
    """Reads one request and starts the task that answers it.

    Args:
        server: The `exchange.Server`.
        server_connection: Tornado's connection of the caller.
        connection: Tornado's connection for this request.
    """

    def __init__(self, server, server_connection, connection):
        self._server = server
        self._server_connection = server_connection
        self._connection = connection
        self._exchange = None
        self._chunks = []
        self._received = 0
        self._reserved = 0
        self._limits = server.get_limits()
        self._limit_refusal = None
        self._early_refusal = None

    def headers_received(self, start_line, headers):
        """Check the limits; see `tornado.httputil.HTTPMessageDelegate`."""
        self._server.on_request_started(self._server_connection)
        self._exchange = self._server.make_exchange(
            self._connection, start_line, headers
        )
        if _count_bytes(start_line, headers) > self._limits.header_bytes:
            self._limit_refusal = verdict.Refusal(
                431, "headers_too_large", "The headers are too long. Shorten them."
            )
        length = headers.get("Content-Length", "")
        if length.isdecimal():
            self._check_body(int(length))
            self._reserve(int(length))

    def _reserve(self, size):
        """Reserve memory for the body up to a size, or refuse the request."""
        if self._limit_refusal is not None or size <= self._reserved:
            return
        refusal = self._server.refuse_body(self._exchange, size - self._reserved)
        if refusal is None:
            self._exchange.account.reserve_body(size - self._reserved)
            self._reserved = size
            return
        self._limit_refusal = refusal
        self._release()
        self._early_refusal = asyncio.create_task(
            self._server.refuse_early(self._exchange, refusal)
        )

    def _release(self):
        self._chunks.clear()
        if self._exchange is not None:
            self._server.held.close(self._exchange)

    def _check_body(self, size):
        if size > self._limits.body_bytes and self._limit_refusal is None:
            self._release()
            self._limit_refusal = verdict.Refusal(
                413, "too_large", "The body is larger than this entry takes. Split it."
            )

    def data_received(self, chunk):
        """Store part of the body unless the request is refused."""
        self._received += len(chunk)
        self._server.traffic.received += len(chunk)
        self._check_body(self._received)
        self._reserve(self._received)
        if self._limit_refusal is None:
            self._exchange.account.receive_body(len(chunk))
            self._chunks.append(chunk)

    def finish(self):
        """Start the task that answers the request."""
        if self._early_refusal is not None:
            self._exchange.end_request()
            return
        self._exchange.is_read = True
        self._exchange.read_at = time.monotonic()
        self._exchange.body = b"".join(self._chunks)
        self._exchange.limit_refusal = self._limit_refusal
        self._chunks.clear()
        if self._connection.stream is None or self._connection.stream.closed():
            # The connection was closed while the last bytes were being processed. The
            # caller takes the request for unread, so it must not run.
            self._release()
            return
        task = asyncio.create_task(self._server.serve(self._exchange))
        # Cancels the request when the caller disconnects.
        self._connection.set_close_callback(task.cancel)

    def on_connection_close(self):
        """Discard a request that is not complete."""
        self._release()


def _count_bytes(start_line, headers):
    """Return the size of the request line and headers on the wire."""
    line = len(start_line.method) + len(start_line.path) + len(start_line.version) + 4
    return line + sum(len(name) + len(text) + 4 for name, text in headers.get_all())
