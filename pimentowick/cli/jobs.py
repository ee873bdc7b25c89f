"""Helpers for the job commands."""

from pimentowick.cli import base

__all__ = ["JOB_ARGUMENT", "fetch_job", "format_job", "show_job"]

JOB_ARGUMENT = base.make_argument("job", "Id of the job, as printed by job submit.")


async def fetch_job(client, job_id):
    """Fetch the state of a job.

    Raises:
        CommandError: The job doesn't exist or the request fails.
    """
    return base.unwrap(await client.fetch_json("GET", f"/v1/batches/{job_id}"))


def format_job(job):
    """Format the status and item counts of a job in one line."""
    counts = job["request_counts"]
    late = ", late" if job["late"] else ""
    return (
        f"{job['id']} {job['status']}{late}: {counts['completed']} of"
        f" {counts['total']} completed, {counts['failed']} failed,"
        f" {counts['pending']} pending."
    )


def show_job(command, job):
    """Print the state of a job."""
    command.show(job, format_job(job))
