"""Requests on connections that callers keep open while an entry stops."""

import asyncio
import time

import orjson
import pytest

from pimentowick.fakes import faults, platform_site, replica, wait
from pimentowick.gateway import daemon

ROUTES = [
    platform_site.make_route("/chat/", "stream", max_attempts=1),
    platform_site.make_route("/lot/", "batch", run_target_ms=60_000),
]
DEADLINE_MS = 8000
# Shorter than the route's timeout: a request of unknown length can't be finished.
SHORT_GRACE_S = 2.0
LONG_GRACE_S = 30.0
WAIT_S = 20.0
JOB = orjson.dumps({"items": [{"id": "i", "path": "/lot/1", "body": ""}]})


class Connection:
    """A caller's connection, on which requests are sent one after another."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, site):
        host, _, port = site.gateways[0].settings.callers_address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(self, *request_ids, path="/chat/1", body=b"", deadline_ms=DEADLINE_MS):
        for request_id in request_ids:
            lines = [
                f"POST {path} HTTP/1.1",
                f"Host: {platform_site.HOST}",
                f"X-Pimentowick-Request-Id: {request_id}",
                f"X-Pimentowick-Deadline-Ms: {deadline_ms}",
                f"Content-Length: {len(body)}",
            ]
            self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def read_head(self):
        async with asyncio.timeout(WAIT_S):
            head = (await self._reader.readuntil(b"\r\n\r\n")).decode()
        status = int(head.split()[1])
        lines = head.lower().splitlines()[1:-1]
        return status, dict(line.split(": ", 1) for line in lines)

    async def read_until(self, expected):
        async with asyncio.timeout(WAIT_S):
            return await self._reader.readuntil(expected)

    async def read_to_end(self):
        async with asyncio.timeout(WAIT_S):
            return await self._reader.read()

    async def finish_stream(self):
        await self.read_until(b"0\r\n\r\n")

    def close(self):
        self._writer.close()


def run_stop(check, grace_s=SHORT_GRACE_S, events=3, slots=8):
    """Run `check` with an entry that a test stops and a replica that holds streams."""

    async def run():
        server = replica.Replica(events=events, slots=slots)
        server.holds_last_event = True
        async with platform_site.open_site(
            [server], ROUTES, stop_grace_s=grace_s
        ) as site:
            await check(site, server)

    asyncio.run(run())


def begin_stop(site):
    """Stop the entry as its process does; return the task."""
    gateway = site.gateways.pop()

    async def end():
        await gateway.drain()
        await gateway.close()

    return asyncio.create_task(end())


async def stop(site):
    """Begin to stop the entry; return the task once idle connections are closed."""
    idle = await Connection.open(site)
    stopping = begin_stop(site)
    assert await idle.read_to_end() == b""
    idle.close()
    return stopping


async def begin_stream(site, *request_ids):
    """Return a connection on which a stream has begun."""
    connection = await Connection.open(site)
    connection.send(*request_ids)
    status, headers = await connection.read_head()
    assert status == 200
    assert "connection" not in headers
    return connection


async def read_code(connection):
    return orjson.loads(await connection.read_to_end())["error"]["code"]


@pytest.fixture(autouse=True)
def _close_listener_at_once(monkeypatch):
    monkeypatch.setattr(daemon, "BALANCER_REMOVAL_S", 0.0)


@pytest.mark.parametrize("is_buffered", [False, True])
def test_request_that_can_not_be_finished_is_refused(is_buffered):
    # Guards against streams that are passed on during a stop and cut at its end.
    async def check(site, server):
        first = ["r1", "r2"] if is_buffered else ["r1"]
        connection = await begin_stream(site, *first)
        stopping = await stop(site)
        server.release.set()
        await connection.finish_stream()
        if not is_buffered:
            connection.send("r2")
        status, headers = await connection.read_head()
        assert status == 503
        assert headers["connection"] == "close"
        assert float(headers["retry-after"]) < 1
        assert await read_code(connection) == "stopping"
        assert "r2" not in server.runs
        await stopping
        connection.close()

    run_stop(check)


def test_request_that_can_be_finished_is_served():
    # Guards against refusals although the usual length of a stream fits.
    async def check(site, server):
        server.release.set()
        for number in range(12):
            usual = await begin_stream(site, f"usual{number}")
            await usual.finish_stream()
            usual.close()
        server.release.clear()
        connection = await begin_stream(site, "r1")
        stopping = await stop(site)
        server.release.set()
        await connection.finish_stream()
        connection.send("r2", deadline_ms=60_000)
        status, headers = await connection.read_head()
        assert (status, headers["connection"]) == (200, "close")
        await connection.finish_stream()
        assert await connection.read_to_end() == b""
        await stopping
        connection.close()

    run_stop(check, LONG_GRACE_S)


def test_connection_that_becomes_idle_is_closed():
    # Guards against connections that take requests until the process ends.
    async def check(site, server):
        connection = await begin_stream(site, "r1")
        server.planned_behaviours = [replica.Behaviour("silent")]
        held = await Connection.open(site)
        held.send("held")
        await wait.wait_for(lambda: server.running == 2, WAIT_S, 0.005)
        stopping = await stop(site)
        server.release.set()
        await connection.finish_stream()
        assert await connection.read_to_end() == b""
        assert not stopping.done()
        held.close()
        await stopping
        connection.close()

    run_stop(check, LONG_GRACE_S)


def test_queued_request_is_refused_once_it_can_not_be_finished():
    # Guards against requests that wait in the queue until the process ends.
    async def check(site, server):
        running = await begin_stream(site, "running")
        queued = await Connection.open(site)
        queued.send("queued")
        admission = site.gateways[0].admission
        await wait.wait_for(lambda: admission.count_queued("lm"), WAIT_S, 0.005)
        stopping = begin_stop(site)
        status, headers = await queued.read_head()
        assert status == 503
        assert "retry-after" in headers
        assert "queued" not in server.runs
        await stopping
        for connection in (running, queued):
            connection.close()

    run_stop(check, slots=1)


def test_request_without_a_response_gets_a_final_answer():
    # Guards against connections that are closed without a word about a request that
    # may have run.
    async def check(site, server):
        server.planned_behaviours = [replica.Behaviour("silent")]
        connection = await Connection.open(site)
        connection.send("r1")
        await wait.wait_for(lambda: server.running, WAIT_S, 0.005)
        stopping = begin_stop(site)
        status, _ = await connection.read_head()
        assert status == 504
        assert await read_code(connection) == "unfinished"
        await stopping
        connection.close()

    run_stop(check)


def test_last_answers_are_sent_by_a_busy_process():
    # Guards against connections that are closed before their answers are sent, if the
    # event loop is blocked while the time for them passes.
    async def check(site, server):
        job = await Connection.open(site)
        site.store.fault_injector.inject(faults.Fault("down"))
        job.send("j", path="/lot/x", body=JOB)
        gateway = site.gateways[0]
        await wait.wait_for(
            lambda: gateway._caller_server.active_requests, WAIT_S, 0.005
        )
        stopping = begin_stop(site)
        loop = asyncio.get_running_loop()
        grace_s = SHORT_GRACE_S - daemon.SHUTDOWN_MARGIN_S
        loop.call_later(grace_s - 0.05, time.sleep, 0.5)
        status, _ = await job.read_head()
        assert status == 504
        await stopping
        job.close()

    run_stop(check)


@pytest.mark.parametrize("when", ["before", "after"])
def test_job_submission_during_a_store_outage_gets_a_final_answer(when):
    # Guards against submissions that end with a closed connection.
    async def check(site, server):
        connection = await begin_stream(site, "r1")
        job = await Connection.open(site)
        site.store.fault_injector.inject(faults.Fault("down"))
        gateway = site.gateways[0]
        if when == "before":
            job.send("j", path="/lot/x", body=JOB)
            await wait.wait_for(
                lambda: gateway._caller_server.active_requests == 2, WAIT_S, 0.005
            )
            stopping = await stop(site)
        else:
            stopping = await stop(site)
            server.release.set()
            await connection.finish_stream()
            connection.send("j", path="/lot/x", body=JOB)
            job.close()
            job = connection
        status, _ = await job.read_head()
        assert status in (503, 504)
        await stopping
        connection.close()
        job.close()

    run_stop(check)
