"""Connections to targets, and one request over one of them.

Notes:
    These use tornado's `HTTP1Connection` in place of its curl client. A target may
    send a second answer behind the first or more bytes than it announced; whoever
    takes the next request over that connection would get them. Here a connection is
    looked at before each use, and bytes that nobody asked for end it.
"""

import abc
import asyncio
import contextlib
import dataclasses
import enum
import socket
import time

from tornado import http1connection, httputil, iostream

from pimentowick.platform import message

__all__ = ["End", "Outcome", "Pool", "Request", "Sink"]

# A connection opens within a round trip; a packet lost on the way is sent again
# after a second.
CONNECT_TIMEOUT_S = 0.5
# A target that lost power answers nothing: what was sent stays unacknowledged. Room
# for a lost packet to be sent again twice.
UNACKNOWLEDGED_MS = 1_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Targets close idle connections after a time of their own; below it by this share,
# so that a request does not meet the close.
IDLE_SHARE = 0.6
DEFAULT_IDLE_S = 4.0
MAX_IDLE = 16
MAX_BUFFER_BYTES = 8_388_608
CHUNK_BYTES = 65_536
MAX_HEADER_BYTES = 65_536
# Answers to earlier requests that are passed over before the one wanted.
MAX_STRAY = 2

PARAMETERS = http1connection.HTTP1ConnectionParameters(
    max_header_size=MAX_HEADER_BYTES,
    max_body_size=1 << 40,
    chunk_size=CHUNK_BYTES,
)


