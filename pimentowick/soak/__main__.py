"""Run the soak test: ``python -m pimentowick.soak run --seed 1 --rounds 5``."""

import asyncio
import pathlib
import tempfile

from cleo import application as cleo_application
from cleo import helpers
from cleo.commands import command

from pimentowick.soak import fault_injection, run

__all__ = ["SoakCommand"]


class SoakCommand(command.Command):
    """Runs rounds of the soak test and prints their findings."""

    name = "run"
    description = "Runs gateways under faults and checks what must hold."
    options = [
        helpers.option("seed", None, "Seed of the first round.", False, default="1"),
        helpers.option("faults", None, "Faults a round.", False, default="12"),
        helpers.option("rounds", None, "Number of rounds.", False, default="1"),
        helpers.option("kind", None, "Kind of fault.", False, multiple=True),
        helpers.option("changes", None, "Draw changes of the deployment as well."),
        helpers.option("overlap", None, "Inject two faults at a time."),
        helpers.option("gateways", None, "Number of gateways.", False, default="3"),
    ]

    def handle(self):
        """Run the command; the exit status is 1 if an invariant was violated."""
        first_seed = int(self.option("seed"))
        kinds = self.option("kind") or sorted(fault_injection.FAULT_KINDS)
        if self.option("changes"):
            kinds = kinds + sorted(fault_injection.CHANGE_KINDS)
        violations = 0
        for seed in range(first_seed, first_seed + int(self.option("rounds"))):
            directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            coroutine = run.run_soak(
                seed,
                directory,
                kinds,
                int(self.option("faults")),
                int(self.option("gateways")),
                self.option("overlap"),
            )
            findings = asyncio.run(coroutine)
            self.line(
                f"seed {seed}: {findings.served} served, {findings.jobs} jobs, "
                f"{findings.unframed} unframed, "
                f"faults {' '.join(findings.faults)}; logs in {directory}"
            )
            counts = sorted(findings.watched.items())
            self.line("  watched: " + ", ".join(f"{n} {name}" for name, n in counts))
            for violation in findings.violations:
                self.line(f"  broken: {violation}")
            violations += len(findings.violations)
        return 1 if violations else 0


def main():
    """Run the command line."""
    application = cleo_application.Application("pimentowick.soak")
    application.add(SoakCommand())
    application.run()


if __name__ == "__main__":
    main()
