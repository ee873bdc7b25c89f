"""``pimentowick workspace stop``: rejects the requests of a workspace."""

from pimentowick.cli import workspaces

__all__ = ["WorkspaceStop"]


class WorkspaceStop(workspaces.SetStoppedCommand):
    """Sets ``stopped`` of a workspace to true."""

    name = "workspace stop"
    description = "Reject all requests of a workspace until it is resumed."
    examples = ("pimentowick workspace stop feria-norte --yes",)
    stopped = True
