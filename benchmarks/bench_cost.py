"""What a request, a chunk and an idle process cost, as ratios within one run."""

import asyncio
import time

from benchmarks import cost_path, cost_relay

__all__ = ["measure_path", "run"]

MEMORY_LIMIT = 64_000_000
REQUESTS = 1500
AT_ONCE = 16
LATENCY_REQUESTS = 600
LATENCY_TOKENS = 8
STREAMS = 90
MOST_STREAMS = 100
IDLE_S = 5.0
# Bounds of the ratios, about half as high again as measured.
MAX_ENTRY_TO_BARE = 4.5
MAX_AGENT_TO_BARE = 4.5


async def measure_path():
    """Measure the whole path; return figures by name, times in seconds."""
    found = await _measure_requests()
    found.update(await _measure_streams())
    return found


async def _measure_requests():
    path = cost_path.Path(step_ms=1)
    try:
        await path.start()
        idle = await _measure_idle(path)
        await path.load(lambda: path.ask(1), 100, AT_ONCE)
        usage = await path.load(lambda: path.ask(1), REQUESTS, AT_ONCE)
        whole = await path.load(lambda: path.ask(LATENCY_TOKENS), LATENCY_REQUESTS, 4)
        direct = await path.load(
            lambda: path.ask_engine(LATENCY_TOKENS), LATENCY_REQUESTS, 4
        )
    finally:
        await path.close()
    return {
        **idle,
        "entry_request": usage.entry_cpu / REQUESTS,
        "agent_request": usage.agent_cpu / REQUESTS,
        **_subtract(whole.latencies, direct.latencies),
    }


async def _measure_idle(path):
    await asyncio.sleep(1.0)
    before = path.entry.read_cpu(), path.agent.read_cpu()
    began = time.monotonic()
    await asyncio.sleep(IDLE_S)
    passed = time.monotonic() - began
    return {
        "entry_idle_cpu": (path.entry.read_cpu() - before[0]) / passed,
        "agent_idle_cpu": (path.agent.read_cpu() - before[1]) / passed,
        "entry_idle_memory": path.entry.read_memory(),
        "agent_idle_memory": path.agent.read_memory(),
    }


def _subtract(whole, direct):
    return {
        f"added_{name}": cost_path.get_percentile(whole, share)
        - cost_path.get_percentile(direct, share)
        for name, share in (("median", 0.5), ("p99", 0.99))
    }


async def _measure_streams():
    path = cost_path.Path(step_ms=cost_path.STEP_MS)
    try:
        await path.start()
        usage = await path.stream(STREAMS)
        most = await path.stream(MOST_STREAMS)
    finally:
        await path.close()
    return {
        "entry_chunk": usage.entry_cpu / usage.chunks,
        "agent_chunk": usage.agent_cpu / usage.chunks,
        "tokens_per_chunk": STREAMS * cost_path.STREAM_TOKENS / usage.chunks,
        "entry_stream_memory": most.entry_memory,
        "agent_stream_memory": most.agent_memory,
    }


def run():
    """Print the costs and return whether the bounds hold."""
    base = asyncio.run(cost_relay.measure_base())
    found = asyncio.run(measure_path())
    _print_requests(base, found)
    _print_chunks(base, found)
    _print_daemons(found)
    bare = base["bare"]
    sizes = [value for name, value in found.items() if name.endswith("_memory")]
    return (
        max(sizes) <= MEMORY_LIMIT
        and found["entry_request"] <= MAX_ENTRY_TO_BARE * bare
        and found["agent_request"] <= MAX_AGENT_TO_BARE * bare
        and base["chunk_together"] < base["chunk_apart"]
    )


def _print_requests(base, found):
    bare = base["bare"]
    print(f"{'bare tornado handler, a request':<44}{bare * 1e6:9.0f} us   1.0")
    for title, value in (
        ("one relay by the curl client, a request", base["relay"]),
        ("entry, an online request", found["entry_request"]),
        ("agent, an online request", found["agent_request"]),
    ):
        print(f"{title:<44}{value * 1e6:9.0f} us  {value / bare:4.1f}")


def _print_chunks(base, found):
    for title, value in (
        (f"entry, a chunk of {STREAMS} streams of 34 ms", found["entry_chunk"]),
        (f"agent, a chunk of {STREAMS} streams of 34 ms", found["agent_chunk"]),
        ("relay of a line, each written alone", base["chunk_apart"]),
        ("relay of a line, those together written once", base["chunk_together"]),
    ):
        print(f"{title:<44}{value * 1e6:9.0f} us  {value / base['bare']:4.2f}")
    print(f"{'tokens in one chunk at the caller':<44}{found['tokens_per_chunk']:9.2f}")


def _print_daemons(found):
    for role in ("entry", "agent"):
        print(f"{role + ', idle':<44}{found[role + '_idle_cpu']:9.2%} of a core")
        for state in ("idle", "stream"):
            size = found[f"{role}_{state}_memory"]
            print(f"{role + ', memory, ' + state:<44}{size / 1e6:9.1f} MB")
    for name in ("median", "p99"):
        added = found[f"added_{name}"] * 1e3
        print(f"{'added to a direct call, ' + name:<44}{added:9.2f} ms")
