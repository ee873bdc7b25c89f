"""``pimentowick publish``: a new document."""

from pimentowick.cli import base, documents

__all__ = ["Publish"]


class Publish(base.FleetCommand):
    """Publishes a document that does not exist yet."""

    name = "publish"
    description = "Publish a new template, workspace or fleet document."
    examples = (
        "pimentowick publish template organizador organizador.yaml",
        "pimentowick publish workspace feria-norte feria-norte.yaml --yes",
    )
    arguments = [
        documents.KIND_ARGUMENT,
        documents.NAME_ARGUMENT,
        documents.FILE_ARGUMENT,
    ]
    _own_options = (base.YES_OPTION,)

    async def run_on(self, link):
        """Show the body, ask, and publish it."""
        kind, name = self.argument("kind"), self.argument("name")
        documents.check_kind(kind)
        given = base.read_mapping(self.argument("file"))
        body = await documents.fill_body(link, kind, given, None)
        documents.show_difference(self, None, body)
        documents.ask_to_publish(self, f"Publish this as {kind} {name}?")
        await documents.put_document(self, link, kind, name, 0, body)
