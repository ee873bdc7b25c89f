"""The agents that an entry knows, and how each of them is.

The host list says which agents exist; it lags. What an agent says of itself in its
heartbeat answers, and how requests to it end, count before it. One task for each
agent sends the heartbeats.
"""

import asyncio
import dataclasses
import random
import time

from loguru import logger

from pimentowick import client as http_client
from pimentowick import exception, supervisor
from pimentowick.membership import pool as membership_pool

__all__ = ["Fleet", "Peer"]

HEARTBEAT_TIMEOUT_S = 1.0
SILENT_AFTER_HEARTBEATS = 4
EJECT_FIRST_S = 0.5
EJECT_LAST_S = 10.0


@dataclasses.dataclass(eq=False, slots=True)
class Peer:
    """One agent and its target, as this entry knows them.

    Attributes:
        host: `pimentowick.platform.hosts.Host` of the agent.
        report: The last heartbeat answer.
        heard_at: Monotonic time of the last heartbeat answer; 0 before.
        asked_at: Monotonic time at which its heartbeat left; the report is newer.
        online: Online requests of this entry in flight there.
        online_at_report: What `online` was when the last report came.
        batch: Batch items of this entry in flight there.
        window: Batch items that this entry may have in flight there.
        lease: Number of the lease, 0 while there is none.
        lease_since: Monotonic time at which the heartbeat left that got the lease.
        failures: Failed requests in a row.
        ejected_until: Monotonic time until which the agent gets no work.
        solo: Whether a suspected batch item runs alone there.
    """

    host: object
    report: dict = dataclasses.field(default_factory=dict)
    heard_at: float = 0.0
    asked_at: float = 0.0
    online: int = 0
    online_at_report: int = 0
    batch: int = 0
    window: int = 0
    lease: int = 0
    lease_since: float = 0.0
    failures: int = 0
    ejected_until: float = 0.0
    solo: bool = False

    @property
    def name(self):
        """Name of the host."""
        return self.host.name

    @property
    def address(self):
        """``IP:port`` of the agent."""
        return self.host.address

    @property
    def service(self):
        """Name of the model or service that the target serves."""
        return self.report.get("service")

    def list_served(self):
        """Return the names of what the target serves.

        An engine that was given orders serves what it has loaded.
        """
        if self.report.get("fence"):
            return self.report.get("models", [])
        return [self.service]

    def estimate_load(self, alike=1):
        """Return how full the target is: the report, and what was sent since.

        The report counts the requests of all entries, but is as old as the last
        heartbeat; own requests are exact. So the report is corrected by what the
        own ones have become since, and is never below these.

        Args:
            alike: How many entries are taken to have sent as many more.
        """
        since = self.online - self.online_at_report
        if since > 0:
            since *= alike
        reported = self.report.get("online", 0)
        return max(reported + since, self.online) / self._get_limit()

    def get_reported_load(self):
        """Return how full the target was at the last report."""
        return self.report.get("online", 0) / self._get_limit()

    def _get_limit(self):
        return max(1, self.report.get("max_online", 1))


