import asyncio
import base64
import time

import orjson
import pytest

from pimentowick import exception
from pimentowick.fakes import faults, platform_site, replica, wait
from pimentowick.gateway import daemon, record, route_removal, runner

BATCH = platform_site.make_route(
    "/lot/",
    "batch",
    run_target_ms=20_000,
    retention_s=60,
    max_attempts=3,
    max_count=1000,
)
ROUTES = [BATCH, platform_site.make_route("/chat/", "stream", resumable=True)]
TEXT = "word 1\nword 2\nword 3"


def make_body(count, tokens=10, size=4):
    items = [
        {
            "id": f"item{number}",
            "path": f"/lot/{number}",
            "headers": {"X-Pimentowick-Model": "m"},
            "body": base64.b64encode(b"x" * size).decode(),
            "tokens": tokens,
        }
        for number in range(count)
    ]
    return orjson.dumps({"items": items})


async def submit(site, body, job_id="job1", entry=0):
    return await site.call(
        "POST", "/lot/new", body, entry, X_Pimentowick_Request_Id=job_id
    )


async def read(site, after=0, entry=0, job_id="job1"):
    answer = await site.call("GET", f"/-/lots/{job_id}?after={after}", entry=entry)
    return answer.status, orjson.loads(answer.body)


async def read_all(site, count, entry=0):
    async def is_listed():
        status, data = await read(site, entry=entry)
        return data["results"] if status == 200 and data["next"] == count else None

    return await wait.wait_for(is_listed, 20, 0.02)


def list_last_events(site, entry=0):
    runs = site.gateways[entry].runner.list_runs()
    return [run.transcript.last_event for run in runs]


def run_with(replicas, check, entries=1):
    async def run():
        async with platform_site.open_site(replicas, ROUTES, entries) as site:
            await check(site)

    asyncio.run(run())


def test_results_are_the_same_at_all_entries():
    async def check(site):
        assert (await submit(site, make_body(5))).status == 202
        first = await read_all(site, 5)
        second = await read_all(site, 5, entry=1)
        assert first == second
        assert {row["text"] for row in first} == {TEXT}
        status, page = await read(site, after=2, entry=1)
        assert (status, page["results"]) == (200, first[2:])

    run_with([replica.Replica()], check, entries=2)


def test_retried_submission_is_accepted_once():
    # The caller retries the submission at another entry.
    server = replica.Replica()

    async def check(site):
        body = make_body(3)
        statuses = await asyncio.gather(
            *(submit(site, body, entry=n % 2) for n in range(6))
        )
        assert {answer.status for answer in statuses} == {202}
        results = await read_all(site, 3)
        assert len({row["id"] for row in results}) == 3

    run_with([server], check, entries=2)


def test_append_with_a_lost_answer_records_the_job_once():
    # The append succeeds but its acknowledgement is lost. A retry must not duplicate
    # the job, and a refusal would be wrong since the job runs.
    async def check(site):
        site.store.fault_injector.inject(
            faults.Fault("lose_answer", count=2, path="/-/log-append")
        )
        assert (await submit(site, make_body(2))).status == 202
        await read_all(site, 2)
        jobs = [
            record
            for (topic, _), partition in site.store.partitions.items()
            for record in partition.records
            if topic == "keyed.jobs" and record[1:3] == b"j/"
        ]
        assert len(jobs) == 1

    run_with([replica.Replica()], check)


def test_append_in_doubt_is_not_reported_as_refused():
    # The store hangs and may apply the append later. A 503 would promise that the job
    # never runs.
    async def check(site):
        contents = site.gateways[0].storage.contents
        put = contents.put

        async def put_before_the_store_falls_silent(*args):
            written = await put(*args)
            site.store.append_delay_s = 60.0
            return written

        contents.put = put_before_the_store_falls_silent
        answer = await submit(site, make_body(2))
        assert answer.status == 504

    run_with([replica.Replica()], check)


