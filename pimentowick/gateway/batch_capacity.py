"""Number of batch items that may start beside the online requests of a service."""

import time

from pimentowick.gateway import decision_log
from pimentowick.gateway.policy import batch_headroom, target_choice

__all__ = ["BatchCapacity"]

LOG_INTERVAL_S = 1.0


class BatchCapacity:
    """Counts the slots for batch items, with a headroom learned from the online load.

    Args:
        table: `pimentowick.gateway.target.TargetTable`.

    Attributes:
        estimate_sends: Function from a service to the number of online requests that
            all entries send before they hear of each other.
    """

    def __init__(self, table):
        self._table = table
        self._headrooms = {}
        self._next_log_at = {}
        self.estimate_sends = lambda service: 1.0

    def observe(self, now):
        """Record the online load of the services whose targets share their hosts."""
        for targets in self._table.list_by_service():
            if not targets:
                continue
            service = targets[0].registration.service
            if self._table.has_shared_hosts(service):
                headroom = self._get_headroom(service)
                headroom.record_load(sum(each.total_online for each in targets), now)

    def count(self, service, items, now):
        """Return how many more batch items of a service may start.

        Args:
            service: Name of the service.
            items: Its queued items, with `due_at` (Unix time) and `remaining_s`.
            now: Monotonic time, in seconds.
        """
        targets = self._table.list_targets(service)
        if not self._table.has_shared_hosts(service):
            return target_choice.count_batch_capacity(targets, now)
        slots = sum(each.slots for each in targets if each.is_usable(now))
        sends = self.estimate_sends(service)
        is_urgent = batch_headroom.is_urgent(items, time.time())
        headroom = self._get_headroom(service).compute(slots, sends, is_urgent)
        capacity = target_choice.count_batch_capacity(targets, now, headroom)
        if now >= self._next_log_at.get(service, 0.0):
            self._next_log_at[service] = now + LOG_INTERVAL_S
            decision_log.log_event(
                "batch.headroom",
                service=service,
                headroom=headroom,
                slots=slots,
                online=sum(each.total_online for each in targets),
                sends=sends,
                urgent=is_urgent,
                queued=len(items),
                may_start=capacity,
            )
        return capacity

    def _get_headroom(self, service):
        return self._headrooms.setdefault(service, batch_headroom.BatchHeadroom())
