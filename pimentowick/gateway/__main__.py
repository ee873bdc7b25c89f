"""Run an entry: ``python -m pimentowick.gateway``."""

from pimentowick.gateway import daemon

if __name__ == "__main__":
    daemon.run()
