"""Each accepted item completes once, whatever fails meanwhile."""

import asyncio
import contextlib

import pytest

from pimentowick import exception
from pimentowick.batch import record as batch_record
from pimentowick.entry.tests import durability
from pimentowick.fakes import embedded, faults

SMALL_RECORDS = {"platform": {"log_record_bytes": 4096}}
RETENTION_S = 5.0
SHORT_RETENTION = {
    "entry_settings": {"platform": {"log_retention_s": RETENTION_S}},
    "log_settings": {"retention_s": RETENTION_S},
}


async def submit_until_accepted(fleet, lines, key, **fields):
    """Resend as a client does that got no answer, and return the job's id."""

    async def is_accepted():
        try:
            answer = await fleet.submit(lines, key, **fields)
        except exception.UnavailableError:
            return None
        return answer.decode()["id"] if answer.status == 202 else None

    return await fleet.wait_for(is_accepted)


@pytest.mark.parametrize("effect", [False, True], ids=["before", "after"])
def test_entry_dies_at_an_append_of_a_submission(effect):
    """An entry dies just before or after it writes a part of a job, and the client
    sends the job again elsewhere.

    The user would find items missing, or the job twice.
    """

    async def check(fleet):
        points = [("chunk", 1), ("chunk", 2), ("submitted", 1)]
        for index, (kind, number) in enumerate(points):
            name = f"victim-{index}"
            tap = durability.Tap(await fleet.add_entry(name))
            await fleet.wait_for(fleet.is_ready)
            gone = []

            async def die(name=name, gone=gone):
                gone.append(asyncio.create_task(fleet.crash(name)))

            tap.fail_at(kind, number, effect, die)
            lines = embedded.make_job_lines(250)
            key = f"key-{index}"
            with contextlib.suppress(exception.UnavailableError):
                await fleet.submit(lines, key, entry=name)
            await fleet.wait_for(lambda gone=gone: gone)
            await gone[0]
            await fleet.unregister_host(name)
            job_id = await submit_until_accepted(fleet, lines, key)
            await durability.check_results(fleet, job_id, 250)
        followed = fleet.entries["entry-0"].table.followed.values()
        assert sum(len(shard.ledger.jobs) for shard in followed) == len(points)

    durability.run(check, entry_settings=SMALL_RECORDS)


@pytest.mark.parametrize("effect", [False, True], ids=["before", "after"])
def test_owner_dies_between_the_end_of_items_and_their_record(effect):
    """Items have ended at the engine and the owner dies as it writes that down.

    They run again. The user would otherwise miss their results, or find two of them.
    """

    async def check(fleet):
        job_id = await submit_until_accepted(fleet, embedded.make_job_lines(60), "k")
        owner = await fleet.wait_for(lambda: durability.find_owner(fleet, job_id))
        gone = []

        async def die():
            gone.append(asyncio.create_task(fleet.crash(owner)))

        durability.Tap(fleet.entries[owner]).fail_at("results", 1, effect, die)
        await fleet.wait_for(lambda: gone)
        await gone[0]
        await durability.check_results(fleet, job_id, 60)
        assert len(durability.get_runs(fleet, job_id)) == 60

    durability.run(check, engine_settings={"base_step_ms": 20})


def test_answers_of_appends_are_lost():
    """The log takes what an entry writes and the answers get lost, again and again.

    Whoever takes that for a failure writes a job or a result twice.
    """

    async def check(fleet):
        for entry in fleet.entries.values():
            tap = durability.Tap(entry)
            seen = []

            async def rule(stream, records, tap=tap, seen=seen):
                first = await tap._append(stream, records)
                seen.append(1)
                if len(seen) % 2:
                    raise exception.LogUnavailableError("no answer")
                return first

            tap.rule = rule
        lines = embedded.make_job_lines(80)
        answer = await fleet.submit(lines, "k", entry="entry-1")
        assert answer.status == 202
        job_id = answer.decode()["id"]
        await durability.check_results(fleet, job_id, 80)

    durability.run(check)


