"""How news of each entry reaches all others: through one entry of each failure domain.

Notes:
    Load pattern: a hundred entries and more, each of which starts or ends something
    some times a second, and has to know of all others within a tenth of a second what
    they run. Told by each to each, that is the square of their number in datagrams a
    second, most of them between failure domains; told as seldom as an entry can bear,
    it is 0.2 s old with ninety.

    Here an entry tells its report to the relay of its failure domain. The relay sends
    what came in a short time as one bundle to the entries of its domain and to the
    relays of the other domains, which pass it on to theirs. Reports pass through
    unchanged and carry the number that their sender gave them: it does no harm if one
    comes twice or late, nor if two entries act as relays of a domain for a while.

    Whoever is told to relay, does. The relay of a domain is the first by what its link
    carries that is not silent; a relay sends at least ten bundles a second, so that its
    silence shows soon, and every entry of its domain goes to the next one by itself.
    One that was silent is used again once it is heard: it begins to relay by itself.
    Relays tell their domain which others they hear, for whoever has to go on.

References:
    A. Demers et al., "Epidemic algorithms for replicated database maintenance", 1987.
"""

import dataclasses

from pimentowick import rendezvous

__all__ = ["BUNDLE_S", "HEARTBEAT_S", "Bundle", "NewsRelay"]

# A relay sends what it got in this time as one bundle.
BUNDLE_S = 0.04
# It sends one at least this often, with nothing in it if there is nothing.
HEARTBEAT_S = 0.1
# A relay that is not heard for so long is passed over; some heartbeats may be lost.
SILENT_S = 0.35
# Reports that are older than this are not told again.
NEWEST_S = 1.0
# An entry that is asked to relay goes on for so long after it was asked last.
ACT_S = 1.0


@dataclasses.dataclass(eq=False, slots=True)
class _Member:
    """Another entry, or this one.

    Attributes:
        address: Its address.
        failure_domain: Its failure domain.
        link_mbps: What its link carries.
        spoke_at: Time at which its newest bundle came.
        relied_since: Time since which this entry counts on its bundles, or None.
        doubted_at: Time at which it was found silent, or None.
    """

    address: str
    failure_domain: str
    link_mbps: float
    spoke_at: float = float("-inf")
    relied_since: float | None = None
    doubted_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Bundle:
    """Reports for some entries.

    Attributes:
        receivers: Addresses.
        reports: The reports.
        asks: Whether the receivers are asked to pass them on.
        relays: Relays of other domains that were heard just now.
    """

    receivers: list
    reports: list
    asks: bool
    relays: tuple = ()


