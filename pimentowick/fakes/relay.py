"""Fake of the network between two processes.

It can silence connections or delay the bytes sent over them.
"""

import asyncio
import contextlib

__all__ = ["Relay", "insert_relays"]

CHUNK_BYTES = 65_536


class Relay:
    """A TCP proxy to one address that injects network faults.

    Args:
        target: ``IP:port`` to forward connections to.

    Attributes:
        address: ``IP:port`` that it listens on, once started.
        connection_count: Number of connections accepted.
        held_chunks: Chunks sent to the target that `hold` has delayed.
    """

    def __init__(self, target):
        self.target = target
        self.address = None
        self.connection_count = 0
        self.held_chunks = []
        self._forwarding_tasks = set()
        # One event per connection; set while bytes are forwarded to the target.
        self._gates = set()
        self._writers = set()
        self._server = None

    async def start(self):
        """Start listening and set `address`."""
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
        """Stop forwarding on the connections that are open now.

        They stay open, so neither end notices.
        """
        for task in list(self._forwarding_tasks):
            task.cancel()

    def hold(self):
        """Delay the bytes sent to the target over the connections that are open now.

        The opposite direction is unaffected. Once bytes have been delayed, the target
        never learns that the client has closed the connection, as if its FIN were lost.
        """
        for gate in self._gates:
            gate.clear()

    def release(self):
        """Forward the delayed bytes."""
        for gate in self._gates:
            gate.set()

    async def _serve(self, reader, writer):
        self.connection_count += 1
        host, _, port = self.target.rpartition(":")
        self._writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        self._writers.add(target_writer)
        for forwarding in (
            self._forward_gated(reader, target_writer),
            self._forward(target_reader, writer),
        ):
            task = asyncio.create_task(forwarding)
            self._forwarding_tasks.add(task)
            task.add_done_callback(self._forwarding_tasks.discard)

    async def _forward(self, source, sink):
        # A cancelled task leaves its sockets open, so that the connection is silent.
        with contextlib.suppress(ConnectionError):
            while chunk := await source.read(CHUNK_BYTES):
                sink.write(chunk)
                await sink.drain()
        sink.close()
        self._writers.discard(sink)

    async def _forward_gated(self, source, sink):
        gate = asyncio.Event()
        gate.set()
        self._gates.add(gate)
        was_held = False
        with contextlib.suppress(ConnectionError):
            while chunk := await source.read(CHUNK_BYTES):
                if not gate.is_set():
                    was_held = True
                    self.held_chunks.append(chunk)
                    await gate.wait()
                sink.write(chunk)
                await sink.drain()
        self._gates.discard(gate)
        if was_held:
            return
        sink.close()
        self._writers.discard(sink)


@contextlib.asynccontextmanager
async def insert_relays(fleet, role):
    """Put a relay before each agent or entry and register its address as the host's.

    Args:
        fleet: `pimentowick.fakes.embedded.EmbeddedDeployment`.
        role: ``agent`` or ``entry``.

    Yields:
        The `Relay` objects.
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
        addresses = {each.address for each in relays}
        await fleet.wait_for(
            lambda: all(
                {peer.address for peer in entry.fleet.peers.values()} == addresses
                for entry in entries
            )
        )
        await fleet.wait_for(fleet.is_ready)
    try:
        yield relays
    finally:
        for each in relays:
            await each.close()
