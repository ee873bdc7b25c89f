"""Lists of batch jobs, put together from the shards of all entries."""

from pimentowick import web as http_web
from pimentowick.entry import handler, job

__all__ = ["CallerJobsHandler", "OperatorJobsHandler"]

LIST_LIMIT = 100
MAX_LIST_LIMIT = 1000


async def _answer(handler, path, workspace):
    """Answer with the newest jobs of a workspace, or of all if it is None."""
    limit = _read_limit(handler)
    entry = handler.entry
    jobs = {}
    missing = set(range(entry.settings.shards))
    if handler.get_query_argument("local", None) is None:
        for other in await handler.ask_entries(f"{path}?limit={limit}&local=1"):
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
    text = handler.get_query_argument("limit", str(LIST_LIMIT))
    if not text.isdigit() or not 1 <= int(text) <= MAX_LIST_LIMIT:
        raise http_web.make_input_error(f"limit is from 1 to {MAX_LIST_LIMIT}.")
    return int(text)


class CallerJobsHandler(job.JobsHandler):
    """``/v1/batches``: submit a job, or list those of the workspace."""

    async def get(self):
        """Answer with the workspace's newest jobs."""
        await _answer(self, "/v1/batches", self.workspace.name)


class OperatorJobsHandler(handler.OperatorHandler):
    """``GET /v1/admin/batches``: the jobs of all workspaces."""

    async def get(self):
        """Answer with the newest jobs."""
        await _answer(self, "/v1/admin/batches", None)
