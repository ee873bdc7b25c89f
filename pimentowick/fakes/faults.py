"""Fault injection for the fake servers."""

import asyncio
import dataclasses
import itertools
import json
import os
import weakref

from tornado import web

__all__ = ["KINDS", "Fault", "FaultHandler", "FaultInjector", "Handler"]

REQUEST_KINDS = frozenset({"down", "slow", "lose_answer"})
RESPONSE_KINDS = frozenset({"stall", "cut", "trickle"})
KINDS = REQUEST_KINDS | RESPONSE_KINDS | {"freeze", "die", "clear"}
EXEMPT_PATHS = frozenset({"/fault", "/runs"})
EXIT_STATUS = 1
TRICKLE_CHUNKS = 8


@dataclasses.dataclass
class Fault:
    """One fault to inject.

    The kinds are: ``down`` answers `status`; ``slow`` delays the response;
    ``lose_answer`` closes the connection after the request has taken effect; ``stall``
    stops in the middle of the response; ``cut`` closes the connection there;
    ``trickle`` sends the response in small chunks; ``freeze`` silences the connections
    open now; ``die`` ends the process; ``clear`` removes all faults.

    Attributes:
        kind: One of `KINDS`.
        seconds: Delay in seconds of each response, for ``slow``, or of each of its
            chunks, for ``trickle``.
        count: Number of requests left to affect, or of connections for ``freeze``;
            None for no limit.
        path: Prefix of the affected paths.
        port: Port of the server whose requests are affected; None for all.
        status: Status of the responses of ``down``.
    """

    kind: str
    seconds: float = 0.0
    count: int | None = None
    path: str = ""
    port: int | None = None
    status: int = 503

    def __post_init__(self):
        if self.kind not in KINDS:
            raise ValueError(f"unknown kind of fault: {self.kind!r}")


class FaultInjector:
    """The active faults and the open connections of one fake server.

    Attributes:
        active_faults: Each `Fault` that is active, oldest first.
        connections: Path of the latest request by open connection.
        frozen: Connections that a ``freeze`` has silenced.
    """

    def __init__(self):
        self.active_faults = []
        self.connections = weakref.WeakKeyDictionary()
        self.frozen = weakref.WeakSet()

    def inject(self, fault, source=None):
        """Activate a fault.

        Args:
            fault: The `Fault`.
            source: Connection that carried the request for the fault; ``freeze``
                leaves it usable so that the response can be sent.
        """
        if fault.kind == "die":
            os._exit(EXIT_STATUS)
        elif fault.kind == "clear":
            self.active_faults.clear()
        elif fault.kind == "freeze":
            self.freeze(fault, source)
        else:
            self.active_faults.append(fault)

    def consume(self, path, kinds, port=None):
        """Return the first active fault that affects a request and count it, or None.

        Args:
            path: Path of the request.
            kinds: Kinds of fault to consider.
            port: Port that received the request.
        """
        if path in EXEMPT_PATHS:
            return None
        for fault in self.active_faults:
            if fault.port not in (None, port):
                continue
            if fault.kind in kinds and path.startswith(fault.path):
                self._decrement(fault)
                return fault
        return None

    def freeze(self, fault, source=None):
        """Silence the connections that are open now, permanently.

        Args:
            fault: The `Fault`, with the path and the number of the connections.
            source: Connection to leave usable.
        """
        chosen = [
            connection
            for connection, path in self.connections.items()
            if connection is not source
            and not connection.closed()
            and connection not in self.frozen
            and path.startswith(fault.path)
        ]
        for connection in itertools.islice(chosen, fault.count):
            self.frozen.add(connection)
            connection.write = _discard_write

    def _decrement(self, fault):
        if fault.count is None:
            return
        fault.count -= 1
        if fault.count <= 0:
            self.active_faults.remove(fault)


def _discard_write(data):
    return asyncio.get_running_loop().create_future()


class Handler(web.RequestHandler):
    """Base of all request handlers: applies the active faults."""

    def initialize(self, server):
        """Set the fake server that handles the request.

        Args:
            server: The `pimentowick.fakes.server.Server`.
        """
        self.server = server
        self.fault_injector = server.fault_injector
        self.fault = None
        self.closed = asyncio.Event()

    async def prepare(self):
        """Reject the request or leave it unanswered if a fault says so."""
        self.connection = self.request.connection.stream
        self.fault_injector.connections[self.connection] = self.request.path
        if self.connection in self.fault_injector.frozen:
            await self.wait_for_disconnect()
        # A closed connection has no socket.
        sock = self.connection.socket
        port = None if sock is None else sock.getsockname()[1]
        self.fault = self.fault_injector.consume(self.request.path, REQUEST_KINDS, port)
        if self.fault is not None and self.fault.kind == "down":
            self.set_status(self.fault.status)
            self.finish({"error": "down"})

    def on_connection_close(self):
        """Record that the client has disconnected."""
        self.closed.set()

    async def wait_for_disconnect(self):
        """Send nothing more and end the request once the client disconnects."""
        await self.closed.wait()
        raise web.Finish()

    def close_connection(self):
        """Close the connection without completing the response."""
        self.connection.close()

    async def apply_fault(self):
        """Delay or drop the response, after the request has taken effect."""
        if self.fault is None:
            return
        if self.fault.kind == "slow":
            await asyncio.sleep(self.fault.seconds)
        elif self.fault.kind == "lose_answer":
            self.close_connection()
            raise web.Finish()

    async def respond(self, body, status=200):
        """Send a JSON response, subject to the active faults.

        Args:
            body: A JSON value, or the bytes of one.
            status: HTTP status.
        """
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        await self.apply_fault()
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        fault = self.fault_injector.consume(self.request.path, RESPONSE_KINDS)
        if fault is not None:
            await self._break_response(fault, data)
        self.finish(data)

    def read_json_object(self):
        """Return the JSON object in the body, or raise a 400."""
        try:
            value = json.loads(self.request.body)
        except ValueError as error:
            raise web.HTTPError(400, "the body is not JSON") from error
        if not isinstance(value, dict):
            raise web.HTTPError(400, "the body is not a JSON object")
        return value

    def write_error(self, status_code, **kwargs):
        """Send an error as JSON."""
        self.finish({"error": self._reason})

    def log_exception(self, typ, value, tb):
        """Log exceptions of the fake itself, but no intended HTTP errors."""
        if not isinstance(value, web.HTTPError):
            super().log_exception(typ, value, tb)

    async def _break_response(self, fault, data):
        self.set_header("Content-Length", str(len(data)))
        if fault.kind == "trickle":
            size = len(data) // TRICKLE_CHUNKS + 1
            for start in range(0, len(data), size):
                self.write(data[start : start + size])
                await self.flush()
                await asyncio.sleep(fault.seconds)
            raise web.Finish()
        self.write(data[: len(data) // 2])
        await self.flush()
        if fault.kind == "stall":
            await self.wait_for_disconnect()
        self.close_connection()
        raise web.Finish()


class FaultHandler(Handler):
    """`POST /fault`: inject a fault."""

    async def post(self):
        """Inject the fault described by the body."""
        body = self.read_json_object()
        names = [field.name for field in dataclasses.fields(Fault)]
        given = {name: body[name] for name in names if body.get(name) is not None}
        try:
            fault = Fault(**given)
        except (TypeError, ValueError) as error:
            raise web.HTTPError(400, "not a fault") from error
        self.fault_injector.inject(fault, source=self.connection)
        await self.respond({"kind": fault.kind})
