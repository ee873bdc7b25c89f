"""Run an agent: ``python -m pimentowick.agent SETTINGS``."""

import sys

from pimentowick import daemon as process_daemon
from pimentowick import settings
from pimentowick.agent import daemon

__all__ = ["run"]


def run():
    """Run an agent from the settings file named on the command line."""
    process_daemon.run_daemon(settings.AgentSettings, daemon.Agent, sys.argv[1:])


if __name__ == "__main__":
    run()
