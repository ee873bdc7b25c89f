"""Index of the targets of one service for load balancing in constant time.

A pool is updated when a report changes, not for each request. Choosing a target then
samples a few members or visits a few points of a hash ring, independent of the number
of members.
"""

import bisect
import hashlib
import math
import random

__all__ = ["Pool"]

VIRTUAL_NODES = 16
"""Number of points of each member on the ring."""
DRAW_SIZE = 8
"""Maximum number of members returned by `Pool.draw`."""
MAX_EJECTED_FRACTION = 0.5
"""Maximum fraction of the members that may be ejected at the same time."""


class Pool:
    """Ready targets of one service.

    Args:
        rng: `random.Random` for sampling.

    Attributes:
        members: List of `pimentowick.membership.peer.Peer`, unordered.

    Notes:
        Consistent hashing maps a key to the member whose point on the ring follows the
        key's hash. Adding or removing a member remaps only the keys adjacent to its
        points.

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
        self._by_name = {}
        self._positions = {}
        self._by_domain = {}
        self._ring_points = []
        self._ring_peers = []
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
        """Add a member, or update the load of an existing one from its last report."""
        if peer not in self._positions:
            self._by_name[peer.name] = peer
            _append(self.members, self._positions, peer)
            domain = self._by_domain.setdefault(peer.host.failure_domain, ([], {}))
            _append(*domain, peer)
            self._insert_points(peer)
        load = peer.get_reported_load()
        self._load_sum += load - self._loads.get(peer, 0.0)
        self._loads[peer] = load

    def discard(self, peer):
        """Remove a peer if it is a member."""
        if peer not in self._positions:
            return
        del self._by_name[peer.name]
        _remove(self.members, self._positions, peer)
        for name, domain in self._by_domain.items():
            if peer in domain[1]:
                _remove(*domain, peer)
                if not domain[0]:
                    del self._by_domain[name]
                break
        self._remove_points(peer)
        self._load_sum -= self._loads.pop(peer)
        self._ejected.pop(peer, None)

    def find(self, name):
        """Return the member with the host name `name`, or None."""
        return self._by_name.get(name)

    def draw(self, failure_domain=None):
        """Return up to `DRAW_SIZE` random members.

        Args:
            failure_domain: Restricts the sample to a failure domain; None for all.
        """
        members = self.members
        if failure_domain is not None:
            members = self._by_domain.get(failure_domain, ([], {}))[0]
        return self._rng.sample(members, min(DRAW_SIZE, len(members)))

    def find_successors(self, key, count):
        """Return up to `count` distinct members that follow `key` on the ring."""
        successors = []
        if not self._ring_peers:
            return successors
        start = bisect.bisect_left(self._ring_points, _hash_point(key, None))
        for step in range(min(len(self._ring_peers), count * 4)):
            member = self._ring_peers[(start + step) % len(self._ring_peers)]
            if member not in successors:
                successors.append(member)
                if len(successors) == count:
                    break
        return successors

    def can_eject(self, peer, now):
        """Return whether `peer` is ejected already or may be ejected.

        If most members fail, the cause is rarely the members themselves, and the few
        remaining ones would be overloaded.

        Args:
            peer: The `pimentowick.membership.peer.Peer`.
            now: Current monotonic time in seconds.
        """
        self._ejected = {
            each: until for each, until in self._ejected.items() if until > now
        }
        return peer in self._ejected or not self.is_at_ejection_limit

    @property
    def is_at_ejection_limit(self):
        """Whether the maximum number of members is ejected."""
        return len(self._ejected) >= math.floor(
            len(self.members) * MAX_EJECTED_FRACTION
        )

    def record_ejection(self, peer, until):
        """Record that a member is ejected until the monotonic time `until`."""
        if peer in self._positions:
            self._ejected[peer] = until

    def _insert_points(self, peer):
        for number in range(VIRTUAL_NODES):
            point = _hash_point(peer.name, number)
            index = bisect.bisect_left(self._ring_points, point)
            self._ring_points.insert(index, point)
            self._ring_peers.insert(index, peer)

    def _remove_points(self, peer):
        for number in range(VIRTUAL_NODES):
            point = _hash_point(peer.name, number)
            index = bisect.bisect_left(self._ring_points, point)
            while self._ring_peers[index] is not peer:
                index += 1
            del self._ring_points[index]
            del self._ring_peers[index]


def _hash_point(name, number):
    digest = hashlib.blake2b(f"{number}/{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _append(members, positions, peer):
    positions[peer] = len(members)
    members.append(peer)


def _remove(members, positions, peer):
    """Remove in constant time by moving the last member to the freed index."""
    index = positions.pop(peer)
    last = members.pop()
    if last is not peer:
        members[index] = last
        positions[last] = index
