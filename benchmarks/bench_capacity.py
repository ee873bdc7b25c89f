"""Cost of each component by load, and the table of docs/CAPACITY.md from it."""

import asyncio

from benchmarks import (
    bench_cost,
    capacity_control,
    capacity_failures,
    capacity_state,
    capacity_table,
)

__all__ = ["run"]

MAX_RESIDUAL = 0.35
MAX_HEARTBEAT_BYTES = 500
MAX_LEDGER_BYTES_PER_ITEM = 12
# Regression bounds for slopes that do not depend on the speed of the processor.
MAX_SLOPES = {
    "heartbeat_bytes": MAX_HEARTBEAT_BYTES,
    "ledger_memory": MAX_LEDGER_BYTES_PER_ITEM,
    "takeover_claims": 1.5,
    "shard_reads": 1.2,
}


def run():
    """Print the slopes and the table, and return whether the bounds hold."""
    lines = capacity_state.measure_state()
    lines.update(asyncio.run(capacity_control.measure_control()))
    lines.update(asyncio.run(capacity_failures.measure_failures()))
    path_costs = asyncio.run(bench_cost.measure_path_costs())
    window, first_heartbeats_s = asyncio.run(_measure_design_size())
    print(f"\nOne entry that sees all hosts: {window}")
    print(f"It asked all agents once within {first_heartbeats_s:.1f} s.")
    exceeded = capacity_table.print_table(lines, path_costs, window)
    print("\nOver the limit: " + ("; ".join(exceeded) or "nothing"))
    # A superlinear cost of the ledger shows as a large residual of the fitted line.
    fits = lines["ledger_cpu"].residual <= MAX_RESIDUAL
    return fits and all(
        lines[name].slope <= max_slope for name, max_slope in MAX_SLOPES.items()
    )


async def _measure_design_size():
    size, settings = capacity_table.DESIGN_SIZE, capacity_table.SETTINGS
    return await capacity_control.measure_deployment(
        size["agents"], size["entries"], **settings
    )
