"""Cancellation of jobs under failures of the owner, the log and the agents."""

import pytest

from pimentowick import exception
from pimentowick.batch import record as batch_record
from pimentowick.entry.tests import durability
from pimentowick.fakes import embedded, faults, relay

ENGINE = {"base_step_ms": 10}
CANCEL_TIMEOUT_S = 15.0
ITEMS = 400


async def start_job(fleet):
    """Submit a long job; return its id, its owner and the owner's `LogInterceptor`."""
    interceptors = durability.intercept_logs(fleet)
    answer = await fleet.submit(embedded.make_job_lines(ITEMS, 30), "k")
    job_id = answer.decode()["id"]
    await fleet.wait_for(lambda: durability.get_runs(fleet, job_id))
    owner = durability.find_owner(fleet, job_id)
    return job_id, owner, interceptors[owner]


def get_other(fleet, name):
    return next(other for other in fleet.entries if other != name)


async def cancel_job(fleet, job_id, entry):
    """Cancel a job; return the runs of its items and its request counts."""
    path = f"/v1/batches/{job_id}/cancel"
    answer = await fleet.fetch(
        "POST", path, {}, entry=entry, timeout_s=CANCEL_TIMEOUT_S
    )
    assert answer.status == 200 and answer.decode()["status"] == "cancelled"
    runs = durability.get_runs(fleet, job_id)
    counts = answer.decode()["request_counts"]
    assert counts["pending"] > 0
    return runs, counts


async def check_still_stopped(fleet, job_id, entry, runs, counts):
    other = await fleet.submit(
        embedded.make_job_lines(40, prefix="next"), "next", entry=entry
    )
    await fleet.wait_for_job(other.decode()["id"], entry=entry)
    assert durability.get_runs(fleet, job_id) == runs
    answer = await fleet.fetch("GET", f"/v1/batches/{job_id}", entry=entry)
    assert answer.decode()["request_counts"] == counts


def test_owner_is_dead():
    """The job is cancelled after its owner crashed while items were running. Once the
    response is sent, the next owner must not start or complete any item.
    """

    async def check(fleet):
        job_id, owner, _ = await start_job(fleet)
        other = get_other(fleet, owner)
        await fleet.crash(owner)
        runs, counts = await cancel_job(fleet, job_id, other)
        await check_still_stopped(fleet, job_id, other, runs, counts)

    durability.run(check, engine_settings=ENGINE)


def test_owner_cannot_read_the_log():
    """The owner's reads of the log hang, so that it does not see the cancellation
    through another entry until later.
    """

    async def check(fleet):
        job_id, owner, interceptor = await start_job(fleet)
        interceptor.reads.clear()
        other = get_other(fleet, owner)
        runs, counts = await cancel_job(fleet, job_id, other)
        interceptor.reads.set()
        await check_still_stopped(fleet, job_id, other, runs, counts)
        copies = [
            e.table.find(job_id).ledger.jobs[job_id] for e in fleet.entries.values()
        ]
        assert copies[0].refs == copies[1].refs

    durability.run(check, engine_settings=ENGINE)


def test_superseded_owner_keeps_running():
    """Another entry has claimed the shard, but the previous owner does not know it. The
    cancellation has to stop the items of the previous owner, too.
    """

    async def check(fleet):
        job_id, owner, interceptor = await start_job(fleet)
        interceptor.reads.clear()
        other = get_other(fleet, owner)
        shard = fleet.entries[other].table.find(job_id)
        claim = batch_record.make_claim(
            shard.ledger.epoch + 1, fleet.entries[other].owner, 0.0
        )
        await shard.replica.append([claim], 5)
        runs, counts = await cancel_job(fleet, job_id, other)
        interceptor.reads.set()
        await check_still_stopped(fleet, job_id, other, runs, counts)

    durability.run(check, engine_settings=ENGINE)


def test_log_is_down():
    """A cancellation while the log is down must fail: without a record in the log, the
    next owner would resume the job.
    """

    async def check(fleet):
        job_id, owner, _ = await start_job(fleet)
        fleet.log.fault_injector.inject(faults.Fault("down"))
        path = f"/v1/batches/{job_id}/cancel"
        for entry in fleet.entries:
            answer = await fleet.fetch("POST", path, {}, entry=entry, timeout_s=15)
            assert answer.status == 503
            assert answer.decode()["error"]["verdict"] == "may_have_run"
        fleet.log.fault_injector.inject(faults.Fault("clear"))
        runs, counts = await cancel_job(fleet, job_id, owner)
        await check_still_stopped(fleet, job_id, owner, runs, counts)

    durability.run(check, engine_settings=ENGINE)


