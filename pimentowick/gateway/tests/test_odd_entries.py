"""Entries of other writers in the topics of the store that gateways follow."""

import asyncio
import urllib.parse

import orjson
import pytest

from pimentowick.fakes import platform_site, replica, wait
from pimentowick.gateway import crash_guard, daemon, decision_log
from pimentowick.platform import operator

ROUTES = [
    platform_site.make_route("/confirm/", "non_idempotent", max_attempts=1),
    platform_site.make_route("/chat/", "stream", resumable=True),
    platform_site.make_route("/lot/", "batch", run_target_ms=60_000, retention_s=60),
]
REQUESTS = 12
WAIT_S = 15.0
POLL_S = 0.01
SOUND = {
    "service": platform_site.SERVICE,
    "address": "127.0.0.1:1",
    "zone": "here",
    "slots": 8,
    "state": "ready",
}


def make_entry(**changes):
    return orjson.dumps({**SOUND, **changes})


def nest(depth):
    return b"[" * depth + b"]" * depth


# Values that name no target to use.
ODD_VALUES = {
    "no bytes of JSON": b"\xff\xfe",
    "no JSON": b"{",
    "no object": b"[]",
    "null": b"null",
    "number": b"7",
    "deep nesting": nest(100_000),
    "deep nesting in a field": b'{"service":' + nest(100_000) + b"}",
    "number of 400 digits": make_entry().replace(b"8", b"8" * 400),
    "number of 5,000 digits": make_entry().replace(b"8", b"8" * 5_000),
    "not a number": make_entry().replace(b"8", b"NaN"),
    "large exponent": make_entry().replace(b"8", b"1e999"),
    "many slots": make_entry(slots=2**62),
    "no slots": make_entry(slots=0),
    "negative slots": make_entry(slots=-1),
    "unknown state": make_entry(state="odd"),
    "service of another type": make_entry(service=["lm"]),
    "long service": make_entry(service="x" * 100_000),
    "long failure domain": make_entry(zone="x" * 100_000),
    "start of another type": make_entry(born="today"),
    "address of another type": make_entry(address=8144),
    "no address": make_entry(address=""),
    "no port": make_entry(address="127.0.0.1"),
    "empty port": make_entry(address="127.0.0.1:"),
    "port 0": make_entry(address="127.0.0.1:0"),
    "port out of range": make_entry(address="127.0.0.1:65536"),
    "large port": make_entry(address="127.0.0.1:" + "9" * 400),
    "negative port": make_entry(address="127.0.0.1:-1"),
    "port with a sign": make_entry(address="127.0.0.1:+80"),
    "port of other digits": make_entry(address="127.0.0.1:\uff18\uff10"),
    "name of a host": make_entry(address="target:80"),
    "long name of a host": make_entry(address="x" * 100_000 + ":80"),
    "host with a zero byte": make_entry(address="127.0.0.1\0:80"),
    "any address": make_entry(address="0.0.0.0:1"),
    "address of a group": make_entry(address="224.0.0.1:80"),
    "broadcast address": make_entry(address="255.255.255.255:80"),
    "version 6": make_entry(address="[::1]:80"),
}
# Identifiers that no header may hold.
ODD_KEYS = ["i-\r\nX-Odd: 1", "i 1", "i-\0", "i-é", ""]


async def send_all(site, first=0):
    """Send requests one after the other; return their statuses."""
    statuses = []
    for number in range(first, first + REQUESTS):
        path = "/chat/1" if number % 2 else "/confirm/1"
        answer = await site.call(
            "POST",
            path,
            b"hello",
            X_Pimentowick_Request_Id=f"r{number}",
            X_Pimentowick_Deadline_Ms="4000",
        )
        statuses.append(answer.status)
    return statuses


async def check_followed(site, later):
    """Check that requests are served, and that the list is still followed."""
    assert await send_all(site) == [200] * REQUESTS
    gateway = site.gateways[0]
    assert gateway.table.by_id.keys() == {"i-1"}
    await later.start()
    site.register_replica(later)
    await wait.wait_for(lambda: later.id in gateway.table.by_id, WAIT_S, POLL_S)
    site.store.put(operator.TARGETS_TOPIC, "i-1", b"")
    await wait.wait_for(lambda: "i-1" not in gateway.table.by_id, WAIT_S, POLL_S)
    assert await send_all(site, REQUESTS) == [200] * REQUESTS


