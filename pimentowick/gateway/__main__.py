"""Run an entry: ``python -m pimentowick.gateway``."""

import signal


def main():
    """Run until told to stop."""
    # The platform sends SIGHUP when the settings file changes, perhaps while the
    # modules are loaded; unhandled it ends the process. The file is read after that.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from pimentowick.gateway import daemon

    daemon.run()


if __name__ == "__main__":
    main()
