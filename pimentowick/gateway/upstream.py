"""HTTP connections to targets.

Notes:
    The module uses tornado's `HTTP1Connection` instead of its curl client. A target may
    send a second response after the first, or more bytes than it announced, and the
    next request on that connection would read them as its response. Connections are
    therefore checked before each reuse and closed if unread bytes are present.
"""

import abc
import asyncio
import contextlib
import dataclasses
import enum
import itertools
import math
import socket
import struct
import time

from tornado import http1connection, httputil, iostream

from pimentowick import response_head
from pimentowick.gateway import decision_log, delivery, liveness, target
from pimentowick.platform import message

__all__ = [
    "Connection",
    "End",
    "Outcome",
    "Request",
    "Sink",
    "open_connection",
]

# Well above a round trip; a lost SYN is retransmitted only after a second.
CONNECT_TIMEOUT_S = 0.5
# A host that lost power acknowledges nothing. Allows for two retransmissions.
UNACKNOWLEDGED_MS = 1_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_BUFFER_BYTES = 8_388_608
READ_BYTES = 16_384
# Small chunks of a body are joined up to this size.
CHUNK_BYTES = 8_192
MAX_HEADER_BYTES = 65_536
# A body that is forwarded whole, or the events of one run of an item.
MAX_RESPONSE_BYTES = 3_145_728
# Rest of a response whose head says all that is needed.
MAX_UNUSED_BYTES = 16_384
# What may arrive beyond twice the body so far: bytes that are not joined to it yet, and
# the lines between chunks, which cost most if chunks hold next to nothing.
MAX_OVERHEAD_BYTES = 32_768
UNUSED_BODY_TIMEOUT_S = 0.1
# From the first byte of a head to its end.
HEAD_TIMEOUT_S = 1.0
# A target may send another response, which belongs to no request.
RESPONSE_START = b"HTTP/"
# Informational responses (1xx) before the expected one.
MAX_INTERIM_RESPONSES = 8
# Responses to earlier requests that are discarded before the expected one.
MAX_STRAY_RESPONSES = 2
# Well above a round trip to a busy target.
REPORT_TIMEOUT_S = 0.3
MAX_REPORT_BYTES = 65_536
# Of the refusal of a request without an identifier, which a question for a report is.
MISSING_ID_STATUS = 400
# Offset of `tcpi_last_data_recv` in `struct tcp_info` of Linux, and size up to its end.
LAST_DATA_RECEIVED_OFFSET = 52
TCP_INFO_BYTES = 56

PARAMETERS = http1connection.HTTP1ConnectionParameters(
    max_header_size=MAX_HEADER_BYTES,
    max_body_size=1 << 40,
    chunk_size=CHUNK_BYTES,
)


class End(enum.Enum):
    """How a request to a target ended."""

    COMPLETE = "whole"
    """The response is complete."""
    NOT_RUN = "not_run"
    """No byte was sent, or the target stated that the request did not run."""
    INCOMPLETE = "cut"
    """The response is missing or incomplete; the request may have run."""


