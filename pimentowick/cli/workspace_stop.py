"""``pimentowick workspace stop``: amends ``stopped`` of a workspace."""

from pimentowick.cli import base, documents

__all__ = ["WorkspaceStop"]


class WorkspaceStop(base.FleetCommand):
    """Stops a workspace."""

    name = "workspace stop"
    description = "Refuse all requests of a workspace from now on."
    examples = ("pimentowick workspace stop feria-norte --yes",)
    arguments = [base.get_argument("workspace", "Name of the workspace.")]
    _own_options = (base.YES_OPTION,)

    async def run_on(self, link):
        """Publish the change."""
        name = self.argument("workspace")
        await documents.change_workspace(
            self, link, name, lambda body: {**body, "stopped": True}
        )
