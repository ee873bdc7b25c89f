"""The agents that an entry knows, and how each of them is.

The host list says which agents exist; it lags. What an agent says of itself in its
heartbeat answers, and how requests to it end, count before it.

The host list does not say what an agent's target serves. Each new agent is asked
once, and now and then again; of each service the entry then keeps a bounded number
of agents, its peers. One task for each peer sends the heartbeats: often while batch
items of its service wait or run, since the lease has to be renewed, seldom otherwise.
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
SILENT_AFTER_HEARTBEATS = 4
SILENT_AFTER_SELDOM = 2.4
EJECT_FIRST_S = 0.5
EJECT_LAST_S = 10.0
SURVEY_AT_ONCE = 8
SURVEY_CHECK_S = 60.0
SURVEY_AGAIN_S = 3600.0
"""Time after which an agent that is no peer is asked again what it serves."""
LEASES_AT_FIRST = 2
"""Agents of a service with batch work that are asked for a lease at once."""
LEASES_UNUSED_S = 5.0
"""Time without a shortage after which leases beyond those are given up."""
RENEWALS_PER_LEASE = 3
RENEWAL_JITTER = 0.05


@dataclasses.dataclass(eq=False, slots=True)
class _Agent:
    """One agent of the host list, whether or not this entry talks to it.

    Attributes:
        host: `pimentowick.external.hosts.Host`.
        rank: Its weight in the ranking of this entry.
        report: Answer to the question what it serves, or None.
        heartbeat_sent_at: Monotonic time of that question.
        tries: Questions without an answer.
    """

    host: object
    rank: bytes
    report: dict | None = None
    heartbeat_sent_at: float = 0.0
    tries: int = 0

    @property
    def served(self):
        """Kind and name of what the target serves, or None if that is unknown."""
        if self.report is None:
            return None
        return self.report.get("kind"), self.report.get("service")


class Fleet:
    """The agents that this entry talks to, and the other entries.

    Args:
        hosts: `pimentowick.external.hosts.HostList`.
        client: `pimentowick.client.Client` for heartbeats.
        settings: `pimentowick.settings.EntrySettings`.
        owner: Name under which this process holds leases.
        is_fresh: Function that says whether this process knows what the log held
            a moment ago, without which it must not renew a lease.

    Attributes:
        peers: `pimentowick.membership.peer.Peer` by the name of its host: a bounded
            number for each service.
        entries: `pimentowick.external.hosts.Host` of each entry, by name.
        ejections: How often an agent was left without work for a while.
        changed: Set whenever work may have become possible.
    """

    def __init__(self, hosts, client, settings, owner, is_fresh):
        self._agents = {}
        self._hosts_seen = None
        self._listed = asyncio.Event()
        self._batch_services = frozenset()
        self._short_at = {}
        self.peers = {}
        self.entries = {}
        self.changed = asyncio.Event()
        self._pools = {}
        self.hosts_read_at = None
        self.ejections = 0
        self._sees_all = False
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
        self._supervisor.start_child("survey", self._survey)

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
        self.hosts_read_at = time.monotonic()
        if hosts is self._hosts_seen:
            return
        self._hosts_seen = hosts
        self.entries = {host.name: host for host in hosts if host.role == "entry"}
        agents = {host.name: host for host in hosts if host.role == "agent"}
        for name, host in agents.items():
            self._take_agent(name, host)
        for name in set(self._agents) - set(agents):
            del self._agents[name]
        self._choose_peers({agent.served for agent in self._agents.values()})
        for name in set(self.peers) - set(agents):
            self._drop_peer(name)
        self.changed.set()

    def _take_agent(self, name, host):
        agent = self._agents.get(name)
        if agent is None or agent.host.address != host.address:
            rank = subset.rank_agent(self._settings.name, name)
            self._agents[name] = _Agent(host, rank)
            self._listed.set()
            return
        agent.host = host
        peer = self.peers.get(name)
        if peer is not None and peer.address == host.address and peer.host != host:
            # The failure domain or the state may be another one.
            self._leave_pools(peer)
            peer.host = host
            self._index(peer)

    async def _survey(self):
        """Ask the agents what they serve, those first that come first as peers."""
        while True:
            waiting = self._list_unknown()
            if not waiting:
                await self._wait_for_agents()
                continue
            group = waiting[:SURVEY_AT_ONCE]
            await asyncio.gather(*map(self._ask, group))
            self._choose_peers({agent.served for agent in group})
            if any(agent.report is None for agent in group):
                # An agent that does not answer is asked again, after the others.
                await asyncio.sleep(self._settings.heartbeat_s)

    async def _wait_for_agents(self):
        self._listed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SURVEY_CHECK_S):
                await self._listed.wait()

    def _list_unknown(self):
        now = time.monotonic()
        unknown = [
            agent
            for name, agent in self._agents.items()
            if agent.report is None
            or (
                name not in self.peers
                and now - agent.heartbeat_sent_at > SURVEY_AGAIN_S
            )
        ]
        return sorted(unknown, key=self._get_survey_order)

    def _get_survey_order(self, agent):
        is_far = agent.host.failure_domain != self._settings.failure_domain
        return agent.tries, is_far, agent.rank

    async def _ask(self, agent):
        agent.heartbeat_sent_at = time.monotonic()
        try:
            agent.report = await self._ask_report(agent.host.address, {})
            agent.tries = 0
        except exception.PimentowickError:
            agent.tries += 1

    async def _ask_report(self, address, fields):
        message = {"entry": self._owner, **fields}
        answer = await self._client.fetch(
            "POST", address, "/heartbeat", message, timeout_s=HEARTBEAT_TIMEOUT_S
        )
        return answer.decode()

    def _choose_peers(self, services):
        """Choose the peers of some services anew."""
        ranked = {served: [] for served in services if served is not None}
        for agent in self._agents.values():
            if agent.served in ranked:
                ranked[agent.served].append((agent.rank, agent.host))
        for pairs in ranked.values():
            count = len(pairs)
            if not self._sees_all:
                count = subset.compute_subset_size(
                    self._settings.peers_per_service, count, len(self.entries)
                )
            chosen = subset.select_subset(pairs, self._settings.failure_domain, count)
            self._keep_peers({host.name for _, host in pairs}, chosen)

    def track_all_agents(self, wanted):
        """Talk to all agents, or to a bounded number of each service again.

        Who decides on the placement has to know all engines.
        """
        if wanted != self._sees_all:
            self._sees_all = wanted
            self._choose_peers({agent.served for agent in self._agents.values()})

    def _keep_peers(self, names, chosen):
        wanted = {host.name for host in chosen}
        for host in chosen:
            self._add_peer(host)
        for name in names - wanted:
            peer = self.peers.get(name)
            # Without heartbeats its lease would lapse and end what runs there.
            if peer is not None and peer.batch == 0:
                self._drop_peer(name)

    def _add_peer(self, host):
        peer = self.peers.get(host.name)
        if peer is not None and peer.address == host.address:
            return
        if peer is not None:
            self._leave_pools(peer)
        peer = membership_peer.Peer(host)
        agent = self._agents[host.name]
        self.peers[host.name] = peer
        self._take_report(peer, agent.report, agent.heartbeat_sent_at)
        peer.last_seen_at = agent.heartbeat_sent_at
        logger.info("fleet: Agent {} is at {}.", host.name, host.address)
        self._supervisor.start_child(host.name, self._send_heartbeats, peer)

    def _drop_peer(self, name):
        logger.info("fleet: Agent {} is no longer a peer.", name)
        self._supervisor.stop_child(name)
        self._leave_pools(self.peers.pop(name))

    def _index(self, peer):
        """Put a peer into the pool of what it serves, if it is ready."""
        if self.peers.get(peer.name) is not peer:
            return
        if peer.host.leaving or peer.report.get("state") != "ready":
            self._leave_pools(peer)
            return
        keys = {(name, peer.report.get("kind")) for name in peer.list_services()}
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
            if not await self._send_heartbeat(peer):
                # The connection may have fallen silent under a healthy agent; the
                # next one is new. Waiting first would let the agent pass for dead.
                await self._send_heartbeat(peer)
            peer.heartbeat_interval_s = self._get_interval(peer)
            pause = self._get_pause(peer)
            try:
                async with asyncio.timeout(pause):
                    await peer.wake.wait()
            except TimeoutError:
                continue
            peer.wake.clear()
            # Failures may come fast; they must not make heartbeats that fast.
            await asyncio.sleep(self._settings.heartbeat_s * random.uniform(0, 0.2))

    def _get_pause(self, peer):
        if not self._wants_lease(peer):
            return self._align(peer.heartbeat_interval_s * random.uniform(0.8, 1.2))
        # Rounded up, a renewal that has to be repeated could come after the lease.
        turn = self._settings.heartbeat_s
        pause = peer.heartbeat_interval_s * random.uniform(1 - RENEWAL_JITTER, 1)
        if pause <= turn:
            return pause
        now = time.monotonic()
        return max((now + pause) // turn * turn - now, turn / 2)

    def _align(self, pause):
        """Return a time near `pause` that ends together with those of other peers.

        A process that wakes for each heartbeat alone spends most of its time on
        waking.
        """
        turn = self._settings.heartbeat_s
        now = time.monotonic()
        end = round((now + pause) / turn) * turn
        return max(end - now, turn / 2)

    async def _send_heartbeat(self, peer):
        """Send a heartbeat, and return whether there was an answer."""
        sent_at = time.monotonic()
        # Agents that don't know this name yet answer in full.
        message = {"have": peer.report.get("version")}
        if not self._wants_lease(peer):
            peer.lease = 0
        elif self._is_fresh():
            message["renew"] = peer.lease
        try:
            answer = await self._ask_report(peer.address, message)
            self._take_report(peer, answer, sent_at)
            if peer.name in self._agents:
                self._agents[peer.name].report = peer.report
        except http_client.TransportError:
            self._client.distrust(peer.address)
            return False
        except exception.ValidationError as error:
            logger.warning("fleet: {} answers nonsense. {}", peer.name, error)
        return True

    def _wants_lease(self, peer):
        return peer.batch > 0 or (
            peer.lease_wanted
            and peer.report.get("kind") == "engine"
            and not self._batch_services.isdisjoint(peer.list_services())
        )

    def _get_interval(self, peer):
        """Return the time until the next heartbeat to `peer`, in seconds."""
        interval = self._get_report_interval(peer)
        if not self._wants_lease(peer):
            return interval
        lease_s = peer.report.get("lease_s")
        if lease_s is None or not peer.lease:
            # One that was not asked for, since the log was not read, is soon due.
            return self._settings.heartbeat_s
        return min(interval, lease_s / RENEWALS_PER_LEASE)

    def _get_report_interval(self, peer):
        # With many peers all of them share what heartbeats may cost; their answers
        # to requests show in between how they are.
        least = len(self.peers) / self._settings.heartbeats_per_s
        now = time.monotonic()
        if peer.online or now - peer.last_used_at < membership_peer.PEER_ACTIVE_S:
            return max(self._settings.heartbeat_s, least)
        return max(self._settings.heartbeat_s, self._settings.idle_heartbeat_s, least)

    def set_batch_services(self, services):
        """Say for which services batch items wait or run.

        Only their agents grant leases to this entry, and of these no more than the
        work needs: an agent divides its free places by the entries that hold a
        lease, and each lease costs heartbeats.
        """
        self._batch_services = frozenset(services)
        for peer in self.peers.values():
            if self._batch_services.isdisjoint(peer.list_services()):
                peer.lease_wanted = False
        for service in self._batch_services:
            self._keep_leases(service)

    def _keep_leases(self, service):
        leased, others = self._split_by_lease(service)
        missing = LEASES_AT_FIRST - len(leased)
        if missing > 0:
            self._want_leases(others[:missing])
            return
        short_at = self._short_at.get(service, 0.0)
        unused = [peer for peer in leased if peer.batch == 0]
        is_enough = time.monotonic() - short_at > LEASES_UNUSED_S
        if missing < 0 and unused and is_enough:
            unused[0].lease_wanted = False

    def _split_by_lease(self, service):
        """Return the usable engines with a wanted lease, and the emptiest others."""
        peers = self.list_candidates(service, "engine")
        leased = [peer for peer in peers if peer.lease_wanted]
        others = [peer for peer in peers if not peer.lease_wanted]
        # The first of a common order would be chosen by all entries alike.
        random.shuffle(others)
        others.sort(key=lambda peer: -peer.report.get("batch_free", 0))
        return leased, others

    def _want_leases(self, peers):
        for peer in peers:
            peer.lease_wanted = True
            if not peer.lease:
                peer.wake.set()

    def on_lease_expired(self, peer):
        """Take notice of an agent that refused because the lease has lapsed."""
        peer.lease = 0
        # The next renewal may be seconds away, and until then the agent idles.
        peer.wake.set()

    def record_backlog(self, service, items):
        """Ask more agents for a lease if items wait for which there is no room.

        The leases in force double until there is room, so that a large job soon has
        all agents, and a small one no more than it needs.

        Args:
            service: Name of the model.
            items: How many items wait.
        """
        leased, others = self._split_by_lease(service)
        room = sum(max(0, peer.window - peer.batch) for peer in leased)
        if room >= items:
            return
        self._short_at[service] = time.monotonic()
        # Those that were asked and have not answered yet may have the room.
        granted = sum(1 for peer in leased if peer.lease)
        if granted == len(leased):
            self._want_leases(itertools.islice(others, max(1, granted)))

    def _take_report(self, peer, answer, sent_at):
        # An answer leaves out what does not change while the agent's process lives.
        peer.report = {**peer.report, **membership_report.REPORT_DEFAULTS, **answer}
        peer.last_seen_at = time.monotonic()
        peer.heartbeat_sent_at = sent_at
        peer.online_at_report = peer.online
        self._index(peer)
        lease = answer.get("lease", peer.lease)
        if lease != peer.lease:
            peer.lease = lease
            peer.lease_requested_at = sent_at
        report = peer.report
        share = report.get("batch_free", 0) // max(1, report.get("holders", 1))
        peer.window = peer.batch + share
        if report.get("batch_free") and not share and peer.batch == 0:
            # Fewer free places than entries: whoever comes first takes one.
            peer.window = 1
        if self._wants_lease(peer):
            self.changed.set()

    def is_usable(self, peer, now=None):
        """Return whether `peer` may get new work.

        Args:
            peer: The `pimentowick.membership.peer.Peer`.
            now: Monotonic time, if the caller has it at hand.
        """
        now = time.monotonic() if now is None else now
        if peer.host.leaving or peer.report.get("state") != "ready":
            return False
        silence = SILENT_AFTER_HEARTBEATS * self._settings.heartbeat_s
        # One that is seldom asked may miss one answer; a request that then meets a
        # dead agent ends as not run and goes elsewhere.
        silence = max(silence, SILENT_AFTER_SELDOM * peer.heartbeat_interval_s)
        return now - peer.last_seen_at < silence + HEARTBEAT_TIMEOUT_S

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

    def list_services(self, kind):
        """Return the names of what the known targets of `kind` serve."""
        return {
            name
            for peer in self.peers.values()
            if peer.report.get("kind") == kind
            for name in peer.list_services()
        }

    def record_success(self, peer):
        """Take notice of a request that ended well."""
        peer.failures = 0
        peer.last_used_at = time.monotonic()
        # The whole answer shows that it lives; how full it is, only a report does.
        peer.last_seen_at = peer.last_used_at

    def record_failure(self, peer):
        """Take notice of a failed request; eject the peer for a while."""
        pools = [pool for pool in self._pools.values() if peer in pool]
        self.eject(pools, peer, time.monotonic())

    def eject(self, pools, peer, now):
        """Count a failure of a member of `pools`, and eject it if all of them may."""
        peer.failures += 1
        peer.last_used_at = time.monotonic()
        peer.wake.set()
        if not all(pool.can_eject(peer, now) for pool in pools):
            return
        self.ejections += 1
        pause = min(EJECT_FIRST_S * 2 ** (peer.failures - 1), EJECT_LAST_S)
        peer.ejected_until = now + pause * random.uniform(0.8, 1.2)
        for pool in pools:
            pool.record_ejection(peer, peer.ejected_until)

    def record_draining(self, peer):
        """Take notice of an agent that refused because it drains."""
        peer.report = {**peer.report, "state": "draining"}
        self._index(peer)
