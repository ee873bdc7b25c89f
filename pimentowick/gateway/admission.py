"""Admission of online requests: the queue of one entry and the slots at targets."""

import asyncio
import collections
import dataclasses
import math
import time

from pimentowick.gateway import overload_control, queue_sharing
from pimentowick.gateway.policy import (
    batch_queue,
    delay_choice,
    load_shedding,
    overload,
    request_cost,
    request_order,
    slot_handover,
    target_choice,
)
from pimentowick.scheduling import fairness

__all__ = ["AcquiredSlot", "Admission", "SlotRequest"]

# Estimate of the mean hold time before the first slot is released.
INITIAL_HOLD_S = 0.5
# Weight of the newest request in the moving average of the hold time.
HOLD_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """What admission needs to know of a request to queue it and choose its target.

    Attributes:
        service: Name of the service.
        rank: Priority as a tuple; the smallest is the most urgent.
        start_deadline: Monotonic time by which it has to start to meet its objective.
        wait_deadline: Monotonic time at which it leaves the queue unserved.
        lost_target: Whether it held a slot before and its target failed.
        workspace: Name of its caller's workspace, or "" without one.
        start_tag: Start tag of its workspace, assigned when it is queued.
        crashed_targets: Runs of targets that crashed under it if it is quarantined and
            runs as a trial, else None.
        cost: What it takes of a target, a `request_cost.Cost`.
        objective_at: Monotonic time by which its caller expects the first event, or the
            whole response of a route without events.
        is_return: Whether its caller was turned away before.
        software_version: Version that its target must run, or None for any.
    """

    service: str
    rank: tuple
    start_deadline: float
    wait_deadline: float
    lost_target: bool = False
    workspace: str = ""
    start_tag: float = 0.0
    crashed_targets: frozenset | None = None
    cost: request_cost.Cost = dataclasses.field(default_factory=request_cost.Cost)
    objective_at: float = math.inf
    is_return: bool = False
    software_version: str | None = None

    @property
    def is_restricted(self):
        """Whether some targets of its service may not take it."""
        return bool(self.crashed_targets) or self.software_version is not None

    def fits(self, target):
        """Return whether a target runs the version that it needs."""
        needed = self.software_version
        return needed is None or needed == target.software_version


class AcquiredSlot:
    """A slot at a target, held until `release`.

    Attributes:
        target: The `pimentowick.gateway.target.Target`.
        acquired_at: Monotonic time at which it was acquired.
        online_at_start: Online requests known at the target then, without this one.
        batch_at_start: Batch items known at the target then.
        selection: The `delay_choice.Selection`, or None for a target that was chosen by
            its slots alone.
        workspace: Workspace to which the slot is counted, or None if it is not counted.
    """

    def __init__(self, admission, target, selection=None):
        self.target = target
        self.selection = selection
        self.online_at_start = target.total_online
        self.batch_at_start = target.total_batch
        self.acquired_at = time.monotonic()
        self.workspace = None
        self._admission = admission
        target.acquire_online()

    def release(self):
        """Return the slot to the target; further calls do nothing."""
        if self._admission is not None:
            admission, self._admission = self._admission, None
            self.target.release_online(time.monotonic())
            admission.on_slot_released(self)


