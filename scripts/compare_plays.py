"""Play days of the users' bench with several trees and compare them in pairs.

Example: ``python scripts/compare_plays.py --bench BENCH --site SITE.toml
--day trouble-1 --day trouble-2:7 --why "old and new order" old=../old new=.``

A day is its name, or its name and a seed. Without ``--day`` nothing is played, and what
the journals hold is compared. A variant that is clearly worse than the first is played
no further.
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

FEWEST_PAIRS = 3


def make_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("trees", nargs="+", metavar="NAME=DIRECTORY")
    parser.add_argument("--bench", help="program of the bench")
    parser.add_argument("--site", action="append", default=[], help="site file")
    parser.add_argument("--day", action="append", default=[], metavar="NAME[:SEED]")
    parser.add_argument("--why", default="days compared in pairs")
    parser.add_argument("--jobs", type=int, default=3, help="plays at a time")
    parser.add_argument("--no-cpu", action="store_true", help="charge no processor")
    parser.add_argument("--since", default="", help="first journal entry, by name")
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    return parser


def make_command(options, site, day):
    """Return the command that plays one day."""
    name, _, seed = day.partition(":")
    command = [options.bench, "run", site, name, "--jobs", "1", "--why", options.why]
    if seed:
        command += ["--seed", seed]
    return command + (["--no-cpu"] if options.no_cpu else [])


def play(options, trees):
    """Play each day with each tree, leaving out trees that are clearly worse."""
    names = list(trees)
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for site in options.site:
            for day in options.day:
                wanted = [name for name in names if not is_beaten(options, trees, name)]
                command = make_command(options, site, day)
                tasks = {
                    pool.submit(
                        subprocess.run, command, cwd=trees[name], capture_output=True
                    ): name
                    for name in wanted
                }
                for task in concurrent.futures.as_completed(tasks):
                    status = task.result().returncode
                    print(
                        f"{pathlib.Path(site).stem} {day}: {tasks[task]} ended with "
                        f"{status}",
                        file=sys.stderr,
                        flush=True,
                    )


def is_beaten(options, trees, name):
    """Return whether a tree is clearly worse than the first."""
    first, *_ = trees
    if name == first:
        return False
    found = paired_plays.compare(
        *(read(options, trees[other]) for other in (first, name))
    )
    if found is None or found.pairs < FEWEST_PAIRS:
        return False
    return found.is_clear and found.worth < 0


def read(options, directory):
    """Return the plays of a tree."""
    return paired_plays.read_plays(directory / "journal", options.since)


def run():
    """Run as the command line says."""
    options = make_parser().parse_args()
    trees = {}
    for tree in options.trees:
        name, _, directory = tree.partition("=")
        trees[name] = pathlib.Path(directory)
    if options.day:
        play(options, trees)
    found = {name: read(options, directory) for name, directory in trees.items()}
    if not options.json:
        print(paired_plays.make_table(found))
        return
    first, *others = found
    compared = {
        name: paired_plays.compare(found[first], found[name]) for name in others
    }
    rows = {
        name: None
        if entry is None
        else dataclasses.asdict(entry)
        | {"by_day": {" ".join(map(str, k)): v for k, v in entry.by_day.items()}}
        for name, entry in compared.items()
    }
    print(orjson.dumps(rows).decode())


if __name__ == "__main__":
    run()
