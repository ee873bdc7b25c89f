import asyncio

import pytest

from pimentowick.fakes import platform_site, replica
from pimentowick.gateway import decision_log
from pimentowick.platform import message

PLAIN = platform_site.make_route("/confirm/", "non_idempotent", max_attempts=1)
ROUTES = [PLAIN]


def run_with(replicas, check):
    async def run():
        async with platform_site.open_site(replicas, ROUTES) as site:
            await check(site)

    asyncio.run(run())


async def send(site, request_id, path="/confirm/1"):
    headers = {
        message.REQUEST_ID: request_id,
        message.DEADLINE: "4000",
    }
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
        assert (await send(site, "r2")).status == 503
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
