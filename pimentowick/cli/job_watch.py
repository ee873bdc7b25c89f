"""``pimentowick job watch``: wait for the end of a job."""

import asyncio
import contextlib

from pimentowick.cli import base, jobs, outcome

__all__ = ["JobWatch"]

POLL_S = 0.5
MAX_FAILURES = 20


class JobWatch(base.FleetCommand):
    """Follows a job with a progress bar until it ends."""

    name = "job watch"
    description = "Wait until a job has ended; exit code 3 if it was cancelled."
    examples = ("pimentowick job watch batch_1f0c6a1be2d94c0712345678",)
    arguments = [jobs.JOB_ARGUMENT]

    async def run_on(self, link):
        """Show the progress, then the end."""
        job = await jobs.fetch_job(link, self.argument("job"))
        bar = self.progress_bar(job["request_counts"]["total"])
        quiet = self.option("json")
        if not quiet:
            bar.start()
        failures = 0
        while job["status"] == "in_progress":
            if not quiet:
                bar.set_progress(_count_ended(job))
            await asyncio.sleep(POLL_S)
            # While a shard changes hands no entry may answer for a moment.
            last = failures >= MAX_FAILURES
            with contextlib.nullcontext() if last else _ignore_failure():
                failures += 1
                job = await jobs.fetch_job(link, job["id"])
                failures = 0
        if not quiet:
            bar.set_progress(_count_ended(job))
            self.line_error("")
        jobs.show_job(self, job)
        if job["status"] == "cancelled":
            return outcome.ExitCode.REFUSED
        return outcome.ExitCode.OK


def _ignore_failure():
    return contextlib.suppress(base.CommandError)


def _count_ended(job):
    counts = job["request_counts"]
    return counts["completed"] + counts["failed"]
