"""Stand-in of the network between two processes, whose connections fall silent."""

import asyncio
import contextlib

__all__ = ["Relay"]

PIECE_BYTES = 65_536


class Relay:
    """Passes TCP connections on to one address.

    Args:
        target: ``IP:port`` to pass connections on to.

    Attributes:
        address: ``IP:port`` that it listens on, once started.
        opened: Number of connections taken.
    """

    def __init__(self, target):
        self.target = target
        self.address = None
        self.opened = 0
        self._passing = set()
        self._writers = set()
        self._server = None

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self):
        """Stop listening and close all connections."""
        self._server.close()
        self.freeze()
        for writer in list(self._writers):
            writer.close()

    def freeze(self):
        """Pass nothing on any more over the connections that are open now.

        They stay open, and neither end is told.
        """
        for task in list(self._passing):
            task.cancel()

    async def _serve(self, reader, writer):
        self.opened += 1
        host, _, port = self.target.rpartition(":")
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        self._writers.add(far_writer)
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self._pass(source, sink))
            self._passing.add(task)
            task.add_done_callback(self._passing.discard)

    async def _pass(self, source, sink):
        # A cancelled task leaves its socket open: that is the silence.
        with contextlib.suppress(ConnectionError):
            while piece := await source.read(PIECE_BYTES):
                sink.write(piece)
                await sink.drain()
        sink.close()
        self._writers.discard(sink)
