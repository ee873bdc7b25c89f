"""Stopping workspaces and taking their requests again."""

from pimentowick.cli import base, documents

__all__ = ["SetStopped"]


class SetStopped(base.FleetCommand):
    """Amends ``stopped`` of a workspace.

    Class attributes:
        stopped: Its new value.
    """

    stopped = False
    arguments = [base.get_argument("workspace", "Name of the workspace.")]
    _own_options = (base.YES_OPTION,)

    async def run_on(self, link):
        """Publish the change."""

        def set_stopped(body):
            return {**body, "stopped": self.stopped}

        name = self.argument("workspace")
        await documents.change_workspace(self, link, name, set_stopped)
