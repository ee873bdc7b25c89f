"""Each accepted item completes exactly once under failures."""

import asyncio
import contextlib

import pytest

from pimentowick import exception
from pimentowick.batch import record as batch_record
from pimentowick.entry.tests import durability
from pimentowick.fakes import embedded, faults

SMALL_RECORDS = {"platform": {"log_record_bytes": 4096}}
RETENTION_S = 5.0
LM_AGENTS = ("agent-lm-0", "agent-lm-1")
SHORT_RETENTION = {
    "entry_settings": {"platform": {"log_retention_s": RETENTION_S}},
    "log_settings": {"retention_s": RETENTION_S},
}


async def submit_until_accepted(fleet, lines, key, **fields):
    """Retry a submission until it is accepted; return the job's id."""

    async def is_accepted():
        try:
            answer = await fleet.submit(lines, key, **fields)
        except exception.UnavailableError:
            return None
        return answer.decode()["id"] if answer.status == 202 else None

    return await fleet.wait_for(is_accepted)


@pytest.mark.parametrize("effect", [False, True], ids=["before", "after"])
def test_entry_dies_at_an_append_of_a_submission(effect):
    """An entry crashes just before or after it appends a part of a submission, and the
    client resubmits to another entry. No item may be missing and no job duplicated.
    """

    async def check(fleet):
        points = [("chunk", 1), ("chunk", 2), ("submitted", 1)]
        for index, (kind, number) in enumerate(points):
            name = f"victim-{index}"
            interceptor = durability.LogInterceptor(await fleet.add_entry(name))
            await fleet.wait_for(fleet.is_ready)
            crashes = []

            async def crash(name=name, crashes=crashes):
                crashes.append(asyncio.create_task(fleet.crash(name)))

            interceptor.fail_append(kind, number, effect, crash)
            lines = embedded.make_job_lines(250)
            key = f"key-{index}"
            with contextlib.suppress(exception.UnavailableError):
                await fleet.submit(lines, key, entry=name)
            await fleet.wait_for(lambda crashes=crashes: crashes)
            await crashes[0]
            await fleet.unregister_host(name)
            job_id = await submit_until_accepted(fleet, lines, key)
            await durability.check_results(fleet, job_id, 250)
        followed = fleet.entries["entry-0"].table.followed.values()
        assert sum(len(shard.ledger.jobs) for shard in followed) == len(points)

    durability.run(check, entry_settings=SMALL_RECORDS)


@pytest.mark.parametrize("effect", [False, True], ids=["before", "after"])
def test_owner_dies_before_recording_results(effect):
    """The owner crashes just before or after it appends the results of finished items.
    The items have to run again, with exactly one result each.
    """

    async def check(fleet):
        job_id = await submit_until_accepted(fleet, embedded.make_job_lines(60), "k")
        owner = await fleet.wait_for(lambda: durability.find_owner(fleet, job_id))
        crashes = []

        async def crash():
            crashes.append(asyncio.create_task(fleet.crash(owner)))

        durability.LogInterceptor(fleet.entries[owner]).fail_append(
            "results", 1, effect, crash
        )
        await fleet.wait_for(lambda: crashes)
        await crashes[0]
        await durability.check_results(fleet, job_id, 60)
        assert len(durability.get_runs(fleet, job_id)) == 60

    durability.run(check, engine_settings={"base_step_ms": 20})


def test_responses_of_appends_are_lost():
    """Appends take effect but their responses are lost. Treating them as failed would
    write a job or a result twice.
    """

    async def check(fleet):
        for entry in fleet.entries.values():
            interceptor = durability.LogInterceptor(entry)
            attempts = []

            async def rule(stream, records, interceptor=interceptor, attempts=attempts):
                first = await interceptor._append(stream, records)
                attempts.append(1)
                if len(attempts) % 2:
                    raise exception.LogUnavailableError("no answer")
                return first

            interceptor.rule = rule
        lines = embedded.make_job_lines(80)
        answer = await fleet.submit(lines, "k", entry="entry-1")
        assert answer.status == 202
        job_id = answer.decode()["id"]
        await durability.check_results(fleet, job_id, 80)

    durability.run(check)


def test_two_owners_at_once():
    """An owner that cannot read the log is superseded, and both owners append results.
    Results of the previous epoch must be fenced.
    """

    async def check(fleet):
        interceptors = durability.intercept_logs(fleet)
        answer = await fleet.submit(embedded.make_job_lines(600, 8), "k")
        job_id = answer.decode()["id"]
        owner = await fleet.wait_for(lambda: durability.find_owner(fleet, job_id))
        await fleet.wait_for(lambda: durability.get_runs(fleet, job_id))
        stale = fleet.entries[owner]
        other = next(e for name, e in fleet.entries.items() if name != owner)
        interceptor = interceptors[owner]
        interceptor.reads.clear()
        shard = other.table.find(job_id)
        claim = batch_record.make_claim(shard.ledger.epoch + 1, other.owner, 0.0)
        await shard.replica.append([claim], 5)
        written = interceptor.counts_by_type["results"]
        await fleet.wait_for(lambda: interceptor.counts_by_type["results"] > written)
        name = other.settings.name
        await durability.check_results(fleet, job_id, 600, 8, entry=name)
        interceptor.reads.set()
        await durability.check_results(fleet, job_id, 600, 8, entry=owner)
        refs = [e.table.find(job_id).ledger.jobs[job_id].refs for e in (stale, other)]
        assert refs[0] == refs[1]

    durability.run(check, engine_settings={"base_step_ms": 10})


