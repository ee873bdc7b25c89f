"""HTTP client with at-most-once requests, and streams of JSON lines.

All requests of the package to other processes are sent by `Client`, which extends
tornado's curl client in four ways:

- It records whether any byte of a request may have been sent, so that an error states
  whether the peer may have executed the request.
- It prevents libcurl from resending a request when a pooled connection closes before
  the first byte of the response, as the peer may have executed it already.
- After a timeout it stops reusing the open connections to that peer, since a fault that
  breaks one connection usually breaks the others as well.
- It rejects responses that libcurl takes for complete although nothing says so: those
  whose head is cut, or whose body has neither a length nor chunks, unless the caller
  can tell by the body that it is whole.
"""

import asyncio
import contextlib
import dataclasses
import time

import orjson
import pycurl
from tornado import curl_httpclient, httpclient, httputil

from pimentowick import exception, response_head, verdict

__all__ = ["Client", "Response", "Stream", "TransportError"]

DEFAULT_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 1.0
# Delay of the client's own timeout after libcurl's, whose error is more specific.
TIMEOUT_MARGIN_S = 0.2
# Minimum rate of a stream in bytes per second. libcurl aborts a transfer below it, for
# instance if the peer never completes the response, so that the handle is freed.
LOW_SPEED_BYTES_PER_S = 1
# Delay of libcurl's abort after the idle timeout of the stream.
LOW_SPEED_MARGIN_S = 2
BUFFER_BYTES = 16_384
MAX_IDLE_CONNECTION_S = 60
MAX_BODY_BYTES = 104_857_600
# Number of intervals into which the idle timeout of a stream is divided. One that ends
# late because this process got no processor time counts no more than the others.
IDLE_INTERVALS = 4
MAX_RETIRED_ADDRESSES = 10_000


