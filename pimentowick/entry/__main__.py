"""Run an entry: ``python -m pimentowick.entry SETTINGS``."""

import sys

from pimentowick import daemon as process_daemon
from pimentowick import settings
from pimentowick.entry import daemon

__all__ = ["run"]


def run():
    """Run an entry from the settings file named on the command line."""
    process_daemon.run_daemon(settings.EntrySettings, daemon.Entry, sys.argv[1:])


if __name__ == "__main__":
    run()
