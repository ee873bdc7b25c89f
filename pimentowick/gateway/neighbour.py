"""What the entries tell each other: how much work of theirs is at each target.

Notes:
    Each entry sends the whole of what it runs, in one datagram, soon after a change
    and from time to time. Lost or late datagrams do no harm: the next one says it
    all again, and numbers that go back are passed over. An entry that falls silent
    is counted for a second and no longer.

    Entries find each other in a keyed topic of the store, where each writes its
    address when it starts, and by the datagrams that they get.

    A few entries tell each other directly. Many do so through one entry of each failure
    domain (see `pimentowick.gateway.policy.report_relay`).
"""

import asyncio
import collections
import dataclasses
import math
import time

import orjson

from pimentowick.gateway import decision
from pimentowick.gateway.policy import report_relay

__all__ = ["Neighbour", "Neighbours"]

# Coalesces the changes of one wave; an item is preempted this much later.
FLUSH_S = 0.01
# Datagrams that one entry gets in a second at most. Each of its peers sends its share,
# and saves up some while nothing changes: a change is told late only where changes keep
# coming.
RECEIVED_PER_S = 400
# From so many others on, news is relayed: told to each, it would come to each as
# often as it can be taken, and be older than by way of two relays.
RELAY_MIN_PEERS = 24
MOST_SAVED = 3.0
# Beyond the time until a change is told: the way between hosts, and a turn there.
ROUND_MARGIN_S = 0.01
IDLE_S = 0.4
PEER_HEARTBEAT_TIMEOUT_S = 1.2
# A neighbour that was not heard for so long is not written to any more.
PEER_EXPIRY_S = 20.0
# All that send have sent by then.
DISCOVERY_S = IDLE_S + 0.1
MAX_BYTES = 60_000
# Of a time in seconds; the news itself is tens of milliseconds old.
AGE_DIGITS = 2


@dataclasses.dataclass(slots=True)
class Neighbour:
    """Another entry.

    Attributes:
        address: Its ``IP:port``.
        number: Number of its newest datagram.
        last_heard_at: Monotonic time of that.
        loads: Online requests and batch items by target identifier.
        waiting: Requests that wait there, by service.
        pending: Weight of the batch items that wait there, by service.
        renewed_at: Monotonic time at which the store last renewed its lease, or None.
        parts: Parts of the batch work that it runs, or whose texts it is recording.
    """

    address: str
    number: int = 0
    last_heard_at: float = 0.0
    loads: dict = dataclasses.field(default_factory=dict)
    waiting: dict = dataclasses.field(default_factory=dict)
    pending: dict = dataclasses.field(default_factory=dict)
    renewed_at: float | None = None
    parts: frozenset = frozenset()

    @property
    def is_busy(self):
        """Whether anything of it is counted."""
        return bool(self.loads or self.waiting or self.pending)


