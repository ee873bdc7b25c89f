import asyncio

import pytest

from pimentowick import client as http_client
from pimentowick.fakes import platform_site, replica, wait
from pimentowick.gateway import peer_configuration

CHAT = platform_site.make_route("/chat/", "stream", resumable=True)
WORKSPACE = {"name": "stands", "api_keys": ["k3y-1"]}


def run_with(check, entries=2):
    async def run():
        async with platform_site.open_site(
            [replica.Replica()], [CHAT], entries, [WORKSPACE], key_revocation_s=5.0
        ) as site:
            if entries > 1:
                list_peers = [
                    found.load_reporter.list_live_peers for found in site.gateways
                ]
                await wait.wait_for(
                    lambda: all(list_live() for list_live in list_peers), 10, 0.01
                )
            await check(site)

    asyncio.run(run())


def isolate(gateway, age_s):
    """Stop the configuration feed of an entry and set the age of its configuration."""
    gateway._supervisor.stop_child("feed configuration")
    feed = gateway._feeds["configuration"]
    feed.fresh_at_boottime = feed.clock() - age_s
    return feed


async def send(site, key, request_id="r1", entry=0):
    answer = await site.call(
        "POST",
        "/chat/1",
        b"hello",
        entry,
        Authorization=f"Token {key}",
        X_Pimentowick_Request_Id=request_id,
        X_Pimentowick_Deadline_Ms="8000",
    )
    return answer.status


def test_isolated_entry_serves_by_the_configuration_of_a_neighbour():
    # The store refuses some entries for seconds while keys are revoked.
    async def check(site):
        isolated, other = site.gateways
        feed = isolate(isolated, 6.0)
        site.tenants = [{"name": "stands", "api_keys": ["k3y-2"]}]
        site.publish([CHAT])
        await wait.wait_for(lambda: other.configuration.current.version == 2, 10, 0.01)
        await wait.wait_for(
            lambda: (
                feed.clock() - feed.fresh_at_boottime < peer_configuration.FETCH_AGE_S
            ),
            10,
            0.01,
        )
        assert isolated.configuration.current.version == 2
        assert await send(site, "k3y-1") == 401
        assert await send(site, "k3y-2", "r2") == 200

    run_with(check)


def test_isolated_entries_do_not_renew_each_other():
    async def check(site):
        feeds = [isolate(gateway, 6.0) for gateway in site.gateways]
        fresh_at_boottime = max(feed.fresh_at_boottime for feed in feeds)
        for gateway, other in zip(site.gateways, reversed(site.gateways), strict=True):
            address = other.load_reporter.address
            await gateway._peer_configuration.fetch_from_peer(address)
        # None is fresher than the freshest was before.
        assert all(feed.fresh_at_boottime <= fresh_at_boottime for feed in feeds)
        assert await send(site, "k3y-1") == 503

    run_with(check)


def make_fetcher(gateway, body, times):
    """Return the feed and the fetcher of an entry whose peer answers with a body."""
    gateway._supervisor.stop_child("peer configuration")
    feed = isolate(gateway, 6.0)
    feed.fresh_at_boottime = 0.0
    clock = iter(times)
    feed.clock = lambda: next(clock)
    fetcher = gateway._peer_configuration

    async def fetch(*args, **kwargs):
        return http_client.Response(200, body, {})

    fetcher._client.fetch = fetch
    return feed, fetcher


def test_age_counts_from_the_send_time_of_the_fetch():
    # The answer was in transit for four seconds.
    async def check(site):
        body = b'{"version": 1, "age_s": 1.0, "record": null}'
        feed, fetcher = make_fetcher(site.gateways[0], body, [100.0, 104.0, 104.0])
        await fetcher.fetch_from_peer("127.0.0.1:1")
        assert feed.fresh_at_boottime == 99.0

    run_with(check)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"version": 1}',
        b'{"version": 1, "age_s": 0, "record": "!"}',
        b'{"version": 9, "age_s": 0, "record": null}',
        b'{"version": 1, "age_s": -50, "record": null}',
        b'{"version": 1, "age_s": "nan", "record": null}',
        b'{"version": 9, "age_s": 0, "record": "bm8="}',
    ],
)
def test_invalid_or_inconclusive_answer_changes_nothing(body):
    async def check(site):
        feed, fetcher = make_fetcher(site.gateways[0], body, [100.0] * 5)
        await fetcher.fetch_from_peer("127.0.0.1:1")
        assert feed.fresh_at_boottime == 0.0
        assert site.gateways[0].configuration.current.version == 1

    run_with(check)


def test_callers_cannot_read_the_configuration():
    async def check(site):
        answer = await site.call("GET", "/peer/configuration?after=0")
        assert answer.status in (401, 404)
        assert b"k3y" not in answer.body

    run_with(check, entries=1)
