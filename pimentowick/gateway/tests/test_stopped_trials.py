"""Trials that end without a result: stopped, refused, or left by their callers."""

import asyncio
import base64

import orjson
import pytest

from pimentowick import fingerprint
from pimentowick.fakes import platform_site, replica, wait
from pimentowick.routing import quarantine

ROUTES = [
    platform_site.make_route("/draft/", "stream", max_attempts=1),
    platform_site.make_route(
        "/lot/", "batch", run_target_ms=60_000, retention_s=60, max_attempts=3
    ),
]
BODY = b"sound"
# After as many failed trials the next one is due in ten minutes.
TRIALS = 3
WAIT_S = 15.0
POLL_S = 0.01


def run_with(check):
    async def run():
        servers = [replica.Replica("i-0")]
        async with platform_site.open_site(servers, ROUTES) as site:
            await check(site, site.gateways[0], servers[0])

    asyncio.run(run())


def quarantine_request(gateway, path):
    name = fingerprint.compute_fingerprint(None, platform_site.HOST, "POST", path, BODY)
    for target in ("t1", "t2"):
        gateway.crash_guard.record_crash(name, target)
    return name


async def submit(site):
    item = {
        "id": "item",
        "path": "/lot/1",
        "headers": {},
        "body": base64.b64encode(BODY).decode(),
        "tokens": 10,
    }
    answer = await site.call(
        "POST",
        "/lot/new",
        orjson.dumps({"items": [item]}),
        X_Pimentowick_Request_Id="job",
    )
    assert answer.status == 202


async def is_done(site):
    answer = await site.call("GET", "/-/lots/job?after=0")
    return answer.status == 200 and bool(orjson.loads(answer.body)["results"])


def count_failed_trials(gateway, name):
    policy = gateway.crash_guard.policy
    return policy.get_trials(name) - policy.get_cancelled(name)


def test_item_that_is_preempted_before_its_first_event_runs_again():
    # The gateway stops its trial itself, which shows nothing of the item.
    async def check(site, gateway, server):
        quarantine_request(gateway, "/lot/1")
        server.planned_behaviours = [replica.Behaviour("silent")] * TRIALS
        await submit(site)
        for number in range(1, TRIALS + 1):
            await wait.wait_for(
                lambda n=number: server.runs["item"] == n, WAIT_S, POLL_S
            )
            (run,) = gateway.runner.list_runs()
            gateway.runner._cancel(run)
            gateway.runner.wake()
        await wait.wait_for(lambda: is_done(site), WAIT_S, POLL_S)

    run_with(check)


@pytest.mark.parametrize("kind", ["refuse", "fail", "unsigned"])
def test_item_whose_trials_meet_no_crash_runs_again(kind):
    # A target that refuses, fails or answers nonsense has not crashed.
    async def check(site, gateway, server):
        name = quarantine_request(gateway, "/lot/1")
        runs = TRIALS - 1 if kind == "fail" else TRIALS
        server.planned_behaviours = [replica.Behaviour(kind)] * runs
        await submit(site)
        await wait.wait_for(lambda: is_done(site), WAIT_S, POLL_S)
        assert not server.planned_behaviours
        assert not gateway.crash_guard.policy.is_quarantined(name)

    run_with(check)


def test_request_whose_caller_left_before_an_event_is_served_when_it_returns():
    # Nothing shows that it would have crashed its target.
    async def check(site, gateway, server):
        name = quarantine_request(gateway, "/draft/1")
        server.planned_behaviours = [replica.Behaviour("silent")] * TRIALS
        for number in range(TRIALS):
            attempt = asyncio.create_task(send(site, number))
            await wait.wait_for(
                lambda n=number: server.runs[f"r{n}"] == 1, WAIT_S, POLL_S
            )
            attempt.cancel()
            await asyncio.gather(attempt, return_exceptions=True)
            await wait.wait_for(
                lambda: not count_failed_trials(gateway, name), WAIT_S, POLL_S
            )
        assert (await send(site, TRIALS)).status == 200

    run_with(check)


async def send(site, number):
    return await site.call(
        "POST",
        "/draft/1",
        BODY,
        X_Pimentowick_Request_Id=f"r{number}",
        X_Pimentowick_Deadline_Ms="4000",
    )


def test_trial_that_is_stopped_while_it_is_counted_is_cancelled():
    # The store counts it, although the run never begins.
    async def check(site, gateway, server):
        name = quarantine_request(gateway, "/draft/1")
        guard = gateway.crash_guard
        trial = asyncio.create_task(guard.start_trial([name], "r1"))
        await asyncio.sleep(0)
        trial.cancel()
        await asyncio.gather(trial, return_exceptions=True)
        await wait.wait_for(lambda: guard.policy.get_trials(name) == 1, WAIT_S, POLL_S)
        await wait.wait_for(
            lambda: not count_failed_trials(gateway, name), WAIT_S, POLL_S
        )
        step = guard.policy.choose_step(name, asyncio.get_running_loop().time())
        assert step == quarantine.Step.TRIAL

    run_with(check)