def test_job_is_refused_while_the_store_rejects_appends():
    # The store rejects appends with 503 and has not applied them.
    async def check(site):
        site.store.fault_injector.inject(faults.Fault("down", path="/-/log-append"))
        assert (await submit(site, make_body(2))).status == 503
        site.store.fault_injector.inject(faults.Fault("clear"))
        status, _ = await read(site)
        assert status == 404

    run_with([replica.Replica()], check)


def test_jobs_beyond_the_quota_are_refused():
    async def check(site):
        servers = site.replicas
        servers[0].event_interval_s = 5.0
        assert (await submit(site, make_body(9, tokens=100))).status == 202
        assert (await submit(site, make_body(2, tokens=100), "job2")).status == 429
        assert (await submit(site, make_body(9, tokens=100))).status == 202

    run_with([replica.Replica()], check)


def test_accepted_job_is_not_refused_by_the_quota_that_it_fills():
    # The caller submits the job again, at an entry that has not read the first
    # submission yet and still counts the items of a cancelled job.
    async def check(site):
        site.replicas[0].event_interval_s = 5.0
        assert (await submit(site, make_body(9, tokens=100), "before")).status == 202
        other = site.gateways[1]
        jobs = other.storage.job_table.jobs
        await wait.wait_for(lambda: "before" in jobs, 10, 0.01)
        for name in ("ownership", "take over", "feed jobs", "feed outcomes"):
            other._supervisor.stop_child(name)
        assert (await site.call("DELETE", "/-/lots/before")).status == 200
        assert (await submit(site, make_body(9, tokens=100))).status == 202
        assert "job1" not in jobs
        assert (await submit(site, make_body(9, tokens=100), entry=1)).status == 202

    run_with([replica.Replica()], check, entries=2)


def test_interrupted_run_resumes_after_its_last_event():
    # A target crashes in the middle of an event. The item resumes after the last whole
    # event, and no event is duplicated or lost.
    server = replica.Replica()
    server.planned_behaviours = [
        replica.Behaviour(cut_after=2, partial_event=True, awaits_release=True),
        replica.Behaviour("fail"),
    ]

    async def check(site):
        await submit(site, make_body(1))
        await wait.wait_for(lambda: "2" in list_last_events(site), 10, 0.01)
        server.release.set()
        results = await read_all(site, 1)
        assert results == [{"id": "item0", "state": "done", "text": TEXT}]
        assert server.headers[-1]["Last-Event-Id"] == "2"

    run_with([server], check)


@pytest.mark.parametrize(("kind", "runs"), [("fail", 3), ("impossible", 1)])
def test_item_that_always_fails_is_given_up(kind, runs):
    # Without a limit, an item that always fails would occupy a slot indefinitely.
    server = replica.Replica()
    server.planned_behaviours = [replica.Behaviour(kind) for _ in range(10)]

    async def check(site):
        await submit(site, make_body(1))
        results = await read_all(site, 1)
        assert results[0]["state"] == "dead"
        assert server.runs == {"item0": runs}

    run_with([server], check)


def test_cancelled_job_stops_and_keeps_its_results():
    # The job is cancelled at an entry that does not run it.
    server = replica.Replica(events=400, event_interval_s=0.02)

    async def check(site):
        await submit(site, make_body(4))
        await wait.wait_for(lambda: server.running == 4, 10, 0.01)
        for entry in (0, 1, 1):
            answer = await site.call("DELETE", "/-/lots/job1", entry=entry)
            assert answer.status == 200
        await wait.wait_for(lambda: server.running == 0, 10, 0.01)
        status, page = await read(site, entry=1)
        assert (status, page["total"]) == (200, 4)

    run_with([server], check, entries=2)


def test_body_of_an_item_can_be_read_until_it_has_a_result():
    server = replica.Replica(events=400, event_interval_s=0.02)

    async def check(site):
        body = make_body(1, size=600_000)
        assert (await submit(site, body)).status == 202
        answer = await site.call("GET", "/-/items/job1?id=item0", entry=1)
        assert (answer.status, answer.body) == (200, b"x" * 600_000)
        assert (await site.call("GET", "/-/items/job1?id=none")).status == 404

    run_with([server], check, entries=2)


