"""Run an entry: ``python -m pimentowick.gateway``."""

import signal


def main():
    """Run an entry until SIGTERM or SIGINT arrives."""
    # The platform sends SIGHUP when the settings file changes. The default action
    # would end the process if that happens during the imports below. The file is read
    # after them, so the change is not missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from pimentowick.gateway import daemon

    daemon.run()


if __name__ == "__main__":
    main()
