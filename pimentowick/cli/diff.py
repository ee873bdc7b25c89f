"""``pimentowick diff``: a file against the document in force."""

from pimentowick.cli import base, documents
from pimentowick.configuration import change

__all__ = ["Diff"]


class Diff(base.FleetCommand):
    """Shows what publishing a file would change."""

    name = "diff"
    description = "Show how a file differs from the document in force."
    examples = ("pimentowick diff template organizador organizador.yaml",)
    arguments = [
        documents.KIND_ARGUMENT,
        documents.NAME_ARGUMENT,
        documents.FILE_ARGUMENT,
    ]

    async def run_on(self, link):
        """Print the difference."""
        kind, name = self.argument("kind"), self.argument("name")
        given = base.read_mapping(self.argument("file"))
        version, current = await documents.fetch_body(link, kind, name)
        body = await documents.fill_body(link, kind, given, current)
        lines = change.diff_documents(current, body)
        self.show(
            {"version": version, "difference": lines},
            "\n".join(lines) if lines else f"No difference from version {version}.",
        )