ANSWERED = "answered"
REFUSED = "target_refused"
# Another target may have the address now.
MISDIRECTED = "misdirected"
# The target does not meet a condition that the caller set.
CONDITION_NOT_MET = "condition_not_met"
# No descriptor could be had for a connection; the target is not to blame.
NO_DESCRIPTOR = "no_descriptor"
# The caller's connection was closed; the target is not to blame.
CALLER_GONE = "caller_gone"
# The target has restarted under its old identifier, or may have.
OTHER_RUN = "other_run"
# Beginning of the reasons for which the target did not say when it was started.
REPORT_FAILED = "report_"
# Nothing but the closed connection tells that the response has ended, which also closes
# if the target crashes.
UNFRAMED = "unframed"
# The target had not taken the whole request as its connection closed.
UNREAD_REQUEST = "unread_request"
# Reasons of incomplete responses whose connection the target closed.
CLOSED_REASONS = frozenset({"closed", "cut_short", "reset"})


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How a request to a target ended, and why.

    Attributes:
        end: The `End`.
        reason: Reason code for the log.
        status: HTTP status of the response, or 0 without one.
        connected: Whether a connection to the target was open.
        body_bytes: Size of the body that arrived of an unframed response.
        alive_at: Latest monotonic time at which the target is known to have been alive.
        started_ms: Unix time of the start of the run that sent an unframed response in
            milliseconds, as it said itself or else as registered; 0 if unknown.
        inquiry: The `liveness.Inquiry` after an unframed response, or None.
        received: The `delivery.Delivery`, or None if the connection ended first.
    """

    end: End
    reason: str
    status: int = 0
    connected: bool = True
    body_bytes: int = 0
    alive_at: float = float("-inf")
    started_ms: int = 0
    inquiry: liveness.Inquiry | None = None
    received: delivery.Delivery | None = None

    def check_events(self, count, ends_within_event, is_continuation=False):
        """Return the outcome of an event stream, given what arrived.

        The end of an unframed stream may be that of its target, unless it had sent a
        whole event, or was seen alive after a continuation without one.

        Args:
            count: Number of whole events.
            ends_within_event: Whether part of another one arrived.
            is_continuation: Whether it goes on after an event of an earlier run.
        """
        if self.reason != UNFRAMED or self.status != 200:
            return self
        has_survived = count or (is_continuation and self.is_target_alive)
        if has_survived and not ends_within_event:
            return self
        return dataclasses.replace(self, reason="cut_short")

    def confirm_end(self, has_content):
        """Return the outcome, which is complete if the target lives on.

        A target that has announced that it closes its connection, and has closed it in
        order, has sent an unframed response to its end unless it crashed.

        Args:
            has_content: Whether something of the response had arrived, or it goes on
                after one that may have been whole. Otherwise nothing tells that the
                target had begun to send it.
        """
        if self.reason != UNFRAMED or not (has_content and self.is_target_alive):
            return self
        return dataclasses.replace(self, end=End.COMPLETE, reason=ANSWERED)

    @property
    def is_target_alive(self):
        """Whether the run that sent an unframed response was alive after its end."""
        return self.inquiry is not None and self.inquiry.is_alive

    @property
    def is_end_unknown(self):
        """Whether an unframed response may be whole, and its target is silent."""
        return (
            self.reason == UNFRAMED
            and self.inquiry is not None
            and self.inquiry.liveness == liveness.Liveness.UNKNOWN
        )

    @property
    def is_target_lost(self):
        """Whether the run that sent an unframed response had ended with it."""
        return self.inquiry is not None and self.inquiry.liveness in (
            liveness.Liveness.GONE,
            liveness.Liveness.OTHER_RUN,
        )

    @property
    def may_be_crash(self):
        """Whether the target may have crashed during the request."""
        is_lost = self.reason in CLOSED_REASONS or self.is_target_lost
        return self.end == End.INCOMPLETE and is_lost

    @property
    def is_refusal(self):
        """Whether the expected target received the request and rejected it."""
        return self.end == End.NOT_RUN and self.reason == REFUSED

    @property
    def is_unconfirmed(self):
        """Whether it was not sent, as it is uncertain which run would have got it."""
        is_other = self.end == End.NOT_RUN and self.reason == OTHER_RUN
        return is_other or self.is_late_report

    @property
    def is_late_report(self):
        """Whether it was not sent, as the target did not say which run it is."""
        return self.end == End.NOT_RUN and self.reason.startswith(REPORT_FAILED)

    @property
    def is_survival(self):
        """Whether the target ran the request without a crash.

        A target may also answer with an error before it begins to run a request.
        """
        return self.end == End.COMPLETE and self.status < 500


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request to a target.

    Attributes:
        request_id: Identifier of the request, or "".
        method: HTTP method.
        uri: Path and query.
        headers: `tornado.httputil.HTTPHeaders`.
        body: The body.
        connections: Numbers of the connections that carried it so far, shared by all
            attempts.
        run_check: The `pimentowick.gateway.target.RunCheck`, or None if nothing is
            known of the run of the target.
        waits_for_target: Whether the end of an unframed response waits for the target
            to say that it is alive for as long as the request, since no other run can
            take the place of this one.
        inquiry: The `liveness.Inquiry` after an unframed response.
    """

    request_id: str
    method: str
    uri: str
    headers: httputil.HTTPHeaders
    body: bytes
    connections: set = dataclasses.field(default_factory=set)
    run_check: target.RunCheck | None = None
    waits_for_target: bool = False
    inquiry: liveness.Inquiry = dataclasses.field(default_factory=liveness.Inquiry)


