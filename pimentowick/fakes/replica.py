"""Fake of a replica on the users' platform, with event streams and plain responses."""

import asyncio
import collections
import contextlib
import dataclasses
import socket
import struct
import time
import weakref

from tornado import iostream

from pimentowick.fakes import faults, server

__all__ = ["Behaviour", "Replica"]

HEADER_PREFIX = "X-Pimentowick-"
ENDLESS_BLOCK_BYTES = 16_384
# Linger without waiting: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Time after an unframed response in which a caller may ask whether it was whole.
LIVES_ON_S = 2.0


@dataclasses.dataclass
class Behaviour:
    """How the replica handles one request.

    Attributes:
        kind: ``answer`` responds normally; ``refuse`` rejects the request as not run;
            ``misdirect`` does so as if the replica were another one;
            ``fail`` responds 500 and ``impossible`` 422; ``vanish`` runs the request
            and closes the connection without a response; ``extra`` sends a second,
            unsolicited response; ``unsigned`` omits the replica's identifier;
            ``crossed`` first sends a response to another request; ``wrong_order``
            leaves out an event; ``silent`` sends nothing and keeps the connection;
            ``unframed`` responds with neither a length nor chunks, announces that its
            connection closes, and closes;
            ``endless`` sends bytes that are no event until the caller closes; ``raw``
            sends `data` and closes.
        data: Bytes of a ``raw`` answer, with ``{id}`` for the identifier of the
            request.
        cut_after: Number of events or bytes after which the response is truncated.
        partial_event: Whether it is truncated in the middle of an event.
        crashes: Whether the replica crashes as an ``unframed`` response ends.
        resets: Whether the connection of an ``unframed`` response that is truncated is
            reset.
        awaits_release: Whether it is truncated, refused, or preceded by a late refusal
            only once `Replica.release` is set.
        late_refusal: Whether a refusal that belongs to no request precedes the next
            response on the connection: ``copy`` names this request, ``unnamed`` none.
    """

    kind: str = "answer"
    data: bytes = b""
    cut_after: int | None = None
    partial_event: bool = False
    crashes: bool = False
    resets: bool = False
    awaits_release: bool = False
    late_refusal: str = ""


