"""Inject random faults into a deployment and check its guarantees.

Example: ``python scripts/fault_run.py --seed 7 --rounds 20``
"""

import argparse
import asyncio
import random
import sys

from loguru import logger

from pimentowick.fakes import fault_run

__all__ = ["run"]

MAX_SEED = 1_000_000


def make_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, help="seed; a random one if absent")
    parser.add_argument("--rounds", type=int, default=10, help="rounds of faults")
    return parser


def run():
    """Run with the options of the command line and print the report."""
    options = make_parser().parse_args()
    seed = random.randrange(MAX_SEED) if options.seed is None else options.seed
    logger.remove()
    logger.add(sys.stderr, level="ERROR")
    print(f"seed {seed}, {options.rounds} rounds", flush=True)
    print(asyncio.run(fault_run.run_faults(seed, options.rounds)))


if __name__ == "__main__":
    run()
