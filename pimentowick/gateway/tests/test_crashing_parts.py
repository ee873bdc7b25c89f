"""Parts of prompts under which replicas crash, whatever else the requests hold."""

import asyncio
import base64
import itertools

import orjson
import pytest

from pimentowick.fakes import platform_site, replica, wait
from pimentowick.gateway import load_report, runner
from pimentowick.routing import quarantine

ROUTES = [
    platform_site.make_route("/draft/", "stream", max_attempts=1),
    platform_site.make_route("/chat/", "stream", resumable=True),
    platform_site.make_route(
        "/lot/", "batch", run_target_ms=60_000, retention_s=60, max_attempts=3
    ),
]
SHARED = "a0"
POISON = "bad1"
OTHER_POISON = "bad2"
NAME = quarantine.name_part(platform_site.SERVICE, POISON)
# More than three requests that come later than some seconds after the fifth crash must
# not reach a target; these come faster.
MAX_CRASHES = 5 + 3
REQUESTS = 40
INTERVAL_S = 0.05
WAIT_S = 20.0
POLL_S = 0.01


def run_with(check, entries=3, replicas=5, parts=(POISON, OTHER_POISON)):
    async def run():
        servers = [replica.Replica(f"i-{number}") for number in range(replicas)]
        async with platform_site.open_site(servers, ROUTES, entries) as site:
            for server in servers:
                server.crash_parts.update(parts)
                site.register_after_crashes(server)
            await check(site)

    asyncio.run(run())


async def send(site, number, *parts, path="/draft/"):
    """Send a request of its own with some parts to one of the entries."""
    names = [*parts, f"own{number}"]
    return await site.call(
        "POST",
        f"{path}{number}",
        f"body {number}".encode(),
        number % len(site.gateways),
        X_Pimentowick_Request_Id=f"r{path[1]}{number}",
        X_Pimentowick_Deadline_Ms="4000",
        X_Pimentowick_Prompt_Prefix=",".join(f"{name}:50" for name in names),
    )


async def send_many(site, make_parts, count=REQUESTS, first=0, path="/draft/"):
    """Send requests at an interval; return the statuses of their answers."""

    async def send_one(number):
        await asyncio.sleep(number * INTERVAL_S)
        try:
            parts = make_parts(number)
            return (await send(site, first + number, *parts, path=path)).status
        except OSError:
            return 0

    return await asyncio.gather(*(send_one(number) for number in range(count)))


