"""A TCP proxy between one gateway and the store, which can cut the way.

Lines on standard input are commands: `cut` resets the open connections and refuses new
ones, as a cut that refuses does; `heal` forwards again. Each is answered with `done`.

Usage: cut.py PORT TARGET_PORT
"""

import asyncio
import socket
import struct
import sys

CHUNK_BYTES = 65_536
# Makes `close` send a reset.
RESET = struct.pack("ii", 1, 0)


class Proxy:
    """Forwards connections to one port unless the way is cut."""

    def __init__(self, port, target_port):
        self.port = port
        self.target_port = target_port
        self.writers = set()
        self.server = None

    async def heal(self):
        """Forward connections."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def cut(self):
        """Reset the open connections and refuse new ones."""
        self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()

    async def _serve(self, reader, writer):
        far_reader, far_writer = await asyncio.open_connection(
            "127.0.0.1", self.target_port
        )
        pair = {writer, far_writer}
        self.writers |= pair
        tasks = [
            asyncio.ensure_future(self._copy(reader, far_writer)),
            asyncio.ensure_future(self._copy(far_reader, writer)),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        self.writers -= pair
        for each in pair:
            each.close()

    async def _copy(self, reader, writer):
        try:
            while data := await reader.read(CHUNK_BYTES):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass


async def _main(port, target_port):
    proxy = Proxy(int(port), int(target_port))
    await proxy.heal()
    print("done", flush=True)
    commands = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(commands), sys.stdin
    )
    while line := await commands.readline():
        await (proxy.cut() if line.strip() == b"cut" else proxy.heal())
        print("done", flush=True)


if __name__ == "__main__":
    asyncio.run(_main(*sys.argv[1:]))
