"""``pimentowick job cancel``: stop a job."""

from pimentowick.cli import base, jobs

__all__ = ["JobCancel"]


class JobCancel(base.FleetCommand):
    """Cancels a job, and returns once no item of it can start or complete."""

    name = "job cancel"
    description = "Stop a job; results that it has stay readable."
    examples = ("pimentowick job cancel batch_1f0c6a1be2d94c0712345678",)
    arguments = [jobs.JOB_ARGUMENT]

    async def run_on(self, link):
        """Cancel, and print the job."""
        path = f"/v1/batches/{self.argument('job')}/cancel"
        jobs.show_job(self, base.unwrap(await link.fetch_json("POST", path, {})))
