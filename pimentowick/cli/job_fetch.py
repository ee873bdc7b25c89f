"""``pimentowick job fetch``: the results of a job."""

import os
import pathlib

from pimentowick.cli import base, jobs

__all__ = ["JobFetch"]

FETCH_TIMEOUT_S = 600.0


class JobFetch(base.FleetCommand):
    """Fetches the results so far as JSON lines."""

    name = "job fetch"
    description = "Fetch the results of a job as JSON lines, whole or not at all."
    examples = ("pimentowick job fetch batch_1f0c6a1b --output results.jsonl",)
    arguments = [jobs.JOB_ARGUMENT]
    _own_options = (base.get_option("output", "File to write. Default: stdout."),)

    async def run_on(self, link):
        """Write the results."""
        path = f"/v1/batches/{self.argument('job')}/results"
        answer = base.unwrap(await link.fetch("GET", path, timeout_s=FETCH_TIMEOUT_S))
        lines = answer.body.decode()
        target = self.option("output")
        if target is None:
            self.show_text(lines.rstrip("\n"))
            return
        _write_whole(pathlib.Path(target), answer.body)
        count = lines.count("\n")
        self.show({"output": target, "results": count}, f"{count} results: {target}")


def _write_whole(path, data):
    # Renamed at the end: a reader never takes a part of the results for all.
    part = path.with_name(path.name + ".part")
    try:
        part.write_bytes(data)
        os.replace(part, path)
    except OSError as error:
        base.fail_usage(f"{path}: {error.strerror}.")
