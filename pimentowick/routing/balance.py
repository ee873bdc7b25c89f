"""Load balancing by load and failure domain.

Notes:
    The less loaded of randomly drawn candidates is chosen. Load reports lag, so always
    choosing the least loaded target would send the requests of all entries to it at
    once.

References:
    M. Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
    Transactions on Parallel and Distributed Systems 12(10), 2001.
"""

import abc
import time

from pimentowick.routing import retry

__all__ = ["Balancer", "TwoChoiceBalancer", "is_healthy"]

MAX_CANDIDATES = 2
REMOTE_PENALTY = 0.1
MAX_PROBE_FRACTION = 0.05
"""Maximum fraction of choices that probe targets whose last request failed."""


class Balancer(abc.ABC):
    """Strategy that chooses one of the targets of a service."""

    @abc.abstractmethod
    def choose(self, pool, prefix=(), excluded=frozenset(), now=None):
        """Return a `pimentowick.membership.peer.Peer`, or None if none is usable.

        Args:
            pool: `pimentowick.membership.pool.Pool` of the service.
            prefix: Hashes of the prompt's prefixes, the shortest first.
            excluded: Names of peers to choose only if there are no others.
            now: Current monotonic time in seconds; None reads the clock.
        """


class TwoChoiceBalancer(Balancer):
    """Chooses the least loaded of two local candidates and two from any domain.

    Local candidates are in the same failure domain as this entry. A remote candidate is
    chosen only if its load is lower by more than a penalty.

    Args:
        failure_domain: Failure domain of this entry.
        is_usable: Function of a peer and a monotonic time that returns whether the
            peer may receive requests.
        remote_penalty: Load added to candidates of other failure domains, as a fraction
            of a target's slots.
    """

    def __init__(self, failure_domain, is_usable, remote_penalty=REMOTE_PENALTY):
        self._failure_domain = failure_domain
        self._is_usable = is_usable
        self._remote_penalty = remote_penalty
        self._probes = retry.RetryBudget(MAX_PROBE_FRACTION, initial_tokens=1.0)

    def choose(self, pool, prefix=(), excluded=frozenset(), now=None):
        """Return one of the members; see `Balancer.choose`."""
        now = time.monotonic() if now is None else now
        local_peers = pool.draw(self._failure_domain)
        sampled_peers = pool.draw()
        candidates = self._select_healthy(local_peers, pool, excluded, now)
        candidates += self._select_healthy(sampled_peers, pool, excluded, now)
        if not candidates:
            candidates = self._select_usable(
                local_peers + sampled_peers, pool, excluded, now
            )
        chosen = min(candidates, key=self.get_cost, default=None)
        self.record_choice(chosen)
        return chosen

    def get_cost(self, peer):
        """Return the load of `peer`, with a penalty for another failure domain."""
        cost = peer.estimate_load()
        if peer.host.failure_domain != self._failure_domain:
            cost += self._remote_penalty
        return cost

    def is_eligible(self, peer, pool, excluded, now):
        """Return whether `peer` is healthy, usable and not excluded.

        Args:
            peer: The `pimentowick.membership.peer.Peer`.
            pool: `pimentowick.membership.pool.Pool` that it is a member of.
            excluded: Names of excluded peers.
            now: Current monotonic time in seconds.
        """
        if peer.name in excluded or not is_healthy(peer, now):
            return False
        # A target that fails requests immediately appears idle and would attract most
        # of the traffic. Probes are therefore limited, unless so many targets fail
        # that the remaining ones would be overloaded.
        if (
            peer.failures
            and not self._probes.has_token()
            and not pool.is_at_ejection_limit
        ):
            return False
        return self._is_usable(peer, now)

    def record_choice(self, peer):
        """Update the probe budget with the chosen peer, or None."""
        self._probes.record_request()
        if peer is not None and peer.failures:
            self._probes.take()

    def _select_healthy(self, drawn, pool, excluded, now):
        candidates = []
        for peer in drawn:
            if self.is_eligible(peer, pool, excluded, now):
                candidates.append(peer)
                if len(candidates) == MAX_CANDIDATES:
                    break
        return candidates

    def _select_usable(self, drawn, pool, excluded, now):
        """Return usable peers, including failing, excluded or undrawn ones."""
        usable = [peer for peer in drawn if self._is_usable(peer, now)]
        if not usable:
            usable = [peer for peer in pool.members if self._is_usable(peer, now)]
        return [peer for peer in usable if peer.name not in excluded] or usable


def is_healthy(peer, now):
    """Return whether `peer` is not ejected and may receive another request.

    After its ejection a peer receives one request at a time until one succeeds, so
    that a peer that still fails affects a single request.
    """
    if peer.ejected_until > now:
        return False
    return not peer.failures or not peer.online
