"""``pimentowick audit``: who did what, when and from where."""

import datetime
import time

from pimentowick.cli import base, connection, table

__all__ = ["Audit", "parse_time"]

UNITS_S = {"s": 1, "m": 60, "h": 3600, "d": 86_400}


class Audit(base.FleetCommand):
    """Queries the audit trail."""

    name = "audit"
    description = "Query the audit trail by workspace, person and time."
    examples = (
        "pimentowick audit --workspace feria-norte --since 2h",
        "pimentowick audit --by ada --kind order",
        "pimentowick audit --since 2026-12-01T00:00:00+00:00 --json",
        "pimentowick audit --own        # with a workspace's token",
    )
    _own_options = (
        base.get_option("workspace", "Name of the workspace."),
        base.get_option("by", "Operator, caller (workspace/token id) or owner."),
        base.get_option(
            "kind",
            "template, workspace, fleet, order, claim, release or cancel.",
        ),
        base.get_option("name", "Name of the document or host, or id of the job."),
        base.get_option("since", "A time, or an age such as 30m or 2h."),
        base.get_option("until", "A time, or an age."),
        base.get_option("limit", "Most notes; the newest are shown."),
        base.get_option("own", "The caller's own part of the trail.", flag=True),
    )

    async def run_on(self, link):
        """Print the notes that fit."""
        fields = {
            name: self.option(name)
            for name in ("workspace", "by", "kind", "name", "limit")
        }
        for name in ("since", "until"):
            text = self.option(name)
            fields[name] = None if text is None else parse_time(text, time.time())
        path = "/v1/audit" if self.option("own") else "/v1/admin/audit"
        path = connection.make_path(path, **fields)
        answer = base.unwrap(await link.fetch_json("GET", path))
        self.show(answer, table.format_notes(answer["audit"]))
        missing = answer["missing_shards"]
        if missing and not self.option("json"):
            self.line_error(f"No entry answered for the shards {missing}.")


def parse_time(text, now):
    """Return epoch seconds from a time or an age.

    Args:
        text: Epoch seconds, a time in ISO 8601 form, or an age such as ``2h``.
        now: The present time, in epoch seconds.

    Raises:
        CommandError: It is none of these.

    Examples:
        >>> parse_time("2h", 10_000.0)
        2800.0
        >>> parse_time("1970-01-01T01:00:00+00:00", 0.0)
        3600.0
    """
    try:
        if text[-1:] in UNITS_S:
            return now - float(text[:-1]) * UNITS_S[text[-1]]
        if "-" in text:
            return datetime.datetime.fromisoformat(text).timestamp()
        return float(text)
    except ValueError:
        base.fail_usage(f"{text}: Expected a time such as 2026-12-01T08:00 or 2h.")
