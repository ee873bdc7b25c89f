"""``pimentowick job watch``: waits until a job ends."""

import asyncio
import contextlib

from pimentowick.cli import base, jobs, outcome

__all__ = ["JobWatch"]

POLL_INTERVAL_S = 0.5
MAX_CONSECUTIVE_FAILURES = 20


class JobWatch(base.FleetCommand):
    """Shows a progress bar until a job ends."""

    name = "job watch"
    description = "Wait until a job has ended; exit code 3 if it was cancelled."
    examples = ("pimentowick job watch batch_1f0c6a1be2d94c0712345678",)
    arguments = [jobs.JOB_ARGUMENT]

    async def run_with_client(self, client):
        """Show the progress, then the final state."""
        job = await jobs.fetch_job(client, self.argument("job"))
        bar = self.progress_bar(job["request_counts"]["total"])
        json_output = self.option("json")
        if not json_output:
            bar.start()
        failure_count = 0
        while job["status"] == "in_progress":
            if not json_output:
                bar.set_progress(_count_finished(job))
            await asyncio.sleep(POLL_INTERVAL_S)
            # Requests may fail briefly while ownership of a shard moves.
            is_last_try = failure_count >= MAX_CONSECUTIVE_FAILURES
            with contextlib.nullcontext() if is_last_try else _ignore_command_errors():
                failure_count += 1
                job = await jobs.fetch_job(client, job["id"])
                failure_count = 0
        if not json_output:
            bar.set_progress(_count_finished(job))
            self.line_error("")
        jobs.show_job(self, job)
        if job["status"] == "cancelled":
            return outcome.ExitCode.REFUSED
        return outcome.ExitCode.OK


def _ignore_command_errors():
    return contextlib.suppress(base.CommandError)


def _count_finished(job):
    counts = job["request_counts"]
    return counts["completed"] + counts["failed"]