def test_two_owners_at_once():
    """An owner no longer sees the log, another one takes over, and both write.

    The results of the first would complete items that the second one runs.
    """

    async def check(fleet):
        taps = durability.tap_entries(fleet)
        answer = await fleet.submit(embedded.make_job_lines(600, 8), "k")
        job_id = answer.decode()["id"]
        owner = await fleet.wait_for(lambda: durability.find_owner(fleet, job_id))
        await fleet.wait_for(lambda: durability.get_runs(fleet, job_id))
        stale = fleet.entries[owner]
        other = next(e for name, e in fleet.entries.items() if name != owner)
        tap = taps[owner]
        tap.reads.clear()
        shard = other.table.find(job_id)
        claim = batch_record.make_claim(shard.ledger.epoch + 1, other.owner, 0.0)
        await shard.replica.append([claim], 5)
        written = tap.types["results"]
        await fleet.wait_for(lambda: tap.types["results"] > written)
        name = other.settings.name
        await durability.check_results(fleet, job_id, 600, 8, entry=name)
        tap.reads.set()
        await durability.check_results(fleet, job_id, 600, 8, entry=owner)
        refs = [e.table.find(job_id).ledger.jobs[job_id].refs for e in (stale, other)]
        assert refs[0] == refs[1]

    durability.run(check, engine_settings={"base_step_ms": 10})


def test_record_of_a_stale_owner_lands_after_the_next_claim():
    """An owner's results are on their way while another one takes over and runs the
    same items. The results land before those of the new owner.

    The user would see items completed by a process that nobody waits for, and that
    may end them otherwise than the owner in force.
    """

    async def check(fleet):
        taps = durability.tap_entries(fleet)
        holds = {name: tap.hold("results") for name, tap in taps.items()}
        answer = await fleet.submit(embedded.make_job_lines(60), "k")
        job_id = answer.decode()["id"]
        owner = await fleet.wait_for(lambda: durability.find_owner(fleet, job_id))
        other = next(name for name in fleet.entries if name != owner)
        held, release, landed = holds[owner]
        await fleet.wait_for(lambda: held)
        await durability.claim(fleet, other, job_id)
        await fleet.wait_for(lambda: holds[other][0])
        release.set()
        await fleet.wait_for(lambda: landed)
        shard = fleet.entries[other].table.find(job_id)
        await fleet.wait_for(lambda: shard.replica.offset > landed[0])
        assert shard.ledger.jobs[job_id].pending == 60
        holds[other][1].set()
        for entry in fleet.entries:
            await durability.check_results(fleet, job_id, 60, entry=entry)
        assert held[0]["id"] not in shard.ledger.jobs[job_id].refs

    durability.run(check)


def test_log_is_down_longer_than_every_timeout():
    """The log is down while jobs run and while clients submit and resend.

    A client that is told "not run" would submit elsewhere; what was accepted must
    complete once the log is back.
    """

    async def check(fleet):
        lines = embedded.make_job_lines(100, 10)
        job_id = (await fleet.submit(lines, "k")).decode()["id"]
        await fleet.wait_for(lambda: durability.get_runs(fleet, job_id))
        fleet.log.fault_injector.inject(faults.Fault("down"))
        late = await fleet.submit(embedded.make_job_lines(5, prefix="late"), "late")
        assert late.status == 503
        assert late.decode()["error"]["verdict"] == "may_have_run"
        again = await fleet.submit(lines, "k")
        assert again.status == 202 and again.decode()["id"] == job_id
        fleet.log.fault_injector.inject(faults.Fault("clear"))
        await durability.check_results(fleet, job_id, 100, 10)
        late_lines = embedded.make_job_lines(5, prefix="late")
        late_id = await submit_until_accepted(fleet, late_lines, "late")
        await durability.check_results(fleet, late_id, 5, prefix="late")

    durability.run(check)