class Replica(server.Server):
    """A replica that handles each request as planned by the test.

    Args:
        replica_id: Identifier; a request that names another one is rejected with 421.
        events: Number of events of a stream; 0 responds without a stream.
        event_interval_s: Pause before each event, in seconds.
        slots: Number of slots that the replica registers.
        version: Version of its software that it registers; None registers none.
        started_ms: Unix time of its start in milliseconds, which it registers and
            reports; 0 for a replica that says nothing of it.

    Attributes:
        planned_behaviours: `Behaviour` of each of the next requests; later ones are
            answered normally.
        weights: Version of its weights. A request that expects another one is rejected
            with 421.
        unmet_conditions: Number of requests that expected other weights.
        requests: Number of requests received, without those for another identifier or
            other weights.
        runs: Number of runs by request identifier.
        run_versions: Version of its software in each of these runs.
        headers: Headers of the requests that ran, in order.
        request_uris: Path and query of the requests that ran, in order.
        running: Number of requests running now.
        peak_running: Largest number of requests that ran concurrently.
        names_version: Whether each event names the version in its type.
        holds_last_event: Whether streams wait for `release` before their last event.
        release: Event that a test sets to continue held responses.
        crash_bodies: Bodies of the requests that crash the replica as they begin to
            run.
        crash_parts: Parts of prompts whose requests do the same.
        sends_head: Whether it sends the head of an unframed stream before it crashes.
        reports: Number of reports that it has sent.
        reports_start: Whether its reports say when it was started.
        reports_in_time: Whether it sends its reports before the caller gives up.
        crashes: Number of crashes.
        on_crash: Function called after a crash with the previous identifier.
        event_intervals_s: Pauses that differ from `event_interval_s`, by request path.
        plain_paths: Paths of the requests that it answers without a stream.
        is_unframed: Function from the identifier of a request to whether its normal
            response is unframed.
        whole_responses: Monotonic times at which unframed responses ended that it sent
            whole, and lived on, by request identifier.
        slowdown: Slowdown of a shared host that responses report, in percent of the
            usual time; None for a host of its own.
    """

    def __init__(
        self,
        replica_id="i-1",
        events=3,
        event_interval_s=0.0,
        slots=8,
        version="v1",
        started_ms=0,
    ):
        super().__init__()
        self.id = replica_id
        self.events = events
        self.event_interval_s = event_interval_s
        self.slots = slots
        self.version = version
        self.started_ms = started_ms
        self.weights = "1"
        self.unmet_conditions = 0
        self.planned_behaviours = []
        self.requests = 0
        self.runs = collections.Counter()
        self.run_versions = collections.defaultdict(list)
        self.headers = []
        self.request_uris = []
        self.running = 0
        self.peak_running = 0
        self.names_version = False
        self.holds_last_event = False
        self.release = asyncio.Event()
        self.crash_bodies = set()
        self.crash_parts = set()
        self.sends_head = False
        self.reports = 0
        self.reports_start = True
        self.reports_in_time = True
        self.crashes = 0
        self.on_crash = lambda previous_id: None
        self.event_intervals_s = {}
        self.plain_paths = frozenset()
        self.is_unframed = lambda request_id: False
        self.whole_responses = {}
        self.slowdown = None
        self._first_id = replica_id
        # Refusals to send before the next response, by connection.
        self._late_refusals = weakref.WeakKeyDictionary()

    def crash_under_request(self):
        """Crash because of a request in `crash_bodies`."""
        self.crash()

    def crash(self):
        """Break off all requests and continue under a new identifier."""
        self.crashes += 1
        previous_id, self.id = self.id, f"{self._first_id}.{self.crashes}"
        if self.started_ms:
            self.started_ms += 1
        self.end_connections()
        self.on_crash(previous_id)

    def restart(self, version):
        """Start anew under the same identifier, with another version of its software.

        It breaks off all requests, and does not register.
        """
        self.started_ms += 1
        self.version = version
        self.end_connections()

    def end_connections(self):
        """Close all connections; see `pimentowick.fakes.server.Server`."""
        super().end_connections()
        latest = time.monotonic() - LIVES_ON_S
        self.whole_responses = {
            request_id: at
            for request_id, at in self.whole_responses.items()
            if at < latest
        }

    def list_routes(self):
        """Return the routes of the replica."""
        return [("/-/report", _ReportHandler), ("/.*", _Handler)]

    def make_registration(self, service, **changes):
        """Return the record with which the replica registers itself."""
        version = {} if self.version is None else {"version": self.version}
        return {
            **version,
            **self.describe_run(),
            "service": service,
            "address": self.address,
            "zone": "here",
            "slots": self.slots,
            "state": "ready",
            **changes,
        }

    def describe_run(self):
        """Return what the replica says of its start."""
        return {"born": self.started_ms} if self.started_ms else {}


class _ReportHandler(faults.Handler):
    async def get(self):
        self.server.reports += 1
        if not self.server.reports_in_time:
            await self.wait_for_disconnect()
        run = self.server.describe_run() if self.server.reports_start else {}
        self.write({"num_running": self.server.running, **run})


