"""Items that are owed while targets are idle, and states that must not hold them."""

import asyncio
import base64
import dataclasses
import time

import orjson
import pytest

from pimentowick.fakes import platform_site, replica, wait
from pimentowick.gateway import (
    content,
    execution,
    health,
    prefetch,
    record,
    runner,
    target,
    transcript,
    upstream,
)
from pimentowick.gateway.policy import outlier_detection, target_choice
from pimentowick.gateway.tests import test_job_api

ROUTE = platform_site.make_route(
    "/lot/", "batch", run_target_ms=20_000, retention_s=60, max_attempts=3
)
TEXT = "word 1\nword 2\nword 3"
WAIT_S = 20.0
POLL_S = 0.02


def run_with(check, servers=None, route=ROUTE, entries=1):
    servers = servers or [replica.Replica()]

    async def run():
        async with platform_site.open_site(servers, [route], entries) as site:
            await check(site)

    asyncio.run(run())


async def submit(site, job_id="job1", **changes):
    item = {
        "id": f"{job_id}-0",
        "path": "/lot/1",
        "headers": {"X-Pimentowick-Model": "m"},
        "body": base64.b64encode(b"x").decode(),
        "tokens": 10,
        **changes,
    }
    return await test_job_api.submit(site, orjson.dumps({"items": [item]}), job_id)


async def wait_for_state(site, state, job_id="job1"):
    async def is_listed():
        status, data = await test_job_api.read(site, job_id=job_id)
        return status == 200 and [row["state"] for row in data["results"]] == [state]

    await wait.wait_for(is_listed, WAIT_S, POLL_S)


def test_space_around_the_value_of_a_header_is_no_reason_to_refuse_an_item():
    async def check(site):
        headers = {"X-A": " one\t", "X-B": "", "X-C": "é"}
        assert (await submit(site, headers=headers)).status == 202
        await wait_for_state(site, "done")
        (sent,) = site.replicas[0].headers
        assert (sent["X-A"], sent["X-C"]) == ("one", "é")

    run_with(check)


def test_item_whose_run_ends_with_an_unexpected_error_is_not_run_in_a_hot_loop(
    monkeypatch,
):
    # Guards against an item that is started in each scheduling pass, and against one
    # that is forgotten.
    send = execution.send
    attempts = []

    async def fail_first(run, *args):
        if run.job.id == "job1" and len(attempts) < 2:
            attempts.append(run.not_before)
            raise UnicodeError("no way")
        return await send(run, *args)

    monkeypatch.setattr(execution, "send", fail_first)

    async def check(site):
        assert (await submit(site)).status == 202
        assert (await submit(site, "job2")).status == 202
        await wait_for_state(site, "done", "job2")
        await wait_for_state(site, "done")
        # It has waited in between.
        assert len(attempts) == 2
        assert attempts[1] > attempts[0]

    run_with(check)


def test_item_without_its_body_is_given_up_like_any_other(monkeypatch):
    # Guards against an item that stays open for good since its body can't be had.
    async def fail(*args, **kwargs):
        raise content.MissingError("gone")

    monkeypatch.setattr(prefetch.ContentPrefetcher, "_read_once", fail)

    async def check(site):
        assert (await submit(site)).status == 202
        await wait_for_state(site, "dead")

    run_with(check, route={**ROUTE, "retention_s": 1})


@pytest.mark.parametrize(
    "value",
    [
        b"[]",
        b"7",
        b"{}",
        b'{"after": null, "texts": 1, "last": "1"}',
        b'{"after": null, "texts": ["a"], "last": null}',
        b'{"after": [], "texts": ["a"], "last": "1"}',
        b'{"after": null, "texts": [1], "last": "1"}',
        b'{"after": null, "texts": ["a"], "last": "1", "origin": ["s"]}',
    ],
)
def test_malformed_checkpoint_does_not_keep_an_item_from_running(value):
    # Guards against one piece of text that ends the reading of a whole job.
    good = orjson.dumps({"after": None, "texts": ["a"], "last": "1", "origin": None})
    contents = {
        record.name_checkpoint(0, "bad"): value,
        record.name_checkpoint(0, "good"): good,
    }
    found = transcript.find_longest_text(contents, 0)
    assert found[1:3] == (["a"], "1")


def test_contents_are_read_again_after_an_unexpected_error():
    # Guards against a reader that has died, while its job waits for another change.
    async def run():
        read = asyncio.Event()
        attempts = []

        class Contents:
            async def read_all(self, job_id):
                return {}

        def on_read(job_id, contents):
            attempts.append(job_id)
            if len(attempts) == 1:
                raise KeyError("texts")
            read.set()

        class Job:
            id = "job1"
            is_open = True
            received_at = 0.0

        prefetcher = prefetch.ContentPrefetcher(Contents(), on_read)
        prefetcher.start_reading(Job(), 0)
        await asyncio.wait_for(read.wait(), WAIT_S)
        await prefetcher.close()

    asyncio.run(run())


