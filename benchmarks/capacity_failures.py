"""Cost of shard takeovers, and of starting an entry by size of its configuration."""

import asyncio
import time

from loguru import logger

from benchmarks import capacity_control, capacity_fit, capacity_state
from pimentowick.fakes import embedded

__all__ = ["measure_failures"]

SHARD_SIZES = (2, 6, 12)
TAKEOVER_S = 3.0
JOB_ITEMS = 40
JOB_TOKENS = 400


async def measure_failures():
    """Print the costs of takeovers and starts; return the fitted lines by name."""
    lines = await _measure_takeovers()
    lines.update(await _measure_starts())
    return lines


async def _measure_takeovers():
    rows = []
    for shards in SHARD_SIZES:
        rows.append((shards, *await _measure_takeover(shards)))
    return {
        "takeover_claims": capacity_fit.print_line(
            "Claims after the loss of one of three entries, by its shards",
            "appends",
            [(taken, claims) for _, taken, claims, _ in rows],
        ),
        "takeover_s": capacity_fit.print_line(
            f"Takeover, by shards of the fleet (takeover_s {TAKEOVER_S:g})",
            "s until all are owned again",
            [(shards, seconds) for shards, _, _, seconds in rows],
        ),
    }


async def _measure_takeover(shards):
    fleet = embedded.EmbeddedDeployment(
        entries=3,
        services=0,
        entry_settings={"shards": shards, "takeover_s": TAKEOVER_S},
    )
    logger.remove()
    try:
        await fleet.start()
        await _open_jobs(fleet, shards)
        crashed_host, owned = _find_largest_owner(fleet)
        before = _sum_epochs(fleet)
        await fleet.crash(crashed_host)
        started_at = time.monotonic()
        await fleet.wait_for(
            lambda: not owned & _list_owned_shards(fleet, crashed_host)
        )
        return len(owned), _sum_epochs(fleet) - before, time.monotonic() - started_at
    finally:
        await fleet.close()


async def _open_jobs(fleet, shards):
    """Submit jobs until each shard has an unfinished one, and thereby an owner."""
    number = 0
    while len(_list_owned_shards(fleet)) < shards:
        lines = embedded.make_job_lines(JOB_ITEMS, JOB_TOKENS, prefix=f"j{number}")
        await fleet.submit(lines, f"key-{number}")
        number += 1
        await asyncio.sleep(0.05)


def _list_shards(fleet):
    entry = next(iter(fleet.entries.values()))
    return entry.table.followed.values()


def _list_owned_shards(fleet, host=None):
    """Return the numbers of the shards owned by `host`, or by any host if None."""
    return {
        shard.number
        for shard in _list_shards(fleet)
        if shard.ledger.owner is not None
        and host in (None, shard.ledger.owner.partition("#")[0])
    }


def _find_largest_owner(fleet):
    owned = {name: _list_owned_shards(fleet, name) for name in fleet.entries}
    largest_owner = max(owned, key=lambda name: len(owned[name]))
    return largest_owner, owned[largest_owner]


def _sum_epochs(fleet):
    return sum(shard.ledger.epoch for shard in _list_shards(fleet))


async def _measure_starts():
    rows = []
    for count in capacity_state.CONFIGURATION_SIZES:
        deployment = capacity_control.EntryDeployment(0, 1, {"shards": 1})
        try:
            await deployment.start(capacity_state.make_configuration(count))
            seconds = await deployment.wait_until_ready(count)
            counts = await deployment.read_counts(deployment.platform_process)
            memory = deployment.entry.read_memory()
            cpu = deployment.entry.read_cpu()
            rows.append(
                (
                    count,
                    seconds,
                    cpu,
                    counts["log_bytes"] - deployment.preloaded_bytes,
                    memory,
                )
            )
        finally:
            await deployment.close()
    titles = (
        ("start_s", "Start of an entry, by workspaces", "s until it is ready"),
        ("start_cpu", "Start of an entry, by workspaces", "s of a core"),
        ("start_bytes", "Start of an entry, by workspaces", "bytes from the log"),
        ("start_memory", "Entry after its start, by workspaces", "bytes resident"),
    )
    return {
        name: capacity_fit.print_line(title, unit, [(r[0], r[i]) for r in rows])
        for i, (name, title, unit) in enumerate(titles, start=1)
    }
