"""Run all benchmarks, or those named: ``python -m benchmarks [NAME ...]``."""

import importlib
import pkgutil
import sys

import benchmarks

__all__ = ["run"]

PREFIX = "bench_"


def list_names():
    """Return the names of the benchmarks: modules ``bench_NAME`` with a `run`."""
    modules = [module.name for module in pkgutil.iter_modules(benchmarks.__path__)]
    return sorted(n.removeprefix(PREFIX) for n in modules if n.startswith(PREFIX))


def run(names):
    """Run the benchmarks and return the names of those that missed a bound."""
    missed_names = []
    for name in names or list_names():
        print(f"\n== {name}", flush=True)
        module = importlib.import_module(f"benchmarks.{PREFIX}{name}")
        # A benchmark without regression bounds returns None.
        if module.run() is False:
            missed_names.append(name)
    return missed_names


if __name__ == "__main__":
    missed_names = run(sys.argv[1:])
    print(f"\nBounds missed: {', '.join(missed_names) or 'none'}")
    sys.exit(1 if missed_names else 0)
