"""``pimentowick workspace stop``: amends ``stopped`` of a workspace."""

from pimentowick.cli import workspaces

__all__ = ["WorkspaceStop"]


class WorkspaceStop(workspaces.SetStopped):
    """Stops a workspace."""

    name = "workspace stop"
    description = "Refuse all requests of a workspace from now on."
    examples = ("pimentowick workspace stop feria-norte --yes",)
    stopped = True
