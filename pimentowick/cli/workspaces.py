"""Base class of the commands that stop and resume a workspace."""

from pimentowick.cli import base, documents

__all__ = ["SetStoppedCommand"]


class SetStoppedCommand(base.FleetCommand):
    """Publishes a workspace with a new value of ``stopped``.

    Class attributes:
        stopped: Value to publish.
    """

    stopped = False
    arguments = [base.make_argument("workspace", "Name of the workspace.")]
    _command_options = (base.YES_OPTION,)

    async def run_with_client(self, client):
        """Publish the workspace."""

        def set_stopped(body):
            return {**body, "stopped": self.stopped}

        name = self.argument("workspace")
        await documents.edit_workspace(self, client, name, set_stopped)