class Sink(abc.ABC):
    """Receives the response to one request as it arrives."""

    @abc.abstractmethod
    async def on_headers(self, status, headers, answer):
        """Handle the status, the headers and the decoded `message.ResponseHeaders`."""

    @abc.abstractmethod
    async def on_chunk(self, chunk):
        """Handle a chunk of the body."""

    @property
    def can_continue(self):
        """Whether more of the body may complete the response."""
        return True

    @property
    def may_be_whole(self):
        """Whether the response may be complete if it ends now."""
        return True

    def needs_body(self, status):
        """Return whether the body of a response with an HTTP status is of use."""
        return True


class _Stream(iostream.IOStream):
    """An `IOStream` that bounds responses, and can be checked for unread bytes.

    Attributes:
        is_abandoned: Whether it was closed because of what the target sent.
        body_bytes: Size of the body that was received of the current response.
        last_data_at: Monotonic time at which the last bytes had arrived before the peer
            closed the connection; minus infinity while that is not known.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.is_abandoned = False
        self.body_bytes = 0
        self.last_data_at = float("-inf")
        self._received_bytes = 0
        self._awaits_head = False
        self._head_timer = None

    def read_from_fd(self, buf):
        """Read bytes; see `tornado.iostream.BaseIOStream`."""
        count = super().read_from_fd(buf)
        if count == 0:
            self.last_data_at = time.monotonic() - _measure_silence(self.socket)
        if not count:
            return count
        if self._awaits_head:
            if self._head_timer is None:
                loop = asyncio.get_running_loop()
                self._head_timer = loop.call_later(HEAD_TIMEOUT_S, self.abandon)
            return count
        self._received_bytes += count
        if self._received_bytes > 2 * self.body_bytes + MAX_OVERHEAD_BYTES:
            asyncio.get_running_loop().call_soon(self.abandon)
        return count

    def expect_head(self):
        """Limit the time from the next byte on until `end_head` is called."""
        self._awaits_head = True

    def end_head(self):
        """Count the bytes of the body from now on."""
        self._awaits_head = False
        self._received_bytes = self.body_bytes = 0
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def abandon(self):
        """Close the connection, because the rest of a response is of no use."""
        self.is_abandoned = True
        self.close()

    def has_unread_bytes(self):
        """Return whether unread bytes are available, or the peer has closed."""
        return bool(self._read_buffer_size) or self._peek(1) is not None

    def has_foreign_bytes(self):
        """Return whether bytes that begin no response follow the last one."""
        # Tornado has no public way to look at what is buffered.
        data = bytes(self._read_buffer[: len(RESPONSE_START)])
        if not data and not self.closed():
            data = self._peek(len(RESPONSE_START)) or b""
        return not RESPONSE_START.startswith(data)

    def _peek(self, size):
        """Return bytes that are not read yet: b"" at the end, None for none so far."""
        try:
            return self.socket.recv(size, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""


class _Reader(httputil.HTTPMessageDelegate):
    """Passes a response to a sink if it belongs to the request.

    Args:
        request: The `Request`.
        sink: The `Sink`.
        on_load: Function called with the load that came with the response, or None.
        counted: The `traffic.Traffic` that counts the body.
        stream: The stream, which is closed once the rest of a response is of no use.
        is_first: Whether this is the first response on the connection. A refusal that
            names no request can't belong to an earlier one then.

    Attributes:
        status: HTTP status, or 0 before the headers arrive.
        answer: The decoded `message.ResponseHeaders`, None before the headers arrive.
        naming: The `delivery.Naming` of the response, None before the headers arrive.
        is_stray: Whether the response belongs to another request.
        is_finished: Whether the response has arrived completely.
        is_framed: Whether the end of the body is known without closing the connection.
        body_bytes: Size of the body that was received.
        beginning: The first bytes of an unframed body.
        needs_body: Whether the body is of use.
        fault: Reason code if the head is not that of a response, or None.
        is_caller_gone: Whether the sink's own connection was closed.
        cancellation: The `asyncio.CancelledError` of a method of the sink, or None.
    """

    def __init__(self, request, sink, on_load, counted, stream, is_first):
        self._request = request
        self._is_first = is_first
        self._sink = sink
        self._on_load = on_load
        self._traffic = counted
        self.status = 0
        self.answer = None
        self.naming = None
        self.is_stray = False
        self.is_finished = False
        self.is_framed = True
        self.body_bytes = 0
        self.beginning = b""
        self.needs_body = True
        self.fault = None
        self.is_caller_gone = False
        self.cancellation = None
        self._stream = stream
        self._interim_responses = 0
        self._unused_bytes = 0
        self._unused_timer = None

    @property
    def is_stopped(self):
        """Whether the connection was closed because the rest is of no use."""
        return self._stream.is_abandoned

    async def headers_received(self, start_line, headers):
        if response_head.is_interim(start_line.code):
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                self._stream.abandon()
            self._stream.end_head()
            self._stream.expect_head()
            return
        self._stream.end_head()
        self.fault = response_head.find_fault(start_line, headers)
        if self.fault is not None:
            self._stream.abandon()
            return
        self.status = start_line.code
        self.answer = message.decode_response_headers(start_line.code, headers)
        self.is_framed = response_head.is_framed(
            start_line.code, headers, self._request.method
        )
        self.naming = delivery.compare_ids(
            self.answer.request_id, self._request.request_id
        )
        self.is_stray = not self._is_own()
        self.needs_body = self._is_usable() and self._sink.needs_body(start_line.code)
        if self.needs_body and not self.is_framed:
            self.fault = self._find_framing_fault(headers)
            if self.fault is not None:
                self._stream.abandon()
                return
        if not self.is_stray:
            self._on_load(self.answer.load)
        if not self.is_stray and not self.answer.not_executed:
            await self._pass_on(
                self._sink.on_headers(start_line.code, headers, self.answer)
            )
        if self.needs_body and not self._sink.can_continue:
            self._stream.abandon()
        is_refusal = self.answer.not_executed or self.answer.is_misdirected
        if not (self.needs_body or is_refusal or "Content-Length" in headers):
            self._stream.abandon()
        if not self.needs_body:
            self._unused_timer = asyncio.get_running_loop().call_later(
                UNUSED_BODY_TIMEOUT_S, self._stream.abandon
            )

    def _find_framing_fault(self, headers):
        """Return a reason code if an unframed response has lost its framing, or None.

        A target that frames its responses by closing its connection says so.
        """
        if not self.answer.closes_connection:
            return "missing_framing"
        if response_head.has_joined_framing(headers):
            return "malformed_framing"
        return None

    def _is_own(self):
        """Return whether the response belongs to the request."""
        if self.naming != delivery.Naming.NONE:
            return self.naming == delivery.Naming.OWN
        return self._is_first and self.answer.not_executed

    def _is_usable(self):
        """Return whether the head is that of an answer to the request."""
        return (
            not self.is_stray
            and not self.answer.not_executed
            and not self.answer.is_misdirected
            and self.answer.is_signed
            and not self.answer.has_encoding
        )

    async def data_received(self, chunk):
        self._traffic.received += len(chunk)
        self._stream.body_bytes += len(chunk)
        self.body_bytes += len(chunk)
        if not self.is_framed:
            missing = response_head.MAX_BEGINNING_BYTES - len(self.beginning)
            self.beginning += chunk[:missing]
        if self.is_stopped:
            return
        if not self.needs_body:
            self._unused_bytes += len(chunk)
            if self._unused_bytes > MAX_UNUSED_BYTES:
                self._stream.abandon()
            return
        await self._pass_on(self._sink.on_chunk(chunk))
        if not self._sink.can_continue:
            self._stream.abandon()

    async def _pass_on(self, handling):
        """Wait until the sink has handled part of the response.

        Args:
            handling: Coroutine of a method of the sink.
        """
        try:
            await handling
        except iostream.StreamClosedError:
            self.is_caller_gone = True
            self._stream.abandon()
        except asyncio.CancelledError as error:
            # Tornado would log it and go on as if the response were malformed.
            self.cancellation = error
            self._stream.abandon()

    def finish(self):
        self.is_finished = not self.is_stopped
        self.close()

    def close(self):
        """Stop the timer."""
        if self._unused_timer is not None:
            self._unused_timer.cancel()

    def on_connection_close(self):
        pass


class _ReportReader(httputil.HTTPMessageDelegate):
    """Collects the body of a target's report.

    A report without framing says whether it is whole, as one that is cut is not JSON.

    Args:
        stream: The stream, which is closed if the report is too long.

    Attributes:
        body: The body.
        idle_s: Keep-alive timeout of the target in seconds, or None.
        is_finished: Whether the report has arrived completely.
        is_reusable: Whether the connection may carry another request.
    """

    def __init__(self, stream):
        self._stream = stream
        self.body = b""
        self.idle_s = None
        self.is_finished = False
        self.is_reusable = False

    def headers_received(self, start_line, headers):
        self._stream.end_head()
        answer = message.decode_response_headers(start_line.code, headers)
        is_framed = response_head.is_framed(start_line.code, headers)
        if response_head.find_fault(start_line, headers) or not (
            is_framed or answer.closes_connection
        ):
            self._stream.abandon()
            return
        is_answer = start_line.code == MISSING_ID_STATUS or not answer.not_executed
        if answer.request_id or not is_answer:
            # The late response to another request.
            self._stream.abandon()
            return
        self.is_reusable = is_framed and not answer.closes_connection
        self.idle_s = answer.idle_s

    def data_received(self, chunk):
        self._stream.body_bytes += len(chunk)
        self.body += chunk
        if len(self.body) > MAX_REPORT_BYTES:
            self._stream.abandon()

    def finish(self):
        # Tornado reads on from its buffer if the connection was closed at the head.
        self.is_finished = not self._stream.is_abandoned

    def on_connection_close(self):
        self.is_reusable = False


class Connection:
    """One connection to a target.

    Args:
        stream: The open stream.
        address: IP address and TCP port of the target.
        on_load: Function called with the load that comes with each response.
        counted: The `traffic.Traffic` that counts the bodies.

    Attributes:
        number: Number of the connection, unique in this process.
        opened_at: Monotonic time at which it was opened.
        idle_until: Monotonic time until which it may be reused.
    """

    _numbers = itertools.count(1)

    def __init__(self, stream, address, on_load, counted):
        self.number = next(self._numbers)
        self.opened_at = time.monotonic()
        self._request_count = 0
        # When the target was started, 0 if it does not say, None if it was not asked.
        self._started_ms = None
        self.stream = stream
        self._address = address
        self._on_load = on_load
        self._traffic = counted
        self.idle_until = 0.0

    async def exchange(self, request, sink, policy):
        """Send a request and pass its response to `sink`.

        Args:
            request: The `Request`.
            sink: The `Sink`.
            policy: The `connection_share.IdlePolicy` for the connection.

        Returns:
            The `Outcome`, and whether the connection can be reused.
        """
        received = self._start_delivery(request)
        http = http1connection.HTTP1Connection(self.stream, True, PARAMETERS)
        start_line = httputil.RequestStartLine(request.method, request.uri, "HTTP/1.1")
        self._traffic.sent += len(request.body)
        written = http.write_headers(start_line, request.headers, request.body or None)
        http.finish()
        sent_at = time.monotonic()
        reader, received = await self._read_own(http, request, sink, received)
        outcome = self._classify(request, reader)
        if outcome.reason == UNFRAMED and not written.done():
            outcome = dataclasses.replace(outcome, reason=UNREAD_REQUEST)
        outcome = dataclasses.replace(
            outcome,
            received=received,
            alive_at=max(sent_at, self.stream.last_data_at),
            started_ms=self._find_start(request.run_check),
        )
        reusable = (
            reader.is_finished
            and reader.is_framed
            and not reader.is_stray
            and not reader.answer.closes_connection
            # After an early response the target still reads this request's body.
            and written.done()
            and not self.stream.closed()
        )
        if reusable:
            idle_s = policy.compute_idle_time(reader.answer.idle_s)
            self.idle_until = time.monotonic() + idle_s
        return outcome, reusable

    async def check_run(self, run_check):
        """Return whether a request may be sent to the run of the target at the end.

        The target is asked once: a connection ends with the run that accepted it.

        Args:
            run_check: The `pimentowick.gateway.target.RunCheck` of the request, or
                None if any run may get it.

        Raises:
            StreamClosedError: The target closed the connection.
            TimeoutError: It did not answer in time.
        """
        if run_check is None or not run_check.is_asked:
            return True
        if self._started_ms is None:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                self._started_ms = await self.ask_start()
        return run_check.compare(self._started_ms)

    def _find_start(self, run_check):
        """Return when the run at the other end was started, or 0 if that is unknown."""
        if self._started_ms:
            return self._started_ms
        return 0 if run_check is None else run_check.started_ms

    async def ask_start(self):
        """Ask the target when it was started, before another request.

        Returns:
            Unix time in milliseconds, or 0 if the target does not say.

        Raises:
            StreamClosedError: The target sent no complete response, or closes the
                connection.
        """
        reader = await self._ask_report()
        if not reader.is_reusable or self.stream.closed():
            raise iostream.StreamClosedError
        return message.decode_report(reader.body)

    async def ask_run(self, policy):
        """Ask the target which run it is; the connection may end with the answer.

        Args:
            policy: The `connection_share.IdlePolicy` for the connection.

        Returns:
            Unix time of its start in milliseconds, or 0 if it does not say.

        Raises:
            StreamClosedError: The target sent no complete response.
        """
        self.idle_until = 0.0
        if self.stream.closed() or self.stream.has_unread_bytes():
            raise iostream.StreamClosedError
        reader = await self._ask_report()
        if reader.is_reusable:
            idle_s = policy.compute_idle_time(reader.idle_s)
            self.idle_until = time.monotonic() + idle_s
        self._started_ms = message.decode_report(reader.body)
        return self._started_ms

    async def _ask_report(self):
        """Return the `_ReportReader` of a complete report.

        Raises:
            StreamClosedError: The target sent none.
        """
        self._request_count += 1
        http = http1connection.HTTP1Connection(self.stream, True, PARAMETERS)
        start_line = httputil.RequestStartLine("GET", message.REPORT_PATH, "HTTP/1.1")
        ip, port = self._address
        headers = httputil.HTTPHeaders({"Host": f"{ip}:{port}"})
        http.write_headers(start_line, headers)
        http.finish()
        reader = _ReportReader(self.stream)
        self.stream.expect_head()
        try:
            await http.read_response(reader)
        finally:
            self.stream.end_head()
        if not reader.is_finished:
            raise iostream.StreamClosedError
        return reader

    def _start_delivery(self, request):
        """Count a request; return its `delivery.Delivery` without a response."""
        received = delivery.Delivery(
            self.number,
            self._request_count,
            self.number in request.connections,
            time.monotonic() - self.opened_at,
        )
        self._request_count += 1
        request.connections.add(self.number)
        return received

    async def _read_own(self, http, request, sink, received):
        """Read responses up to that of the request; discard those before it.

        Returns:
            The `_Reader` of the last response, and the complete `delivery.Delivery`.
        """
        is_first = not received.earlier_requests
        reader = await self._read(http, request, sink, is_first)
        strays = []
        for _ in range(MAX_STRAY_RESPONSES):
            if not (reader.is_finished and reader.is_stray and reader.is_framed):
                break
            strays.append(reader.naming)
            self._log_stray(request, reader, received)
            http = http1connection.HTTP1Connection(self.stream, True, PARAMETERS)
            http.finish()
            reader = await self._read(http, request, sink, is_first=False)
        return reader, dataclasses.replace(
            received, naming=reader.naming, strays=tuple(strays)
        )

    def _log_stray(self, request, reader, received):
        decision_log.log_request_event(
            "target.stray_response",
            request.request_id,
            status=reader.status,
            names=reader.naming,
            says_not_run=reader.answer.not_executed,
            **delivery.describe(received),
        )

    async def _read(self, http, request, sink, is_first):
        """Read one response; return the `_Reader`.

        Raises:
            StreamClosedError: The target closed the connection.
            CancelledError: The request was cancelled.
        """
        reader = _Reader(
            request,
            sink,
            self._on_load,
            self._traffic,
            self.stream,
            is_first,
        )
        self.stream.expect_head()
        try:
            await http.read_response(reader)
        except iostream.StreamClosedError:
            if not reader.is_stopped:
                raise
        finally:
            self.stream.end_head()
            reader.close()
        if reader.cancellation is not None:
            raise reader.cancellation
        return reader

    def _classify(self, request, reader):
        answer = reader.answer
        if reader.fault is not None:
            return Outcome(End.INCOMPLETE, reader.fault)
        if answer is None:
            reason = "endless_head" if reader.is_stopped else "malformed_head"
            return Outcome(End.INCOMPLETE, reason)
        if reader.is_caller_gone:
            return Outcome(End.INCOMPLETE, CALLER_GONE, reader.status)
        if reader.is_stray:
            return Outcome(End.INCOMPLETE, "answer_to_another_request", reader.status)
        if answer.is_misdirected:
            is_conditional = message.expects_version(request.headers)
            reason = CONDITION_NOT_MET if is_conditional else MISDIRECTED
            return Outcome(End.NOT_RUN, reason, reader.status)
        if answer.not_executed:
            return Outcome(End.NOT_RUN, REFUSED, reader.status)
        if reader.is_stopped and reader.needs_body:
            return Outcome(End.INCOMPLETE, "endless_body", reader.status)
        if not reader.is_finished and not reader.is_stopped:
            return Outcome(End.INCOMPLETE, "malformed_body", reader.status)
        if not reader.is_framed and self.stream.error is not None:
            return Outcome(End.INCOMPLETE, "reset", reader.status)
        if not answer.is_signed:
            return Outcome(End.INCOMPLETE, "unsigned", reader.status)
        if answer.has_encoding:
            return Outcome(End.INCOMPLETE, "encoded", reader.status)
        if reader.needs_body and reader.is_framed and self.stream.has_foreign_bytes():
            return Outcome(End.INCOMPLETE, "excess_bytes", reader.status)
        if reader.needs_body and not reader.is_framed:
            if response_head.is_rest_of_response(reader.beginning):
                return Outcome(End.INCOMPLETE, "malformed_framing", reader.status)
            return Outcome(
                End.INCOMPLETE, UNFRAMED, reader.status, body_bytes=reader.body_bytes
            )
        return Outcome(End.COMPLETE, ANSWERED, reader.status)

    def is_reusable(self, now):
        """Return whether another request may be sent."""
        return (
            now < self.idle_until
            and not self.stream.closed()
            and not self.stream.has_unread_bytes()
        )

    def close(self):
        """Close the connection; the target cancels a request in progress."""
        self.stream.close()


async def open_connection(address, on_load, counted):
    """Return a new `Connection` to the target at an address.

    Raises:
        OSError: It could not be opened.
        TimeoutError: The target did not accept it in time.
        StreamClosedError: The target refused it.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    _set_options(sock)
    stream = _Stream(sock, max_buffer_size=MAX_BUFFER_BYTES, read_chunk_size=READ_BYTES)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await stream.connect(address)
    except BaseException:
        with contextlib.suppress(OSError):
            stream.close()
        raise
    return Connection(stream, address, on_load, counted)


def _measure_silence(sock):
    """Return the seconds since the last bytes arrived; infinite if unknown.

    They may have been read much later.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (silence_ms,) = struct.unpack_from("=I", info, LAST_DATA_RECEIVED_OFFSET)
    except (OSError, struct.error):
        return math.inf
    return silence_ms / 1000


def _set_options(sock):
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
