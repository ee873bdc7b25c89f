"""Memory of a gateway process by the bytes that it holds for callers.

Bodies that wait for a target, then responses that callers do not read, are sent to a
real gateway process in rising numbers, far from its limit and past it. Its peak
resident memory is read from the kernel.
"""

import asyncio
import collections
import contextlib
import os
import pathlib
import socket
import sys
import tempfile
import time

from benchmarks import capacity_fit
from pimentowick.fakes import platform_site, replica, wait

__all__ = ["run"]

IP = "127.0.0.1"
BODY_BYTES = 4_000_000
RESPONSE_BYTES = 200_000
LIMIT_MB = 160
# Far beyond what is held, so that nothing is refused or paused.
UNLIMITED_MB = 2000
COUNTS = [4, 8, 16]
OVERLOAD_BODIES = 80
SLOW_READERS = 500
WAIT_S = 60.0
POLL_S = 0.02
SETTLE_S = 2.0


class Process:
    """A gateway process with a memory limit in its settings."""

    def __init__(self, site, memory_mb, tree):
        self.site = site
        self.memory_mb = memory_mb
        self.tree = tree
        self.sockets = []
        self._process = None

    async def start(self):
        settings = platform_site.make_settings(self.site.store.address)
        self.port = int(settings.callers_address.rpartition(":")[2])
        ready = settings.ready_address
        lines = [
            "node_name=entry",
            f"ip={IP}",
            "zone=here",
            f"listen.front={settings.callers_address}",
            f"listen.ready={ready}",
            f"port_range={settings.peer_ports[0]},{settings.peer_ports[1]}",
            f"platform.address={settings.store_address}",
            f"limits.memory_mb={self.memory_mb}",
        ]
        self._file = tempfile.NamedTemporaryFile("w", suffix=".conf")
        self._file.write("\n".join(lines) + "\n")
        self._file.flush()
        environment = {**os.environ, "PIMENTOWICK_NODE_FILE": self._file.name}
        code = (
            "from pimentowick.gateway import daemon; "
            f"daemon.Gateway.__init__.__defaults__ = "
            f"({platform_site.find_free_port()},); daemon.run()"
        )
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            code,
            env=environment,
            cwd=self.tree,
            stdout=asyncio.subprocess.DEVNULL,
        )
        await wait.wait_for(lambda: self._is_ready(ready), WAIT_S, POLL_S)
        await asyncio.sleep(SETTLE_S)

    async def _is_ready(self, address):
        try:
            response = await self.site.client.fetch(
                "GET", address, "/-/readiness", None, {}, timeout_s=1.0
            )
        except Exception:
            return False
        return response.status == 200

    def read_memory(self, name):
        """Return a figure of the process's memory in bytes, 0 if it has ended."""
        with contextlib.suppress(OSError):
            status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
            for line in status.splitlines():
                if line.startswith(name + ":"):
                    return int(line.split()[1]) * 1024
        return 0

    async def send(self, body, count):
        """Send requests on connections of their own without reading anything."""
        return await asyncio.gather(*(self._send_one(body) for _ in range(count)))

    async def _send_one(self, body):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        self.sockets.append(sock)
        await loop.sock_connect(sock, (IP, self.port))
        head = (
            f"POST /p/ HTTP/1.1\r\nHost: {platform_site.HOST}\r\n"
            f"X-Pimentowick-Request-Id: r{time.monotonic_ns()}\r\n"
            "X-Pimentowick-Deadline-Ms: 30000\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        with contextlib.suppress(OSError):
            await loop.sock_sendall(sock, head.encode() + body)
        return sock

    async def close(self):
        for sock in self.sockets:
            sock.close()
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        await self._process.wait()
        self._file.close()


async def read_statuses(sockets):
    """Return the number of responses by status; 0 if the connection closed."""
    loop = asyncio.get_running_loop()

    async def read(sock):
        try:
            data = await asyncio.wait_for(loop.sock_recv(sock, 4096), WAIT_S)
        except (OSError, TimeoutError):
            return 0
        return int(data.split()[1]) if data.startswith(b"HTTP/1.1 ") else 0

    return collections.Counter(await asyncio.gather(*map(read, sockets)))


@contextlib.asynccontextmanager
async def open_process(memory_mb, tree, holds=False):
    """Run a gateway process beside a replica that echoes bodies."""
    server = replica.Replica(slots=1000, events=1 if holds else 0)
    server.holds_last_event = holds
    kind = "stream" if holds else "idempotent"
    routes = [platform_site.make_route("/p/", kind, timeout_ms=30_000, slo_ms=20_000)]
    site = platform_site.Site([server], routes, entries=0)
    await site.start()
    process = Process(site, memory_mb, tree)
    try:
        await process.start()
        yield process, server
    finally:
        await process.close()
        await site.close()


async def measure_bodies(count, memory_mb, tree):
    """Return idle and peak memory, and the statuses, with bodies that wait."""
    async with open_process(memory_mb, tree, holds=True) as (process, server):
        idle = process.read_memory("VmRSS")
        sockets = await process.send(b"x" * BODY_BYTES, count)
        await asyncio.sleep(SETTLE_S)
        peak = process.read_memory("VmHWM")
        server.release.set()
        return idle, peak, await read_statuses(sockets)


async def measure_readers(count, memory_mb, tree):
    """Return idle and peak memory with responses that nobody reads.

    The last value is the status of a request of another caller beside them.
    """
    async with open_process(memory_mb, tree) as (process, _):
        idle = process.read_memory("VmRSS")
        for _ in range(0, count, 50):
            await process.send(b"x" * RESPONSE_BYTES, min(50, count))
        await asyncio.sleep(SETTLE_S)
        peak = process.read_memory("VmHWM")
        beside = await process.send(b"small", 1)
        return idle, peak, await read_statuses(beside)


async def measure(tree):
    """Print the slope of the memory, and the peaks past the limit."""
    points = []
    for count in COUNTS:
        idle, peak, _ = await measure_bodies(count, UNLIMITED_MB, tree)
        points.append((count * BODY_BYTES / 1e6, (peak - idle) / 1e6))
    capacity_fit.print_line("peak memory, by bodies that wait (MB)", "MB", points)
    idle, peak, statuses = await measure_bodies(OVERLOAD_BODIES, LIMIT_MB, tree)
    print(
        f"{OVERLOAD_BODIES} bodies at a limit of {LIMIT_MB} MB: idle {idle / 1e6:.1f} "
        f"MB, peak {peak / 1e6:.1f} MB, statuses {dict(statuses)}"
    )
    idle, peak, statuses = await measure_readers(SLOW_READERS, LIMIT_MB, tree)
    print(
        f"{SLOW_READERS} slow readers at a limit of {LIMIT_MB} MB: idle "
        f"{idle / 1e6:.1f} MB, peak {peak / 1e6:.1f} MB, beside them {dict(statuses)}"
    )


def run():
    """Measure the gateway of this tree, or of the one in `PIMENTOWICK_TREE`."""
    asyncio.run(measure(os.environ.get("PIMENTOWICK_TREE", os.getcwd())))
