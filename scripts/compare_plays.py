"""Play days of the users' bench with several source trees and compare the results.

Example: ``python scripts/compare_plays.py --bench BENCH --site SITE.toml
--day trouble-1 --day trouble-2:7 --why "old and new order" old=../old new=.``

A play is one run of a day, which is a workload of the bench given by its name and
optionally a seed. Without ``--day`` nothing is played, and the plays recorded in the
journals of the trees are compared. A tree that is already clearly worse than the first
is not played further.
"""

import argparse
import concurrent.futures
import dataclasses
import pathlib
import subprocess
import sys

import orjson

from benchmarks import paired_plays

__all__ = ["run"]

MIN_PAIRS = 3


def make_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("trees", nargs="+", metavar="NAME=DIRECTORY")
    parser.add_argument("--bench", help="program of the bench")
    parser.add_argument("--site", action="append", default=[], help="site file")
    parser.add_argument("--day", action="append", default=[], metavar="NAME[:SEED]")
    parser.add_argument("--why", default="days compared in pairs")
    parser.add_argument("--jobs", type=int, default=3, help="concurrent plays")
    parser.add_argument(
        "--no-cpu", action="store_true", help="do not charge processor time"
    )
    parser.add_argument("--since", default="", help="name of the first journal entry")
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    return parser


def make_command(options, site, day):
    """Return the bench command that plays one day."""
    name, _, seed = day.partition(":")
    command = [options.bench, "run", site, name, "--jobs", "1", "--why", options.why]
    if seed:
        command += ["--seed", seed]
    return command + (["--no-cpu"] if options.no_cpu else [])


def play_days(options, trees):
    """Play each day with each tree, except trees that are clearly worse."""
    names = list(trees)
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for site in options.site:
            for day in options.day:
                names_to_play = [
                    name for name in names if not is_clearly_worse(options, trees, name)
                ]
                command = make_command(options, site, day)
                tasks = {
                    pool.submit(
                        subprocess.run, command, cwd=trees[name], capture_output=True
                    ): name
                    for name in names_to_play
                }
                for task in concurrent.futures.as_completed(tasks):
                    status = task.result().returncode
                    print(
                        f"{pathlib.Path(site).stem} {day}: {tasks[task]} ended with "
                        f"{status}",
                        file=sys.stderr,
                        flush=True,
                    )


def is_clearly_worse(options, trees, name):
    """Return whether the plays so far show a tree to be worse than the first."""
    first, *_ = trees
    if name == first:
        return False
    comparison = paired_plays.compare(
        *(read_plays(options, trees[other]) for other in (first, name))
    )
    if comparison is None or comparison.pairs < MIN_PAIRS:
        return False
    return comparison.is_clear and comparison.worth < 0


def read_plays(options, directory):
    """Return the plays in the journal of a tree."""
    return paired_plays.read_plays(directory / "journal", options.since)


def run():
    """Run with the options of the command line and print the comparison."""
    options = make_parser().parse_args()
    trees = {}
    for tree in options.trees:
        name, _, directory = tree.partition("=")
        trees[name] = pathlib.Path(directory)
    if options.day:
        play_days(options, trees)
    plays = {name: read_plays(options, directory) for name, directory in trees.items()}
    if not options.json:
        print(paired_plays.make_table(plays))
        return
    first, *others = plays
    comparisons = {
        name: paired_plays.compare(plays[first], plays[name]) for name in others
    }
    rows = {
        name: None
        if comparison is None
        else dataclasses.asdict(comparison)
        | {"by_day": {" ".join(map(str, k)): v for k, v in comparison.by_day.items()}}
        for name, comparison in comparisons.items()
    }
    print(orjson.dumps(rows).decode())


if __name__ == "__main__":
    run()
