"""``pimentowick job fetch``: downloads the results of a job."""

import os
import pathlib

from pimentowick.cli import base, jobs

__all__ = ["JobFetch"]

FETCH_TIMEOUT_S = 600.0


class JobFetch(base.FleetCommand):
    """Downloads the results available so far in JSON Lines format."""

    name = "job fetch"
    description = (
        "Fetch the results of a job as JSON Lines; writes the file atomically."
    )
    examples = ("pimentowick job fetch batch_1f0c6a1b --output results.jsonl",)
    arguments = [jobs.JOB_ARGUMENT]
    _command_options = (base.make_option("output", "File to write. Default: stdout."),)

    async def run_with_client(self, client):
        """Write the results to the output file or to standard output."""
        path = f"/v1/batches/{self.argument('job')}/results"
        response = base.unwrap(
            await client.fetch("GET", path, timeout_s=FETCH_TIMEOUT_S)
        )
        lines = response.body.decode()
        output_path = self.option("output")
        if output_path is None:
            self.show_text(lines.rstrip("\n"))
            return
        _write_atomically(pathlib.Path(output_path), response.body)
        count = lines.count("\n")
        self.show(
            {"output": output_path, "results": count}, f"{count} results: {output_path}"
        )


def _write_atomically(path, data):
    # A rename is atomic, so readers never see a partially written file.
    partial_path = path.with_name(path.name + ".part")
    try:
        partial_path.write_bytes(data)
        os.replace(partial_path, path)
    except OSError as error:
        base.raise_usage_error(f"{path}: {error.strerror}.")
