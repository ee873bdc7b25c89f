"""``pimentowick show``: shows the current version of a document."""

import yaml

from pimentowick.cli import base, documents
from pimentowick.configuration import change

__all__ = ["Show"]


class Show(base.FleetCommand):
    """Shows the current version of a document."""

    name = "show"
    description = "Show the current version of a document."
    examples = (
        "pimentowick show workspace feria-norte",
        "pimentowick show template organizador --json",
    )
    arguments = [documents.KIND_ARGUMENT, documents.NAME_ARGUMENT]

    async def run_with_client(self, client):
        """Print the document without salts and with truncated hashes."""
        document = await documents.fetch_document(
            client, self.argument("kind"), self.argument("name")
        )
        redacted = {**document, "body": change.redact_hashes(document["body"])}
        self.show(redacted, yaml.safe_dump(redacted, allow_unicode=True).rstrip())
