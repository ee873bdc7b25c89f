"""Log lines that tell in which way accepted work was lost."""

import asyncio
import socket

import pytest
from tornado import httputil

from pimentowick.fakes import platform_site, replica, wait
from pimentowick.gateway import (
    content,
    decision_log,
    exchange,
    history,
    job,
    record,
    runner,
)
from pimentowick.gateway.tests import test_job_api

REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"


@pytest.fixture
def lines(monkeypatch):
    """Return the list of the lines logged, as tuples (event, fields)."""
    logged = []
    monkeypatch.setattr(
        decision_log,
        "_write",
        lambda level, event, fields: logged.append((event, fields)),
    )
    return logged


def find(lines, event):
    return [fields for name, fields in lines if name == event]


def add_job(table):
    body = content.Reference("b/0/w", 0, 1, 1)
    item = job.Item("item0", "/lot/1", {}, 7, body)
    made = record.make_job("j1", "h", "/lot/1", 100.0, [item])
    table.apply_job(made.key, made.value)
    return made


def test_line_tells_why_a_job_is_forgotten(lines):
    table = job.JobTable()
    add_job(table)
    table.apply_job("j/j1", b"")
    add_job(table)
    table.reset_jobs([])
    outcomes = [fields["outcome"] for fields in find(lines, "batch.forgotten")]
    assert outcomes == ["deleted", "not_in_snapshot"]


def test_line_tells_of_a_result_that_a_snapshot_lacks(lines):
    table = job.JobTable()
    add_job(table)
    result = record.make_result("j1", 0, "w", False, None)
    table.apply_outcome(result.key, result.value)
    table.reset_outcomes([])
    (fields,) = find(lines, "batch.results_missing")
    assert (fields["known"], fields["results"]) == (1, 0)


def test_line_tells_why_a_body_is_unknown(lines):
    route = platform_site.make_route("/lot/", "batch", run_target_ms=20_000)

    async def run():
        server = replica.Replica(events=2, event_interval_s=0.01)
        async with platform_site.open_site([server], [route]) as site:
            await test_job_api.submit(site, test_job_api.make_body(1), "j1")
            (gateway,) = site.gateways
            table = gateway.storage.job_table
            await wait.wait_for(lambda: not table.open_jobs, 10, 0.01)
            for item in ("item0", "other"):
                answer = await site.call("GET", f"/-/items/j1?id={item}")
                assert answer.status == 404

    asyncio.run(run())
    outcomes = [fields["outcome"] for fields in find(lines, "batch.body_unknown")]
    assert outcomes == ["item_has_result", "unknown_item"]


@pytest.mark.parametrize("is_started", [False, True])
def test_line_tells_of_a_connection_closed_without_a_response(lines, is_started):
    async def run():
        address = f"127.0.0.1:{platform_site.find_free_port()}"

        async def answer(request):
            if is_started:
                headers = httputil.HTTPHeaders({"Content-Length": "9"})
                await request.start(200, headers, b"some")
            raise exchange.iostream.StreamClosedError

        server = exchange.Server(address, answer)
        await server.start()
        with socket.create_connection(("127.0.0.1", server._port)) as caller:
            caller.sendall(REQUEST)
            await wait.wait_for(lambda: find(lines, "caller.unanswered"), 10, 0.01)
        await server.close()

    asyncio.run(run())
    (fields,) = find(lines, "caller.unanswered")
    assert (fields["outcome"], fields["is_started"]) == ("stream_closed", is_started)


def test_no_line_tells_of_a_caller_that_has_left(lines):
    async def run():
        address = f"127.0.0.1:{platform_site.find_free_port()}"
        ended = asyncio.Event()

        async def answer(request):
            try:
                await asyncio.sleep(10)
            finally:
                ended.set()

        server = exchange.Server(address, answer)
        await server.start()
        with socket.create_connection(("127.0.0.1", server._port)) as caller:
            caller.sendall(REQUEST)
            await wait.wait_for(lambda: server.active_requests, 10, 0.01)
        await asyncio.wait_for(ended.wait(), 10)
        await server.close()

    asyncio.run(run())
    assert not find(lines, "caller.unanswered")


def test_line_tells_why_an_item_waits_for_long(lines, monkeypatch):
    monkeypatch.setattr(runner.waiting_items, "LONG_WAIT_S", 0.1)
    route = platform_site.make_route("/lot/", "batch", run_target_ms=20_000)

    async def run():
        server = replica.Replica(events=2, event_interval_s=0.01)
        async with platform_site.open_site([server], [route]) as site:
            (target,) = site.gateways[0].table.list_targets("lm")
            target.paused_until = float("inf")
            await test_job_api.submit(site, test_job_api.make_body(1), "j1")
            (gateway,) = site.gateways

            def is_told():
                gateway.runner.log_long_waits()
                rows = find(lines, "item.waiting")
                return any(fields["outcome"] == "no_slot" for fields in rows)

            await wait.wait_for(is_told, 10, 0.05)

    asyncio.run(run())
    fields = find(lines, "item.waiting")[-1]
    assert (fields["usable"], fields["reasons"]) == (0, {"no_slot": 1})
    data = {"event": "item.waiting", "time": 1.0, **fields}
    text = history.explain([history.Line("one", data)], [])
    assert text.startswith("It has waited for")
