"""``pimentowick job cancel``: stop a job."""

from pimentowick.cli import base, jobs

__all__ = ["JobCancel"]


class JobCancel(base.FleetCommand):
    """Cancels a job, and returns once no item of it can start or complete."""

    name = "job cancel"
    description = "Stop a job; results that it has stay readable."
    examples = (
        "pimentowick job cancel batch_1f0c6a1be2d94c0712345678",
        "pimentowick job cancel batch_1f0c6a1be2d94c0712345678 --operator",
    )
    arguments = [jobs.JOB_ARGUMENT]
    _own_options = (base.OPERATOR_OPTION,)

    async def run_on(self, link):
        """Cancel, and print the job."""
        path = base.choose_path(self, f"/batches/{self.argument('job')}/cancel")
        jobs.show_job(self, base.unwrap(await link.fetch_json("POST", path, {})))
