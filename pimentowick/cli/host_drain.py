"""``pimentowick host drain``: stops a host or target gracefully."""

from pimentowick.cli import base

__all__ = ["HostDrain"]


class HostDrain(base.FleetCommand):
    """Drains an entry, or the agent of a target."""

    name = "host drain"
    description = "Drain a host or target: finish running work, then stop its process."
    examples = (
        "pimentowick host drain agent-asistente-lm-0",
        "pimentowick host drain asistente-lm-0 --yes    # by the target's name",
        "pimentowick host drain entry-1",
    )
    arguments = [base.make_argument("host", "Name of an entry, agent or target.")]
    _command_options = (base.YES_OPTION,)

    async def run_with_client(self, client):
        """Ask for confirmation and send the drain order."""
        host = self.argument("host")
        if not self.confirm_change(f"Drain {host} and stop its process?"):
            base.raise_usage_error("Cancelled; no drain order was sent.")
        drain_result = await client.fetch_json(
            "POST", "/v1/admin/drain", {"host": host}
        )
        response = base.unwrap(drain_result)
        self.show(
            response, f"{response['host']} is draining. See pimentowick fleet status."
        )
