"""Places at targets for online requests: who waits, and who gets the next one."""

import asyncio
import collections
import dataclasses
import time

from pimentowick.gateway import placing, refusing

__all__ = ["Admission", "Demand", "Place"]

FIRST_HOLD_S = 0.5
# Weight of the newest request in the mean time that places are held.
HOLD_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs of a place.

    Attributes:
        service: Name of the service.
        priority: Rank of its route; 0 is the most urgent.
        start_by: Monotonic time by which it has to start to be in time.
        give_up_at: Monotonic time at which waiting has no use any more.
    """

    service: str
    priority: int
    start_by: float
    give_up_at: float


class Place:
    """A place at a target, held until `close`."""

    def __init__(self, admission, target):
        self.target = target
        self.taken_at = time.monotonic()
        self._admission = admission
        target.online += 1

    def close(self):
        """Give the place back."""
        if self._admission is not None:
            admission, self._admission = self._admission, None
            self.target.online -= 1
            admission.note_freed(self)


class Admission:
    """The waiting line of one entry.

    Args:
        table: `pimentowick.gateway.target.TargetTable`.
        failure_domain: Failure domain of this entry.
        on_change: Function called after places were taken or given back.

    Attributes:
        peers_waiting: Requests that wait at other entries, by service.
        hold_s: Mean time that a place is held, by service, in seconds.
    """

    def __init__(self, table, failure_domain, on_change=lambda: None):
        self._table = table
        self._failure_domain = failure_domain
        self._on_change = on_change
        self._waiting = {}
        self.peers_waiting = collections.Counter()
        self.hold_s = {}

    def count_waiting(self, service):
        """Return how many requests wait here."""
        return len(self._waiting.get(service, ()))

    def list_services(self):
        """Return the services that requests wait for here."""
        return [name for name, line in self._waiting.items() if line]

    def describe(self, service):
        """Return the `refusing.Line` of a service."""
        now = time.monotonic()
        usable = [t for t in self._table.list_service(service) if t.is_usable(now)]
        return refusing.Line(
            places=sum(target.slots for target in usable),
            free=placing.count_free(usable, now),
            waiting=self.count_waiting(service) + self.peers_waiting[service],
            hold_s=self.hold_s.get(service, FIRST_HOLD_S),
        )

    def take_now(self, demand, avoid=frozenset()):
        """Return a `Place` if one is free and nobody waits, or None."""
        if self._waiting.get(demand.service):
            return None
        return self._choose(demand.service, avoid)

    async def wait(self, demand, avoid=frozenset()):
        """Wait for a `Place`; return None once waiting has no use any more."""
        future = asyncio.get_running_loop().create_future()
        entry = (demand, avoid, future)
        line = self._waiting.setdefault(demand.service, [])
        line.append(entry)
        self._on_change()
        try:
            async with asyncio.timeout_at(self._convert(demand.give_up_at)):
                return await future
        except TimeoutError:
            return None
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                future.result().close()
            raise
        finally:
            if entry in line:
                line.remove(entry)

    def note_freed(self, place):
        """Take a place that was given back."""
        service = place.target.registration.service
        held = time.monotonic() - place.taken_at
        mean = self.hold_s.get(service, FIRST_HOLD_S)
        self.hold_s[service] = mean + HOLD_WEIGHT * (held - mean)
        self.serve_waiting(service)
        self._on_change()

    def serve_waiting(self, service):
        """Give free places to those that wait."""
        line = self._waiting.get(service)
        if not line:
            return
        now = time.monotonic()
        # Those that can still be in time go before those that are late already.
        line.sort(key=lambda e: (e[0].priority, e[0].start_by < now, e[0].start_by))
        for entry in list(line):
            _, avoid, future = entry
            if future.done():
                continue
            place = self._choose(service, avoid)
            if place is None:
                return
            line.remove(entry)
            future.set_result(place)

    def _choose(self, service, avoid):
        target = placing.choose_for_online(
            self._table.list_service(service),
            time.monotonic(),
            self._failure_domain,
            avoid,
        )
        if target is None:
            return None
        place = Place(self, target)
        self._on_change()
        return place

    def _convert(self, monotonic_at):
        loop = asyncio.get_running_loop()
        return loop.time() + monotonic_at - time.monotonic()
