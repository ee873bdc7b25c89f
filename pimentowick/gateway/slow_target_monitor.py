"""Observation of targets that work far too slowly, and of overdue first events.

Notes:
    The decision is that of `pimentowick.gateway.policy.slow_target`. A response of a
    slow target takes seconds, so that its pace is also taken halfway. Overdue first
    events are counted by run of a target, and the counts exchanged in load reports like
    those of failures.
"""

import contextlib
import time

from pimentowick.gateway import decision_log
from pimentowick.gateway.policy import outlier_detection, slow_target, target_speed

__all__ = ["SlowTargetMonitor"]


class SlowTargetMonitor:
    """Finds slow targets of services on shared hosts.

    Args:
        table: `pimentowick.gateway.target.TargetTable`.
        performance: `pimentowick.gateway.performance.PerformanceMonitor`.
        failure_domain: Failure domain of this entry.
    """

    def __init__(self, table, performance, failure_domain):
        self._table = table
        self._performance = performance
        self._overdue = outlier_detection.OutlierDetection(failure_domain)
        self._services = {}

    @contextlib.contextmanager
    def watch(self, slot, route_name, objective_s, get_event_times, call_later):
        """Observe a stream at a target until it ends.

        Args:
            slot: The `pimentowick.gateway.admission.AcquiredSlot`.
            route_name: Name of the route.
            objective_s: Time within which its caller expects the first event.
            get_event_times: Function that returns its `performance.EventTimes`.
            call_later: `asyncio.loop.call_later` or equivalent.
        """
        target = slot.target
        if not self._table.has_shared_hosts(target.registration.service):
            yield
            return
        # Requests that queue there are overdue at a target of any speed.
        seemed_free = slot.online_at_start + slot.batch_at_start < target.slots / 2
        is_checked = False

        def check():
            nonlocal is_checked
            is_checked = True
            now = time.monotonic()
            times = get_event_times()
            if times.count:
                # On average half an interval has passed since the last event.
                interval_s = (now - times.first_at) / (times.count - 0.5)
                self._performance.record_duration(target, route_name, interval_s, now)
            if seemed_free:
                self.record_first_event(target.run_id, bool(times.count), now)

        handle = call_later(objective_s, check)
        try:
            yield
        finally:
            handle.cancel()
            if seemed_free and not is_checked and get_event_times().count:
                self.record_first_event(target.run_id, True, time.monotonic())

    def record_first_event(self, run_id, is_in_time, now):
        """Record whether the first event of a stream came in time."""
        self._overdue.record_outcome(run_id, is_in_time, now)

    def build_report(self, now):
        """Return what to tell other entries: [overdue, in time] by run of a target."""
        return self._overdue.build_report(now)

    def merge_report(self, address, report):
        """Replace the counts of another entry; an empty report removes them.

        Raises:
            ValueError, TypeError, AttributeError: The report is malformed.
        """
        rows = {
            str(run_id): (float(overdue), float(in_time))
            for run_id, (overdue, in_time) in report.items()
        }
        self._overdue.update_peer(address, "", rows)

    def update(self, now):
        """Decide anew which targets get no new work; return whether any changed."""
        changed = False
        for targets in self._table.list_by_service():
            if not targets:
                continue
            service = targets[0].registration.service
            if self._table.has_shared_hosts(service):
                changed |= self._update_service(service, targets, now)
        return changed

    def _update_service(self, service, targets, now):
        policy = self._services.setdefault(service, slow_target.SlowTargets())
        overdue = self._overdue.count_failures([each.run_id for each in targets], now)
        observations = {
            each.run_id: slow_target.Observation(
                each.relative_speed,
                each.pace.weight,
                target_speed.HALF_LIFE_S,
                overdue.get(each.run_id, 0.0),
            )
            for each in targets
        }
        ejected = sum(each.ejected for each in targets)
        slow = policy.update(observations, now, ejected)
        changed = [each for each in targets if each.is_slow != (each.run_id in slow)]
        for listed in changed:
            listed.is_slow = not listed.is_slow
            decision_log.log_event(
                "target.slow" if listed.is_slow else "target.resumed",
                target=listed.id,
                speed=listed.relative_speed,
                responses=listed.pace.weight,
                overdue=overdue.get(listed.run_id, 0.0),
                rest_s=policy.get_rest_s(listed.run_id, now),
                slow=len(slow),
                targets=len(targets),
            )
        return bool(changed)
