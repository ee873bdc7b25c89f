"""A replica as a process: streams events, or answers as its options say.

Usage: replica.py ID OPTIONS, where OPTIONS is a JSON object: `events`, `interval_s`,
`unframed_id` (the answer to this request has no length and ends with its connection),
`other_events` (of all other requests), `weights` (the version of its weights). It
prints its address, and each request that it runs.
"""

import asyncio
import json
import sys


class Replica:
    """Serves the requests of all connections."""

    def __init__(self, name, options):
        self.name = name
        self.events = options.get("events", 40)
        self.interval_s = options.get("interval_s", 0.02)
        self.other_events = options.get("other_events", self.events)
        self.unframed_id = options.get("unframed_id")
        self.weights = options.get("weights", 1)
        self.running = 0

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin1").split("\r\n")
                method, target = lines[0].split(" ")[:2]
                rows = [line.partition(":") for line in lines[1:] if line]
                headers = {n.strip().lower(): v.strip() for n, _, v in rows}
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size)
                if not await self.answer(writer, method, target, headers, body):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, method, target, headers, body):
        """Answer one request; return whether to keep the connection."""
        request_id = headers.get("x-pimentowick-request-id", "")
        own = [
            f"X-Pimentowick-Request-Id: {request_id}",
            f"X-Pimentowick-Instance-Id: {self.name}",
            f"X-Pimentowick-Server-Load: {self.running},0,8",
        ]
        if target == "/health":
            return self.send(writer, "200 OK", own, b"")
        not_run = [*own, "X-Pimentowick-Not-Executed: 1"]
        if headers.get("x-pimentowick-expect-instance", self.name) != self.name:
            return self.send(writer, "421 Misdirected Request", not_run, b"")
        version = headers.get("x-pimentowick-expect-version", str(self.weights))
        if version != str(self.weights):
            print(f"answers 421 to {request_id}: weights {version}", flush=True)
            return self.send(writer, "421 Misdirected Request", not_run, b"")
        first = int(headers.get("last-event-id", "0")) + 1
        print(f"runs {request_id} {method} {target} from event {first}", flush=True)
        own += [
            f"X-Pimentowick-Server-Stamp: {self.name}.stamp",
            "X-Pimentowick-Weight-Versions: 1",
            "Content-Type: text/event-stream",
        ]
        self.running += 1
        try:
            return await self.stream(writer, own, first, request_id)
        finally:
            self.running -= 1

    def send(self, writer, status, lines, body):
        """Send a response without events."""
        lines = [f"HTTP/1.1 {status}", *lines, f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        return True

    async def stream(self, writer, own, first, request_id):
        """Send the events from `first` on; return whether to keep the connection."""
        is_framed = request_id != self.unframed_id
        last = self.other_events if is_framed else self.events
        framing = "Transfer-Encoding: chunked" if is_framed else "Connection: close"
        head = "\r\n".join(["HTTP/1.1 200 OK", *own, framing, "", ""])
        writer.write(head.encode())
        for number in range(first, last + 1):
            await asyncio.sleep(self.interval_s)
            event = f"id: {number}\ndata: word {number}\n\n".encode()
            if is_framed:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
        print(f"has run {request_id} to event {last}", flush=True)
        if is_framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return is_framed


async def main():
    """Serve until the process is ended."""
    replica = Replica(sys.argv[1], json.loads(sys.argv[2]))
    server = await asyncio.start_server(replica.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    print(f"address {host}:{port}", flush=True)
    await server.serve_forever()


asyncio.run(main())
