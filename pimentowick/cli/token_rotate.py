"""``pimentowick token rotate``: adds a token to a workspace."""

from pimentowick.cli import base, documents, secret
from pimentowick.configuration import tokens

__all__ = ["TokenRotate"]


class TokenRotate(base.FleetCommand):
    """Adds a token to a workspace; existing tokens stay valid until retired."""

    name = "token rotate"
    description = "Add a token to a workspace; retire the old one afterwards."
    examples = ("pimentowick token rotate feria-norte --output norte.token --yes",)
    arguments = [base.make_argument("workspace", "Name of the workspace.")]
    _command_options = (
        base.make_option("output", "New file for the token, readable by its owner."),
        base.YES_OPTION,
    )

    async def run_with_client(self, client):
        """Write the token to a file, then publish its hash."""
        path = self.option("output")
        if path is None:
            base.raise_usage_error(
                "--output FILE is required; the token itself is never printed."
            )
        secret.check_absent(path)
        token, stored_token = tokens.make_token()

        def add_token(body):
            # The file is written first: if it fails, no unusable token is published.
            # A token that is written but not published grants no access.
            secret.write_secret(path, token)
            return {**body, "tokens": [*body.get("tokens", []), stored_token.to_dict()]}

        name = self.argument("workspace")
        await documents.edit_workspace(self, client, name, add_token)
