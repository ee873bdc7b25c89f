"""Base class of the fake servers: an HTTP server with fault injection."""

import abc
import asyncio
import contextlib

from tornado import httpserver, netutil, web

from pimentowick.fakes import faults

__all__ = ["Server"]

LOOPBACK = "127.0.0.1"
BACKLOG = 1024
CLOSE_TIMEOUT_S = 1.0


class _TrackingServer(httpserver.HTTPServer):
    # HTTPServer derives from tornado's Configurable, which calls initialize() instead
    # of __init__().
    def initialize(self, application, fault_injector, **settings):
        super().initialize(application, **settings)
        self.fault_injector = fault_injector

    def handle_stream(self, stream, address):
        self.fault_injector.connections[stream] = ""
        super().handle_stream(stream, address)


class Server(abc.ABC):
    """A fake of an outside system, served over HTTP on loopback.

    Args:
        port: Port on 127.0.0.1 to listen on; 0 lets the kernel choose.

    Attributes:
        address: `127.0.0.1:PORT` once started.
        fault_injector: The `pimentowick.fakes.faults.FaultInjector` of this server.
    """

    def __init__(self, port=0):
        self.port = port
        self.address = None
        self.fault_injector = faults.FaultInjector()
        self._http = None
        self._sockets = []

    @abc.abstractmethod
    def list_routes(self):
        """Return pairs of a path pattern and a handler class."""

    def make_application(self):
        """Return the tornado application."""
        routes = [("/fault", faults.FaultHandler), *self.list_routes()]
        rules = [(path, handler, {"server": self}) for path, handler in routes]
        return web.Application(rules, log_function=_ignore_request)

    async def start(self):
        """Start listening and set `address`."""
        self._http = _TrackingServer(self.make_application(), self.fault_injector)
        self.address = self._listen(self.port)

    def add_address(self):
        """Listen on another port as well, which faults can name; return its address."""
        return self._listen(0)

    def _listen(self, port):
        sockets = netutil.bind_sockets(port, LOOPBACK, backlog=BACKLOG)
        self._sockets += sockets
        self._http.add_sockets(sockets)
        return f"{LOOPBACK}:{sockets[0].getsockname()[1]}"

    def end_connections(self):
        """Close all connections, as the end of a process does.

        Callers may already send on connections that wait to be accepted.
        """
        for sock in self._sockets:
            with contextlib.suppress(BlockingIOError):
                while True:
                    sock.accept()[0].close()
        for connection in list(self.fault_injector.connections):
            connection.close()

    async def close(self):
        """Stop listening and close all connections."""
        if self._http is None:
            return
        self.end_connections()
        self._sockets.clear()
        self._http.stop()
        closing = self._http.close_all_connections()
        await asyncio.wait_for(closing, CLOSE_TIMEOUT_S)
        self._http = None


def _ignore_request(handler):
    pass
