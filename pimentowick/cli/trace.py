"""``pimentowick trace``: traces one id through the decision logs of gateways."""

from pimentowick.cli import base
from pimentowick.gateway import history
from pimentowick.routing import quarantine

__all__ = ["Trace"]


class Trace(base.OfflineCommand):
    """Prints the log lines of an id in order of time, and the cause of its outcome."""

    name = "trace"
    description = "Trace a request, item or job through the decision logs of gateways."
    examples = ("pimentowick trace 51f0 front-1.log front-2.log",)
    arguments = [
        base.make_argument(
            "id",
            "Id of a request, an item or a job, a request's fingerprint, or the name "
            "of a part of prompts (part-ID@SERVICE).",
        ),
        base.make_argument("files", "Decision logs of gateways.", multiple=True),
    ]

    def _run_command(self):
        lines = read_decision_logs(self.argument("files"))[0]
        wanted_id = self.argument("id")
        id_lines, context_lines = history.find_related(lines, wanted_id)
        is_part = bool(id_lines) and wanted_id.startswith(quarantine.PART_PREFIX)
        is_fingerprint = bool(id_lines) and all(
            line.data.get("fingerprint") == wanted_id for line in id_lines
        )
        if is_part:
            cause = history.explain_fingerprint(id_lines, "requests with this part")
        elif is_fingerprint:
            cause = history.explain_fingerprint(id_lines)
        else:
            cause = history.explain(id_lines, context_lines)
        rows = []
        if id_lines:
            shown_lines = sorted(
                [*id_lines, *context_lines], key=lambda line: line.time
            )
            rows = [
                line.to_text(shown_lines[0].time, shows_id=is_fingerprint or is_part)
                for line in shown_lines
            ]
        self.show({"cause": cause, "lines": rows}, "\n".join([*rows, cause]))


def read_decision_logs(paths):
    """Read decision logs with `history.read_lines`.

    Raises:
        CommandError: A file can't be read.
    """
    try:
        return history.read_lines(paths)
    except OSError as error:
        base.raise_usage_error(str(error))
