"""What the commands about batch jobs have in common."""

from pimentowick.cli import base

__all__ = ["JOB_ARGUMENT", "fetch_job", "format_job", "show_job"]

JOB_ARGUMENT = base.get_argument("job", "Id of the job, as submit printed it.")


async def fetch_job(link, job_id):
    """Return the description of a job.

    Raises:
        CommandError: There is none, or no entry answered.
    """
    return base.unwrap(await link.fetch_json("GET", f"/v1/batches/{job_id}"))


def format_job(job):
    """Return one line about a job."""
    counts = job["request_counts"]
    late = ", late" if job["late"] else ""
    return (
        f"{job['id']} {job['status']}{late}: {counts['completed']} of"
        f" {counts['total']} completed, {counts['failed']} failed,"
        f" {counts['pending']} pending."
    )


def show_job(command, job):
    """Print a job."""
    command.show(job, format_job(job))
