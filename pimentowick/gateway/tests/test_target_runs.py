"""Texts go on while targets start anew under the identifier that they had.

The store still lists what a target was before, as in the moments before it registers.
"""

import asyncio

import pytest

from pimentowick.fakes import platform_site, replica, wait
from pimentowick.gateway.tests import test_removed_targets, test_stream_versions

EVENTS = test_stream_versions.EVENTS
STREAMS = test_stream_versions.STREAMS
ROUTES = test_stream_versions.ROUTES
FIRST_EVENTS = test_stream_versions.FIRST_EVENTS
LAST_EVENT = test_stream_versions.LAST_EVENT
Attempt = test_stream_versions.Attempt


def make_replicas(*versions):
    return [
        replica.Replica(f"i-{n}", EVENTS, version=version, started_ms=1000 + n)
        for n, version in enumerate(versions, 1)
    ]


def find_versions(servers, *request_ids):
    """Return the versions at which a stream began and went on, by its attempts."""
    return [
        version
        for request_id in request_ids
        for server in servers
        for version in server.run_versions[request_id]
    ]


async def begin_streams(site, servers):
    for server in servers:
        server.holds_last_event = True
    return await test_stream_versions.begin_streams(site, servers)


def test_entry_that_starts_anew_does_not_go_on_at_a_restarted_target():
    # Guards against texts that are joined from two versions after all entries but one
    # were killed while targets returned with another version.
    servers = make_replicas("v1", "v1", "v1")

    async def check():
        async with platform_site.open_site(servers, ROUTES, entries=3) as site:
            attempts = await begin_streams(site, servers)
            for server in servers:
                server.restart("v2")
            for _ in range(2):
                await site.gateways.pop(0).close()
                await site.start_entry()
            answers = await asyncio.gather(
                *(
                    test_stream_versions.take_up(site, f"a{n}", f"b{n}", 1 + n % 2)
                    for n in range(STREAMS)
                )
            )
            assert {answer.status for answer in answers} == {503}
            for number in range(STREAMS):
                versions = find_versions(servers, f"a{number}", f"b{number}")
                assert len(set(versions)) == 1
            for attempt in attempts:
                attempt.close()

    asyncio.run(check())


def test_entry_without_a_connection_does_not_go_on_at_a_restarted_target():
    # Guards against a restart that an entry without a connection there can't notice.
    servers = make_replicas("v1")

    async def check():
        async with platform_site.open_site(servers, ROUTES, entries=2) as site:
            attempts = await begin_streams(site, servers)
            servers[0].restart("v2")
            answer = await test_stream_versions.take_up(site, "a0", "b0", 1)
            assert answer.status == 503
            assert find_versions(servers, "a0", "b0") == ["v1"]
            for attempt in attempts:
                attempt.close()

    asyncio.run(check())


@pytest.mark.parametrize("keeps_id", [True, False])
def test_entry_that_missed_a_release_does_not_join_streams(keeps_id):
    # Guards against texts that are joined at an entry that was cut off from the store
    # while targets of another version joined, and began streams through other entries.
    servers = make_replicas("v1", "v1", "v1")

    async def check():
        async with platform_site.open_site(servers, ROUTES, entries=2) as site:
            test_removed_targets.cut_off(site.gateways[1])
            await test_removed_targets.wait_until_reads(site.gateways[1], fail=True)
            await release(site, servers[-1], "v2", keeps_id)
            attempts = await begin_streams(site, servers)
            answers = await asyncio.gather(
                *(
                    test_stream_versions.take_up(site, f"a{n}", f"b{n}")
                    for n in range(STREAMS)
                )
            )
            for number, answer in enumerate(answers):
                assert answer.status in (200, 503)
                versions = find_versions(servers, f"a{number}", f"b{number}")
                assert len(set(versions)) == 1
                assert len(versions) == 1 + (answer.status == 200)
            for attempt in attempts:
                attempt.close()

    asyncio.run(check())