def test_read_that_has_just_ended_is_not_taken_for_one_in_progress():
    # Guards against a run that was made as the read of its job ended, and whose body
    # nobody reads.
    async def run():
        reads = asyncio.Queue()

        class Contents:
            async def read_all(self, job_id):
                return {}

        class Job:
            id = "job1"
            is_open = True
            received_at = 0.0

        def on_read(job_id, contents):
            reads.put_nowait(job_id)
            if reads.qsize() == 1:
                # Runs after the task has ended, and before its callbacks.
                loop = asyncio.get_running_loop()
                loop.call_soon(prefetcher.start_reading, Job(), 0)

        prefetcher = prefetch.ContentPrefetcher(Contents(), on_read)
        prefetcher.start_reading(Job(), 0)
        await wait.wait_for(lambda: reads.qsize() == 2, WAIT_S, POLL_S)
        await prefetcher.close()

    asyncio.run(run())


async def beat(site, servers):
    """Register replicas again and again, as they do."""
    while True:
        for server in servers:
            site.register_replica(server)
        await asyncio.sleep(0.1)


@pytest.mark.parametrize("fault", ["reports_start", "reports_in_time"])
@pytest.mark.parametrize("has_begun", [False, True])
def test_item_is_done_by_targets_whose_run_is_never_confirmed(
    fault, has_begun, monkeypatch
):
    # Guards against a text that waits for a target of its version which is listed and
    # idle, and never gets it, as its reports don't say when it was started.
    monkeypatch.setattr(target, "CONFIRMATION_DELAY_S", 0.2)
    first, second = servers = [
        replica.Replica(f"i-{number}", started_ms=1000 + number) for number in range(2)
    ]
    first.holds_last_event = True
    setattr(second, fault, False)

    async def check(site):
        if has_begun:
            # Only the first one is listed as the item begins.
            site.store.put("keyed.servers", second.id, b"")
            table = site.gateways[0].table
            await wait.wait_for(lambda: second.id not in table.by_id, WAIT_S, POLL_S)
            assert (await submit(site)).status == 202
            (run,) = await wait.wait_for(
                lambda: [
                    run
                    for run in site.gateways[0].runner.list_runs()
                    if run.transcript.count_events() == 2
                ],
                WAIT_S,
                POLL_S,
            )
            assert run.transcript.origin.software_version == "v1"
        site.store.put("keyed.servers", first.id, b"")
        await first.close()
        beats = asyncio.create_task(beat(site, [second]))
        second.holds_last_event = True
        try:
            if not has_begun:
                assert (await submit(site)).status == 202
            (run,) = await wait.wait_for(
                site.gateways[0].runner.list_runs, WAIT_S, POLL_S
            )
            await wait.wait_for(lambda: second.runs, WAIT_S, POLL_S)
            await wait.wait_for(lambda: run.events_generated >= 2, WAIT_S, POLL_S)
            # The next run is asked again.
            await wait.wait_for(lambda: not run.unconfirmed, WAIT_S, POLL_S)
            second.release.set()
            await wait_for_state(site, "done")
        finally:
            beats.cancel()

    run_with(check, servers)


@pytest.mark.parametrize("has_shared_hosts", [False, True])
def test_item_runs_at_the_only_slot_of_its_service(has_shared_hosts):
    # Guards against unused slots for online requests that are all there are.
    server = replica.Replica(slots=1)
    server.slowdown = 100 if has_shared_hosts else None

    async def check(site):
        if has_shared_hosts:
            site.gateways[0].table.record_shared_hosts(platform_site.SERVICE)
        assert (await submit(site)).status == 202
        await wait_for_state(site, "done")

    run_with(check, [server])


def test_text_goes_on_at_the_only_slot_of_its_version():
    # Guards against the same among the targets that may go on with a text.
    table = target.TargetTable()
    registration = target.Registration("t", "s", "127.0.0.1", 1, "a", 1)
    table.put(registration)
    targets = table.list_targets("s")
    for size, capacity in ((1, 1), (2, 1), (8, 7), (50, 47)):
        table.put(dataclasses.replace(registration, slots=size))
        assert target_choice.count_batch_capacity(targets, 0.0) == capacity
    assert target_choice.count_batch_capacity([], 0.0) == 0
    targets[0].online = 49
    assert target_choice.count_batch_capacity(targets, 0.0) == 0


