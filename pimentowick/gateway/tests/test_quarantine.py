import asyncio
import base64

import orjson
import pytest

from pimentowick import fingerprint
from pimentowick.fakes import faults, platform_site, replica, wait
from pimentowick.gateway import load_report, runner
from pimentowick.routing import quarantine

STREAM = platform_site.make_route("/draft/", "stream", max_attempts=1)
RESUMABLE = platform_site.make_route("/chat/", "stream", resumable=True)
IDEMPOTENT = platform_site.make_route("/fetch/", "idempotent", max_attempts=3)
BATCH = platform_site.make_route(
    "/lot/", "batch", run_target_ms=60_000, retention_s=60, max_attempts=3
)
IDEMPOTENT_TWICE = platform_site.make_route("/get/", "idempotent", max_attempts=2)
ROUTES = [STREAM, RESUMABLE, IDEMPOTENT, IDEMPOTENT_TWICE, BATCH]
POISON = b"poison"
POPULAR = b"popular"
# A request that has crashed three replicas may reach three more.
MAX_RUNS = 6


@pytest.fixture(autouse=True)
def without_second_trial(monkeypatch):
    """Keep the answers from depending on how long a test takes."""
    monkeypatch.setattr(quarantine, "TRIAL_DELAYS_S", (600.0,))


def run_with(check, entries=2, replicas=5, **changes):
    async def run():
        servers = [replica.Replica(f"i-{number}") for number in range(replicas)]
        async with platform_site.open_site(servers, ROUTES, entries, **changes) as site:
            for server in servers:
                server.crash_bodies.add(POISON)
                site.register_after_crashes(server)
            await check(site)

    asyncio.run(run())


async def send(site, path, number, body=POISON, entry=None, **headers):
    await wait.wait_for(lambda: has_free_target(site), 15, 0.01)
    return await site.call(
        "POST",
        path,
        body,
        number % len(site.gateways) if entry is None else entry,
        X_Pimentowick_Request_Id=f"r{number}",
        X_Pimentowick_Deadline_Ms="4000",
        **headers,
    )


def has_free_target(site):
    return all(
        gateway.admission.get_queue_state(platform_site.SERVICE).free_slots
        for gateway in site.gateways
    )


@pytest.mark.parametrize("path", ["/draft/1", "/chat/1", "/fetch/1"])
def test_request_that_crashes_replicas_is_not_sent_without_end(path):
    # Attempts under new ids at any entry would each crash another replica.
    async def check(site):
        answers = [await send(site, path, number) for number in range(12)]
        assert site.count_crashes() <= MAX_RUNS
        assert answers[0].status == 502
        assert answers[-1].status == 503
        assert float(answers[-1].headers["Retry-After"]) > 0

    run_with(check)


def test_item_that_crashes_replicas_is_not_run_without_end(monkeypatch):
    # Its runs are never counted as failures, so that it would run until abandoned.
    monkeypatch.setattr(runner, "INITIAL_BACKOFF_S", 0.01)
    monkeypatch.setattr(runner, "MAX_BACKOFF_S", 0.01)

    async def check(site):
        await submit(site, "poisoned", POISON)
        for number in range(12):
            await submit(site, f"job{number}", b"x")
            await wait.wait_for(
                lambda name=f"job{number}": is_done(site, name), 20, 0.01
            )
        assert 0 < site.count_crashes() <= MAX_RUNS
        assert not await is_done(site, "poisoned")

    run_with(check)


async def submit(site, job_id, body):
    item = {
        "id": f"item-{job_id}",
        "path": "/lot/1",
        "body": base64.b64encode(body).decode(),
        "tokens": 10,
    }
    answer = await site.call(
        "POST",
        "/lot/new",
        orjson.dumps({"items": [item]}),
        X_Pimentowick_Request_Id=job_id,
    )
    assert answer.status == 202


async def is_done(site, job_id):
    answer = await site.call("GET", f"/-/lots/{job_id}?after=0")
    return answer.status == 200 and bool(orjson.loads(answer.body)["results"])


@pytest.mark.parametrize("path", ["/draft/1", "/chat/1", "/get/1"])
def test_popular_request_is_served_after_it_was_lost_with_its_targets(path):
    # Several targets crash while they run it, for another reason. Attempts of all its
    # callers must be served as soon as they return, not after a delay.
    async def check(site):
        await lose_until_quarantined(site, path)
        answers = await asyncio.gather(
            *(send(site, path, 90 + number, POPULAR) for number in range(8))
        )
        assert [answer.status for answer in answers] == [200] * 8
        await wait.wait_for(lambda: not count_open(site), 15, 0.01)

    run_with(check)