def test_second_cancel_waits_like_the_first():
    """A cancellation that timed out is retried. Its record is already in the log, but
    the response still has to wait until the owner has stopped the items.
    """

    async def check(fleet):
        job_id, owner, interceptor = await start_job(fleet)
        interceptor.reads.clear()
        other = get_other(fleet, owner)
        path = f"/v1/batches/{job_id}/cancel"
        with pytest.raises(exception.UnavailableError):
            await fleet.fetch("POST", path, {}, entry=other, timeout_s=0.3)
        await fleet.wait_for_job(job_id, "cancelled", entry=other)
        runs, counts = await cancel_job(fleet, job_id, other)
        interceptor.reads.set()
        await check_still_stopped(fleet, job_id, other, runs, counts)

    durability.run(check, engine_settings=ENGINE)


def test_item_is_in_flight_to_the_agent():
    """Items in flight between the owner and an agent arrive after the cancellation,
    under a valid lease. The agent must not run them.
    """

    async def check(fleet):
        async with relay.insert_relays(fleet, "agent") as relays:
            job_id, owner, _ = await start_job(fleet)
            for each in relays:
                each.hold()

            def is_held():
                name = job_id.encode()
                return any(
                    name in piece for each in relays for piece in each.held_chunks
                )

            await fleet.wait_for(is_held)
            runs, counts = await cancel_job(fleet, job_id, owner)
            for each in relays:
                each.release()
            await check_still_stopped(fleet, job_id, owner, runs, counts)

    # Lease renewals are delayed, too, so the lease has to outlast the running items.
    durability.run(check, engine_settings=ENGINE, agent_settings={"lease_s": 5.0})


def test_owner_and_agents_do_not_get_the_stop_order():
    """The owner cannot read the log, and neither the owner nor its agents get the stop
    order. The owner starts items until its leases expire; the response has to wait for
    that.
    """

    async def check(fleet):
        job_id, owner, interceptor = await start_job(fleet)
        interceptor.reads.clear()
        other = get_other(fleet, owner)
        client = fleet.entries[other].client
        fetch = client.fetch

        async def lose_orders(method, address, path, *args, **fields):
            if path.endswith("/stop-job"):
                raise exception.UnavailableError("no answer")
            return await fetch(method, address, path, *args, **fields)

        client.fetch = lose_orders
        runs, counts = await cancel_job(fleet, job_id, other)
        # Until then the owner still renews its leases and would start items.
        dispatcher = fleet.entries[owner].dispatcher
        await fleet.wait_for(lambda: not dispatcher.is_caught_up())
        interceptor.reads.set()
        await check_still_stopped(fleet, job_id, other, runs, counts)

    durability.run(check, engine_settings=ENGINE)


def test_owner_has_loaded_a_checkpoint_before_the_cancellation():
    """The owner reloads its state from a checkpoint while a job runs, and the job is
    cancelled afterwards. The dispatcher must not keep using the previous job object.
    """

    async def check(fleet):
        job_id, owner, _ = await start_job(fleet)
        replica = fleet.entries[owner].table.find(job_id).replica
        assert replica.install_state(replica.offset, replica.state_machine.dump())
        other = fleet.entries[get_other(fleet, owner)]
        cancelled = batch_record.make_cancelled(job_id, "a", 0.0)
        await other.table.find(job_id).replica.append([cancelled], 5)
        job = await fleet.wait_for_job(job_id, "cancelled", entry=owner)
        # Running items may still complete before the owner's next dispatch cycle.
        lines = embedded.make_job_lines(40, prefix="first")
        first = (await fleet.submit(lines, "first", entry=owner)).decode()["id"]
        await fleet.wait_for_job(first, entry=owner)
        runs = durability.get_runs(fleet, job_id)
        assert len(runs) < ITEMS
        counts = job["request_counts"]
        await check_still_stopped(fleet, job_id, owner, runs, counts)

    durability.run(check, engine_settings=ENGINE)
