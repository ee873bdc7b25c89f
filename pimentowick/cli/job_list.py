"""``pimentowick job list``: lists the newest jobs."""

from pimentowick.cli import base, connection, table

__all__ = ["JobList"]

HEADINGS = ("job", "workspace", "status", "completed", "failed", "pending", "submitted")


class JobList(base.FleetCommand):
    """Lists the jobs of one workspace, or those of all workspaces for operators."""

    name = "job list"
    description = "List the newest jobs of a workspace, or of all with --operator."
    examples = (
        "pimentowick job list --token-file norte.token",
        "pimentowick job list --operator --limit 20",
    )
    _command_options = (
        base.make_option("limit", "Maximum number of jobs, newest first."),
        base.OPERATOR_OPTION,
    )

    async def run_with_client(self, client):
        """Print the jobs."""
        path = base.make_api_path(self, "/batches")
        path = connection.add_query(path, limit=self.option("limit"))
        response = base.unwrap(await client.fetch_json("GET", path))
        rows = [_make_row(job) for job in response["data"]]
        self.show(response, table.format_table(HEADINGS, rows))


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
