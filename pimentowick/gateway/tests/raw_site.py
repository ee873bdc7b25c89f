"""A site whose targets answer as planned, byte for byte, and a caller."""

import asyncio
import base64
import contextlib
import dataclasses
import functools

import orjson
from tornado import httputil

from pimentowick.fakes import broken_answers, platform_site, raw_target, wait

ROUTES = [
    platform_site.make_route("/fetch/", "idempotent", max_attempts=2),
    platform_site.make_route("/confirm/", "non_idempotent", max_attempts=1),
    platform_site.make_route("/chat/", "stream", resumable=True, max_attempts=3),
    platform_site.make_route("/draft/", "stream", max_attempts=1),
    platform_site.make_route(
        "/lot/", "batch", run_target_ms=60_000, retention_s=60, max_attempts=3
    ),
]
PLAIN_PATHS = ["/fetch/1", "/confirm/1"]
STREAM_PATHS = ["/chat/1", "/draft/1"]
# Requests that run once, so that a broken answer can't be replaced.
ONCE_PATHS = ["/confirm/1", "/draft/1"]
STARTED_MS = 5
WAIT_S = 15.0
POLL_S = 0.01


# What tells that the connection did not close because the answer had ended: that it was
# reset, or that the target ended, too.
BREAKS = [
    raw_target.Ending.RESET,
    raw_target.Ending.STOP,
    raw_target.Ending.RESTART,
]
SOUND = {
    "/fetch/": broken_answers.make_answer(),
    "/confirm/": broken_answers.make_answer(),
    "/chat/": broken_answers.make_answer(
        body=broken_answers.make_chunks(broken_answers.EVENTS)
    ),
    "/draft/": broken_answers.make_answer(
        body=broken_answers.make_chunks(broken_answers.EVENTS)
    ),
    "/lot/": broken_answers.make_answer(
        body=broken_answers.make_chunks(broken_answers.EVENTS)
    ),
}
WHOLE_BODY = {
    "/fetch/": broken_answers.BODY,
    "/confirm/": broken_answers.BODY,
    "/chat/": b"".join(broken_answers.EVENTS),
    "/draft/": b"".join(broken_answers.EVENTS),
}
# Of an item.
TEXT = "word 1\nword 2\nword 3"


def answer_soundly(path, headers):
    """Return the answer of a sound target, from the next event on."""
    if get_prefix(path) in ("/fetch/", "/confirm/"):
        return raw_target.Answer(broken_answers.make_answer(), raw_target.Ending.KEEP)
    rest = broken_answers.EVENTS[int(headers.get("last-event-id", 0)) :]
    data = broken_answers.make_answer(body=broken_answers.make_chunks(rest))
    return raw_target.Answer(data, raw_target.Ending.KEEP)


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


def run_with(check, path, targets=2, started_ms=0):
    """Run a check on a site whose targets share the planned answers."""
    planned = []

    async def run():
        servers = [
            raw_target.RawTarget(functools.partial(answer_soundly, path), started_ms)
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


def assert_whole(received, path):
    assert received.is_success, received
    assert received.status == 200
    assert received.body == WHOLE_BODY[get_prefix(path)]
    assert received.headers["X-Pimentowick-Server-Stamp"] == "s"


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
            assert_whole(received, path)
        planned.clear()
        assert_whole(await send(site, path, "r2"), path)

    restarts = raw_target.Ending.RESTART in {answer.ending for answer in answers}
    run_with(check, path, started_ms=STARTED_MS if restarts else 0)


def check_whole(path, answer):
    """Check that a caller gets an answer whole, by one run."""

    async def check(site, planned, servers):
        planned.append(answer)
        assert_whole(await send(site, path), path)
        assert sum(len(server.requests) for server in servers) == 1

    run_with(check, path)


async def run_item(site):
    """Run a job of one item; return its result."""
    item = {
        "id": "item",
        "path": "/lot/1",
        "headers": {},
        "body": base64.b64encode(b"x").decode(),
        "tokens": 10,
    }
    body = orjson.dumps({"items": [item]})
    accepted = await send(site, "/lot/new", "job", body)
    assert accepted.status == 202

    async def read():
        answer = await site.call("GET", "/-/lots/job?after=0")
        return answer.decode()["results"] if answer.status == 200 else None

    (result,) = await wait.wait_for(read, WAIT_S, POLL_S)
    return result["state"], result["text"]


async def find_suspects(site, path, body):
    """Return what is suspected to crash targets after one request."""
    await send(site, path, body=body)
    return site.gateways[0].crash_guard.build_report().crashes