def test_trial_runs_where_a_crash_takes_the_fewest_along():
    # All requests at its target are lost if it crashes once more.
    async def check(site):
        await lose_until_quarantined(site, "/draft/1")
        await wait.wait_for(lambda: know_loads(site), 15, 0.01)
        for server in site.replicas:
            server.holds_last_event = True
        running = [
            asyncio.create_task(send(site, "/draft/2", 50 + number, b"other"))
            for number in range(len(site.replicas) + 1)
        ]
        await wait.wait_for(
            lambda: sum(each.running for each in site.replicas) == len(running),
            15,
            0.01,
        )
        await wait.wait_for(lambda: know_loads(site), 15, 0.01)
        least = min(each.running for each in site.replicas)
        idlest = [each for each in site.replicas if each.running == least]
        trial = asyncio.create_task(send(site, "/draft/1", 90, POPULAR))
        await wait.wait_for(lambda: list_running(site, "r90"), 15, 0.01)
        assert list_running(site, "r90")[0] in idlest
        for server in site.replicas:
            server.release.set()
        answers = await asyncio.gather(trial, *running)
        assert {answer.status for answer in answers} == {200}

    run_with(check)


def know_loads(site):
    """Return whether all entries know all targets, and what runs at each."""
    loads = {server.id: server.running for server in site.replicas}
    return all(
        {name: known.total_online for name, known in gateway.table.by_id.items()}
        == loads
        for gateway in site.gateways
    )


def list_running(site, request_id):
    return [server for server in site.replicas if request_id in server.runs]


def test_trial_that_reached_no_target_is_made_again_at_once():
    # After a crash many connections meet targets that are gone.
    async def check(site):
        await lose_until_quarantined(site, "/draft/1")
        for server in site.replicas:
            await server.close()
        assert (await send(site, "/draft/1", 90, POPULAR, entry=0)).status == 503
        for server in site.replicas:
            await server.start()
            site.register_replica(server)
        assert (await send(site, "/draft/1", 91, POPULAR, entry=0)).status == 200

    run_with(check)


def test_trial_that_a_target_refused_is_counted_and_sent_to_no_other():
    # A full target may be about to run it: each send is one of the few allowed.
    async def check(site):
        await lose_until_quarantined(site, "/draft/1")
        for server in site.replicas:
            server.planned_behaviours = [replica.Behaviour("refuse")] * 9
        assert (await send(site, "/draft/1", 90, POPULAR, entry=0)).status == 503
        left = sorted(len(server.planned_behaviours) for server in site.replicas)
        assert left == [8, 9, 9, 9, 9]
        for server in site.replicas:
            server.planned_behaviours = []
        answer = await send(site, "/draft/1", 91, POPULAR, entry=0)
        assert orjson.loads(answer.body)["error"]["code"] == "quarantined"

    run_with(check)


async def lose_until_quarantined(site, path):
    number = 0
    while count_open(site) < 2:
        assert (await lose(site, path, number)).status == 502
        await wait.wait_for(lambda: know_same_crashes(site), 15, 0.01)
        number += 1


def test_completed_runs_of_a_released_request_write_no_records():
    # A popular request completes many times a second.
    async def check(site):
        gateway = site.gateways[0]
        while not count_open(site):
            await lose(site, "/draft/1", 0, entry=0)
        await wait.wait_for(lambda: list_records(site), 15, 0.01)
        assert (await send(site, "/draft/1", 1, POPULAR, entry=0)).status == 200
        await wait.wait_for(lambda: not gateway.crash_guard._pending, 15, 0.01)
        assert (await send(site, "/draft/1", 2, POPULAR, entry=0)).status == 200
        assert not gateway.crash_guard._pending

    run_with(check)


def test_record_of_a_request_that_completed_at_another_entry_is_closed():
    # A restarted entry would read that the request is quarantined.
    async def check(site):
        assert (await send(site, "/draft/1", 0, POPULAR, entry=1)).status == 200
        guard = site.gateways[0].crash_guard
        for number in (1, 2):
            await lose(site, "/draft/1", number, entry=0)
        await wait.wait_for(lambda: not count_open(site), 15, 0.01)
        await wait.wait_for(lambda: not guard._pending, 15, 0.01)
        partition = site.store.get_partition("keyed.entries", 0)
        await wait.wait_for(
            lambda: (
                not any(
                    orjson.loads(partition.newest[key][0])["crashes"]
                    for key in list_records(site)
                )
            ),
            15,
            0.01,
        )

    run_with(check)


