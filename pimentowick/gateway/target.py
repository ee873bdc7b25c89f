"""The targets as this entry knows them: what they are and how busy they are."""

import dataclasses

__all__ = ["Registration", "Target", "TargetTable"]


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """What a target says of itself.

    Attributes:
        id: Identifier of this start of the target.
        service: Service that it belongs to.
        ip: IP number.
        port: TCP port.
        failure_domain: Failure domain.
        slots: Requests that it runs at once.
        leaving: Whether it gets no new work.
        started_ms: Unix time of its start in milliseconds; the identifier alone does
            not tell two starts apart.
    """

    id: str
    service: str
    ip: str
    port: int
    failure_domain: str
    slots: int
    leaving: bool = False
    started_ms: int = 0


class Target:
    """One target and its load.

    Attributes:
        registration: The `Registration`.
        online: Online requests of this entry at the target.
        batch: Batch items of this entry at the target.
        peers_online: Online requests of other entries, as they last said.
        peers_batch: Batch items of other entries, as they last said.
        gone: Whether it is no longer listed.
        paused_until: Monotonic time until which it gets no new work.
        failures: Connections in a row that failed.
        ejected: Whether it fails too many of the requests that it gets.
    """

    def __init__(self, registration):
        self.registration = registration
        self.online = 0
        self.batch = 0
        self.peers_online = 0
        self.peers_batch = 0
        self.gone = False
        self.paused_until = 0.0
        self.failures = 0
        self.ejected = False

    @property
    def id(self):
        """Identifier of the target."""
        return self.registration.id

    @property
    def slots(self):
        """Requests that it runs at once."""
        return self.registration.slots

    @property
    def total_online(self):
        """Online requests of all entries."""
        return self.online + self.peers_online

    @property
    def total_batch(self):
        """Batch items of all entries."""
        return self.batch + self.peers_batch

    def is_usable(self, now):
        """Return whether new work may be sent."""
        return (
            not self.gone
            and not self.ejected
            and not self.registration.leaving
            and now >= self.paused_until
        )


class TargetTable:
    """All targets, by identifier and by service.

    Args:
        on_removed: Function that gets a `Target` that is no longer listed or started
            anew.
        on_added: Function that gets the identifier of a target that is listed for the
            first time, or was started anew.

    Attributes:
        by_id: The `Target` objects.
    """

    def __init__(self, on_removed=lambda target: None, on_added=lambda target_id: None):
        self.by_id = {}
        self._by_service = {}
        self._on_gone = on_removed
        self._on_new = on_added

    def put(self, registration):
        """Take a registration."""
        known = self.by_id.get(registration.id)
        if known is not None and not _is_same(known.registration, registration):
            self.remove(registration.id)
            known = None
        if known is not None:
            if known.registration != registration:
                known.paused_until = 0.0
            known.registration = registration
            return
        target = Target(registration)
        self.by_id[registration.id] = target
        self._by_service.setdefault(registration.service, {})[target.id] = target
        self._on_new(target.id)

    def remove(self, target_id):
        """Forget a target; unknown ones are let be."""
        target = self.by_id.pop(target_id, None)
        if target is None:
            return
        target.gone = True
        self._by_service[target.registration.service].pop(target_id)
        self._on_gone(target)

    def list_by_service(self):
        """Return the targets of each service."""
        return [list(found.values()) for found in self._by_service.values()]

    def list_service(self, service):
        """Return the targets of a service."""
        return list(self._by_service.get(service, {}).values())


def _is_same(old, new):
    """Return whether two registrations are of one start of a target."""
    return (old.service, old.ip, old.port, old.started_ms) == (
        new.service,
        new.ip,
        new.port,
        new.started_ms,
    )
