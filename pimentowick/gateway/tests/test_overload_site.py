"""Tests of the decisions under overload with real entries and fake replicas."""

import asyncio
import contextlib

import pytest

from pimentowick.fakes import platform_site, replica, wait
from pimentowick.gateway import history
from pimentowick.gateway.policy import overload, retry_budget

ROUTE = platform_site.make_route("/chat/", "stream", resumable=True)
SERVICE = platform_site.SERVICE


@contextlib.asynccontextmanager
async def open_full_site(entries=1, routes=(ROUTE,), holds=True):
    """Run entries on a shared host whose only slot is held."""
    server = replica.Replica(slots=1)
    server.holds_last_event = holds
    async with platform_site.open_site([server], list(routes), entries) as site:
        for gateway in site.gateways:
            gateway.table.record_shared_hosts(SERVICE)
        held = asyncio.create_task(send(site, "held"))
        await wait.wait_for(lambda: server.running == 1, 5, 0.01)
        yield site, server, held
        server.release.set()
        await asyncio.gather(held, return_exceptions=True)


async def send(site, name, entry=0, deadline_ms=4000, path="/chat/1"):
    return await site.call(
        "POST",
        path,
        name.encode(),
        entry=entry,
        X_Pimentowick_Request_Id=f"{name}-{entry}",
        X_Pimentowick_Deadline_Ms=str(deadline_ms),
    )


def queue_up(site, names):
    return [asyncio.create_task(send(site, name)) for name in names]


def count_queued(site):
    return sum(gateway.admission.count_queued(SERVICE) for gateway in site.gateways)


def test_caller_turned_away_at_one_entry_is_known_at_another():
    # Guards against a retry that counts as a new request, since it reaches another
    # entry.
    async def run():
        async with open_full_site(entries=2) as (site, server, _):
            control = site.gateways[0].admission.overload
            for _ in range(300):
                control.record_hold(SERVICE, 60.0)
            control.update(site.gateways[0].admission.get_room(SERVICE), SERVICE, 0.0)
            refused = await send(site, "again")
            assert refused.status == 503
            assert "Retry-After" not in refused.headers
            other = site.gateways[1].admission.overload.returning
            await wait.wait_for(lambda: len(other), 5, 0.01)
            server.release.set()
            answer = await send(site, "again", entry=1)
            assert answer.status == 200
            assert all(row.is_taken for row in other._rows.values())
            assert server.runs["again-0"] == 0

    asyncio.run(run())


def test_caller_that_leaves_while_queued_frees_its_place():
    # Guards against a slot that is granted to a caller that is gone.
    async def run():
        async with open_full_site() as (site, server, held):
            [left] = queue_up(site, ["left"])
            await wait.wait_for(lambda: count_queued(site) == 1, 5, 0.01)
            left.cancel()
            await wait.wait_for(lambda: count_queued(site) == 0, 5, 0.01)
            server.release.set()
            assert (await held).status == 200
            assert server.runs["left-0"] == 0
            listed = next(iter(site.gateways[0].table.by_id.values()))
            await wait.wait_for(lambda: listed.online == 0, 5, 0.01)

    asyncio.run(run())


def test_configuration_that_changes_while_requests_are_queued():
    # Guards against requests that are lost, or run twice, when their route changes.
    async def run():
        async with open_full_site() as (site, server, _):
            waiting = queue_up(site, ["a", "b", "c"])
            await wait.wait_for(lambda: count_queued(site) == 3, 5, 0.01)
            site.publish([{**ROUTE, "priority": 3, "slo_ms": 50}])
            version = site._version
            await wait.wait_for(
                lambda: site.gateways[0].configuration.current.version == version,
                5,
                0.01,
            )
            server.release.set()
            answers = await asyncio.gather(*waiting)
            assert [answer.status for answer in answers] == [200] * 3
            assert [server.runs[f"{name}-0"] for name in "abc"] == [1] * 3

    asyncio.run(run())


