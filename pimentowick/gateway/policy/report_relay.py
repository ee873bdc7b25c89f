"""Dissemination of load reports through one relaying entry per failure domain.

Notes:
    Load pattern: a hundred entries or more, each of which starts or ends work several
    times a second and must know within a tenth of a second what the others run. If each
    sent its reports to all others, the number of datagrams would grow with the square
    of the number of entries, and most of them would cross failure domains. At the rate
    that an entry can receive, reports would be 0.2 s old with ninety entries.

    Each entry sends its report to the relay of its failure domain. The relay collects
    reports for a short time and sends them as one bundle to the entries of its domain
    and to the relays of the other domains, which forward it to their own entries.
    Reports are forwarded unchanged and carry the sequence number of their sender, so
    duplicated and reordered reports do no harm, nor do two relays in one domain.

    An entry relays whenever it is asked to. The relay of a domain is the responsive
    entry with the highest link capacity. Relays send at least ten bundles a second, so
    that a failure is detected soon, and every entry of the domain then switches to the
    next one on its own. A failed relay is used again once it is heard from: it resumes
    relaying by itself. Bundles within a domain list the relays of other domains that
    are heard from, for an entry that has to take over.

References:
    A. Demers et al., "Epidemic algorithms for replicated database maintenance", 1987.
"""

import dataclasses

from pimentowick import rendezvous

__all__ = ["BUNDLE_INTERVAL_S", "HEARTBEAT_INTERVAL_S", "Bundle", "ReportRelay"]

# A relay collects reports for this long before it sends a bundle.
BUNDLE_INTERVAL_S = 0.04
# A relay sends a bundle, if need be an empty one, at least this often.
HEARTBEAT_INTERVAL_S = 0.1
# A relay that is silent for longer is skipped; allows for lost heartbeats.
RELAY_TIMEOUT_S = 0.35
# Older reports are not repeated to a new relay.
REPORT_RETENTION_S = 1.0
# An entry keeps relaying for this long after it was last asked to.
RELAY_DURATION_S = 1.0


@dataclasses.dataclass(eq=False, slots=True)
class _Member:
    """An entry, this one included.

    Attributes:
        address: Its ``IP:port``.
        failure_domain: Its failure domain.
        link_mbps: Capacity of its network link, in Mbit/s.
        last_bundle_at: Time of its latest bundle.
        awaited_since: Time since which this entry expects its bundles, or None.
        timed_out_at: Time at which it was found silent, or None.
    """

    address: str
    failure_domain: str
    link_mbps: float
    last_bundle_at: float = float("-inf")
    awaited_since: float | None = None
    timed_out_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Bundle:
    """Reports to send to some entries in one datagram each.

    Attributes:
        receivers: Addresses of the receiving entries.
        reports: The reports.
        must_forward: Whether the receivers are asked to forward the reports.
        relays: Addresses of the relays of other domains that are heard from.
    """

    receivers: list
    reports: list
    must_forward: bool
    relays: tuple = ()


