"""Stand-in of the network between two processes.

Its connections fall silent, or bytes stay on their way for a while.
"""

import asyncio
import contextlib

__all__ = ["Relay", "insert_relays"]

PIECE_BYTES = 65_536


class Relay:
    """Passes TCP connections on to one address.

    Args:
        target: ``IP:port`` to pass connections on to.

    Attributes:
        address: ``IP:port`` that it listens on, once started.
        opened: Number of connections taken.
        held_chunks: Pieces on their way to the target that `hold` keeps back.
    """

    def __init__(self, target):
        self.target = target
        self.address = None
        self.opened = 0
        self.held_chunks = []
        self._passing = set()
        # Events on which each connection passes bytes on to the target.
        self._gates = set()
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

    def hold(self):
        """Keep back what is sent to the target over the connections open now.

        The other way stays open, and so do these connections: their ends reach the
        target no more, as if the packets that tell of it were lost.
        """
        for gate in self._gates:
            gate.clear()

    def release(self):
        """Pass on what was kept back."""
        for gate in self._gates:
            gate.set()

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
        for passing in (
            self._pass_held(reader, far_writer),
            self._pass(far_reader, writer),
        ):
            task = asyncio.create_task(passing)
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

    async def _pass_held(self, source, sink):
        gate = asyncio.Event()
        gate.set()
        self._gates.add(gate)
        was_held = False
        with contextlib.suppress(ConnectionError):
            while piece := await source.read(PIECE_BYTES):
                if not gate.is_set():
                    was_held = True
                    self.held_chunks.append(piece)
                    await gate.wait()
                sink.write(piece)
                await sink.drain()
        self._gates.discard(gate)
        if was_held:
            return
        sink.close()
        self._writers.discard(sink)


@contextlib.asynccontextmanager
async def insert_relays(fleet, role):
    """Put a relay before each agent or entry, and tell the host list of it.

    Args:
        fleet: `pimentowick.fakes.embedded.EmbeddedDeployment`.
        role: ``agent`` or ``entry``.
    """
    group = fleet.agents if role == "agent" else fleet.entries
    relays = []
    for name, process in group.items():
        each = Relay(process.address)
        await each.start()
        relays.append(each)
        await fleet.register_host(name, role, each.address)
    entries = list(fleet.entries.values())
    if role == "agent":
        wanted = {each.address for each in relays}
        await fleet.wait_for(
            lambda: all(
                {peer.address for peer in entry.fleet.peers.values()} == wanted
                for entry in entries
            )
        )
        await fleet.wait_for(fleet.is_ready)
    try:
        yield relays
    finally:
        for each in relays:
            await each.close()
