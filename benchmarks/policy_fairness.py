"""Fairness between two equal workspaces of which one sends far more requests."""

import asyncio
import collections
import contextlib
import random

from benchmarks import policy_traffic
from pimentowick import exception
from pimentowick.fakes import embedded, simulation
from pimentowick.scheduling import admission, limiter

__all__ = ["run"]

CALM = "calm"
FLOOD = "flood"
FLOOD_FACTOR = 10
CALM_REQUESTS_PER_S = 12.0
ONLINE_S = 120.0
MAX_ONLINE = 8
MAX_QUEUE = 256
ONLINE_TOKENS = 24
FLOOD_JOBS = 10
ITEMS_PER_JOB = 700
WAIT_S = 60.0
ITEM_TOKENS = 16
# Shares of the calm job between which tokens are counted. Before, the flood has all
# slots; afterwards, the calm workspace has no items left in the queue.
START_SHARE = 0.15
END_SHARE = 0.85


def run():
    """Print the relative differences of tokens, and return them with their names."""
    online = simulation.run(_run_online())
    batch = [
        (f"batch, {entries} entries", asyncio.run(_run_batch(entries)))
        for entries in (1, 2)
    ]
    spreads = []
    print("\nTokens of two equal workspaces, one with ten times the requests")
    for name, (calm, flood) in [("online", online), *batch]:
        spread = abs(calm - flood) / ((calm + flood) / 2)
        spreads.append((name, spread))
        print(f"{name:17} calm {calm:7d} flood {flood:7d} spread {spread:.3f}")
    return spreads


async def _send_online_request(
    engine, admission_control, token_counts, workspace, number
):
    """Send one online request and count the token lines that it receives."""
    work = policy_traffic.make_work(
        "online", number, "x" * 400, ONLINE_TOKENS, workspace=workspace
    )
    with contextlib.suppress(exception.RefusedError):
        async for line in work.run(engine, admission_control):
            token_counts[workspace] += b'"texts"' in line


async def _run_online():
    engine = simulation.SimulatedEngine()
    await engine.start()
    clock = asyncio.get_running_loop().time
    admission_control = admission.Admission(
        MAX_ONLINE, MAX_QUEUE, limiter.FixedLimiter(0), clock=clock
    )
    token_counts = collections.Counter()
    rng = random.Random(1)
    tasks = set()

    async def send(workspace, rate):
        number = 0
        while True:
            await asyncio.sleep(rng.expovariate(rate))
            number += 1
            name = f"{workspace}{number}"
            request = _send_online_request(
                engine, admission_control, token_counts, workspace, name
            )
            task = asyncio.ensure_future(request)
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    for workspace, factor in ((CALM, 1), (FLOOD, FLOOD_FACTOR)):
        tasks.add(asyncio.ensure_future(send(workspace, CALM_REQUESTS_PER_S * factor)))
    await asyncio.sleep(ONLINE_S)
    for task in list(tasks):
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await engine.close()
    return token_counts[CALM], token_counts[FLOOD]


async def _run_batch(entries):
    deployment = embedded.EmbeddedDeployment(
        entries=entries, engines=2, services=0, engine_settings={"base_step_ms": 8}
    )
    await deployment.start()
    try:
        jobs = [await _submit(deployment, "b", n) for n in range(FLOOD_JOBS)]
        job = await _submit(deployment, "a", 0)
        first = await _wait_for_share(deployment, job, jobs, START_SHARE)
        last = await _wait_for_share(deployment, job, jobs, END_SHARE)
        return [(b - a) * ITEM_TOKENS for a, b in zip(first, last, strict=True)]
    finally:
        await deployment.close()


async def _wait_for_share(deployment, job, jobs, share):
    """Return the completed items of both workspaces once `job` reaches a share."""

    async def count_at_share():
        done = await _count_done(deployment, "a", [job])
        return done if done >= ITEMS_PER_JOB * share else None

    calm = await deployment.wait_for(count_at_share, timeout_s=WAIT_S)
    return calm, await _count_done(deployment, "b", jobs)


async def _submit(deployment, workspace, number):
    lines = embedded.make_job_lines(ITEMS_PER_JOB, max_tokens=ITEM_TOKENS)
    answer = await deployment.submit(
        lines, f"{workspace}-{number}", token=deployment.tokens[workspace]
    )
    return answer.decode()["id"]


async def _count_done(deployment, workspace, jobs):
    done = 0
    for job in jobs:
        answer = await deployment.fetch(
            "GET", f"/v1/batches/{job}", token=deployment.tokens[workspace]
        )
        done += answer.decode()["request_counts"]["completed"]
    return done
