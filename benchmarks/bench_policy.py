"""Batch throughput and online latency of the scheduling policies under mixed load.

Every policy gets the same traffic from the same seeds. Most runs are in virtual time
against a model of the engine, some against the fake engine in a separate process over
HTTP. All ratios are to the run without batch of the same table.
"""

import time

from benchmarks import policy_fairness, policy_runs

__all__ = ["run"]

SIMULATED_S = 90.0
LIVE_S = 20.0
SIMULATION_WORKERS = 3
LIVE_WORKERS = 2
LIVE_TRAFFIC = ("steady", "bursty")
LIVE_POLICIES = ("none", "averse", "throughput")

# Regression bounds for the runs in virtual time, which are deterministic.
MAX_AVERSE_GAP_RATIO = 1.07
MAX_AVERSE_FIRST_RATIO = 1.07
MIN_AVERSE_UTILIZATION = 0.09
MIN_FREE_UTILIZATION = 0.90
MAX_THROUGHPUT_GAP_RATIO = 1.15
MIN_THROUGHPUT_UTILIZATION = 0.33
MAX_LONG_BURST_RATIO = 1.10
MAX_SPREAD = 0.05


def run():
    """Print the tables, and return whether all bounds hold."""
    started_at = time.monotonic()
    policy_names = list(policy_runs.POLICIES)
    batch_alone_rate, tables = run_tables(
        policy_runs.simulate,
        list(policy_runs.TRAFFIC),
        policy_names,
        SIMULATED_S,
        "virtual",
    )
    run_tables(policy_runs.run_live, LIVE_TRAFFIC, LIVE_POLICIES, LIVE_S, "HTTP")
    spreads = policy_fairness.run()
    missed = list_missed_bounds(batch_alone_rate, tables, spreads)
    for text in missed:
        print(f"Missed: {text}")
    print(f"Took {time.monotonic() - started_at:.0f} s.")
    return not missed


def run_tables(function, traffic_names, policy_names, duration_s, label):
    """Run the policies and print a table for each kind of traffic.

    Returns:
        Tokens a second of a run with batch alone, and rows by traffic and policy.
    """
    batch_alone = policy_runs.Policy("fixed", policy_runs.MAX_BATCH)
    cases = {("alone", "alone"): (batch_alone, None, duration_s)}
    for traffic in traffic_names:
        for name in policy_names:
            shape = policy_runs.TRAFFIC[traffic]
            cases[traffic, name] = (policy_runs.POLICIES[name], shape, duration_s)
    workers = SIMULATION_WORKERS if label == "virtual" else LIVE_WORKERS
    rows = policy_runs.run_many(function, cases, workers)
    outcome = rows.pop(("alone", "alone")).outcome
    batch_alone_rate = outcome.batch_tokens / outcome.duration_s
    print(f"\n{label}: batch alone makes {batch_alone_rate:.0f} tokens a second.")
    for traffic in traffic_names:
        print_table(label, traffic, policy_names, rows, batch_alone_rate)
    return batch_alone_rate, rows


def print_table(label, traffic, policy_names, rows, batch_alone_rate):
    """Print the results of all policies under one kind of traffic."""
    no_batch = rows[traffic, "none"]
    counts = (
        f"{len(no_batch.outcome.first_ms)} first, {len(no_batch.outcome.gap_ms)} gaps"
    )
    print(f"\n{label}, {traffic} ({counts}), ratios to no batch at p50 p95 p99")
    print(
        f"{'policy':17}{'first token':>18}{'burst first':>18}{'between tokens':>18}"
        f"{'harvest':>9}{'free':>6}{'refill s':>9}{'preempted':>10}{'refused':>8}"
    )
    for name in policy_names:
        row = rows[traffic, name]
        parts = [
            " ".join(f"{ratio:4.2f}" for ratio in row.compute_ratios(no_batch, part))
            for part in ("first_ms", "burst_ms", "gap_ms")
        ]
        refill_s = policy_runs.compute_quantile(row.outcome.refill_s, 0.5)
        print(
            f"{name:17}" + "".join(f"{part:>18}" for part in parts),
            f"{row.compute_utilization(batch_alone_rate, no_batch):8.3f}",
            f"{row.compute_free_utilization(batch_alone_rate):5.2f}",
            f"{refill_s:8.2f} {row.outcome.preemptions:9d} {row.outcome.refused:7d}",
            flush=True,
        )


def list_missed_bounds(batch_alone_rate, rows, spreads):
    """Return a description of each missed bound."""
    upper_bounds = [
        *_list_upper_bounds(rows),
        *((f"spread of {name}", spread, MAX_SPREAD) for name, spread in spreads),
    ]
    lower_bounds = _list_lower_bounds(batch_alone_rate, rows)
    missed = [
        f"{n}: {v:.3f} above {bound}" for n, v, bound in upper_bounds if v > bound
    ]
    missed += [
        f"{n}: {v:.3f} below {bound}" for n, v, bound in lower_bounds if v < bound
    ]
    return missed


def _list_upper_bounds(rows):
    """Return name, value and upper bound of the bounded latency ratios."""
    no_batch = rows["steady", "none"]
    averse = rows["steady", "averse"]
    throughput = rows["steady", "throughput"]
    long_no_batch = rows["long bursts", "none"]
    long_bursts = rows["long bursts", "averse"]
    return [
        (
            "averse gap p99",
            averse.compute_ratios(no_batch, "gap_ms")[2],
            MAX_AVERSE_GAP_RATIO,
        ),
        (
            "averse first p99",
            averse.compute_ratios(no_batch, "first_ms")[2],
            MAX_AVERSE_FIRST_RATIO,
        ),
        (
            "throughput gap p99",
            throughput.compute_ratios(no_batch, "gap_ms")[2],
            MAX_THROUGHPUT_GAP_RATIO,
        ),
        (
            "long burst first p50",
            long_bursts.compute_ratios(long_no_batch, "burst_ms")[0],
            MAX_LONG_BURST_RATIO,
        ),
    ]


def _list_lower_bounds(batch_alone_rate, rows):
    """Return name, value and lower bound of the bounded batch throughputs."""
    no_batch = rows["steady", "none"]
    averse = rows["steady", "averse"]
    throughput = rows["steady", "throughput"]
    bursty = rows["bursty", "averse"]
    return [
        (
            "averse harvest",
            averse.compute_utilization(batch_alone_rate, no_batch),
            MIN_AVERSE_UTILIZATION,
        ),
        (
            "free harvest",
            bursty.compute_free_utilization(batch_alone_rate),
            MIN_FREE_UTILIZATION,
        ),
        (
            "throughput harvest",
            throughput.compute_utilization(batch_alone_rate, no_batch),
            MIN_THROUGHPUT_UTILIZATION,
        ),
    ]
