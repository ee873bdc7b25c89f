"""A TCP proxy before one replica, which resets connections on command.

It forwards bytes unchanged. A connection is known by the request id that it carried
first. Lines on standard input are commands: `list PREFIX` prints the ids of the open
connections whose first id begins with PREFIX, `reset ID...` resets some of them.

Usage: proxy.py PORT TARGET_PORT
"""

import asyncio
import re
import socket
import struct
import sys

REQUEST_ID = re.compile(rb"(?i)x-pimentowick-request-id: *(\S+)")
CHUNK_BYTES = 65_536
# Makes `close` send a reset.
RESET = struct.pack("ii", 1, 0)


class Connection:
    """One connection of a caller and its counterpart to the replica."""

    def __init__(self, writers):
        self.writers = writers
        self.first_id = ""

    def reset(self):
        """Reset both sides."""
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()


class Proxy:
    """Forwards connections to one port."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.connections = set()

    async def serve(self, reader, writer):
        """Forward one connection until it ends."""
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        connection = Connection((writer, far_writer))
        self.connections.add(connection)
        tasks = [
            asyncio.ensure_future(self._copy(reader, far_writer, connection)),
            asyncio.ensure_future(self._copy(far_reader, writer, None)),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        self.connections.discard(connection)
        for each in connection.writers:
            each.close()

    async def _copy(self, reader, writer, connection):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if connection is not None and not connection.first_id:
                    found = REQUEST_ID.search(data)
                    connection.first_id = found.group(1).decode() if found else ""
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

    def list_ids(self, prefix):
        """Return the first ids of the open connections that begin with a prefix."""
        ids = [connection.first_id for connection in self.connections]
        return sorted(name for name in ids if name.startswith(prefix))

    def reset(self, ids):
        """Reset the connections with these first ids; return how many there were."""
        chosen = [each for each in self.connections if each.first_id in ids]
        for connection in chosen:
            connection.reset()
        return len(chosen)


async def _main(port, target_port):
    proxy = Proxy(int(target_port))
    await asyncio.start_server(proxy.serve, "127.0.0.1", int(port))
    print("ready", flush=True)
    commands = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(commands), sys.stdin
    )
    while line := await commands.readline():
        command, *words = line.decode().split()
        if command == "list":
            print(*proxy.list_ids(words[0]), flush=True)
        else:
            print(proxy.reset(set(words)), flush=True)


if __name__ == "__main__":
    asyncio.run(_main(*sys.argv[1:]))
