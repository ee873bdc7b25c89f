"""The agents known to an entry, and their health.

The host list names the existing agents, but it lags. The reports in an agent's
heartbeat answers and the outcomes of requests to it take precedence.

The host list does not say which service an agent's target serves, so each new agent is
probed with a heartbeat, and agents that are not peers are probed again periodically.
Of each service the entry then uses a bounded number of agents, its peers. One task per
peer sends heartbeats: frequently while batch items of its service are pending or
running, to renew the lease, and infrequently otherwise.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import time

from loguru import logger

from pimentowick import client as http_client
from pimentowick import exception, supervisor
from pimentowick.membership import peer as membership_peer
from pimentowick.membership import pool as membership_pool
from pimentowick.membership import report as membership_report
from pimentowick.membership import subset

__all__ = ["Fleet"]

HEARTBEAT_TIMEOUT_S = 1.0
MAX_MISSED_HEARTBEATS = 4
"""Minimum silence after which a peer is unusable, in heartbeat periods."""
MAX_MISSED_INTERVALS = 2.4
"""The same in the peer's own heartbeat intervals, which may be longer."""
MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 10.0
# Further doublings exceed the longest ejection.
MAX_DOUBLINGS = 32
DISCOVERY_BATCH_SIZE = 8
DISCOVERY_POLL_S = 60.0
REDISCOVERY_S = 3600.0
"""Interval at which an agent that is not a peer is probed again."""
MIN_LEASES_PER_SERVICE = 2
"""Number of leases to request immediately for a service with batch work."""
SURPLUS_LEASE_S = 5.0
"""Time without a shortage after which unused further leases are released."""
RENEWALS_PER_LEASE = 3
RENEWAL_JITTER = 0.05


@dataclasses.dataclass(eq=False, slots=True)
class _Agent:
    """An agent of the host list, whether or not it is a peer of this entry.

    Attributes:
        host: `pimentowick.external.hosts.Host` of the agent.
        rank: Rendezvous weight of the agent for this entry.
        report: Last heartbeat answer, or None before the first one.
        heartbeat_sent_at: Monotonic time at which the last probe was sent, in seconds.
        failed_probes: Number of consecutive probes without an answer.
    """

    host: object
    rank: bytes
    report: dict | None = None
    heartbeat_sent_at: float = 0.0
    failed_probes: int = 0

    @property
    def service_key(self):
        """Kind and name of the target's service, or None if not known yet."""
        if self.report is None:
            return None
        return self.report.get("kind"), self.report.get("service")


