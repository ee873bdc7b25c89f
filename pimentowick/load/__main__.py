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
        definition = settings.load_settings(model, self.argument("experiment"))
        tokens = dict(text.split("=", 1) for text in self.option("token"))
        results = asyncio.run(run_experiment(definition, self.option("entry"), tokens))
        for line in report.format_report(results):
            self.line(line)
        if self.option("out"):
            text = json.dumps(results, indent=1)
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


async def run_experiment(definition, entries, tokens, is_correct=None):
    """Run an experiment and return its report; see `pimentowick.load.runner.Runner`."""
    load_runner = runner.Runner(definition, entries, tokens, is_correct)
    await load_runner.start()
    try:
        return await load_runner.run()
    finally:
        await load_runner.close()


def run():
    """Run the command line."""
    application = cleo_application.Application("pimentowick-load")
    application.add(RunCommand())
    application.add(CompareCommand())
    application.run()


if __name__ == "__main__":
    run()
