"""Process entry point of the daemons: settings, signals and graceful shutdown."""

import asyncio
import json
import signal
import sys

from pimentowick import exception, logs
from pimentowick import settings as process_settings

__all__ = ["ShutdownRequests", "run_daemon"]

SETTINGS_ERROR_STATUS = 2


class ShutdownRequests:
    """Shutdown requests received by a process as signals or over HTTP.

    The first request starts draining. A second signal closes the process immediately.
    Further HTTP requests are ignored, since an operator may retry one without
    interrupting the drain.

    Attributes:
        requested: Whether a shutdown was requested.

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
        """Record a shutdown signal."""
        self.requested = True
        self._queue.put_nowait(None)

    def request_drain(self):
        """Record a drain request received over HTTP."""
        if not self.requested:
            self.on_signal()

    async def wait(self):
        """Wait for the next request that has an effect."""
        await self._queue.get()


def run_daemon(model, make_daemon, arguments):
    """Run a daemon until it is shut down.

    The process prints its address as a JSON line when it starts to listen. SIGTERM and
    SIGINT start a graceful shutdown; a second signal closes it without draining.

    Args:
        model: Class of the settings.
        make_daemon: Function that returns the daemon for its settings. The daemon has a
            `ShutdownRequests` as the attribute `shutdown_requests`.
        arguments: Command-line arguments without the program name: the path of the
            settings file.
    """
    if len(arguments) != 1:
        print("Give one argument: the path of a settings file.", file=sys.stderr)
        sys.exit(SETTINGS_ERROR_STATUS)
    try:
        settings = process_settings.load_settings(model, arguments[0])
        daemon = make_daemon(settings)
    except exception.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(SETTINGS_ERROR_STATUS)
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
