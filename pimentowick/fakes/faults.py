"""Fault orders that every stand-in obeys."""

import asyncio
import dataclasses
import itertools
import json
import os
import weakref

from tornado import web

__all__ = ["KINDS", "Fault", "FaultHandler", "FaultInjector", "Handler"]

OPENING_KINDS = frozenset({"down", "slow", "lose_answer"})
BREAKING_KINDS = frozenset({"stall", "cut", "trickle"})
KINDS = OPENING_KINDS | BREAKING_KINDS | {"freeze", "die", "clear"}
EXEMPT_PATHS = frozenset({"/fault", "/runs"})
EXIT_STATUS = 1
TRICKLED_PIECES = 8


@dataclasses.dataclass
class Fault:
    """One fault order.

    Attributes:
        kind: One of `KINDS`.
        seconds: How long each answer is held, for `slow`, or each piece of it, for
            `trickle`.
        count: How many requests are still to be hit; None hits until cleared.
        path: Prefix of the paths that are hit.
    """

    kind: str
    seconds: float = 0.0
    count: int | None = None
    path: str = ""

    def __post_init__(self):
        if self.kind not in KINDS:
            raise ValueError(f"unknown kind of fault: {self.kind!r}")


class FaultInjector:
    """The fault orders in force and the open connections of one stand-in."""

    def __init__(self):
        self.active_faults = []
        self.connections = weakref.WeakKeyDictionary()
        self.frozen = weakref.WeakSet()

    def inject(self, order, issuer=None):
        """Put an order into force.

        Args:
            order: The `Fault`.
            issuer: Connection that the order came on; a freeze spares it.
        """
        if order.kind == "die":
            os._exit(EXIT_STATUS)
        elif order.kind == "clear":
            self.active_faults.clear()
        elif order.kind == "freeze":
            self.freeze(order, issuer)
        else:
            self.active_faults.append(order)

    def take(self, path, kinds):
        """Return the first order that hits a request, or None, and count it.

        Args:
            path: Path of the request.
            kinds: Kinds of fault asked for.
        """
        if path in EXEMPT_PATHS:
            return None
        for order in self.active_faults:
            if order.kind in kinds and path.startswith(order.path):
                self._spend(order)
                return order
        return None

    def freeze(self, order, issuer=None):
        """Make the connections that are open now silent for good."""
        chosen = [
            connection
            for connection, path in self.connections.items()
            if connection is not issuer
            and not connection.closed()
            and connection not in self.frozen
            and path.startswith(order.path)
        ]
        for connection in itertools.islice(chosen, order.count):
            self.frozen.add(connection)
            connection.write = _hold_write

    def _spend(self, order):
        if order.count is None:
            return
        order.count -= 1
        if order.count <= 0:
            self.active_faults.remove(order)


def _hold_write(data):
    return asyncio.get_running_loop().create_future()


class Handler(web.RequestHandler):
    """Base of all request handlers: applies the fault orders in force."""

    def initialize(self, server):
        """Keep the stand-in that the request is for.

        Args:
            server: The `pimentowick.fakes.server.Server`.
        """
        self.server = server
        self.fault_injector = server.fault_injector
        self.order = None
        self.closed = asyncio.Event()

    async def prepare(self):
        """Refuse or hold the request if a fault order says so."""
        self.connection = self.request.connection.stream
        self.fault_injector.connections[self.connection] = self.request.path
        if self.connection in self.fault_injector.frozen:
            await self.go_silent()
        self.order = self.fault_injector.take(self.request.path, OPENING_KINDS)
        if self.order is not None and self.order.kind == "down":
            self.set_status(503)
            self.finish({"error": "down"})

    def on_connection_close(self):
        """Note that the client has gone."""
        self.closed.set()

    async def go_silent(self):
        """Answer nothing more; the handler ends when the client goes."""
        await self.closed.wait()
        raise web.Finish()

    def hang_up(self):
        """Close the connection without an end of the answer."""
        self.connection.close()

    async def apply_order(self):
        """Hold the answer or lose it, once the effect has happened."""
        if self.order is None:
            return
        if self.order.kind == "slow":
            await asyncio.sleep(self.order.seconds)
        elif self.order.kind == "lose_answer":
            self.hang_up()
            raise web.Finish()

    async def answer(self, body, status=200):
        """Answer with JSON, as far as the fault orders allow.

        Args:
            body: A JSON value, or bytes that hold one.
            status: HTTP status.
        """
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        await self.apply_order()
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        order = self.fault_injector.take(self.request.path, BREAKING_KINDS)
        if order is not None:
            await self._break_answer(order, data)
        self.finish(data)

    def read_object(self):
        """Return the JSON object in the body, or raise a 400."""
        try:
            value = json.loads(self.request.body)
        except ValueError as error:
            raise web.HTTPError(400, "the body is not JSON") from error
        if not isinstance(value, dict):
            raise web.HTTPError(400, "the body is not a JSON object")
        return value

    def write_error(self, status_code, **kwargs):
        """Answer an error as JSON."""
        self.finish({"error": self._reason})

    def log_exception(self, typ, value, tb):
        """Log only faults of the stand-in itself, not refusals."""
        if not isinstance(value, web.HTTPError):
            super().log_exception(typ, value, tb)

    async def _break_answer(self, order, data):
        self.set_header("Content-Length", str(len(data)))
        if order.kind == "trickle":
            size = len(data) // TRICKLED_PIECES + 1
            for start in range(0, len(data), size):
                self.write(data[start : start + size])
                await self.flush()
                await asyncio.sleep(order.seconds)
            raise web.Finish()
        self.write(data[: len(data) // 2])
        await self.flush()
        if order.kind == "stall":
            await self.go_silent()
        self.hang_up()
        raise web.Finish()


class FaultHandler(Handler):
    """`POST /fault`: put a fault order into force."""

    async def post(self):
        """Place the order in the body."""
        body = self.read_object()
        names = [field.name for field in dataclasses.fields(Fault)]
        given = {name: body[name] for name in names if body.get(name) is not None}
        try:
            order = Fault(**given)
        except (TypeError, ValueError) as error:
            raise web.HTTPError(400, "not a fault order") from error
        self.fault_injector.inject(order, issuer=self.connection)
        await self.answer({"kind": order.kind})
