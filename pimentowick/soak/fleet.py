"""Gateway processes, and fakes of the platform that run in this process."""

import asyncio
import functools
import os
import pathlib
import signal
import sys
import time

from pimentowick import client as http_client
from pimentowick import exception
from pimentowick.fakes import platform_site, platform_store, replica, wait

__all__ = ["Fleet", "GatewayProcess"]

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
READY_POLL_S = 0.05
GRACE_PERIOD_S = 6
HEARTBEAT_INTERVAL_S = 0.5


def make_ip(number, pid):
    """Return the loopback address of a gateway.

    The address depends on the id of the process that runs the soak test, so that
    concurrent runs do not reach each other's gateways.

    Examples:
        >>> make_ip(0, 1000), make_ip(2, 1001)
        ('127.5.0.1', '127.5.1.3')
    """
    # Unique if the ids of concurrent processes differ by less than 62,500.
    return f"127.{pid // 250 % 250 + 1}.{pid % 250}.{number + 1}"


class GatewayProcess:
    """Gateway process with its own loopback address.

    Args:
        number: Index of the gateway, starting at 0.
        directory: Directory of its settings and log file.
        store_address: ``IP:port`` of the store.

    Attributes:
        stop_began_at: Monotonic time of the last SIGTERM.
    """

    def __init__(self, number, directory, store_address):
        self.ip = make_ip(number, os.getpid())
        self.address = f"{self.ip}:8144"
        self.ready_address = f"{self.ip}:8140"
        self._log_path = pathlib.Path(directory, f"gateway-{number}.log")
        self._settings_path = pathlib.Path(directory, f"gateway-{number}.conf")
        self._settings_path.write_text(
            f"node_name=gateway-{number}\nip={self.ip}\nzone=here\n"
            f"listen.front={self.address}\nlisten.ready={self.ready_address}\n"
            f"port_range=7660,7675\nplatform.address={store_address}\n"
            f"bounds.grace_s={GRACE_PERIOD_S}\n",
            encoding="utf-8",
        )
        self._process = None
        self.stop_began_at = float("-inf")

    @property
    def is_running(self):
        """Whether the process is running."""
        return self._process is not None and self._process.returncode is None

    async def start(self):
        """Start the process."""
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "pimentowick.gateway",
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "PIMENTOWICK_NODE_FILE": str(self._settings_path),
                    "PYTHONFAULTHANDLER": "1",
                },
            )

    def send_signal(self, number):
        """Send a signal."""
        if self.is_running:
            self._process.send_signal(number)
            if number == signal.SIGTERM:
                self.stop_began_at = time.monotonic()

    async def wait(self):
        """Wait for the process to exit and return its exit status.

        A process that does not exit is ended, and writes its stacks to its log.

        Raises:
            TimeoutError: It did not exit in time.
        """
        try:
            return await asyncio.wait_for(self._process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.send_signal(signal.SIGABRT)
            raise

    async def close(self):
        """Kill the process."""
        if self.is_running:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            await self.wait()

    def read_log(self):
        """Return the log output of the process."""
        return self._log_path.read_text(encoding="utf-8", errors="replace")


class Fleet:
    """Fake store, fake replicas and gateway processes.

    Args:
        directory: Directory of settings and log files.
        gateways: Number of gateways.
        replicas: Number of replicas.
        slowdown: Slowdown that replicas report, in percent; None if they report none.

    Attributes:
        silent_replicas: Replicas that do not register.
    """

    def __init__(self, directory, gateways=3, replicas=4, slowdown=None):
        self._directory = directory
        self._slowdown = slowdown
        self._gateway_count = gateways
        self.store = platform_store.PlatformStore()
        self.replicas = [
            replica.Replica(
                f"i-{n}",
                events=12,
                event_interval_s=0.02,
                version=f"v{n % 2}",
                started_ms=1 + n,
            )
            for n in range(replicas)
        ]
        self.gateways = []
        self.silent_replicas = set()
        self._heartbeats = None
        self.client = http_client.Client(max_connections=200)

    async def start(self):
        """Start the fleet and wait until all gateways are ready."""
        await self.client.start()
        await self.store.start()
        for each in self.replicas:
            # Turns on the decisions for services on shared hosts.
            each.slowdown = self._slowdown
            each.names_version = True
            await each.start()
            each.on_crash = functools.partial(self._register_again, each)
            self._register(each)
        self._heartbeats = asyncio.create_task(self._send_heartbeats())
        routes = [
            platform_site.make_route("/chat/", "stream", resumable=True),
            platform_site.make_route("/draft/", "stream"),
            platform_site.make_route(
                "/lot/", "batch", run_target_ms=20_000, max_attempts=50
            ),
        ]
        data = {"version": 1, "routes": routes, "services": [{"name": "lm"}]}
        self.store.put("keyed.op", "config", data)
        for number in range(self._gateway_count):
            gateway = GatewayProcess(number, self._directory, self.store.address)
            self.gateways.append(gateway)
            await gateway.start()
        await self.wait_ready()

    async def _send_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for each in self.replicas:
                if each not in self.silent_replicas:
                    self._register(each)

    def _register(self, server):
        self.store.put("keyed.servers", server.id, server.make_registration("lm"))

    def _register_again(self, server, previous_id):
        self.store.put("keyed.servers", previous_id, b"")
        self._register(server)

    async def wait_ready(self):
        """Wait until all gateways report that they are ready."""
        for gateway in self.gateways:
            await wait.wait_for(
                lambda gateway=gateway: self.is_ready(gateway),
                READY_TIMEOUT_S,
                READY_POLL_S,
            )

    async def is_ready(self, gateway):
        """Return whether a gateway reports that it is ready."""
        try:
            response = await self.client.fetch(
                "GET", gateway.ready_address, "/-/readiness", timeout_s=1.0
            )
        except exception.UnavailableError:
            return False
        return response.status == 200

    async def close(self):
        """Stop the fleet."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for gateway in self.gateways:
            await gateway.close()
        for each in self.replicas:
            await each.close()
        await self.store.close()
        await self.client.close()
