"""``pimentowick template check``: validates a template offline."""

import yaml

from pimentowick import exception
from pimentowick.cli import amend, base
from pimentowick.configuration import template, workspace

__all__ = ["TemplateCheck"]


class TemplateCheck(base.OfflineCommand):
    """Validates a template and prints the workspace that it renders."""

    name = "template check"
    description = "Check a template file and render it with parameters."
    examples = (
        "pimentowick template check organizador.yaml",
        "pimentowick template check organizador.yaml --parameter share=2",
    )
    arguments = [base.make_argument("file", "YAML or JSON file; - for stdin.")]
    _command_options = (
        base.make_option("parameter", "name=value of a parameter.", multiple=True),
    )

    def _run_command(self):
        body = base.read_mapping(self.argument("file"))
        parameters = amend.parse_parameters(self.option("parameter"))
        try:
            parsed_template = template.parse_template(body)
            rendered = template.render_workspace(parsed_template, parameters)
            workspace.parse_workspace("check", 1, rendered, {}, False)
        except exception.ValidationError as error:
            base.raise_usage_error(f"{self.argument('file')}: {error}.")
        self.show({"workspace": rendered}, yaml.safe_dump(rendered).rstrip())
