"""``pimentowick day show``: what the gateways' logs say of a day."""

from pimentowick.cli import base, trace
from pimentowick.gateway import history

__all__ = ["DayShow"]


class DayShow(base.OfflineCommand):
    """Counts outcomes, delays and lost dependencies in the gateways' logs."""

    name = "day show"
    description = "Summarise the gateways' logs of a day."
    examples = ("pimentowick day show front-1.log front-2.log",)
    arguments = [base.get_argument("files", "Logs of gateways.", multiple=True)]

    def _run_command(self):
        rows = history.summarise(*trace.read_logs(self.argument("files")))
        self.show({"rows": rows}, "\n".join(rows))