def test_job_and_results_outlive_retention():
    """The log drops its records while a job is open and while results are owed, and
    the entries are replaced meanwhile.

    The user would lose items of the open job, and results that were not fetched.
    """

    async def check(fleet):
        done = (await fleet.submit(embedded.make_job_lines(30), "done")).decode()["id"]
        await fleet.wait_for_job(done)
        await fleet.crash("agent-lm-0")
        await fleet.unregister_host("agent-lm-0")
        lines = embedded.make_job_lines(30, 6, "slow")
        slow = (await fleet.submit(lines, "slow")).decode()["id"]
        heads = {f"shard-{n}": fleet.log.get_offsets(f"shard-{n}")[1] for n in (0, 1)}
        heads["configuration"] = fleet.log.get_offsets("configuration")[1]

        def is_dropped():
            return all(fleet.log.get_offsets(s)[0] >= head for s, head in heads.items())

        await fleet.wait_for(is_dropped, 4 * RETENTION_S)
        await fleet.add_entry("new")
        await fleet.wait_for(fleet.is_ready)
        for name in ("entry-0", "entry-1"):
            await fleet.crash(name)
            await fleet.unregister_host(name)
        await fleet.add_agent("agent-again", "lm-0", "engine", embedded.MODEL)
        await durability.check_results(fleet, done, 30)
        await durability.check_results(fleet, slow, 30, 6, prefix="slow")

    durability.run(check, engines=1, **SHORT_RETENTION)


def test_jobs_expire_when_their_results_are_no_longer_owed():
    async def check(fleet):
        job_id = (await fleet.submit(embedded.make_job_lines(3), "k")).decode()["id"]
        await fleet.wait_for_job(job_id)

        async def is_gone():
            answer = await fleet.fetch("GET", f"/v1/batches/{job_id}")
            return answer.status == 404

        await fleet.wait_for(is_gone)
        again = await fleet.submit(embedded.make_job_lines(4), "k")
        assert again.status == 202

    settings = {"result_keep_s": 0.5, "platform": {"log_retention_s": 2.0}}
    durability.run(check, entry_settings=settings)


def test_items_and_results_that_the_log_dropped_are_named():
    """The log drops bodies earlier than agreed, before anything was carried forward.

    The job would never end, or its user would wait for results that don't exist.
    """

    async def check(fleet):
        done = (await fleet.submit(embedded.make_job_lines(5), "done")).decode()["id"]
        await fleet.wait_for_job(done)
        await fleet.crash("agent-lm-0")
        job_id = (await fleet.submit(embedded.make_job_lines(5), "k")).decode()["id"]
        for number in (0, 1):
            head = fleet.log.get_offsets(f"shard-{number}")[1]
            fleet.log.truncate(f"shard-{number}", head)
        await fleet.add_agent("agent-again", "lm-0", "engine", embedded.MODEL)
        job = await fleet.wait_for_job(job_id)
        assert job["request_counts"]["failed"] == 5
        for each, code in ((job_id, "item_lost"), (done, "result_lost")):
            lost = await fleet.read_results(each)
            assert sorted(line["item"] for line in lost) == list(range(5))
            assert {line["error"]["code"] for line in lost} == {code}

    durability.run(check, engines=1)


def test_bad_item_fails_alone():
    """An item is one that no engine can run. It ends at once, its neighbours run."""

    async def check(fleet):
        lines = embedded.make_job_lines(10) + b"\n"
        lines += embedded.make_job_lines(1, prefix="POISON:bad")
        job_id = (await fleet.submit(lines, "k")).decode()["id"]
        job = await fleet.wait_for_job(job_id)
        counts = job["request_counts"]
        assert (counts["completed"], counts["failed"]) == (10, 1)
        results = await fleet.read_results(job_id)
        failed = [each for each in results if each["error"]]
        assert [each["custom_id"] for each in failed] == ["POISON:bad-0"]
        assert durability.get_runs(fleet, job_id)[f"{job_id}-10"] <= 1

    durability.run(check)


def test_results_are_read_though_connections_to_the_log_fell_silent():
    """Something between an entry and the log forgets the connections that are open.

    The log is well and new connections to it work, but a caller who asks for results
    would hear that the log is down.
    """

    async def check(fleet):
        job_id = (await fleet.submit(embedded.make_job_lines(5), "k")).decode()["id"]
        await fleet.wait_for_job(job_id)
        assert len(await fleet.read_results(job_id)) == 5
        fleet.log.fault_injector.inject(faults.Fault("freeze"))
        assert len(await fleet.read_results(job_id, timeout_s=30)) == 5

    embedded.run(check)
