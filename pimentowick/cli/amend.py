"""``pimentowick amend``: changes an existing document."""

import yaml

from pimentowick.cli import base, documents

__all__ = ["Amend", "parse_parameters"]

LATEST_VERSION = "latest"


class Amend(base.FleetCommand):
    """Publishes a new version of a document after showing the differences."""

    name = "amend"
    description = "Change a document after showing the differences."
    examples = (
        "pimentowick amend template organizador organizador.yaml",
        "pimentowick amend workspace feria-norte --parameter share=2.5 --yes",
        "pimentowick amend workspace feria-norte --template-version latest",
        "pimentowick amend workspace feria-norte new.yaml --amends 43",
    )
    arguments = [
        documents.KIND_ARGUMENT,
        documents.NAME_ARGUMENT,
        base.make_argument("file", "File of the new body; - for stdin.", optional=True),
    ]
    _command_options = (
        base.make_option(
            "amends",
            "Version on which the change is based. Default: the current version.",
        ),
        base.make_option(
            "parameter", "name=value of a workspace's parameter.", multiple=True
        ),
        base.make_option(
            "template-version", "Version of the workspace's template, or latest."
        ),
        base.YES_OPTION,
    )

    async def run_with_client(self, client):
        """Show the differences, ask for confirmation and publish the new body."""
        kind, name = self.argument("kind"), self.argument("name")
        document = await documents.fetch_document(client, kind, name)
        body = await self._build_body(client, kind, document["body"])
        if not documents.show_diff(self, document["body"], body):
            self.show({"version": document["version"]}, "No changes to publish.")
            return
        documents.confirm_publish(self, f"Publish this change of {kind} {name}?")
        base_version = self._get_base_version(document["version"])
        await documents.publish_document(self, client, kind, name, base_version, body)

    def _get_base_version(self, version):
        text = self.option("amends")
        if text is None:
            return version
        if not text.isdigit():
            base.raise_usage_error(f"--amends {text}: Expected a version number.")
        return int(text)

    async def _build_body(self, client, kind, current):
        path = self.argument("file")
        edits = self.option("parameter") or self.option("template-version")
        if path is None and not edits:
            base.raise_usage_error(
                "Expected a file, --parameter or --template-version."
            )
        if edits and kind != "workspace":
            base.raise_usage_error(
                "--parameter and --template-version apply only to workspaces."
            )
        body = dict(current)
        if path is not None:
            new_body = base.read_mapping(path)
            body = await documents.complete_body(client, kind, new_body, current)
        if self.option("parameter"):
            parameters = parse_parameters(self.option("parameter"))
            body["parameters"] = {**body.get("parameters", {}), **parameters}
        if self.option("template-version"):
            body["template_version"] = await self._get_template_version(client, body)
        return body

    async def _get_template_version(self, client, body):
        text = self.option("template-version")
        if text == LATEST_VERSION:
            template = await documents.fetch_document(
                client, "template", body["template"]
            )
            return template["version"]
        if not text.isdigit():
            base.raise_usage_error(
                f"--template-version {text}: Expected a version number or latest."
            )
        return int(text)


def parse_parameters(assignments):
    """Parse parameters of the form ``name=value``; values are YAML.

    Raises:
        CommandError: An assignment is malformed.

    Examples:
        >>> parse_parameters(["share=2.5", "hall=norte"])
        {'share': 2.5, 'hall': 'norte'}
    """
    parameters = {}
    for assignment in assignments:
        name, separator, value = assignment.partition("=")
        if not separator or not name:
            base.raise_usage_error(f"--parameter {assignment}: Expected name=value.")
        try:
            parameters[name] = yaml.safe_load(value)
        except yaml.YAMLError as error:
            base.raise_usage_error(f"--parameter {name}: {error}.")
    return parameters
