"""Streams that go on while replicas of several software versions serve."""

import asyncio
import contextlib
import dataclasses
import math
import time

import orjson
import pytest

from pimentowick.fakes import faults, platform_site, replica, wait
from pimentowick.gateway import stream_origins, target

STREAM = platform_site.make_route("/chat/", "stream", resumable=True)
ROUTES = [STREAM]
EVENTS = 4
STREAMS = 6
WAIT_S = 10.0
POLL_S = 0.01
HEARTBEAT_INTERVAL_S = 0.2
FIRST_EVENTS = b"data: word 2\n\n"
LAST_EVENT = b"data: word 4\n\n"


class Attempt:
    """A request whose response is read up to some bytes, and then given up."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, site, request_id, entry=0, resumes="", last_event=""):
        address = site.gateways[entry].settings.callers_address
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [
            f"POST /chat/{resumes or request_id} HTTP/1.1",
            f"Host: {platform_site.HOST}",
            f"X-Pimentowick-Request-Id: {request_id}",
            "X-Pimentowick-Deadline-Ms: 8000",
            "Content-Length: 0",
        ]
        if resumes:
            lines += [f"Resumes: {resumes}", f"Last-Event-Id: {last_event}"]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        return cls(reader, writer)

    async def read_until(self, expected):
        async with asyncio.timeout(WAIT_S):
            return await self._reader.readuntil(expected)

    def close(self):
        self._writer.close()


async def send(site, request_id, entry=0, path="/chat/new", **headers):
    return await site.call(
        "POST",
        path,
        b"",
        entry,
        X_Pimentowick_Request_Id=request_id,
        X_Pimentowick_Deadline_Ms="4000",
        **headers,
    )


async def take_up(site, first_attempt, request_id, entry=1, last_event="2"):
    """Take a stream up as its caller does after a broken connection."""
    return await send(
        site,
        request_id,
        entry,
        f"/chat/{first_attempt}",
        Last_Event_Id=last_event,
        Resumes=first_attempt,
    )


def make_replicas(*versions, **options):
    """Return a replica for each version, with further arguments of `Replica`."""
    return [
        replica.Replica(f"i-{n}", events=EVENTS, version=version, **options)
        for n, version in enumerate(versions, 1)
    ]


def list_resumed(servers):
    """Return the versions of the replicas at which streams went on, by run."""
    return [
        server.version
        for server in servers
        for headers in server.headers
        if "Last-Event-Id" in headers
    ]


def list_began(servers):
    """Return the versions at which streams began, by request."""
    return {
        headers["X-Pimentowick-Request-Id"]: server.version
        for server in servers
        for headers in server.headers
    }


async def remove(site, server):
    """Remove a replica from the store, and wait until all entries know it."""
    site.store.put("keyed.servers", server.id, b"")
    await wait.wait_for(
        lambda: all(server.id not in each.table.by_id for each in site.gateways),
        WAIT_S,
        POLL_S,
    )


@contextlib.asynccontextmanager
async def heartbeats(site):
    """Let the replicas register again and again, as they do on the platform."""

    async def register():
        while True:
            for server in site.replicas:
                site.register_replica(server)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    task = asyncio.create_task(register())
    try:
        yield
    finally:
        task.cancel()


def count_runs(servers):
    return sum(sum(server.runs.values()) for server in servers)


async def begin_streams(site, servers):
    """Begin streams at the first entry at replicas that hold their last event."""
    attempts = [await Attempt.open(site, f"a{n}") for n in range(STREAMS)]
    for attempt in attempts:
        await attempt.read_until(FIRST_EVENTS)
    for server in servers:
        server.holds_last_event = False
    return attempts


def test_entry_continues_a_stream_only_at_the_version_that_began_it():
    # Targets of several versions break off midway.
    servers = make_replicas("v1", "v1", "v2", "v2", "v3", "v3")
    planned = [replica.Behaviour(cut_after=2, awaits_release=True)] * STREAMS
    for server in servers:
        server.planned_behaviours = planned

    async def check():
        async with platform_site.open_site(servers, ROUTES) as site:
            attempts = [await Attempt.open(site, f"a{n}") for n in range(STREAMS)]
            for attempt in attempts:
                await attempt.read_until(FIRST_EVENTS)
            began_at = list_began(servers)
            for server in servers:
                server.release.set()
            async with heartbeats(site):
                for attempt in attempts:
                    await attempt.read_until(LAST_EVENT)
            for server in servers:
                for headers in server.headers:
                    request_id = headers["X-Pimentowick-Request-Id"]
                    assert began_at[request_id] == server.version
            assert len(list_resumed(servers)) == STREAMS

    asyncio.run(check())


def test_entry_ends_a_stream_whose_version_is_gone():
    # The only target of its version leaves; events of another one don't fit.
    servers = make_replicas("v1", "v2")
    planned = [replica.Behaviour(cut_after=2, awaits_release=True)]
    for server in servers:
        server.planned_behaviours = planned

    async def check():
        async with platform_site.open_site(servers, ROUTES) as site:
            attempt = await Attempt.open(site, "a0")
            await attempt.read_until(FIRST_EVENTS)
            [first] = [server for server in servers if server.runs]
            await remove(site, first)
            first.release.set()
            with pytest.raises(asyncio.IncompleteReadError):
                await attempt.read_until(LAST_EVENT)
            assert list_resumed(servers) == []

    asyncio.run(check())


@pytest.mark.parametrize("loss", ["stopped", "left", "stopped without a store"])
def test_stream_taken_up_at_another_entry_goes_on_at_its_version(loss):
    # The entry that began the streams is lost, or their connections are.
    servers = make_replicas("v1", "v2", "v3")
    for server in servers:
        server.holds_last_event = True

    async def check():
        async with platform_site.open_site(servers, ROUTES, entries=3) as site:
            attempts = await begin_streams(site, servers)
            began_at = list_began(servers)
            if loss == "stopped without a store":
                site.store.fault_injector.inject(faults.Fault("down"))
            if loss != "left":
                await site.gateways.pop(0).close()
            for attempt in attempts:
                attempt.close()
            answers = await asyncio.gather(
                *(take_up(site, f"a{n}", f"b{n}", n % 2) for n in range(STREAMS))
            )
            assert [answer.status for answer in answers] == [200] * STREAMS
            for server in servers:
                for headers in server.headers:
                    if "Resumes" in headers:
                        assert began_at[headers["Resumes"]] == server.version

    asyncio.run(check())


@pytest.mark.parametrize(
    "headers",
    [
        {"Resumes": "unknown"},
        {},
        {"Resumes": ""},
        {"Resumes": "x" * 4000},
        {"Resumes": 'a0", "b'},
    ],
)
def test_stream_of_unknown_origin_does_not_go_on(headers):
    # The first attempt is missing, malformed or known to no entry.
    servers = make_replicas("v1", "v2")

    async def check():
        async with platform_site.open_site(servers, ROUTES, entries=2) as site:
            answer = await send(site, "b0", Last_Event_Id="2", **headers)
            assert answer.status == 503
            assert count_runs(servers) == 0
            assert (await send(site, "c0")).status == 200

    asyncio.run(check())


def test_caller_of_a_lost_stream_may_begin_anew_at_once():
    # Guards against a time to come back that is of no use: no entry will know more.
    servers = make_replicas("v1")

    async def check():
        async with platform_site.open_site(servers, ROUTES, entries=2) as site:
            reporter = site.gateways[0].load_reporter
            await wait.wait_for(lambda: reporter.has_heard_peers, WAIT_S, POLL_S)
            answer = await take_up(site, "a0", "b0", 0)
            assert answer.status == 503
            assert answer.decode()["error"]["code"] == "stream_lost"
            assert float(answer.headers["Retry-After"]) == 0

    asyncio.run(check())


def test_stream_whose_version_is_gone_is_refused_at_once():
    # The caller can begin anew while its deadline is still far away.
    servers = make_replicas("v1", "v2")

    async def check():
        async with platform_site.open_site(servers, ROUTES, entries=2) as site:
            servers[0].holds_last_event = servers[1].holds_last_event = True
            attempt = await Attempt.open(site, "a0")
            await attempt.read_until(FIRST_EVENTS)
            [first] = [server for server in servers if server.runs]
            [other] = [server for server in servers if server is not first]
            await remove(site, first)
            answer = await take_up(site, "a0", "b0")
            assert answer.status == 503
            assert answer.decode()["error"]["code"] == "stream_version_gone"
            assert not other.runs
            with contextlib.suppress(OSError):
                attempt.close()

    asyncio.run(check())


def make_table(born):
    table = target.TargetTable()
    for number in range(2):
        register(table, number, born)
    return table


def register(table, number, born):
    table.put(
        target.Registration(
            f"t{number}", "s", "127.0.0.1", 1 + number, "a", 8, False, born, "v1"
        )
    )


def test_restarted_target_with_an_old_registration_is_of_no_version():
    # It returns under its old identifier, perhaps with another version.
    table = make_table(born=1)
    now = time.monotonic()
    table.by_id["t0"].record_break(now)
    register(table, 0, born=1)
    assert [each.id for each in table.list_targets("s", "v1")] == ["t1"]
    assert table.by_id["t0"].software_version is None
    table.by_id["t1"].record_break(now)
    assert table.list_targets("s", "v1") == []
    # Their registrations may confirm them soon.
    assert table.has_version("s", "v1")
    table.by_id["t1"].record_break(now - 2 * target.CONFIRMATION_DELAY_S)
    register(table, 1, born=1)
    assert [each.id for each in table.list_targets("s", "v1")] == ["t1"]


def test_target_whose_identifier_is_never_reused_keeps_its_version():
    # A request names the identifier, which another run does not accept.
    table = make_table(born=0)
    table.by_id["t0"].record_break(time.monotonic())
    assert len(table.list_targets("s", "v1")) == 2


def test_version_of_draining_or_replaced_targets_is_gone():
    table = make_table(born=0)
    table.by_id["t0"].paused_until = math.inf
    assert table.has_version("s", "v1")
    draining = dataclasses.replace(table.by_id["t1"].registration, is_draining=True)
    table.put(draining)
    assert not table.has_version("s", "v1")
    assert not table.has_version("s", "v2")


def test_stream_goes_on_at_its_version_in_later_attempts():
    # The second attempt brings nothing, the third some events, the fourth the rest.
    servers = make_replicas("v1", "v2", "v3")

    async def check():
        async with platform_site.open_site(servers, ROUTES, entries=3) as site:
            for server in servers:
                server.holds_last_event = True
            attempt = await Attempt.open(site, "a0")
            await attempt.read_until(FIRST_EVENTS)
            [first] = [server for server in servers if server.runs]
            attempt.close()
            second = await Attempt.open(site, "a1", 1, resumes="a0", last_event="2")
            second.close()
            third = await Attempt.open(site, "a2", 2, resumes="a0", last_event="2")
            await third.read_until(b"data: word 3\n\n")
            third.close()
            for server in servers:
                server.holds_last_event = False
            answer = await take_up(site, "a0", "a3", 1, "3")
            assert answer.status == 200
            assert set(list_resumed(servers)) == {first.version}

    asyncio.run(check())


def test_origin_is_remembered_beyond_the_timeout_of_the_route():
    # The caller may take its stream up until its own deadline of eight seconds.
    servers = make_replicas("v1")
    servers[0].holds_last_event = True
    routes = [
        platform_site.make_route("/chat/", "stream", resumable=True, timeout_ms=1000)
    ]

    async def check():
        async with platform_site.open_site(servers, routes) as site:
            attempt = await Attempt.open(site, "a0")
            await attempt.read_until(FIRST_EVENTS)
            key = stream_origins.compute_key(None, platform_site.HOST, "a0")
            origins = site.gateways[0].stream_origins
            assert origins.get(key, time.monotonic() + 4.0) is not None
            attempt.close()

    asyncio.run(check())


def test_stream_waits_for_a_full_target_of_its_version():
    # Targets of another version are free, and new streams go there.
    servers = make_replicas("v1", "v2", slots=1)

    async def check():
        async with platform_site.open_site(servers, ROUTES, entries=2) as site:
            for server in servers:
                server.holds_last_event = True
            attempt = await Attempt.open(site, "a0")
            await attempt.read_until(FIRST_EVENTS)
            [first] = [server for server in servers if server.runs]
            [other] = [server for server in servers if server is not first]
            known = site.gateways[1].table.by_id[first.id]
            await wait.wait_for(lambda: known.total_online, WAIT_S, POLL_S)
            task = asyncio.create_task(take_up(site, "a0", "b0"))
            other.holds_last_event = False
            for number in range(3):
                assert (await send(site, f"c{number}", 1)).status == 200
            assert not task.done()
            first.release.set()
            assert (await task).status == 200
            assert list_resumed(servers) == [first.version]
            attempt.close()

    asyncio.run(check())


async def run_item(servers, interrupt):
    """Run a job of one item, interrupt it after two events, and return its text."""
    batch = platform_site.make_route(
        "/lot/", "batch", run_target_ms=20_000, retention_s=60, max_attempts=3
    )
    row = {"id": "item", "path": "/lot/1", "headers": {}, "body": "eA==", "tokens": 10}
    planned = [replica.Behaviour(cut_after=2, awaits_release=True)]
    for server in servers:
        server.planned_behaviours = planned
    async with platform_site.open_site(servers, [batch]) as site:
        await site.call(
            "POST",
            "/lot/new",
            orjson.dumps({"items": [row]}),
            X_Pimentowick_Request_Id="job",
        )
        runs = site.gateways[0].runner.list_runs
        await wait.wait_for(
            lambda: [run for run in runs() if run.transcript.last_event == "2"],
            WAIT_S,
            POLL_S,
        )
        [first] = [server for server in servers if server.runs]
        interrupt(site, first)

        async def read_text():
            answer = await site.call("GET", "/-/lots/job?after=0")
            results = answer.decode()["results"] if answer.status == 200 else None
            return results and results[0]["text"]

        return await wait.wait_for(read_text, 2 * WAIT_S, POLL_S)


TEXT = "\n".join(f"word {n}" for n in range(1, EVENTS + 1))


def test_item_goes_on_only_at_the_version_that_began_it():
    # Its target crashes midway; one other runs the same version.
    servers = make_replicas(*(f"v{n // 2}" for n in range(8)))

    async def check():
        assert await run_item(servers, lambda site, first: first.release.set()) == TEXT
        began = [s for s in servers for h in s.headers if "Last-Event-Id" not in h]
        assert list_resumed(servers) == [server.version for server in began]

    asyncio.run(check())


def test_item_whose_version_is_gone_begins_anew():
    # Its target crashes midway, and all others run another version.
    servers = make_replicas("v1", "v2")

    def replace(site, first):
        """Crash a replica, which returns with another version."""
        first.version = "v3"
        first.crash()
        site.store.put("keyed.servers", "i-1", b"")
        site.store.put("keyed.servers", "i-2", b"")
        for server in servers:
            site.register_replica(server)

    async def check():
        assert await run_item(servers, replace) == TEXT
        assert list_resumed(servers) == []

    asyncio.run(check())