async def release(site, server, version, keeps_id):
    """Restart a replica with another version; wait until the first entry knows it."""
    previous_id = server.id
    if keeps_id:
        server.restart(version)
    else:
        server.crash()
        server.version = version
        site.store.put("keyed.servers", previous_id, b"")
    site.register_replica(server)
    await wait_until_listed(site, server, site.gateways[:1])


def test_stream_begun_at_a_restarted_target_does_not_go_on_at_its_former_version():
    # Guards against a wrong version of the first event, taken from an old registration.
    servers = make_replicas("v1", "v1")

    async def check():
        async with platform_site.open_site(servers, ROUTES) as site:
            planned = [replica.Behaviour(cut_after=2, awaits_release=True)]
            servers[0].planned_behaviours = servers[1].planned_behaviours = planned
            for server in servers:
                server.restart("v2")
            attempt = await Attempt.open(site, "a0")
            await attempt.read_until(FIRST_EVENTS)
            [first] = [server for server in servers if server.runs]
            [other] = [server for server in servers if server is not first]
            other.restart("v1")
            site.register_replica(other)
            await wait_until_listed(site, other)
            first.release.set()
            with pytest.raises(asyncio.IncompleteReadError):
                await attempt.read_until(LAST_EVENT)
            assert find_versions(servers, "a0") == ["v2"]

    asyncio.run(check())


async def wait_until_listed(site, server, gateways=None):
    run_id = f"{server.id}@{server.started_ms}"

    def is_listed(gateway):
        listed = gateway.table.by_id.get(server.id)
        return listed is not None and listed.run_id == run_id

    await wait.wait_for(
        lambda: all(is_listed(gateway) for gateway in gateways or site.gateways),
        test_stream_versions.WAIT_S,
        test_stream_versions.POLL_S,
    )


def test_stream_goes_on_at_a_target_that_is_as_registered():
    # Guards against streams that are refused although two targets run their version.
    servers = make_replicas("v1", "v1", "v2")

    async def check():
        async with platform_site.open_site(servers, ROUTES, entries=3) as site:
            attempts = await begin_streams(site, servers)
            await site.gateways.pop(0).close()
            for attempt in attempts:
                attempt.close()
            answers = await asyncio.gather(
                *(
                    test_stream_versions.take_up(site, f"a{n}", f"b{n}", n % 2)
                    for n in range(STREAMS)
                )
            )
            assert [answer.status for answer in answers] == [200] * STREAMS
            for number in range(STREAMS):
                versions = find_versions(servers, f"a{number}", f"b{number}")
                assert len(versions) == 2
                assert len(set(versions)) == 1

    asyncio.run(check())


def test_target_is_asked_once_for_each_connection():
    # Guards against a question for each request, which is paid for.
    servers = make_replicas("v1")

    async def check():
        async with platform_site.open_site(servers, ROUTES) as site:
            for number in range(8):
                answer = await test_stream_versions.send(site, f"a{number}")
                assert answer.status == 200
            assert servers[0].reports == 1

    asyncio.run(check())


def test_item_does_not_go_on_at_a_restarted_target():
    # Guards against items whose text is joined from two versions.
    servers = make_replicas("v1", "v1")
    tasks = []

    def replace(site, first):
        reports = sum(server.reports for server in servers)
        for server in servers:
            server.restart("v2")

        async def register():
            """Register once an entry was about to go on with the item."""
            await wait.wait_for(
                lambda: sum(server.reports for server in servers) > reports,
                test_stream_versions.WAIT_S,
                test_stream_versions.POLL_S,
            )
            for server in servers:
                site.register_replica(server)

        tasks.append(asyncio.create_task(register()))

    async def check():
        text = await test_stream_versions.run_item(servers, replace)
        assert text == test_stream_versions.TEXT
        assert sorted(find_versions(servers, "item")) == ["v1", "v2"]
        assert test_stream_versions.list_resumed(servers) == []

    asyncio.run(check())