class Admission:
    """Assigns slots to online requests and queues those that get none.

    Args:
        table: `pimentowick.gateway.target.TargetTable`.
        failure_domain: Failure domain of this entry.
        on_change: Function called after a request is queued and after a slot is
            acquired or released.
        get_propagation_delay_s: Function that returns after how many seconds other
            entries know of the slots acquired here.

    Attributes:
        overload: `overload_control.OverloadControl`.
        peers_waiting: Requests queued at other entries, by service, without late ones.
        mean_hold_s: Moving average of the time a slot is held, by service, in seconds.
        sharing: `pimentowick.gateway.queue_sharing.QueueSharing`.
    """

    def __init__(
        self,
        table,
        failure_domain,
        on_change=lambda: None,
        get_propagation_delay_s=lambda: 0.02,
    ):
        self._table = table
        self._failure_domain = failure_domain
        self._choice = delay_choice.LeastDelayChoice()
        self._on_change = on_change
        self._get_propagation_delay_s = get_propagation_delay_s
        self._queues = {}
        self._start_tags = {}
        self._next_grant_at = {}
        self._late_timers = {}
        self.overload = overload_control.OverloadControl()
        self.peers_waiting = collections.Counter()
        self.mean_hold_s = {}
        self.sharing = queue_sharing.QueueSharing(table)

    def count_queued(self, service):
        """Return the number of requests queued at this entry."""
        return len(self._queues.get(service, ()))

    def count_waiting(self, service):
        """Return the number of requests queued at this entry that others wait for.

        Late requests of services on shared hosts wait for all others.
        """
        return self.count_queued(service) - self.count_late(service)

    def count_late(self, service):
        """Return the number of late requests queued apart from the others."""
        queue = self._queues.get(service)
        if not queue or not self._table.has_shared_hosts(service):
            return 0
        now = time.monotonic()
        return sum(overload.is_late(waiter[0], now) for waiter in queue)

    def compute_request_share(self):
        """Return the share of the running and queued requests that this entry holds."""
        services = [group for group in self._table.list_by_service() if group]
        targets = [target for group in services for target in group]
        own = sum(target.online for target in targets)
        peers = sum(target.peers_online for target in targets)
        own += sum(self.count_queued(service) for service in self._queues)
        peers += sum(max(0, count) for count in self.peers_waiting.values())
        return own / (own + peers) if own else 0.0

    def list_services(self):
        """Return the services that have requests queued at this entry."""
        return [name for name, queue in self._queues.items() if queue]

    def get_queue_state(self, service):
        """Return the `load_shedding.QueueState` of a service."""
        now = time.monotonic()
        usable = [t for t in self._table.list_targets(service) if t.is_usable(now)]
        return load_shedding.QueueState(
            slots=sum(target.slots for target in usable),
            free_slots=target_choice.count_online_capacity(usable, now),
            queued=self.count_waiting(service) + self.peers_waiting[service],
            mean_hold_s=self.mean_hold_s.get(service, INITIAL_HOLD_S),
        )

    def get_room(self, service):
        """Return the `overload.Room` of a service."""
        now = time.monotonic()
        listed = self._table.list_targets(service)
        usable = [target for target in listed if target.is_usable(now)]
        late = self.count_late(service) + self.overload.count_peers_late(service)
        return overload.Room(
            slots=sum(target.slots for target in usable),
            effective_slots=sum(t.slots * t.get_effective_speed(now) for t in usable),
            free_slots=target_choice.count_online_capacity(usable, now),
            hold_s=self.overload.get_usual_hold_s(service),
            in_time=self.count_waiting(service) + max(0, self.peers_waiting[service]),
            late=late,
            unseen=self._estimate_unseen_requests(service, usable),
            has_targets=bool(listed),
        )

    def observe_services(self):
        """Observe the room of services on shared hosts; call at regular intervals."""
        now = time.monotonic()
        for targets in self._table.list_by_service():
            service = targets[0].registration.service if targets else ""
            if self._table.has_shared_hosts(service):
                self.overload.observe(self.get_room(service), service, now)

    def has_shared_hosts(self, service):
        """Return whether targets of a service report the slowdown of their hosts."""
        return self._table.has_shared_hosts(service)

    def get_mean_hold_s(self, service):
        """Return the mean time that a slot is held now, in seconds."""
        return self.mean_hold_s.get(service, INITIAL_HOLD_S)

    def predict_retry(self, service, deadline_at, now):
        """Return when a caller could be served, and when it should come back.

        Args:
            service: Name of the service.
            deadline_at: Monotonic time at which the caller gives up.
            now: Monotonic time, in seconds.

        Returns:
            The expected wait and the delay before a retry in seconds. The delay is
            None if a retry is of no use.
        """
        left_s = deadline_at - self.get_mean_hold_s(service) - now
        room = self.get_room(service)
        return self.overload.predict_retry(room, service, left_s, now)

    def may_start_at_once(self, slot_request):
        """Return whether a request need not wait for others, if a slot is free."""
        service = slot_request.service
        now = time.monotonic()
        if not self._table.has_shared_hosts(service):
            return True
        if not overload.is_late(slot_request, now):
            return True
        room = self.get_room(service)
        room = dataclasses.replace(room, late=room.late + 1)
        return self.overload.count_late_starts(room, service, now) >= room.late

    def predict(self, slot_request):
        """Return the `overload_control.Prediction` of a request that has to wait."""
        room = self.get_room(slot_request.service)
        return self.overload.predict(room, slot_request, time.monotonic())

    def record_turned_away(self, fingerprint, first_at, now, ends_at):
        """Record a caller that is turned away, and report it to other entries.

        Args:
            fingerprint: Fingerprint of the request.
            first_at: Monotonic time of its first attempt.
            now: Monotonic time, in seconds.
            ends_at: Monotonic time at which the caller gives up.
        """
        self.overload.returning.record(fingerprint, first_at, now, ends_at)
        self._on_change()

    def build_overload_report(self):
        """Return the part of the load report that concerns overloads."""
        counts = {service: self.count_late(service) for service in self._queues}
        late = {service: count for service, count in counts.items() if count}
        return self.overload.build_report(late, time.monotonic())

    def try_acquire(self, slot_request, avoid=frozenset()):
        """Return an `AcquiredSlot`, or None if no slot is free or requests are queued.

        A request that lost its target bypasses the queue: its caller may have
        received part of the response, and the slot it held is free again.

        Args:
            slot_request: The `SlotRequest`.
            avoid: Identifiers of the targets that must not be chosen.
        """
        if not slot_request.lost_target and self.count_ahead(slot_request):
            return None
        slot = self._acquire(slot_request, avoid)
        if slot is not None:
            self._record_start(slot, slot_request)
        return slot

    def count_ahead(self, slot_request):
        """Return how many queued requests come before a new one, at all entries."""
        service = slot_request.service
        if not self.sharing.is_shared(service):
            return self.count_waiting(service) + max(0, self.peers_waiting[service])
        return self.sharing.count_ahead(slot_request, self._count_slots(service))

    def _record_start(self, slot, slot_request):
        """Count a slot that a request got to its workspace."""
        service = slot_request.service
        if self.sharing.is_shared(service):
            slot.workspace = slot_request.workspace
            self.sharing.record_start(slot_request)
        elif service in self._start_tags:
            self._start_tags[service].record_served(slot_request.start_tag)

    async def wait_for_slot(self, slot_request, avoid=frozenset()):
        """Queue a request; return its `AcquiredSlot`, or None at its wait deadline.

        Args:
            slot_request: The `SlotRequest`.
            avoid: Identifiers of the targets that must not be chosen.
        """
        future = asyncio.get_running_loop().create_future()
        tags = self._start_tags.setdefault(slot_request.service, fairness.StartTags())
        is_shared = self.sharing.is_shared(slot_request.service)
        if is_shared:
            slots = self._count_slots(slot_request.service)
            slot_request = self.sharing.add_queued(slot_request, slots)
        else:
            start_tag = tags.assign(slot_request.workspace, 1.0)
            slot_request = dataclasses.replace(slot_request, start_tag=start_tag)
        queue = self._queues.setdefault(slot_request.service, [])
        queue.append((slot_request, avoid, future))
        self._on_change()
        self.grant_share(slot_request.service)
        self._schedule_late_grant(slot_request.service)
        try:
            async with asyncio.timeout_at(
                self._to_loop_time(slot_request.wait_deadline)
            ):
                return await future
        except TimeoutError:
            # A slot may be granted in the loop iteration in which the wait times out.
            return future.result() if _is_granted(future) else None
        except asyncio.CancelledError:
            if _is_granted(future):
                future.result().release()
            raise
        finally:
            queue[:] = [waiter for waiter in queue if waiter[2] is not future]
            if not queue:
                tags.reset()
            if is_shared:
                self.sharing.remove_queued(slot_request, len(queue))

    def on_slot_released(self, slot):
        """Update the mean hold time and grant free slots to queued requests."""
        service = slot.target.registration.service
        held_s = time.monotonic() - slot.acquired_at
        mean_s = self.mean_hold_s.get(service, INITIAL_HOLD_S)
        self.mean_hold_s[service] = mean_s + HOLD_WEIGHT * (held_s - mean_s)
        speed = slot.target.get_effective_speed(time.monotonic())
        self.overload.record_hold(service, held_s * speed)
        if slot.workspace is not None:
            self.sharing.record_end(service, slot.workspace)
        if self._table.has_shared_hosts(service):
            self._grant_released(slot.target)
        else:
            self.grant_slots(service)
        self._on_change()

    def _grant_released(self, released):
        """Grant the slot just released at a target, unless others come first."""
        service = released.registration.service
        now = time.monotonic()
        self._update_order(service)
        if not self.count_waiting(service):
            return
        further_free = max(0, self.get_queue_state(service).free_slots - 1)
        releases = self._estimate_unseen_requests(
            service, self._table.list_targets(service)
        )
        if self.sharing.should_leave_slot(service, further_free, releases):
            self.grant_share(service)
        elif slot_handover.can_hand_over(released, now):
            self._hand_over(released, now)

    def _hand_over(self, released, now):
        """Give the slot just released at a target to the next request in time."""
        for waiter in self._order_in_time(released.registration.service, now):
            slot_request, avoid, future = waiter
            # A trial runs where a crash does the least harm.
            is_trial = slot_request.crashed_targets is not None
            if future.done() or released.id in avoid or is_trial:
                continue
            if not slot_request.fits(released):
                continue
            self._grant(waiter, AcquiredSlot(self, released))
            return

    def _order_in_time(self, service, now):
        """Return the queued requests that can be in time, in order."""
        is_overloaded = self.overload.update(self.get_room(service), service, now)
        queue = self._queues[service]
        eligible = overload.select_eligible([w[0] for w in queue], now)
        order = overload.order_in_time(
            [request for _, request in eligible], is_overloaded
        )
        return [queue[eligible[position][0]] for position, _ in order]

    def _grant(self, waiter, slot):
        slot_request, _, future = waiter
        self._queues[slot_request.service].remove(waiter)
        self._record_start(slot, slot_request)
        future.set_result(slot)

    def _update_order(self, service):
        """Update the start tags and ranks of the queued requests."""
        queue = self._queues.get(service)
        if not queue or not self.sharing.is_update_due(service):
            return
        mean_s = self.mean_hold_s.get(service, INITIAL_HOLD_S)
        slots = self._count_slots(service)
        updated = self.sharing.update(
            service, [waiter[0] for waiter in queue], slots, slots / mean_s
        )
        queue[:] = [
            (slot_request, *waiter[1:])
            for slot_request, waiter in zip(updated, queue, strict=True)
        ]

    def _count_slots(self, service):
        """Return the number of slots of all usable targets."""
        now = time.monotonic()
        targets = self._table.list_targets(service)
        return sum(target.slots for target in targets if target.is_usable(now))

    def has_version(self, service, software_version):
        """Return whether a listed target runs a version and is not draining."""
        if software_version is None:
            return False
        return self._table.has_version(service, software_version)

    def end_unservable_waits(self, service):
        """End the waits of requests whose software version no target runs any more."""
        for slot_request, _, future in self._queues.get(service, ()):
            needed = slot_request.software_version
            if needed is None or future.done():
                continue
            if not self._table.has_version(service, needed):
                future.set_result(None)

    def grant_share(self, service):
        """Grant this entry's share of the free slots to its queued requests.

        All entries see a slot that is freed elsewhere at the same time. If each of
        them sent a queued request to it, all but one of these requests would wait at
        the target, where they can no longer be assigned another slot.
        """
        own = self.count_waiting(service)
        now = time.monotonic()
        if not own:
            return
        if now < self._next_grant_at.get(service, 0.0):
            return
        others = max(0, self.peers_waiting[service])
        free = self.get_queue_state(service).free_slots
        if self.sharing.is_shared(service):
            self._update_order(service)
            limit = self.sharing.compute_limit(service, free)
        else:
            limit = batch_queue.compute_entry_share(free, own, others)
        if free:
            delay_s = self._get_propagation_delay_s()
            self._next_grant_at[service] = now + delay_s
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self.grant_share, service)
        self.grant_slots(service, limit)

    def grant_after_pause(self, target):
        """Grant slots to queued requests once a paused target takes work again."""
        pause_s = target.paused_until - time.monotonic()
        if 0 < pause_s < math.inf:
            loop = asyncio.get_running_loop()
            service = target.registration.service
            loop.call_later(pause_s, self.grant_share, service)

    def grant_slots(self, service, limit=None):
        """Grant free slots to queued requests, to at most `limit` of them.

        Late requests of services on shared hosts get slots in `_grant_late` only.
        """
        queue = self._queues.get(service)
        if not queue:
            return
        now = time.monotonic()
        if not self._table.has_shared_hosts(service):
            queue.sort(
                key=lambda waiter: request_order.compute_sort_key(waiter[0], now)
            )
            self._grant_in_order(list(queue), limit)
            return
        self._schedule_late_grant(service)
        self._grant_in_order(self._order_in_time(service, now), limit)

    def _grant_in_order(self, ordered, limit):
        for waiter in ordered:
            slot_request, avoid, future = waiter
            if future.done():
                continue
            if limit is not None and limit <= 0:
                return
            slot = self._acquire(slot_request, avoid)
            if slot is None and (avoid or slot_request.is_restricted):
                continue
            if slot is None:
                return
            if limit is not None:
                limit -= 1
            self._grant(waiter, slot)

    def _schedule_late_grant(self, service):
        if service in self._late_timers or not self._table.has_shared_hosts(service):
            return
        self._late_timers[service] = asyncio.get_running_loop().call_later(
            self._get_propagation_delay_s(), self._grant_late, service
        )

    def _grant_late(self, service):
        """Grant this entry's share of the room for late requests, then try again."""
        self._late_timers.pop(service, None)
        queue = self._queues.get(service)
        if not queue:
            return
        self._schedule_late_grant(service)
        now = time.monotonic()
        room = self.get_room(service)
        self.overload.update(room, service, now)
        late = [w for w in queue if overload.is_late(w[0], now) and not w[2].done()]
        if not late:
            return
        order = overload.order_late([waiter[0] for waiter in late])
        ordered = [late[position] for position in order]
        limit = batch_queue.compute_entry_share(
            self.overload.count_late_starts(room, service, now),
            len(late),
            self.overload.count_peers_late(service),
        )
        self._grant_in_order(ordered, limit)
        self._drop_unservable(room, service, ordered, now)

    def _drop_unservable(self, room, service, ordered, now):
        """End the wait of late requests that are not served any more."""
        queue = self._queues[service]
        eligible = overload.select_eligible([w[0] for w in queue], now)
        competing = {queue[position][2] for position, _ in eligible}
        left = [w for w in ordered if not w[2].done() and w[2] not in competing]
        requests = [waiter[0] for waiter in left]
        for position in self.overload.list_unservable(room, service, requests, now):
            left[position][2].set_result(None)

    def _acquire(self, slot_request, avoid):
        service = slot_request.service
        now = time.monotonic()
        selection = None
        if slot_request.software_version is None:
            targets = self._table.get_targets(service)
        else:
            targets = self._table.list_targets(service, slot_request.software_version)
        if slot_request.crashed_targets is not None:
            target = target_choice.choose_for_trial(
                targets, now, slot_request.crashed_targets
            )
        elif self._table.has_shared_hosts(service):
            selection = self._choice.choose(
                targets, self._describe_situation(slot_request, avoid, now)
            )
            target = None if selection is None else selection.target
        else:
            target = target_choice.choose_for_online(
                targets,
                now,
                self._failure_domain,
                avoid,
                self._estimate_unseen_requests(service, targets),
            )
        if target is None:
            return None
        slot = AcquiredSlot(self, target, selection)
        self._on_change()
        return slot

    def _describe_situation(self, slot_request, avoid, now):
        delay_s = self._get_propagation_delay_s()
        hold_s = self.mean_hold_s.get(slot_request.service, INITIAL_HOLD_S)
        return delay_choice.Situation(
            now,
            self._failure_domain,
            frozenset(avoid),
            # Failed requests hold slots for a moment only. Taken for the usual time,
            # it would mean far more requests of other entries than there are.
            max(hold_s, delay_s),
            delay_s,
            is_stream=slot_request.cost.prompt_tokens > 0,
        )

    def _estimate_unseen_requests(self, service, targets):
        """Return how many requests all entries send within the propagation delay.

        By Little's law the arrival rate is the number of running requests divided by
        the mean hold time.

        References:
            J. D. C. Little, "A proof for the queuing formula L = lambda W", 1961.
        """
        running = sum(target.total_online for target in targets)
        mean_s = self.mean_hold_s.get(service, INITIAL_HOLD_S)
        return running / mean_s * self._get_propagation_delay_s()

    def _to_loop_time(self, monotonic_at):
        loop = asyncio.get_running_loop()
        return loop.time() + monotonic_at - time.monotonic()


def _is_granted(future):
    return future.done() and not future.cancelled() and future.result() is not None
