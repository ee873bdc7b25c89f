"""``pimentowick job list``: the newest jobs."""

from pimentowick.cli import base, connection, table

__all__ = ["JobList"]

HEADINGS = ("job", "workspace", "status", "completed", "failed", "pending", "submitted")


class JobList(base.FleetCommand):
    """Lists the jobs of the workspace, or of all for an operator."""

    name = "job list"
    description = "List the newest jobs of a workspace, or of all with --operator."
    examples = (
        "pimentowick job list --token-file norte.token",
        "pimentowick job list --operator --limit 20",
    )
    _own_options = (
        base.get_option("limit", "Most jobs; the newest are shown."),
        base.OPERATOR_OPTION,
    )

    async def run_on(self, link):
        """Print the jobs."""
        path = base.choose_path(self, "/batches")
        path = connection.make_path(path, limit=self.option("limit"))
        answer = base.unwrap(await link.fetch_json("GET", path))
        rows = [_make_row(job) for job in answer["data"]]
        self.show(answer, table.format_table(HEADINGS, rows))


def _make_row(job):
    counts = job["request_counts"]
    return (
        job["id"],
        job["workspace"],
        job["status"],
        counts["completed"],
        counts["failed"],
        counts["pending"],
        table.format_time(job["submitted_at"]),
    )
