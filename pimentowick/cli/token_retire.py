"""``pimentowick token retire``: a token of a workspace opens nothing any more."""

from pimentowick.cli import base, documents

__all__ = ["TokenRetire"]


class TokenRetire(base.FleetCommand):
    """Takes a token from a workspace."""

    name = "token retire"
    description = "Take a token, named by its public id, from a workspace."
    examples = ("pimentowick token retire feria-norte 5f0c6a1be2d94c07 --yes",)
    arguments = [
        base.get_argument("workspace", "Name of the workspace."),
        base.get_argument("id", "Id of the token: its part before the dot."),
    ]
    _own_options = (base.YES_OPTION,)

    async def run_on(self, link):
        """Publish the workspace without the token."""
        wanted = self.argument("id")

        def drop_token(body):
            kept = [each for each in body.get("tokens", []) if each["id"] != wanted]
            if len(kept) == len(body.get("tokens", [])):
                base.fail_usage(f"The workspace has no token {wanted}.")
            return {**body, "tokens": kept}

        name = self.argument("workspace")
        await documents.change_workspace(self, link, name, drop_token)