def test_job_of_another_host_is_not_found():
    # A job can be read only under the host header of its submission.
    async def check(site):
        await submit(site, make_body(1))
        answer = await site.client.fetch(
            "GET",
            site.gateways[0].settings.callers_address,
            "/-/lots/job1",
            headers={"Host": "other.example"},
        )
        assert answer.status == 404

    run_with([replica.Replica()], check)


@pytest.mark.parametrize("submitted_as", ["desk.example", "Desk.Example:8080"])
@pytest.mark.parametrize("read_as", ["desk.example", "DESK.example", "desk.example:80"])
def test_job_is_found_under_each_form_of_its_host(submitted_as, read_as):
    # A route is found whatever the letter case and the port are, but its job was not.
    server = replica.Replica()

    async def check(site):
        answer = await site.call(
            "POST",
            "/lot/new",
            make_body(1),
            X_Pimentowick_Request_Id="job1",
            Host=submitted_as,
        )
        assert answer.status == 202
        answer = await site.call("GET", "/-/lots/job1", Host=read_as)
        assert answer.status == 200
        await read_all(site, 1)
        assert server.headers[-1]["Host"] == platform_site.HOST

    run_with([server], check)


def test_quota_counts_jobs_under_each_form_of_their_host():
    async def check(site):
        site.replicas[0].event_interval_s = 5.0
        assert (await submit(site, make_body(9, tokens=100))).status == 202
        answer = await site.call(
            "POST",
            "/lot/new",
            make_body(2, tokens=100),
            X_Pimentowick_Request_Id="job2",
            Host="DESK.example",
        )
        assert answer.status == 429

    run_with([replica.Replica()], check)


def test_page_of_texts_that_grow_as_they_are_encoded_is_limited():
    # Quotation marks take two bytes in JSON; a page had nearly twice its maximum size.
    async def check(site):
        (gateway,) = site.gateways
        (target,) = gateway.table.list_targets("lm")
        target.paused_until = float("inf")
        assert (await submit(site, make_body(4))).status == 202
        storage = gateway.storage
        job = storage.job_table.jobs["job1"]
        texts = {record.name_text(number, "w"): b'"' * 250_000 for number in range(4)}
        written = await storage.contents.put("job1", texts, 5)
        results = [
            record.make_result("job1", number, "w", True, text)
            for number, text in enumerate(written.values())
        ]
        await storage.outcomes.put(lambda: [] if job.results else results, 5)
        after = 0
        while after < 4:
            answer = await site.call("GET", f"/-/lots/job1?after={after}")
            assert len(answer.body) <= 1_000_000
            page = orjson.loads(answer.body)
            assert page["next"] == after + len(page["results"]) > after
            assert {row["text"] for row in page["results"]} == {'"' * 250_000}
            after = page["next"]

    run_with([replica.Replica()], check)


def test_unknown_job_is_503_while_the_store_is_unavailable():
    # Another entry may have accepted the job during the outage.
    async def check(site):
        site.store.fault_injector.inject(faults.Fault("down"))
        status, _ = await read(site)
        assert status == 503

    run_with([replica.Replica()], check)


def test_another_entry_resumes_from_the_checkpoints():
    # The entry that runs the items drains; the next owner resumes from the checkpoints.
    server = replica.Replica(events=60, event_interval_s=0.02)

    async def check(site):
        await submit(site, make_body(8))

        def find_running():
            for number in range(2):
                if any(list_last_events(site, number)):
                    return [number]

        (entry,) = await wait.wait_for(find_running, 10, 0.01)
        await asyncio.wait_for(site.gateways[entry].drain(), 20)
        results = await read_all(site, 8, entry=1 - entry)
        expected_text = "\n".join(f"word {n}" for n in range(1, 61))
        assert {row["text"] for row in results} == {expected_text}
        assert any("Last-Event-Id" in headers for headers in server.headers)

    run_with([server], check, entries=2)