def test_items_stopped_as_a_lease_expires_are_not_run_alone():
    """The lease of a job's owner expires and the agents stop its items. If these were
    taken for the cause of a failure, they would run one by one before all others.
    """

    async def check(fleet):
        answer = await fleet.submit(embedded.make_job_lines(200, 8), "k")
        job_id = answer.decode()["id"]
        name = await fleet.wait_for(lambda: durability.find_owner(fleet, job_id))
        owner = fleet.entries[name]
        starts = []
        start = owner.dispatcher._start

        def record_start(active_job, item, peer, solo):
            starts.append(solo)
            start(active_job, item, peer, solo)

        owner.dispatcher._start = record_start
        agents = [a for a in fleet.agents.values() if a.settings.name in LM_AGENTS]
        await fleet.wait_for(lambda: all(len(a.running) > 1 for a in agents))
        for agent in agents:
            stopped = list(agent.running)
            agent.leases._leases[owner.owner].expires_at = 0.0
            for holder in agent.leases.pop_expired():
                agent._cancel_batch_items(holder)
            await fleet.wait_for(
                lambda agent=agent, stopped=stopped: agent.running.isdisjoint(stopped)
            )
        await durability.check_results(fleet, job_id, 200, 8)
        assert not any(starts)
        assert owner.fleet.ejections == 0

    durability.run(check, engine_settings={"base_step_ms": 20})


def test_record_of_a_stale_owner_lands_after_the_next_claim():
    """Delayed results of a superseded owner are appended after the claim of the next
    owner, but before its results. They must be fenced.
    """

    async def check(fleet):
        interceptors = durability.intercept_logs(fleet)
        delayed = {
            name: interceptor.delay_appends("results")
            for name, interceptor in interceptors.items()
        }
        answer = await fleet.submit(embedded.make_job_lines(60), "k")
        job_id = answer.decode()["id"]
        owner = await fleet.wait_for(lambda: durability.find_owner(fleet, job_id))
        other = next(name for name in fleet.entries if name != owner)
        held, release, offsets = delayed[owner]
        await fleet.wait_for(lambda: held)
        await durability.claim(fleet, other, job_id)
        await fleet.wait_for(lambda: delayed[other][0])
        release.set()
        await fleet.wait_for(lambda: offsets)
        shard = fleet.entries[other].table.find(job_id)
        await fleet.wait_for(lambda: shard.replica.offset > offsets[0])
        assert shard.ledger.jobs[job_id].pending == 60
        delayed[other][1].set()
        for entry in fleet.entries:
            await durability.check_results(fleet, job_id, 60, entry=entry)
        assert held[0]["id"] not in shard.ledger.jobs[job_id].refs

    durability.run(check)


def test_log_is_down_longer_than_every_timeout():
    """The log is down while jobs run and clients submit. Accepted jobs complete after
    the outage, and failed submissions must not be reported as not run.
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
    """The log deletes records by retention and the entries are replaced while a job is
    open and results are unread. Neither items nor results may be lost.
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


def test_jobs_expire_after_the_retention_of_results():
    async def check(fleet):
        job_id = (await fleet.submit(embedded.make_job_lines(3), "k")).decode()["id"]
        await fleet.wait_for_job(job_id)

        async def is_expired():
            answer = await fleet.fetch("GET", f"/v1/batches/{job_id}")
            return answer.status == 404

        await fleet.wait_for(is_expired)
        again = await fleet.submit(embedded.make_job_lines(4), "k")
        assert again.status == 202

    settings = {"result_keep_s": 0.5, "platform": {"log_retention_s": 2.0}}
    durability.run(check, entry_settings=settings)


def test_lost_items_and_results_are_reported():
    """The log deletes records before their retention ends, so that they could not be
    appended again. The lost items and results are reported as errors.
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
    """An item that no engine can run fails at once; the other items complete."""

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


def test_results_are_readable_after_log_connections_stall():
    """Open connections to the log stop transmitting, but new ones work. Reading results
    must not report that the log is unavailable.
    """

    async def check(fleet):
        job_id = (await fleet.submit(embedded.make_job_lines(5), "k")).decode()["id"]
        await fleet.wait_for_job(job_id)
        assert len(await fleet.read_results(job_id)) == 5
        fleet.log.fault_injector.inject(faults.Fault("freeze"))
        assert len(await fleet.read_results(job_id, timeout_s=30)) == 5

    embedded.run(check)
