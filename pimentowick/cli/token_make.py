"""``pimentowick token make``: a token and its stored form, without a fleet."""

import yaml

from pimentowick.cli import base, secret
from pimentowick.configuration import tokens

__all__ = ["TokenMake"]


class TokenMake(base.OfflineCommand):
    """Makes a token; only its salted hash belongs into settings or documents."""

    name = "token make"
    description = "Make a token, and print the entry for settings or documents."
    examples = (
        "pimentowick token make --name ada --output ada.token",
        "pimentowick token make --output caller.token --json",
    )
    _own_options = (
        base.get_option("name", "Name of the operator; absent for a workspace."),
        base.get_option("output", "New file for the token, readable by its owner."),
    )

    def _run_command(self):
        path = self.option("output")
        if path is None:
            base.fail_usage("Give --output FILE; the token itself is never printed.")
        text, entry = tokens.make_token(self.option("name") or "")
        secret.write_secret(path, text)
        data = entry.to_dict()
        self.show({"entry": data, "output": path}, yaml.safe_dump([data]).rstrip())