def test_new_entry_loads_all_jobs_from_a_snapshot():
    # The log is truncated before the new entry starts.
    async def check(site):
        await submit(site, make_body(3))
        first = await read_all(site, 3)
        for partition in site.store.partitions.values():
            partition.trim(partition.end)
        await site.start_entry()
        assert await read_all(site, 3, entry=1) == first

    run_with([replica.Replica()], check)


def test_bodies_are_deleted_and_results_kept_after_completion():
    # Bodies are most of the stored bytes and are not needed once an item has a result.
    async def check(site):
        assert (await submit(site, make_body(4, size=5000))).status == 202
        results = await read_all(site, 4)

        def list_unneeded_keys():
            return [
                key
                for partition in site.store.partitions.values()
                for key in partition.newest
                if key.startswith(("job1/b/", "job1/t/"))
            ]

        await wait.wait_for(lambda: not list_unneeded_keys(), 10, 0.01)
        fresh = await site.start_entry()
        number = site.gateways.index(fresh)
        assert await read_all(site, 4, entry=number) == results
        status, data = await read(site, after=4, entry=number)
        assert (status, data["results"]) == (200, [])

    run_with([replica.Replica()], check)


class UnreadableStore:
    """A store whose reads fail."""

    async def read(self, *args):
        raise exception.LogError("store unavailable")

    read_newest = read


def test_job_is_refused_while_not_all_jobs_are_read():
    # An entry is ready for online requests before all jobs are loaded; the quota cannot
    # be checked yet. The jobs are unreadable from the start, so that no read is under
    # way.
    async def check(site):
        def make_jobs_unreadable(gateway):
            gateway.storage.accepted.feed.store = UnreadableStore()

        gateway = await site.start_entry(prepare=make_jobs_unreadable)
        followed = gateway.storage.accepted.feed
        assert gateway.is_ready
        answer = await submit(site, make_body(1), entry=1)
        assert answer.status == 503
        assert orjson.loads(answer.body)["error"]["verdict"] == "not_run"
        assert followed.end is None
        followed.store = gateway.store
        await wait.wait_for(lambda: followed.end is not None, 20, 0.01)
        assert (await submit(site, make_body(1), entry=1)).status == 202

    run_with([replica.Replica()], check)


def test_items_of_a_removed_route_are_given_up_after_the_grace_period(monkeypatch):
    # The items can never run. Without a result, readers would wait indefinitely.
    monkeypatch.setattr(route_removal, "GRACE_S", 0.2)
    monkeypatch.setattr(runner, "REMOVED_ROUTES_INTERVAL_S", 0.05)

    async def check(site):
        server = site.replicas[0]
        server.planned_behaviours = [replica.Behaviour("silent")] * 9
        assert (await submit(site, make_body(2))).status == 202
        site.publish([route for route in ROUTES if route is not BATCH])
        results = await read_all(site, 2)
        assert [row["state"] for row in results] == ["dead", "dead"]

    run_with([replica.Replica()], check)


def test_accepted_job_is_confirmed_after_its_route_is_removed():
    # The caller submits the job again; a 404 would tell it that the job is lost.
    async def check(site):
        site.replicas[0].event_interval_s = 5.0
        assert (await submit(site, make_body(2))).status == 202
        site.publish([route for route in ROUTES if route is not BATCH])
        for gateway in site.gateways:
            await wait.wait_for(
                lambda gateway=gateway: len(gateway.configuration.current.routes) == 1,
                10,
                0.01,
            )
            jobs = gateway.storage.job_table.jobs
            await wait.wait_for(lambda jobs=jobs: "job1" in jobs, 10, 0.01)
        for entry in range(2):
            again = await submit(site, make_body(2), entry=entry)
            assert again.status == 202
            other = await submit(site, make_body(2), "job2", entry=entry)
            assert other.status == 404

    run_with([replica.Replica()], check, entries=2)


