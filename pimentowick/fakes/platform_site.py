"""A deployment on the users' platform within one process, for tests.

It consists of a fake store, fake replicas and real entries.
"""

import contextlib
import dataclasses
import itertools
import os
import socket

from pimentowick import client as http_client
from pimentowick.fakes import platform_store, replica, wait
from pimentowick.gateway import daemon
from pimentowick.platform import node

__all__ = ["HOST", "Site", "make_route", "make_settings", "open_site"]

HOST = "desk.example"
SERVICE = "lm"
WAIT_S = 15.0
POLL_S = 0.01
LOOPBACK = "127.0.0.1"
# Below the range of ephemeral ports of Linux (from 32,768 by default). Test processes
# that run in parallel claim different blocks.
MIN_PORT = 12_000
PORTS_PER_BLOCK = 100
PORT_BLOCKS = 200


def _claim_block():
    """Return the socket that claims a block of ports, bound to the first of them."""
    for offset in range(PORT_BLOCKS):
        block = (os.getpid() + offset) % PORT_BLOCKS
        claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with contextlib.suppress(OSError):
            claim.bind((LOOPBACK, MIN_PORT + block * PORTS_PER_BLOCK))
            return claim
        claim.close()
    raise OSError(f"none of the {PORT_BLOCKS} blocks of ports is free")


def _cycle_ports():
    """Cycle through the ports of this process's block."""
    with _claim_block() as claim:
        first = claim.getsockname()[1]
        while True:
            yield from range(first + 1, first + PORTS_PER_BLOCK)


_ports = _cycle_ports()


def find_free_port(kind=socket.SOCK_STREAM):
    """Return a free port that the kernel does not assign to outgoing connections."""
    for port in itertools.islice(_ports, PORTS_PER_BLOCK):
        with socket.socket(socket.AF_INET, kind) as sock:
            # Servers set it, too: a connection in TIME_WAIT does not block the port.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                sock.bind((LOOPBACK, port))
                return port
    raise OSError(f"none of the {PORTS_PER_BLOCK} ports of this process is free")


def make_route(prefix, kind, **changes):
    """Return a route in the form of the operator's configuration."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 5000,
        "slo_ms": 1000,
        "priority": 0,
        "service": SERVICE,
        "max_attempts": 2,
        **changes,
    }


def make_settings(store_address, **changes):
    """Return the settings of an entry on loopback.

    Args:
        store_address: ``IP:port`` of the store.
        changes: Fields of `node.NodeSettings` that differ.
    """
    port = find_free_port(socket.SOCK_DGRAM)
    settings = node.NodeSettings(
        name="entry",
        ip=LOOPBACK,
        failure_domain="here",
        callers_address=f"{LOOPBACK}:{find_free_port()}",
        ready_address=f"{LOOPBACK}:{find_free_port()}",
        peer_ports=(port, port),
        store_address=store_address,
        stop_grace_s=4.0,
        drain_s=2.0,
        result_retention_s=60.0,
        min_lease_s=1.0,
        record_bytes=262_144,
        call_bytes=2_097_152,
        parts=8,
    )
    return dataclasses.replace(settings, **changes)


class Site:
    """A deployment of a store, replicas and entries.

    Args:
        replicas: The `replica.Replica` objects.
        routes: Routes in the form of the operator's configuration.
        entries: Number of entries.
        tenants: Workspaces in the same form; None by default, so that callers need no
            keys.
        changes: Fields of the entries' `node.NodeSettings` that differ.

    Attributes:
        gateways: The running entries.
    """

    def __init__(self, replicas, routes, entries=1, tenants=None, **changes):
        self.store = platform_store.PlatformStore()
        self.replicas = replicas
        self.routes = routes
        self.tenants = tenants
        self.gateways = []
        self.client = http_client.Client()
        self._entries = entries
        self._changes = changes
        self._version = 0

    async def start(self):
        """Start all components and wait until the entries are ready."""
        await self.client.start()
        await self.store.start()
        for server in self.replicas:
            await server.start()
            self.register_replica(server)
        self.publish(self.routes)
        for _ in range(self._entries):
            await self.start_entry()

    async def start_entry(self, settings=None, prepare=None):
        """Start another entry, by default with new addresses, and wait until ready.

        Args:
            settings: Its `node.NodeSettings`.
            prepare: Function called with the entry before it starts.
        """
        settings = settings or make_settings(self.store.address, **self._changes)
        gateway = daemon.Gateway(settings, metrics_port=find_free_port())
        if prepare is not None:
            prepare(gateway)
        await gateway.start()
        self.gateways.append(gateway)
        await wait.wait_for(lambda: self._is_ready(gateway), WAIT_S, POLL_S)
        return gateway

    def _is_ready(self, gateway):
        return gateway.is_ready and len(gateway.table.by_id) >= len(self.replicas)

    def publish(self, routes):
        """Publish routes as the next version of the configuration."""
        self._version += 1
        self.routes = routes
        services = [{"name": SERVICE, "max_conns": 100}]
        data = {"version": self._version, "routes": routes, "services": services}
        if self.tenants is not None:
            data["tenants"] = self.tenants
        self.store.put("keyed.op", "config", data)

    def register_replica(self, server, **changes):
        """Write the registration of a replica to the store."""
        self.store.put(
            "keyed.servers", server.id, server.make_registration(SERVICE, **changes)
        )

    def register_after_crashes(self, server):
        """Let a replica register under its new identifier after each crash."""

        def register_again(previous_id):
            self.store.put("keyed.servers", previous_id, b"")
            self.register_replica(server)

        server.on_crash = register_again

    def count_crashes(self):
        """Return how often replicas have crashed."""
        return sum(server.crashes for server in self.replicas)

    async def call(self, method, path, body=None, entry=0, **headers):
        """Send a request to an entry; underscores in header names become dashes."""
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        return await self.client.fetch(
            method,
            self.gateways[entry].settings.callers_address,
            path,
            body,
            {"Host": HOST, **names},
            timeout_s=WAIT_S,
        )

    async def close(self):
        """Stop all components."""
        for gateway in self.gateways:
            await gateway.close()
        for server in self.replicas:
            await server.close()
        await self.store.close()
        await self.client.close()


@contextlib.asynccontextmanager
async def open_site(replicas=None, routes=None, entries=1, tenants=None, **changes):
    """Run a `Site` for the duration of the context.

    Args:
        replicas: The `replica.Replica` objects; one by default.
        routes: Routes in the form of the operator's configuration; one resumable
            stream by default.
        entries: Number of entries.
        tenants: Workspaces in the same form.
        changes: Fields of the entries' `node.NodeSettings` that differ.

    Yields:
        The `Site`.
    """
    routes = routes or [make_route("/chat/", "stream", resumable=True)]
    replicas = replicas or [replica.Replica()]
    site = Site(replicas, routes, entries, tenants, **changes)
    try:
        await site.start()
        yield site
    finally:
        await site.close()
