"""The targets of one service, kept so that a choice doesn't look at all of them.

A pool changes when a report changes, not when a request comes. A choice then draws
a few members or walks a few steps along a ring, whatever their number.
"""

import bisect
import hashlib
import math
import random

__all__ = ["Pool"]

POINTS = 16
"""Points of each member on the ring."""
DRAWN = 8
"""Members that one draw looks at."""
EJECT_SHARE = 0.5
"""Most of the members that may be ejected at once."""


class Pool:
    """The ready targets of one service.

    Args:
        rng: `random.Random` for draws.

    Attributes:
        members: List of `pimentowick.membership.peer.Peer`, in no order.

    Notes:
        The ring is that of consistent hashing: a key belongs to the member whose
        point follows it, so one that comes or goes moves only the keys next to its
        own points.

    References:
        D. Karger et al., "Consistent hashing and random trees", Proceedings of the
        29th ACM Symposium on Theory of Computing, 1997.

    Examples:
        >>> from pimentowick.membership import peer as membership_peer
        >>> from pimentowick.external import hosts
        >>> pool = Pool()
        >>> for name in ("a", "b", "c"):
        ...     host = hosts.Host(name, "agent", "", "here")
        ...     pool.add(membership_peer.Peer(host))
        >>> home, second = pool.find_successors("key", 2)
        >>> pool.discard(home)
        >>> pool.find_successors("key", 1) == [second]
        True
    """

    def __init__(self, rng=None):
        self.members = []
        self._rng = rng or random.Random()
        self._names = {}
        self._positions = {}
        self._domains = {}
        self._hashes = []
        self._owners = []
        self._loads = {}
        self._load_sum = 0.0
        self._ejected = {}

    def __contains__(self, peer):
        return peer in self._positions

    def __len__(self):
        return len(self.members)

    @property
    def mean_load(self):
        """Mean of the members' reported loads."""
        return self._load_sum / max(1, len(self.members))

    def add(self, peer):
        """Take a member in, or take notice of its newest report."""
        if peer not in self._positions:
            self._names[peer.name] = peer
            _append(self.members, self._positions, peer)
            domain = self._domains.setdefault(peer.host.failure_domain, ([], {}))
            _append(*domain, peer)
            self._insert_points(peer)
        load = peer.get_reported_load()
        self._load_sum += load - self._loads.get(peer, 0.0)
        self._loads[peer] = load

    def discard(self, peer):
        """Let a member go; nothing happens if it is none."""
        if peer not in self._positions:
            return
        del self._names[peer.name]
        _remove(self.members, self._positions, peer)
        for name, domain in self._domains.items():
            if peer in domain[1]:
                _remove(*domain, peer)
                if not domain[0]:
                    del self._domains[name]
                break
        self._remove_points(peer)
        self._load_sum -= self._loads.pop(peer)
        self._ejected.pop(peer, None)

    def find(self, name):
        """Return the member called `name`, or None."""
        return self._names.get(name)

    def draw(self, failure_domain=None):
        """Return a few random members, or all if they are few.

        Args:
            failure_domain: Only members there; None means everywhere.
        """
        members = self.members
        if failure_domain is not None:
            members = self._domains.get(failure_domain, ([], {}))[0]
        return self._rng.sample(members, min(DRAWN, len(members)))

    def find_successors(self, key, count):
        """Return up to `count` members that follow `key` on the ring."""
        found = []
        if not self._owners:
            return found
        start = bisect.bisect_left(self._hashes, _hash_point(key, None))
        for step in range(min(len(self._owners), count * 4)):
            owner = self._owners[(start + step) % len(self._owners)]
            if owner not in found:
                found.append(owner)
                if len(found) == count:
                    break
        return found

    def can_eject(self, peer, now):
        """Return whether `peer` may be ejected as well.

        When most of the members fail, the cause is seldom with them, and the few
        that remained would drown in the work of all.
        """
        self._ejected = {
            each: until for each, until in self._ejected.items() if until > now
        }
        return peer in self._ejected or not self.is_at_ejection_limit

    @property
    def is_at_ejection_limit(self):
        """Whether as many members are ejected as may be."""
        return len(self._ejected) >= math.floor(len(self.members) * EJECT_SHARE)

    def record_ejection(self, peer, until):
        """Take notice that a member gets no work until some monotonic time."""
        if peer in self._positions:
            self._ejected[peer] = until

    def _insert_points(self, peer):
        for number in range(POINTS):
            point = _hash_point(peer.name, number)
            index = bisect.bisect_left(self._hashes, point)
            self._hashes.insert(index, point)
            self._owners.insert(index, peer)

    def _remove_points(self, peer):
        for number in range(POINTS):
            point = _hash_point(peer.name, number)
            index = bisect.bisect_left(self._hashes, point)
            while self._owners[index] is not peer:
                index += 1
            del self._hashes[index]
            del self._owners[index]


def _hash_point(name, number):
    digest = hashlib.blake2b(f"{number}/{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _append(members, positions, peer):
    positions[peer] = len(members)
    members.append(peer)


def _remove(members, positions, peer):
    """Remove in constant time: the last member takes the place."""
    index = positions.pop(peer)
    last = members.pop()
    if last is not peer:
        members[index] = last
        positions[last] = index
