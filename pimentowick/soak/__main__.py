"""Run the soak: ``python -m pimentowick.soak run --seed 1 --rounds 5``."""

import asyncio
import pathlib
import tempfile

from cleo import application as cleo_application
from cleo import helpers
from cleo.commands import command

from pimentowick.soak import run, trouble

__all__ = ["SoakCommand"]


class SoakCommand(command.Command):
    """Runs rounds of the soak and prints what each found."""

    name = "run"
    description = "Runs gateways under faults and checks what must hold."
    options = [
        helpers.option("seed", None, "Seed of the first round.", False, default="1"),
        helpers.option("faults", None, "Faults a round.", False, default="12"),
        helpers.option("rounds", None, "Number of rounds.", False, default="1"),
        helpers.option("kind", None, "Kind of fault.", False, multiple=True),
    ]

    def handle(self):
        """Run the command; the status is 1 if a promise did not hold."""
        first = int(self.option("seed"))
        kinds = self.option("kind") or sorted(trouble.KINDS)
        broken = 0
        for seed in range(first, first + int(self.option("rounds"))):
            directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            soak = run.run_soak(seed, directory, kinds, int(self.option("faults")))
            found = asyncio.run(soak)
            self.line(
                f"seed {seed}: {found.served} served, {found.jobs} jobs, "
                f"faults {' '.join(found.faults)}; logs in {directory}"
            )
            for sentence in found.broken:
                self.line(f"  broken: {sentence}")
            broken += len(found.broken)
        return 1 if broken else 0


def main():
    """Run the command line."""
    application = cleo_application.Application("pimentowick.soak")
    application.add(SoakCommand())
    application.run()


if __name__ == "__main__":
    main()
