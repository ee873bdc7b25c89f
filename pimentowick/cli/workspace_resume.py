"""``pimentowick workspace resume``: amends ``stopped`` of a workspace."""

from pimentowick.cli import base, documents

__all__ = ["WorkspaceResume"]


class WorkspaceResume(base.FleetCommand):
    """Resumes a workspace."""

    name = "workspace resume"
    description = "Take requests of a stopped workspace again."
    examples = ("pimentowick workspace resume feria-norte --yes",)
    arguments = [base.get_argument("workspace", "Name of the workspace.")]
    _own_options = (base.YES_OPTION,)

    async def run_on(self, link):
        """Publish the change."""
        name = self.argument("workspace")
        await documents.change_workspace(
            self, link, name, lambda body: {**body, "stopped": False}
        )
