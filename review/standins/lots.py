"""Callers of batch jobs and streams, and the check of the rule LOST."""

import asyncio
import json
import random
import time

import deployment

PREFIX = "X-Pimentowick-"
# Of the rule: spells that have to be calm at the end, in seconds.
NOT_HAD_S, NOT_FINISHED_S, NOT_FAILED_S = 5.0, 3.0, 20.0

ROUTES = [
    {
        "name": "chat",
        "host": deployment.HOST,
        "path_prefix": "/chat/",
        "kind": "stream",
        "timeout_ms": 5000,
        "slo_ms": 300,
        "priority": 0,
        "service": deployment.SERVICE,
        "max_attempts": 1,
        "sticky": True,
        "resumable": False,
        "gap_target_ms": 250,
    },
    {
        "name": "lots",
        "host": deployment.HOST,
        "path_prefix": "/lots/",
        "kind": "batch",
        "timeout_ms": 15000,
        "slo_ms": 400,
        "priority": 2,
        "service": deployment.SERVICE,
        "max_attempts": 3,
        "sticky": True,
        "resumable": True,
        "run_target_ms": 18000,
        "retention_s": 60,
        "max_count": 2000000,
    },
]


async def submit(site, job_id, items):
    """Hand in a batch job until it is accepted."""
    body = json.dumps({"items": items}).encode()
    headers = {PREFIX + "Request-Id": job_id, "Content-Type": "application/json"}
    for attempt in range(10):
        address = site.gateways[attempt % len(site.gateways)][0]
        path = f"/lots/{job_id}"
        status, _ = await deployment.call(address, "POST", path, body, headers)
        site.record.write(
            f"batch job {job_id} ({len(items)} items) is answered {status}"
        )
        if status == 202:
            return
        await asyncio.sleep(0.3)
    raise deployment.Unable("a batch job was not accepted")


async def send_stream(site, number, events, counts, delay_s=0.0):
    """Send one stream after a delay; count how it ended."""
    await asyncio.sleep(delay_s)
    gateway = number % len(site.gateways)
    headers = {
        PREFIX + "Request-Id": f"{gateway}a{number:06d}{random.getrandbits(32):08x}",
        PREFIX + "Model": "m",
        PREFIX + "Token-Usage": f"450,{events}",
        PREFIX + "Prompt-Prefix": f"ca11:200,{random.getrandbits(32):08x}:250",
        PREFIX + "Deadline-Ms": "5000",
    }
    address = site.gateways[gateway][0]
    try:
        status, body = await deployment.call(
            address, "POST", f"/chat/{number}", b"question", headers
        )
        is_whole = body.count(b"data: ") == events
    except (OSError, ValueError, TimeoutError):
        status, is_whole = 0, False
    key = f"{status}" if status != 200 or is_whole else "200 cut"
    counts[key] = counts.get(key, 0) + 1


async def read_results(site, job_id):
    """Return the total and the listed results, from gateways that answer."""
    results, total = [], None
    for attempt in range(30):
        address = site.gateways[attempt % len(site.gateways)][0]
        path = f"/-/lots/{job_id}?after={len(results)}"
        try:
            status, body = await deployment.call(address, "GET", path)
        except (OSError, ValueError, TimeoutError):
            continue
        if status != 200:
            await asyncio.sleep(0.1)
            continue
        data = json.loads(body)
        total = data["total"]
        results += data["results"]
        if not data["results"]:
            return total, results
    raise deployment.Unable("the results can't be read")


def find_running(events):
    """Return the replica at which each request is now, by id."""
    running = {}
    for line in events:
        if line["event"] in ("arrived", "runs"):
            running[line["id"]] = line["replica"]
        elif line["event"] == "ends" and running.get(line["id"]) == line["replica"]:
            del running[line["id"]]
    return running


async def judge(site, jobs):
    """Return the items that are left lying, as the rule LOST says.

    Args:
        site: The `deployment.Deployment`.
        jobs: The items of each batch job, by its id.
    """
    record = site.record
    listed = {}
    for job_id in jobs:
        total, results = await read_results(site, job_id)
        states = [result["state"] for result in results]
        listed |= {result["id"]: result for result in results}
        record.write(
            f"batch job {job_id}: total {total}, {states.count('done')} done, "
            f"{states.count('dead')} dead"
        )
    checked_at = time.monotonic()
    events = [line for line in site.read_replica_events() if "id" in line]
    item_ids = {item["id"]: job for job, items in jobs.items() for item in items}
    last = {}
    for line in events:
        if line["id"] in item_ids:
            last[line["id"]] = line
            position = line.get("after", line.get("last"))
            record.write(
                f"at {record.to_seconds(line['t']):7.3f} s, {line['replica']}: item "
                f"{line['id']} {line['event']} {line.get('end', '')} after {position}"
            )
    whole = [line["t"] for line in events if line.get("end") == "whole"]
    if whole and checked_at - max(whole) < NOT_FINISHED_S:
        record.write("an item or a stream was finished in the last seconds")
        return []
    running = find_running(events)
    had = {
        item_ids[name]
        for name, line in last.items()
        if name not in listed
        and (name in running or checked_at - line["t"] < NOT_HAD_S)
    }
    left = []
    for name, job_id in item_ids.items():
        if name in listed:
            continue
        seen_at = last[name]["t"] if name in last else None
        seen = "never" if seen_at is None else f"{record.to_seconds(seen_at):.1f} s"
        record.write(
            f"item {name} of {job_id} is not listed; last at a replica: {seen}"
        )
        has_failed = seen_at is not None and checked_at - seen_at < NOT_FAILED_S
        if job_id not in had and not has_failed:
            left.append(name)
    record.write(f"LOST: {len(left)} items are left lying" if left else "LOST holds")
    return left
