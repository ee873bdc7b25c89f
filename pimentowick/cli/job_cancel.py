"""``pimentowick job cancel``: cancels a job."""

from pimentowick.cli import base, jobs

__all__ = ["JobCancel"]


class JobCancel(base.FleetCommand):
    """Cancels a job; returns once none of its items can start or complete."""

    name = "job cancel"
    description = "Cancel a job; its existing results remain available."
    examples = (
        "pimentowick job cancel batch_1f0c6a1be2d94c0712345678",
        "pimentowick job cancel batch_1f0c6a1be2d94c0712345678 --operator",
    )
    arguments = [jobs.JOB_ARGUMENT]
    _command_options = (base.OPERATOR_OPTION,)

    async def run_with_client(self, client):
        """Cancel the job and print its state."""
        path = base.make_api_path(self, f"/batches/{self.argument('job')}/cancel")
        jobs.show_job(self, base.unwrap(await client.fetch_json("POST", path, {})))
