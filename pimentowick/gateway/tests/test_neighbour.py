import asyncio

import orjson
import pytest

from pimentowick.fakes import platform_site, replica, wait
from pimentowick.gateway import admission, neighbour, target
from pimentowick.gateway.policy import news_relay, outlier_detection, quota

ROUTES = [platform_site.make_route("/chat/", "stream", resumable=True)]


def make_neighbours():
    table = target.TargetTable(on_new=lambda target_id: found.tell_target(target_id))
    line = admission.Admission(table, "a")
    news = []
    found = neighbour.Neighbours(
        "me:1",
        news_relay.NewsRelay("me:1", "a", 100.0),
        table,
        line,
        outlier_detection.OutlierDetection("a"),
        quota.SharedCount(),
        lambda: news.append(1),
    )
    table.put(target.Registration("t", "s", "127.0.0.1", 1, "a", 8))
    return found, table.by_id["t"], line, news


def tell(found, number, loads, waiting=None, sender="other:2"):
    data = {"from": sender, "number": number, "loads": loads, "pending": {}}
    data["waiting"] = waiting or {}
    found.datagram_received(orjson.dumps(data), ("other", 2))


def test_loads_of_neighbours_are_summed():
    found, seen, line, news = make_neighbours()
    tell(found, 1, {"t": [2, 1]}, {"s": 3})
    tell(found, 1, {"t": [1, 0]}, sender="third:3")
    assert (seen.peers_online, seen.peers_batch) == (3, 1)
    assert line.peers_waiting["s"] == 3
    assert found.get_batch_counts("t") == {"other:2": 1}
    assert len(news) == 2


def test_target_that_is_listed_later_has_the_load_that_was_told_before():
    # A target comes, and other entries use it before this one has read of it. What
    # they tell stays the same for seconds while batch items run there.
    found, *_ = make_neighbours()
    tell(found, 1, {"t": [0, 2], "new": [1, 4]})
    registration = target.Registration("new", "s", "127.0.0.1", 2, "a", 8)
    found._table.put(registration)
    tell(found, 2, {"t": [0, 2], "new": [1, 4]})
    new = found._table.by_id["new"]
    assert (new.peers_online, new.peers_batch) == (1, 4)


def test_datagrams_that_overtake_each_other_do_no_harm():
    found, seen, _, _ = make_neighbours()
    tell(found, 2, {"t": [5, 0]})
    tell(found, 1, {"t": [1, 0]})
    assert seen.peers_online == 5


def test_garbled_datagrams_change_nothing():
    found, seen, _, _ = make_neighbours()
    for data in (b"", b"[]", b"{}", b'{"from": 1, "number": "x", "loads": 3}'):
        found.datagram_received(data, ("other", 2))
    assert seen.peers_online == 0


def test_silent_neighbour_is_not_counted_any_more(monkeypatch):
    # An entry loses power. Its requests are gone from the targets, and counted for
    # ever they would keep places empty.
    found, seen, _, news = make_neighbours()
    tell(found, 1, {"t": [5, 2]})
    peer = found.peers["other:2"]
    peer.heard_at -= neighbour.SILENT_S + 1
    found._drop_silent()
    assert (seen.peers_online, seen.peers_batch) == (0, 0)
    assert len(news) == 2
    tell(found, 0.5, {"t": [1, 0]})
    assert seen.peers_online == 1
    peer.heard_at -= neighbour.FORGET_S
    found._drop_silent()
    assert not found.peers


@pytest.mark.parametrize("jobs", [1, 6])
def test_batch_items_yield_to_the_requests_of_another_entry(jobs):
    # All places of a target run batch items, of one entry or of two. Requests come at
    # one entry; engines know no priority, so the items have to go before the requests
    # can start.
    server = replica.Replica(events=400, event_interval_s=0.02, slots=4)
    batch = platform_site.make_route("/lot/", "batch", run_target_ms=60_000)

    async def run():
        async with platform_site.open_site([server], [*ROUTES, batch], 2) as site:
            for job in range(jobs):
                items = [f"i{job}{n}" for n in range(6 // jobs)]
                body = orjson.dumps(
                    {"items": [{"id": name, "path": "/lot/1"} for name in items]}
                )
                name = f"j{job}"
                await site.call("POST", "/lot/x", body, X_Pimentowick_Request_Id=name)
            await wait.wait_for(lambda: server.running == 3, 10, 0.01)
            tasks = [asyncio.create_task(send(site, n)) for n in range(4)]
            await wait.wait_for(lambda: count_streams(server) == 4, 10, 0.01)
            await wait.wait_for(lambda: server.running == 4, 10, 0.01)
            for task in tasks:
                task.cancel()

    asyncio.run(run())


def count_streams(server):
    return sum(name.startswith("online") for name in server.runs)


async def send(site, number):
    await site.call(
        "POST",
        "/chat/1",
        b"x",
        1,
        X_Pimentowick_Request_Id=f"online{number}",
        X_Pimentowick_Deadline_Ms="9000",
    )


def test_entries_hear_of_each_other_through_relays(monkeypatch):
    # Many entries in two failure domains tell each other through one entry of each.
    # Not heard, a request's place would be given to others as well.
    monkeypatch.setattr(neighbour, "RELAYED_FROM", 1)
    server = replica.Replica(events=4000, event_interval_s=0.02)

    async def run():
        async with platform_site.open_site([server], ROUTES) as site:
            for domain in ("here", "there", "there", "here"):
                settings = platform_site.make_settings(
                    site.store.address, failure_domain=domain
                )
                await site.start_entry(settings)
            await wait.wait_for(
                lambda: all(len(each.neighbours.peers) == 4 for each in site.gateways),
                10,
                0.01,
            )
            for entry, online in ((4, 1), (2, 2)):
                task = asyncio.create_task(send_from(site, entry))
                await wait.wait_for(
                    lambda online=online: count_known(site) == {online}, 10, 0.01
                )
            task.cancel()
            await wait.wait_for(lambda: count_known(site) == {1}, 10, 0.01)

    asyncio.run(run())


def count_known(site):
    """Return the online requests at the target as the entries know them."""
    return {
        found.all_online
        for each in site.gateways
        for found in each.table.by_id.values()
    }


async def send_from(site, entry):
    await site.call(
        "POST",
        "/chat/1",
        b"x",
        entry,
        X_Pimentowick_Request_Id=f"online{entry}",
        X_Pimentowick_Deadline_Ms="60000",
    )


def test_entry_whose_items_give_way_is_told_at_once(monkeypatch):
    # Told by relays only, it would take its items off a tenth of a second later.
    monkeypatch.setattr(neighbour, "RELAYED_FROM", 1)
    found, seen, _, _ = make_neighbours()
    tell(found, 1, {"t": [0, 8]})
    tell(found, 1, {"t": [3, 0]}, sender="third:3")
    assert found._list_affected() == []
    seen.online = 1
    assert found._list_affected() == ["other:2"]
