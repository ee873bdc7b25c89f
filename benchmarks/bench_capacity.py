"""Slopes of what each part costs, and the table of docs/CAPACITY.md from them."""

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
MAX_LEDGER_ITEM_BYTES = 12
# Slopes that depend on sizes and not on the machine: bounds of a regression.
BOUNDS = {
    "heartbeat_bytes": MAX_HEARTBEAT_BYTES,
    "ledger_memory": MAX_LEDGER_ITEM_BYTES,
    "takeover_claims": 1.5,
    "shard_reads": 1.2,
}


def run():
    """Print slopes and table, and return whether the bounds hold."""
    lines = capacity_state.measure_state()
    lines.update(asyncio.run(capacity_control.measure_control()))
    lines.update(asyncio.run(capacity_failures.measure_failures()))
    path = asyncio.run(bench_cost.measure_path())
    window, survey_s = asyncio.run(_measure_size())
    print(f"\nOne entry that sees all hosts: {window}")
    print(f"It asked all agents once within {survey_s:.1f} s.")
    over = capacity_table.print_table(lines, path, window)
    print("\nOver the limit: " + ("; ".join(over) or "nothing"))
    # A ledger that grows faster than its items shows as a line that does not fit.
    fits = lines["ledger_cpu"].residual <= MAX_RESIDUAL
    return fits and all(lines[name].slope <= most for name, most in BOUNDS.items())


async def _measure_size():
    size, settings = capacity_table.SIZE, capacity_table.SETTINGS
    return await capacity_control.measure_scene(
        size["agents"], size["entries"], **settings
    )