def test_room_from_an_old_report_is_not_used_for_longer_than_the_heartbeat_timeout():
    # Guards against requests that wait for the load of an entry that is gone.
    async def run():
        async with open_full_site(entries=2) as (site, _, _):
            first, second = site.gateways
            listed = next(iter(second.table.by_id.values()))
            await wait.wait_for(lambda: listed.peers_online == 1, 5, 0.01)
            [task] = queue_up(site, ["late"])
            await wait.wait_for(
                lambda: (
                    second.admission.peers_waiting[SERVICE] == 1
                    or second.admission.overload.count_peers_late(SERVICE) == 1
                ),
                5,
                0.01,
            )
            first.load_reporter._transport.close()
            first.load_reporter._transport = None
            await wait.wait_for(lambda: listed.peers_online == 0, 5, 0.01)
            assert second.admission.peers_waiting[SERVICE] == 0
            assert second.admission.overload.count_peers_late(SERVICE) == 0
            assert second.admission.get_room(SERVICE).free_slots == 1
            task.cancel()

    asyncio.run(run())


@pytest.mark.parametrize("failures", [30])
def test_retries_of_the_system_stay_within_the_budget_of_a_workspace(failures):
    # Guards against a load that multiplies while targets fail.
    route = platform_site.make_route("/fetch/", "idempotent", max_attempts=3)

    async def run():
        servers = [replica.Replica(f"i-{n}", events=0) for n in range(3)]
        async with platform_site.open_site(servers, [route]) as site:
            site.gateways[0].table.record_shared_hosts(SERVICE)
            for server in servers:
                server.planned_behaviours = [
                    replica.Behaviour("fail") for _ in range(3 * failures)
                ]
            for number in range(failures):
                await send(site, f"f{number}", path="/fetch/1")
            runs = sum(sum(server.runs.values()) for server in servers)
            allowed = (
                retry_budget.INITIAL_RETRIES
                + failures * retry_budget.RETRIES_PER_REQUEST
            )
            # Budgets recover by one retry a second while the test runs.
            assert failures < runs <= failures + allowed + 5

    asyncio.run(run())


@pytest.mark.parametrize(
    ("expected_s", "retry_after_s", "said"),
    [
        (0.5, 0.75, "room was 0.50 s away, with 3.00 s left to its caller, so that it"),
        (None, None, "room was not known, with 3.00 s left to its caller, too late"),
    ],
)
def test_trace_says_why_a_caller_was_turned_away(expected_s, retry_after_s, said):
    # Guards against a refusal that an operator cannot explain.
    data = {
        "event": "online.ended",
        "time": 1.0,
        "id": "r1",
        "outcome": "no_place",
        "status": 503,
        "took_s": 0.01,
        "waiting": 4,
        "places": 8,
        "service": "s",
        "free": 0,
        "refusals": 0,
        "turned_away": "expected_wait",
        "returned": True,
        "expected_s": expected_s,
        "retry_after_s": retry_after_s,
        "left_s": 3.0,
    }
    text = history.explain([history.Line("front", data)], [])
    assert "turned away again (expected_wait)" in text
    assert said in text


def test_queued_stream_is_refused_before_its_caller_leaves():
    # Guards against callers that wait without an answer, and leave, long before their
    # deadline.
    waits_s = []

    async def run():
        async with open_full_site() as (site, _, _):
            (gateway,) = site.gateways

            async def give_up(slot_request, avoid=frozenset()):
                waits_s.append(slot_request.wait_deadline - slot_request.objective_at)

            gateway.admission.wait_for_slot = give_up
            answer = await send(site, "late", deadline_ms=20_000)
            assert answer.status == 503

    asyncio.run(run())
    objective_s = ROUTE["slo_ms"] / 1000
    assert 0 < waits_s[0] <= overload.compute_patience_s(objective_s) - objective_s
