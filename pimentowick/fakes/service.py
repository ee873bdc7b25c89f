"""Fake of a plain service."""

import asyncio
import collections

from pimentowick.fakes import faults, server

__all__ = ["Service"]


class Service(server.Server):
    """A plain service that counts how often each request ran.

    Args:
        port: Port to listen on; 0 lets the kernel choose.

    Attributes:
        runs: Number of runs by request id.
        keys: Number of runs by idempotency key.
        total: Number of runs.
    """

    def __init__(self, port=0):
        super().__init__(port)
        self.runs = collections.Counter()
        self.keys = collections.Counter()
        self.total = 0

    def list_routes(self):
        """Return the routes of the service."""
        return [
            ("/runs", _RunsHandler),
            ("/confirm", _ConfirmHandler),
            ("/.*", _EchoHandler),
        ]

    def record_run(self, headers):
        """Count a run by request id and idempotency key; return the new total."""
        self.total += 1
        if "X-Request-Id" in headers:
            self.runs[headers["X-Request-Id"]] += 1
        if "Idempotency-Key" in headers:
            self.keys[headers["Idempotency-Key"]] += 1
        return self.total


class _RunsHandler(faults.Handler):
    """`GET /runs`."""

    async def get(self):
        await self.respond({"runs": self.server.runs, "keys": self.server.keys})


class _EchoHandler(faults.Handler):
    """Any other method and path: echoes the request."""

    async def echo(self):
        run = self.server.record_run(self.request.headers)
        body = {
            "method": self.request.method,
            "path": self.request.path,
            "body": self.request.body.decode(errors="replace"),
            "run": run,
        }
        await self.respond(body)

    get = head = post = put = patch = delete = options = echo


class _ConfirmHandler(_EchoHandler):
    """`POST /confirm`: an operation that is not idempotent."""

    async def post(self):
        body = self.read_json_object()
        run = self.server.record_run(self.request.headers)
        await asyncio.sleep(float(body.get("hold_s") or 0.0))
        await self.respond({"confirmed": body, "run": run})
