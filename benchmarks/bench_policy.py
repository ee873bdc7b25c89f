"""Batch beside online: what each policy harvests, and what it does to online.

Every policy gets the same traffic, from the same seeds. Most runs are in virtual
time against a model of the engine, some against the stand-in over HTTP in a process
of its own. All ratios are to the run without batch of the same table.
"""

import time

from benchmarks import policy_fairness, policy_runs

__all__ = ["run"]

SIMULATED_S = 90.0
LIVE_S = 20.0
SIMULATIONS_AT_ONCE = 3
LIVE_AT_ONCE = 2
LIVE_TRAFFIC = ("steady", "bursty")
LIVE_POLICIES = ("none", "averse", "throughput")

# Bounds against regression, on runs in virtual time, which give the same figures
# each time.
MOST_AVERSE_GAP = 1.07
MOST_AVERSE_FIRST = 1.07
LEAST_AVERSE_HARVEST = 0.09
LEAST_FREE_HARVEST = 0.90
MOST_THROUGHPUT_GAP = 1.15
LEAST_THROUGHPUT_HARVEST = 0.33
MOST_LONG_BURST = 1.10
MOST_SPREAD = 0.05


def run():
    """Print the tables, and return whether all bounds are kept."""
    began_at = time.monotonic()
    names = list(policy_runs.POLICIES)
    rate, tables = run_tables(
        policy_runs.simulate, list(policy_runs.TRAFFIC), names, SIMULATED_S, "virtual"
    )
    run_tables(policy_runs.run_live, LIVE_TRAFFIC, LIVE_POLICIES, LIVE_S, "HTTP")
    spreads = policy_fairness.run()
    missed = list_missed(rate, tables, spreads)
    for text in missed:
        print(f"Missed: {text}")
    print(f"Took {time.monotonic() - began_at:.0f} s.")
    return not missed


def run_tables(function, traffics, names, duration_s, label):
    """Run policies, print a table for each traffic, and return the rows.

    Returns:
        Tokens a second of batch alone, and rows by traffic and policy.
    """
    alone = policy_runs.Policy("fixed", policy_runs.MAX_BATCH)
    cases = {("alone", "alone"): (alone, None, duration_s)}
    for traffic in traffics:
        for name in names:
            shape = policy_runs.TRAFFIC[traffic]
            cases[traffic, name] = (policy_runs.POLICIES[name], shape, duration_s)
    workers = SIMULATIONS_AT_ONCE if label == "virtual" else LIVE_AT_ONCE
    rows = policy_runs.run_many(function, cases, workers)
    outcome = rows.pop(("alone", "alone")).outcome
    rate = outcome.batch_tokens / outcome.duration_s
    print(f"\n{label}: batch alone makes {rate:.0f} tokens a second.")
    for traffic in traffics:
        print_table(label, traffic, names, rows, rate)
    return rate, rows


def print_table(label, traffic, names, rows, rate):
    """Print what each policy came to under one kind of traffic."""
    base = rows[traffic, "none"]
    counts = f"{len(base.outcome.first_ms)} first, {len(base.outcome.gap_ms)} gaps"
    print(f"\n{label}, {traffic} ({counts}), ratios to no batch at p50 p95 p99")
    print(
        f"{'policy':17}{'first token':>18}{'burst first':>18}{'between tokens':>18}"
        f"{'harvest':>9}{'free':>6}{'refill s':>9}{'preempted':>10}{'refused':>8}"
    )
    for name in names:
        row = rows[traffic, name]
        parts = [
            " ".join(f"{ratio:4.2f}" for ratio in row.compute_ratios(base, part))
            for part in ("first_ms", "burst_ms", "gap_ms")
        ]
        refill_s = policy_runs.compute_quantile(row.outcome.refill_s, 0.5)
        print(
            f"{name:17}" + "".join(f"{part:>18}" for part in parts),
            f"{row.compute_harvest(rate, base):8.3f}",
            f"{row.compute_free_harvest(rate):5.2f}",
            f"{refill_s:8.2f} {row.outcome.preemptions:9d} {row.outcome.refused:7d}",
            flush=True,
        )


def list_missed(rate, rows, spreads):
    """Return a line for each bound that is missed."""
    ceilings = [
        *_list_ceilings(rows),
        *((f"spread of {name}", spread, MOST_SPREAD) for name, spread in spreads),
    ]
    floors = _list_floors(rate, rows)
    missed = [f"{n}: {v:.3f} above {bound}" for n, v, bound in ceilings if v > bound]
    missed += [f"{n}: {v:.3f} below {bound}" for n, v, bound in floors if v < bound]
    return missed


def _list_ceilings(rows):
    """Return name, value and greatest value of the harms that are bounded."""
    none = rows["steady", "none"]
    averse = rows["steady", "averse"]
    throughput = rows["steady", "throughput"]
    long_none = rows["long bursts", "none"]
    long_bursts = rows["long bursts", "averse"]
    return [
        ("averse gap p99", averse.compute_ratios(none, "gap_ms")[2], MOST_AVERSE_GAP),
        (
            "averse first p99",
            averse.compute_ratios(none, "first_ms")[2],
            MOST_AVERSE_FIRST,
        ),
        (
            "throughput gap p99",
            throughput.compute_ratios(none, "gap_ms")[2],
            MOST_THROUGHPUT_GAP,
        ),
        (
            "long burst first p50",
            long_bursts.compute_ratios(long_none, "burst_ms")[0],
            MOST_LONG_BURST,
        ),
    ]


def _list_floors(rate, rows):
    """Return name, value and least value of the harvests that are bounded."""
    none = rows["steady", "none"]
    averse = rows["steady", "averse"]
    throughput = rows["steady", "throughput"]
    bursty = rows["bursty", "averse"]
    return [
        ("averse harvest", averse.compute_harvest(rate, none), LEAST_AVERSE_HARVEST),
        ("free harvest", bursty.compute_free_harvest(rate), LEAST_FREE_HARVEST),
        (
            "throughput harvest",
            throughput.compute_harvest(rate, none),
            LEAST_THROUGHPUT_HARVEST,
        ),
    ]
