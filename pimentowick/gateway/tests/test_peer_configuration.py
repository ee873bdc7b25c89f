import asyncio

import pytest

from pimentowick import client as http_client
from pimentowick.fakes import platform_site, replica, wait
from pimentowick.gateway import peer_configuration

CHAT = platform_site.make_route("/chat/", "stream", resumable=True)
TENANT = {"name": "stands", "api_keys": ["k3y-1"]}


def run_with(check, entries=2):
    async def run():
        async with platform_site.open_site(
            [replica.Replica()], [CHAT], entries, [TENANT], revoke_s=5.0
        ) as site:
            if entries > 1:
                heard = [found.neighbours.list_heard for found in site.gateways]
                await wait.wait_for(lambda: all(one() for one in heard), 10, 0.01)
            await check(site)

    asyncio.run(run())


def cut_off(gateway, age_s):
    """Let an entry hear nothing more of the configuration from the store."""
    gateway._supervisor.stop_child("feed configuration")
    feed = gateway._feeds["configuration"]
    feed.proved_at = feed.clock() - age_s
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


def test_entry_that_alone_lost_the_store_serves_by_what_a_neighbour_knows():
    # A third of the entries is turned away for nine seconds while keys are taken away.
    async def check(site):
        cut, other = site.gateways
        feed = cut_off(cut, 6.0)
        site.tenants = [{"name": "stands", "api_keys": ["k3y-2"]}]
        site.publish([CHAT])
        await wait.wait_for(lambda: other.configuration.current.version == 2, 10, 0.01)
        await wait.wait_for(
            lambda: feed.clock() - feed.proved_at < peer_configuration.ASK_AGE_S,
            10,
            0.01,
        )
        assert cut.configuration.current.version == 2
        assert await send(site, "k3y-1") == 401
        assert await send(site, "k3y-2", "r2") == 200

    run_with(check)


def test_entries_that_all_lost_the_store_do_not_keep_each_other_young():
    async def check(site):
        feeds = [cut_off(gateway, 6.0) for gateway in site.gateways]
        proved_at = max(feed.proved_at for feed in feeds)
        for gateway, other in zip(site.gateways, reversed(site.gateways), strict=True):
            address = other.neighbours.address
            await gateway._peer_configuration.ask(address)
        # Each is as old as the youngest, and no younger.
        assert all(feed.proved_at <= proved_at for feed in feeds)
        assert await send(site, "k3y-1") == 503

    run_with(check)


def make_asked(gateway, body, times):
    """Return the feed of an entry that asks a neighbour which answers with a body."""
    gateway._supervisor.stop_child("peer configuration")
    feed = cut_off(gateway, 6.0)
    feed.proved_at = 0.0
    clock = iter(times)
    feed.clock = lambda: next(clock)
    asked = gateway._peer_configuration

    async def fetch(*args, **kwargs):
        return http_client.Response(200, body, {})

    asked._client.fetch = fetch
    return feed, asked


def test_age_is_counted_from_the_question():
    # The answer was on its way for four seconds.
    async def check(site):
        body = b'{"version": 1, "age_s": 1.0, "record": null}'
        feed, asked = make_asked(site.gateways[0], body, [100.0, 104.0, 104.0])
        await asked.ask("127.0.0.1:1")
        assert feed.proved_at == 99.0

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
def test_answer_that_proves_nothing_changes_nothing(body):
    async def check(site):
        feed, asked = make_asked(site.gateways[0], body, [100.0] * 5)
        await asked.ask("127.0.0.1:1")
        assert feed.proved_at == 0.0
        assert site.gateways[0].configuration.current.version == 1

    run_with(check)


def test_callers_do_not_get_the_configuration():
    async def check(site):
        answer = await site.call("GET", "/peer/configuration?after=0")
        assert answer.status in (401, 404)
        assert b"k3y" not in answer.body

    run_with(check, entries=1)
