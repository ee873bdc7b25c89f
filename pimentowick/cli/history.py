"""``pimentowick history``: lists the changes of a document."""

from pimentowick.cli import base, connection, documents, table

__all__ = ["History"]


class History(base.FleetCommand):
    """Lists accepted and refused changes of a document."""

    name = "history"
    description = "List the changes of a document, accepted and refused."
    examples = ("pimentowick history workspace feria-norte",)
    arguments = [documents.KIND_ARGUMENT, documents.NAME_ARGUMENT]

    async def run_with_client(self, client):
        """Print the audit records of the document."""
        kind, name = self.argument("kind"), self.argument("name")
        documents.check_kind(kind)
        path = connection.add_query("/v1/admin/audit", kind=kind, name=name)
        response = base.unwrap(await client.fetch_json("GET", path))
        self.show(response, table.format_audit_records(response["audit"]))
