"""Targets that send bytes without end, in a head or a body, fast or slowly."""

import asyncio
import base64
import contextlib

import orjson
import pytest

from pimentowick.fakes import platform_site, replica, wait
from pimentowick.gateway import event_stream

ROUTES = [
    platform_site.make_route("/fetch/", "idempotent", max_attempts=2, timeout_ms=9000),
    platform_site.make_route("/chat/", "stream", resumable=True, timeout_ms=9000),
    platform_site.make_route(
        "/lot/", "batch", run_target_ms=60_000, retention_s=60, max_attempts=3
    ),
]
REQUESTS = 8
WAIT_S = 20.0
POLL_S = 0.02
# What is read of a response, and what the kernel buffers on both sides.
MAX_SENT_BYTES = 24 << 20
BLOCK_BYTES = 32_768
DRIP_INTERVAL_S = 0.05
STAMP = "X-Pimentowick-Server-Stamp: s"
# Without framing, only such a response may be an answer.
ENDS_WITH_CLOSE = STAMP + "\r\nConnection: close"
# By name: (status line and headers, whether the head ends, what comes without end).
# {id} is the identifier of the request.
ANSWERS = {
    "no line": ("", False, b"x"),
    "header lines": ("HTTP/1.1 200 OK", False, b"A: b\r\n"),
    "informational": ("HTTP/1.1 100 Continue", True, b"HTTP/1.1 100 Continue\r\n\r\n"),
    "another request": (
        f"HTTP/1.1 200 OK\r\nX-Pimentowick-Request-Id: other\r\n{STAMP}",
        True,
        b"x",
    ),
    "unsigned": ("HTTP/1.1 200 OK\r\nX-Pimentowick-Request-Id: {id}", True, b"x"),
    "unsigned chunks": (
        "HTTP/1.1 200 OK\r\nX-Pimentowick-Request-Id: {id}\r\n"
        "Transfer-Encoding: chunked",
        True,
        b"1\r\nx\r\n",
    ),
    "refusal": (
        "HTTP/1.1 503 Full\r\nX-Pimentowick-Request-Id: {id}\r\n"
        "X-Pimentowick-Not-Executed: 1",
        True,
        b"x",
    ),
    "announced length": (
        "HTTP/1.1 200 OK\r\nX-Pimentowick-Request-Id: {id}\r\n"
        f"{STAMP}\r\nContent-Length: 99999999999",
        True,
        b"x",
    ),
    "signed": (
        "HTTP/1.1 200 OK\r\nX-Pimentowick-Request-Id: {id}\r\n" + ENDS_WITH_CLOSE,
        True,
        b"x",
    ),
    "blank lines": (
        "HTTP/1.1 200 OK\r\nX-Pimentowick-Request-Id: {id}\r\n" + ENDS_WITH_CLOSE,
        True,
        b"\n",
    ),
    "comments": (
        "HTTP/1.1 200 OK\r\nX-Pimentowick-Request-Id: {id}\r\n" + ENDS_WITH_CLOSE,
        True,
        b":\n\n",
    ),
    "out of order": (
        "HTTP/1.1 200 OK\r\nX-Pimentowick-Request-Id: {id}\r\n" + ENDS_WITH_CLOSE,
        True,
        b"id: 7\ndata: x\n\n",
    ),
}
# Known to be useless by their heads, or since their heads don't end.
USELESS_HEADS = [
    "no line",
    "header lines",
    "informational",
    "unsigned",
    "another request",
    "unsigned chunks",
    "refusal",
    "announced length",
]


class EndlessTarget:
    """A target that answers each request with bytes until its caller closes."""

    def __init__(self, answer, is_slow):
        self.head, self.ends_head, self.bytes = ANSWERS[answer]
        self.is_slow = is_slow
        self.count = 0
        self.open = 0
        self.most_sent = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _serve(self, reader, writer):
        self.count += 1
        self.open += 1
        sent = 0
        try:
            request = (await reader.readuntil(b"\r\n\r\n")).decode()
            names = [row for row in request.split("\r\n") if "Request-Id" in row]
            head = self.head.replace("{id}", names[0].partition(": ")[2])
            writer.write((head + "\r\n" * (bool(head) + self.ends_head)).encode())
            repeats = 1 if self.is_slow else BLOCK_BYTES // len(self.bytes)
            while not reader.at_eof():
                writer.write(self.bytes * repeats)
                sent += len(self.bytes) * repeats
                self.most_sent = max(self.most_sent, sent)
                await writer.drain()
                await asyncio.sleep(DRIP_INTERVAL_S if self.is_slow else 0)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.open -= 1
            writer.close()

    async def close(self):
        self._server.close()


