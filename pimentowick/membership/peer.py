"""State that an entry keeps about an agent and its target."""

import asyncio
import dataclasses

__all__ = ["PEER_ACTIVE_S", "Peer"]

PEER_ACTIVE_S = 5.0
"""Time after its last request for which a peer is considered in use."""


@dataclasses.dataclass(eq=False, slots=True)
class Peer:
    """State that this entry keeps about an agent and its target.

    All times are monotonic, in seconds.

    Attributes:
        host: `pimentowick.external.hosts.Host` of the agent.
        report: Last heartbeat answer, merged with the previous ones.
        last_seen_at: Time of the last heartbeat answer or complete response; 0 before.
        heartbeat_sent_at: Time at which the last answered heartbeat was sent.
        online: Number of this entry's online requests in flight at the target.
        online_at_report: Value of `online` when the last report was received.
        batch: Number of this entry's batch items in flight at the target.
        window: Maximum number of this entry's batch items in flight at the target.
        lease: Id of the lease, or 0 without one.
        lease_requested_at: Time at which the heartbeat that obtained the lease was
            sent.
        lease_wanted: Whether this entry wants a lease for batch items.
        failures: Number of consecutive failed requests.
        ejected_until: Time until which the agent is ejected.
        solo: Whether an item suspected of crashing targets runs alone at the target.
        last_used_at: Time at which the last request to the target ended.
        heartbeat_interval_s: Interval between heartbeats.
        wake: Event to set in order to send the next heartbeat immediately.
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
        """Name of the agent's host."""
        return self.host.name

    @property
    def address(self):
        """``IP:port`` of the agent."""
        return self.host.address

    @property
    def service(self):
        """Name of the model or service that the target serves."""
        return self.report.get("service")

    @property
    def software_version(self):
        """Version of the target's software, or None if its agent does not state it."""
        return self.report.get("software_version")

    def list_services(self):
        """Return the names of the models or the service that the target serves.

        An engine that has received placement orders serves the models it has loaded.
        """
        if self.report.get("fence"):
            return self.report.get("models", [])
        return [self.service]

    def estimate_load(self, senders=1):
        """Return the estimated load of the target as a fraction of its online slots.

        The last report covers the requests of all entries, but is outdated. It is
        adjusted by the change of this entry's own requests since the report, and is at
        least the number of own requests.

        Args:
            senders: Number of entries that are assumed to have sent as many additional
                requests as this entry.
        """
        sent_since_report = self.online - self.online_at_report
        if sent_since_report > 0:
            sent_since_report *= senders
        reported = self.report.get("online", 0)
        return max(reported + sent_since_report, self.online) / self._get_max_online()

    def get_reported_load(self):
        """Return the load of the target according to its last report."""
        return self.report.get("online", 0) / self._get_max_online()

    def _get_max_online(self):
        return max(1, self.report.get("max_online", 1))