class Fleet:
    """The agents used by this entry, and the other entries.

    Args:
        hosts: `pimentowick.external.hosts.HostList`.
        client: `pimentowick.client.Client` for heartbeats.
        settings: `pimentowick.settings.EntrySettings`.
        owner: Name under which this process holds leases.
        is_log_current: Function that returns whether this process has read the log up
            to a recent time; leases are renewed only then.

    Attributes:
        peers: `pimentowick.membership.peer.Peer` objects by host name, a bounded number
            per service.
        entries: `pimentowick.external.hosts.Host` of each entry, by name.
        hosts_read_at: Monotonic time of the last successful read of the host list, in
            seconds, or None before.
        ejections: Number of ejections of peers so far.
        changed: Event that is set whenever it may have become possible to dispatch
            work.
    """

    def __init__(self, hosts, client, settings, owner, is_log_current):
        self._agents = {}
        self._last_hosts = None
        self._agents_added = asyncio.Event()
        self._batch_services = frozenset()
        self._last_shortage_at = {}
        self.peers = {}
        self.entries = {}
        self.changed = asyncio.Event()
        self._pools = {}
        self.hosts_read_at = None
        self.ejections = 0
        self._tracks_all = False
        self._hosts = hosts
        self._client = client
        self._settings = settings
        self._owner = owner
        self._is_log_current = is_log_current
        self._supervisor = supervisor.Supervisor("fleet")

    async def start(self):
        """Start reading the host list and discovering agents."""
        await self._supervisor.start()
        self._supervisor.start_child("hosts", self._watch_hosts)
        self._supervisor.start_child("discovery", self._discover_agents)

    async def close(self):
        """Stop all background tasks, including heartbeats."""
        await self._supervisor.close()

    async def _watch_hosts(self):
        while True:
            try:
                self._update_hosts(await self._hosts.read())
            except exception.PimentowickError as error:
                # While the host list is unavailable, the last known hosts are kept, and
                # heartbeats detect failed agents.
                logger.warning("fleet: The host list is not readable. {}", error)
            await asyncio.sleep(self._settings.host_poll_s * random.uniform(0.8, 1.2))

    def _update_hosts(self, hosts):
        self.hosts_read_at = time.monotonic()
        if hosts is self._last_hosts:
            return
        self._last_hosts = hosts
        self.entries = {host.name: host for host in hosts if host.role == "entry"}
        agents = {host.name: host for host in hosts if host.role == "agent"}
        for name, host in agents.items():
            self._update_agent(name, host)
        for name in set(self._agents) - set(agents):
            del self._agents[name]
        self._select_peers({agent.service_key for agent in self._agents.values()})
        for name in set(self.peers) - set(agents):
            self._drop_peer(name)
        self.changed.set()

    def _update_agent(self, name, host):
        agent = self._agents.get(name)
        if agent is None or agent.host.address != host.address:
            rank = subset.rank_agent(self._settings.name, name)
            self._agents[name] = _Agent(host, rank)
            self._agents_added.set()
            return
        agent.host = host
        peer = self.peers.get(name)
        if peer is not None and peer.address == host.address and peer.host != host:
            # The failure domain or the state may have changed.
            self._remove_from_pools(peer)
            peer.host = host
            self._update_pools(peer)

    async def _discover_agents(self):
        """Probe agents for the services they serve, preferred peers first."""
        while True:
            waiting = self._list_undiscovered()
            if not waiting:
                await self._wait_for_agents()
                continue
            group = waiting[:DISCOVERY_BATCH_SIZE]
            await asyncio.gather(*map(self._probe, group))
            self._select_peers({agent.service_key for agent in group})
            if any(agent.report is None for agent in group):
                # Agents that did not answer are retried after all others.
                await asyncio.sleep(self._settings.heartbeat_s)

    async def _wait_for_agents(self):
        self._agents_added.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DISCOVERY_POLL_S):
                await self._agents_added.wait()

    def _list_undiscovered(self):
        now = time.monotonic()
        undiscovered = [
            agent
            for name, agent in self._agents.items()
            if agent.report is None
            or (
                name not in self.peers and now - agent.heartbeat_sent_at > REDISCOVERY_S
            )
        ]
        return sorted(undiscovered, key=self._get_discovery_priority)

    def _get_discovery_priority(self, agent):
        is_remote = agent.host.failure_domain != self._settings.failure_domain
        return agent.failed_probes, is_remote, agent.rank

    async def _probe(self, agent):
        agent.heartbeat_sent_at = time.monotonic()
        try:
            agent.report = await self._post_heartbeat(agent.host.address, {})
            agent.failed_probes = 0
        except exception.PimentowickError:
            agent.failed_probes += 1

    async def _post_heartbeat(self, address, fields):
        message = {"entry": self._owner, **fields}
        answer = await self._client.fetch(
            "POST", address, "/heartbeat", message, timeout_s=HEARTBEAT_TIMEOUT_S
        )
        return answer.decode()

    def _select_peers(self, services):
        """Reselect the peers of the given services.

        Args:
            services: Pairs of kind and name; None is ignored.
        """
        ranked = {
            service_key: [] for service_key in services if service_key is not None
        }
        for agent in self._agents.values():
            if agent.service_key in ranked:
                ranked[agent.service_key].append((agent.rank, agent.host))
        for pairs in ranked.values():
            count = len(pairs)
            if not self._tracks_all:
                count = subset.compute_subset_size(
                    self._settings.peers_per_service, count, len(self.entries)
                )
            chosen = subset.select_subset(pairs, self._settings.failure_domain, count)
            self._set_peers({host.name for _, host in pairs}, chosen)

    def track_all_agents(self, enabled):
        """Use all agents as peers, or a bounded number per service.

        The entry that decides on the placement of models needs reports of all engines.

        Args:
            enabled: Whether to use all agents.
        """
        if enabled != self._tracks_all:
            self._tracks_all = enabled
            self._select_peers({agent.service_key for agent in self._agents.values()})

    def _set_peers(self, names, chosen):
        wanted = {host.name for host in chosen}
        for host in chosen:
            self._add_peer(host)
        for name in names - wanted:
            peer = self.peers.get(name)
            # Without heartbeats the lease would expire and the agent would cancel the
            # items that are running.
            if peer is not None and peer.batch == 0:
                self._drop_peer(name)

    def _add_peer(self, host):
        peer = self.peers.get(host.name)
        if peer is not None and peer.address == host.address:
            return
        if peer is not None:
            self._remove_from_pools(peer)
        peer = membership_peer.Peer(host)
        agent = self._agents[host.name]
        self.peers[host.name] = peer
        self._apply_report(peer, agent.report, agent.heartbeat_sent_at)
        peer.last_seen_at = agent.heartbeat_sent_at
        logger.info("fleet: added agent {} at {} as a peer", host.name, host.address)
        self._supervisor.start_child(host.name, self._send_heartbeats, peer)

    def _drop_peer(self, name):
        logger.info("fleet: removed agent {} from the peers", name)
        self._supervisor.stop_child(name)
        self._remove_from_pools(self.peers.pop(name))

    def _update_pools(self, peer):
        """Add a peer to the pools of its services if it is ready, else remove it."""
        if self.peers.get(peer.name) is not peer:
            return
        if peer.host.leaving or peer.report.get("state") != "ready":
            self._remove_from_pools(peer)
            return
        keys = {(name, peer.report.get("kind")) for name in peer.list_services()}
        for key, pool in self._pools.items():
            if key not in keys:
                pool.discard(peer)
        for key in keys:
            self._pools.setdefault(key, membership_pool.Pool()).add(peer)

    def _remove_from_pools(self, peer):
        for pool in self._pools.values():
            pool.discard(peer)

    async def _send_heartbeats(self, peer):
        while True:
            if not await self._send_heartbeat(peer):
                # The connection may be stale while the agent is healthy. Retries
                # immediately on a new one, before the agent is considered dead.
                await self._send_heartbeat(peer)
            peer.heartbeat_interval_s = self._get_heartbeat_interval(peer)
            delay_s = self._get_heartbeat_delay(peer)
            try:
                async with asyncio.timeout(delay_s):
                    await peer.wake.wait()
            except TimeoutError:
                continue
            peer.wake.clear()
            # Limits the heartbeat rate when many failures wake this task.
            await asyncio.sleep(self._settings.heartbeat_s * random.uniform(0, 0.2))

    def _get_heartbeat_delay(self, peer):
        if not self._wants_lease(peer):
            return self._align_delay(
                peer.heartbeat_interval_s * random.uniform(0.8, 1.2)
            )
        # Rounded down, so that a retried renewal arrives before the lease expires.
        period_s = self._settings.heartbeat_s
        delay_s = peer.heartbeat_interval_s * random.uniform(1 - RENEWAL_JITTER, 1)
        if delay_s <= period_s:
            return delay_s
        now = time.monotonic()
        return max((now + delay_s) // period_s * period_s - now, period_s / 2)

    def _align_delay(self, delay_s):
        """Return a delay near `delay_s` that ends on a multiple of the period.

        Aligned heartbeats of several peers share one wake-up of the event loop, which
        saves CPU time.
        """
        period_s = self._settings.heartbeat_s
        now = time.monotonic()
        end = round((now + delay_s) / period_s) * period_s
        return max(end - now, period_s / 2)

    async def _send_heartbeat(self, peer):
        """Send a heartbeat to `peer`, and return whether it was answered."""
        sent_at = time.monotonic()
        # Agents that don't support `have` send a full report.
        message = {"have": peer.report.get("version")}
        if not self._wants_lease(peer):
            peer.lease = 0
        elif self._is_log_current():
            message["renew"] = peer.lease
        try:
            answer = await self._post_heartbeat(peer.address, message)
            self._apply_report(peer, answer, sent_at)
            if peer.name in self._agents:
                self._agents[peer.name].report = peer.report
        except http_client.TransportError:
            self._client.retire_connections(peer.address)
            return False
        except exception.ValidationError as error:
            logger.warning(
                "fleet: invalid heartbeat answer of {}: {}", peer.name, error
            )
        return True

    def _wants_lease(self, peer):
        return peer.batch > 0 or (
            peer.lease_wanted
            and peer.report.get("kind") == "engine"
            and not self._batch_services.isdisjoint(peer.list_services())
        )

    def _get_heartbeat_interval(self, peer):
        """Return the time until the next heartbeat to `peer`, in seconds."""
        interval = self._get_report_interval(peer)
        if not self._wants_lease(peer):
            return interval
        lease_s = peer.report.get("lease_s")
        if lease_s is None or not peer.lease:
            # A renewal omitted because the log was not current is retried soon.
            return self._settings.heartbeat_s
        return min(interval, lease_s / RENEWALS_PER_LEASE)

    def _get_report_interval(self, peer):
        # The rate of all heartbeats is bounded. With many peers the intervals grow, and
        # the outcomes of requests show the health of a peer in between.
        min_interval_s = len(self.peers) / self._settings.heartbeats_per_s
        now = time.monotonic()
        if peer.online or now - peer.last_used_at < membership_peer.PEER_ACTIVE_S:
            return max(self._settings.heartbeat_s, min_interval_s)
        return max(
            self._settings.heartbeat_s, self._settings.idle_heartbeat_s, min_interval_s
        )

    def set_batch_services(self, services):
        """Set the services for which batch items are pending or running.

        Leases are requested only from agents of these services, and only as many as
        the work needs: an agent divides its free slots among the entries that hold a
        lease, and each lease costs heartbeats.

        Args:
            services: Names of the services.
        """
        self._batch_services = frozenset(services)
        for peer in self.peers.values():
            if self._batch_services.isdisjoint(peer.list_services()):
                peer.lease_wanted = False
        for service in self._batch_services:
            self._adjust_leases(service)

    def _adjust_leases(self, service):
        leased, others = self._split_by_lease(service)
        missing = MIN_LEASES_PER_SERVICE - len(leased)
        if missing > 0:
            self._request_leases(others[:missing])
            return
        last_shortage_at = self._last_shortage_at.get(service, 0.0)
        unused = [peer for peer in leased if peer.batch == 0]
        is_surplus = time.monotonic() - last_shortage_at > SURPLUS_LEASE_S
        if missing < 0 and unused and is_surplus:
            unused[0].lease_wanted = False

    def _split_by_lease(self, service):
        """Return the usable engines with a wanted lease, and the others.

        The others are in descending order of their free batch slots.
        """
        peers = self.list_candidates(service, "engine")
        leased = [peer for peer in peers if peer.lease_wanted]
        others = [peer for peer in peers if not peer.lease_wanted]
        # Shuffled, so that the entries don't all prefer the same engine in a tie.
        random.shuffle(others)
        others.sort(key=lambda peer: -peer.report.get("batch_free", 0))
        return leased, others

    def _request_leases(self, peers):
        for peer in peers:
            peer.lease_wanted = True
            if not peer.lease:
                peer.wake.set()

    def on_lease_expired(self, peer):
        """Discard the lease of an agent that refused an item as its lease expired."""
        peer.lease = 0
        # Renews immediately; the agent would be idle until the next renewal is due.
        peer.wake.set()

    def record_backlog(self, service, items):
        """Request more leases if the leased agents have too few free slots.

        The number of leases doubles until there are enough slots, so that a large job
        quickly gets all agents and a small one no more than it needs.

        Args:
            service: Name of the model.
            items: Number of pending items.
        """
        leased, others = self._split_by_lease(service)
        free_slots = sum(max(0, peer.window - peer.batch) for peer in leased)
        if free_slots >= items:
            return
        self._last_shortage_at[service] = time.monotonic()
        # Waits for all requested leases, since those agents may have enough slots.
        granted = sum(1 for peer in leased if peer.lease)
        if granted == len(leased):
            self._request_leases(itertools.islice(others, max(1, granted)))

    def _apply_report(self, peer, answer, sent_at):
        # Answers omit fields that stay constant during the agent process's lifetime, so
        # the previous values are kept.
        peer.report = {**peer.report, **membership_report.REPORT_DEFAULTS, **answer}
        peer.last_seen_at = time.monotonic()
        peer.heartbeat_sent_at = sent_at
        peer.online_at_report = peer.online
        self._update_pools(peer)
        lease = answer.get("lease", peer.lease)
        if lease != peer.lease:
            peer.lease = lease
            peer.lease_requested_at = sent_at
        report = peer.report
        fair_slots = report.get("batch_free", 0) // max(1, report.get("holders", 1))
        peer.window = peer.batch + fair_slots
        if report.get("batch_free") and not fair_slots and peer.batch == 0:
            # There are fewer free slots than lease holders; the first to dispatch wins.
            peer.window = 1
        if self._wants_lease(peer):
            self.changed.set()

    def is_usable(self, peer, now=None):
        """Return whether `peer` is ready, alive and may receive requests.

        Args:
            peer: The `pimentowick.membership.peer.Peer`.
            now: Current monotonic time in seconds; None reads the clock.
        """
        now = time.monotonic() if now is None else now
        if peer.host.leaving or peer.report.get("state") != "ready":
            return False
        max_silence_s = MAX_MISSED_HEARTBEATS * self._settings.heartbeat_s
        # A peer with a long heartbeat interval may miss one answer. A request sent to
        # an agent that has failed meanwhile ends as not run and is retried elsewhere.
        max_silence_s = max(
            max_silence_s, MAX_MISSED_INTERVALS * peer.heartbeat_interval_s
        )
        return now - peer.last_seen_at < max_silence_s + HEARTBEAT_TIMEOUT_S

    def get_pool(self, name, kind):
        """Return the `pimentowick.membership.pool.Pool` of a service."""
        return self._pools.get((name, kind)) or membership_pool.Pool()

    def list_candidates(self, name, kind):
        """Return the usable peers of a service, without the ejected ones.

        If all usable peers are ejected, all of them are returned.

        Args:
            name: Name of the model or service.
            kind: ``engine`` or ``service``.
        """
        now = time.monotonic()
        usable = [
            peer
            for peer in self.get_pool(name, kind).members
            if self.is_usable(peer, now)
        ]
        return [peer for peer in usable if peer.ejected_until <= now] or usable

    def list_services(self, kind):
        """Return the names of the services of all peers whose target is of `kind`."""
        return {
            name
            for peer in self.peers.values()
            if peer.report.get("kind") == kind
            for name in peer.list_services()
        }

    def record_success(self, peer):
        """Record a successful request to `peer`."""
        peer.failures = 0
        peer.last_used_at = time.monotonic()
        # A complete response proves that the agent is alive, but not what its load is.
        peer.last_seen_at = peer.last_used_at

    def record_failure(self, peer):
        """Record a failed request to `peer`, and eject it temporarily."""
        pools = [pool for pool in self._pools.values() if peer in pool]
        self.eject(pools, peer, time.monotonic())

    def eject(self, pools, peer, now):
        """Count a failure of `peer`, and eject it if all its pools permit it.

        Args:
            pools: Each `pimentowick.membership.pool.Pool` with this member.
            peer: The `pimentowick.membership.peer.Peer`.
            now: Current monotonic time in seconds.
        """
        peer.failures += 1
        peer.last_used_at = time.monotonic()
        peer.wake.set()
        if not all(pool.can_eject(peer, now) for pool in pools):
            return
        self.ejections += 1
        doublings = min(peer.failures - 1, MAX_DOUBLINGS)
        duration_s = min(MIN_EJECTION_S * 2**doublings, MAX_EJECTION_S)
        peer.ejected_until = now + duration_s * random.uniform(0.8, 1.2)
        for pool in pools:
            pool.record_ejection(peer, peer.ejected_until)

    def record_draining(self, peer):
        """Record that an agent refused a request because it is draining."""
        peer.report = {**peer.report, "state": "draining"}
        self._update_pools(peer)
