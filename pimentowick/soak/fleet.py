"""Gateway processes, and fakes of the platform that run in this process."""

import asyncio
import functools
import itertools
import os
import pathlib
import signal
import sys
import time
import zlib

from pimentowick import client as http_client
from pimentowick import exception
from pimentowick.fakes import platform_site, platform_store, replica, wait

__all__ = ["PLAIN_PATHS", "SLOW_PATH", "Fleet", "GatewayProcess"]

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
READY_POLL_S = 0.05
GRACE_PERIOD_S = 6
HEARTBEAT_INTERVAL_S = 0.5
PAGE_ITEMS = 40
READ_RECORDS = 20
# No item may be given up because of its age.
RETENTION_S = 600
SERVICE = "lm"
SPARE_SERVICE = "spare"
# Items with this path run for a few seconds.
SLOW_PATH = "/lot/slow"
SLOW_EVENT_INTERVAL_S = 0.25
# Requests with these paths are answered without a stream.
PLAIN_PATHS = ("/fetch/1", "/confirm/1")


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
        is_stopping: Whether the process has got SIGTERM.
        store_address: ``IP:port`` of the store for this gateway alone.
    """

    def __init__(self, number, directory, store_address):
        self.ip = make_ip(number, os.getpid())
        self.address = f"{self.ip}:8144"
        self.ready_address = f"{self.ip}:8140"
        self.store_address = store_address
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
        # Process that the latest signal ends, and a lock on starting another one.
        self._ending = None
        self._start_lock = asyncio.Lock()
        self.stop_began_at = float("-inf")
        self.is_stopping = False
        self._is_frozen = False
        self._disrupted_at = float("-inf")

    @property
    def is_running(self):
        """Whether the process is running."""
        return self._process is not None and self._process.returncode is None

    async def start(self):
        """Start the process unless it runs."""
        async with self._start_lock:
            if not self.is_running:
                await self._start()

    async def _start(self):
        self.is_stopping = self._is_frozen = False
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
            if number in (signal.SIGTERM, signal.SIGKILL):
                self._ending = self._process
            if number == signal.SIGTERM:
                self.stop_began_at = time.monotonic()
                self.is_stopping = True
            elif number != signal.SIGHUP:
                self._disrupted_at = time.monotonic()
                self._is_frozen = number == signal.SIGSTOP

    def was_disrupted_since(self, at):
        """Return whether the process was killed or frozen after a monotonic time."""
        return self._is_frozen or self._disrupted_at >= at

    async def wait(self):
        """Wait for the process that was signalled to exit; return its exit status.

        A process that does not exit is ended, and writes its stacks to its log.

        Raises:
            TimeoutError: It did not exit in time.
        """
        try:
            ending = self._ending or self._process
            return await asyncio.wait_for(ending.wait(), STOP_TIMEOUT_S)
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
        draining_replicas: Replicas that register as draining.
        former_replicas: Replicas that others have replaced.
        spare: The only replica of another service.
    """

    def __init__(self, directory, gateways=3, replicas=4, slowdown=None):
        self._directory = directory
        self._slowdown = slowdown
        self._gateway_count = gateways
        self.store = platform_store.PlatformStore()
        # Snapshots and reads take several calls.
        self.store.page_items = PAGE_ITEMS
        self.store.read_records = READ_RECORDS
        self.replicas = [_make_replica(n, f"v{n % 2}") for n in range(replicas)]
        self.spare = _make_replica(replicas, "v0")
        self.former_replicas = []
        self.draining_replicas = set()
        self._replica_numbers = itertools.count(replicas + 1)
        self._version = itertools.count(1)
        self.gateways = []
        self.silent_replicas = set()
        self._heartbeats = None
        self.client = http_client.Client(max_connections=200)

    async def start(self):
        """Start the fleet and wait until all gateways are ready."""
        await self.client.start()
        await self.store.start()
        for each in [*self.replicas, self.spare]:
            await self._start_replica(each)
        self._heartbeats = asyncio.create_task(self._send_heartbeats())
        self.configure()
        for number in range(self._gateway_count):
            address = self.store.add_address()
            gateway = GatewayProcess(number, self._directory, address)
            self.gateways.append(gateway)
            await gateway.start()
        await self.wait_ready()

    def configure(self, added_routes=(), **batch_changes):
        """Publish the next version of the configuration.

        Args:
            added_routes: Routes beyond the usual ones.
            batch_changes: Fields of the batch route that differ.
        """
        batch_fields = {
            "run_target_ms": 20_000,
            "max_attempts": 50,
            "retention_s": RETENTION_S,
            **batch_changes,
        }
        routes = [
            platform_site.make_route("/chat/", "stream", resumable=True),
            platform_site.make_route("/draft/", "stream"),
            platform_site.make_route("/fetch/", "idempotent"),
            platform_site.make_route("/confirm/", "non_idempotent"),
            platform_site.make_route("/lot/", "batch", **batch_fields),
            *added_routes,
        ]
        services = [{"name": SERVICE}, {"name": SPARE_SERVICE}]
        data = {"version": next(self._version), "routes": routes, "services": services}
        self.store.put("keyed.op", "config", data)

    def log(self, text):
        """Write a line to the log of the run, with the time as gateways log it."""
        with pathlib.Path(self._directory, "run.log").open(
            "a", encoding="utf-8"
        ) as log:
            log.write(f"{time.time():.3f} {text}\n")

    async def _start_replica(self, server):
        # Turns on the decisions for services on shared hosts.
        server.slowdown = self._slowdown
        server.names_version = True
        server.event_intervals_s = {SLOW_PATH: SLOW_EVENT_INTERVAL_S}
        server.plain_paths = frozenset(PLAIN_PATHS)
        server.is_unframed = _is_unframed
        await server.start()
        server.on_crash = functools.partial(self._register_again, server)
        self._register(server)

    async def replace_replica(self, server, is_announced, last_s):
        """Let a replica leave and another one come.

        Args:
            server: The replica.
            is_announced: Whether it registers as draining before it leaves, rather
                than removing its registration.
            last_s: Seconds for which it still serves.
        """
        number = next(self._replica_numbers)
        successor = _make_replica(number, server.version, server.event_interval_s)
        await self._start_replica(successor)
        self.replicas[self.replicas.index(server)] = successor
        self.former_replicas.append(server)
        if is_announced:
            self.draining_replicas.add(server)
            self._register(server)
        else:
            self.store.put("keyed.servers", server.id, b"")
        await asyncio.sleep(last_s)
        self.draining_replicas.discard(server)
        self.store.put("keyed.servers", server.id, b"")
        await server.close()

    async def _send_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for each in [*self.replicas, self.spare, *self.draining_replicas]:
                if each not in self.silent_replicas:
                    self._register(each)

    def _register(self, server):
        service = SPARE_SERVICE if server is self.spare else SERVICE
        changes = {"state": "draining"} if server in self.draining_replicas else {}
        registration = server.make_registration(service, **changes)
        self.store.put("keyed.servers", server.id, registration)

    @property
    def all_replicas(self):
        """All replicas that are or were there."""
        return [*self.replicas, self.spare, *self.former_replicas]

    @property
    def has_idle_replicas(self):
        """Whether less than half of the slots of batch jobs are in use."""
        running = sum(each.running for each in self.replicas)
        return 2 * running < sum(each.slots for each in self.replicas)

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
        for each in [*self.replicas, self.spare, *self.draining_replicas]:
            await each.close()
        await self.store.close()
        await self.client.close()


def _is_unframed(request_id):
    return zlib.crc32(request_id.encode()) % 2 == 1


def _make_replica(number, version, event_interval_s=0.02):
    return replica.Replica(
        f"i-{number}",
        events=12,
        event_interval_s=event_interval_s,
        version=version,
        started_ms=1 + number,
    )
