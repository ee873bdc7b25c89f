"""Run and compare experiments: ``python -m pimentowick.load run|compare``."""

import asyncio
import json
import pathlib

from cleo import application as cleo_application
from cleo import helpers
from cleo.commands import command

from pimentowick import settings
from pimentowick.load import experiment, report, runner

__all__ = ["run"]


class RunCommand(command.Command):
    """Runs an experiment."""

    name = "run"
    description = "Runs an experiment against a fleet and prints the percentiles."
    arguments = [helpers.argument("experiment", "YAML file of the experiment.")]
    options = [
        helpers.option(
            "entry", None, "IP:port of an entry.", flag=False, multiple=True
        ),
        helpers.option("token", None, "WORKSPACE=TOKEN.", flag=False, multiple=True),
        helpers.option("out", None, "JSON file for the report.", flag=False),
    ]

    def handle(self):
        """Run the command."""
        model = experiment.Experiment
        described = settings.load_settings(model, self.argument("experiment"))
        tokens = dict(text.split("=", 1) for text in self.option("token"))
        measured = asyncio.run(run_experiment(described, self.option("entry"), tokens))
        for line in report.format_report(measured):
            self.line(line)
        if self.option("out"):
            text = json.dumps(measured, indent=1)
            pathlib.Path(self.option("out")).write_text(text, encoding="utf-8")
        return 0


class CompareCommand(command.Command):
    """Compares two reports."""

    name = "compare"
    description = "Prints the ratios of two reports."
    arguments = [
        helpers.argument("base", "JSON file of the report to compare with."),
        helpers.argument("other", "JSON file of the other report."),
    ]

    def handle(self):
        """Run the command."""
        paths = (self.argument("base"), self.argument("other"))
        base, other = (json.loads(pathlib.Path(path).read_text()) for path in paths)
        for line in report.compare_reports(base, other):
            self.line(line)
        return 0


async def run_experiment(described, entries, tokens, check=None):
    """Run an experiment and return its report; see `runner.Runner`."""
    sender = runner.Runner(described, entries, tokens, check)
    await sender.start()
    try:
        return await sender.run()
    finally:
        await sender.close()


def run():
    """Run the tool from the command line."""
    application = cleo_application.Application("pimentowick-load")
    application.add(RunCommand())
    application.add(CompareCommand())
    application.run()


if __name__ == "__main__":
    run()
