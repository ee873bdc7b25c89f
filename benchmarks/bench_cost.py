"""Cost of a request, of a streamed chunk and of an idle process."""

import asyncio
import time

from benchmarks import cost_path, cost_relay

__all__ = ["measure_path_costs", "run"]

MAX_MEMORY_BYTES = 64_000_000
REQUESTS = 1500
CONCURRENCY = 16
LATENCY_REQUESTS = 600
LATENCY_TOKENS = 8
STREAMS = 90
MAX_STREAMS = 100
IDLE_S = 5.0
# Processor time of a request as a ratio to that of a bare tornado handler.
MAX_ENTRY_COST_RATIO = 4.5
MAX_AGENT_COST_RATIO = 4.5


async def measure_path_costs():
    """Measure requests and streams from caller to engine.

    Returns:
        Costs by name; times are in seconds and memory is in bytes.
    """
    costs = await _measure_requests()
    costs.update(await _measure_streams())
    return costs


async def _measure_requests():
    path = cost_path.RequestPath(step_ms=1)
    try:
        await path.start()
        idle = await _measure_idle(path)
        await path.run_requests(lambda: path.send_chat(1), 100, CONCURRENCY)
        usage = await path.run_requests(
            lambda: path.send_chat(1), REQUESTS, CONCURRENCY
        )
        routed = await path.run_requests(
            lambda: path.send_chat(LATENCY_TOKENS), LATENCY_REQUESTS, 4
        )
        direct = await path.run_requests(
            lambda: path.send_to_engine(LATENCY_TOKENS), LATENCY_REQUESTS, 4
        )
    finally:
        await path.close()
    return {
        **idle,
        "entry_request": usage.entry_cpu / REQUESTS,
        "agent_request": usage.agent_cpu / REQUESTS,
        **_compute_added_latency(routed.latencies, direct.latencies),
    }


async def _measure_idle(path):
    await asyncio.sleep(1.0)
    before = path.entry.read_cpu(), path.agent.read_cpu()
    started_at = time.monotonic()
    await asyncio.sleep(IDLE_S)
    elapsed_s = time.monotonic() - started_at
    return {
        "entry_idle_cpu": (path.entry.read_cpu() - before[0]) / elapsed_s,
        "agent_idle_cpu": (path.agent.read_cpu() - before[1]) / elapsed_s,
        "entry_idle_memory": path.entry.read_memory(),
        "agent_idle_memory": path.agent.read_memory(),
    }


def _compute_added_latency(routed, direct):
    return {
        f"added_{name}": cost_path.get_percentile(routed, fraction)
        - cost_path.get_percentile(direct, fraction)
        for name, fraction in (("median", 0.5), ("p99", 0.99))
    }


async def _measure_streams():
    path = cost_path.RequestPath(step_ms=cost_path.STEP_MS)
    try:
        await path.start()
        usage = await path.run_streams(STREAMS)
        max_usage = await path.run_streams(MAX_STREAMS)
    finally:
        await path.close()
    return {
        "entry_chunk": usage.entry_cpu / usage.chunks,
        "agent_chunk": usage.agent_cpu / usage.chunks,
        "tokens_per_chunk": STREAMS * cost_path.STREAM_TOKENS / usage.chunks,
        "entry_stream_memory": max_usage.entry_memory,
        "agent_stream_memory": max_usage.agent_memory,
    }


def run():
    """Print the costs, and return whether the bounds hold."""
    baseline = asyncio.run(cost_relay.measure_baseline())
    costs = asyncio.run(measure_path_costs())
    _print_request_costs(baseline, costs)
    _print_chunk_costs(baseline, costs)
    _print_process_costs(costs)
    bare_cost = baseline["bare"]
    sizes = [value for name, value in costs.items() if name.endswith("_memory")]
    return (
        max(sizes) <= MAX_MEMORY_BYTES
        and costs["entry_request"] <= MAX_ENTRY_COST_RATIO * bare_cost
        and costs["agent_request"] <= MAX_AGENT_COST_RATIO * bare_cost
        and baseline["chunk_together"] < baseline["chunk_apart"]
    )


def _print_request_costs(baseline, costs):
    bare_cost = baseline["bare"]
    print(f"{'bare tornado handler, a request':<44}{bare_cost * 1e6:9.0f} us   1.0")
    for title, value in (
        ("one relay by the curl client, a request", baseline["relay"]),
        ("entry, an online request", costs["entry_request"]),
        ("agent, an online request", costs["agent_request"]),
    ):
        print(f"{title:<44}{value * 1e6:9.0f} us  {value / bare_cost:4.1f}")


def _print_chunk_costs(baseline, costs):
    for title, value in (
        (f"entry, a chunk of {STREAMS} streams of 34 ms", costs["entry_chunk"]),
        (f"agent, a chunk of {STREAMS} streams of 34 ms", costs["agent_chunk"]),
        ("relay of a line, each written alone", baseline["chunk_apart"]),
        ("relay of a line, those together written once", baseline["chunk_together"]),
    ):
        print(f"{title:<44}{value * 1e6:9.0f} us  {value / baseline['bare']:4.2f}")
    print(f"{'tokens in one chunk at the caller':<44}{costs['tokens_per_chunk']:9.2f}")


def _print_process_costs(costs):
    for role in ("entry", "agent"):
        print(f"{role + ', idle':<44}{costs[role + '_idle_cpu']:9.2%} of a core")
        for state in ("idle", "stream"):
            size = costs[f"{role}_{state}_memory"]
            print(f"{role + ', memory, ' + state:<44}{size / 1e6:9.1f} MB")
    for name in ("median", "p99"):
        added = costs[f"added_{name}"] * 1e3
        print(f"{'added to a direct call, ' + name:<44}{added:9.2f} ms")
