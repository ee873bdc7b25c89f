"""Load balancing with prefix cache affinity and bounded loads.

Notes:
    A target is chosen for its cache only while its load is below a bound, which is a
    multiple of the mean load. A popular prefix thus spreads over as many targets as it
    needs, in a stable order.

References:
    V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent hashing with bounded
    loads", Proceedings of the 29th ACM-SIAM Symposium on Discrete Algorithms, 2018.
"""

import time

from pimentowick.routing import balance
from pimentowick.routing import prefix as routing_prefix

__all__ = ["AffinityBalancer"]

LOAD_BOUND_FACTOR = 1.5
MIN_LOAD_BOUND = 0.25
HOME_CANDIDATES = 4
HOME_PREFIX_INDEX = 5
DEFAULT_CACHE_LIFETIME_S = 300.0


class AffinityBalancer(balance.Balancer):
    """Chooses a target that probably has the longest prefix of the prompt cached.

    Without such a target it chooses one by consistent hashing of the prefix, and
    otherwise leaves the choice to the fallback.

    Args:
        fallback: `pimentowick.routing.balance.TwoChoiceBalancer`.
        prefix_index: `pimentowick.routing.prefix.PrefixIndex`.
        bound_factor: Load bound of targets chosen for their cache, as a multiple of
            the mean load.
    """

    def __init__(self, fallback, prefix_index=None, bound_factor=LOAD_BOUND_FACTOR):
        self.prefix_index = prefix_index or routing_prefix.PrefixIndex()
        self._fallback = fallback
        self._bound_factor = bound_factor

    def choose(self, pool, prefix=(), excluded=frozenset(), now=None):
        """Return one of the members; see `Balancer.choose`."""
        now = time.monotonic() if now is None else now
        if not prefix:
            return self._fallback.choose(pool, prefix, excluded, now)
        bound = max(MIN_LOAD_BOUND, self._bound_factor * pool.mean_load)

        def is_acceptable(peer):
            # All entries send a prefix to the same target, and see the requests of
            # each other only in its next report.
            senders = peer.report.get("entries", 1)
            if peer.estimate_load(senders) >= bound:
                return False
            return self._fallback.is_eligible(peer, pool, excluded, now)

        chosen = self._find_holder(pool, prefix, is_acceptable, now)
        chosen = chosen or self._find_home(pool, prefix, is_acceptable)
        if chosen is None:
            chosen = self._fallback.choose(pool, prefix, excluded, now)
        else:
            self._fallback.record_choice(chosen)
        if chosen is not None:
            self.prefix_index.insert(prefix, chosen.name, now)
        return chosen

    def _find_holder(self, pool, prefix, is_acceptable, now):
        for prefix_hash in reversed(prefix):
            candidates = []
            for name, sent_at in self.prefix_index.get_holders(prefix_hash).items():
                peer = pool.find(name)
                if (
                    peer is not None
                    and _is_likely_cached(peer, sent_at, now)
                    and is_acceptable(peer)
                ):
                    candidates.append(peer)
            if candidates:
                return min(candidates, key=self._fallback.get_cost)
        return None

    def _find_home(self, pool, prefix, is_acceptable):
        # Consistent hashing makes all entries agree without communication.
        key = prefix[min(HOME_PREFIX_INDEX, len(prefix) - 1)].hex()
        return next(
            filter(is_acceptable, pool.find_successors(key, HOME_CANDIDATES)), None
        )


def _is_likely_cached(peer, sent_at, now):
    lifetime_s = peer.report.get("cache_life_s") or DEFAULT_CACHE_LIFETIME_S
    return now - sent_at < lifetime_s
