"""Exchange of load reports between entries, as UDP datagrams.

Notes:
    Each entry sends its complete load in one datagram, shortly after each change and
    periodically. Lost and reordered datagrams do no harm: the next report replaces the
    last one, and reports with an old sequence number are ignored. The load of a silent
    entry is counted for about a second.

    Entries discover each other through a keyed topic of the store, to which each writes
    its address at startup, and through the datagrams that they receive.

    A small number of entries send reports directly to each other. A larger number uses
    one relay in each failure domain (see `pimentowick.gateway.policy.report_relay`).
"""

import asyncio
import collections
import dataclasses
import math
import time

import orjson

from pimentowick import endpoint
from pimentowick.gateway import decision_log, performance, slow_target_monitor
from pimentowick.gateway.policy import report_relay
from pimentowick.routing import quarantine

__all__ = ["LoadReporter", "Peer"]

# Coalesces simultaneous changes; delays preemption by as much.
FLUSH_DELAY_S = 0.01
# Limit on the datagrams that an entry receives per second, divided among its peers.
# Each has a token bucket of `MAX_SEND_TOKENS`, so only sustained changes are delayed.
MAX_RECEIVED_PER_S = 400
# From this number of peers, relayed reports are newer than direct ones, which the limit
# on received datagrams would delay.
RELAY_MIN_PEERS = 24
MAX_SEND_TOKENS = 3.0
# Network latency and processing time of a report.
DELIVERY_S = 0.01
HEARTBEAT_INTERVAL_S = 0.4
PEER_HEARTBEAT_TIMEOUT_S = 1.2
# A peer that is silent for this long gets no more reports.
PEER_EXPIRY_S = 20.0
# All live entries send at least one report in this time.
DISCOVERY_S = HEARTBEAT_INTERVAL_S + 0.1
MAX_DATAGRAM_BYTES = 60_000
# Decimal places of ages in seconds; reports are tens of milliseconds old themselves.
AGE_DIGITS = 2
# Fields of the datagrams that are not load reports.
ORIGIN_FIELDS = frozenset({"origins", "origin_query", "origin_unknown"})


@dataclasses.dataclass(slots=True)
class Peer:
    """Another entry and its latest load report.

    Attributes:
        address: Its ``IP:port``.
        sequence_number: Sequence number of its newest report.
        last_heard_at: Monotonic time at which that report arrived.
        loads: Its online requests and batch items, by target identifier.
        waiting: Number of requests queued there, by service.
        pending: Weight of the batch items queued there, by service.
        renewed_at: Monotonic time at which the store last renewed its lease, or None.
        partitions: Numbers of the job partitions that it runs, or whose output it is
            still recording.
    """

    address: str
    sequence_number: int = 0
    last_heard_at: float = 0.0
    loads: dict = dataclasses.field(default_factory=dict)
    waiting: dict = dataclasses.field(default_factory=dict)
    pending: dict = dataclasses.field(default_factory=dict)
    renewed_at: float | None = None
    partitions: frozenset = frozenset()

    @property
    def has_load(self):
        """Whether it reports any load."""
        return bool(self.loads or self.waiting or self.pending)


