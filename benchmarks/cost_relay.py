"""Baseline cost of a request and of a relayed chunk with the libraries in use."""

import asyncio
import json
import sys

from tornado import web

from benchmarks import cost_process
from pimentowick import client as http_client
from pimentowick import web as http_web

__all__ = ["measure_baseline", "run"]

REQUESTS = 2000
CONCURRENCY = 16
STREAMS = 90
LINES = 60
LINES_TOGETHER = 4
PAUSE_S = 0.034
LINE = b'{"index": 1, "text": " token", "request_id": "0123456789abcdef"}\n'


class _BareHandler(http_web.JsonHandler):
    def post(self):
        """Return the JSON body of the request."""
        self.write_json(self.read_json())


class _SourceHandler(web.RequestHandler):
    async def get(self):
        """Write several lines at once after each pause."""
        for _ in range(LINES):
            self.write(LINE * LINES_TOGETHER)
            await self.flush()
            await asyncio.sleep(PAUSE_S)


class _RelayHandler(http_web.JsonHandler):
    def initialize(self, client, upstream):
        """Set the HTTP client and the address to relay to."""
        self.client = client
        self.upstream = upstream

    async def post(self):
        """Relay a request."""
        answer = await self.client.fetch(
            "POST", self.upstream, "/bare", self.request.body
        )
        self.finish(answer.body)

    async def get(self):
        """Relay a stream, with one write per line or per group of received lines."""
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


async def measure_baseline():
    """Measure the baseline.

    Returns:
        Processor seconds: ``bare`` and ``relay`` per request, ``chunk_apart`` and
        ``chunk_together`` per relayed line.
    """
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
    remaining = iter(range(REQUESTS))

    async def send():
        for _ in remaining:
            await client.fetch("POST", child.address, path, {"text": "x" * 100})

    before = child.read_cpu()
    await asyncio.gather(*(send() for _ in range(CONCURRENCY)))
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
    """Run a server process of `measure_baseline`."""
    asyncio.run(_serve(arguments[0]))


if __name__ == "__main__":
    run(sys.argv[1:])