class NewsRelay:
    """What one entry sends, and to whom; all times are monotonic, in seconds.

    Args:
        address: Address of this entry.
        failure_domain: Its failure domain.
        link_mbps: What its link carries.

    Examples:
        >>> found = NewsRelay("a:1", "west", 100.0)
        >>> found.add("b:1", "west", 1000.0)
        >>> found.tell({"from": "a:1"}, now=0.0)
        [Bundle(receivers=['b:1'], reports=[{'from': 'a:1'}], asks=True, relays=())]
        >>> found.tell({"from": "a:1"}, now=SILENT_S + 0.1)
        []
        >>> [bundle.reports for bundle in found.collect(now=SILENT_S + 0.1)]
        [[{'from': 'a:1'}]]
    """

    def __init__(self, address, failure_domain, link_mbps):
        self._own = _Member(address, failure_domain, link_mbps)
        self._members = {address: self._own}
        self._domains = {failure_domain: [self._own]}
        self._for_domain = {}
        self._for_others = {}
        self._acts_until = float("-inf")
        self._sent_at = float("-inf")
        self._told = None
        self._newest = {}
        self._told_outside = set()

    def add(self, address, failure_domain, link_mbps):
        """Take another entry, or what is new of one."""
        known = self._members.get(address)
        if known is not None:
            if (known.failure_domain, known.link_mbps) == (failure_domain, link_mbps):
                return
            if known is self._own:
                return
            self.remove(address)
        found = _Member(address, failure_domain, link_mbps)
        self._members[address] = found
        group = self._domains.setdefault(failure_domain, [])
        group.append(found)
        group.sort(key=lambda entry: (-entry.link_mbps, _weigh(entry)))

    def remove(self, address):
        """Forget an entry."""
        found = self._members.get(address)
        if found is None or found is self._own:
            return
        del self._members[address]
        self._domains[found.failure_domain].remove(found)

    def tell(self, report, now):
        """Return the `Bundle` objects that carry this entry's own report."""
        chosen = self._choose(self._own.failure_domain, now)
        self._told = chosen
        if chosen is not self._own:
            return [Bundle([chosen.address], [report], True)]
        self._take(report)
        return []

    def note_asked(self, sender, reports, now):
        """Take reports of this domain, or of others by their relays, to pass on."""
        self._acts_until = now + ACT_S
        if sender not in self._members:
            # Told before the store said of it: only those of this domain are new here.
            self.add(sender, self._own.failure_domain, 0.0)
        member = self._members[sender]
        is_foreign = member.failure_domain != self._own.failure_domain
        if is_foreign:
            self._note_spoke(member, now)
        for report in reports:
            if is_foreign:
                self._for_domain[report["from"]] = report
            else:
                self._take(report)

    def note_told(self, sender, relays, now):
        """Note that a bundle came that is not to be passed on, and whom it names."""
        for address in (sender, *relays):
            member = self._members.get(address)
            if member is not None:
                self._note_spoke(member, now)

    def get_relay(self, now):
        """Return the address of the relay of this entry's domain."""
        return self._choose(self._own.failure_domain, now).address

    def has_moved(self, now):
        """Return whether another one relays than was told last, which knows nothing."""
        chosen = self._choose(self._own.failure_domain, now)
        return chosen is not self._told

    def is_acting(self, now):
        """Return whether this entry relays now."""
        chosen = self._choose(self._own.failure_domain, now)
        return chosen is self._own or now < self._acts_until

    def collect(self, now):
        """Return the `Bundle` objects that are due; to be called every `BUNDLE_S`."""
        if not self.is_acting(now):
            self._for_domain.clear()
            self._for_others.clear()
            return []
        is_new = self._for_domain or self._for_others
        if not is_new and now - self._sent_at < HEARTBEAT_S:
            return []
        self._sent_at = now
        self._newest |= {name: (now, row) for name, row in self._for_others.items()}
        near = self._domains[self._own.failure_domain]
        inside = [entry.address for entry in near if entry is not self._own]
        outside = self._list_foreign_relays(now)
        self._tell_new_relays(outside, now)
        heard = tuple(
            address
            for address in outside
            if now - self._members[address].spoke_at <= SILENT_S
        )
        found = [
            Bundle(inside, list(self._for_domain.values()), False, heard),
            Bundle(outside, list(self._for_others.values()), True),
        ]
        self._for_domain = {}
        self._for_others = {}
        return [bundle for bundle in found if bundle.receivers]

    def _tell_new_relays(self, outside, now):
        """Tell all of this domain again if another domain has a new relay.

        What was told to the one before it since that fell silent is lost.
        """
        self._newest = {
            name: (at, row)
            for name, (at, row) in self._newest.items()
            if now - at <= NEWEST_S
        }
        if not self._told_outside.issuperset(outside):
            self._for_others = {name: row for name, (_, row) in self._newest.items()}
        self._told_outside = set(outside)

    def _take(self, report):
        self._for_domain[report["from"]] = report
        self._for_others[report["from"]] = report

    def _note_spoke(self, member, now):
        member.spoke_at = now
        member.doubted_at = None

    def _list_foreign_relays(self, now):
        """Return the relays of the other domains.

        One that only acts for a while is not told anything by them, which says nothing
        of them.
        """
        own = self._own.failure_domain
        is_first = self._choose(own, now) is self._own
        chosen = [
            self._choose(domain, now) if is_first else _guess(group)
            for domain, group in self._domains.items()
            if domain != own and group
        ]
        return [entry.address for entry in chosen]

    def _choose(self, failure_domain, now):
        """Return the relay of a failure domain that has entries."""
        group = self._domains[failure_domain]
        if failure_domain != self._own.failure_domain:
            for entry in group:
                if now - entry.spoke_at <= SILENT_S:
                    return entry
        for entry in group:
            if entry is self._own:
                return entry
            if entry.doubted_at is not None:
                continue
            if entry.relied_since is None:
                entry.relied_since = now
            heard_at = max(entry.spoke_at, entry.relied_since)
            if now - heard_at <= SILENT_S:
                return entry
            entry.relied_since = None
            entry.doubted_at = now
        # All are silent: they are tried in turn.
        found = min(group, key=lambda entry: entry.doubted_at)
        found.doubted_at = None
        found.relied_since = now
        return found


def _guess(group):
    """Return who spoke last for a domain, the first in order if nobody did."""
    return max(group, key=lambda entry: entry.spoke_at)


def _weigh(entry):
    return rendezvous.compute_weight(entry.failure_domain, entry.address)
