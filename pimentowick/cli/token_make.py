"""``pimentowick token make``: generates a token and its salted hash offline."""

import yaml

from pimentowick.cli import base, secret
from pimentowick.configuration import tokens

__all__ = ["TokenMake"]


class TokenMake(base.OfflineCommand):
    """Generates a token; settings and documents contain only its salted hash."""

    name = "token make"
    description = "Generate a token and print its entry for settings or documents."
    examples = (
        "pimentowick token make --name ada --output ada.token",
        "pimentowick token make --output caller.token --json",
    )
    _command_options = (
        base.make_option("name", "Name of the operator; omit for a workspace's token."),
        base.make_option("output", "New file for the token, readable by its owner."),
    )

    def _run_command(self):
        path = self.option("output")
        if path is None:
            base.raise_usage_error(
                "--output FILE is required; the token itself is never printed."
            )
        token, stored_token = tokens.make_token(self.option("name") or "")
        secret.write_secret(path, token)
        document = stored_token.to_dict()
        self.show(
            {"entry": document, "output": path}, yaml.safe_dump([document]).rstrip()
        )
