"""``pimentowick trace``: what the gateways' logs say of one id."""

from pimentowick.cli import base
from pimentowick.gateway import history

__all__ = ["Trace"]


class Trace(base.OfflineCommand):
    """Puts the lines of one id in order and says the cause in a sentence."""

    name = "trace"
    description = "Trace a request, item or job through the gateways' logs."
    examples = ("pimentowick trace 51f0 front-1.log front-2.log",)
    arguments = [
        base.get_argument("id", "Id of a request, an item or a job."),
        base.get_argument("files", "Logs of gateways.", multiple=True),
    ]

    def _run_command(self):
        lines = read_logs(self.argument("files"))[0]
        own, around = history.find_related(lines, self.argument("id"))
        cause = history.explain(own, around)
        rows = []
        if own:
            shown = sorted([*own, *around], key=lambda line: line.time)
            rows = [line.to_text(shown[0].time) for line in shown]
        self.show({"cause": cause, "lines": rows}, "\n".join([*rows, cause]))


def read_logs(paths):
    """Return what `history.read_lines` does; end the command if a file is missing."""
    try:
        return history.read_lines(paths)
    except OSError as error:
        base.fail_usage(str(error))