def run_with(entries, is_early):
    """Check a gateway whose list holds entries, before it starts or later."""

    async def run():
        later = replica.Replica("i-2")
        site = platform_site.Site([replica.Replica("i-1")], ROUTES)
        try:
            if is_early:
                for key, value in entries:
                    site.store.put(operator.TARGETS_TOPIC, key, value)
            await site.start()
            if not is_early:
                for key, value in entries:
                    site.store.put(operator.TARGETS_TOPIC, key, value)
                await site.gateways[0]._targets.feed.refresh()
            await check_followed(site, later)
        finally:
            await later.close()
            await site.close()

    asyncio.run(run())


@pytest.mark.parametrize("is_early", [True, False])
@pytest.mark.parametrize("value", ODD_VALUES)
def test_odd_entry_among_the_targets_names_none(value, is_early):
    # Callers got 500 when it was chosen, though a sound target stood beside it.
    run_with([("odd", ODD_VALUES[value])], is_early)


@pytest.mark.parametrize("key", ODD_KEYS)
def test_target_whose_identifier_fits_in_no_header_is_not_used(key):
    # The request to it could not be written, which callers saw as 500.
    run_with([(key, make_entry())], is_early=True)


@pytest.mark.parametrize("is_early", [True, False])
def test_all_odd_entries_together_leave_the_list_usable(is_early):
    # Each of them is skipped without those beside it.
    entries = [(f"odd{n}", value) for n, value in enumerate(ODD_VALUES.values())]
    run_with(entries + [(key, make_entry()) for key in ODD_KEYS], is_early)


def test_odd_entry_is_logged_once(monkeypatch):
    # Each heartbeat of its writer, and each new snapshot, would be a line.
    logged = []
    monkeypatch.setattr(
        decision_log, "log_event", lambda event, **fields: logged.append(event)
    )

    async def run():
        async with platform_site.open_site([replica.Replica("i-1")], ROUTES) as site:
            feed = site.gateways[0]._targets.feed
            for _ in range(3):
                site.store.put(operator.TARGETS_TOPIC, "odd", b"{")
                await feed.refresh()
            assert logged.count("target.garbled") == 1
            site.store.put(operator.TARGETS_TOPIC, "odd", b"[")
            await feed.refresh()
            assert logged.count("target.garbled") == 2

    asyncio.run(run())


ENTRY = orjson.dumps({"failure_domain": "here", "link_mbps": 100.0})
# Keys and values of records that name no entry.
ODD_ENTRIES = {
    "no address": ("odd", ENTRY),
    "no port": ("127.0.0.1", ENTRY),
    "port out of range": ("127.0.0.1:70000", ENTRY),
    "name of a host": ("entry:80", ENTRY),
    "no JSON": ("127.0.0.1:9", b"{"),
    "no object": ("127.0.0.1:9", b"7"),
    "list": ("127.0.0.1:9", b"[]"),
    "deep nesting": ("127.0.0.1:9", nest(100_000)),
    "no fields": ("127.0.0.1:9", b"{}"),
    "number of 400 digits": ("127.0.0.1:9", ENTRY.replace(b"100.0", b"9" * 400)),
    "large exponent": ("127.0.0.1:9", ENTRY.replace(b"100.0", b"1e999")),
    "link of another type": ("127.0.0.1:9", ENTRY.replace(b"100.0", b'"nan"')),
}


