"""Stand-in of a replica on the users' platform: event streams and plain answers."""

import asyncio
import collections
import dataclasses

from pimentowick.fakes import faults, server

__all__ = ["Behaviour", "Replica"]

PREFIX = "X-Pimentowick-"


@dataclasses.dataclass
class Behaviour:
    """How one request is answered.

    Attributes:
        kind: ``answer``, ``refuse`` (did not run), ``fail`` (500), ``impossible``
            (422), ``vanish`` (runs, no answer), ``extra`` (a second answer),
            ``unsigned``, ``crossed`` (an answer to another request first),
            ``wrong_order`` (an event is missing) or ``silent`` (nothing more).
        cut_after: Number of events or bytes after which the answer breaks off.
        partial_event: Whether it breaks off in the middle of an event.
        awaits_release: Whether it does so only once `Replica.release` is set.
    """

    kind: str = "answer"
    cut_after: int | None = None
    partial_event: bool = False
    awaits_release: bool = False


class Replica(server.Server):
    """A replica.

    Args:
        replica_id: Identifier, checked against what a request expects.
        events: Number of events of a stream; 0 answers plainly.
        event_interval_s: Pause before each event, in seconds.
        slots: Requests that run at once; others wait.

    Attributes:
        planned_behaviours: `Behaviour` of each of the next requests; later ones are
            answered normally.
        runs: Number of runs by request identifier.
        headers: Headers of the requests that ran, in order.
        request_uris: Their paths and queries.
        running: Requests that run now.
        peak_running: Most that ran at once.
        holds_last_event: Whether streams wait for `release` before their last event.
        release: Set by a test to let held answers go on, or break off.
    """

    def __init__(self, replica_id="i-1", events=3, event_interval_s=0.0, slots=8):
        super().__init__()
        self.id = replica_id
        self.events = events
        self.event_interval_s = event_interval_s
        self.slots = slots
        self.planned_behaviours = []
        self.runs = collections.Counter()
        self.headers = []
        self.request_uris = []
        self.running = 0
        self.peak_running = 0
        self.holds_last_event = False
        self.release = asyncio.Event()

    def list_routes(self):
        """Return the routes of the replica."""
        return [("/.*", _Handler)]

    def make_registration(self, service, **changes):
        """Return the entry that the replica writes about itself."""
        return {
            "service": service,
            "address": self.address,
            "zone": "here",
            "slots": self.slots,
            "state": "ready",
            **changes,
        }


class _Handler(faults.Handler):
    async def post(self):
        replica = self.server
        expected = self.request.headers.get(PREFIX + "Expect-Instance", replica.id)
        if expected != replica.id:
            self.set_status(421)
            return
        behaviour = (
            replica.planned_behaviours.pop(0)
            if replica.planned_behaviours
            else Behaviour()
        )
        if behaviour.kind == "refuse":
            self.set_status(503)
            self.set_header(PREFIX + "Not-Executed", "1")
            return
        request_id = self.request.headers[PREFIX + "Request-Id"]
        replica.runs[request_id] += 1
        replica.headers.append(dict(self.request.headers))
        replica.request_uris.append(self.request.uri)
        replica.running += 1
        replica.peak_running = max(replica.peak_running, replica.running)
        try:
            await self._run(behaviour, request_id)
        finally:
            replica.running -= 1

    get = post

    async def _run(self, behaviour, request_id):
        if behaviour.kind == "vanish":
            self.hang_up()
            return
        if behaviour.kind == "silent":
            await self.go_silent()
        if behaviour.kind == "crossed":
            self.connection.write(_make_plain("another", b"stray"))
        self.set_header(PREFIX + "Request-Id", request_id)
        if behaviour.kind != "unsigned":
            self.set_header(PREFIX + "Server-Stamp", self.server.id)
        if behaviour.kind in ("fail", "impossible"):
            self.set_status(500 if behaviour.kind == "fail" else 422)
            return
        if self.server.events:
            await self._stream(behaviour)
        else:
            await self._answer_plain(behaviour, request_id)

    async def _answer_plain(self, behaviour, request_id):
        body = self.request.body or b"nothing"
        if behaviour.cut_after is not None:
            self.set_header("Content-Length", str(len(body)))
            self.write(body[: behaviour.cut_after])
            await self.flush()
            self.hang_up()
            return
        await self.finish(body)
        if behaviour.kind == "extra":
            self.connection.write(_make_plain("another", b"stray"))

    async def _stream(self, behaviour):
        self.set_header("Content-Type", "text/event-stream")
        first = int(self.request.headers.get("Last-Event-Id", "0")) + 1
        for sent, number in enumerate(range(first, self.server.events + 1)):
            if sent == behaviour.cut_after:
                if behaviour.partial_event:
                    self.write(f"id: {number}\nda")
                    await self.flush()
                if behaviour.awaits_release:
                    await self.server.release.wait()
                self.hang_up()
                return
            if behaviour.kind == "wrong_order" and sent == 1:
                continue
            await asyncio.sleep(self.server.event_interval_s)
            if self.server.holds_last_event and number == self.server.events:
                await self.server.release.wait()
            if self.closed.is_set():
                return
            self.write(f"id: {number}\ndata: word {number}\n\n")
            await self.flush()


def _make_plain(request_id, body):
    lines = [
        "HTTP/1.1 200 OK",
        f"{PREFIX}Request-Id: {request_id}",
        f"{PREFIX}Server-Stamp: stray",
        f"Content-Length: {len(body)}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + body
