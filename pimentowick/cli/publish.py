"""``pimentowick publish``: publishes a new document."""

from pimentowick.cli import base, documents

__all__ = ["Publish"]


class Publish(base.FleetCommand):
    """Publishes the first version of a document."""

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
    _command_options = (base.YES_OPTION,)

    async def run_with_client(self, client):
        """Show the body, ask for confirmation and publish it."""
        kind, name = self.argument("kind"), self.argument("name")
        documents.check_kind(kind)
        new_body = base.read_mapping(self.argument("file"))
        body = await documents.complete_body(client, kind, new_body, None)
        documents.show_diff(self, None, body)
        documents.confirm_publish(self, f"Publish this as {kind} {name}?")
        await documents.publish_document(self, client, kind, name, 0, body)
