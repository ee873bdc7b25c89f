"""Items that are owed while targets are idle, and states that must not hold them."""

import asyncio
import base64

import orjson

from pimentowick.fakes import platform_site, replica, wait
from pimentowick.gateway import execution
from pimentowick.gateway.tests import test_job_api

ROUTE = platform_site.make_route(
    "/lot/", "batch", run_target_ms=20_000, retention_s=60, max_attempts=3
)
TEXT = "word 1\nword 2\nword 3"
WAIT_S = 20.0
POLL_S = 0.02


def run_with(check, servers=None, route=ROUTE, entries=1):
    servers = servers or [replica.Replica()]

    async def run():
        async with platform_site.open_site(servers, [route], entries) as site:
            await check(site)

    asyncio.run(run())


async def submit(site, job_id="job1", **changes):
    item = {
        "id": f"{job_id}-0",
        "path": "/lot/1",
        "headers": {"X-Pimentowick-Model": "m"},
        "body": base64.b64encode(b"x").decode(),
        "tokens": 10,
        **changes,
    }
    return await test_job_api.submit(site, orjson.dumps({"items": [item]}), job_id)


async def wait_for_state(site, state, job_id="job1"):
    async def is_listed():
        status, data = await test_job_api.read(site, job_id=job_id)
        return status == 200 and [row["state"] for row in data["results"]] == [state]

    await wait.wait_for(is_listed, WAIT_S, POLL_S)


def test_space_around_the_value_of_a_header_is_no_reason_to_refuse_an_item():
    async def check(site):
        headers = {"X-A": " one\t", "X-B": "", "X-C": "é"}
        assert (await submit(site, headers=headers)).status == 202
        await wait_for_state(site, "done")
        (sent,) = site.replicas[0].headers
        assert (sent["X-A"], sent["X-C"]) == ("one", "é")

    run_with(check)


def test_item_whose_run_ends_with_an_unexpected_error_is_not_run_in_a_hot_loop(
    monkeypatch,
):
    # Guards against an item that is started in each scheduling pass, and against one
    # that is forgotten.
    send = execution.send
    attempts = []

    async def fail_first(run, *args):
        if run.job.id == "job1" and len(attempts) < 2:
            attempts.append(run.not_before)
            raise UnicodeError("no way")
        return await send(run, *args)

    monkeypatch.setattr(execution, "send", fail_first)

    async def check(site):
        assert (await submit(site)).status == 202
        assert (await submit(site, "job2")).status == 202
        await wait_for_state(site, "done", "job2")
        await wait_for_state(site, "done")
        # It has waited in between.
        assert len(attempts) == 2
        assert attempts[1] > attempts[0]

    run_with(check)