def make_unreachable():
    return upstream.Outcome(upstream.End.NOT_RUN, "connect_OSError", connected=False)


def test_target_that_is_unreachable_for_long_is_paused_like_before():
    # Guards against a pause that is computed from a count without bound.
    table = target.TargetTable()
    table.put(target.Registration("t", "s", "127.0.0.1", 1, "a", 8))
    (listed,) = table.list_targets("s")
    listed.failures = 5000
    checks = health.Health(outlier_detection.OutlierDetection("a"))
    checks.observe_outcome(listed, make_unreachable())
    pause_s = listed.paused_until - time.monotonic()
    assert 0 < pause_s <= health.MAX_BACKOFF_S


def test_item_that_fails_for_long_goes_on_waiting_like_before(monkeypatch):
    # Guards against the same for an item.
    server = replica.Replica()
    server.planned_behaviours = [replica.Behaviour("vanish")]
    errors = []

    async def check(site):
        item_runner = site.gateways[0].runner
        handle_outcome = item_runner._handle_outcome

        async def handle_late_failure(run, *args):
            if not run.failures:
                run.failures = 5000
            try:
                await handle_outcome(run, *args)
            except OverflowError as error:
                errors.append(error)
                raise

        monkeypatch.setattr(item_runner, "_handle_outcome", handle_late_failure)
        assert (await submit(site)).status == 202
        await wait_for_state(site, "done")
        assert server.requests == 2
        assert not errors

    run_with(check, [server])


@pytest.mark.parametrize("fault", ["unreachable", "resting"])
def test_text_does_not_wait_for_its_version_while_other_targets_are_idle(
    fault, monkeypatch
):
    # Guards against an item whose version runs only at a target that is listed and gets
    # no work, as in a release.
    monkeypatch.setattr(runner, "MAX_VERSION_WAIT_S", 0.5, raising=False)
    first, second = servers = [
        replica.Replica("i-0", version="v1"),
        replica.Replica("i-1", version="v2"),
    ]
    first.holds_last_event = True

    async def check(site):
        (gateway,) = site.gateways
        site.store.put("keyed.servers", second.id, b"")
        await wait.wait_for(
            lambda: second.id not in gateway.table.by_id, WAIT_S, POLL_S
        )
        assert (await submit(site)).status == 202
        await wait.wait_for(
            lambda: [
                run
                for run in gateway.runner.list_runs()
                if run.transcript.count_events() == 2
            ],
            WAIT_S,
            POLL_S,
        )
        site.register_replica(second)
        await wait.wait_for(lambda: second.id in gateway.table.by_id, WAIT_S, POLL_S)
        if fault == "unreachable":
            await first.close()
        else:
            gateway.table.by_id[first.id].paused_until = time.monotonic() + 600
            first.crash()
        await wait_for_state(site, "done")
        assert second.runs == {"job1-0": 1}

    run_with(check, servers)


def test_text_goes_on_at_its_version_after_a_refusal_and_a_busy_time(monkeypatch):
    # Guards against a text that is thrown away although a target of its version has an
    # unused slot: time in which no target at all had one is no time in which others
    # had room.
    monkeypatch.setattr(runner, "MAX_VERSION_WAIT_S", 0.5)
    server = replica.Replica("i-0", version="v1")
    server.holds_last_event = True

    async def check(site):
        (gateway,) = site.gateways
        listed = gateway.table.by_id[server.id]
        handle_outcome = gateway.runner._handle_outcome

        async def fill_after_refusal(run, outcome, sink):
            await handle_outcome(run, outcome, sink)
            if outcome.is_refusal:
                listed.online += listed.slots

        monkeypatch.setattr(gateway.runner, "_handle_outcome", fill_after_refusal)
        assert (await submit(site)).status == 202
        (run,) = await wait.wait_for(
            lambda: [
                run
                for run in gateway.runner.list_runs()
                if run.transcript.count_events() == 2
            ],
            WAIT_S,
            POLL_S,
        )
        server.planned_behaviours = [replica.Behaviour("refuse")]
        for connection in list(server.fault_injector.connections):
            connection.close()
        await wait.wait_for(lambda: listed.online == listed.slots, WAIT_S, POLL_S)
        refused_at = time.monotonic()
        await wait.wait_for(
            lambda: time.monotonic() - refused_at > 2 * runner.MAX_VERSION_WAIT_S,
            WAIT_S,
            POLL_S,
        )
        assert run.transcript.count_events() == 2
        listed.online -= listed.slots
        server.release.set()
        await wait_for_state(site, "done")
        assert server.headers[-1].get("Last-Event-Id") == "2"

    run_with(check, [server])
