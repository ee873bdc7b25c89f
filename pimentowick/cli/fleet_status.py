"""``pimentowick fleet status``: shows the state of entries, agents and shards."""

from pimentowick.cli import base, table

__all__ = ["FleetStatus"]


class FleetStatus(base.FleetCommand):
    """Shows the state of the fleet as known to one entry."""

    name = "fleet status"
    description = "Show versions in force, shard owners, and draining or lagging hosts."
    examples = ("pimentowick fleet status", "pimentowick fleet status --json")

    async def run_with_client(self, client):
        """Print entries, agents and shards."""
        status = base.unwrap(await client.fetch_json("GET", "/v1/admin/status"))
        self.show(status, _format_status(status))


def _format_status(status):
    return "\n\n".join(
        [
            f"Configuration version {status['configuration_version']}"
            f" at {status['entry']}.",
            _format_entries(status["entries"]),
            _format_agents(status["agents"]),
            _format_shards(status["shards"]),
        ]
    )


def _format_entries(entries):
    rows = [
        (
            name,
            entry["address"],
            "leaving" if entry["leaving"] else entry.get("state", "unknown"),
            _format_optional(entry.get("version")),
            _format_optional(entry.get("lag_s")),
        )
        for name, entry in sorted(entries.items())
    ]
    return table.format_table(("entry", "address", "state", "version", "lag_s"), rows)


def _format_optional(value):
    return "-" if value is None else value


def _format_agents(agents):
    rows = [
        (
            name,
            agent.get("service", "-"),
            agent["failure_domain"],
            "leaving" if agent["leaving"] else agent.get("state", "silent"),
            "yes" if agent["usable"] else "no",
            agent.get("online", "-"),
            agent.get("batch", "-"),
        )
        for name, agent in sorted(agents.items())
    ]
    headings = ("agent", "service", "domain", "state", "usable", "online", "batch")
    return table.format_table(headings, rows)


def _format_shards(shards):
    rows = [
        (
            number,
            shard["owner"] or "-",
            shard["epoch"],
            shard["open_jobs"],
            "yes" if shard["ready"] else "no",
        )
        for number, shard in sorted(shards.items(), key=lambda pair: int(pair[0]))
    ]
    headings = ("shard", "owner", "epoch", "open jobs", "read")
    return table.format_table(headings, rows)
