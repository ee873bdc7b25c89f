"""``pimentowick show``: the document in force."""

import yaml

from pimentowick.cli import base, documents
from pimentowick.configuration import change

__all__ = ["Show"]


class Show(base.FleetCommand):
    """Shows the document in force."""

    name = "show"
    description = "Show the version of a document that is in force."
    examples = (
        "pimentowick show workspace feria-norte",
        "pimentowick show template organizador --json",
    )
    arguments = [documents.KIND_ARGUMENT, documents.NAME_ARGUMENT]

    async def run_on(self, link):
        """Print version, author and body; never a salt or a whole hash."""
        document = await documents.fetch_document(
            link, self.argument("kind"), self.argument("name")
        )
        shown = {**document, "body": change.redact_hashes(document["body"])}
        self.show(shown, yaml.safe_dump(shown, allow_unicode=True).rstrip())
