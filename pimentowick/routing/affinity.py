"""Choosing the target that has the prompt's prefix in its cache, within bounds.

Notes:
    A target takes a prefix only while its load is below a bound that is a factor
    over the mean: a popular prefix then spreads over as many targets as it needs,
    and always over the same ones.

References:
    V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent hashing with bounded
    loads", Proceedings of the 29th ACM-SIAM Symposium on Discrete Algorithms, 2018.
"""

import time

from pimentowick.routing import balance
from pimentowick.routing import prefix as routing_prefix

__all__ = ["AffinityBalancer"]

BOUND_FACTOR = 1.5
LEAST_BOUND = 0.25
HOMES = 4
HOME_LEVEL = 5
CACHE_LIFE_S = 300.0


class AffinityBalancer(balance.Balancer):
    """A recent holder of the longest prefix, its home, or else the emptier of two.

    Args:
        fallback: `pimentowick.routing.balance.TwoChoiceBalancer`.
        prefix_index: `pimentowick.routing.prefix.PrefixIndex`.
        bound_factor: How far above the mean a target's load may be that is chosen
            for its cache.
    """

    def __init__(self, fallback, prefix_index=None, bound_factor=BOUND_FACTOR):
        self.prefix_index = prefix_index or routing_prefix.PrefixIndex()
        self._fallback = fallback
        self._bound_factor = bound_factor

    def choose(self, pool, prefix=(), excluded=frozenset(), now=None):
        """Return one of the members; see `Balancer.choose`."""
        now = time.monotonic() if now is None else now
        if not prefix:
            return self._fallback.choose(pool, prefix, excluded, now)
        bound = max(LEAST_BOUND, self._bound_factor * pool.mean_load)

        def is_fit(peer):
            # All entries send a prefix to the same target, and none sees before the
            # next report what the others sent.
            senders = peer.report.get("entries", 1)
            if peer.estimate_load(senders) >= bound:
                return False
            return self._fallback.is_eligible(peer, pool, excluded, now)

        chosen = self._find_holder(pool, prefix, is_fit, now)
        chosen = chosen or self._find_home(pool, prefix, is_fit)
        if chosen is None:
            chosen = self._fallback.choose(pool, prefix, excluded, now)
        else:
            self._fallback.record_choice(chosen)
        if chosen is not None:
            self.prefix_index.insert(prefix, chosen.name, now)
        return chosen

    def _find_holder(self, pool, prefix, is_fit, now):
        for level in reversed(prefix):
            found = []
            for name, since in self.prefix_index.get_holders(level).items():
                peer = pool.find(name)
                if peer is not None and _still_holds(peer, since, now) and is_fit(peer):
                    found.append(peer)
            if found:
                return min(found, key=self._fallback.get_cost)
        return None

    def _find_home(self, pool, prefix, is_fit):
        # Entries that know nothing of each other agree on the homes of a prefix.
        key = prefix[min(HOME_LEVEL, len(prefix) - 1)].hex()
        return next(filter(is_fit, pool.find_successors(key, HOMES)), None)


def _still_holds(peer, since, now):
    life_s = peer.report.get("cache_life_s") or CACHE_LIFE_S
    return now - since < life_s
