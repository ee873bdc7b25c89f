"""Run the soak: ``python -m pimentowick.soak [--seed N] [--faults N] [--rounds N]``."""

import argparse
import asyncio
import pathlib
import sys
import tempfile

from pimentowick.soak import run, trouble


def main():
    """Run rounds of the soak and print what each found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--faults", type=int, default=12)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--kinds", nargs="*", default=sorted(trouble.KINDS))
    arguments = parser.parse_args()
    broken = False
    for seed in range(arguments.seed, arguments.seed + arguments.rounds):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        found = asyncio.run(
            run.run_soak(seed, directory, arguments.kinds, arguments.faults)
        )
        print(
            f"seed {seed}: {found.served} served, {found.jobs} jobs, "
            f"faults {' '.join(found.faults)}; logs in {directory}",
            flush=True,
        )
        for sentence in found.broken:
            print(f"  broken: {sentence}", flush=True)
        broken = broken or bool(found.broken)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
