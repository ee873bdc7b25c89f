"""``pimentowick day show``: summarises the decision logs of gateways."""

from pimentowick.cli import base, trace
from pimentowick.gateway import history

__all__ = ["DayShow"]


class DayShow(base.OfflineCommand):
    """Summarises outcomes, delays and lost dependencies in decision logs."""

    name = "day show"
    description = "Summarise the decision logs of gateways."
    examples = ("pimentowick day show front-1.log front-2.log",)
    arguments = [
        base.make_argument("files", "Decision logs of gateways.", multiple=True)
    ]

    def _run_command(self):
        rows = history.summarise(*trace.read_decision_logs(self.argument("files")))
        self.show({"rows": rows}, "\n".join(rows))
