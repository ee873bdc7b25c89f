"""Tokens of two equal workspaces of which one floods the other's targets."""

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
CALM_RATE = 12.0
ONLINE_S = 120.0
MAX_ONLINE = 8
MAX_QUEUE = 256
TOKENS = 24
JOBS_OF_FLOOD = 10
ITEMS_OF_JOB = 700
WAIT_S = 60.0
ITEM_TOKENS = 16
# What the flood had in flight before the calm workspace came is left out, and the
# end, when the calm one has no more items that wait.
FIRST_SHARE = 0.15
LAST_SHARE = 0.85


def run():
    """Print the spreads, and return pairs of a name and a spread."""
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


async def _request(engine, scheme, served, workspace, number):
    """Send one online request and count the lines of tokens that it gets."""
    work = policy_traffic.make_work(
        "online", number, "x" * 400, TOKENS, workspace=workspace
    )
    with contextlib.suppress(exception.RefusedError):
        async for line in work.run(engine, scheme):
            served[workspace] += b'"texts"' in line


async def _run_online():
    engine = simulation.SimulatedEngine()
    await engine.start()
    clock = asyncio.get_running_loop().time
    scheme = admission.Admission(
        MAX_ONLINE, MAX_QUEUE, limiter.FixedLimiter(0), clock=clock
    )
    served = collections.Counter()
    rng = random.Random(1)
    tasks = set()

    async def send(workspace, rate):
        number = 0
        while True:
            await asyncio.sleep(rng.expovariate(rate))
            number += 1
            name = f"{workspace}{number}"
            request = _request(engine, scheme, served, workspace, name)
            task = asyncio.ensure_future(request)
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    for workspace, factor in ((CALM, 1), (FLOOD, FLOOD_FACTOR)):
        tasks.add(asyncio.ensure_future(send(workspace, CALM_RATE * factor)))
    await asyncio.sleep(ONLINE_S)
    for task in list(tasks):
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await engine.close()
    return served[CALM], served[FLOOD]


async def _run_batch(entries):
    deployment = embedded.EmbeddedDeployment(
        entries=entries, engines=2, services=0, engine_settings={"base_step_ms": 8}
    )
    await deployment.start()
    try:
        jobs = [await _submit(deployment, "b", n) for n in range(JOBS_OF_FLOOD)]
        job = await _submit(deployment, "a", 0)
        first = await _wait_share(deployment, job, jobs, FIRST_SHARE)
        last = await _wait_share(deployment, job, jobs, LAST_SHARE)
        return [(b - a) * ITEM_TOKENS for a, b in zip(first, last, strict=True)]
    finally:
        await deployment.close()


async def _wait_share(deployment, job, jobs, share):
    """Return the items done of both once a share of the calm one's is done."""

    async def is_far():
        done = await _count_done(deployment, "a", [job])
        return done if done >= ITEMS_OF_JOB * share else None

    calm = await deployment.wait_for(is_far, timeout_s=WAIT_S)
    return calm, await _count_done(deployment, "b", jobs)


async def _submit(deployment, workspace, number):
    lines = embedded.make_job_lines(ITEMS_OF_JOB, max_tokens=ITEM_TOKENS)
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
