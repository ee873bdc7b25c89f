import asyncio
import base64

import orjson
import pytest
from loguru import logger

from pimentowick import exception
from pimentowick.fakes import faults, platform_site, replica, wait
from pimentowick.gateway import authentication

CHAT = platform_site.make_route("/chat/", "stream", resumable=True)
OPEN = platform_site.make_route("/open/", "idempotent", public=True)
BATCH = platform_site.make_route(
    "/lot/", "batch", run_target_ms=20_000, retention_s=60, max_count=1000
)
ROUTES = [CHAT, OPEN, BATCH]
KEY = "k3y-of-stands"
OTHER_KEY = "k3y-of-rivals"
NEW_KEY = "k3y-of-late"
WORKSPACES = [
    {"name": "stands", "api_keys": [KEY, "k3y-second"], "priority": 1},
    {"name": "rivals", "api_keys": [OTHER_KEY], "priority": 1},
]
WORKSPACE_HEADER = "X-Pimentowick-Tenant"


def run_with(check, workspaces=WORKSPACES, entries=1, **changes):
    server = replica.Replica()

    async def run():
        async with platform_site.open_site(
            [server], ROUTES, entries, workspaces, **changes
        ) as site:
            await check(site, server)

    asyncio.run(run())


async def send(site, key=KEY, path="/chat/1", request_id="r1", entry=0, **headers):
    if key is not None:
        headers["Authorization"] = f"Token {key}"
    return await site.call(
        "POST",
        path,
        b"hello",
        entry,
        X_Pimentowick_Request_Id=request_id,
        X_Pimentowick_Deadline_Ms="8000",
        **headers,
    )


async def send_raw(site, lines):
    """Send a request with raw header lines; return the status of the response."""
    host, _, port = site.gateways[0].settings.callers_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = [
        "POST /chat/1 HTTP/1.1",
        f"Host: {platform_site.HOST}",
        "Content-Length: 5",
        "X-Pimentowick-Request-Id: raw",
        "X-Pimentowick-Deadline-Ms: 8000",
        "Connection: close",
        *lines,
        "",
        "",
    ]
    writer.write("\r\n".join(head).encode() + b"hello")
    answer = await reader.read()
    writer.close()
    return int(answer.split()[1])


def change_keys(site, keys):
    """Replace the keys of the first workspace."""
    site.tenants = [{**WORKSPACES[0], "api_keys": keys}, *WORKSPACES[1:]]
    site.publish(ROUTES)


def stop_reads(site, gateway):
    """Make reads of the configuration fail while the store serves all else."""
    feed = gateway._feeds["configuration"]

    async def fail(wait_s):
        raise exception.LogError("store unreachable")

    feed._read_once = fail
    return feed


def test_target_gets_the_workspace_and_never_the_key():
    async def check(site, server):
        assert (await send(site, X_Pimentowick_Tenant="forged")).status == 200
        headers = {name.lower(): value for name, value in server.headers[0].items()}
        assert headers[WORKSPACE_HEADER.lower()] == "stands"
        assert "authorization" not in headers

    run_with(check)


@pytest.mark.parametrize("name", ["x-pimentowick-tenant", "X_Pimentowick_Tenant"])
def test_forged_workspace_is_dropped_however_it_is_spelt(name):
    async def check(site, server):
        lines = [f"Authorization: Token {KEY}", f"{name}: forged", f"{name}: twice"]
        assert await send_raw(site, lines) == 200
        assert "forged" not in str(server.headers[0])

    run_with(check)


@pytest.mark.parametrize(
    "lines",
    [
        [],
        ["Authorization: Token"],
        [f"Authorization: Bearer {KEY}"],
        [f"Authorization: Token {KEY} {KEY}"],
        [f"Authorization: Token {KEY}", f"Authorization: Token {KEY}"],
        ["Authorization: Token \xff\xfe"],
        [f"Authorization: Token {KEY}x"],
    ],
)
def test_request_without_a_known_key_is_refused(lines):
    async def check(site, server):
        assert await send_raw(site, lines) == 401
        assert not server.runs

    run_with(check)


def test_refusal_names_the_scheme_and_keeps_the_connection():
    async def check(site, server):
        answer = await send(site, key="unknown")
        assert answer.status == 401
        assert answer.headers["WWW-Authenticate"] == "Token"
        assert answer.headers.get("Connection") != "close"

    run_with(check)


def test_public_route_needs_no_key_and_shows_none():
    async def check(site, server):
        server.events = 0
        assert (await send(site, None, "/open/1")).status == 200
        assert (await send(site, KEY, "/open/1", "r2")).status == 200
        assert WORKSPACE_HEADER not in server.headers[0]
        assert server.headers[1][WORKSPACE_HEADER] == "stands"
        assert "Authorization" not in server.headers[1]

    run_with(check)


def test_site_without_workspaces_asks_for_no_key():
    async def check(site, server):
        assert (await send(site, None)).status == 200
        assert (await send(site, KEY, request_id="r2")).status == 200
        assert server.headers[1]["Authorization"] == f"Token {KEY}"

    run_with(check, workspaces=None)


