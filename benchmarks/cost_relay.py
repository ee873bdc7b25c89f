"""The least that a request and a relayed chunk can cost with these libraries."""

import asyncio
import json
import sys

from tornado import web

from benchmarks import cost_process
from pimentowick import client as http_client
from pimentowick import web as http_web

__all__ = ["measure_base", "run"]

REQUESTS = 2000
AT_ONCE = 16
STREAMS = 90
LINES = 60
LINES_TOGETHER = 4
PAUSE_S = 0.034
LINE = b'{"index": 1, "text": " token", "request_id": "0123456789abcdef"}\n'


class _BareHandler(http_web.JsonHandler):
    def post(self):
        """Answer a small body."""
        self.write_json(self.read_json())


class _SourceHandler(web.RequestHandler):
    async def get(self):
        """Write some lines together after each pause."""
        for _ in range(LINES):
            self.write(LINE * LINES_TOGETHER)
            await self.flush()
            await asyncio.sleep(PAUSE_S)


class _RelayHandler(http_web.JsonHandler):
    def initialize(self, client, upstream):
        """Take the client and where it sends to."""
        self.client = client
        self.upstream = upstream

    async def post(self):
        """Pass a request on."""
        answer = await self.client.fetch(
            "POST", self.upstream, "/bare", self.request.body
        )
        self.finish(answer.body)

    async def get(self):
        """Pass a stream on, its lines one by one or as they came."""
        stream = self.client.open_stream("GET", self.upstream, "/source")
        together = self.get_query_argument("together") == "1"
        while lines := await stream.read_lines():
            pieces = [line + b"\n" for line in lines]
            if together:
                pieces = [b"".join(pieces)]
            for piece in pieces:
                self.write(piece)
                await self.flush()


async def _serve(upstream):
    client = http_client.Client(128)
    await client.start()
    shared = {"client": client, "upstream": upstream}
    application = web.Application(
        [
            ("/bare", _BareHandler),
            ("/source", _SourceHandler),
            ("/relay", _RelayHandler, shared),
        ],
        log_function=lambda handler: None,
    )
    server = http_web.Server(application)
    await server.start()
    print(json.dumps({"listening": server.address}), flush=True)
    await asyncio.Event().wait()


async def measure_base():
    """Return processor seconds by name: bare, relay, chunk_apart, chunk_together."""
    source = cost_process.Child(["-m", "benchmarks.cost_relay", "none"])
    relay = cost_process.Child(["-m", "benchmarks.cost_relay", source.address])
    client = http_client.Client(128)
    await client.start()
    try:
        return {
            "bare": await _load(client, source, "/bare"),
            "relay": await _load(client, relay, "/relay"),
            "chunk_apart": await _stream(client, relay, "0"),
            "chunk_together": await _stream(client, relay, "1"),
        }
    finally:
        await client.close()
        relay.close()
        source.close()


async def _load(client, child, path):
    left = iter(range(REQUESTS))

    async def send():
        for _ in left:
            await client.fetch("POST", child.address, path, {"text": "x" * 100})

    before = child.read_cpu()
    await asyncio.gather(*(send() for _ in range(AT_ONCE)))
    return (child.read_cpu() - before) / REQUESTS


async def _stream(client, child, together):
    async def read():
        stream = client.open_stream("GET", child.address, f"/relay?together={together}")
        while await stream.read_lines():
            pass

    before = child.read_cpu()
    await asyncio.gather(*(read() for _ in range(STREAMS)))
    return (child.read_cpu() - before) / (STREAMS * LINES * LINES_TOGETHER)


def run(arguments):
    """Serve, as a helper process of `measure_base`."""
    asyncio.run(_serve(arguments[0]))


if __name__ == "__main__":
    run(sys.argv[1:])
