"""HTTP handlers that list the batch jobs of all shards."""

from pimentowick import web as http_web
from pimentowick.entry import handler, job

__all__ = ["CallerJobsHandler", "OperatorJobsHandler"]

DEFAULT_READ_LIMIT = 100
MAX_LIMIT = 1000


async def _write_jobs(handler, path, workspace):
    """Respond with the newest jobs of a workspace; None selects all workspaces."""
    limit = _read_limit(handler)
    entry = handler.entry
    jobs = {}
    missing = set(range(entry.settings.shards))
    if handler.get_query_argument("local", None) is None:
        for other in await handler.query_entries(f"{path}?limit={limit}&local=1"):
            missing -= set(other["shards"])
            jobs.update((each["id"], each) for each in other["data"])
    followed = entry.table.followed
    for shard in followed.values():
        for each in shard.ledger.jobs.values():
            if workspace in (None, each.workspace):
                jobs[each.id] = {"workspace": each.workspace, **job.describe_job(each)}
    newest = sorted(jobs.values(), key=lambda each: each["submitted_at"], reverse=True)
    handler.write_json(
        {
            "object": "list",
            "data": newest[:limit],
            "shards": sorted(followed),
            "missing_shards": sorted(missing - set(followed)),
        }
    )


def _read_limit(handler):
    text = handler.get_query_argument("limit", str(DEFAULT_READ_LIMIT))
    if not text.isdigit() or not 1 <= int(text) <= MAX_LIMIT:
        raise http_web.make_input_error(f"limit is from 1 to {MAX_LIMIT}.")
    return int(text)


class CallerJobsHandler(job.JobsHandler):
    """``/v1/batches``: submit a job or list the jobs of the workspace."""

    async def get(self):
        """Respond with the workspace's newest jobs."""
        await _write_jobs(self, "/v1/batches", self.workspace.name)


class OperatorJobsHandler(handler.OperatorHandler):
    """``GET /v1/admin/batches``: the jobs of all workspaces."""

    async def get(self):
        """Respond with the newest jobs."""
        await _write_jobs(self, "/v1/admin/batches", None)
