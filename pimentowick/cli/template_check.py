"""``pimentowick template check``: a template, without a fleet."""

import yaml

from pimentowick import exception
from pimentowick.cli import amend, base
from pimentowick.configuration import template, workspace

__all__ = ["TemplateCheck"]


class TemplateCheck(base.OfflineCommand):
    """Checks a template and shows what a workspace of it would be."""

    name = "template check"
    description = "Check a template's file, and fill it in with parameters."
    examples = (
        "pimentowick template check organizador.yaml",
        "pimentowick template check organizador.yaml --parameter share=2",
    )
    arguments = [base.get_argument("file", "YAML or JSON file; - for stdin.")]
    _own_options = (
        base.get_option("parameter", "name=value of a parameter.", multiple=True),
    )

    def _run_command(self):
        body = base.read_mapping(self.argument("file"))
        parameters = amend.parse_parameters(self.option("parameter"))
        try:
            parsed = template.parse_template(body)
            filled = template.render_workspace(parsed, parameters)
            workspace.parse_workspace("check", 1, filled, {}, False)
        except exception.ValidationError as error:
            base.fail_usage(f"{self.argument('file')}: {error}.")
        self.show({"workspace": filled}, yaml.safe_dump(filled).rstrip())
