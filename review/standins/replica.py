"""A model replica as a process, as PROTOCOL.md describes one.

It runs `slots` requests at once and queues `QUEUE` more; further ones get 503 with
`X-Pimentowick-Not-Executed`. A request begins to run with its first event. A stream has
as many events as `X-Pimentowick-Token-Usage` allows, and goes on after
`Last-Event-Id`. A request is dropped when its connection closes.

Usage: replica.py ID PORT ADDRESS STORE SERVICE SLOTS FIRST_MS STEP_MS RECORD

ADDRESS is what it registers, for example that of a proxy before it. FIRST_MS is the
time from the start of a run to its first event, STEP_MS that between two events.
"""

import asyncio
import json
import signal
import sys
import time

from tornado import httpclient, httpserver, netutil, web

PREFIX = "X-Pimentowick-"
QUEUE = 24
HEARTBEAT_S = 1.2


class Replica:
    """What the replica knows of itself."""

    def __init__(self, name, address, store, service, slots, first_ms, step_ms, record):
        self.id = name
        self.address = address
        self.store = store
        self.service = service
        self.slots = slots
        self.first_s = first_ms / 1000
        self.step_s = step_ms / 1000
        self.record = open(record, "a", buffering=1, encoding="utf-8")
        self.places = asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.sequence = 0
        self.is_leaving = False

    def log(self, event, **fields):
        """Write one line of what the replica saw."""
        line = {"t": time.monotonic(), "replica": self.id, "event": event, **fields}
        self.record.write(json.dumps(line) + "\n")

    async def register(self):
        """Write the registration to the store, again and again."""
        client = httpclient.AsyncHTTPClient()
        url = f"http://{self.store}/stand-in/servers/{self.id}"
        while not self.is_leaving:
            self.sequence += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": "leon-sala-a",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold_left_ms": 0,
                "sequence": self.sequence,
            }
            try:
                await client.fetch(url, method="PUT", body=json.dumps(entry))
            except (OSError, httpclient.HTTPError) as error:
                self.log("unregistered", why=str(error))
            await asyncio.sleep(HEARTBEAT_S)


class Handler(web.RequestHandler):
    """Runs requests."""

    def initialize(self, replica):
        """Set the `Replica`."""
        self.replica = replica
        self.task = None

    def on_connection_close(self):
        """Drop the request."""
        if self.task is not None:
            self.task.cancel()

    async def post(self):
        """Run a request, queue it or reject it."""
        replica = self.replica
        expected = self.request.headers.get(PREFIX + "Expect-Instance", replica.id)
        if expected != replica.id:
            self.set_status(421)
            self.set_header(PREFIX + "Instance-Id", replica.id)
            return
        if replica.waiting >= QUEUE:
            self.set_status(503)
            self.set_header(PREFIX + "Not-Executed", "1")
            replica.log("rejected", id=self.request.headers[PREFIX + "Request-Id"])
            return
        self.task = asyncio.ensure_future(self._queue())
        try:
            await self.task
        except asyncio.CancelledError:
            raise web.Finish() from None

    async def _queue(self):
        replica = self.replica
        replica.waiting += 1
        try:
            await replica.places.acquire()
        finally:
            replica.waiting -= 1
        replica.running += 1
        try:
            await self._run()
        finally:
            replica.running -= 1
            replica.places.release()

    async def _run(self):
        replica, headers = self.replica, self.request.headers
        request_id = headers[PREFIX + "Request-Id"]
        count = int(headers[PREFIX + "Token-Usage"].split(",")[1])
        after = int(headers.get("Last-Event-Id", "0"))
        sent, end = after, "cut"
        replica.log("arrived", id=request_id, after=after)
        try:
            await asyncio.sleep(replica.first_s)
            replica.log("runs", id=request_id, after=after)
            load = f"{replica.running},{replica.waiting},{replica.slots}"
            self.set_header("Content-Type", "text/event-stream")
            self.set_header(PREFIX + "Request-Id", request_id)
            self.set_header(PREFIX + "Server-Stamp", f"{replica.id}.{request_id}")
            self.set_header(PREFIX + "Server-Load", load)
            for number in range(after + 1, count + 1):
                self.write(f"id: {number}\ndata: {request_id}-{number}\n\n")
                await self.flush()
                sent = number
                await asyncio.sleep(replica.step_s)
            end = "whole"
        finally:
            replica.log("ends", id=request_id, end=end, last=sent)


async def _main(name, port, address, store, service, slots, *more):
    first_ms, step_ms, record = more
    replica = Replica(
        *(name, address, store, service, int(slots)),
        *(float(first_ms), float(step_ms), record),
    )
    application = web.Application(
        [("/.*", Handler, {"replica": replica})], log_function=lambda handler: None
    )
    server = httpserver.HTTPServer(application)
    server.add_sockets(netutil.bind_sockets(int(port), "127.0.0.1"))
    loop = asyncio.get_running_loop()
    # It says no more to the store, and serves on.
    loop.add_signal_handler(signal.SIGUSR1, setattr, replica, "is_leaving", True)
    await replica.register()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main(*sys.argv[1:]))
