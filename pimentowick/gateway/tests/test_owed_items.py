"""Sound items that were present at many crashes of targets."""

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
PART = "a0"
EVENTS = 30
WAIT_S = 20.0
POLL_S = 0.005


@pytest.fixture(autouse=True)
def short_delays(monkeypatch):
    """Keep eight crashes, each after a delay, from taking half a minute."""
    monkeypatch.setattr(quarantine, "DEFERRED_DELAYS_S", (0.2, 0.4, 0.5), raising=False)


def run_with(check, entries=1):
    async def run():
        servers = [
            replica.Replica(f"i-{number}", EVENTS, event_interval_s=0.01)
            for number in range(4)
        ]
        async with platform_site.open_site(servers, ROUTES, entries) as site:
            for server in servers:
                site.register_after_crashes(server)
            await check(site)

    asyncio.run(run())


async def submit(site, count=1):
    items = [
        {
            "id": f"item{number}",
            "path": f"/lot/{number}",
            "headers": {"x-pimentowick-prompt-prefix": f"{PART}:9,own{number}:9"},
            "body": base64.b64encode(BODY).decode(),
            "tokens": 10,
        }
        for number in range(count)
    ]
    answer = await site.call(
        "POST",
        "/lot/new",
        orjson.dumps({"items": items}),
        X_Pimentowick_Request_Id="job",
    )
    assert answer.status == 202


async def list_results(site):
    answer = await site.call("GET", "/-/lots/job?after=0")
    return orjson.loads(answer.body)["results"] if answer.status == 200 else []


async def check_done(site, count=1):
    async def are_done():
        return len(await list_results(site)) == count

    await wait.wait_for(are_done, WAIT_S, POLL_S)
    results = await list_results(site)
    text = "\n".join(f"word {number}" for number in range(1, EVENTS + 1))
    assert len({row["id"] for row in results}) == count
    assert [(row["state"], row["text"]) for row in results] == [("done", text)] * count


def find_run(site):
    """Return (run, its replica) if an item runs at one, else None."""
    for gateway in site.gateways:
        for run in gateway.runner.list_runs():
            for server in site.replicas:
                if run.target is not None and run.target.id == server.id:
                    if server.runs[run.item.id] and server.running:
                        return run, server
    return None


async def crash_under_item(site, in_middle):
    """Crash the replica that runs the item, as it begins or after some events."""
    await wait.wait_for(lambda: find_run(site), WAIT_S, POLL_S)
    run, server = find_run(site)
    crashes = server.crashes
    if in_middle:
        before = run.events_generated
        await wait.wait_for(
            lambda: run.events_generated > before or find_run(site) is None,
            WAIT_S,
            POLL_S,
        )
    if server.crashes == crashes:
        server.crash()


@pytest.mark.parametrize("entries", [1, 2])
@pytest.mark.parametrize("in_middle", [False, True])
@pytest.mark.parametrize("crashes", [2, 5, 8])
def test_item_under_which_targets_crashed_is_done_once_all_is_calm(
    crashes, in_middle, entries
):
    # An item is never the cause of a crash, and nobody sends it again.
    async def check(site):
        await submit(site)
        for number in range(crashes):
            if entries > 1 and number == crashes // 2:
                # The partition of the job moves to the other entry.
                await wait.wait_for(lambda: find_owner(site), WAIT_S, POLL_S)
                owner = find_owner(site)
                site.gateways.remove(owner)
                await owner.close()
            await crash_under_item(site, in_middle)
        assert site.count_crashes() == crashes
        await check_done(site)

    run_with(check, entries)


def find_owner(site):
    owners = [each for each in site.gateways if each.runner.list_runs()]
    return owners[0] if owners else None


def test_item_is_done_although_its_part_or_an_equal_request_is_refused():
    # What holds an online request for minutes holds an item for seconds.
    async def check(site):
        (gateway,) = site.gateways
        names = [
            fingerprint.compute_fingerprint(
                None, platform_site.HOST, "POST", "/lot/0", BODY
            ),
            quarantine.name_part(platform_site.SERVICE, PART),
        ]
        guard = gateway.crash_guard
        for name in names:
            for number in range(6):
                guard.record_crash(name, f"t{number}")
            guard.policy.record_trials(name, 3, asyncio.get_running_loop().time())
        assert guard.get_delay(names) > 60
        await submit(site, count=3)
        await check_done(site, count=3)
        # Their runs have released both for online requests, too.
        assert not guard.policy.list_quarantined(names)

    run_with(check)


def test_item_is_done_after_a_restart_during_its_trial():
    # The trial stays counted in the store without a result.
    async def check(site):
        await submit(site)
        for _ in range(3):
            await crash_under_item(site, in_middle=False)
        await wait.wait_for(lambda: find_run(site), WAIT_S, POLL_S)
        for gateway in site.gateways:
            await gateway.close()
        site.gateways.clear()
        await site.start_entry()
        await check_done(site)

    run_with(check)
