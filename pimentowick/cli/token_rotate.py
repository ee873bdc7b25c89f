"""``pimentowick token rotate``: one more token for a workspace."""

from pimentowick.cli import base, documents, secret
from pimentowick.configuration import tokens

__all__ = ["TokenRotate"]


class TokenRotate(base.FleetCommand):
    """Adds a token to a workspace; the old ones stay valid until retired."""

    name = "token rotate"
    description = "Add a token to a workspace; retire the old one afterwards."
    examples = ("pimentowick token rotate feria-norte --output norte.token --yes",)
    arguments = [base.get_argument("workspace", "Name of the workspace.")]
    _own_options = (
        base.get_option("output", "New file for the token, readable by its owner."),
        base.YES_OPTION,
    )

    async def run_on(self, link):
        """Write the token, then publish its hash."""
        path = self.option("output")
        if path is None:
            base.fail_usage("Give --output FILE; the token itself is never printed.")
        secret.check_absent(path)
        text, entry = tokens.make_token()

        def add_token(body):
            # Written before it is published: a published token that nobody holds
            # could never be used, an unpublished one opens nothing.
            secret.write_secret(path, text)
            return {**body, "tokens": [*body.get("tokens", []), entry.to_dict()]}

        name = self.argument("workspace")
        await documents.change_workspace(self, link, name, add_token)