class _Handler(faults.Handler):
    async def post(self):
        replica = self.server
        if self.connection.closed():
            # A run of the replica that has ended got the request, and not this one.
            return
        expected = self.request.headers.get(
            HEADER_PREFIX + "Expect-Instance", replica.id
        )
        if expected != replica.id:
            self._refuse(421)
            return
        expected_weights = self.request.headers.get(
            HEADER_PREFIX + "Expect-Version", replica.weights
        )
        if expected_weights != replica.weights:
            replica.unmet_conditions += 1
            self._refuse(421)
            return
        behaviour = (
            replica.planned_behaviours.pop(0)
            if replica.planned_behaviours
            else Behaviour()
        )
        replica.requests += 1
        if behaviour.kind == "misdirect":
            self._refuse(421)
            return
        if behaviour.kind == "refuse":
            if behaviour.awaits_release:
                await replica.release.wait()
            self._plan_late_refusal(behaviour)
            self._refuse(503)
            return
        request_id = self.request.headers.get(HEADER_PREFIX + "Request-Id")
        if request_id is None:
            self._refuse(400)
            return
        replica.runs[request_id] += 1
        replica.run_versions[request_id].append(replica.version)
        replica.headers.append(dict(self.request.headers))
        replica.request_uris.append(self.request.uri)
        replica.running += 1
        replica.peak_running = max(replica.peak_running, replica.running)
        try:
            await self._send_late_refusal(behaviour)
            await self._run(behaviour, request_id)
        finally:
            replica.running -= 1
        self._plan_late_refusal(behaviour)

    get = post

    async def _send_late_refusal(self, behaviour):
        """Send the refusal that an earlier request on the connection left."""
        late_refusals = self.server._late_refusals
        self._follows_refusal = self.connection in late_refusals
        if not self._follows_refusal:
            return
        if behaviour.awaits_release:
            await self.server.release.wait()
        self.connection.write(late_refusals.pop(self.connection))

    def _plan_late_refusal(self, behaviour):
        if not behaviour.late_refusal:
            return
        request_id = None
        if behaviour.late_refusal == "copy":
            request_id = self.request.headers[HEADER_PREFIX + "Request-Id"]
        self.server._late_refusals[self.connection] = _make_raw_refusal(request_id)

    def _refuse(self, status):
        """State that the request did not run."""
        self.set_status(status)
        self.set_header(HEADER_PREFIX + "Not-Executed", "1")
        request_id = self.request.headers.get(HEADER_PREFIX + "Request-Id")
        if request_id is not None:
            self.set_header(HEADER_PREFIX + "Request-Id", request_id)

    async def _run(self, behaviour, request_id):
        prefix = self.request.headers.get(HEADER_PREFIX + "Prompt-Prefix", "")
        parts = {row.partition(":")[0] for row in prefix.split(",")}
        if parts & self.server.crash_parts or self._has_crash_body():
            if self.server.sends_head:
                await self._respond_unframed(Behaviour(cut_after=0), request_id)
            self.server.crash_under_request()
            return
        if behaviour.kind == "vanish":
            self.close_connection()
            return
        is_normal = behaviour == Behaviour() and not self._follows_refusal
        if behaviour.kind == "unframed" or (
            is_normal and self.server.is_unframed(request_id)
        ):
            await self._respond_unframed(behaviour, request_id)
            return
        if behaviour.kind == "endless":
            await self._respond_endless(request_id)
            return
        if behaviour.kind == "raw":
            stream = self.detach()
            with contextlib.suppress(iostream.StreamClosedError):
                await stream.write(behaviour.data.replace(b"{id}", request_id.encode()))
            stream.close()
            return
        if behaviour.kind == "silent":
            await self.wait_for_disconnect()
        if behaviour.kind == "crossed":
            self.connection.write(_make_raw_response("another", b"stray"))
        self.set_header(HEADER_PREFIX + "Request-Id", request_id)
        if behaviour.kind != "unsigned":
            self.set_header(HEADER_PREFIX + "Server-Stamp", self.server.id)
        if self.server.slowdown is not None:
            self.set_header(HEADER_PREFIX + "Server-Load", self._describe_load())
        if behaviour.kind in ("fail", "impossible"):
            self.set_status(500 if behaviour.kind == "fail" else 422)
            return
        if self._is_plain():
            await self._respond_plain(behaviour, request_id)
        else:
            await self._stream_events(behaviour)

    def _is_plain(self):
        return not self.server.events or self.request.path in self.server.plain_paths

    def _describe_load(self):
        load = (self.server.running, 0, self.server.slots, self.server.slowdown)
        return ",".join(map(str, load))

    def _has_crash_body(self):
        return self.request.body in self.server.crash_bodies

    async def _respond_plain(self, behaviour, request_id):
        body = self.request.body or b"nothing"
        if behaviour.cut_after is not None:
            self.set_header("Content-Length", str(len(body)))
            self.write(body[: behaviour.cut_after])
            await self.flush()
            self.close_connection()
            return
        await self.finish(body)
        if behaviour.kind == "extra":
            self.connection.write(_make_raw_response("another", b"stray"))

    async def _respond_unframed(self, behaviour, request_id):
        lines = [
            "HTTP/1.1 200 OK",
            f"{HEADER_PREFIX}Request-Id: {request_id}",
            f"{HEADER_PREFIX}Server-Stamp: {self.server.id}",
            "Connection: close",
        ]
        if not self._is_plain():
            lines.append("Content-Type: text/event-stream")
        if self.server.slowdown is not None:
            lines.append(f"{HEADER_PREFIX}Server-Load: {self._describe_load()}")
        pieces, is_whole = self._make_pieces(behaviour)
        stream = self.detach()
        with contextlib.suppress(iostream.StreamClosedError):
            await stream.write("\r\n".join([*lines, "", ""]).encode())
            for piece in pieces:
                await asyncio.sleep(self._get_interval())
                await stream.write(piece)
        if stream.closed():
            return
        if behaviour.crashes:
            self.server.crash()
        elif is_whole and not self._follows_refusal:
            self.server.whole_responses[request_id] = time.monotonic()
        elif behaviour.resets and not is_whole:
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        stream.close()

    def _make_pieces(self, behaviour):
        """Return the parts of an unframed body, and whether it is whole."""
        if self._is_plain():
            body = self.request.body or b"nothing"
            sent = body[: behaviour.cut_after]
            middle = len(sent) // 2
            return [sent[:middle], sent[middle:]], sent == body
        numbers = self._list_numbers()
        sent = numbers[: behaviour.cut_after]
        pieces = [self._make_event(number).encode() for number in sent]
        if behaviour.partial_event:
            pieces.append(f"id: {sent[-1] + 1}\nda".encode())
        return pieces, sent == numbers and not behaviour.partial_event

    async def _respond_endless(self, request_id):
        lines = [
            "HTTP/1.1 200 OK",
            f"{HEADER_PREFIX}Request-Id: {request_id}",
            f"{HEADER_PREFIX}Server-Stamp: {self.server.id}",
        ]
        stream = self.detach()
        with contextlib.suppress(iostream.StreamClosedError):
            await stream.write("\r\n".join([*lines, "", ""]).encode())
            while True:
                await stream.write(b"x" * ENDLESS_BLOCK_BYTES)
                await asyncio.sleep(0)

    def _make_event(self, number):
        kind = f"event: {self.server.version}\n" if self.server.names_version else ""
        return f"{kind}id: {number}\ndata: word {number}\n\n"

    def _list_numbers(self):
        """Return the numbers of the events of a stream."""
        first = int(self.request.headers.get("Last-Event-Id", "0")) + 1
        return list(range(first, self.server.events + 1))

    def _get_interval(self):
        return self.server.event_intervals_s.get(
            self.request.path, self.server.event_interval_s
        )

    async def _stream_events(self, behaviour):
        self.set_header("Content-Type", "text/event-stream")
        for sent, number in enumerate(self._list_numbers()):
            if sent == behaviour.cut_after:
                if behaviour.partial_event:
                    self.write(f"id: {number}\nda")
                    await self.flush()
                if behaviour.awaits_release:
                    await self.server.release.wait()
                self.close_connection()
                return
            if behaviour.kind == "wrong_order" and sent == 1:
                continue
            await asyncio.sleep(self._get_interval())
            if self.server.holds_last_event and number == self.server.events:
                await self.server.release.wait()
            if self.closed.is_set():
                return
            self.write(self._make_event(number))
            await self.flush()


def _make_raw_response(request_id, body):
    lines = [
        "HTTP/1.1 200 OK",
        f"{HEADER_PREFIX}Request-Id: {request_id}",
        f"{HEADER_PREFIX}Server-Stamp: stray",
        f"Content-Length: {len(body)}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + body


def _make_raw_refusal(request_id):
    lines = [
        "HTTP/1.1 503 Service Unavailable",
        f"{HEADER_PREFIX}Not-Executed: 1",
        "Content-Length: 0",
    ]
    if request_id is not None:
        lines.append(f"{HEADER_PREFIX}Request-Id: {request_id}")
    return "\r\n".join([*lines, "", ""]).encode()
