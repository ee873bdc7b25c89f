"""Run all measurements, or those named: ``python -m benchmarks [NAME ...]``."""

import importlib
import pkgutil
import sys

import benchmarks

__all__ = ["run"]

PREFIX = "bench_"


def list_names():
    """Return the names of the measurements: modules with a function `run`."""
    found = [module.name for module in pkgutil.iter_modules(benchmarks.__path__)]
    return sorted(n.removeprefix(PREFIX) for n in found if n.startswith(PREFIX))


def run(names):
    """Run the measurements, and return the names of those that missed a bound."""
    missed = []
    for name in names or list_names():
        print(f"\n== {name}", flush=True)
        module = importlib.import_module(f"benchmarks.{PREFIX}{name}")
        # A measurement returns False when one of its regression bounds is missed.
        if module.run() is False:
            missed.append(name)
    return missed


if __name__ == "__main__":
    missed = run(sys.argv[1:])
    print(f"\nBounds missed: {', '.join(missed) or 'none'}")
    sys.exit(1 if missed else 0)
