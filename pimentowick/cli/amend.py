"""``pimentowick amend``: a change of a document, shown before it is published."""

import yaml

from pimentowick.cli import base, documents

__all__ = ["Amend", "parse_parameters"]

LATEST = "latest"


class Amend(base.FleetCommand):
    """Changes a document from the version that was shown."""

    name = "amend"
    description = "Change a document; the difference is shown first."
    examples = (
        "pimentowick amend template organizador organizador.yaml",
        "pimentowick amend workspace feria-norte --parameter share=2.5 --yes",
        "pimentowick amend workspace feria-norte --template-version latest",
        "pimentowick amend workspace feria-norte new.yaml --amends 43",
    )
    arguments = [
        documents.KIND_ARGUMENT,
        documents.NAME_ARGUMENT,
        base.get_argument("file", "File of the new body; - for stdin.", optional=True),
    ]
    _own_options = (
        base.get_option(
            "amends", "Version that the change was made from. Default: that in force."
        ),
        base.get_option(
            "parameter", "name=value of a workspace's parameter.", multiple=True
        ),
        base.get_option(
            "template-version", "Version of the workspace's template, or latest."
        ),
        base.YES_OPTION,
    )

    async def run_on(self, link):
        """Show the difference, ask, and publish."""
        kind, name = self.argument("kind"), self.argument("name")
        document = await documents.fetch_document(link, kind, name)
        body = await self._make_body(link, kind, document["body"])
        if not documents.show_difference(self, document["body"], body):
            self.show({"version": document["version"]}, "Nothing to publish.")
            return
        documents.ask_to_publish(self, f"Publish this change of {kind} {name}?")
        amends = self._read_amends(document["version"])
        await documents.put_document(self, link, kind, name, amends, body)

    def _read_amends(self, version):
        text = self.option("amends")
        if text is None:
            return version
        if not text.isdigit():
            base.fail_usage(f"--amends {text}: Expected a version.")
        return int(text)

    async def _make_body(self, link, kind, current):
        path = self.argument("file")
        changes = self.option("parameter") or self.option("template-version")
        if path is None and not changes:
            base.fail_usage("Give a file, --parameter or --template-version.")
        if changes and kind != "workspace":
            base.fail_usage("--parameter and --template-version are for workspaces.")
        body = dict(current)
        if path is not None:
            given = base.read_mapping(path)
            body = await documents.fill_body(link, kind, given, current)
        if self.option("parameter"):
            given = parse_parameters(self.option("parameter"))
            body["parameters"] = {**body.get("parameters", {}), **given}
        if self.option("template-version"):
            body["template_version"] = await self._read_version(link, body)
        return body

    async def _read_version(self, link, body):
        text = self.option("template-version")
        if text == LATEST:
            found = await documents.fetch_document(link, "template", body["template"])
            return found["version"]
        if not text.isdigit():
            base.fail_usage(f"--template-version {text}: Expected a version or latest.")
        return int(text)


def parse_parameters(texts):
    """Return parameters from texts of the form name=value; values are YAML.

    Raises:
        CommandError: One has another form.

    Examples:
        >>> parse_parameters(["share=2.5", "hall=norte"])
        {'share': 2.5, 'hall': 'norte'}
    """
    parameters = {}
    for text in texts:
        name, separator, value = text.partition("=")
        if not separator or not name:
            base.fail_usage(f"--parameter {text}: Expected name=value.")
        try:
            parameters[name] = yaml.safe_load(value)
        except yaml.YAMLError as error:
            base.fail_usage(f"--parameter {name}: {error}.")
    return parameters