def test_jobs_run_after_their_route_is_restored():
    async def check(site):
        site.publish([route for route in ROUTES if route is not BATCH])
        await wait.wait_for(
            lambda: len(site.gateways[0].configuration.current.routes) == 1, 10, 0.01
        )
        site.publish(ROUTES)
        await wait.wait_for(
            lambda: len(site.gateways[0].configuration.current.routes) == 2, 10, 0.01
        )
        assert (await submit(site, make_body(2))).status == 202
        results = await read_all(site, 2)
        assert [row["state"] for row in results] == ["done", "done"]

    run_with([replica.Replica()], check)


async def start_unrecorded_item(site, server):
    """Return the gateway where an item has completed during an outage of the store."""
    # The item must complete after the outage began, or its result would be recorded.
    server.holds_last_event = True
    assert (await submit(site, make_body(1))).status == 202
    await wait.wait_for(lambda: server.running, 10, 0.005)
    site.store.fault_injector.inject(faults.Fault("down"))
    server.release.set()

    def find():
        for gateway in site.gateways:
            if any(run.is_complete for run in gateway.runner.list_runs()):
                return gateway

    return await wait.wait_for(find, 10, 0.005)


def test_item_completed_in_an_outage_is_recorded_after_its_partition_is_lost():
    # Partitions are reassigned when the store recovers. The completed text must not be
    # discarded, or the item would run again.
    server = replica.Replica(events=10, event_interval_s=0.02)

    async def check(site):
        batch_runner = (await start_unrecorded_item(site, server)).runner
        batch_runner.set_partitions(frozenset())
        assert batch_runner.recording_partitions
        site.store.fault_injector.inject(faults.Fault("clear"))
        (row,) = await read_all(site, 1)
        assert row["state"] == "done"
        assert server.runs == {"item0": 1}
        await wait.wait_for(lambda: not batch_runner.recording_partitions, 10, 0.005)

    run_with([server], check)


def test_draining_entry_records_results_after_an_outage():
    # A drain outlasts a short outage of the store. Otherwise all items that completed
    # at this entry would run again.
    server = replica.Replica(events=10, event_interval_s=0.02)

    async def check(site):
        gateway = await start_unrecorded_item(site, server)
        draining = asyncio.create_task(gateway.drain())
        await wait.wait_for(lambda: gateway.runner.recording_partitions, 10, 0.005)
        await asyncio.wait({draining}, timeout=daemon.BALANCER_REMOVAL_S + 0.2)
        assert not draining.done()
        site.store.fault_injector.inject(faults.Fault("clear"))
        await asyncio.wait_for(draining, 20)
        (row,) = await read_all(site, 1, entry=1 - site.gateways.index(gateway))
        assert row["state"] == "done"
        assert server.runs == {"item0": 1}

    run_with([server], check, entries=2)


def test_cut_off_entry_refuses_jobs_at_once():
    # Only one entry is rejected by the store. It must refuse at once, so that callers
    # retry elsewhere within their timeouts.
    async def check(site):
        gateway = site.gateways[0]
        assert (await submit(site, make_body(1), "known", entry=1)).status == 202
        jobs = gateway.storage.job_table.jobs
        await wait.wait_for(lambda: "known" in jobs, 10, 0.01)
        gateway._supervisor.stop_child("ownership")
        site.store.fault_injector.inject(faults.Fault("stall"))
        reachability = gateway.ownership._reachability
        reachability.observe_peers = lambda now, peers_renewed_at: False
        reachability._peers_observed_at, reachability._is_confirmed = (
            time.monotonic(),
            True,
        )
        gateway.store.last_contact_at = float("-inf")
        answer = await asyncio.wait_for(submit(site, make_body(2)), 5)
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) < 0.1
        # A retried submission of an accepted job needs no store.
        assert (await submit(site, make_body(1), "known")).status == 202
        status, _ = await read(site, after=9, job_id="unknown")
        assert status == 503
        site.store.fault_injector.inject(faults.Fault("clear"))
        assert (await submit(site, make_body(2), entry=1)).status == 202

    run_with([replica.Replica()], check, entries=2)
