"""Running a daemon as a process: settings, signals, a graceful stop."""

import asyncio
import json
import signal
import sys

from pimentowick import exception, logs
from pimentowick import settings as process_settings

__all__ = ["ShutdownRequests", "run_daemon"]

EXIT_SETTINGS = 2


class ShutdownRequests:
    """Signals and orders that stop a process.

    The first one makes it drain. A second signal makes it close at once; a second
    order does nothing: an operator whose first order got no answer gives it again,
    and that must not cut the requests that are being finished.

    Attributes:
        requested: Whether the process was told to stop.

    Examples:
        >>> async def example():
        ...     requests = ShutdownRequests()
        ...     requests.request_drain()
        ...     requests.request_drain()
        ...     await requests.wait()
        ...     again = asyncio.ensure_future(requests.wait())
        ...     await asyncio.sleep(0)
        ...     assert not again.done()
        ...     requests.on_signal()
        ...     await again
        >>> asyncio.run(example())
    """

    def __init__(self):
        self.requested = False
        self._queue = asyncio.Queue()

    def on_signal(self):
        """Take a signal."""
        self.requested = True
        self._queue.put_nowait(None)

    def request_drain(self):
        """Take an order."""
        if not self.requested:
            self.on_signal()

    async def wait(self):
        """Wait for the next one that counts."""
        await self._queue.get()


def run_daemon(model, make, arguments):
    """Run a daemon until it is told to stop.

    The process prints one line with its address once it listens. SIGTERM and SIGINT
    make it drain and close; a second one makes it close without waiting.

    Args:
        model: Class of its settings.
        make: Function that makes the daemon from its settings. What its attribute
            `shutdown_requests`, a `ShutdownRequests`, takes stops it as a signal does.
        arguments: Command line without the program: the path of the settings file.
    """
    if len(arguments) != 1:
        print("Give one argument: the path of a settings file.", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    try:
        settings = process_settings.load_settings(model, arguments[0])
        daemon = make(settings)
    except exception.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    logs.configure_logs(settings.log_level, settings.log_json)
    asyncio.run(_serve(daemon))


async def _serve(daemon):
    requests = daemon.shutdown_requests
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, requests.on_signal)
    await daemon.start()
    print(json.dumps({"listening": daemon.address}), flush=True)
    await requests.wait()
    draining = asyncio.ensure_future(daemon.drain())
    again = asyncio.ensure_future(requests.wait())
    await asyncio.wait({draining, again}, return_when=asyncio.FIRST_COMPLETED)
    again.cancel()
    draining.cancel()
    await asyncio.gather(draining, again, return_exceptions=True)
    await daemon.close()
