"""Frozen owners and items that crash engines, with separate processes."""

import asyncio
import collections
import signal

import orjson

from pimentowick.fakes import deployment, embedded

TOPOLOGY = {
    "name": "small",
    "failure_domains": ["here"],
    "entries": 2,
    "targets": [{"kind": "engine", "service": embedded.MODEL, "replicas": 2}],
    "template": {"name": "plain", "body": embedded.TEMPLATE},
    "workspaces": {"a": {}},
}
SETTINGS = {"shards": 1, "takeover_s": 2.0, "heartbeat_s": 0.2, "host_poll_s": 0.2}


def run(check, fakes=None):
    async def run_check():
        fleet = deployment.Deployment(TOPOLOGY, SETTINGS, None, fakes, "ERROR")
        try:
            await fleet.start()
            await fleet.publish()
            await check(fleet)
        finally:
            await fleet.close()

    asyncio.run(run_check())


async def fetch(fleet, entry, method, path, body=None, **fields):
    token = fleet.workspace_tokens["a"]
    return await fleet.fetch(entry, method, path, body, token, **fields)


async def submit(fleet, lines, entry=0):
    answer = await fetch(
        fleet, entry, "POST", "/v1/batches", lines, headers={"Idempotency-Key": "k"}
    )
    return answer.decode()["id"]


async def wait_for_owner(fleet, entry, excluded=None):
    """Return the owner of the shard according to `entry`, once it is not `excluded`."""

    async def has_owner():
        status = (await fleet.fetch(entry, "GET", "/v1/admin/status")).decode()
        owner = status["shards"]["0"]["owner"]
        return owner if owner is not None and owner != excluded else None

    return await fleet.wait_for(has_owner)


async def get_runs(fleet):
    runs = collections.Counter()
    for name, process in fleet.processes.items():
        if name.startswith(embedded.MODEL):
            answer = await fleet.client.fetch("GET", process.address, "/runs")
            runs.update(answer.decode()["runs"])
    return runs


async def wait_for_job(fleet, entry, job_id, status):
    async def has_status():
        answer = await fetch(fleet, entry, "GET", f"/v1/batches/{job_id}")
        job = answer.decode()
        return job if job.get("status") == status else None

    return await fleet.wait_for(has_status)


async def read_results(fleet, entry, job_id):
    answer = await fetch(fleet, entry, "GET", f"/v1/batches/{job_id}/results")
    return [orjson.loads(line) for line in answer.body.splitlines()]


async def freeze_owner(fleet, job_id):
    """Stop the owner's process; return it, the owner and the other entry's number."""

    async def has_runs():
        return await get_runs(fleet)

    await fleet.wait_for(has_runs)
    owner = await wait_for_owner(fleet, 0)
    names = [entry.name for entry in fleet.entries]
    number = names.index(owner.partition("#")[0])
    frozen = fleet.entries[number]
    frozen.send_signal(signal.SIGSTOP)
    return frozen, owner, 1 - number


def test_owner_resumes_after_its_takeover():
    """An owner's process is frozen, another entry claims the shard, and the first owner
    resumes. Each item must have exactly one result.
    """

    async def check(fleet):
        job_id = await submit(fleet, embedded.make_job_lines(300, 30))
        frozen, owner, other = await freeze_owner(fleet, job_id)
        await wait_for_owner(fleet, other, owner)
        frozen.send_signal(signal.SIGCONT)
        await wait_for_job(fleet, other, job_id, "completed")
        for entry in (0, 1):
            await wait_for_job(fleet, entry, job_id, "completed")
            results = await read_results(fleet, entry, job_id)
            names = {result["custom_id"] for result in results}
            assert len(results) == len(names) == 300
            assert not any(result["error"] for result in results)

    run(check, {"engine": {"base_step_ms": 15}})


def test_cancel_while_the_owner_is_frozen():
    """The job is cancelled while its owner's process is frozen. After it resumes, the
    owner must not start any item under its expired leases.
    """

    async def check(fleet):
        job_id = await submit(fleet, embedded.make_job_lines(300, 30))
        frozen, _, other = await freeze_owner(fleet, job_id)
        path = f"/v1/batches/{job_id}/cancel"
        answer = await fetch(fleet, other, "POST", path, {}, timeout_s=20)
        assert answer.status == 200 and answer.decode()["status"] == "cancelled"
        counts = answer.decode()["request_counts"]
        runs = await get_runs(fleet)
        frozen.send_signal(signal.SIGCONT)
        await wait_for_job(fleet, 1 - other, job_id, "cancelled")
        await fleet.wait_ready()
        assert await get_runs(fleet) == runs
        job = await wait_for_job(fleet, other, job_id, "cancelled")
        assert job["request_counts"] == counts

    run(check, {"engine": {"base_step_ms": 15}})


def test_item_that_crashes_engines_fails_alone():
    """An item crashes every engine that runs it. Its attempts must be limited, and it
    has to be retried alone so that other items on the engine are not blamed.
    """

    async def check(fleet):
        lines = embedded.make_job_lines(20) + b"\n"
        lines += embedded.make_job_lines(1, prefix="POISON:die")
        restarting = asyncio.create_task(restart_engines(fleet))
        try:
            job_id = await submit(fleet, lines)
            job = await wait_for_job(fleet, 0, job_id, "completed")
        finally:
            restarting.cancel()
            await asyncio.gather(restarting, return_exceptions=True)
        counts = job["request_counts"]
        assert (counts["completed"], counts["failed"]) == (20, 1)
        results = await read_results(fleet, 1, job_id)
        failed = [each for each in results if each["error"]]
        assert [each["custom_id"] for each in failed] == ["POISON:die-0"]
        assert failed[0]["error"]["code"] == "attempts_exhausted"

    run(check)


async def restart_engines(fleet):
    """Restart crashed engines on their previous ports."""
    while True:
        for name, process in list(fleet.processes.items()):
            is_engine = name.startswith(embedded.MODEL)
            if is_engine and process.handle.returncode is not None:
                port = process.address.rpartition(":")[2]
                models = f'models=["{embedded.MODEL}"]'
                arguments = ["-m", "pimentowick.fakes", "engine", "--port", port]
                await fleet._spawn(name, [*arguments, "--set", models])
        await asyncio.sleep(deployment.READY_POLL_S)