async def check_peers(site):
    """Check that both entries hear each other, from now on."""
    for gateway in site.gateways:
        since = asyncio.get_running_loop().time()
        other = next(each for each in site.gateways if each is not gateway)
        peers = gateway.load_reporter.peers
        await wait.wait_for(
            lambda peers=peers, key=other.load_reporter.address, since=since: (
                key in peers and peers[key].last_heard_at > since
            ),
            WAIT_S,
            POLL_S,
        )
        assert peers.keys() == {other.load_reporter.address}


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_odd_record_among_the_entries_silences_none(name):
    # The task that reports the load ended with each report to it.
    async def run():
        async with platform_site.open_site(routes=ROUTES, entries=2) as site:
            key, value = ODD_ENTRIES[name]
            site.store.put(daemon.ENTRIES_TOPIC, key, value)
            for gateway in site.gateways:
                await gateway._feeds["entries"].refresh()
            await check_peers(site)

    asyncio.run(run())


# Datagrams that are no report of an entry.
ODD_DATAGRAMS = [
    b"",
    b"\xff",
    b"7",
    b"[]",
    b"{}",
    nest(10_000),
    b'{"from":7,"number":1}',
    b'{"from":"odd","number":1}',
    b'{"from":"127.0.0.1:70000","number":1}',
    b'{"from":"127.0.0.1:9","number":"x"}',
    b'{"from":"127.0.0.1:9","number":1,"loads":{"i":[1e999,1]}}',
    b'{"from":"127.0.0.1:9","number":1,"loads":7}',
    b'{"sender":"odd","reports":[],"asks":true}',
    b'{"sender":"127.0.0.1:9","reports":7}',
    b'{"sender":"127.0.0.1:9","reports":[7]}',
    b'{"from":"127.0.0.1:70000","origin_query":"x"}',
    b'{"from":"127.0.0.1:9","origins":{"x":[1]}}',
]


@pytest.mark.parametrize("datagram", ODD_DATAGRAMS)
def test_odd_datagram_silences_no_entry(datagram):
    # One with another address ended the task that reports the load, for 20 s.
    async def run():
        async with platform_site.open_site(routes=ROUTES, entries=2) as site:
            for gateway in site.gateways:
                gateway.load_reporter.datagram_received(datagram, ("127.0.0.1", 9))
                gateway.load_reporter.remove("127.0.0.1:9")
            await check_peers(site)

    asyncio.run(run())


# Records that are no job and no outcome of one.
ODD_RECORDS = {
    "job, no JSON": (daemon.JOBS_TOPIC, "j/odd", b"{"),
    "job, no object": (daemon.JOBS_TOPIC, "j/odd", b"7"),
    "job, list": (daemon.JOBS_TOPIC, "j/odd", b"[]"),
    "job, deep nesting": (daemon.JOBS_TOPIC, "j/odd", nest(100_000)),
    "job, no fields": (daemon.JOBS_TOPIC, "j/odd", b"{}"),
    "job, items of another type": (
        daemon.JOBS_TOPIC,
        "j/odd",
        b'{"host":"h","path":"/","submitted_s":1,"items":[7]}',
    ),
    "unknown kind": (daemon.JOBS_TOPIC, "odd", b"7"),
    "result, no number": (daemon.OUTCOMES_TOPIC, "i/odd/x/1", b"{}"),
    "result, no JSON": (daemon.OUTCOMES_TOPIC, "i/odd/0/1", b"{"),
    "result, no fields": (daemon.OUTCOMES_TOPIC, "i/odd/0/1", b"{}"),
    "result, list": (daemon.OUTCOMES_TOPIC, "i/odd/0/1", b"[]"),
    "result, text of another type": (
        daemon.OUTCOMES_TOPIC,
        "i/odd/0/1",
        b'{"done":true,"text":[1]}',
    ),
    "failure, no number": (daemon.OUTCOMES_TOPIC, "f/odd", b"1"),
}


async def run_job(site, job_id="job"):
    """Run a job of one item until its result is listed."""
    item = {"id": "item", "path": "/lot/1", "body": "eA=="}
    answer = await site.call(
        "POST",
        "/lot/new",
        orjson.dumps({"items": [item]}),
        X_Pimentowick_Request_Id=job_id,
    )
    assert answer.status == 202
    path = f"/-/lots/{urllib.parse.quote(job_id, safe='')}?after=0"

    async def is_listed():
        page = await site.call("GET", path)
        return page.status == 200 and page.decode()["results"]

    await wait.wait_for(is_listed, WAIT_S, POLL_S)


