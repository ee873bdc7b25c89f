"""Table of the known targets with their registrations and load."""

import dataclasses
import math
import time

from pimentowick.gateway.policy import target_speed

__all__ = ["Registration", "ReportedLoad", "RunCheck", "Target", "TargetTable"]

# A registration that arrives sooner after a broken connection, or after a response that
# the target is another one, may be older than that.
CONFIRMATION_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """What a target registers about itself.

    Attributes:
        id: Identifier of this run of the target.
        service: Name of the service that it serves.
        ip: IP address.
        port: TCP port.
        failure_domain: Failure domain.
        slots: Number of requests that it runs concurrently.
        is_draining: Whether it gets no new work because it is about to stop.
        started_ms: Unix time of its start, in milliseconds. The identifier alone does
            not distinguish two runs.
        software_version: Version of its software, or None if unknown.
    """

    id: str
    service: str
    ip: str
    port: int
    failure_domain: str
    slots: int
    is_draining: bool = False
    started_ms: int = 0
    software_version: str | None = None


@dataclasses.dataclass(slots=True)
class RunCheck:
    """Which run of a target a request is meant for, and whether that run gets it.

    A target may return under its old identifier with other software before an entry
    knows. The connection that carries a request tells which run is at its other end.

    Attributes:
        started_ms: Unix time of its start in milliseconds, as registered; 0 if the
            identifier alone names the run.
        software_version: Version of its software, as registered.
        is_required: Whether no other run may get the request.
        is_asked: Whether the target is asked which run it is.
        is_optional: Whether the request is sent also if the target does not answer that
            in time.
        is_confirmed: Whether the registered run gets the request.
    """

    started_ms: int
    software_version: str | None
    is_required: bool
    is_confirmed: bool = False
    is_asked: bool = True
    is_optional: bool = False

    def compare(self, started_ms):
        """Compare the run with that at the other end of a connection.

        Args:
            started_ms: Unix time of its start in milliseconds, 0 if unknown.

        Returns:
            Whether the request may be sent there.
        """
        self.is_confirmed = started_ms == self.started_ms
        return self.is_confirmed or not self.is_required

    @property
    def confirmed_version(self):
        """Version of the software that gets the request, or None if uncertain."""
        return self.software_version if self.is_confirmed else None


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The load that a target reports with a response.

    Attributes:
        running: Number of requests running there.
        waiting: Number of requests waiting there.
        slots: Number of requests that it runs concurrently.
        slowdown: Factor on the usual time of work on its host at that moment, or None
            if the target does not share its host.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class Target:
    """A target with its load and health.

    Attributes:
        registration: The `Registration`.
        online: Online requests of this entry at the target.
        batch: Batch items of this entry at the target.
        peers_online: Online requests of other entries, by their latest reports.
        peers_batch: Batch items of other entries, by their latest reports.
        is_removed: Whether it is no longer listed.
        paused_until: Monotonic time until which it gets no new work; infinite until its
            registration is received again.
        failures: Number of consecutive failed connections.
        ejected: Whether outlier detection has ejected it.
        is_slow: Whether it gets no new work for a while because it works far too
            slowly.
        pace: The `target_speed.PaceEstimate` of this run.
        relative_speed: Estimated speed of this run, in shares of the usual speed of
            its service.
        slowdown: Factor on the usual time of work on its host, as reported last.
        former_slowdown: The factor reported before that one.
        slowdown_at: Monotonic time of that report.
        has_own_slowdown: Whether that report came to this entry.
        reported_load: The `ReportedLoad` of the last response to this entry, or None.
        reported_at: Monotonic time of that response.
    """

    def __init__(self, registration):
        self.registration = registration
        self.online = 0
        self.batch = 0
        self.peers_online = 0
        self.peers_batch = 0
        self.is_removed = False
        self.paused_until = 0.0
        self.failures = 0
        self.ejected = False
        self.is_slow = False
        self.pace = target_speed.PaceEstimate()
        self.relative_speed = 1.0
        self.slowdown = 1.0
        self.former_slowdown = 1.0
        self.slowdown_at = float("-inf")
        self.has_own_slowdown = False
        self.reported_load = None
        self.reported_at = float("-inf")
        self._released_at = []
        self._broken_at = float("-inf")
        self._held_at = float("-inf")

    def acquire_online(self):
        """Count an online request of this entry."""
        self.online += 1
        if self._released_at:
            self._released_at.pop()

    def release_online(self, now):
        """Remove an online request of this entry from the count."""
        self.online -= 1
        self._released_at.append(now)
        del self._released_at[: -self.slots]

    def count_private_slots(self, since):
        """Return how many slots this entry has released since a monotonic time.

        Other entries do not know yet that these are free.
        """
        released = self._released_at
        if not released:
            return 0
        while released and released[0] < since:
            released.pop(0)
        return len(released)

    def record_load(self, load, now):
        """Record the `ReportedLoad` of a response to this entry."""
        self.reported_load = load
        self.reported_at = now
        if load.slowdown is not None:
            self.record_slowdown(load.slowdown, now)

    def record_slowdown(self, slowdown, reported_at, is_own=True):
        """Record the slowdown of its host unless a newer one is known.

        Args:
            slowdown: Factor on the usual time of work.
            reported_at: Monotonic time at which the target reported it.
            is_own: Whether the report came to this entry.
        """
        if reported_at < self.slowdown_at:
            return
        self.former_slowdown, self.slowdown = self.slowdown, slowdown
        self.slowdown_at = reported_at
        self.has_own_slowdown = is_own

    def get_slowdown(self, now):
        """Return the expected factor on the usual time of work on its host."""
        return target_speed.decay_slowdown(self.slowdown, now - self.slowdown_at)

    def get_effective_speed(self, now):
        """Return the speed at which it works now, in shares of the usual speed."""
        return self.relative_speed / self.get_slowdown(now)

    @property
    def id(self):
        """Identifier of this run of the target."""
        return self.registration.id

    @property
    def run_id(self):
        """Identifier of this run, also of a target that starts under its old one."""
        if not self.registration.started_ms:
            return self.id
        return f"{self.id}@{self.registration.started_ms}"

    def make_run_check(self, is_required, is_asked=True, is_optional=False):
        """Return the `RunCheck` of a request.

        Args:
            is_required: Whether no other run than the registered one may get it.
            is_asked: Whether the target is asked which run it is.
            is_optional: Whether the request is sent also if it does not answer in time.
        """
        registration = self.registration
        return RunCheck(
            registration.started_ms,
            registration.software_version,
            is_required,
            is_confirmed=not registration.started_ms,
            is_asked=is_asked and registration.started_ms > 0,
            is_optional=is_optional,
        )

    def record_break(self, now):
        """Record that the target may have restarted, as after a broken connection."""
        self._broken_at = now

    def hold(self, now):
        """Give it no new work until its registration is received again.

        Another target may have its address.
        """
        self.paused_until = math.inf
        self._held_at = now

    def confirm(self, now):
        """Record that its registration was received again."""
        if now - self._broken_at >= CONFIRMATION_DELAY_S:
            self._broken_at = float("-inf")
        is_held = self.paused_until == math.inf
        if is_held and now - self._held_at >= CONFIRMATION_DELAY_S:
            self.paused_until = 0.0

    @property
    def software_version(self):
        """Version of its software, or None if it is uncertain.

        A target that restarts under its old identifier may run another version before
        its new registration arrives.
        """
        may_reuse_id = self.registration.started_ms > 0
        if may_reuse_id and self._broken_at > float("-inf"):
            return None
        return self.registration.software_version

    @property
    def slots(self):
        """Number of requests that it runs concurrently."""
        return self.registration.slots

    @property
    def total_online(self):
        """Online requests of all entries at the target."""
        return self.online + self.peers_online

    @property
    def total_batch(self):
        """Batch items of all entries at the target."""
        return self.batch + self.peers_batch

    def is_usable(self, now):
        """Return whether the target may get new work."""
        return (
            not self.is_removed
            and not self.ejected
            and not self.is_slow
            and not self.registration.is_draining
            and now >= self.paused_until
        )


