"""Targets that reject requests because another one, or another version, is expected."""

import asyncio
import base64
import dataclasses
import time

import orjson

from pimentowick.fakes import platform_site, replica, wait
from pimentowick.gateway import follower, target
from pimentowick.gateway.policy import target_choice
from pimentowick.gateway.tests import test_job_api
from pimentowick.platform import store

ROUTES = [
    platform_site.make_route("/chat/", "stream", resumable=True),
    platform_site.make_route(
        "/lot/", "batch", run_target_ms=20_000, retention_s=60, max_attempts=3
    ),
]
EVENTS = 3
TEXT = "word 1\nword 2\nword 3"
WAIT_S = 20.0
POLL_S = 0.02
OTHER_WEIGHTS = "2"


def run_with(check, count=2):
    async def run():
        servers = [replica.Replica(f"i-{n}", EVENTS) for n in range(count)]
        async with platform_site.open_site(servers, ROUTES) as site:
            await check(site)

    asyncio.run(run())


async def send(site, request_id, **headers):
    return await site.call(
        "POST",
        "/chat/1",
        b"{}",
        X_Pimentowick_Request_Id=request_id,
        X_Pimentowick_Deadline_Ms="4000",
        **headers,
    )


async def submit(site, job_id, item_headers, count=1):
    items = [
        {
            "id": f"{job_id}-{number}",
            "path": "/lot/1",
            "headers": item_headers,
            "body": base64.b64encode(b"x").decode(),
            "tokens": 10,
        }
        for number in range(count)
    ]
    body = orjson.dumps({"items": items})
    answer = await test_job_api.submit(site, body, job_id)
    assert answer.status == 202


async def wait_until_done(site, job_id, count=1):
    async def is_done():
        status, data = await test_job_api.read(site, job_id=job_id)
        return status == 200 and len(data["results"]) == count

    await wait.wait_for(is_done, WAIT_S, POLL_S)
    _, data = await test_job_api.read(site, job_id=job_id)
    assert {(row["state"], row["text"]) for row in data["results"]} == {("done", TEXT)}


def test_condition_of_one_caller_does_not_shut_out_targets_for_others():
    # Guards against a caller whose condition no target meets, and who thereby takes
    # all of them from everybody else.
    async def check(site):
        answer = await send(site, "r1", X_Pimentowick_Expect_Version=OTHER_WEIGHTS)
        assert answer.status == 503
        assert all(server.unmet_conditions for server in site.replicas)
        assert (await send(site, "r2")).status == 200
        await submit(site, "job1", {}, 4)
        await wait_until_done(site, "job1", 4)

    run_with(check)


def test_item_whose_condition_is_not_met_waits_longer_each_time_and_is_done_later():
    # Guards against such an item that is sent ten times a second, that keeps other
    # items from running, or that is not run once a target meets its condition.
    async def check(site):
        (gateway,), (server,) = site.gateways, site.replicas
        headers = {"X-Pimentowick-Expect-Version": OTHER_WEIGHTS}
        await submit(site, "job1", headers)
        await wait.wait_for(lambda: server.unmet_conditions >= 3, WAIT_S, POLL_S)
        (run,) = gateway.runner.list_runs()
        await wait.wait_for(lambda: run.task is None, WAIT_S, POLL_S)
        assert run.failures >= 3
        await submit(site, "job2", {}, 4)
        await wait_until_done(site, "job2", 4)
        server.weights = OTHER_WEIGHTS
        await wait_until_done(site, "job1")

    run_with(check, count=1)


def test_target_that_rejected_a_request_is_used_again_once_it_has_registered():
    # Guards against a target that is shut out until the entry is restarted.
    async def check(site):
        (gateway,), (server,) = site.gateways, site.replicas
        server.planned_behaviours = [replica.Behaviour("misdirect")]
        assert (await send(site, "r1")).status == 503
        assert not gateway.table.by_id[server.id].is_usable(time.monotonic())
        await submit(site, "job1", {})

        async def beat():
            while True:
                site.register_replica(server)
                await asyncio.sleep(0.2)

        beats = asyncio.create_task(beat())
        try:
            await wait_until_done(site, "job1")
        finally:
            beats.cancel()
        assert (await send(site, "r2")).status == 200

    run_with(check, count=1)


REGISTRATION = target.Registration("t", "s", "127.0.0.1", 1, "a", 8)
REGISTRATION = dataclasses.replace(REGISTRATION, software_version="v1")


def is_in_use(table):
    (listed,) = table.list_targets("s")
    assert table.has_version("s", "v1") == listed.is_usable(time.monotonic())
    return listed.is_usable(time.monotonic())


def test_rejection_holds_a_target_until_it_registers_later():
    # A registration that was under way as another target took the address over says
    # nothing of it.
    table = target.TargetTable()
    table.put(REGISTRATION)
    now = time.monotonic()
    table.by_id["t"].hold(now)
    table.put(REGISTRATION)
    assert not is_in_use(table)
    table.by_id["t"].hold(now - target.CONFIRMATION_DELAY_S)
    table.put(REGISTRATION, is_new=False)
    assert not is_in_use(table)
    table.put(REGISTRATION)
    assert is_in_use(table)


class Feed:
    unreachable_since = None
    recovered_at = float("-inf")
    fresh_at = 0.0


def test_registration_that_is_read_again_confirms_nothing():
    # Guards against a new snapshot of old records that counts as a sign of life.
    value = orjson.dumps(
        {
            "service": "s",
            "address": "127.0.0.1:1",
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "born": 7,
        }
    )
    table = target.TargetTable()
    targets = follower.TargetFollower(table, lambda: None)
    targets.feed = Feed()
    targets.reset([store.KeyedRecord("t", value, 5)])
    past = time.monotonic() - 2 * target.CONFIRMATION_DELAY_S
    table.by_id["t"].hold(past)
    table.by_id["t"].record_break(past)
    targets.reset([store.KeyedRecord("t", value, 5)])
    assert not is_in_use(table)
    assert table.by_id["t"].software_version is None
    targets.apply(store.KeyedRecord("t", value, 6))
    assert is_in_use(table)
    assert table.by_id["t"].software_version == "v1"


def test_item_whose_condition_another_target_meets_is_tried_there(monkeypatch):
    # Guards against an item that is sent again and again to the least loaded target,
    # which never meets its condition, while another one does and has unused slots.
    def draw(targets, weigh, failure_domain):
        return [max(targets, key=weigh)]

    # With the target that meets it nearly full, a random draw seldom finds it.
    monkeypatch.setattr(target_choice, "_draw", draw)

    async def check(site):
        (gateway,) = site.gateways
        first, second = site.replicas
        second.weights = OTHER_WEIGHTS
        gateway.table.by_id[second.id].online += second.slots - 2
        headers = {"X-Pimentowick-Expect-Version": OTHER_WEIGHTS}
        await submit(site, "job1", headers)
        await wait.wait_for(
            lambda: second.runs or first.unmet_conditions >= 4, WAIT_S, POLL_S
        )
        assert second.runs

    run_with(check)
