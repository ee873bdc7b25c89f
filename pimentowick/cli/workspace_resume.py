"""``pimentowick workspace resume``: the opposite of ``workspace stop``."""

from pimentowick.cli import workspaces

__all__ = ["WorkspaceResume"]


class WorkspaceResume(workspaces.SetStopped):
    """Resumes a workspace."""

    name = "workspace resume"
    description = "Take requests of a stopped workspace again."
    examples = ("pimentowick workspace resume feria-norte --yes",)
