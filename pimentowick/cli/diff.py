"""``pimentowick diff``: compares a file with the current document."""

from pimentowick.cli import base, documents
from pimentowick.configuration import change

__all__ = ["Diff"]


class Diff(base.FleetCommand):
    """Shows the differences between a file and the current document."""

    name = "diff"
    description = "Show the differences between a file and the current document."
    examples = ("pimentowick diff template organizador organizador.yaml",)
    arguments = [
        documents.KIND_ARGUMENT,
        documents.NAME_ARGUMENT,
        documents.FILE_ARGUMENT,
    ]

    async def run_with_client(self, client):
        """Print the differences."""
        kind, name = self.argument("kind"), self.argument("name")
        new_body = base.read_mapping(self.argument("file"))
        version, current = await documents.fetch_body(client, kind, name)
        body = await documents.complete_body(client, kind, new_body, current)
        diff_lines = change.diff_documents(current, body)
        self.show(
            {"version": version, "difference": diff_lines},
            "\n".join(diff_lines)
            if diff_lines
            else f"No differences from version {version}.",
        )