@pytest.mark.parametrize("path", ["/draft/", "/chat/"])
@pytest.mark.parametrize("parts", [(SHARED, POISON), (POISON, SHARED), (POISON,)])
def test_requests_with_a_part_that_crashes_replicas_reach_few_of_them(path, parts):
    # Each request is new; sound ones with the other parts come beside them.
    async def check(site):
        statuses, sound = await asyncio.gather(
            send_many(site, lambda number: parts, path=path),
            send_many(site, lambda number: parts[:-1] or (SHARED,), first=1000),
        )
        assert 3 <= site.count_crashes() <= MAX_CRASHES
        assert statuses[-1] == 503
        if parts[0] != POISON:
            assert sound[REQUESTS // 2 :].count(200) > 0.9 * REQUESTS / 2

    run_with(check)


def test_two_parts_that_crash_replicas_are_told_apart_from_sound_ones():
    async def check(site):
        poison = (POISON, OTHER_POISON)
        statuses, sound = await asyncio.gather(
            send_many(site, lambda number: (SHARED, poison[number % 2])),
            send_many(site, lambda number: (SHARED, "rare"), first=1000),
        )
        assert site.count_crashes() <= 2 * MAX_CRASHES
        refused = statuses[REQUESTS // 2 :].count(503)
        assert refused > 0.8 * REQUESTS / 2
        assert sound[REQUESTS // 2 :].count(200) > 0.9 * REQUESTS / 2

    run_with(check)


def test_items_with_a_part_that_crashes_replicas_are_held(monkeypatch):
    # Each item is lost a few times at most, and others are done meanwhile.
    monkeypatch.setattr(runner, "INITIAL_BACKOFF_S", 0.01)
    monkeypatch.setattr(runner, "MAX_BACKOFF_S", 0.01)

    async def check(site):
        rows = [
            {
                "id": f"item{number}",
                "path": f"/lot/{number}",
                "headers": {
                    "x-pimentowick-prompt-prefix": f"{part}:9,own{number}:9",
                },
                "body": base64.b64encode(b"x").decode(),
                "tokens": 10,
            }
            for number, part in enumerate([POISON] * 8 + [SHARED] * 8)
        ]
        answer = await site.call(
            "POST",
            "/lot/new",
            orjson.dumps({"items": rows}),
            X_Pimentowick_Request_Id="job",
        )
        assert answer.status == 202

        async def are_done():
            answer = await site.call("GET", "/-/lots/job?after=0")
            return answer.status == 200 and len(answer.decode()["results"]) == 8

        await wait.wait_for(are_done, WAIT_S, POLL_S)
        assert site.count_crashes() <= MAX_CRASHES

    run_with(check, entries=1)


def test_no_part_is_shut_out_by_crashes_of_many_replicas_at_once():
    # They crash for another reason, while requests with rare parts run there.
    async def check(site):
        async def crash():
            for _ in range(3):
                await asyncio.sleep(10 * INTERVAL_S)
                for server in site.replicas[:2]:
                    server.crash()

        statuses, _ = await asyncio.gather(
            send_many(site, lambda number: (SHARED, f"rare{number % 4}")), crash()
        )
        assert statuses.count(200) > 0.7 * REQUESTS
        late = await send_many(site, lambda n: (SHARED, f"rare{n % 4}"), 8, 1000)
        assert late == [200] * 8

    run_with(check, parts=())


async def crash_until_quarantined(site):
    statuses = await send_many(site, lambda number: (SHARED, POISON), REQUESTS // 2)
    assert statuses[-1] == 503
    await wait.wait_for(
        lambda: all(
            gateway.crash_guard.policy.is_quarantined(NAME) for gateway in site.gateways
        ),
        WAIT_S,
        POLL_S,
    )


def test_entry_that_has_just_started_knows_the_part():
    async def check(site):
        await crash_until_quarantined(site)
        crashes = site.count_crashes()
        await site.start_entry()
        await wait.wait_for(
            lambda: site.gateways[-1].crash_guard.policy.is_quarantined(NAME),
            WAIT_S,
            POLL_S,
        )
        for number in (103, 107, 111):
            assert (await send(site, number, SHARED, POISON)).status == 503
        assert site.count_crashes() <= crashes + 1

    run_with(check)


def test_entry_that_hears_no_peers_learns_of_the_part_from_the_store(monkeypatch):
    async def check(site):
        monkeypatch.setattr(
            load_report.LoadReporter, "datagram_received", lambda self, data, addr: None
        )
        await send_many(site, lambda number: (SHARED, POISON))
        assert site.count_crashes() <= MAX_CRASHES + 2 * len(site.gateways)
        assert all(
            gateway.crash_guard.policy.is_quarantined(NAME) for gateway in site.gateways
        )

    run_with(check)


def test_part_that_crashes_nothing_any_more_is_served_again(monkeypatch):
    monkeypatch.setattr(quarantine, "TRIAL_DELAYS_S", (0.5, 1.0, 1.0))

    async def check(site):
        await crash_until_quarantined(site)
        for server in site.replicas:
            server.crash_parts.clear()

        async def is_served():
            number = next(numbers)
            return (await send(site, number, SHARED, POISON)).status == 200

        numbers = itertools.count(1000)
        await wait.wait_for(is_served, WAIT_S, 10 * POLL_S)
        statuses = await send_many(site, lambda number: (SHARED, POISON), 20, 2000)
        assert statuses == [200] * 20

    run_with(check)


def test_malformed_parts_are_bounded_and_hide_no_other():
    # Hundreds of parts, tokens that are no numbers, empty names.
    odd = [f"x{n}" for n in range(300)] + ["", ":", "a:b:c", "5:-1"]

    async def check(site):
        statuses = await send_many(site, lambda number: (POISON, *odd))
        assert site.count_crashes() <= MAX_CRASHES
        assert statuses[-1] == 503

    run_with(check)


@pytest.mark.parametrize("path", ["/draft/", "/chat/"])
def test_stream_that_ends_with_its_connection_before_an_event_counts_as_lost(path):
    # Its head has neither a length nor chunks, so that it looks like a whole answer.
    async def check(site):
        for server in site.replicas:
            server.sends_head = True
        statuses = await send_many(site, lambda number: (POISON,), path=path)
        assert 3 <= site.count_crashes() <= MAX_CRASHES
        assert statuses[-1] == 503

    run_with(check)


def test_answer_without_an_event_shows_nothing_of_its_parts():
    # A target may reject a request before it begins to run it.
    async def check(site):
        for server in site.replicas:
            server.planned_behaviours = [replica.Behaviour("impossible")] * 5
        for number in range(len(site.replicas)):
            assert (await send(site, number, "odd")).status == 422
        name = quarantine.name_part(platform_site.SERVICE, "odd")
        for gateway in site.gateways:
            assert name not in gateway.crash_guard.policy._completed

    run_with(check, parts=())
