"""HTTP requests with a verdict, and streams of JSON lines.

All requests of the package to other processes pass through `Client`, which adds
three things to tornado's curl client. It knows whether any byte of a request can
have left, so that a failure carries a true verdict. It lets libcurl send a request
once only: libcurl repeats a request by itself when a pooled connection closes
before the first byte of the answer, and the peer may have run it by then. And it
stops reusing the connections to a peer after one of them fell silent, since
whatever lost track of one connection usually lost the others of that age, too.
"""

import asyncio
import contextlib
import dataclasses
import time

import orjson
import pycurl
from tornado import curl_httpclient, httpclient

from pimentowick import exception, verdict

__all__ = ["Client", "Response", "Stream", "TransportError"]

DEFAULT_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 1.0
# libcurl's own timeout comes first wherever the request has left, since its error
# says more.
TIMEOUT_MARGIN_S = 0.2
# A peer that has sent the end of its answer but never closes the exchange would
# keep a handle of the pool; libcurl ends such a transfer after this.
LOW_SPEED_BYTES = 1
LOW_SPEED_MARGIN_S = 2
BUFFER_BYTES = 16_384
MAX_IDLE_CONNECTION_S = 60
# A stream's silence is measured in so many parts; one that ends late because this
# process had no processor time counts no more than the others.
IDLE_PARTS = 4
MAX_DISTRUSTED = 10_000


class TransportError(exception.UnavailableError):
    """A request got no whole answer.

    Attributes:
        verdict: Whether the request may have run at the peer.
        stalled: Whether a stream was open but nothing came for its idle time.
        timed_out: Whether the time that the request was given is over; the peer may
            be well.
    """

    def __init__(self, message, verdict, stalled=False, timed_out=False):
        super().__init__(message)
        self.verdict = verdict
        self.stalled = stalled
        self.timed_out = timed_out


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A whole answer to one request."""

    status: int
    body: bytes
    headers: dict

    def decode(self):
        """Return the body as JSON data.

        Raises:
            ValidationError: If the body is not JSON.
        """
        try:
            return orjson.loads(self.body)
        except ValueError as error:
            raise exception.ValidationError("The answer is not JSON.") from error


class _Transfer:
    """What libcurl's callbacks note about one request."""

    def __init__(self):
        self.sent = False
        self.aborted = False

    def allow_send(self, *addresses):
        """Let the request leave, unless it has left before."""
        if self.sent or self.aborted:
            return pycurl.PREREQFUNC_ABORT
        self.sent = True
        return pycurl.PREREQFUNC_OK

    def get_verdict(self):
        """Return what is known while no whole answer came."""
        if self.sent:
            return verdict.Verdict.MAY_HAVE_RUN
        return verdict.Verdict.NOT_RUN


class _CurlClient(curl_httpclient.CurlAsyncHTTPClient):
    """Tornado's client, with requests that can be aborted.

    Tornado lets an abandoned request go on until it ends by itself. On a silent
    connection that is the time limit, and until then the request keeps its handle:
    with enough of them the pool is empty and new requests wait unseen.

    Handles are made when they are needed: hundreds that never ran take megabytes.
    """

    def initialize(self, max_clients=10, **settings):
        """Take the settings; see `tornado.httpclient.AsyncHTTPClient`."""
        super().initialize(max_clients=0, **settings)
        self._max_handles = max_clients

    def _process_queue(self):
        wanted = min(len(self._requests), self._max_handles)
        while len(self._free_list) < wanted and len(self._curls) < self._max_handles:
            curl = self._curl_create()
            self._curls.append(curl)
            self._free_list.append(curl)
        super()._process_queue()

    @property
    def waiting(self):
        """Number of requests that wait for a handle."""
        return len(self._requests)

    def abort(self, request):
        """End a request now and close its connection; unknown ones are let be."""
        if self._multi is None:
            return
        for curl in self._curls:
            info = getattr(curl, "info", None)
            if info is not None and info["request"].request is request:
                self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "aborted")
                self._process_queue()
                return
        self._drop_waiting(request)

    def _drop_waiting(self, request):
        for entry in list(self._requests):
            if entry[0].request is request:
                self._requests.remove(entry)
                error = curl_httpclient.CurlError(
                    pycurl.E_ABORTED_BY_CALLBACK, "aborted"
                )
                entry[1](httpclient.HTTPResponse(request, 599, error=error))

    def _handle_timeout(self):
        # The timer may fire once more after the client is closed.
        if self._multi is not None:
            super()._handle_timeout()


