"""Fake of a target whose responses are written byte for byte by a test."""

import asyncio
import dataclasses
import enum
import socket
import struct

import orjson

__all__ = ["Answer", "Ending", "RawTarget", "make_report"]

LOOPBACK = "127.0.0.1"
HEADER_PREFIX = "X-Pimentowick-"
# Linger without waiting: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Ending(enum.Enum):
    """What happens to the connection after a response."""

    KEEP = enum.auto()
    """It carries the next request."""
    CLOSE = enum.auto()
    """It is closed in order."""
    RESET = enum.auto()
    """It is reset."""
    STOP = enum.auto()
    """It is closed in order with all others, as the target ends."""
    RESTART = enum.auto()
    """It is closed in order with all others, as another run takes its place."""


@dataclasses.dataclass(frozen=True)
class Answer:
    """Bytes that a target sends in response to one request.

    Attributes:
        data: The bytes; ``{id}`` stands for the identifier of the request.
        ending: The `Ending` of the connection.
        is_early: Whether they are sent before the body of the request is read.
    """

    data: bytes
    ending: Ending = Ending.CLOSE
    is_early: bool = False


def make_report(body):
    """Return the bytes of a sound report."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class RawTarget:
    """A target that sends planned bytes.

    Args:
        answer: Function from the headers of a request, by name in lower case, to its
            `Answer` if none is planned.
        started_ms: Unix time of its start in milliseconds, which it registers and
            reports; 0 for a target that says nothing of it.

    Attributes:
        planned: The `Answer` objects of the next requests, in order.
        requests: Headers of the requests received.
        report: `Answer` to each request for its report; None for a sound one.
        reports: Number of requests for a report.
        report_release: Event that is set while it sends its reports.
        connections: Number of connections that it has accepted.
        address: ``IP:port`` once started.
    """

    def __init__(self, answer, started_ms=0):
        self.answer = answer
        self.started_ms = started_ms
        self.planned = []
        self.requests = []
        self.report = None
        self.reports = 0
        self.report_release = asyncio.Event()
        self.report_release.set()
        self.connections = 0
        self.address = None
        self._server = None
        self._reservation = None
        self._writers = set()

    def make_registration(self, service, **changes):
        """Return the record with which the target registers itself."""
        return {
            **self._describe_run(),
            "service": service,
            "version": "v1",
            "address": self.address,
            "zone": "here",
            "slots": 8,
            "state": "ready",
            **changes,
        }

    def _describe_run(self):
        return {"born": self.started_ms} if self.started_ms else {}

    def _make_report(self):
        if self.report is not None:
            return self.report
        return Answer(make_report(orjson.dumps(self._describe_run())), Ending.KEEP)

    async def start(self):
        """Start listening and set `address`."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{port}"

    async def close(self):
        """Stop listening and release the port."""
        self._server.close()
        if self._reservation is not None:
            self._reservation.close()

    def _stop(self):
        """Stop listening, but let no other server have the port."""
        self._server.close()
        ip, _, port = self.address.rpartition(":")
        self._reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reservation.bind((ip, int(port)))

    def end_run(self):
        """Close all connections in order."""
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        try:
            while await self._answer(reader, writer) == Ending.KEEP:
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, reader, writer):
        """Answer one request; return the `Ending` of the connection."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        rows = [line.partition(":") for line in head.split("\r\n")[1:] if line]
        headers = {name.lower(): value.strip() for name, _, value in rows}
        size = int(headers.get("content-length", 0))
        if head.startswith("GET /-/report "):
            self.reports += 1
            await self.report_release.wait()
            report = self._make_report()
            writer.write(report.data)
            return report.ending
        self.requests.append(headers)
        answer = self.planned.pop(0) if self.planned else self.answer(headers)
        if not answer.is_early:
            await reader.readexactly(size)
        request_id = headers.get(f"{HEADER_PREFIX}request-id".lower(), "")
        if answer.ending == Ending.STOP:
            self._stop()
        writer.write(answer.data.replace(b"{id}", request_id.encode()))
        await writer.drain()
        if answer.ending == Ending.RESET:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        if answer.ending == Ending.RESTART:
            self.started_ms += 1
        if answer.ending in (Ending.STOP, Ending.RESTART):
            self.end_run()
        return answer.ending
