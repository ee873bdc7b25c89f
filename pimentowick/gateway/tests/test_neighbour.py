import asyncio

import orjson
import pytest

from pimentowick.fakes import platform_site, replica, wait
from pimentowick.gateway import admission, load_report, target
from pimentowick.gateway.policy import outlier_detection, quota, report_relay
from pimentowick.routing import quarantine

ROUTES = [platform_site.make_route("/chat/", "stream", resumable=True)]


def make_load_reporter():
    table = target.TargetTable(
        on_added=lambda target_id: load_reporter.update_target_load(target_id)
    )
    queue = admission.Admission(table, "a")
    changes = []
    load_reporter = load_report.LoadReporter(
        "me:1",
        report_relay.ReportRelay("me:1", "a", 100.0),
        table,
        queue,
        outlier_detection.OutlierDetection("a"),
        quota.SharedQuota(),
        lambda: changes.append(1),
    )
    table.put(target.Registration("t", "s", "127.0.0.1", 1, "a", 8))
    return load_reporter, table.by_id["t"], queue, changes


def receive_report(load_reporter, number, loads, waiting=None, sender="other:2"):
    data = {"from": sender, "number": number, "loads": loads, "pending": {}}
    data["waiting"] = waiting or {}
    load_reporter.datagram_received(orjson.dumps(data), ("other", 2))


def test_loads_of_neighbours_are_summed():
    load_reporter, known_target, queue, changes = make_load_reporter()
    receive_report(load_reporter, 1, {"t": [2, 1]}, {"s": 3})
    receive_report(load_reporter, 1, {"t": [1, 0]}, sender="third:3")
    assert (known_target.peers_online, known_target.peers_batch) == (3, 1)
    assert queue.peers_waiting["s"] == 3
    assert load_reporter.get_peer_batch_counts("t") == {"other:2": 1}
    assert len(changes) == 2


def test_shares_of_a_peer_are_told_and_removed_with_it():
    # Guards against the work of a peer that counts after the peer is gone.
    load_reporter, _, queue, _ = make_load_reporter()
    rows = {"work": {"w": [3, 1]}, "queue": [[[0, 0], 0, 0, 1]]}
    data = {"from": "other:2", "number": 1, "shares": {"s": rows}}
    load_reporter.datagram_received(orjson.dumps(data), ("other", 2))
    (state,) = queue.sharing.collect_workspaces()
    assert (state.name, state.held) == ("w", 3.0)
    report = queue.sharing.build_report(0.0)
    assert report == {}
    garbled = data | {"number": 2, "shares": {"s": {"work": {"w": ["x", 1]}}}}
    load_reporter.datagram_received(orjson.dumps(garbled), ("other", 2))
    load_reporter.remove("other:2")
    assert queue.sharing.collect_workspaces() == []


def test_load_reported_before_a_target_is_listed_is_applied():
    # Other entries use a new target before this one lists it, and their reports stay
    # unchanged for seconds while batch items run there.
    load_reporter, *_ = make_load_reporter()
    receive_report(load_reporter, 1, {"t": [0, 2], "new": [1, 4]})
    registration = target.Registration("new", "s", "127.0.0.1", 2, "a", 8)
    load_reporter._table.put(registration)
    receive_report(load_reporter, 2, {"t": [0, 2], "new": [1, 4]})
    new = load_reporter._table.by_id["new"]
    assert (new.peers_online, new.peers_batch) == (1, 4)


def test_reordered_datagrams_are_ignored():
    load_reporter, known_target, _, _ = make_load_reporter()
    receive_report(load_reporter, 2, {"t": [5, 0]})
    receive_report(load_reporter, 1, {"t": [1, 0]})
    assert known_target.peers_online == 5


def test_malformed_datagrams_change_nothing():
    load_reporter, known_target, _, _ = make_load_reporter()
    for data in (b"", b"[]", b"{}", b'{"from": 1, "number": "x", "loads": 3}'):
        load_reporter.datagram_received(data, ("other", 2))
    assert known_target.peers_online == 0


def test_crashes_reported_by_a_neighbour_are_merged():
    # Another entry lost runs of a request with their targets. Malformed rows must not
    # prevent later reports from being applied.
    load_reporter, known_target, _, _ = make_load_reporter()
    merged = []
    load_reporter.merge_crash_report = merged.append
    for number, crashes in enumerate(({"f": ["t@1"]}, {"f": 3}, 3), 1):
        data = {"from": "other:2", "number": number, "crashes": crashes, "loads": {}}
        load_reporter.datagram_received(orjson.dumps(data), ("other", 2))
    assert merged == [quarantine.Report({"f": ["t@1"]}, {})]
    receive_report(load_reporter, 4, {"t": [1, 0]})
    assert known_target.peers_online == 1


def test_load_of_silent_neighbour_is_removed(monkeypatch):
    # If the load of a failed entry stayed counted, its slots would stay unused.
    load_reporter, known_target, _, changes = make_load_reporter()
    receive_report(load_reporter, 1, {"t": [5, 2]})
    peer = load_reporter.peers["other:2"]
    peer.last_heard_at -= load_report.PEER_HEARTBEAT_TIMEOUT_S + 1
    load_reporter._remove_silent()
    assert (known_target.peers_online, known_target.peers_batch) == (0, 0)
    assert len(changes) == 2
    receive_report(load_reporter, 0.5, {"t": [1, 0]})
    assert known_target.peers_online == 1
    peer.last_heard_at -= load_report.PEER_EXPIRY_S
    load_reporter._remove_silent()
    assert not load_reporter.peers


def test_removed_neighbour_is_not_counted_as_silent():
    # Limits of workspaces would be divided as in a partition.
    load_reporter, *_ = make_load_reporter()
    receive_report(load_reporter, 1, {"t": [1, 0]})
    assert set(load_reporter._quotas._peers_heard_at) == {"other:2"}
    load_reporter.remove("other:2")
    assert not load_reporter._quotas._peers_heard_at


@pytest.mark.parametrize("jobs", [1, 6])
def test_batch_items_yield_to_the_requests_of_another_entry(jobs):
    # All slots of a target run batch items, of one entry or of two, and online requests
    # arrive at one entry. Engines have no priorities, so the items must be preempted
    # before the requests can start.
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


def test_entries_exchange_reports_through_relays(monkeypatch):
    # Entries in two failure domains exchange reports through one relay in each. If a
    # report were lost, a slot in use would be assigned again.
    monkeypatch.setattr(load_report, "RELAY_MIN_PEERS", 1)
    server = replica.Replica(events=4000, event_interval_s=0.02)

    async def run():
        async with platform_site.open_site([server], ROUTES) as site:
            for domain in ("here", "there", "there", "here"):
                settings = platform_site.make_settings(
                    site.store.address, failure_domain=domain
                )
                await site.start_entry(settings)
            await wait.wait_for(
                lambda: all(
                    len(each.load_reporter.peers) == 4 for each in site.gateways
                ),
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
    """Return the distinct numbers of online requests that the entries know of."""
    return {
        found.total_online
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


def test_entry_with_items_to_preempt_gets_reports_directly(monkeypatch):
    # Through relays only, it would preempt its items a tenth of a second later.
    monkeypatch.setattr(load_report, "RELAY_MIN_PEERS", 1)
    load_reporter, known_target, _, _ = make_load_reporter()
    receive_report(load_reporter, 1, {"t": [0, 8]})
    receive_report(load_reporter, 1, {"t": [3, 0]}, sender="third:3")
    assert load_reporter._list_preempted_peers() == []
    known_target.online = 1
    assert load_reporter._list_preempted_peers() == ["other:2"]