class Neighbours(asyncio.DatagramProtocol):
    """Sends and takes datagrams.

    Args:
        address: ``IP:port`` of this entry.
        relay: `pimentowick.gateway.policy.report_relay.ReportRelay` of this entry.
        table: `pimentowick.gateway.target.TargetTable`.
        admission: `pimentowick.gateway.admission.Admission`.
        outliers: `pimentowick.gateway.policy.outlier_detection.OutlierDetection`.
        quotas: `pimentowick.gateway.policy.quota.Quota`.
        on_peer_change: Function called when a neighbour told a change.

    Attributes:
        peers: The `Neighbour` objects by address.
        pending: Weight of the batch items that wait here, by service; the runner's.
        get_renewal_age: Function that returns how many seconds ago the store renewed
            this entry's lease, or None.
        get_held_parts: Function that returns the parts of the batch work held here.
        get_limit: Function from the name of a workspace to its `quota.Limit`, or None.
        peers_pending: Weight of those that wait at other entries, by service.
    """

    def __init__(
        self, address, relay, table, admission, outliers, quotas, on_peer_change
    ):
        self.address = address
        self.peers = {}
        self._relay = relay
        self._relaying = asyncio.Event()
        self._table = table
        self._admission = admission
        self._outliers = outliers
        self._quotas = quotas
        self._is_listed = False
        self._on_news = on_peer_change
        self._transport = None
        self._started_at = float("-inf")
        self._changed = asyncio.Event()
        self._number = time.time_ns()
        self._saved = MOST_SAVED
        self._saved_at = time.monotonic()
        self._sums = {}
        self.pending = {}
        self.get_renewal_age = lambda: None
        self.get_held_parts = lambda: ()
        self.get_limit = lambda name: None
        self.peers_pending = collections.Counter()

    async def start(self):
        """Open the socket."""
        ip, _, port = self.address.rpartition(":")
        self._started_at = time.monotonic()
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, int(port))
        )

    async def close(self):
        """Tell that nothing runs here, and close the socket."""
        if self._transport is not None:
            self._send({"loads": {}, "waiting": {}, "pending": {}})
            self._transport.close()
            self._transport = None

    def add_member(self, address, failure_domain, link_mbps):
        """Take what the store says of another entry."""
        self._relay.add(address, failure_domain, link_mbps)
        self.add(address)

    def on_members_listed(self):
        """Note that all entries that the store knows were told."""
        self._is_listed = True

    def add(self, address):
        """Take the address of another entry."""
        if address == self.address or address in self.peers:
            return
        self.peers[address] = Neighbour(address, last_heard_at=time.monotonic())

    def remove(self, address):
        """Forget an entry."""
        self._relay.remove(address)
        peer = self.peers.pop(address, None)
        if peer is not None:
            self._replace(peer, {}, {}, {})
            self._outliers.update_peer(address, "", {})

    def schedule_report(self):
        """Note that what runs here has changed."""
        self._changed.set()

    def get_peer_batch_counts(self, target_id):
        """Return the batch items of each other entry at a target."""
        counts = {}
        for peer in self.peers.values():
            items = peer.loads.get(target_id, (0, 0))[1]
            if items:
                counts[peer.address] = items
        return counts

    @property
    def flush_s(self):
        """Seconds from a change until it is told."""
        return FLUSH_S + max(0.0, 1.0 - self._count_saved()) / self._rate

    @property
    def propagation_delay_s(self):
        """Seconds until the others know what is taken now."""
        relays_s = 2 * report_relay.BUNDLE_INTERVAL_S if self._is_relayed else 0.0
        return self.flush_s + relays_s + ROUND_MARGIN_S

    @property
    def _is_relayed(self):
        return len(self.peers) >= RELAY_MIN_PEERS

    @property
    def _rate(self):
        """Reports that this entry may send in a second."""
        return RECEIVED_PER_S / max(1, min(len(self.peers), RELAY_MIN_PEERS))

    def _count_saved(self):
        """Return how many datagrams may be sent to each peer now."""
        gained = (time.monotonic() - self._saved_at) * self._rate
        return min(MOST_SAVED, self._saved + gained)

    def get_latest_peer_renewal(self):
        """Return the monotonic time of the newest renewal that those heard told.

        It is infinite if none can be heard of those that are known: they may have been
        renewed since. Without any it is minus infinity.
        """
        heard_since = time.monotonic() - PEER_HEARTBEAT_TIMEOUT_S
        heard = [
            peer for peer in self.peers.values() if peer.last_heard_at > heard_since
        ]
        if not heard:
            return math.inf if self.peers else -math.inf
        renewals = [peer.renewed_at for peer in heard if peer.renewed_at is not None]
        return max(renewals, default=-math.inf)

    def list_live_peers(self):
        """Return the addresses of the entries that were heard just now."""
        since = time.monotonic() - PEER_HEARTBEAT_TIMEOUT_S
        return [
            peer.address for peer in self.peers.values() if peer.last_heard_at > since
        ]

    @property
    def has_heard_peers(self):
        """Whether all neighbours have been heard that send anything."""
        return time.monotonic() - self._started_at >= DISCOVERY_S

    def list_peer_parts(self):
        """Return the parts of the batch work that others say they hold."""
        since = time.monotonic() - PEER_HEARTBEAT_TIMEOUT_S
        heard = [
            peer.parts for peer in self.peers.values() if peer.last_heard_at > since
        ]
        return frozenset().union(*heard)

    async def run(self):
        """Send until cancelled."""
        while True:
            try:
                async with asyncio.timeout(IDLE_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
            await asyncio.sleep(self.flush_s)
            self._saved = self._count_saved() - 1.0
            self._saved_at = time.monotonic()
            self._changed.clear()
            self._drop_silent()
            self._count_heard()
            self._send(self._describe())

    def _count_heard(self):
        """Tell the limits how many entries count what they let through together."""
        heard = 1 + len(self.list_live_peers())
        if not (self._is_listed and self.has_heard_peers):
            heard = 0
        self._quotas.update_member_counts(1 + len(self.peers), heard)

    def _describe(self):
        targets = self._table.by_id.values()
        loads = {t.id: (t.online, t.batch) for t in targets if t.online or t.batch}
        services = self._admission.list_services()
        waiting = {name: self._admission.count_waiting(name) for name in services}
        age_s = self.get_renewal_age()
        failing = self._outliers.build_report()
        return {
            "loads": loads,
            "waiting": waiting,
            "pending": self.pending,
            "renewed_s_ago": None if age_s is None else round(age_s, AGE_DIGITS),
            "parts": sorted(self.get_held_parts()),
            "failure_domain": self._outliers.failure_domain if failing else "",
            "failing": failing,
            "taken": self._quotas.build_report(time.monotonic()),
        }

    def _send(self, data):
        self._number += 1
        # What is empty is left out: at most entries that is most of it, and the bytes
        # between failure domains are paid for.
        told = {name: value for name, value in data.items() if value or value == 0}
        report = {"from": self.address, "number": self._number, **told}
        if not self._is_relayed:
            self._send_to(self.peers, report)
            return
        self._send_bundles(self._relay.bundle_own_report(report, time.monotonic()))
        self._send_to(self._list_affected(), report)

    def _list_affected(self):
        """Return those whose batch items have to give way to requests of this entry.

        Told by relays, they would take their items off a tenth of a second later, and
        the requests would wait for that at the target.
        """
        crowded = [
            found.id
            for found in self._table.by_id.values()
            if found.online and found.total_online + found.total_batch > found.slots
        ]
        return [
            peer.address
            for peer in self.peers.values()
            if any(peer.loads.get(target_id, (0, 0))[1] for target_id in crowded)
        ]

    def _send_bundles(self, bundles):
        for bundle in bundles:
            data = {"sender": self.address, "reports": bundle.reports}
            if bundle.must_forward:
                data["asks"] = True
            if bundle.relays:
                data["relays"] = bundle.relays
            self._send_to(bundle.receivers, data)

    def _send_to(self, addresses, data):
        packet = orjson.dumps(data)
        if len(packet) > MAX_BYTES or self._transport is None:
            decision.note_belief("neighbour.not_told", bytes=len(packet))
            return
        for address in addresses:
            ip, _, port = address.rpartition(":")
            self._transport.sendto(packet, (ip, int(port)))

    async def run_relay(self):
        """Pass on what other entries tell, while it is this entry's turn."""
        while True:
            now = time.monotonic()
            if self._is_relayed and self._relay.is_relaying(now):
                self._send_bundles(self._relay.bundle_pending_reports(now))
                await asyncio.sleep(report_relay.BUNDLE_INTERVAL_S)
                continue
            if self._is_relayed and self._relay.has_relay_changed(now):
                chosen = self._relay.get_relay(now)
                decision.note_belief("neighbour.relay", neighbour=chosen)
                self.schedule_report()
            self._relaying.clear()
            try:
                async with asyncio.timeout(report_relay.HEARTBEAT_INTERVAL_S):
                    await self._relaying.wait()
            except TimeoutError:
                pass

    def datagram_received(self, data, addr):
        """Take a datagram; see `asyncio.DatagramProtocol`."""
        try:
            found = orjson.loads(data)
            reports = found.get("reports")
            if reports is None:
                changed = self._take_report(found)
            else:
                changed = self._take_bundle(found, reports)
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            decision.note_belief("neighbour.garbled", sender=addr[0], why=str(error))
            return
        if changed:
            self._on_news()

    def _take_bundle(self, found, reports):
        now = time.monotonic()
        if "asks" in found:
            self._relay.on_forward_request(found["sender"], reports, now)
            self._relaying.set()
        else:
            self._relay.on_bundle(found["sender"], found.get("relays", ()), now)
        changed = [
            self._take_report(report)
            for report in reports
            if report["from"] != self.address
        ]
        return any(changed)

    def _take_report(self, found):
        """Take what an entry says; return whether that changes anything.

        Raises:
            ValueError, TypeError, KeyError, AttributeError: It is garbled.
        """
        address = found["from"]
        number = found["number"]
        self.add(address)
        peer = self.peers.get(address)
        if peer is None or number <= peer.number:
            return False
        loads = {
            key: (int(online), int(batch))
            for key, (online, batch) in found.get("loads", {}).items()
        }
        waiting = {key: int(count) for key, count in found.get("waiting", {}).items()}
        pending = {key: float(count) for key, count in found.get("pending", {}).items()}
        failing = {
            key: (float(bad), float(good))
            for key, (bad, good) in found.get("failing", {}).items()
        }
        parts = frozenset(map(int, found.get("parts", ())))
        taken = {
            key: (int(period), int(takes), int(before))
            for key, (period, takes, before) in found.get("taken", {}).items()
        }
        age_s = found.get("renewed_s_ago")
        now = time.monotonic()
        peer.renewed_at = None if age_s is None else now - float(age_s)
        changed = loads != peer.loads or waiting != peer.waiting
        peer.number = number
        peer.last_heard_at = now
        peer.parts = parts
        self._replace(peer, loads, waiting, pending)
        domain = str(found.get("failure_domain", ""))
        self._outliers.update_peer(address, domain, failing)
        self._quotas.merge_report(address, taken, self.get_limit, now)
        return changed

    def error_received(self, exc):
        """Pass over that a neighbour does not listen; its silence tells."""

    def _drop_silent(self):
        now = time.monotonic()
        dropped = False
        for peer in list(self.peers.values()):
            if now - peer.last_heard_at > PEER_HEARTBEAT_TIMEOUT_S and peer.is_busy:
                decision.note_belief("neighbour.silent", neighbour=peer.address)
                self._replace(peer, {}, {}, {})
                dropped = True
            if now - peer.last_heard_at > PEER_HEARTBEAT_TIMEOUT_S:
                self._outliers.update_peer(peer.address, "", {})
                # Started anew by a clock that was set back, it counts from below.
                peer.number = 0
            if now - peer.last_heard_at > PEER_EXPIRY_S:
                self.peers.pop(peer.address)
                self._relay.remove(peer.address)
        if dropped:
            self._on_news()

    def _replace(self, peer, loads, waiting, pending):
        """Put what a neighbour says now in the place of what it said before.

        The sums are kept, not worked out anew: with 40 entries each gets some 300
        datagrams a second.
        """
        if loads != peer.loads:
            for target_id, (online, batch) in peer.loads.items():
                self._add(target_id, -online, -batch)
            for target_id, (online, batch) in loads.items():
                self._add(target_id, online, batch)
            for target_id in peer.loads.keys() | loads.keys():
                self.update_target_load(target_id)
            peer.loads = loads
        if waiting != peer.waiting:
            self._admission.peers_waiting.subtract(peer.waiting)
            self._admission.peers_waiting.update(waiting)
            peer.waiting = waiting
        if pending != peer.pending:
            self.peers_pending.subtract(peer.pending)
            self.peers_pending.update(pending)
            peer.pending = pending

    def _add(self, target_id, online, batch):
        known = self._sums.get(target_id, (0, 0))
        found = (known[0] + online, known[1] + batch)
        if any(found):
            self._sums[target_id] = found
        else:
            self._sums.pop(target_id, None)

    def update_target_load(self, target_id):
        """Set what other entries have at a target, if it is listed."""
        found = self._table.by_id.get(target_id)
        if found is not None:
            sums = self._sums.get(target_id, (0, 0))
            found.peers_online, found.peers_batch = sums
