"""``pimentowick workspace resume``: accepts requests of a stopped workspace."""

from pimentowick.cli import workspaces

__all__ = ["WorkspaceResume"]


class WorkspaceResume(workspaces.SetStoppedCommand):
    """Sets ``stopped`` of a workspace to false."""

    name = "workspace resume"
    description = "Accept requests of a stopped workspace again."
    examples = ("pimentowick workspace resume feria-norte --yes",)