def run_with(check, answer, is_slow, events=3):
    async def run():
        sound = replica.Replica("i-sound", events)
        target = EndlessTarget(answer, is_slow)
        await target.start()
        async with platform_site.open_site([sound], ROUTES) as site:
            row = sound.make_registration(platform_site.SERVICE, address=target.address)
            site.store.put("keyed.servers", "i-endless", row)
            table = site.gateways[0].table
            await wait.wait_for(lambda: len(table.by_id) == 2, WAIT_S, POLL_S)
            with contextlib.closing(target):
                await check(site, target)

    asyncio.run(run())


async def send_all(site, path):
    return await asyncio.gather(
        *(
            site.call(
                "POST",
                path,
                b"body",
                X_Pimentowick_Request_Id=f"r{number}",
                X_Pimentowick_Deadline_Ms="9000",
            )
            for number in range(REQUESTS)
        )
    )


async def check_closed(target):
    assert target.count
    await wait.wait_for(lambda: not target.open, WAIT_S, POLL_S)
    assert target.most_sent < MAX_SENT_BYTES


@pytest.mark.parametrize("is_slow", [False, True])
@pytest.mark.parametrize("answer", USELESS_HEADS)
def test_requests_are_served_elsewhere_within_their_time(answer, is_slow):
    # Each would wait for the rest of a response that is known to be of no use.
    async def check(site, target):
        answers = await send_all(site, "/fetch/1")
        assert [each.status for each in answers] == [200] * REQUESTS
        assert {each.body for each in answers} == {b"body"}
        await check_closed(target)

    run_with(check, answer, is_slow, events=0)


def test_body_that_grows_without_end_is_given_up():
    # All of it would be held until the caller's deadline.
    async def check(site, target):
        answers = await send_all(site, "/fetch/1")
        assert [each.status for each in answers] == [200] * REQUESTS
        await check_closed(target)

    run_with(check, "signed", is_slow=False, events=0)


@pytest.mark.parametrize(
    "answer", [*USELESS_HEADS[:-1], "signed", "blank lines", "comments", "out of order"]
)
def test_streams_are_served_elsewhere(answer):
    # An event that does not end, or bytes that are no events, never look complete.
    async def check(site, target):
        answers = await send_all(site, "/chat/1")
        assert [each.status for each in answers] == [200] * REQUESTS
        await check_closed(target)

    run_with(check, answer, is_slow=False)


@pytest.mark.parametrize("is_slow", [False, True])
@pytest.mark.parametrize(
    "answer", [*USELESS_HEADS[:-1], "signed", "blank lines", "comments", "out of order"]
)
def test_items_are_done_elsewhere(answer, is_slow):
    # Bytes that complete no event kept a run, and its slot, as long as they came.
    async def check(site, target):
        items = [
            {
                "id": f"item{number}",
                "path": f"/lot/{number}",
                "headers": {},
                "body": base64.b64encode(b"x").decode(),
                "tokens": 10,
            }
            for number in range(REQUESTS)
        ]
        answer = await site.call(
            "POST",
            "/lot/new",
            orjson.dumps({"items": items}),
            X_Pimentowick_Request_Id="job",
        )
        assert answer.status == 202

        async def are_done():
            answer = await site.call("GET", "/-/lots/job?after=0")
            return answer.status == 200 and len(answer.decode()["results"]) == REQUESTS

        await wait.wait_for(are_done, WAIT_S, POLL_S)
        results = (await site.call("GET", "/-/lots/job?after=0")).decode()["results"]
        assert {row["state"] for row in results} == {"done"}
        await check_closed(target)

    run_with(check, answer, is_slow)


def test_event_without_end_costs_no_more_for_small_chunks():
    # Each chunk was joined to all of the event and searched with it.
    splitter = event_stream.EventSplitter()
    for _ in range(event_stream.MAX_EVENT_BYTES + 1):
        assert splitter.feed(b"x") == []
    assert splitter.is_overlong


@pytest.mark.parametrize("separator", [b"\n", b"\r\n"])
@pytest.mark.parametrize("size", [1, 2, 3, 5, 100])
def test_events_are_split_alike_however_they_arrive(separator, size):
    rows = [
        b"id: 1",
        b"data: a",
        b"",
        b": comment",
        b"",
        b"id: 2",
        b"data: b",
        b"",
        b"",
    ]
    data = separator.join(rows)
    splitter = event_stream.EventSplitter()
    found = []
    for start in range(0, len(data), size):
        found += splitter.feed(data[start : start + size])
    assert b"".join(each.raw for each in found) == data
    assert [each.id for each in found] == ["1", "2"]
    assert splitter.is_empty()
    assert not splitter.is_overlong
