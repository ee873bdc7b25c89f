"""Targets whose answers are broken: statuses, heads, framing, ends."""

import asyncio
import contextlib
import dataclasses

import pytest
from tornado import httputil

from pimentowick.fakes import platform_site, raw_target, wait

ROUTES = [
    platform_site.make_route("/fetch/", "idempotent", max_attempts=2),
    platform_site.make_route("/confirm/", "non_idempotent", max_attempts=1),
    platform_site.make_route("/chat/", "stream", resumable=True, max_attempts=3),
    platform_site.make_route("/draft/", "stream", max_attempts=1),
]
PLAIN_PATHS = ["/fetch/1", "/confirm/1"]
STREAM_PATHS = ["/chat/1", "/draft/1"]
# Requests that run once, so that a broken answer can't be replaced.
ONCE_PATHS = ["/confirm/1", "/draft/1"]
BODY = b"the whole answer of the target"
EVENTS = [b"id: %d\ndata: word %d\n\n" % (number, number) for number in (1, 2, 3)]
FIELDS = b"X-Pimentowick-Request-Id: {id}\r\nX-Pimentowick-Server-Stamp: s\r\n"
WAIT_S = 15.0
POLL_S = 0.01


def encode_chunks(chunks):
    return b"".join(b"%x\r\n%s\r\n" % (len(row), row) for row in [*chunks, b""])


def make_answer(start=b"HTTP/1.1 200 OK", fields=FIELDS, body=None):
    """Return the bytes of an answer; by default a sound one of a plain route."""
    if body is None:
        body = b"Content-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
    return start + b"\r\n" + fields + body


CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunks(EVENTS)
SOUND = {
    "/fetch/": make_answer(),
    "/confirm/": make_answer(),
    "/chat/": make_answer(body=CHUNKS),
    "/draft/": make_answer(body=CHUNKS),
}
WHOLE_BODY = {
    "/fetch/": BODY,
    "/confirm/": BODY,
    "/chat/": b"".join(EVENTS),
    "/draft/": b"".join(EVENTS),
}


def get_prefix(path):
    return path[: path.rindex("/") + 1]


@dataclasses.dataclass(frozen=True)
class Received:
    """What a caller read until its connection ended.

    Attributes:
        status: Status of the answer, or 0 without one.
        headers: Its headers.
        body: As much of its body as arrived.
        is_whole: Whether the answer says that this is all of it.
    """

    status: int
    headers: httputil.HTTPHeaders
    body: bytes
    is_whole: bool

    @property
    def is_success(self):
        return self.is_whole and 200 <= self.status < 300


def parse_received(data):
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return Received(0, httputil.HTTPHeaders(), data, False)
    line, _, fields = head.decode("latin1").partition("\r\n")
    headers = httputil.HTTPHeaders.parse(fields)
    status = int(line.split(" ")[1])
    if "Content-Length" in headers:
        is_whole = len(rest) == int(headers["Content-Length"])
        return Received(status, headers, rest, is_whole)
    if "Transfer-Encoding" not in headers:
        return Received(status, headers, rest, True)
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        if not int(size, 16):
            return Received(status, headers, body, rest == b"\r\n")
        body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
    return Received(status, headers, body, False)


async def send(site, path, request_id="r1", body=b"question"):
    ip, _, port = site.gateways[0].settings.callers_address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    with contextlib.closing(writer):
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: {platform_site.HOST}\r\n"
            f"X-Pimentowick-Request-Id: {request_id}\r\nConnection: close\r\n"
            f"X-Pimentowick-Deadline-Ms: 4000\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        data = b""
        with contextlib.suppress(ConnectionResetError):
            async with asyncio.timeout(WAIT_S):
                while received := await reader.read(65_536):
                    data += received
    return parse_received(data)


def run_with(check, path, targets=2):
    """Run a check on a site whose targets share the planned answers."""
    planned = []

    async def run():
        servers = [
            raw_target.RawTarget(
                raw_target.Answer(SOUND[get_prefix(path)], raw_target.Ending.KEEP)
            )
            for _ in range(targets)
        ]
        async with contextlib.AsyncExitStack() as stack:
            for server in servers:
                server.planned = planned
                await server.start()
                stack.push_async_callback(server.close)
            site = await stack.enter_async_context(open_site(servers))
            await check(site, planned, servers)

    asyncio.run(run())


@contextlib.asynccontextmanager
async def open_site(servers):
    site = platform_site.Site([], ROUTES)
    try:
        await site.start()
        for number, server in enumerate(servers):
            row = server.make_registration(platform_site.SERVICE)
            site.store.put("keyed.servers", f"i-{number}", row)
        table = site.gateways[0].table
        await wait.wait_for(lambda: len(table.by_id) == len(servers), WAIT_S, POLL_S)
        yield site
    finally:
        await site.close()


def check_broken(path, *answers):
    """Check what a caller gets of a request whose first answers are broken.

    It gets the whole answer of another run where the request may be repeated, and else
    nothing that counts as a whole answer of the target.
    """

    async def check(site, planned, servers):
        planned += answers
        received = await send(site, path)
        if path in ONCE_PATHS:
            assert not received.is_success, received
            assert received.status in (200, 502), received
            assert sum(len(server.requests) for server in servers) == 1
        else:
            assert received.is_success, received
            assert received.body == WHOLE_BODY[get_prefix(path)]
        planned.clear()
        received = await send(site, path, "r2")
        assert received.is_success, received
        assert received.body == WHOLE_BODY[get_prefix(path)]

    run_with(check, path)


@pytest.mark.parametrize("path", PLAIN_PATHS + STREAM_PATHS)
def test_sound_answer_is_passed_on(path):
    # Otherwise the other tests of this file could not fail.
    async def check(site, planned, servers):
        received = await send(site, path)
        assert received.is_success, received
        assert received.body == WHOLE_BODY[get_prefix(path)]
        assert received.headers["X-Pimentowick-Server-Stamp"] == "s"

    run_with(check, path)


@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 100 Continue\r\n\r\n"])
@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600", b"999"])
@pytest.mark.parametrize("path", PLAIN_PATHS + STREAM_PATHS)
def test_status_outside_the_protocol_reaches_no_caller(path, status, interim):
    # Callers got "0 Unknown" with the body of the target.
    data = SOUND[get_prefix(path)].replace(b"200 OK", status + b" Odd")
    check_broken(path, raw_target.Answer(interim + data, raw_target.Ending.KEEP))
