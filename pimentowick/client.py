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
import dataclasses
import time

import orjson
import pycurl
from tornado import curl_httpclient, httpclient

from pimentowick import exception, verdict

__all__ = ["Answer", "Client", "Stream", "TransportError"]

DEFAULT_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 1.0
# libcurl looks at a transfer at least once a second while a low speed limit is
# set; that is what ends an aborted transfer whose connection is silent.
LOW_SPEED_BYTES = 1
MAX_IDLE_CONNECTION_S = 60
MAX_DISTRUSTED = 10_000


class TransportError(exception.UnavailableError):
    """A request got no whole answer.

    Attributes:
        verdict: Whether the request may have run at the peer.
        silent: Whether the connection was open but nothing came.
    """

    def __init__(self, message, verdict, silent=False):
        super().__init__(message)
        self.verdict = verdict
        self.silent = silent


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
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

    def check_progress(self, *counts):
        """Make libcurl end the transfer once it was aborted."""
        return 1 if self.aborted else 0

    def get_verdict(self):
        """Return what is known while no whole answer came."""
        if self.sent:
            return verdict.Verdict.MAY_HAVE_RUN
        return verdict.Verdict.NOT_RUN


class _CurlClient(curl_httpclient.CurlAsyncHTTPClient):
    """Tornado's client, quiet about a timer that fires once more when closed."""

    def _handle_timeout(self):
        if self._multi is not None:
            super()._handle_timeout()


class Client:
    """A pool of connections for one class of traffic.

    Online traffic, batch traffic and control each have a client of their own, so
    that none waits in the queue of another one.

    Args:
        max_connections: How many requests may be open at once.
        tls: `pimentowick.tls.ClientTls` for encrypted peers, or None.
    """

    def __init__(self, max_connections=64, tls=None):
        self.max_connections = max_connections
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

    def distrust(self, address):
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
        fresh=False,
    ):
        """Send one request and return its whole answer.

        Args:
            method: HTTP method.
            address: ``IP:port`` of the peer.
            path: Path and query.
            body: Bytes, or data to send as JSON, or None.
            headers: Dictionary of headers.
            timeout_s: Bound of the whole exchange, in seconds.
            fresh: Whether to use a new connection.

        Raises:
            TransportError: If no whole answer came.
        """
        transfer = _Transfer()
        request = self._build(
            transfer, method, address, path, body, headers, timeout_s, fresh
        )
        try:
            response = await self._curl.fetch(request, raise_error=False)
        except httpclient.HTTPError as error:
            raise self._explain(transfer, address, error) from error
        if response.error is not None and response.code == 599:
            raise self._explain(transfer, address, response.error)
        return Answer(response.code, response.body, response.headers)

    def open_stream(
        self,
        method,
        address,
        path,
        body=None,
        headers=None,
        timeout_s=3600.0,
        idle_s=5.0,
        fresh=False,
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
            fresh: Whether to use a new connection.
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
            fresh,
            stream=stream,
        )
        stream.task = asyncio.ensure_future(
            self._curl.fetch(request, raise_error=False)
        )
        stream.task.add_done_callback(stream.finish)
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
        fresh,
        stream=None,
    ):
        if body is not None and not isinstance(body, bytes):
            body = orjson.dumps(body)
        if body is None and method in ("POST", "PUT", "PATCH"):
            body = b""
        scheme = "http" if self._tls is None else "https"
        distrusted_at = self._distrusted.get(address)

        def prepare(curl):
            _apply_options(curl, transfer, fresh, distrusted_at)
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
        silent = transfer.sent and number == pycurl.E_OPERATION_TIMEDOUT
        if silent:
            self.distrust(address)
        return TransportError(
            f"No answer from {address}: {error}.", transfer.get_verdict(), silent
        )


def _apply_options(curl, transfer, fresh, distrusted_at):
    # Handles are used again, so every option is set for every request.
    curl.setopt(pycurl.NOPROXY, "*")
    curl.setopt(pycurl.PREREQFUNCTION, transfer.allow_send)
    curl.setopt(pycurl.NOPROGRESS, 0)
    curl.setopt(pycurl.XFERINFOFUNCTION, transfer.check_progress)
    curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_CONNECTION_S)
    curl.setopt(pycurl.LOW_SPEED_LIMIT, 0)
    curl.setopt(pycurl.LOW_SPEED_TIME, 0)
    lifetime = 0
    if distrusted_at is not None:
        lifetime = int(time.monotonic() - distrusted_at)
        fresh = fresh or lifetime == 0
    curl.setopt(pycurl.MAXLIFETIME_CONN, lifetime)
    curl.setopt(pycurl.FRESH_CONNECT, 1 if fresh else 0)


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
        self._pieces = []
        self._rest = b""
        self._arrived = asyncio.Event()
        self._closed = False

    def attach(self, curl):
        """Direct the answer of the handle to this stream."""
        curl.setopt(pycurl.WRITEFUNCTION, self._write)
        curl.setopt(pycurl.LOW_SPEED_LIMIT, LOW_SPEED_BYTES)
        curl.setopt(pycurl.LOW_SPEED_TIME, int(self.idle_s) + 2)

    def _write(self, piece):
        if self.transfer.aborted:
            return 0
        self._pieces.append(piece)
        self._arrived.set()
        return len(piece)

    def finish(self, task):
        """Note that libcurl is done with the request."""
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
                self._check_end()
                return []
            self._arrived.clear()
            try:
                async with asyncio.timeout(self.idle_s):
                    await self._arrived.wait()
            except TimeoutError:
                self.abort()
                self._client.distrust(self.address)
                raise TransportError(
                    f"Nothing came from {self.address} for {self.idle_s:g} s.",
                    self.transfer.get_verdict(),
                    silent=True,
                ) from None

    def _take_lines(self):
        if not self._pieces:
            return []
        data = self._rest + b"".join(self._pieces)
        self._pieces.clear()
        lines = data.split(b"\n")
        self._rest = lines.pop()
        return [line for line in lines if line]

    def _check_end(self):
        error = self.task.exception()
        if error is not None:
            raise self._client._explain(self.transfer, self.address, error)
        response = self.task.result()
        if response.code == 599:
            raise self._client._explain(self.transfer, self.address, response.error)
        if self._rest:
            raise TransportError(
                f"The answer of {self.address} broke off.",
                verdict.Verdict.MAY_HAVE_RUN,
            )

    def abort(self):
        """End the transfer and close its connection; may be called twice."""
        self.transfer.aborted = True