class End(enum.Enum):
    """How a request at a target ended."""

    WHOLE = "whole"
    """The whole answer came."""
    NOT_RUN = "not_run"
    """No byte left, or the target stated that the request did not run."""
    CUT = "cut"
    """The answer is missing or incomplete; the request may have run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How a request ended, and why.

    Attributes:
        end: The `End`.
        why: Short reason for the log.
        status: Status of the answer, or 0.
        connected: Whether the target was reached.
    """

    end: End
    why: str
    status: int = 0
    connected: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request for a target."""

    request_id: str
    method: str
    uri: str
    headers: httputil.HTTPHeaders
    body: bytes


class Sink(abc.ABC):
    """Takes the answer to one request as it arrives."""

    @abc.abstractmethod
    async def take_head(self, status, headers, answer):
        """Take status, headers and the `message.ResponseHeaders` that they make."""

    @abc.abstractmethod
    async def take_chunk(self, chunk):
        """Take some bytes of the body."""


class _Stream(iostream.IOStream):
    """A stream that can be asked whether bytes wait that nobody reads."""

    def has_stray_bytes(self):
        """Return whether bytes wait, or the peer has closed."""
        if self._read_buffer_size:
            return True
        try:
            self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


class _Reader(httputil.HTTPMessageDelegate):
    """Gives one answer to a sink, if it answers the request."""

    def __init__(self, request_id, sink):
        self._request_id = request_id
        self._sink = sink
        self.status = 0
        self.answer = None
        self.stray = False
        self.finished = False
        self.framed = True

    async def headers_received(self, start_line, headers):
        if 100 <= start_line.code < 200:
            return
        self.status = start_line.code
        self.answer = message.decode_response_headers(start_line.code, headers)
        self.framed = (
            "Content-Length" in headers
            or "Transfer-Encoding" in headers
            or start_line.code in (204, 304)
        )
        # Refusals need not name the request.
        nameless = self.answer.not_executed and not self.answer.request_id
        self.stray = self.answer.request_id != self._request_id and not nameless
        if not self.stray and not self.answer.not_executed:
            await self._sink.take_head(start_line.code, headers, self.answer)

    async def data_received(self, chunk):
        if not self.stray and not self.answer.not_executed:
            await self._sink.take_chunk(chunk)

    def finish(self):
        self.finished = True

    def on_connection_close(self):
        pass


class _Connection:
    """One connection to a target."""

    def __init__(self, stream):
        self.stream = stream
        self.idle_until = 0.0
        self.used = 0

    async def exchange(self, request, sink):
        """Send a request and give its answer to `sink`; return (Outcome, kept)."""
        http = http1connection.HTTP1Connection(self.stream, True, PARAMETERS)
        line = httputil.RequestStartLine(request.method, request.uri, "HTTP/1.1")
        self.used += 1
        written = http.write_headers(line, request.headers, request.body or None)
        http.finish()
        reader = _Reader(request.request_id, sink)
        await http.read_response(reader)
        for _ in range(MAX_STRAY):
            if not (reader.finished and reader.stray and reader.framed):
                break
            # The answer to an earlier request, late; the identifier tells.
            reader = _Reader(request.request_id, sink)
            http = http1connection.HTTP1Connection(self.stream, True, PARAMETERS)
            http.finish()
            await http.read_response(reader)
        outcome = self._judge(reader)
        kept = (
            reader.finished
            and reader.framed
            and not reader.stray
            and not reader.answer.closes_connection
            # A target that answers early reads on: other bytes must not follow.
            and written.done()
            and not self.stream.closed()
        )
        if kept:
            idle_s = reader.answer.idle_s
            idle_s = DEFAULT_IDLE_S if idle_s is None else idle_s * IDLE_SHARE
            self.idle_until = time.monotonic() + min(idle_s, DEFAULT_IDLE_S)
        return outcome, kept

    def _judge(self, reader):
        answer = reader.answer
        if answer is None:
            return Outcome(End.CUT, "no_answer")
        if reader.stray:
            return Outcome(End.CUT, "answer_to_another_request", reader.status)
        if answer.is_misdirected:
            return Outcome(End.NOT_RUN, "misdirected", reader.status)
        if answer.not_executed:
            return Outcome(End.NOT_RUN, "target_refused", reader.status)
        if not reader.finished:
            return Outcome(End.CUT, "cut_short", reader.status)
        if not reader.framed and self.stream.error is not None:
            return Outcome(End.CUT, "reset", reader.status)
        if not answer.is_signed:
            return Outcome(End.CUT, "unsigned", reader.status)
        if answer.has_encoding:
            return Outcome(End.CUT, "encoded", reader.status)
        return Outcome(End.WHOLE, "answered", reader.status)

    def is_clean(self, now):
        """Return whether another request may follow."""
        return (
            now < self.idle_until
            and not self.stream.closed()
            and not self.stream.has_stray_bytes()
        )

    def close(self):
        """Close; a target drops what it still does for us."""
        self.stream.close()


class Pool:
    """The connections to one target.

    Args:
        ip: IP number of the target.
        port: TCP port.
        get_max_idle: Function that returns how many idle connections may be kept.

    Attributes:
        opened: Number of connections opened.
    """

    def __init__(self, ip, port, get_max_idle=lambda: MAX_IDLE):
        self._address = (ip, port)
        self._get_max_idle = get_max_idle
        self._idle = []
        self.opened = 0

    async def send(self, request, sink):
        """Send a request; return its `Outcome`.

        Cancelling closes the connection, and the target ends the request.
        """
        connection = self._take_idle()
        if connection is None:
            try:
                connection = await self._open()
            except (OSError, TimeoutError, iostream.StreamClosedError) as error:
                why = f"connect_{type(error).__name__}"
                return Outcome(End.NOT_RUN, why, connected=False)
        kept = False
        try:
            outcome, kept = await connection.exchange(request, sink)
        except iostream.StreamClosedError:
            outcome = Outcome(End.CUT, "closed")
        finally:
            if kept and len(self._idle) < min(MAX_IDLE, self._get_max_idle()):
                self._idle.append(connection)
            else:
                connection.close()
        return outcome

    def close(self):
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _take_idle(self):
        now = time.monotonic()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_clean(now):
                return connection
            connection.close()
        return None

    async def _open(self):
        self.opened += 1
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        _set_options(sock)
        stream = _Stream(
            sock, max_buffer_size=MAX_BUFFER_BYTES, read_chunk_size=CHUNK_BYTES
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.connect(self._address)
        except BaseException:
            with contextlib.suppress(OSError):
                stream.close()
            raise
        return _Connection(stream)


def _set_options(sock):
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