def test_revoked_key_is_refused():
    async def check(site, server):
        gateway = site.gateways[0]
        change_keys(site, ["k3y-second"])
        await wait.wait_for(lambda: gateway.configuration.current.version == 2, 5, 0.01)
        assert (await send(site)).status == 401
        assert (await send(site, "k3y-second", request_id="r2")).status == 200

    run_with(check)


def test_new_key_is_looked_up_in_the_store_before_it_is_refused():
    # The entry's configuration is older than the key. Callers do not retry after a
    # 401, so the entry refreshes the configuration first.
    async def check(site, server):
        gateway = site.gateways[0]
        feed = gateway._feeds["configuration"]
        gateway._supervisor.stop_child("feed configuration")
        change_keys(site, [KEY, NEW_KEY])
        feed.fresh_at_boottime -= authentication.REFRESH_AGE_S
        assert (await send(site, NEW_KEY)).status == 200

    run_with(check)


def test_unknown_key_gets_503_while_the_store_is_unreachable():
    async def check(site, server):
        gateway = site.gateways[0]
        gateway._supervisor.stop_child("feed configuration")
        stop_reads(site, gateway).fresh_at_boottime -= authentication.REFRESH_AGE_S
        answer = await send(site, NEW_KEY)
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0

    run_with(check)


def test_unknown_keys_do_not_overload_a_store_that_fails_at_once():
    async def check(site, server):
        gateway = site.gateways[0]
        gateway._supervisor.stop_child("feed configuration")
        feed = stop_reads(site, gateway)
        feed.fresh_at_boottime -= authentication.REFRESH_AGE_S
        refreshes = []
        refresh = feed.refresh

        async def count():
            refreshes.append(1)
            await refresh()

        feed.refresh = count
        for number in range(5):
            answer = await send(site, f"wrong{number}", request_id=f"r{number}")
            assert answer.status == 503
        assert len(refreshes) == 1

    run_with(check)


def test_concurrent_unknown_keys_share_one_refresh():
    async def check(site, server):
        gateway = site.gateways[0]
        feed = gateway._feeds["configuration"]
        gateway._supervisor.stop_child("feed configuration")
        feed.fresh_at_boottime -= authentication.REFRESH_AGE_S
        before = site.store.calls["/-/log-read"]
        refresh = feed.refresh
        refreshes = []

        async def count():
            refreshes.append(1)
            await refresh()

        feed.refresh = count
        answers = await asyncio.gather(
            *(send(site, f"wrong{n}", request_id=f"r{n}") for n in range(8))
        )
        answers.append(await send(site, "wrong", request_id="last"))
        assert {answer.status for answer in answers} == {401}
        assert len(refreshes) == 1
        assert site.store.calls["/-/log-read"] >= before + 1

    run_with(check)


def test_entry_that_cannot_reach_the_store_refuses_keys_in_time():
    # The key may have been revoked since the configuration was last confirmed. Public
    # requests without a key are still served; refused requests have not run.
    async def check(site, server):
        gateway = site.gateways[0]
        gateway._supervisor.stop_child("feed configuration")
        feed = gateway._feeds["configuration"]
        feed.fresh_at_boottime = feed.clock() - 4.5
        assert (await send(site)).status == 200
        feed.fresh_at_boottime = feed.clock() - 5.0
        answer = await send(site, request_id="r2")
        assert answer.status == 503
        assert (
            float(answer.headers["Retry-After"]) == authentication.RETRY_STORE_OUTAGE_S
        )
        assert orjson.loads(answer.body)["error"]["verdict"] == "not_run"
        server.events = 0
        assert (await send(site, None, "/open/1", "r3")).status == 200
        # A request with a key that may be revoked is refused on a public route, too.
        assert (await send(site, KEY, "/open/1", "r4")).status == 503
        assert (await submit(site, KEY)).status == 503
        assert "r2" not in server.runs

    run_with(check, key_revocation_s=5.0)


def test_age_of_the_configuration_includes_suspension_of_the_host():
    # The monotonic clock stops while a host is suspended. The age of the configuration
    # must include that time, since keys may be revoked during it.
    async def check(site, server):
        gateway = site.gateways[0]
        gateway._supervisor.stop_child("feed configuration")
        feed = gateway._feeds["configuration"]
        clock = feed.clock
        feed.clock = lambda: clock() + 6.0
        assert (await send(site)).status == 503

    run_with(check, key_revocation_s=5.0)


def test_long_poll_proves_freshness_as_of_its_request():
    # A response may be in transit for seconds, so it proves that the configuration was
    # current when the request was sent, not when the response arrived.
    async def check(site, server):
        feed = site.gateways[0]._feeds["configuration"]
        site.gateways[0]._supervisor.stop_child("feed configuration")
        times = iter([100.0, 104.0])
        feed.clock = lambda: next(times)
        feed.fresh_at_boottime = 0.0
        await feed.refresh()
        assert feed.fresh_at_boottime == 100.0

    run_with(check)


