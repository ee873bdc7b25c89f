"""``pimentowick history``: the changes of one document."""

from pimentowick.cli import base, connection, documents, table

__all__ = ["History"]


class History(base.FleetCommand):
    """Lists accepted and refused changes of a document."""

    name = "history"
    description = "List the changes of a document, accepted and refused."
    examples = ("pimentowick history workspace feria-norte",)
    arguments = [documents.KIND_ARGUMENT, documents.NAME_ARGUMENT]

    async def run_on(self, link):
        """Print the notes about the document."""
        kind, name = self.argument("kind"), self.argument("name")
        documents.check_kind(kind)
        path = connection.make_path("/v1/admin/audit", kind=kind, name=name)
        answer = base.unwrap(await link.fetch_json("GET", path))
        self.show(answer, table.format_notes(answer["audit"]))