class ReportRelay:
    """Membership of all failure domains, and the reports that this entry forwards.

    All times are monotonic, in seconds.

    Args:
        address: ``IP:port`` of this entry.
        failure_domain: Its failure domain.
        link_mbps: Capacity of its network link, in Mbit/s.

    Examples:
        >>> relay = ReportRelay("a:1", "west", 100.0)
        >>> relay.add("b:1", "west", 1000.0)
        >>> (bundle,) = relay.bundle_own_report({"from": "a:1"}, now=0.0)
        >>> bundle.receivers, bundle.reports, bundle.must_forward, bundle.relays
        (['b:1'], [{'from': 'a:1'}], True, ())
        >>> relay.bundle_own_report({"from": "a:1"}, now=RELAY_TIMEOUT_S + 0.1)
        []
        >>> bundles = relay.bundle_pending_reports(now=RELAY_TIMEOUT_S + 0.1)
        >>> [bundle.reports for bundle in bundles]
        [[{'from': 'a:1'}]]
    """

    def __init__(self, address, failure_domain, link_mbps):
        self._own = _Member(address, failure_domain, link_mbps)
        self._members = {address: self._own}
        self._domains = {failure_domain: [self._own]}
        self._pending_inside = {}
        self._pending_outside = {}
        self._relaying_until = float("-inf")
        self._sent_at = float("-inf")
        self._last_relay = None
        self._recent_reports = {}
        self._last_outside = set()

    def add(self, address, failure_domain, link_mbps):
        """Add an entry, or update its failure domain and link capacity."""
        known = self._members.get(address)
        if known is not None:
            if (known.failure_domain, known.link_mbps) == (failure_domain, link_mbps):
                return
            if known is self._own:
                return
            self.remove(address)
        member = _Member(address, failure_domain, link_mbps)
        self._members[address] = member
        group = self._domains.setdefault(failure_domain, [])
        group.append(member)
        group.sort(key=lambda entry: (-entry.link_mbps, _weigh(entry)))

    def remove(self, address):
        """Remove an entry."""
        member = self._members.get(address)
        if member is None or member is self._own:
            return
        del self._members[address]
        self._domains[member.failure_domain].remove(member)

    def bundle_own_report(self, report, now):
        """Return the `Bundle` objects that carry this entry's own report.

        If this entry is the relay, the report is queued for the next bundle instead.
        """
        relay = self._choose_relay(self._own.failure_domain, now)
        self._last_relay = relay
        if relay is not self._own:
            return [Bundle([relay.address], [report], True)]
        self._queue(report)
        return []

    def on_forward_request(self, sender, reports, now):
        """Queue reports of this domain, or of another by its relay, for forwarding."""
        self._relaying_until = now + RELAY_DURATION_S
        if sender not in self._members:
            # Not yet read from the store: only entries of this domain send directly.
            self.add(sender, self._own.failure_domain, 0.0)
        member = self._members[sender]
        is_foreign = member.failure_domain != self._own.failure_domain
        if is_foreign:
            self._record_bundle(member, now)
        for report in reports:
            if is_foreign:
                self._pending_inside[report["from"]] = report
            else:
                self._queue(report)

    def on_bundle(self, sender, relays, now):
        """Record a bundle that is not to be forwarded, and the relays it lists."""
        for address in (sender, *relays):
            member = self._members.get(address)
            if member is not None:
                self._record_bundle(member, now)

    def get_relay(self, now):
        """Return the address of the relay of this entry's domain."""
        return self._choose_relay(self._own.failure_domain, now).address

    def has_relay_changed(self, now):
        """Return whether the relay is another one than got this entry's last report."""
        relay = self._choose_relay(self._own.failure_domain, now)
        return relay is not self._last_relay

    def is_relaying(self, now):
        """Return whether this entry is relaying."""
        relay = self._choose_relay(self._own.failure_domain, now)
        return relay is self._own or now < self._relaying_until

    def bundle_pending_reports(self, now):
        """Return the `Bundle` objects to send; call it every `BUNDLE_INTERVAL_S`."""
        if not self.is_relaying(now):
            self._pending_inside.clear()
            self._pending_outside.clear()
            return []
        has_reports = self._pending_inside or self._pending_outside
        if not has_reports and now - self._sent_at < HEARTBEAT_INTERVAL_S:
            return []
        self._sent_at = now
        self._recent_reports |= {
            name: (now, row) for name, row in self._pending_outside.items()
        }
        near = self._domains[self._own.failure_domain]
        inside = [entry.address for entry in near if entry is not self._own]
        outside = self._list_foreign_relays(now)
        self._repeat_to_new_relays(outside, now)
        heard = tuple(
            address
            for address in outside
            if now - self._members[address].last_bundle_at <= RELAY_TIMEOUT_S
        )
        bundles = [
            Bundle(inside, list(self._pending_inside.values()), False, heard),
            Bundle(outside, list(self._pending_outside.values()), True),
        ]
        self._pending_inside = {}
        self._pending_outside = {}
        return [bundle for bundle in bundles if bundle.receivers]

    def _repeat_to_new_relays(self, outside, now):
        """Queue all recent reports of this domain if another domain has a new relay.

        The reports sent to its predecessor after that failed are lost.
        """
        self._recent_reports = {
            name: (at, row)
            for name, (at, row) in self._recent_reports.items()
            if now - at <= REPORT_RETENTION_S
        }
        if not self._last_outside.issuperset(outside):
            self._pending_outside = {
                name: row for name, (_, row) in self._recent_reports.items()
            }
        self._last_outside = set(outside)

    def _queue(self, report):
        self._pending_inside[report["from"]] = report
        self._pending_outside[report["from"]] = report

    def _record_bundle(self, member, now):
        member.last_bundle_at = now
        member.timed_out_at = None

    def _list_foreign_relays(self, now):
        """Return the addresses of the relays of the other domains.

        An entry that relays only because it was asked to may get no bundles from them,
        so their silence is no evidence of a failure.
        """
        own = self._own.failure_domain
        is_first = self._choose_relay(own, now) is self._own
        relays = [
            self._choose_relay(domain, now) if is_first else _get_last_sender(group)
            for domain, group in self._domains.items()
            if domain != own and group
        ]
        return [entry.address for entry in relays]

    def _choose_relay(self, failure_domain, now):
        """Return the relay of a failure domain that has entries."""
        group = self._domains[failure_domain]
        if failure_domain != self._own.failure_domain:
            for entry in group:
                if now - entry.last_bundle_at <= RELAY_TIMEOUT_S:
                    return entry
        for entry in group:
            if entry is self._own:
                return entry
            if entry.timed_out_at is not None:
                continue
            if entry.awaited_since is None:
                entry.awaited_since = now
            responsive_at = max(entry.last_bundle_at, entry.awaited_since)
            if now - responsive_at <= RELAY_TIMEOUT_S:
                return entry
            entry.awaited_since = None
            entry.timed_out_at = now
        # All have timed out: retry the one that did so first.
        oldest = min(group, key=lambda entry: entry.timed_out_at)
        oldest.timed_out_at = None
        oldest.awaited_since = now
        return oldest


def _get_last_sender(group):
    """Return the entry of the latest bundle; the first in order if there is none."""
    return max(group, key=lambda entry: entry.last_bundle_at)


def _weigh(entry):
    return rendezvous.compute_weight(entry.failure_domain, entry.address)
