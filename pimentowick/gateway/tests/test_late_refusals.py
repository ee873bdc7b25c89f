import asyncio
import contextlib
import time

import pytest

from pimentowick.fakes import platform_site, replica, wait
from pimentowick.gateway import decision_log
from pimentowick.platform import message

PLAIN = platform_site.make_route("/confirm/", "non_idempotent", max_attempts=1)
STREAM = platform_site.make_route("/draft/", "stream", max_attempts=1)
ROUTES = [PLAIN, STREAM]
# Path and number of events of a request that may run once.
ONCE_ONLY = [("/confirm/1", 0), ("/draft/1", 3)]
WAIT_S = 10.0
POLL_S = 0.001


def run_with(replicas, check):
    async def run():
        async with platform_site.open_site(replicas, ROUTES) as site:
            await check(site)

    asyncio.run(run())


async def send(site, request_id, path="/confirm/1", deadline_ms=4000):
    headers = {message.DEADLINE: str(deadline_ms)}
    if request_id is not None:
        headers[message.REQUEST_ID] = request_id
    return await site.call("POST", path, b"hello", **headers)


def count_runs(replicas, request_id):
    return sum(each.runs[request_id] for each in replicas)


@pytest.fixture
def events(monkeypatch):
    """Lines on requests that the gateway logs, as (event, id, fields)."""
    logged = []
    monkeypatch.setattr(
        decision_log,
        "log_request_event",
        lambda event, request_id, **fields: logged.append((event, request_id, fields)),
    )
    return logged


def test_log_and_metrics_tell_which_response_ended_an_attempt(events):
    # Without the connection and its history, a refusal of this attempt can't be told
    # from a late copy of another one.
    server = replica.Replica(events=0)
    server.planned_behaviours = [
        replica.Behaviour(),
        replica.Behaviour("refuse"),
    ]

    async def check(site):
        assert (await send(site, "r1")).status == 200
        assert (await send(site, "r2")).status == 200
        refused, *_ = [row for row in events if row[0] == "online.not_run"]
        assert refused[1] == "r2"
        fields = refused[2]
        assert (fields["names"], fields["status"]) == ("own", 503)
        assert (fields["carried"], fields["carried_this"]) == (1, False)
        page = site.gateways[0].metrics.render()[0].decode()
        name = "pimentowick_gateway_target_responses_total"
        labels = 'connection="kept",names="own",use="not_run"'
        assert f"{name}{{{labels}}} 1" in page

    run_with([server], check)


async def until(condition):
    await wait.wait_for(condition, WAIT_S, POLL_S)


@pytest.mark.parametrize(("path", "event_count"), ONCE_ONLY)
@pytest.mark.parametrize("replica_count", [1, 2])
def test_refusal_that_names_no_request_ends_no_other_attempt(
    replica_count, path, event_count
):
    # A target sends a refusal without an identifier before the response to the next
    # request on a kept connection. That request runs, so it must not be sent to another
    # target, nor be reported as not run.
    servers = [replica.Replica(f"i-{n}", event_count) for n in range(replica_count)]
    for each in servers:
        each.planned_behaviours = [replica.Behaviour(late_refusal="unnamed")]

    async def check(site):
        number = 0
        while any(each.planned_behaviours for each in servers):
            number += 1
            assert (await send(site, f"before{number}", path)).status == 200
        for number in range(2 * replica_count):
            answer = await send(site, f"r{number}", path)
            assert (answer.status, count_runs(servers, f"r{number}")) == (200, 1)

    run_with(servers, check)


@pytest.mark.parametrize(("path", "event_count"), ONCE_ONLY)
def test_second_copy_of_a_refusal_ends_no_later_attempt(path, event_count):
    # Both targets refuse a request, one refusal is sent twice, and the request is sent
    # to the same target again. The copy arrives while the request runs, which must not
    # be sent to another target then, nor be reported as not run.
    servers = [replica.Replica(f"i-{n}", event_count) for n in range(2)]
    for each in servers:
        each.planned_behaviours = [
            replica.Behaviour("refuse", late_refusal="copy", awaits_release=True),
            replica.Behaviour(awaits_release=True),
        ]

    async def check(site):
        by_id = site.gateways[0].table.by_id

        def is_usable(server):
            return by_id[server.id].is_usable(time.monotonic())

        sending = asyncio.create_task(send(site, "r", path))
        await until(lambda: any(len(s.planned_behaviours) == 1 for s in servers))
        first, second = sorted(servers, key=lambda s: len(s.planned_behaviours))
        first.release.set()
        await until(lambda: len(second.planned_behaviours) == 1)
        first.release.clear()
        await until(lambda: is_usable(first))
        second.release.set()
        await until(lambda: first.runs["r"])
        await until(lambda: is_usable(second))
        first.release.set()
        answer = await sending
        assert (answer.status, count_runs(servers, "r")) == (200, 1)

    run_with(servers, check)