class Client:
    """A pool of connections for one class of traffic.

    Online traffic, batch traffic and control each have a client of their own, so
    that none waits in the queue of another one.

    Args:
        max_connections: How many requests may be open at once.
        tls: `pimentowick.tls.ClientTls` for encrypted peers, or None.

    Attributes:
        peak_queued: Most requests that waited for a free connection at once.
    """

    def __init__(self, max_connections=64, tls=None):
        self.max_connections = max_connections
        self.peak_queued = 0
        self._tls = tls
        self._curl = None
        self._distrusted = {}

    async def start(self):
        """Make the pool."""
        self._curl = _CurlClient(force_instance=True, max_clients=self.max_connections)

    async def close(self):
        """Drop all connections."""
        if self._curl is not None:
            self._curl.close()
            self._curl = None

    def retire_connections(self, address):
        """Stop reusing the connections to `address` that are open now."""
        if len(self._distrusted) >= MAX_DISTRUSTED:
            self._distrusted.pop(next(iter(self._distrusted)))
        self._distrusted[address] = time.monotonic()

    async def fetch(
        self,
        method,
        address,
        path,
        body=None,
        headers=None,
        timeout_s=DEFAULT_TIMEOUT_S,
        new_connection=False,
    ):
        """Send one request and return its whole answer.

        Args:
            method: HTTP method.
            address: ``IP:port`` of the peer.
            path: Path and query.
            body: Bytes, or data to send as JSON, or None.
            headers: Dictionary of headers.
            timeout_s: Bound of the whole exchange, in seconds.
            new_connection: Whether to use a new connection.

        Raises:
            TransportError: If no whole answer came.
        """
        transfer = _Transfer()
        request = self._build(
            transfer, method, address, path, body, headers, timeout_s, new_connection
        )
        task = self._send(request)
        try:
            # libcurl counts the time from when the request got a handle of the
            # pool; the caller's time runs while it waits for one, too.
            async with asyncio.timeout(timeout_s + TIMEOUT_MARGIN_S):
                response = await asyncio.shield(task)
        except httpclient.HTTPError as error:
            found = self._explain(transfer, address, error)
            if found.timed_out:
                # The peer may be slow or the connection dead; nothing tells which,
                # and a new connection costs little.
                self.retire_connections(address)
            raise found from error
        except TimeoutError as error:
            raise TransportError(
                f"No free connection to {address} in time.",
                transfer.get_verdict(),
                timed_out=True,
            ) from error
        finally:
            if not task.done():
                self._abort(transfer, request)
        return Response(response.code, response.body, response.headers)

    def _send(self, request):
        task = asyncio.ensure_future(self._curl.fetch(request, raise_error=False))
        # An aborted request ends with an error that nobody waits for.
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        self.peak_queued = max(self.peak_queued, self._curl.waiting)
        return task

    def _abort(self, transfer, request):
        transfer.aborted = True
        # Not from here: this may run within a callback of libcurl, which must not
        # be asked to drop the very transfer that it is working on.
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
    ):
        """Send one request and return the `Stream` of its answer.

        Args:
            method: HTTP method.
            address: ``IP:port`` of the peer.
            path: Path and query.
            body: Bytes, or data to send as JSON, or None.
            headers: Dictionary of headers.
            timeout_s: Bound of the whole exchange, in seconds.
            idle_s: Longest time without a byte, in seconds.
            new_connection: Whether to use a new connection.
        """
        stream = Stream(self, address, idle_s)
        request = self._build(
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

    def _build(
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
        if body is not None and not isinstance(body, bytes):
            body = orjson.dumps(body)
        if body is None and method in ("POST", "PUT", "PATCH"):
            body = b""
        scheme = "http" if self._tls is None else "https"
        distrusted_at = self._distrusted.get(address)

        def prepare(curl):
            _apply_options(curl, transfer, new_connection, distrusted_at)
            if self._tls is not None:
                self._tls.apply(curl)
            if stream is not None:
                stream.attach(curl)

        return httpclient.HTTPRequest(
            f"{scheme}://{address}{path}",
            method=method,
            body=body,
            headers=dict(headers or {}),
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=max(timeout_s, 0.001),
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=prepare,
        )

    def _explain(self, transfer, address, error):
        number = getattr(error, "errno", None)
        timed_out = transfer.sent and number == pycurl.E_OPERATION_TIMEDOUT
        return TransportError(
            f"No answer from {address}: {error}.",
            transfer.get_verdict(),
            timed_out=timed_out,
        )


def _apply_options(curl, transfer, new_connection, distrusted_at):
    # Handles are used again, so every option is set for every request.
    curl.setopt(pycurl.NOPROXY, "*")
    # One buffer of each kind stays with every handle; the defaults of 64 KB for what
    # is sent are most of what a hundred streams hold.
    curl.setopt(pycurl.UPLOAD_BUFFERSIZE, BUFFER_BYTES)
    curl.setopt(pycurl.BUFFERSIZE, BUFFER_BYTES)
    curl.setopt(pycurl.PREREQFUNCTION, transfer.allow_send)
    curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_CONNECTION_S)
    curl.setopt(pycurl.LOW_SPEED_LIMIT, 0)
    curl.setopt(pycurl.LOW_SPEED_TIME, 0)
    lifetime = 0
    if distrusted_at is not None:
        lifetime = int(time.monotonic() - distrusted_at)
        new_connection = new_connection or lifetime == 0
    curl.setopt(pycurl.MAXLIFETIME_CONN, lifetime)
    curl.setopt(pycurl.FRESH_CONNECT, 1 if new_connection else 0)


class Stream:
    """The lines of an answer, as they arrive.

    Lines that arrive together are returned together, so that a relay pays for one
    wake-up and one write instead of one for each line.
    """

    def __init__(self, client, address, idle_s):
        self.address = address
        self.idle_s = idle_s
        self.status = None
        self.transfer = _Transfer()
        self.task = None
        self._client = client
        self._request = None
        self._pieces = []
        self._rest = b""
        self._arrived = asyncio.Event()

    def start(self, task, request):
        """Take the task that sends the request."""
        self.task = task
        self._request = request
        task.add_done_callback(self._finish)

    def attach(self, curl):
        """Direct the answer of the handle to this stream."""
        curl.setopt(pycurl.WRITEFUNCTION, self._write)
        curl.setopt(pycurl.LOW_SPEED_LIMIT, LOW_SPEED_BYTES)
        curl.setopt(pycurl.LOW_SPEED_TIME, int(self.idle_s) + LOW_SPEED_MARGIN_S)

    def _write(self, piece):
        if self.transfer.aborted:
            return 0
        self._pieces.append(piece)
        self._arrived.set()
        return len(piece)

    def _finish(self, task):
        if not task.cancelled() and task.exception() is None:
            self.status = task.result().code
        self._arrived.set()

    async def read_lines(self):
        """Return the lines that came since the last call, waiting for one.

        Returns:
            A list of byte strings; empty at the end of the answer.

        Raises:
            TransportError: If the answer broke off, or nothing came for too long.
        """
        while True:
            lines = self._take_lines()
            if lines:
                return lines
            if self.task.done():
                return self._take_end()
            self._arrived.clear()
            if not await self._wait_for_more():
                self.abort()
                raise self._explain_silence()

    async def _wait_for_more(self):
        """Return whether something came within the idle time.

        The time is that in which this process runs. On a host without processor time
        to spare it may stand still for a second; its timers are due then, and what
        the peer sent meanwhile is still to be read.
        """
        for _ in range(IDLE_PARTS):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.idle_s / IDLE_PARTS):
                    await self._arrived.wait()
            if self._arrived.is_set():
                return True
        return False

    def _explain_silence(self):
        # A request that still waited for a connection says nothing about the peer.
        stalled = self.transfer.sent
        if stalled:
            self._client.retire_connections(self.address)
        return TransportError(
            f"Nothing came from {self.address} for {self.idle_s:g} s.",
            self.transfer.get_verdict(),
            stalled,
        )

    async def read_response(self):
        """Return the rest of the answer as a `Response`, however long it takes.

        An answer that keeps arriving over a slow link is no reason to give up.

        Raises:
            TransportError: If the answer broke off, or nothing came for too long.
        """
        try:
            while not self.task.done():
                self._arrived.clear()
                if not await self._wait_for_more():
                    raise self._explain_silence()
        finally:
            self.abort()
        error = self.task.exception()
        if error is not None:
            raise self._client._explain(self.transfer, self.address, error)
        response = self.task.result()
        return Response(response.code, b"".join(self._pieces), response.headers)

    def _take_lines(self):
        if not self._pieces:
            return []
        data = self._rest + b"".join(self._pieces)
        self._pieces.clear()
        lines = data.split(b"\n")
        self._rest = lines.pop()
        return [line for line in lines if line]

    def _take_end(self):
        error = self.task.exception()
        if error is not None:
            raise self._client._explain(self.transfer, self.address, error)
        self.status = self.task.result().code
        rest, self._rest = self._rest, b""
        if rest and self.status == 200:
            raise TransportError(
                f"The answer of {self.address} broke off.",
                verdict.Verdict.MAY_HAVE_RUN,
            )
        # An error has a body that need not be made of lines.
        return [rest] if rest else []

    def abort(self):
        """End the transfer and close its connection; may be called twice."""
        if not self.transfer.aborted and not self.task.done():
            self._client._abort(self.transfer, self._request)
