"""Choosing the target of a request.

Notes:
    Two candidates are drawn and the emptier one is taken: load reports lag, and
    whoever takes the least loaded one runs there together with everybody else.

References:
    M. Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
    Transactions on Parallel and Distributed Systems 12(10), 2001.
"""

import abc
import hashlib
import random

__all__ = ["AffinityBalancer", "Balancer", "TwoChoiceBalancer", "hash_prefix"]

PREFIX_CHARACTERS = 256
REMOTE_PENALTY = 0.25
AFFINITY_LOAD = 0.75


class Balancer(abc.ABC):
    """Chooses one of several candidates."""

    @abc.abstractmethod
    def choose(self, candidates, prefix=None):
        """Return one of the candidates.

        Args:
            candidates: Non-empty list of `pimentowick.membership.fleet.Peer`.
            prefix: Hash of the beginning of the prompt, or None.
        """


class TwoChoiceBalancer(Balancer):
    """The emptier one of two random candidates, near ones before far ones.

    Args:
        failure_domain: Failure domain of the chooser.
        rng: `random.Random`.
    """

    def __init__(self, failure_domain, rng=None):
        self._failure_domain = failure_domain
        self._rng = rng or random.Random()

    def choose(self, candidates, prefix=None):
        """Return one of the candidates; see `Balancer.choose`."""
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._rng.sample(candidates, 2)
        return min(first, second, key=self.get_cost)

    def get_cost(self, peer):
        """Return the load of `peer`, with a penalty for another failure domain."""
        cost = peer.estimate_load()
        if peer.host.failure_domain != self._failure_domain:
            cost += REMOTE_PENALTY
        return cost


class AffinityBalancer(Balancer):
    """The target that had the prefix before, unless it is too full.

    Args:
        fallback: `TwoChoiceBalancer` for all other cases.

    Notes:
        Rendezvous hashing: every entry ranks the targets for a prefix alike without
        a message, and a target that goes moves only its own prefixes.

    References:
        D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase
        hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """

    def __init__(self, fallback):
        self._fallback = fallback

    def choose(self, candidates, prefix=None):
        """Return one of the candidates; see `Balancer.choose`."""
        if prefix is None:
            return self._fallback.choose(candidates)
        home = max(candidates, key=lambda peer: rank(prefix, peer.name))
        if home.estimate_load() < AFFINITY_LOAD:
            return home
        return self._fallback.choose(candidates)


def rank(key, name):
    """Return the rendezvous weight of `name` for `key`."""
    return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()


def hash_prefix(prompt):
    """Return a hash of the beginning of a prompt, or None if it is short.

    Examples:
        >>> hash_prefix("short") is None
        True
    """
    if len(prompt) < PREFIX_CHARACTERS:
        return None
    data = prompt[:PREFIX_CHARACTERS].encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=8).hexdigest()