def test_request_without_an_identifier_uses_no_kept_connection():
    # A target sends a response without an identifier before the next one on a kept
    # connection. A request without an identifier could not tell it from its own.
    server = replica.Replica(events=0)

    async def check(site):
        assert (await send(site, "r1")).status == 200
        pools = site.gateways[0].pools
        opened = pools.count_opened()
        sending = asyncio.create_task(send(site, None))
        await until(lambda: server.requests == 2)
        sending.cancel()
        assert pools.count_opened() == opened + 1

    run_with([server], check)


def make_refusal(status, request_id="{id}", is_marked=True):
    """Return the head of a response that may say that a request did not run."""
    lines = [f"HTTP/1.1 {status} Refused", "Content-Length: 0"]
    lines += [f"{message.REQUEST_ID}: {request_id}"] * bool(request_id)
    lines += [f"{message.NOT_EXECUTED}: 1"] * is_marked
    return "\r\n".join([*lines, "", ""])


class RawTarget:
    """A target that answers the first request on a connection, then as given."""

    def __init__(self, parts):
        self.parts = parts
        self.id = "i-raw"
        self._writers = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        is_first = True
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                await reader.readexactly(len(b"hello"))
                rows = dict(row.split(": ", 1) for row in head.split("\r\n")[1:-2])
                request_id = rows[message.REQUEST_ID]
                await self._answer(writer, request_id, is_first)
                is_first = False

    async def _answer(self, writer, request_id, is_first):
        answer = (
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
            f"{message.REQUEST_ID}: {{id}}\r\n{message.SERVER_STAMP}: s\r\n\r\n"
        )
        for part in [answer] if is_first else self.parts:
            if part is None:
                writer.close()
                return
            writer.write(part.replace("{id}", request_id).encode())
            await writer.drain()
            # The next part arrives in a read of its own.
            await asyncio.sleep(0)

    def make_registration(self, service, **changes):
        return {
            "service": service,
            "address": self.address,
            "zone": "here",
            "slots": 8,
            "state": "ready",
            **changes,
        }

    async def close(self):
        self._server.close()
        for writer in self._writers:
            writer.close()


HEAD = make_refusal(503)


@pytest.mark.parametrize(
    ("parts", "status"),
    [
        ([HEAD], 200),
        ([make_refusal(429)], 200),
        ([make_refusal(500)], 200),
        ([make_refusal(421, is_marked=False)], 503),
        ([HEAD[:40], HEAD[40:]], 200),
        (["HTTP/1.1 100 Continue\r\n\r\n", HEAD], 200),
        ([make_refusal(503, "other"), HEAD], 200),
        ([make_refusal(503, None), make_refusal(421, "other"), HEAD], 200),
        ([make_refusal(503, is_marked=False)], 502),
        ([make_refusal(429, is_marked=False)], 502),
        ([HEAD[:-2], None], 502),
        (["no response\r\n\r\n", HEAD], 502),
        ([make_refusal(503, "other"), None], 502),
        ([make_refusal(503, None), None], 502),
        ([make_refusal(421, None, is_marked=False), None], 502),
        ([make_refusal(503, "other")] * 3 + [HEAD], 502),
        ([make_refusal(503, "other")], 504),
        ([make_refusal(503, None)], 504),
    ],
)
def test_only_a_refusal_of_the_request_itself_says_that_it_did_not_run(parts, status):
    # A request that did not run is served by its next attempt, over a new connection.
    # Anything else leaves open whether it runs, so its caller must hear 502 or 504.
    async def check(site):
        assert (await send(site, "before")).status == 200
        answer = await send(site, "r", deadline_ms=600)
        assert answer.status == status

    run_with([RawTarget(parts)], check)


def test_request_that_was_refused_before_may_run_at_its_deadline():
    # One target refuses a request, the next attempt is still silent at the deadline.
    # The refusal of the first attempt says nothing about the second.
    server = replica.Replica(events=0)
    server.planned_behaviours = [
        replica.Behaviour("refuse"),
        replica.Behaviour("silent"),
    ]

    async def check(site):
        answer = await send(site, "r", deadline_ms=800)
        assert (answer.status, server.runs["r"]) == (504, 1)

    run_with([server], check)
