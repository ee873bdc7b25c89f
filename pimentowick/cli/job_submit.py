"""``pimentowick job submit``: a batch job from a file of JSON lines."""

import pathlib
import time

from pimentowick.cli import audit, base, jobs

__all__ = ["JobSubmit"]

SUBMIT_TIMEOUT_S = 300.0


class JobSubmit(base.FleetCommand):
    """Submits a job; the same key and content again is the same job."""

    name = "job submit"
    description = "Submit a batch job of JSON lines, one item a line."
    examples = (
        "pimentowick job submit dossiers.jsonl --key noche-2026-12-02",
        "pimentowick job submit dossiers.jsonl --key noche --deadline-in 6h",
    )
    arguments = [base.get_argument("file", "File of JSON lines.")]
    _own_options = (
        base.get_option("key", "Idempotency key: the name of this submission."),
        base.get_option("deadline-in", "Time until the results are wanted: 6h, 30m."),
    )

    async def run_on(self, link):
        """Submit, and print the job."""
        if not self.option("key"):
            base.fail_usage("Give --key NAME, so that a resend is not a second job.")
        headers = {"Idempotency-Key": self.option("key")}
        if self.option("deadline-in"):
            now = time.time()
            # Read as an age such as 6h: what lies so far behind lies as far ahead.
            left = now - audit.parse_time(self.option("deadline-in"), now)
            headers["X-Deadline"] = str(now + left)
        lines = _read_bytes(self.argument("file"))
        found = await link.fetch_json(
            "POST", "/v1/batches", lines, headers=headers, timeout_s=SUBMIT_TIMEOUT_S
        )
        jobs.show_job(self, base.unwrap(found))


def _read_bytes(path):
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        base.fail_usage(f"{path}: {error.strerror}.")
