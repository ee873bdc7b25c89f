"""Choosing the target of a request by load and failure domain.

Notes:
    Two candidates are drawn and the emptier one is taken: load reports lag, and
    whoever takes the least loaded one runs there together with everybody else.

References:
    M. Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
    Transactions on Parallel and Distributed Systems 12(10), 2001.
"""

import abc
import time

from pimentowick.routing import retry

__all__ = ["Balancer", "TwoChoiceBalancer", "is_healthy"]

CHOICES = 2
REMOTE_PENALTY = 0.1
PROBE_SHARE = 0.05
"""Most of the choices that may fall on targets whose last request failed."""


class Balancer(abc.ABC):
    """Chooses one of the targets of a service."""

    @abc.abstractmethod
    def choose(self, pool, prefix=(), excluded=frozenset(), now=None):
        """Return a `pimentowick.membership.peer.Peer`, or None if none may work.

        Args:
            pool: `pimentowick.membership.pool.Pool` of the service.
            prefix: Hashes of the prompt's prefixes, the shortest first.
            excluded: Names of peers that are taken only if there are no others.
            now: Monotonic time, if the caller has it at hand.
        """


class TwoChoiceBalancer(Balancer):
    """The emptiest of two near candidates and two from anywhere.

    A far one is taken once the near ones are fuller by more than the way to it
    costs.

    Args:
        failure_domain: Failure domain of the chooser.
        is_usable: Function of a peer and a monotonic time that says whether the
            peer may get work.
        remote_penalty: What the way to another failure domain costs, as a share of
            a target's places.
    """

    def __init__(self, failure_domain, is_usable, remote_penalty=REMOTE_PENALTY):
        self._failure_domain = failure_domain
        self._is_usable = is_usable
        self._remote_penalty = remote_penalty
        self._probes = retry.RetryBudget(PROBE_SHARE, initial_tokens=1.0)

    def choose(self, pool, prefix=(), excluded=frozenset(), now=None):
        """Return one of the members; see `Balancer.choose`."""
        now = time.monotonic() if now is None else now
        near = pool.draw(self._failure_domain)
        anywhere = pool.draw()
        found = self._take_healthy(near, pool, excluded, now)
        found += self._take_healthy(anywhere, pool, excluded, now)
        if not found:
            found = self._take_any(near + anywhere, pool, excluded, now)
        chosen = min(found, key=self.get_cost, default=None)
        self.record_choice(chosen)
        return chosen

    def get_cost(self, peer):
        """Return the load of `peer`, with a penalty for another failure domain."""
        cost = peer.estimate_load()
        if peer.host.failure_domain != self._failure_domain:
            cost += self._remote_penalty
        return cost

    def is_eligible(self, peer, pool, excluded, now):
        """Return whether `peer` is a candidate of the first choice."""
        if peer.name in excluded or not is_healthy(peer, now):
            return False
        # A target that fails at once looks empty and would draw everybody. Its
        # probes are rationed, unless so many fail that the others need relief.
        if (
            peer.failures
            and not self._probes.has_token()
            and not pool.is_at_ejection_limit
        ):
            return False
        return self._is_usable(peer, now)

    def record_choice(self, peer):
        """Count a choice towards the share of probes."""
        self._probes.record_request()
        if peer is not None and peer.failures:
            self._probes.take()

    def _take_healthy(self, drawn, pool, excluded, now):
        found = []
        for peer in drawn:
            if self.is_eligible(peer, pool, excluded, now):
                found.append(peer)
                if len(found) == CHOICES:
                    break
        return found

    def _take_any(self, drawn, pool, excluded, now):
        """Return usable peers although they fail, are excluded or were not drawn."""
        usable = [peer for peer in drawn if self._is_usable(peer, now)]
        if not usable:
            usable = [peer for peer in pool.members if self._is_usable(peer, now)]
        return [peer for peer in usable if peer.name not in excluded] or usable


def is_healthy(peer, now):
    """Return whether nothing speaks against sending `peer` one more request.

    After its ejection a peer gets one request at a time until one ends well: if it
    still fails, the others would fail with that one.
    """
    if peer.ejected_until > now:
        return False
    return not peer.failures or not peer.online
