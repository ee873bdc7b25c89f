import asyncio
import time

import orjson
import pytest

from pimentowick import verdict
from pimentowick.fakes import platform_site, replica, wait
from pimentowick.gateway import history, metric, workspace
from pimentowick.gateway.policy import quota

CHAT = platform_site.make_route("/chat/", "stream", resumable=True)
KEY = "key-1"
LIMIT = quota.Limit(0.01, 1.0)


def make_workspace_settings(**changes):
    return {"name": "stands", "api_keys": [KEY], "priority": 1, **changes}


def run_with(check, workspace_settings, replicas=None, entries=1):
    async def run():
        async with platform_site.open_site(
            replicas, [CHAT], entries, [workspace_settings]
        ) as site:
            # Token buckets fill with the time since the start; skip that time.
            for gateway in site.gateways:
                gateway.quotas._started_at = float("-inf")
            await wait.wait_for(
                lambda: all(entry.quotas.share == 1.0 for entry in site.gateways),
                10,
                0.01,
            )
            await check(site)

    asyncio.run(run())


async def send(site, request_id, entry=0):
    return await site.call(
        "POST",
        "/chat/1",
        b"hello",
        entry,
        Authorization=f"Token {KEY}",
        X_Pimentowick_Request_Id=request_id,
        X_Pimentowick_Deadline_Ms="8000",
    )


def test_requests_beyond_the_limit_are_refused_and_have_not_run():
    server = replica.Replica()

    async def check(site):
        answers = [await send(site, f"r{n}") for n in range(5)]
        assert [answer.status for answer in answers] == [200] * 3 + [429] * 2
        refused = answers[-1]
        assert orjson.loads(refused.body)["error"]["verdict"] == "not_run"
        # The next token is due in 100 s; Retry-After is capped at 10 s.
        assert float(refused.headers["Retry-After"]) == pytest.approx(10, abs=0.1)
        assert set(server.runs) == {"r0", "r1", "r2"}

    run_with(check, make_workspace_settings(rate_per_s=0.01, burst=3), [server])


@pytest.mark.parametrize("rate_per_s", [0, None])
def test_workspace_without_a_rate_has_no_limit(rate_per_s):
    settings = make_workspace_settings(burst=1)
    if rate_per_s is not None:
        settings["rate_per_s"] = rate_per_s

    async def check(site):
        for number in range(5):
            assert (await send(site, f"r{number}")).status == 200

    run_with(check, settings)


def test_entries_enforce_one_shared_limit():
    async def check(site):
        for number in range(4):
            assert (await send(site, f"r{number}")).status == 200
        quotas = site.gateways[1].quotas

        def is_used_up():
            bucket = quotas._buckets.get("stands")
            return bucket is not None and bucket.tokens < 1

        await wait.wait_for(is_used_up, 10, 0.01)
        assert (await send(site, "late", entry=1)).status == 429

    run_with(check, make_workspace_settings(rate_per_s=0.01, burst=4), entries=2)


def test_request_that_no_target_ran_costs_no_quota():
    server = replica.Replica()
    server.planned_behaviours = [replica.Behaviour("refuse")] * 4

    async def check(site):
        assert (await send(site, "r0")).status == 503
        assert site.gateways[0].quotas.take("stands", LIMIT, time.monotonic()) == 0.0

    run_with(check, make_workspace_settings(rate_per_s=0.01, burst=1), [server])


def test_priority_of_the_workspace_goes_before_that_of_the_route():
    urgent = workspace.Workspace("a", priority=0)
    usual = workspace.Workspace("b", priority=1)
    assert urgent.rank(2) < usual.rank(0)
    assert usual.rank(0) < usual.rank(2)


def test_metrics_name_a_few_workspaces_only():
    metrics = metric.Metrics()
    refusal = verdict.Refusal(429, "rate_limit", "Come back later.")
    for number in range(metric.MAX_NAMED_WORKSPACES + 5):
        metrics.count_refusal(refusal, f"w{number}")
    page = metrics.render()[0].decode()
    lines = [line for line in page.splitlines() if "workspace_refusals_total{" in line]
    assert len(lines) == metric.MAX_NAMED_WORKSPACES + 1
    others = [line for line in lines if metric.OTHER_WORKSPACES in line]
    assert len(others) == 1 and others[0].endswith(" 5")


@pytest.mark.parametrize(
    ("event", "fields", "words"),
    [
        ("caller.unidentified", {"outcome": "key_unknown"}, "revoked or never issued"),
        ("caller.unidentified", {"outcome": "key_missing"}, "no readable API key"),
        ("caller.unidentified", {"outcome": "key_unsure"}, "did not answer whether"),
        ("caller.unidentified", {"outcome": "configuration_old"}, "revoked since"),
        (
            "caller.over_quota",
            {"outcome": "rate_limit"},
            "limit of 5 requests per second",
        ),
    ],
)
def test_trace_says_why_a_key_or_a_limit_refused_a_request(event, fields, words):
    data = {
        "time": 1.0,
        "event": event,
        "id": "r1",
        "configuration": 7,
        "age_s": 2.0,
        "workspace": "stands",
        "rate_per_s": 5,
        "burst": 5,
        **fields,
    }
    line = history.Line("front-1", data)
    id_lines, context_lines = history.find_related([line], "r1")
    assert words in history.explain(id_lines, context_lines)


def test_trace_finds_a_job_by_the_identifier_that_its_caller_gave():
    data = {"time": 1.0, "event": "batch.accepted", "id": "stands:7c41"}
    id_lines, _ = history.find_related([history.Line("front-1", data)], "7c41")
    assert len(id_lines) == 1
