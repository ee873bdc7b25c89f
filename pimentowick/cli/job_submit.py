"""``pimentowick job submit``: submits a batch job from a JSON Lines file."""

import pathlib
import time

from pimentowick.cli import audit, base, jobs

__all__ = ["JobSubmit"]

SUBMIT_TIMEOUT_S = 300.0


class JobSubmit(base.FleetCommand):
    """Submits a job; submitting the same key and content again is idempotent."""

    name = "job submit"
    description = "Submit a batch job in JSON Lines format, one item per line."
    examples = (
        "pimentowick job submit dossiers.jsonl --key noche-2026-12-02",
        "pimentowick job submit dossiers.jsonl --key noche --deadline-in 6h",
    )
    arguments = [base.make_argument("file", "File in JSON Lines format.")]
    _command_options = (
        base.make_option("key", "Idempotency key of the submission."),
        base.make_option("deadline-in", "Time until the deadline, such as 6h or 30m."),
    )

    async def run_with_client(self, client):
        """Submit the job and print its state."""
        if not self.option("key"):
            base.raise_usage_error(
                "--key NAME is required; it makes resubmission idempotent."
            )
        headers = {"Idempotency-Key": self.option("key")}
        if self.option("deadline-in"):
            now = time.time()
            # `parse_time` subtracts durations such as 6h from the current time.
            remaining_s = now - audit.parse_time(self.option("deadline-in"), now)
            headers["X-Deadline"] = str(now + remaining_s)
        lines = _read_bytes(self.argument("file"))
        response = await client.fetch_json(
            "POST", "/v1/batches", lines, headers=headers, timeout_s=SUBMIT_TIMEOUT_S
        )
        jobs.show_job(self, base.unwrap(response))


def _read_bytes(path):
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        base.raise_usage_error(f"{path}: {error.strerror}.")