def test_queued_request_is_refused_as_soon_as_it_is_quarantined():
    # No slot will be free for seconds, and it may not have one then.
    async def check(site):
        (server,) = site.replicas
        server.holds_last_event = True
        running = [
            asyncio.create_task(send(site, "/draft/1", number, POPULAR, 0))
            for number in range(server.slots)
        ]
        await wait.wait_for(lambda: server.running == server.slots, 15, 0.01)
        gateway = site.gateways[0]
        queued = asyncio.create_task(
            site.call("POST", "/draft/1", POISON, X_Pimentowick_Request_Id="r90")
        )
        service = platform_site.SERVICE
        await wait.wait_for(lambda: gateway.admission.count_waiting(service), 15, 0.01)
        name = fingerprint.compute_fingerprint(
            None, platform_site.HOST, "POST", "/draft/1", POISON
        )
        for target in ("t1", "t2"):
            gateway.crash_guard.record_crash(name, target)
        assert await gateway.crash_guard.start_trial([name], "r91")
        gateway.crash_guard.record_crash(name, "t3")
        answer = await queued
        assert answer.status == 503
        assert orjson.loads(answer.body)["error"]["code"] == "quarantined"
        assert server.running == server.slots
        server.release.set()
        assert {answer.status for answer in await asyncio.gather(*running)} == {200}

    run_with(check, entries=1, replicas=1)


def know_same_crashes(site):
    reports = [
        [gateway.crash_guard.policy.describe(name).crashes for name in list_names(site)]
        for gateway in site.gateways
    ]
    return all(report == reports[0] for report in reports)


def list_names(site):
    return [
        name
        for gateway in site.gateways
        for name in gateway.crash_guard.policy.list_suspects()
    ]


async def lose(site, path, number, entry=None):
    """Send the popular request while targets crash."""
    for server in site.replicas:
        server.crash_bodies.add(POPULAR)
    answer = await send(site, path, number, POPULAR, entry)
    for server in site.replicas:
        server.crash_bodies.discard(POPULAR)
    return answer


def test_request_that_completed_lately_is_served_however_often_it_was_lost():
    # A popular request is at many of the targets that another one crashes. Its crashes
    # are seen at one entry and its completed run at another.
    async def check(site):
        assert (await send(site, "/draft/1", 0, POPULAR, entry=1)).status == 200
        for number in range(1, 9):
            assert (await lose(site, "/draft/1", number, entry=0)).status == 502
            await wait.wait_for(lambda: not count_open(site), 15, 0.01)

    run_with(check)


def test_same_request_of_another_workspace_is_served():
    # One caller's request must not shut out another caller's.
    tenants = [{"name": name, "api_keys": [f"key-{name}"]} for name in "ab"]

    async def check(site):
        first, second = ({"Authorization": f"Token key-{name}"} for name in "ab")
        for number in range(6):
            answer = await send(site, "/draft/1", number, **first)
        assert answer.status == 503
        for server in site.replicas:
            server.crash_bodies.clear()
        assert (await send(site, "/draft/1", 7, **second)).status == 200
        assert (await send(site, "/draft/1", 8, **first)).status == 503

    run_with(check, tenants=tenants)


def test_restarted_entry_keeps_a_request_quarantined():
    # It knows nothing of before, and its caller returns at any entry.
    async def check(site):
        await quarantine_poison(site)
        await wait.wait_for(lambda: list_records(site), 15, 0.01)
        crashes = site.count_crashes()
        for gateway in site.gateways:
            await gateway.close()
        site.gateways.clear()
        await site.start_entry()
        await wait.wait_for(lambda: count_open(site) == 1, 15, 0.01)
        assert (await send(site, "/draft/1", 90)).status == 503
        assert site.count_crashes() == crashes

    run_with(check)


async def quarantine_poison(site):
    for number in range(6):
        answer = await send(site, "/draft/1", number)
    assert answer.status == 503


def list_records(site):
    partition = site.store.get_partition("keyed.entries", 0)
    return [key for key in partition.newest if key.startswith("quarantine/")]


def test_entry_that_hears_no_peers_learns_of_a_quarantine_from_the_store(monkeypatch):
    # Its datagrams are lost while it still reaches the store and callers.
    monkeypatch.setattr(load_report.LoadReporter, "datagram_received", lambda *_: None)

    async def check(site):
        for number in range(3):
            await send(site, "/draft/1", number, entry=0)
        await wait.wait_for(lambda: count_open(site) == 2, 15, 0.01)
        crashes = site.count_crashes()
        assert (await send(site, "/draft/1", 9, entry=1)).status == 503
        assert site.count_crashes() == crashes

    run_with(check)


def test_request_stays_quarantined_while_the_store_is_away():
    async def check(site):
        site.store.fault_injector.inject(faults.Fault("down"))
        feeds = [gateway.crash_guard.feed for gateway in site.gateways]
        await wait.wait_for(
            lambda: all(each.unreachable_since is not None for each in feeds), 15, 0.01
        )
        answers = [await send(site, "/draft/1", number) for number in range(12)]
        assert site.count_crashes() <= MAX_RUNS
        assert answers[-1].status == 503
        site.store.fault_injector.inject(faults.Fault("clear"))
        await wait.wait_for(lambda: list_records(site), 15, 0.01)

    run_with(check)


def count_open(site):
    """Return the number of entries at which a request is quarantined."""
    return sum(
        gateway.crash_guard.policy.count_suspects()[1] > 0 for gateway in site.gateways
    )
