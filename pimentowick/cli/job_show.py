"""``pimentowick job show``: how a job is."""

from pimentowick.cli import base, jobs

__all__ = ["JobShow"]


class JobShow(base.FleetCommand):
    """Shows the state and counts of a job."""

    name = "job show"
    description = "Show the state of a job."
    examples = ("pimentowick job show batch_1f0c6a1be2d94c0712345678",)
    arguments = [jobs.JOB_ARGUMENT]

    async def run_on(self, link):
        """Print the job."""
        jobs.show_job(self, await jobs.fetch_job(link, self.argument("job")))