class TransportError(exception.UnavailableError):
    """A request received no complete response.

    Attributes:
        verdict: Whether the peer may have executed the request.
        stalled: Whether the request was sent and then no data was received for the
            idle timeout.
        timed_out: Whether the timeout of the request expired; this does not imply a
            failure of the peer.
    """

    def __init__(self, message, verdict, stalled=False, timed_out=False):
        super().__init__(message)
        self.verdict = verdict
        self.stalled = stalled
        self.timed_out = timed_out


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response to one request.

    Attributes:
        status: HTTP status.
        body: The body.
        headers: Headers by name.
        is_framed: Whether the end of the body was known without closing the connection;
            always, unless the request was sent with ``needs_framing=False``.
    """

    status: int
    body: bytes
    headers: dict
    is_framed: bool = True

    def decode(self):
        """Return the decoded JSON body.

        Raises:
            ValidationError: If the body is not JSON.
        """
        try:
            return orjson.loads(self.body)
        except ValueError as error:
            raise exception.ValidationError("The answer is not JSON.") from error


class _TransferState:
    """State of one request, updated by libcurl's callbacks.

    Args:
        method: HTTP method.
        needs_framing: Whether to reject a response without framing.

    Attributes:
        sent: Whether any byte of the request may have been sent.
        aborted: Whether the request has been aborted.
        has_head: Whether the head of the final response is complete.
        is_framed: Whether the end of the body is known without closing the connection.
        fault: Reason code if it is not that of a response, or None.
    """

    def __init__(self, method, needs_framing):
        self._method = method
        self._needs_framing = needs_framing
        self.sent = False
        self.aborted = False
        self.has_head = False
        self.is_framed = True
        self.fault = None
        self._start_line = None

    def read_head_line(self, headers, data):
        """Add a line of the head to `headers`; return whether the head may be valid."""
        line = data.decode("latin1").rstrip("\r\n")
        try:
            if not self.has_head:
                self._read_head_line(headers, line)
        except httputil.HTTPInputError:
            self.fault = "malformed_head"
        return self.fault is None

    def _read_head_line(self, headers, line):
        if line.startswith("HTTP/"):
            headers.clear()
            # The blank before an empty reason phrase is often left out.
            line += " " * (line.count(" ") == 1)
            self._start_line = httputil.parse_response_start_line(line)
        elif line:
            headers.parse_line(line)
        elif not response_head.is_interim(self._start_line.code):
            self.has_head = True
            self.fault = response_head.find_fault(self._start_line, headers)
            self.is_framed = response_head.is_framed(
                self._start_line.code, headers, self._method
            )
            if self._needs_framing and not self.is_framed:
                self.fault = self.fault or "missing_framing"

    def allow_send(self, *addresses):
        """Allow libcurl to send the request, but only once."""
        if self.sent or self.aborted:
            return pycurl.PREREQFUNC_ABORT
        self.sent = True
        return pycurl.PREREQFUNC_OK

    def get_verdict(self):
        """Return the verdict on a request without a complete response."""
        if self.sent:
            return verdict.Verdict.MAY_HAVE_RUN
        return verdict.Verdict.NOT_RUN


class _CurlClient(curl_httpclient.CurlAsyncHTTPClient):
    """Tornado's client with support for aborting requests.

    Tornado continues a request after its caller was cancelled, until it completes or
    times out, and the request keeps its handle. Enough such requests exhaust the pool.

    Handles are created on demand, as each one allocates buffers.
    """

    def initialize(self, max_clients=10, **settings):
        """Initialize the client; see `tornado.httpclient.AsyncHTTPClient`."""
        super().initialize(max_clients=0, **settings)
        self._handle_limit = max_clients

    def _curl_header_callback(self, headers, header_callback, header_line_bytes):
        # Tornado calls it later, with lines that it has not checked. libcurl ends a
        # transfer unless all bytes are taken.
        is_valid = header_callback(headers, header_line_bytes)
        return len(header_line_bytes) if is_valid else 0

    def _process_queue(self):
        handles_needed = min(len(self._requests), self._handle_limit)
        while (
            len(self._free_list) < handles_needed
            and len(self._curls) < self._handle_limit
        ):
            curl = self._curl_create()
            self._curls.append(curl)
            self._free_list.append(curl)
        super()._process_queue()

    @property
    def queue_length(self):
        """Number of requests waiting for a handle."""
        return len(self._requests)

    def abort(self, request):
        """Abort a request and close its connection; does nothing if it is unknown."""
        if self._multi is None:
            return
        for curl in self._curls:
            info = getattr(curl, "info", None)
            if info is not None and info["request"].request is request:
                self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "aborted")
                self._process_queue()
                return
        self._remove_queued(request)

    def _remove_queued(self, request):
        for queued in list(self._requests):
            if queued[0].request is request:
                self._requests.remove(queued)
                error = curl_httpclient.CurlError(
                    pycurl.E_ABORTED_BY_CALLBACK, "aborted"
                )
                queued[1](httpclient.HTTPResponse(request, 599, error=error))

    def _handle_timeout(self):
        # The timer may fire once more after the client has been closed.
        if self._multi is not None:
            super()._handle_timeout()


class Client:
    """Connection pool for one class of traffic.

    Online, batch and control traffic use separate clients, which avoids head-of-line
    blocking between them.

    Args:
        max_connections: Maximum number of concurrent requests.
        tls: `pimentowick.tls.ClientTls` for encrypted connections, or None.
        max_body_bytes: Maximum size of the body of one response, in bytes; a longer one
            counts as incomplete. Streams that are read by lines have no such limit.

    Attributes:
        peak_queued: Maximum number of requests that were queued at the same time.
    """

    def __init__(self, max_connections=64, tls=None, max_body_bytes=MAX_BODY_BYTES):
        self.max_connections = max_connections
        self.max_body_bytes = max_body_bytes
        self.peak_queued = 0
        self._tls = tls
        self._curl = None
        self._retired_at = {}

    async def start(self):
        """Create the connection pool."""
        self._curl = _CurlClient(
            force_instance=True,
            max_clients=self.max_connections,
            max_body_size=self.max_body_bytes,
        )

    async def close(self):
        """Close all connections."""
        if self._curl is not None:
            self._curl.close()
            self._curl = None

    def retire_connections(self, address):
        """Stop reusing the currently open connections to `address`."""
        if len(self._retired_at) >= MAX_RETIRED_ADDRESSES:
            self._retired_at.pop(next(iter(self._retired_at)))
        self._retired_at[address] = time.monotonic()

    async def fetch(
        self,
        method,
        address,
        path,
        body=None,
        headers=None,
        timeout_s=DEFAULT_TIMEOUT_S,
        new_connection=False,
        needs_framing=True,
    ):
        """Send one request and return the complete `Response`.

        Args:
            method: HTTP method.
            address: ``IP:port`` of the peer.
            path: Path and query.
            body: Bytes, data to encode as JSON, or None.
            headers: Dictionary of headers.
            timeout_s: Timeout of the whole exchange, in seconds.
            new_connection: Whether to open a new connection instead of reusing one.
            needs_framing: Whether to reject a response without framing. Set it to
                False only if the body tells by itself whether it is whole.

        Raises:
            TransportError: If no complete response was received.
        """
        transfer = _TransferState(method, needs_framing)
        request = self._build_request(
            transfer, method, address, path, body, headers, timeout_s, new_connection
        )
        task = self._send(request)
        try:
            # libcurl's timeout does not include the time that the request waits for a
            # handle, so the whole exchange is bounded here.
            async with asyncio.timeout(timeout_s + TIMEOUT_MARGIN_S):
                response = await asyncio.shield(task)
        except httpclient.HTTPError as error:
            failure = self._make_error(transfer, address, error)
            if failure.timed_out:
                # A slow peer can't be told from a broken connection, and a new
                # connection is cheap.
                self.retire_connections(address)
            raise failure from error
        except TimeoutError as error:
            raise TransportError(
                f"No free connection to {address} in time.",
                transfer.get_verdict(),
                timed_out=True,
            ) from error
        finally:
            if not task.done():
                self._abort(transfer, request)
        self._check_head(transfer, address)
        return Response(
            response.code, response.body, response.headers, transfer.is_framed
        )

    def _check_head(self, transfer, address):
        """Raise a `TransportError` if the head of a response was cut."""
        if not transfer.has_head:
            raise TransportError(
                f"The head of the answer from {address} broke off.",
                transfer.get_verdict(),
            )

    def _send(self, request):
        task = asyncio.ensure_future(self._curl.fetch(request, raise_error=False))
        # Retrieve the exception of an aborted request, which is not awaited.
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        self.peak_queued = max(self.peak_queued, self._curl.queue_length)
        return task

    def _abort(self, transfer, request):
        transfer.aborted = True
        # Deferred because this may run in a callback of libcurl, from which its
        # transfer must not be removed.
        asyncio.get_running_loop().call_soon(self._curl.abort, request)

    def open_stream(
        self,
        method,
        address,
        path,
        body=None,
        headers=None,
        timeout_s=3600.0,
        idle_s=5.0,
        new_connection=False,
        needs_framing=True,
    ):
        """Send one request and return the `Stream` of its response.

        Args:
            method: HTTP method.
            address: ``IP:port`` of the peer.
            path: Path and query.
            body: Bytes, data to encode as JSON, or None.
            headers: Dictionary of headers.
            timeout_s: Timeout of the whole exchange, in seconds.
            idle_s: Maximum time without received data, in seconds.
            new_connection: Whether to open a new connection instead of reusing one.
            needs_framing: Whether to reject a response without framing. Set it to
                False only if its lines tell by themselves whether they are all.
        """
        stream = Stream(self, address, idle_s, _TransferState(method, needs_framing))
        request = self._build_request(
            stream.transfer,
            method,
            address,
            path,
            body,
            headers,
            timeout_s,
            new_connection,
            stream=stream,
        )
        stream.start(self._send(request), request)
        return stream

    def _build_request(
        self,
        transfer,
        method,
        address,
        path,
        body,
        headers,
        timeout_s,
        new_connection,
        stream=None,
    ):
        headers = dict(headers or {})
        if body is not None:
            _add_content_type(headers, body)
        if body is not None and not isinstance(body, bytes):
            body = orjson.dumps(body)
        if body is None and method in ("POST", "PUT", "PATCH"):
            body = b""
        scheme = "http" if self._tls is None else "https"
        retired_at = self._retired_at.get(address)

        def configure(curl):
            _apply_options(curl, transfer, new_connection, retired_at)
            if self._tls is not None:
                self._tls.apply(curl)
            if stream is not None:
                stream.attach(curl)

        return httpclient.HTTPRequest(
            f"{scheme}://{address}{path}",
            method=method,
            body=body,
            headers=headers,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=max(timeout_s, 0.001),
            follow_redirects=False,
            decompress_response=False,
            header_callback=transfer.read_head_line,
            prepare_curl_callback=configure,
        )

    def _make_error(self, transfer, address, error):
        error_code = getattr(error, "errno", None)
        timed_out = transfer.sent and error_code == pycurl.E_OPERATION_TIMEDOUT
        return TransportError(
            f"No answer from {address}: {transfer.fault or error}.",
            transfer.get_verdict(),
            timed_out=timed_out,
        )


def _add_content_type(headers, body):
    """Add the type of a body, which libcurl would declare to be that of a form."""
    if not any(name.lower() == "content-type" for name in headers):
        is_bytes = isinstance(body, bytes)
        headers["Content-Type"] = (
            "application/octet-stream" if is_bytes else "application/json"
        )


def _apply_options(curl, transfer, new_connection, retired_at):
    # Handles are reused, so every option is set for every request.
    curl.setopt(pycurl.NOPROXY, "*")
    # Each handle keeps its buffers; the default upload buffer of 64 KiB would dominate
    # the memory used per stream.
    curl.setopt(pycurl.UPLOAD_BUFFERSIZE, BUFFER_BYTES)
    curl.setopt(pycurl.BUFFERSIZE, BUFFER_BYTES)
    curl.setopt(pycurl.PREREQFUNCTION, transfer.allow_send)
    curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_CONNECTION_S)
    curl.setopt(pycurl.LOW_SPEED_LIMIT, 0)
    curl.setopt(pycurl.LOW_SPEED_TIME, 0)
    lifetime = 0
    if retired_at is not None:
        lifetime = int(time.monotonic() - retired_at)
        new_connection = new_connection or lifetime == 0
    curl.setopt(pycurl.MAXLIFETIME_CONN, lifetime)
    curl.setopt(pycurl.FRESH_CONNECT, 1 if new_connection else 0)


class Stream:
    """Response that is read line by line while it is received.

    Lines received together are returned together, so that a proxy needs one wake-up
    and one write for all of them.
    """

    def __init__(self, client, address, idle_s, transfer):
        self.address = address
        self.idle_s = idle_s
        self.status = None
        self.transfer = transfer
        self.task = None
        self._client = client
        self._request = None
        self._chunks = []
        self._received_bytes = 0
        self._partial_line = b""
        self._received = asyncio.Event()

    def start(self, task, request):
        """Attach the task that sends the request."""
        self.task = task
        self._request = request
        task.add_done_callback(self._finish)

    def attach(self, curl):
        """Configure a curl handle to write the response to this stream."""
        curl.setopt(pycurl.WRITEFUNCTION, self._write)
        curl.setopt(pycurl.LOW_SPEED_LIMIT, LOW_SPEED_BYTES_PER_S)
        curl.setopt(pycurl.LOW_SPEED_TIME, int(self.idle_s) + LOW_SPEED_MARGIN_S)

    def _write(self, chunk):
        if self.transfer.aborted:
            return 0
        self._chunks.append(chunk)
        self._received_bytes += len(chunk)
        self._received.set()
        return len(chunk)

    def _finish(self, task):
        if not task.cancelled() and task.exception() is None:
            self.status = task.result().code
        self._received.set()

    async def read_lines(self):
        """Return the lines received since the last call; wait for at least one.

        Returns:
            A list of byte strings, empty at the end of the response.

        Raises:
            TransportError: If the response was truncated or the stream timed out.
        """
        while True:
            lines = self._take_lines()
            if lines:
                return lines
            if self.task.done():
                return self._finish_lines()
            self._received.clear()
            if not await self._wait_for_data():
                self.abort()
                raise self._make_stall_error()

    async def _wait_for_data(self):
        """Return whether data was received within the idle timeout.

        The timeout is split into several waits. If this process is not scheduled for a
        while, only the current wait expires, and data that arrived in the meantime is
        read during the next one.
        """
        for _ in range(IDLE_INTERVALS):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.idle_s / IDLE_INTERVALS):
                    await self._received.wait()
            if self._received.is_set():
                return True
        return False

    def _make_stall_error(self):
        # A request still queued for a connection does not indicate a stalled peer.
        stalled = self.transfer.sent
        if stalled:
            self._client.retire_connections(self.address)
        return TransportError(
            f"Nothing came from {self.address} for {self.idle_s:g} s.",
            self.transfer.get_verdict(),
            stalled,
        )

    async def read_response(self):
        """Return the remainder of the response as a `Response`.

        Only the idle timeout applies, so that a large response over a slow link can
        complete.

        Raises:
            TransportError: If the response was truncated or too long, or the stream
                timed out.
        """
        try:
            while not self.task.done():
                self._received.clear()
                if not await self._wait_for_data():
                    raise self._make_stall_error()
                if self._received_bytes > self._client.max_body_bytes:
                    raise TransportError(
                        f"The answer from {self.address} is too long.",
                        self.transfer.get_verdict(),
                    )
        finally:
            self.abort()
        error = self.task.exception()
        if error is not None:
            raise self._client._make_error(self.transfer, self.address, error)
        response = self.task.result()
        self._client._check_head(self.transfer, self.address)
        return Response(
            response.code,
            b"".join(self._chunks),
            response.headers,
            self.transfer.is_framed,
        )

    def _take_lines(self):
        if not self._chunks:
            return []
        data = self._partial_line + b"".join(self._chunks)
        self._chunks.clear()
        lines = data.split(b"\n")
        self._partial_line = lines.pop()
        return [line for line in lines if line]

    def _finish_lines(self):
        error = self.task.exception()
        if error is not None:
            raise self._client._make_error(self.transfer, self.address, error)
        self.status = self.task.result().code
        self._client._check_head(self.transfer, self.address)
        remainder, self._partial_line = self._partial_line, b""
        if remainder and self.status == 200:
            raise TransportError(
                f"The answer of {self.address} broke off.",
                verdict.Verdict.MAY_HAVE_RUN,
            )
        # The body of an error response need not end with a newline.
        return [remainder] if remainder else []

    def abort(self):
        """Abort the transfer and close its connection; idempotent."""
        if not self.transfer.aborted and not self.task.done():
            self._client._abort(self.transfer, self._request)
