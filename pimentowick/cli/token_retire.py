"""``pimentowick token retire``: revokes a token of a workspace."""

from pimentowick.cli import base, documents

__all__ = ["TokenRetire"]


class TokenRetire(base.FleetCommand):
    """Removes a token from a workspace."""

    name = "token retire"
    description = "Remove a token, given by its public id, from a workspace."
    examples = ("pimentowick token retire feria-norte 5f0c6a1be2d94c07 --yes",)
    arguments = [
        base.make_argument("workspace", "Name of the workspace."),
        base.make_argument("id", "Id of the token: the part before the dot."),
    ]
    _command_options = (base.YES_OPTION,)

    async def run_with_client(self, client):
        """Publish the workspace without the token."""
        token_id = self.argument("id")

        def remove_token(body):
            remaining = [
                token for token in body.get("tokens", []) if token["id"] != token_id
            ]
            if len(remaining) == len(body.get("tokens", [])):
                base.raise_usage_error(f"The workspace has no token {token_id}.")
            return {**body, "tokens": remaining}

        name = self.argument("workspace")
        await documents.edit_workspace(self, client, name, remove_token)