def test_entry_that_alone_is_cut_off_becomes_unready_in_time():
    # The load balancer needs two seconds to notice, so the entry becomes unready
    # before its configuration is too old.
    async def check(site, server):
        gateway = site.gateways[0]
        gateway._supervisor.stop_child("feed configuration")
        feed = gateway._feeds["configuration"]
        feed.fresh_at_boottime = feed.clock() - 3.0
        assert gateway.is_ready
        gateway.authentication._is_cut_off = lambda: True
        assert not gateway.is_ready

    run_with(check, key_revocation_s=5.0)


def test_keys_are_not_logged():
    lines = []

    async def check(site, server):
        # Starting a gateway resets the log handlers, so this one is added afterwards.
        handler = logger.add(lines.append, level=0, format="{extra}")
        try:
            await send(site)
            await send(site, "wrong-k3y", request_id="r2")
            await submit(site, KEY)
            site.store.put("keyed.op", "config", {"tenants": [{"api_keys": [KEY, 5]}]})
            site.publish(ROUTES)
            gateway = site.gateways[0]
            await wait.wait_for(
                lambda: gateway.configuration.current.version == 2, 5, 0.01
            )
        finally:
            logger.remove(handler)

    run_with(check)
    assert any("configuration.garbled" in line for line in lines)
    assert not any("k3y" in line for line in lines)


async def submit(site, key, job_id="job1", tokens=10, entry=0):
    item = {
        "id": f"item-{job_id}-{key}",
        "path": "/lot/1",
        "headers": {"Authorization": f"Token {key}", WORKSPACE_HEADER: "forged"},
        "body": base64.b64encode(b"text").decode(),
        "tokens": tokens,
    }
    return await site.call(
        "POST",
        "/lot/new",
        orjson.dumps({"items": [item]}),
        entry,
        Authorization=f"Token {key}",
        X_Pimentowick_Request_Id=job_id,
    )


async def call_job(site, key, method="GET", path="/-/lots/job1?after=0"):
    return await site.call(method, path, Authorization=f"Token {key}")


def test_job_of_another_workspace_looks_unknown():
    async def check(site, server):
        assert (await submit(site, KEY)).status == 202
        never = await call_job(site, KEY, path="/-/lots/never?after=0")
        for method, path in (
            ("GET", "/-/lots/job1?after=0"),
            ("GET", "/-/items/job1?id=item-job1-" + KEY),
            ("DELETE", "/-/lots/job1"),
        ):
            answer = await call_job(site, OTHER_KEY, method, path)
            assert (answer.status, answer.body) == (404, never.body)
        assert (await call_job(site, "k3y-second")).status == 200
        assert (await call_job(site, "unknown")).status == 401

    run_with(check)


def test_identifiers_of_jobs_are_scoped_to_the_workspace():
    async def check(site, server):
        server.event_interval_s = 5.0
        assert (await submit(site, KEY)).status == 202
        assert (await submit(site, OTHER_KEY)).status == 202
        assert len(site.gateways[0].storage.job_table.jobs) == 2

    run_with(check)


def test_job_continues_when_its_key_is_revoked():
    async def check(site, server):
        gateway = site.gateways[0]
        server.event_interval_s = 0.1
        assert (await submit(site, KEY)).status == 202
        change_keys(site, ["k3y-second"])
        await wait.wait_for(lambda: gateway.configuration.current.version == 2, 5, 0.01)

        async def is_listed():
            answer = await call_job(site, "k3y-second")
            return orjson.loads(answer.body)["results"]

        rows = await wait.wait_for(is_listed, 10, 0.02)
        assert rows[0]["state"] == "done"
        headers = server.headers[0]
        assert headers[WORKSPACE_HEADER] == "stands"
        assert "Authorization" not in headers

    run_with(check)


def test_waiting_tokens_are_counted_by_workspace():
    async def check(site, server):
        server.event_interval_s = 5.0
        assert (await submit(site, KEY, "a", tokens=900)).status == 202
        assert (await submit(site, KEY, "b", tokens=900)).status == 429
        assert (await submit(site, OTHER_KEY, "c", tokens=900)).status == 202

    run_with(check)


def test_concurrent_jobs_at_two_entries_stay_within_one_limit():
    # Each entry has room for one more large job under the limit. If both accepted one,
    # the workspace would exceed its limit by a whole job.
    async def check(site, server):
        server.event_interval_s = 5.0
        answers = await asyncio.gather(
            *(submit(site, KEY, f"j{n}", tokens=900, entry=n % 2) for n in range(6))
        )
        assert sorted(answer.status for answer in answers) == [202] + [429] * 5

    run_with(check, entries=2)


def test_entry_without_a_configuration_returns_503_and_not_401():
    async def check(site, server):
        site.store.fault_injector.inject(faults.Fault("down"))
        gateway = site.gateways[0]
        gateway.configuration.current = None
        assert (await send(site, "unknown")).status == 503

    run_with(check)
