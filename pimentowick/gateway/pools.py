"""Connection pools of this entry, one for each target."""

import asyncio

from pimentowick.gateway import connection_pool, traffic
from pimentowick.gateway.policy import connection_share

__all__ = ["Pools"]

# Connection limit of services without one in the configuration.
DEFAULT_CONNECTIONS = 100
# Well below the margin by which connections are closed before the target's timeout.
EXPIRY_INTERVAL_S = 0.5
EVEN_SHARE = connection_share.EvenShare()
PEAK_SHARE = connection_share.PeakShare()


class Pools:
    """Creates an `connection_pool.Pool` for each target on first use.

    Args:
        configuration: `pimentowick.gateway.follower.ConfigurationFollower`.
        peers: Collection of the other entries, updated by its owner.
        record_load: Function called with a target and the `target.ReportedLoad` that
            came with one of its responses, or None.
        counted: The `traffic.Traffic` that counts the bodies.
        has_shared_hosts: Function that returns whether the targets of a service share
            their hosts, whose connections are then kept by use.
    """

    def __init__(
        self,
        configuration,
        peers,
        record_load=lambda target, load: None,
        counted=None,
        has_shared_hosts=lambda service: False,
    ):
        self._has_shared_hosts = has_shared_hosts
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
            pool = connection_pool.Pool(
                registration.ip,
                registration.port,
                lambda: self.compute_idle_limit(target),
                lambda: self._choose_policy(registration.service),
                lambda load: self._record_load(target, load),
                self._traffic,
                self.release_descriptor,
            )
            self._pools[target] = pool
        return pool

    def _choose_policy(self, service):
        """Return the `connection_share.IdlePolicy` for the targets of a service."""
        return PEAK_SHARE if self._has_shared_hosts(service) else EVEN_SHARE

    def release_descriptor(self):
        """Close an idle connection of the pool that has most of them.

        Returns:
            Whether there was one.
        """
        pool = max(self._pools.values(), key=lambda each: each.idle, default=None)
        return pool is not None and pool.close_oldest()

    async def close_expired(self):
        """Close connections before their targets do, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            for target, pool in self._pools.items():
                if self._has_shared_hosts(target.registration.service):
                    pool.close_expired()

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
