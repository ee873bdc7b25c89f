"""Case 3: a replica leaves while a gateway is cut off from the store."""

import asyncio
import os
import pathlib
import random
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import deployment  # noqa: E402
import lots  # noqa: E402

PREFIX = "X-Pimentowick-"
# `run.sh` makes a 1 of it; any other end of this program is a case that could not run.
BROKEN = 10
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SLOTS, FIRST_MS, STEP_MS = 8, 60, 20
ONLINE_EVENTS, ONLINE_PER_S = 30, 19.0
ROUNDS, ROUND_S = 14, 6.7
# After the begin of a round: the cut (5.5 s at most), the removal of the replica's
# entry, and its end, with which streams that still run there are cut.
CUT_AT, CUT_S = 1.0, 2.0
REMOVED_AT = CUT_AT + CUT_S - 0.3
# A heartbeat that is under way as the replica stops them has arrived by then.
HEARTBEAT_ENDS_S = 0.4
ENDS_AT = CUT_AT + CUT_S + 3.4
# Bounds of the deployment.
DRAIN_S, STABLE_WINDOW_S = 2.0, 3.0


class Stream:
    """One stream of a client."""

    def __init__(self, request_id, sent_at):
        self.id = request_id
        self.sent_at = sent_at
        self.end = "open"


async def send_streams(site, streams, ends_at):
    """Send streams to the gateway, each on a new connection."""
    tasks = set()
    while site.record.now < ends_at:
        await asyncio.sleep(random.expovariate(ONLINE_PER_S))
        stream = Stream(f"{random.getrandbits(64):016x}", time.monotonic())
        streams.append(stream)
        tasks.add(asyncio.create_task(send_stream(site, stream)))
    await asyncio.gather(*tasks)


async def send_stream(site, stream):
    """Send one stream; note how it ended."""
    headers = {
        PREFIX + "Request-Id": stream.id,
        PREFIX + "Model": "m",
        PREFIX + "Token-Usage": f"450,{ONLINE_EVENTS}",
        PREFIX + "Prompt-Prefix": f"ca11:200,{random.getrandbits(32):08x}:250",
        PREFIX + "Deadline-Ms": "5000",
    }
    try:
        status, body = await deployment.call(
            site.gateways[0][0], "POST", "/chat/1", b"question", headers
        )
        whole = status != 200 or body.count(b"data: ") == ONLINE_EVENTS
        stream.end = f"{status}" if whole else "cut"
    except (OSError, ValueError, TimeoutError):
        stream.end = "cut"


async def play_round(site, number):
    """Play one round; return (replica, time of its removal, time of the heal)."""
    record = site.record
    begins_at = record.now
    leaver, newcomer = f"i-{number}", f"i-{number + 2}"
    site.start_replica(newcomer, SLOTS, FIRST_MS, STEP_MS)

    async def wait_until(at):
        await asyncio.sleep(max(0.0, begins_at + at - record.now))

    await wait_until(CUT_AT)
    if TROUBLE:
        site.command_cut("cut")
        record.write("the gateway is cut off from the store")
    await wait_until(REMOVED_AT - HEARTBEAT_ENDS_S)
    site.stop_heartbeat(leaver)
    await wait_until(REMOVED_AT)
    await deployment.call(site.store, "DELETE", f"/stand-in/servers/{leaver}")
    removed_at = time.monotonic()
    record.write(f"the entry of {leaver} is removed; it serves on")
    await wait_until(CUT_AT + CUT_S)
    if TROUBLE:
        site.command_cut("heal")
        record.write("the way to the store is back")
    healed_at = time.monotonic()
    await wait_until(ENDS_AT)
    site.end_replica(leaver)
    record.write(f"{leaver} ends")
    await wait_until(ROUND_S)
    if await site.is_listed(leaver):
        raise deployment.Unable(f"{leaver} is listed again")
    return leaver, removed_at, healed_at


def judge(site, rounds, streams):
    """Return the streams that the rule DRAIN forbids."""
    record = site.record
    by_id = {stream.id: stream for stream in streams}
    leavers = {name: (removed_at, healed_at) for name, removed_at, healed_at in rounds}
    late = []
    for line in site.read_replica_events():
        if line["event"] != "arrived" or line["replica"] not in leavers:
            continue
        removed_at, healed_at = leavers[line["replica"]]
        stream = by_id[line["id"]]
        if line["t"] <= removed_at + DRAIN_S:
            continue
        is_in_touch = not TROUBLE or stream.sent_at > healed_at + STABLE_WINDOW_S
        record.write(
            f"stream {stream.id} reached {line['replica']} "
            f"{line['t'] - removed_at:.2f} s after its removal, sent "
            f"{stream.sent_at - healed_at:.2f} s after the way was back, "
            f"{'in touch' if is_in_touch else 'not in touch'}: {stream.end}"
        )
        if is_in_touch:
            late.append(stream)
    return late


async def run(site, record):
    """Play the case; return the exit status."""
    site.start_store()
    for number in range(2):
        site.start_replica(f"i-{number}", SLOTS, FIRST_MS, STEP_MS)
    await site.publish(lots.ROUTES)
    site.start_gateway(0, site.start_cut_proxy())
    site.start_gateway(1)
    await site.wait_until_ready()
    await asyncio.sleep(3.0)
    record.begin()
    record.write(f"the case begins, TROUBLE={int(TROUBLE)}")
    streams, rounds = [], []
    ends_at = ROUNDS * ROUND_S
    sending = asyncio.create_task(send_streams(site, streams, ends_at))
    for number in range(ROUNDS):
        rounds.append(await play_round(site, number))
    await sending
    ends = [stream.end for stream in streams]
    counts = {end: ends.count(end) for end in sorted(set(ends))}
    record.write(f"streams by end: {counts}")
    late = judge(site, rounds, streams)
    lost = [stream for stream in late if stream.end in ("cut", "502")]
    record.write(
        f"DRAIN: {len(late)} streams reached a replica that was gone, {len(lost)} of "
        "them were lost with it"
        if late
        else "DRAIN holds"
    )
    return BROKEN if late else 0


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
