"""``pimentowick host drain``: a graceful stop of a host or target."""

from pimentowick.cli import base

__all__ = ["HostDrain"]


class HostDrain(base.FleetCommand):
    """Drains an entry, or the agent beside a target."""

    name = "host drain"
    description = "Drain a host or target: finish what runs, then end its process."
    examples = (
        "pimentowick host drain agent-asistente-lm-0",
        "pimentowick host drain asistente-lm-0 --yes    # by the target's name",
        "pimentowick host drain entry-1",
    )
    arguments = [base.get_argument("host", "Name of an entry, agent or target.")]
    _own_options = (base.YES_OPTION,)

    async def run_on(self, link):
        """Ask, and pass the order on."""
        host = self.argument("host")
        if not self.ask(f"Drain {host} and end its process?"):
            base.fail_usage("Nothing was ordered.")
        found = await link.fetch_json("POST", "/v1/admin/drain", {"host": host})
        answer = base.unwrap(found)
        self.show(answer, f"{answer['host']} drains. See pimentowick fleet status.")