class TargetTable:
    """All listed targets, by identifier and by service.

    Args:
        on_removed: Function called with a `Target` that is no longer listed, or was
            restarted.
        on_added: Function called with the identifier of a target that is newly listed,
            or was restarted.

    Attributes:
        by_id: The `Target` objects.
    """

    def __init__(self, on_removed=lambda target: None, on_added=lambda target_id: None):
        self.by_id = {}
        self._by_service = {}
        self._tuples = {}
        self._services_on_shared_hosts = set()
        self._on_removed = on_removed
        self._on_added = on_added

    def put(self, registration, is_new=True):
        """Add a target, or update its registration.

        Args:
            registration: The `Registration`.
            is_new: Whether the target has registered again. The same record may also
                be read twice.
        """
        known = self.by_id.get(registration.id)
        if known is not None and not _is_same(known.registration, registration):
            self.remove(registration.id)
            known = None
        if known is not None:
            if known.registration != registration:
                known.paused_until = 0.0
            known.registration = registration
            if is_new:
                known.confirm(time.monotonic())
            return
        target = Target(registration)
        self.by_id[registration.id] = target
        self._by_service.setdefault(registration.service, {})[target.id] = target
        self._tuples.pop(registration.service, None)
        self._on_added(target.id)

    def remove(self, target_id):
        """Remove a target; unknown identifiers are ignored."""
        target = self.by_id.pop(target_id, None)
        if target is None:
            return
        target.is_removed = True
        self._by_service[target.registration.service].pop(target_id)
        self._tuples.pop(target.registration.service, None)
        self._on_removed(target)

    def record_shared_hosts(self, service):
        """Record that a target of a service has reported the slowdown of its host."""
        self._services_on_shared_hosts.add(service)

    def has_shared_hosts(self, service):
        """Return whether targets of a service report the slowdown of their hosts.

        Decisions that use the speed of targets, or that expect them to be uneven, are
        made only for such services.
        """
        return service in self._services_on_shared_hosts

    def list_by_service(self):
        """Return a list of targets for each service."""
        return [list(targets.values()) for targets in self._by_service.values()]

    def list_targets(self, service, software_version=None):
        """Return the targets of a service, of any version or of one."""
        targets = self._by_service.get(service, {}).values()
        if software_version is None:
            return list(targets)
        return [
            target for target in targets if target.software_version == software_version
        ]

    def has_version(self, service, software_version):
        """Return whether a listed target runs a version and may get new work later."""
        return any(
            target.registration.software_version == software_version
            and not target.registration.is_draining
            and target.paused_until < math.inf
            for target in self._by_service.get(service, {}).values()
        )

    def get_targets(self, service):
        """Return the targets of a service as a tuple that is kept between changes."""
        targets = self._tuples.get(service)
        if targets is None:
            targets = tuple(self._by_service.get(service, {}).values())
            self._tuples[service] = targets
        return targets


def _is_same(old, new):
    """Return whether two registrations belong to the same run of a target."""
    return (old.service, old.ip, old.port, old.started_ms) == (
        new.service,
        new.ip,
        new.port,
        new.started_ms,
    )