@pytest.mark.parametrize("is_early", [True, False])
@pytest.mark.parametrize("name", ODD_RECORDS)
def test_odd_record_among_the_jobs_stops_no_other(name, is_early):
    # The readers of the topic ended with it, again and again.
    async def run():
        site = platform_site.Site([replica.Replica("i-1")], ROUTES)
        try:
            if is_early:
                site.store.put(*ODD_RECORDS[name])
            await site.start()
            if not is_early:
                site.store.put(*ODD_RECORDS[name])
            await run_job(site)
        finally:
            await site.close()

    asyncio.run(run())


def test_job_whose_identifier_has_a_slash_is_listed():
    # Its outcomes are taken for those of another job, and reads of it answered 404.
    async def run():
        async with platform_site.open_site(routes=ROUTES) as site:
            await run_job(site, "leon/sala-a")

    asyncio.run(run())


@pytest.mark.parametrize("odd_id", ["leon/sala-a", "leon/b/0", "leon/", "50%", "a#b"])
def test_jobs_whose_identifiers_begin_alike_are_kept_apart(odd_id):
    # The contents and outcomes of one were taken for, or deleted with, the other's.
    async def run():
        async with platform_site.open_site(routes=ROUTES) as site:
            await run_job(site, "leon")
            await run_job(site, odd_id)
            (gateway,) = site.gateways
            contents = gateway.storage.contents
            jobs = gateway.storage.job_table.jobs
            for name in ("leon", odd_id):
                (result,) = jobs[name].results
                assert set(await contents.read_all(name)) == {result.text.name}
            await gateway.storage.remove(jobs["leon"])
            path = f"/-/lots/{urllib.parse.quote(odd_id, safe='')}?after=0"
            await wait.wait_for(lambda: "leon" not in jobs, WAIT_S, POLL_S)
            contents._cache.clear()
            page = await site.call("GET", path)
            assert page.status == 200 and len(page.decode()["results"]) == 1

    asyncio.run(run())


# Values of the configuration, and of a quarantined request, that are none.
ODD_DOCUMENTS = [
    b"\xff",
    b"{",
    b"7",
    b"[]",
    b"{}",
    nest(100_000),
    b'{"version":' + b"9" * 400 + b',"routes":[]}',
    b'{"version":1e999,"routes":[]}',
    b'{"version":"x","routes":[]}',
    b'{"version":99,"routes":[7]}',
    b'{"version":99,"routes":[{"host":7,"path_prefix":"/","kind":"stream"}]}',
    b'{"version":99,"routes":[],"tenants":[{"name":""}]}',
    b'{"version":99,"routes":[],"limits":{"max_header_bytes":"x"}}',
    b'{"crashes":7,"voided":[],"trials":0,"cancelled":0}',
    b'{"crashes":[],"voided":[],"trials":1e999,"cancelled":0}',
    b'{"crashes":[],"voided":[],"trials":0,"cancelled":0,"sets":[7]}',
]


@pytest.mark.parametrize(
    ("topic", "key"),
    [
        (operator.CONFIGURATION_TOPIC, operator.CONFIGURATION_KEY),
        (operator.CONFIGURATION_TOPIC, "odd"),
        (daemon.ENTRIES_TOPIC, crash_guard.KEY_PREFIX + "odd"),
    ],
)
@pytest.mark.parametrize("value", ODD_DOCUMENTS)
def test_odd_document_changes_nothing(topic, key, value):
    # The last configuration holds, and the reader of the topic goes on.
    async def run():
        async with platform_site.open_site(routes=ROUTES, entries=2) as site:
            site.store.put(topic, key, value)
            for gateway in site.gateways:
                await gateway._feeds["configuration"].refresh()
                await gateway._feeds["entries"].refresh()
                assert gateway.configuration.current.version == 1
            await check_peers(site)
            site.publish(ROUTES)
            for gateway in site.gateways:
                await wait.wait_for(
                    lambda gateway=gateway: gateway.configuration.current.version == 2,
                    WAIT_S,
                    POLL_S,
                )

    asyncio.run(run())
