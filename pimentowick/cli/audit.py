"""``pimentowick audit``: queries the audit trail."""

import datetime
import time

from pimentowick.cli import base, connection, table

__all__ = ["Audit", "parse_time"]

UNIT_SECONDS = {"s": 1, "m": 60, "h": 3600, "d": 86_400}


class Audit(base.FleetCommand):
    """Lists audit records by workspace, author, kind, name and time."""

    name = "audit"
    description = "Query the audit trail by workspace, author and time."
    examples = (
        "pimentowick audit --workspace feria-norte --since 2h",
        "pimentowick audit --by ada --kind order",
        "pimentowick audit --since 2026-12-01T00:00:00+00:00 --json",
        "pimentowick audit --own        # with a workspace's token",
    )
    _command_options = (
        base.make_option("workspace", "Name of the workspace."),
        base.make_option("by", "Operator, caller (workspace/token id) or owner."),
        base.make_option(
            "kind",
            "template, workspace, fleet, order, claim, release or cancel.",
        ),
        base.make_option("name", "Name of the document or host, or id of the job."),
        base.make_option(
            "since", "Start of the period: a time, or an age such as 30m or 2h."
        ),
        base.make_option("until", "End of the period: a time, or an age."),
        base.make_option("limit", "Maximum number of records; the newest are shown."),
        base.make_option("own", "Only records of the caller's workspace.", flag=True),
    )

    async def run_with_client(self, client):
        """Print the records that match the options."""
        query = {
            name: self.option(name)
            for name in ("workspace", "by", "kind", "name", "limit")
        }
        for name in ("since", "until"):
            text = self.option(name)
            query[name] = None if text is None else parse_time(text, time.time())
        path = "/v1/audit" if self.option("own") else "/v1/admin/audit"
        path = connection.add_query(path, **query)
        response = base.unwrap(await client.fetch_json("GET", path))
        self.show(response, table.format_audit_records(response["audit"]))
        missing_shards = response["missing_shards"]
        if missing_shards and not self.option("json"):
            self.line_error(f"No response for shards {missing_shards}.")


def parse_time(text, now):
    """Convert a time or an age to seconds since the epoch.

    Args:
        text: Seconds since the epoch, an ISO 8601 time, or an age such as ``2h``.
        now: Current time in seconds since the epoch.

    Raises:
        CommandError: The text is in none of these formats.

    Examples:
        >>> parse_time("2h", 10_000.0)
        2800.0
        >>> parse_time("1970-01-01T01:00:00+00:00", 0.0)
        3600.0
    """
    try:
        if text[-1:] in UNIT_SECONDS:
            return now - float(text[:-1]) * UNIT_SECONDS[text[-1]]
        if "-" in text:
            return datetime.datetime.fromisoformat(text).timestamp()
        return float(text)
    except ValueError:
        base.raise_usage_error(
            f"{text}: Expected a time such as 2026-12-01T08:00 or an age such as 2h."
        )