class Fleet:
    """All agents of the host list, and the other entries.

    Args:
        hosts: `pimentowick.platform.hosts.HostList`.
        client: `pimentowick.client.Client` for heartbeats.
        settings: `pimentowick.settings.EntrySettings`.
        owner: Name under which this process holds leases.
        is_fresh: Function that says whether this process knows what the log held
            a moment ago, without which it must not renew a lease.

    Attributes:
        peers: `Peer` by the name of its host.
        entries: `pimentowick.platform.hosts.Host` of each entry, by name.
        changed: Set whenever work may have become possible.
    """

    def __init__(self, hosts, client, settings, owner, is_fresh):
        self.peers = {}
        self.entries = {}
        self.changed = asyncio.Event()
        self._pools = {}
        self.read_at = None
        self._hosts = hosts
        self._client = client
        self._settings = settings
        self._owner = owner
        self._is_fresh = is_fresh
        self._supervisor = supervisor.Supervisor("fleet")

    async def start(self):
        """Begin to read the host list."""
        await self._supervisor.start()
        self._supervisor.start_child("hosts", self._watch_hosts)

    async def close(self):
        """Stop all heartbeats."""
        await self._supervisor.close()

    async def _watch_hosts(self):
        while True:
            try:
                self._take_hosts(await self._hosts.read())
            except exception.PimentowickError as error:
                # A host list that is down says nothing about the hosts: all that
                # is known stays, and heartbeats tell who is gone.
                logger.warning("fleet: The host list is not readable. {}", error)
            await asyncio.sleep(self._settings.host_poll_s * random.uniform(0.8, 1.2))

    def _take_hosts(self, hosts):
        self.read_at = time.monotonic()
        self.entries = {host.name: host for host in hosts if host.role == "entry"}
        agents = {host.name: host for host in hosts if host.role == "agent"}
        for name, host in agents.items():
            self._take_agent(name, host)
        for name in set(self.peers) - set(agents):
            self._drop_agent(name)
        self.changed.set()

    def _take_agent(self, name, host):
        peer = self.peers.get(name)
        if peer is not None and peer.address == host.address:
            if peer.host != host:
                # The failure domain or the state may be another one.
                self._leave_pools(peer)
                peer.host = host
                self._index(peer)
            return
        if peer is not None:
            self._leave_pools(peer)
        peer = Peer(host)
        self.peers[name] = peer
        logger.info("fleet: Agent {} is at {}.", name, host.address)
        self._supervisor.start_child(name, self._send_heartbeats, peer)

    def _drop_agent(self, name):
        logger.info("fleet: Agent {} is gone.", name)
        self._supervisor.stop_child(name)
        self._leave_pools(self.peers.pop(name))

    def _index(self, peer):
        """Put a peer into the pool of what it serves, if it is ready."""
        if self.peers.get(peer.name) is not peer:
            return
        if peer.host.leaving or peer.report.get("state") != "ready":
            self._leave_pools(peer)
            return
        keys = {(name, peer.report.get("kind")) for name in peer.list_served()}
        for key, pool in self._pools.items():
            if key not in keys:
                pool.discard(peer)
        for key in keys:
            self._pools.setdefault(key, membership_pool.Pool()).add(peer)

    def _leave_pools(self, peer):
        for pool in self._pools.values():
            pool.discard(peer)

    async def _send_heartbeats(self, peer):
        while True:
            sent_at = time.monotonic()
            message = {"entry": self._owner}
            if self._is_fresh():
                message["renew"] = peer.lease
            try:
                answer = await self._client.fetch(
                    "POST",
                    peer.address,
                    "/heartbeat",
                    message,
                    timeout_s=HEARTBEAT_TIMEOUT_S,
                )
                self._take_report(peer, answer.decode(), sent_at)
            except http_client.TransportError:
                self._client.distrust(peer.address)
            except exception.ValidationError as error:
                logger.warning("fleet: {} answers nonsense. {}", peer.name, error)
            await asyncio.sleep(self._settings.heartbeat_s * random.uniform(0.8, 1.2))

    def _take_report(self, peer, report, sent_at):
        peer.report = report
        peer.heard_at = time.monotonic()
        peer.asked_at = sent_at
        peer.online_at_report = peer.online
        self._index(peer)
        lease = report.get("lease", peer.lease)
        if lease != peer.lease:
            peer.lease = lease
            peer.lease_since = sent_at
        share = report.get("batch_free", 0) // max(1, report.get("entries", 1))
        peer.window = peer.batch + share
        if report.get("batch_free") and not share and peer.batch == 0:
            # Fewer free places than entries: whoever comes first takes one.
            peer.window = 1
        self.changed.set()

    def is_usable(self, peer, now=None):
        """Return whether `peer` may get new work.

        Args:
            peer: The `Peer`.
            now: Monotonic time, if the caller has it at hand.
        """
        now = time.monotonic() if now is None else now
        if peer.host.leaving or peer.report.get("state") != "ready":
            return False
        silence = SILENT_AFTER_HEARTBEATS * self._settings.heartbeat_s
        return now - peer.heard_at < silence + HEARTBEAT_TIMEOUT_S

    def get_pool(self, name, kind):
        """Return the `pimentowick.membership.pool.Pool` of a service."""
        return self._pools.get((name, kind)) or membership_pool.Pool()

    def list_candidates(self, name, kind):
        """Return the peers that serve `name` and may get new work.

        Ejected ones are left out; the pool bounds how many may be ejected.
        """
        now = time.monotonic()
        usable = [
            peer
            for peer in self.get_pool(name, kind).members
            if self.is_usable(peer, now)
        ]
        return [peer for peer in usable if peer.ejected_until <= now] or usable

    def list_served(self, kind):
        """Return the names of what the known targets of `kind` serve."""
        return {
            name
            for peer in self.peers.values()
            if peer.report.get("kind") == kind
            for name in peer.list_served()
        }

    def note_success(self, peer):
        """Take notice of a request that ended well."""
        peer.failures = 0

    def note_failure(self, peer):
        """Take notice of a failed request; eject the peer for a while."""
        pools = [pool for pool in self._pools.values() if peer in pool]
        self.eject(pools, peer, time.monotonic())

    def eject(self, pools, peer, now):
        """Count a failure of a member of `pools`, and eject it if all of them may."""
        peer.failures += 1
        if not all(pool.may_eject(peer, now) for pool in pools):
            return
        pause = min(EJECT_FIRST_S * 2 ** (peer.failures - 1), EJECT_LAST_S)
        peer.ejected_until = now + pause * random.uniform(0.8, 1.2)
        for pool in pools:
            pool.note_ejected(peer, peer.ejected_until)

    def note_draining(self, peer):
        """Take notice of an agent that refused because it drains."""
        peer.report = {**peer.report, "state": "draining"}
        self._index(peer)
