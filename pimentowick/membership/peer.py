"""One agent and its target, as an entry knows them."""

import asyncio
import dataclasses

__all__ = ["PEER_ACTIVE_S", "Peer"]

PEER_ACTIVE_S = 5.0
"""Time for which a peer counts as in use after a request to it, in seconds."""


@dataclasses.dataclass(eq=False, slots=True)
class Peer:
    """One agent and its target, as this entry knows them.

    Attributes:
        host: `pimentowick.external.hosts.Host` of the agent.
        report: The last heartbeat answer.
        last_seen_at: Monotonic time of the last heartbeat answer; 0 before.
        heartbeat_sent_at: Monotonic time at which the heartbeat answered by `report`
            was sent; the report is newer.
        online: Online requests of this entry in flight there.
        online_at_report: What `online` was when the last report came.
        batch: Batch items of this entry in flight there.
        window: Batch items that this entry may have in flight there.
        lease: Number of the lease, 0 while there is none.
        lease_requested_at: Monotonic time at which the heartbeat that obtained the
            lease was sent.
        failures: Failed requests in a row.
        ejected_until: Monotonic time until which the agent gets no work.
        lease_wanted: Whether this entry wants a lease for batch items there.
        solo: Whether a suspected batch item runs alone there.
        last_used_at: Monotonic time at which the last request there ended.
        heartbeat_interval_s: Time until the next heartbeat, in seconds.
        wake: Set to send the next heartbeat at once.
    """

    host: object
    report: dict = dataclasses.field(default_factory=dict)
    last_seen_at: float = 0.0
    heartbeat_sent_at: float = 0.0
    online: int = 0
    online_at_report: int = 0
    batch: int = 0
    window: int = 0
    lease: int = 0
    lease_requested_at: float = 0.0
    lease_wanted: bool = False
    failures: int = 0
    ejected_until: float = 0.0
    solo: bool = False
    last_used_at: float = -PEER_ACTIVE_S
    heartbeat_interval_s: float = 0.0
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def name(self):
        """Name of the host."""
        return self.host.name

    @property
    def address(self):
        """``IP:port`` of the agent."""
        return self.host.address

    @property
    def service(self):
        """Name of the model or service that the target serves."""
        return self.report.get("service")

    def list_services(self):
        """Return the names of what the target serves.

        An engine that was given orders serves what it has loaded.
        """
        if self.report.get("fence"):
            return self.report.get("models", [])
        return [self.service]

    def estimate_load(self, senders=1):
        """Return how full the target is: the report, and what was sent since.

        The report counts the requests of all entries, but is as old as the last
        heartbeat; own requests are exact. So the report is corrected by what the
        own ones have become since, and is never below these.

        Args:
            senders: How many entries are taken to have sent as many more.
        """
        since = self.online - self.online_at_report
        if since > 0:
            since *= senders
        reported = self.report.get("online", 0)
        return max(reported + since, self.online) / self._get_limit()

    def get_reported_load(self):
        """Return how full the target was at the last report."""
        return self.report.get("online", 0) / self._get_limit()

    def _get_limit(self):
        return max(1, self.report.get("max_online", 1))