class LoadReporter(asyncio.DatagramProtocol):
    """Sends the load reports of this entry, and applies those of others.

    Args:
        address: ``IP:port`` of this entry.
        relay: `pimentowick.gateway.policy.report_relay.ReportRelay` of this entry.
        table: `pimentowick.gateway.target.TargetTable`.
        admission: `pimentowick.gateway.admission.Admission`.
        outliers: `pimentowick.gateway.policy.outlier_detection.OutlierDetection`.
        quotas: `pimentowick.gateway.policy.quota.Quota`.
        on_peer_change: Function called when the load of another entry has changed.

    Attributes:
        peers: The `Peer` objects by address.
        pending: Weight of the batch items queued here, by service; set by the runner.
        get_renewal_age: Function that returns the seconds since the store last renewed
            this entry's lease, or None.
        get_held_partitions: Function that returns the numbers of the job partitions
            that this entry holds.
        get_limit: Function from the name of a workspace to its `quota.Limit`, or None.
        build_crash_report: Function that returns this entry's `quarantine.Report`.
        merge_crash_report: Function called with that of another entry.
        handle_origins: Function called with each datagram about origins of streams.
        on_peer_renewal: Function called with the monotonic time of another entry's
            latest lease renewal, for each report of it.
        performance: `pimentowick.gateway.performance.PerformanceMonitor`.
        slow_targets: `pimentowick.gateway.slow_target_monitor.SlowTargetMonitor`.
        peers_pending: Weight of the batch items queued at other entries, by service.
    """

    def __init__(
        self, address, relay, table, admission, outliers, quotas, on_peer_change
    ):
        self.address = address
        self.peers = {}
        self._relay = relay
        self._relay_requested = asyncio.Event()
        self._table = table
        self._admission = admission
        self._outliers = outliers
        self._quotas = quotas
        self._are_members_listed = False
        self._on_peer_change = on_peer_change
        self._transport = None
        self._started_at = float("-inf")
        self._report_requested = asyncio.Event()
        self._sequence_number = time.time_ns()
        self._send_tokens = MAX_SEND_TOKENS
        self._tokens_updated_at = time.monotonic()
        self._peer_loads = {}
        self.pending = {}
        self.get_renewal_age = lambda: None
        self.get_held_partitions = lambda: ()
        self.get_limit = lambda name: None
        self.build_crash_report = quarantine.Report
        self.merge_crash_report = lambda report: None
        self.handle_origins = lambda message: None
        self.on_peer_renewal = lambda at: None
        self.performance = performance.PerformanceMonitor(table)
        self.slow_targets = slow_target_monitor.SlowTargetMonitor(
            table, self.performance, outliers.failure_domain
        )
        self.peers_pending = collections.Counter()

    async def start(self):
        """Open the UDP socket."""
        ip, _, port = self.address.rpartition(":")
        self._started_at = time.monotonic()
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, int(port))
        )

    async def close(self):
        """Report that this entry runs nothing, and close the socket."""
        if self._transport is not None:
            self._send({"loads": {}, "waiting": {}, "pending": {}})
            self._transport.close()
            self._transport = None

    def add_member(self, address, failure_domain, link_mbps):
        """Add another entry that is listed in the store.

        Raises:
            ValueError: The address is malformed.
        """
        self.add(address)
        self._relay.add(address, failure_domain, link_mbps)

    def on_members_listed(self):
        """Record that all entries listed in the store have been added."""
        self._are_members_listed = True

    def add(self, address):
        """Add another entry by its address; known ones are ignored.

        Raises:
            ValueError: The address is malformed.
        """
        if address == self.address or address in self.peers:
            return
        endpoint.split(address)
        self.peers[address] = Peer(address, last_heard_at=time.monotonic())

    def remove(self, address):
        """Remove an entry with its load."""
        self._relay.remove(address)
        peer = self.peers.pop(address, None)
        if peer is not None:
            self._update_load(peer, {}, {}, {})
            self._outliers.update_peer(address, "", {})
            self._admission.overload.remove_peer(address)
            self._admission.sharing.remove_peer(address)
            self.slow_targets.merge_report(address, {})
            self._quotas.remove_peer(address)

    def schedule_report(self):
        """Send a report soon, because the load of this entry has changed."""
        self._report_requested.set()

    def get_peer_batch_counts(self, target_id):
        """Return the number of batch items of each other entry at a target."""
        counts = {}
        for peer in self.peers.values():
            items = peer.loads.get(target_id, (0, 0))[1]
            if items:
                counts[peer.address] = items
        return counts

    @property
    def report_delay_s(self):
        """Seconds from a change until it is reported."""
        return FLUSH_DELAY_S + max(0.0, 1.0 - self._get_send_tokens()) / self._rate

    @property
    def propagation_delay_s(self):
        """Seconds until the other entries know of a change made now."""
        relay_delay_s = 2 * report_relay.BUNDLE_INTERVAL_S if self._is_relayed else 0.0
        return self.report_delay_s + relay_delay_s + DELIVERY_S

    @property
    def _is_relayed(self):
        return len(self.peers) >= RELAY_MIN_PEERS

    @property
    def _rate(self):
        """Number of reports that this entry may send per second."""
        return MAX_RECEIVED_PER_S / max(1, min(len(self.peers), RELAY_MIN_PEERS))

    def _get_send_tokens(self):
        """Return the tokens available for reports, in reports to each peer."""
        gained = (time.monotonic() - self._tokens_updated_at) * self._rate
        return min(MAX_SEND_TOKENS, self._send_tokens + gained)

    def get_latest_peer_renewal(self):
        """Return the monotonic time of the latest lease renewal of a live peer.

        It is infinite if all known peers are silent, since they may have renewed since,
        and minus infinity without known peers or reported renewals.
        """
        alive_since = time.monotonic() - PEER_HEARTBEAT_TIMEOUT_S
        live = [
            peer for peer in self.peers.values() if peer.last_heard_at > alive_since
        ]
        if not live:
            return math.inf if self.peers else -math.inf
        renewals = [peer.renewed_at for peer in live if peer.renewed_at is not None]
        return max(renewals, default=-math.inf)

    def list_live_peers(self):
        """Return the addresses of the peers whose heartbeat timeout has not expired."""
        since = time.monotonic() - PEER_HEARTBEAT_TIMEOUT_S
        return [
            peer.address for peer in self.peers.values() if peer.last_heard_at > since
        ]

    @property
    def has_heard_peers(self):
        """Whether this entry has listened for long enough to hear all live entries."""
        return time.monotonic() - self._started_at >= DISCOVERY_S

    def list_peer_partitions(self):
        """Return the numbers of the job partitions that live peers report as held."""
        since = time.monotonic() - PEER_HEARTBEAT_TIMEOUT_S
        held = [
            peer.partitions
            for peer in self.peers.values()
            if peer.last_heard_at > since
        ]
        return frozenset().union(*held)

    async def run(self):
        """Send reports until cancelled."""
        while True:
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await self._report_requested.wait()
            except TimeoutError:
                pass
            await asyncio.sleep(self.report_delay_s)
            self._send_tokens = self._get_send_tokens() - 1.0
            self._tokens_updated_at = time.monotonic()
            self._report_requested.clear()
            self._remove_silent()
            self._update_quota_members()
            self._send(self._build_report())

    def _update_quota_members(self):
        """Update the number of entries that share the rate limits."""
        reachable = 1 + len(self.list_live_peers())
        if not (self._are_members_listed and self.has_heard_peers):
            reachable = 0
        self._quotas.update_member_counts(1 + len(self.peers), reachable)

    def _build_report(self):
        targets = self._table.by_id.values()
        loads = {t.id: (t.online, t.batch) for t in targets if t.online or t.batch}
        services = self._admission.list_services()
        counts = {name: self._admission.count_waiting(name) for name in services}
        waiting = {name: count for name, count in counts.items() if count}
        age_s = self.get_renewal_age()
        failing = self._outliers.build_report()
        crashes = self.build_crash_report()
        return {
            "loads": loads,
            "waiting": waiting,
            "pending": self.pending,
            "renewed_s_ago": None if age_s is None else round(age_s, AGE_DIGITS),
            "parts": sorted(self.get_held_partitions()),
            "failure_domain": self._outliers.failure_domain if failing else "",
            "failing": failing,
            "taken": self._quotas.build_report(time.monotonic()),
            "crashes": crashes.crashes,
            "voided": crashes.voided,
            "speeds": self.performance.build_report(time.monotonic()),
            "overload": self._admission.build_overload_report(),
            "shares": self._admission.sharing.build_report(time.monotonic()),
            "overdue": self.slow_targets.build_report(time.monotonic()),
        }

    def _send(self, data):
        self._sequence_number += 1
        # Empty fields are omitted, since traffic between failure domains is charged.
        fields = {name: value for name, value in data.items() if value or value == 0}
        report = {"from": self.address, "number": self._sequence_number, **fields}
        if not self._is_relayed:
            self._send_to(self.peers, report)
            return
        self._send_bundles(self._relay.bundle_own_report(report, time.monotonic()))
        self._send_to(self._list_preempted_peers(), report)

    def _list_preempted_peers(self):
        """Return the entries that have to preempt items for requests of this entry.

        They get the report directly. Through relays they would get it a tenth of a
        second later, and the requests would queue at the target until then.
        """
        overloaded = [
            target.id
            for target in self._table.by_id.values()
            if target.online and target.total_online + target.total_batch > target.slots
        ]
        return [
            peer.address
            for peer in self.peers.values()
            if any(peer.loads.get(target_id, (0, 0))[1] for target_id in overloaded)
        ]

    def _send_bundles(self, bundles):
        for bundle in bundles:
            data = {"sender": self.address, "reports": bundle.reports}
            if bundle.must_forward:
                data["asks"] = True
            if bundle.relays:
                data["relays"] = bundle.relays
            self._send_to(bundle.receivers, data)

    def send_to(self, addresses, data):
        """Send data as a datagram with the address of this entry.

        Args:
            addresses: ``IP:port`` of the receivers.
            data: A dictionary that can be encoded as JSON.
        """
        self._send_to(addresses, {"from": self.address, **data})

    def _send_to(self, addresses, data):
        packet = orjson.dumps(data)
        if len(packet) > MAX_DATAGRAM_BYTES or self._transport is None:
            decision_log.log_event("neighbour.not_told", bytes=len(packet))
            return
        for address in addresses:
            self._transport.sendto(packet, endpoint.split(address))

    async def run_relay(self):
        """Forward reports while this entry is a relay, until cancelled."""
        while True:
            now = time.monotonic()
            if self._is_relayed and self._relay.is_relaying(now):
                self._send_bundles(self._relay.bundle_pending_reports(now))
                await asyncio.sleep(report_relay.BUNDLE_INTERVAL_S)
                continue
            if self._is_relayed and self._relay.has_relay_changed(now):
                relay = self._relay.get_relay(now)
                decision_log.log_event("neighbour.relay", neighbour=relay)
                self.schedule_report()
            self._relay_requested.clear()
            try:
                async with asyncio.timeout(report_relay.HEARTBEAT_INTERVAL_S):
                    await self._relay_requested.wait()
            except TimeoutError:
                pass

    def datagram_received(self, data, addr):
        """Apply a received datagram; see `asyncio.DatagramProtocol`."""
        try:
            message = orjson.loads(data)
            endpoint.split(message["from"] if "from" in message else message["sender"])
            reports = message.get("reports")
            if ORIGIN_FIELDS & message.keys():
                self.handle_origins(message)
                return
            if reports is None:
                changed = self._apply_report(message)
            else:
                changed = self._apply_bundle(message, reports)
        except (
            ValueError,
            OverflowError,
            TypeError,
            LookupError,
            AttributeError,
        ) as error:
            decision_log.log_event("neighbour.garbled", sender=addr[0], why=str(error))
            return
        if changed:
            self._on_peer_change()

    def _apply_bundle(self, bundle, reports):
        now = time.monotonic()
        if "asks" in bundle:
            self._relay.on_forward_request(bundle["sender"], reports, now)
            self._relay_requested.set()
        else:
            self._relay.on_bundle(bundle["sender"], bundle.get("relays", ()), now)
        changed = [
            self._apply_report(report)
            for report in reports
            if report["from"] != self.address
        ]
        return any(changed)

    def _apply_report(self, report):
        """Apply a report; return whether its load differs from the last one.

        Raises:
            ValueError, TypeError, KeyError, AttributeError: The report is malformed.
        """
        address = report["from"]
        sequence_number = report["number"]
        self.add(address)
        peer = self.peers.get(address)
        if peer is None or sequence_number <= peer.sequence_number:
            return False
        loads = {
            key: (int(online), int(batch))
            for key, (online, batch) in report.get("loads", {}).items()
        }
        waiting = {key: int(count) for key, count in report.get("waiting", {}).items()}
        pending = {
            key: float(count) for key, count in report.get("pending", {}).items()
        }
        failing = {
            key: (float(failures), float(successes))
            for key, (failures, successes) in report.get("failing", {}).items()
        }
        partitions = frozenset(map(int, report.get("parts", ())))
        taken = {
            key: (int(period), int(admitted), int(admitted_before))
            for key, (period, admitted, admitted_before) in report.get(
                "taken", {}
            ).items()
        }
        crashes = quarantine.Report(
            _decode_targets(report, "crashes"), _decode_targets(report, "voided")
        )
        age_s = report.get("renewed_s_ago")
        now = time.monotonic()
        peer.renewed_at = None if age_s is None else now - float(age_s)
        if peer.renewed_at is not None:
            self.on_peer_renewal(peer.renewed_at)
        changed = loads != peer.loads or waiting != peer.waiting
        peer.sequence_number = sequence_number
        peer.last_heard_at = now
        peer.partitions = partitions
        self._update_load(peer, loads, waiting, pending)
        domain = str(report.get("failure_domain", ""))
        self._outliers.update_peer(address, domain, failing)
        self._quotas.merge_report(address, taken, self.get_limit, now)
        self.merge_crash_report(crashes)
        self.performance.merge_report(address, report.get("speeds", {}), now)
        self._admission.overload.merge_report(address, report.get("overload", {}), now)
        self._admission.sharing.merge_report(address, report.get("shares", {}), now)
        self.slow_targets.merge_report(address, report.get("overdue", {}))
        return changed

    def error_received(self, exc):
        """Ignore send errors; a stopped peer is detected by its missing heartbeats."""

    def _remove_silent(self):
        now = time.monotonic()
        is_changed = False
        for peer in list(self.peers.values()):
            if now - peer.last_heard_at > PEER_HEARTBEAT_TIMEOUT_S and peer.has_load:
                decision_log.log_event("neighbour.silent", neighbour=peer.address)
                self._update_load(peer, {}, {}, {})
                is_changed = True
            if now - peer.last_heard_at > PEER_HEARTBEAT_TIMEOUT_S:
                self._outliers.update_peer(peer.address, "", {})
                # A restart after its clock was set back begins with a lower number.
                peer.sequence_number = 0
                self.performance.remove_peer(peer.address)
                self._admission.overload.remove_peer(peer.address)
                self._admission.sharing.remove_peer(peer.address)
                self.slow_targets.merge_report(peer.address, {})
            if now - peer.last_heard_at > PEER_EXPIRY_S:
                self.peers.pop(peer.address)
                self._relay.remove(peer.address)
        if is_changed:
            self._on_peer_change()

    def _update_load(self, peer, loads, waiting, pending):
        """Replace the load of a peer.

        The sums over all peers are updated incrementally: with 40 entries, each of them
        receives about 300 datagrams per second.
        """
        if loads != peer.loads:
            for target_id, (online, batch) in peer.loads.items():
                self._add_peer_load(target_id, -online, -batch)
            for target_id, (online, batch) in loads.items():
                self._add_peer_load(target_id, online, batch)
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

    def _add_peer_load(self, target_id, online, batch):
        known = self._peer_loads.get(target_id, (0, 0))
        load = (known[0] + online, known[1] + batch)
        if any(load):
            self._peer_loads[target_id] = load
        else:
            self._peer_loads.pop(target_id, None)

    def update_target_load(self, target_id):
        """Set the load of other entries at a target, if it is listed."""
        target = self._table.by_id.get(target_id)
        if target is not None:
            load = self._peer_loads.get(target_id, (0, 0))
            target.peers_online, target.peers_batch = load


def _decode_targets(report, name):
    """Return lists of targets by fingerprint.

    Raises:
        TypeError, AttributeError: The field is malformed.
    """
    rows = report.get(name, {})
    return {key: [str(target) for target in targets] for key, targets in rows.items()}
