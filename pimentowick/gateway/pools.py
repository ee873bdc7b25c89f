"""The connections of this entry to all targets."""

from pimentowick.gateway import upstream

__all__ = ["Pools"]

# For a service whose limit the configuration does not name.
DEFAULT_CONNECTIONS = 100


class Pools:
    """Keeps an `upstream.Pool` for each target.

    Args:
        configuration: `pimentowick.gateway.follower.ConfigurationFollower`.
        peers: Other entries, a collection that is kept up to date elsewhere.
    """

    def __init__(self, configuration, peers):
        self._configuration = configuration
        self._peers = peers
        self._pools = {}

    def get(self, found):
        """Return the pool of a `pimentowick.gateway.target.Target`."""
        pool = self._pools.get(found)
        if pool is None:
            registration = found.registration
            pool = upstream.Pool(
                registration.ip, registration.port, lambda: self.count_idle(found)
            )
            self._pools[found] = pool
        return pool

    def count_idle(self, found):
        """Return how many idle connections this entry may keep to a target.

        A target resets what goes beyond its limit, a request on its way included;
        what it runs needs connections, too, and the rest is shared alike.
        """
        limits = self._configuration.current.max_connections
        limit = limits.get(found.registration.service, DEFAULT_CONNECTIONS)
        return max(0, limit - found.slots) // (len(self._peers) + 1)

    def remove_pool(self, found):
        """Close the idle connections to a target that is gone."""
        pool = self._pools.pop(found, None)
        if pool is not None:
            pool.close()

    def close(self):
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()
