"""Places at targets for online requests: who waits, and who gets the next one."""

import asyncio
import collections
import dataclasses
import time

from pimentowick.gateway.policy import (
    batch_queue,
    load_shedding,
    request_order,
    target_choice,
)
from pimentowick.scheduling import fairness

__all__ = ["Admission", "Demand", "Place"]

FIRST_HOLD_S = 0.5
# Weight of the newest request in the mean time that places are held.
HOLD_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs of a place.

    Attributes:
        service: Name of the service.
        rank: What goes before what, as a tuple; the least is the most urgent.
        start_by: Monotonic time by which it has to start to be in time.
        give_up_at: Monotonic time at which waiting has no use any more.
        begun: Whether it had a place before, and lost its target.
        workspace: Name of its caller's workspace, or "" without one.
        turn: Start tag of its workspace, given when it begins to wait.
    """

    service: str
    rank: tuple
    start_by: float
    give_up_at: float
    begun: bool = False
    workspace: str = ""
    turn: float = 0.0


class Place:
    """A place at a target, held until `close`.

    Attributes:
        target: The `pimentowick.gateway.target.Target`.
        taken_at: Monotonic time at which it was taken.
        online: Online requests that were known at the target then, without this one.
        batch: Batch items that were known there then.
    """

    def __init__(self, admission, target):
        self.target = target
        self.online = target.total_online
        self.batch = target.total_batch
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
        get_round_s: Function that returns after how many seconds other entries know
            what was taken here.

    Attributes:
        peers_waiting: Requests that wait at other entries, by service.
        hold_s: Mean time that a place is held, by service, in seconds.
    """

    def __init__(
        self,
        table,
        failure_domain,
        on_change=lambda: None,
        get_round_s=lambda: 0.02,
    ):
        self._table = table
        self._failure_domain = failure_domain
        self._on_change = on_change
        self._get_round_s = get_round_s
        self._waiting = {}
        self._turns = {}
        self._next_share_at = {}
        self.peers_waiting = collections.Counter()
        self.hold_s = {}

    def count_waiting(self, service):
        """Return how many requests wait here."""
        return len(self._waiting.get(service, ()))

    def list_services(self):
        """Return the services that requests wait for here."""
        return [name for name, line in self._waiting.items() if line]

    def describe(self, service):
        """Return the `load_shedding.QueueState` of a service."""
        now = time.monotonic()
        usable = [t for t in self._table.list_targets(service) if t.is_usable(now)]
        return load_shedding.QueueState(
            slots=sum(target.slots for target in usable),
            free_slots=target_choice.count_online_capacity(usable, now),
            queued=self.count_waiting(service) + self.peers_waiting[service],
            mean_hold_s=self.hold_s.get(service, FIRST_HOLD_S),
        )

    def take_now(self, demand, avoid=frozenset()):
        """Return a `Place` if one is free and nobody waits, or None.

        A request that lost its target goes before those that wait: its caller may
        have part of the answer, and the place that it had became free.
        """
        waiting = self.count_waiting(demand.service)
        waiting += max(0, self.peers_waiting[demand.service])
        if waiting and not demand.begun:
            return None
        return self._choose(demand.service, avoid)

    async def wait(self, demand, avoid=frozenset()):
        """Wait for a `Place`; return None once waiting has no use any more."""
        future = asyncio.get_running_loop().create_future()
        turns = self._turns.setdefault(demand.service, fairness.Tags())
        turn = turns.assign(demand.workspace, 1.0)
        demand = dataclasses.replace(demand, turn=turn)
        entry = (demand, avoid, future)
        line = self._waiting.setdefault(demand.service, [])
        line.append(entry)
        self._on_change()
        self.serve_share(demand.service)
        try:
            async with asyncio.timeout_at(self._convert(demand.give_up_at)):
                return await future
        except TimeoutError:
            # A place may have come in the very turn in which time was up.
            return future.result() if _is_given(future) else None
        except asyncio.CancelledError:
            if _is_given(future):
                future.result().close()
            raise
        finally:
            if entry in line:
                line.remove(entry)
            if not line:
                turns.forget()

    def note_freed(self, place):
        """Take a place that was given back."""
        service = place.target.registration.service
        held = time.monotonic() - place.taken_at
        mean = self.hold_s.get(service, FIRST_HOLD_S)
        self.hold_s[service] = mean + HOLD_WEIGHT * (held - mean)
        self.serve_waiting(service)
        self._on_change()

    def serve_share(self, service):
        """Give this entry's share of the free places to those that wait.

        A place that became free elsewhere is seen by all entries at once. Taken by
        each that has a request waiting, it would be sent many, and all but one of
        them would wait at the target, where no other place can be given to them.
        """
        own = self.count_waiting(service)
        now = time.monotonic()
        if not own:
            return
        if now < self._next_share_at.get(service, 0.0):
            return
        others = max(0, self.peers_waiting[service])
        free = self.describe(service).free_slots
        allowed = batch_queue.compute_entry_share(free, own, others)
        if free:
            round_s = self._get_round_s()
            self._next_share_at[service] = now + round_s
            loop = asyncio.get_running_loop()
            loop.call_later(round_s, self.serve_share, service)
        self.serve_waiting(service, allowed)

    def serve_waiting(self, service, limit=None):
        """Give free places to those that wait, `limit` of them at most."""
        line = self._waiting.get(service)
        if not line:
            return
        now = time.monotonic()
        line.sort(key=lambda entry: request_order.compute_sort_key(entry[0], now))
        for entry in list(line):
            demand, avoid, future = entry
            if future.done():
                continue
            if limit is not None:
                limit -= 1
                if limit < 0:
                    return
            place = self._choose(service, avoid)
            if place is None and avoid:
                continue
            if place is None:
                return
            line.remove(entry)
            self._turns[service].note_served(demand.turn)
            future.set_result(place)

    def _choose(self, service, avoid):
        targets = self._table.list_targets(service)
        target = target_choice.choose_for_online(
            targets,
            time.monotonic(),
            self._failure_domain,
            avoid,
            self._estimate_coming(service, targets),
        )
        if target is None:
            return None
        place = Place(self, target)
        self._on_change()
        return place

    def _estimate_coming(self, service, targets):
        """Return how many requests all entries send until they know of each other's.

        So many run at a time as come while one of them holds its place.

        References:
            J. D. C. Little, "A proof for the queuing formula L = lambda W", 1961.
        """
        running = sum(found.total_online for found in targets)
        hold_s = self.hold_s.get(service, FIRST_HOLD_S)
        return running / hold_s * self._get_round_s()

    def _convert(self, monotonic_at):
        loop = asyncio.get_running_loop()
        return loop.time() + monotonic_at - time.monotonic()


def _is_given(future):
    return future.done() and not future.cancelled()
