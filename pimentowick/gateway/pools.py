"""Connection pools of this entry, one for each target."""

from pimentowick.gateway import traffic, upstream

__all__ = ["Pools"]

# Connection limit of services without one in the configuration.
DEFAULT_CONNECTIONS = 100


class Pools:
    """Creates an `upstream.Pool` for each target on first use.

    Args:
        configuration: `pimentowick.gateway.follower.ConfigurationFollower`.
        peers: Collection of the other entries, updated by its owner.
        record_load: Function called with a target and the `target.ReportedLoad` that
            came with one of its responses, or None.
        counted: The `traffic.Traffic` that counts the bodies.
    """

    def __init__(
        self,
        configuration,
        peers,
        record_load=lambda target, load: None,
        counted=None,
    ):
        self._traffic = counted or traffic.Traffic()
        self._record_load = record_load
        self._configuration = configuration
        self._peers = peers
        self._pools = {}
        self._opened_before = 0

    def get(self, target):
        """Return the pool of a `pimentowick.gateway.target.Target`."""
        pool = self._pools.get(target)
        if pool is None:
            registration = target.registration
            pool = upstream.Pool(
                registration.ip,
                registration.port,
                lambda: self.compute_idle_limit(target),
                lambda load: self._record_load(target, load),
                self._traffic,
            )
            self._pools[target] = pool
        return pool

    def compute_idle_limit(self, target):
        """Return how many idle connections this entry may keep to a target.

        A target resets connections beyond its limit, even one with a request in
        progress. One connection is reserved for each slot; the entries divide the rest
        evenly.
        """
        limits = self._configuration.current.max_connections
        limit = limits.get(target.registration.service, DEFAULT_CONNECTIONS)
        return max(0, limit - target.slots) // (len(self._peers) + 1)

    def count_open(self):
        """Return the number of open connections to all targets."""
        return sum(pool.open for pool in self._pools.values())

    def count_opened(self):
        """Return the number of connections opened so far."""
        return self._opened_before + sum(pool.opened for pool in self._pools.values())

    def remove_pool(self, target):
        """Close the idle connections to a removed target."""
        pool = self._pools.pop(target, None)
        if pool is not None:
            self._opened_before += pool.opened
            pool.close()

    def close(self):
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()
