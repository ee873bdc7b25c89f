"""A cancelled job stops, whatever becomes of its owner."""

import pytest

from pimentowick import exception
from pimentowick.batch import record as batch_record
from pimentowick.entry.tests import durability
from pimentowick.fakes import embedded, faults, relay

ENGINE = {"base_step_ms": 10}
PATIENCE_S = 15.0
ITEMS = 400


async def start_job(fleet):
    """Submit a job that runs for a while; return its id, owner and the owner's tap."""
    taps = durability.tap_entries(fleet)
    answer = await fleet.submit(embedded.make_job_lines(ITEMS, 30), "k")
    job_id = answer.decode()["id"]
    await fleet.wait_for(lambda: durability.get_runs(fleet, job_id))
    owner = durability.find_owner(fleet, job_id)
    return job_id, owner, taps[owner]


def get_other(fleet, name):
    return next(other for other in fleet.entries if other != name)


async def check_stopped(fleet, job_id, entry):
    """Cancel, then check that nothing starts or completes while another job runs."""
    path = f"/v1/batches/{job_id}/cancel"
    answer = await fleet.fetch("POST", path, {}, entry=entry, timeout_s=PATIENCE_S)
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
    """The owner of a job dies, its last items still run, and the user cancels.

    Items that the next owner would start, or that complete later, cost the user
    tokens for a job that the answer called stopped.
    """

    async def check(fleet):
        job_id, owner, _ = await start_job(fleet)
        other = get_other(fleet, owner)
        await fleet.crash(owner)
        runs, counts = await check_stopped(fleet, job_id, other)
        await check_still_stopped(fleet, job_id, other, runs, counts)

    durability.run(check, engine_settings=ENGINE)


def test_owner_no_longer_sees_the_log():
    """The owner runs on but its reads of the log hang, so it can't see that another
    entry cancelled the job. Then it sees the log again.
    """

    async def check(fleet):
        job_id, owner, tap = await start_job(fleet)
        tap.reads.clear()
        other = get_other(fleet, owner)
        runs, counts = await check_stopped(fleet, job_id, other)
        tap.reads.set()
        await check_still_stopped(fleet, job_id, other, runs, counts)
        copies = [
            e.table.find(job_id).ledger.jobs[job_id] for e in fleet.entries.values()
        ]
        assert copies[0].refs == copies[1].refs

    durability.run(check, engine_settings=ENGINE)


def test_owner_was_superseded_and_runs_on():
    """Another entry has taken the shard; the one before does not know and goes on.

    The new owner has nothing of the job running and could call it stopped at once,
    while the items of the old one run on.
    """

    async def check(fleet):
        job_id, owner, tap = await start_job(fleet)
        tap.reads.clear()
        other = get_other(fleet, owner)
        shard = fleet.entries[other].table.find(job_id)
        claim = batch_record.make_claim(
            shard.ledger.epoch + 1, fleet.entries[other].owner, 0.0
        )
        await shard.replica.append([claim], 5)
        runs, counts = await check_stopped(fleet, job_id, other)
        tap.reads.set()
        await check_still_stopped(fleet, job_id, other, runs, counts)

    durability.run(check, engine_settings=ENGINE)


def test_log_is_down():
    """The user cancels while the log is down.

    An answer that says stopped would be untrue: the next owner reads the job as open.
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
        runs, counts = await check_stopped(fleet, job_id, owner)
        await check_still_stopped(fleet, job_id, owner, runs, counts)

    durability.run(check, engine_settings=ENGINE)


def test_second_cancel_waits_like_the_first():
    """A cancel gets no answer in time and the user sends it again.

    The record is in the log by then, but the owner still runs items: an answer at
    once would be early.
    """

    async def check(fleet):
        job_id, owner, tap = await start_job(fleet)
        tap.reads.clear()
        other = get_other(fleet, owner)
        path = f"/v1/batches/{job_id}/cancel"
        with pytest.raises(exception.UnavailableError):
            await fleet.fetch("POST", path, {}, entry=other, timeout_s=0.3)
        await fleet.wait_for_job(job_id, "cancelled", entry=other)
        runs, counts = await check_stopped(fleet, job_id, other)
        tap.reads.set()
        await check_still_stopped(fleet, job_id, other, runs, counts)

    durability.run(check, engine_settings=ENGINE)


def test_item_is_on_its_way_to_the_agent():
    """Items are between the owner and an agent while the user cancels.

    They arrive after the answer, under a lease that is good, and would be run.
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
            runs, counts = await check_stopped(fleet, job_id, owner)
            for each in relays:
                each.release()
            await check_still_stopped(fleet, job_id, owner, runs, counts)

    # Renewals are held, too: the lease has to outlast the items that run, so that
    # others follow them.
    durability.run(check, engine_settings=ENGINE, agent_settings={"lease_s": 5.0})


def test_owner_does_not_answer_and_an_agent_takes_no_order():
    """The owner sees no log and answers nobody, and the entry that cancels reaches
    the owner's agents no more.

    The owner goes on to start items until its leases lapse; an answer before that
    would call a job stopped whose items still begin.
    """

    async def check(fleet):
        job_id, owner, tap = await start_job(fleet)
        tap.reads.clear()
        other = get_other(fleet, owner)
        client = fleet.entries[other].client
        fetch = client.fetch

        async def lose_orders(method, address, path, *args, **fields):
            if path.endswith("/stop-job"):
                raise exception.UnavailableError("no answer")
            return await fetch(method, address, path, *args, **fields)

        client.fetch = lose_orders
        runs, counts = await check_stopped(fleet, job_id, other)
        # Until then it still renews its leases, and would start items.
        dispatcher = fleet.entries[owner].dispatcher
        await fleet.wait_for(lambda: not dispatcher.is_fresh())
        tap.reads.set()
        await check_still_stopped(fleet, job_id, other, runs, counts)

    durability.run(check, engine_settings=ENGINE)


def test_owner_has_loaded_a_checkpoint_before_the_cancellation():
    """The owner's copy is loaded anew while a job runs. The job is cancelled then, and
    the entry that was asked dies once the record is in the log.

    The owner would go by the job as it was before and run all its items.
    """

    async def check(fleet):
        job_id, owner, _ = await start_job(fleet)
        replica = fleet.entries[owner].table.find(job_id).replica
        assert replica.adopt(replica.offset, replica.fold.dump())
        other = fleet.entries[get_other(fleet, owner)]
        cancelled = batch_record.make_cancelled(job_id, "a", 0.0)
        await other.table.find(job_id).replica.append([cancelled], 5)
        job = await fleet.wait_for_job(job_id, "cancelled", entry=owner)
        # Items that were running may end before the owner's next turn.
        lines = embedded.make_job_lines(40, prefix="first")
        first = (await fleet.submit(lines, "first", entry=owner)).decode()["id"]
        await fleet.wait_for_job(first, entry=owner)
        runs = durability.get_runs(fleet, job_id)
        assert len(runs) < ITEMS
        counts = job["request_counts"]
        await check_still_stopped(fleet, job_id, owner, runs, counts)

    durability.run(check, engine_settings=ENGINE)
