"""``pimentowick job show``: shows the state of a job."""

from pimentowick.cli import base, jobs

__all__ = ["JobShow"]


class JobShow(base.FleetCommand):
    """Shows the status and item counts of a job."""

    name = "job show"
    description = "Show the state of a job."
    examples = ("pimentowick job show batch_1f0c6a1be2d94c0712345678",)
    arguments = [jobs.JOB_ARGUMENT]

    async def run_with_client(self, client):
        """Print the job."""
        jobs.show_job(self, await jobs.fetch_job(client, self.argument("job")))
