"""Case 1: connections are reset in two spells while batch items run."""

import asyncio
import base64
import os
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import deployment  # noqa: E402
import lots  # noqa: E402

PREFIX = "X-Pimentowick-"
# `run.sh` makes a 1 of it; any other end of this program is a case that could not run.
BROKEN = 10
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS, REPLICAS, SLOTS, FIRST_MS, STEP_MS = 3, 8, 8, 60, 18
JOBS, ITEMS_PER_JOB, EVENTS = 1, 14, 400
ONLINE_EVENTS, ONLINE_PER_S = 39, 4.0
# One machine of three (a share of 0.35 at most) has 0.55 of its connections reset.
SHARE = 0.55
VICTIM = 0
SUBMIT_AT = 2.0
SPELLS = [4.0 + 1.2 * n for n in range(10)] + [22.0 + 0.6 * n for n in range(16)]
TRAFFIC_ENDS_AT = 33.5
FINISH_S = 18.0


def make_job(number, owners):
    """Return a batch job that the victim runs: its id and its items."""
    drawn = random.Random(number)
    while True:
        job_id = f"{drawn.getrandbits(64):016x}"
        if owners.get(deployment.find_partition(job_id)) == VICTIM:
            break
    items = [
        {
            "id": f"{VICTIM}b{number}{item:02d}{drawn.getrandbits(40):010x}",
            "path": f"/lots/{item}",
            "headers": {
                PREFIX + "Model": "m",
                PREFIX + "Token-Usage": f"350,{EVENTS}",
                PREFIX
                + "Prompt-Prefix": f"c0de{number}:100,{drawn.getrandbits(32):08x}:250",
            },
            "body": base64.b64encode(f"dossier {number} {item}".encode()).decode(),
            "tokens": 350 + EVENTS,
        }
        for item in range(ITEMS_PER_JOB)
    ]
    return job_id, items


async def send_online(site, drawn, counts):
    """Send streams until the traffic ends, each on a new connection."""
    number = 0
    tasks = set()
    while site.record.now < TRAFFIC_ENDS_AT:
        await asyncio.sleep(drawn.expovariate(ONLINE_PER_S))
        number += 1
        stream = lots.send_stream(site, number, ONLINE_EVENTS, counts)
        tasks.add(asyncio.create_task(stream))
    await asyncio.gather(*tasks)


async def run(site, record):
    """Play the case; return the exit status."""
    site.start_store()
    for number in range(REPLICAS):
        site.start_replica(f"i-{number}", SLOTS, FIRST_MS, STEP_MS, has_proxy=True)
    await site.publish(lots.ROUTES)
    for number in range(GATEWAYS):
        site.start_gateway(number)
    await site.wait_until_ready()
    await asyncio.sleep(2.0)
    owners = await site.list_owners()
    record.write(f"partitions of the batch jobs: {owners}")
    if VICTIM not in owners.values():
        raise deployment.Unable("the gateway runs no batch jobs")
    record.begin()
    record.write(f"the case begins, TROUBLE={int(TROUBLE)}")
    drawn, counts = random.Random(), {}
    online = asyncio.create_task(send_online(site, drawn, counts))
    await asyncio.sleep(SUBMIT_AT)
    jobs = dict(make_job(number, owners) for number in range(JOBS))
    for job_id, items in jobs.items():
        await lots.submit(site, job_id, items)
    if TROUBLE:
        for at in SPELLS:
            await asyncio.sleep(max(0.0, at - record.now))
            site.reset(f"{VICTIM}", SHARE)
    await online
    record.write(f"the traffic has ended; streams by status: {counts}")
    await asyncio.sleep(max(0.0, TRAFFIC_ENDS_AT + FINISH_S - record.now))
    left = await lots.judge(site, jobs)
    return BROKEN if left else 0


def main():
    """Play the case and exit with its status."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = deployment.Record(HERE / "record.txt")
    site = deployment.Deployment(record)
    try:
        status = asyncio.run(run(site, record))
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        status = 2
    finally:
        site.close()
    sys.exit(status)


if __name__ == "__main__":
    main()
