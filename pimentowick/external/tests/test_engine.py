import asyncio

import orjson

from pimentowick import client as http_client
from pimentowick.external import engine

STALE_REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class StaleEngine:
    """Engine that precedes each further response on a connection with a refusal."""

    def __init__(self):
        self.generated = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _serve(self, reader, writer):
        is_first = True
        while request := await self._read(reader):
            if not is_first:
                writer.write(STALE_REFUSAL)
            is_first = False
            self.generated += 1
            names = {name: request[name] for name in ("request_id", "attempt")}
            end = {**names, "done": True, "finish_reason": "stop", "tokens": 0}
            body = orjson.dumps(end) + b"\n"
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
        writer.close()

    async def _read(self, reader):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        except asyncio.IncompleteReadError:
            return None
        size = int(head.partition("content-length: ")[2].split("\r\n")[0])
        return orjson.loads(await reader.readexactly(size))

    async def close(self):
        self._server.close()


def make_generation(number):
    return engine.Generation(f"r{number}", 1, "m", None, "prompt", 10)


def test_refusal_left_over_on_a_connection_ends_no_other_generation():
    # An engine sends a refusal before its response to the next generation. That one
    # runs, so it must not be reported as not run.
    async def check():
        server = StaleEngine()
        client = http_client.Client(4)
        await server.start()
        await client.start()
        try:
            adapter = engine.HttpEngine(server.address, client, client, 2.0)
            for number in range(3):
                events = [e async for e in adapter.generate(make_generation(number))]
                assert events == [engine.End("stop", 0)]
            assert server.generated == 3
        finally:
            await client.close()
            await server.close()

    asyncio.run(check())
