"""Run the command line: ``python -m pimentowick.cli``."""

from pimentowick.cli import application

__all__ = []

if __name__ == "__main__":
    application.run()
