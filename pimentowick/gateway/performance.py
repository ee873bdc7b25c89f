"""Observation of how fast targets work, and its exchange between entries.

Notes:
    Responses and the loads that come with them are recorded here; the estimates are
    those of `pimentowick.gateway.policy.target_speed`. What one entry observes goes to
    the others as new paces, not as its whole table, so that messages grow with the
    responses of a second and no entry holds a row for each pair of entry and target.
    A lost report only makes estimates a little older.
"""

import collections
import dataclasses
import math
import statistics
import time

from pimentowick.gateway import decision_log
from pimentowick.gateway.policy import target_speed

__all__ = ["EventTimes", "PerformanceMonitor"]

# Interval at which new paces are told to other entries.
REPORT_INTERVAL_S = 0.5
# Reports may be lost or overtaken, so that paces are told more than once.
REPEAT_S = 0.1
# A slowdown is told while it is worth more than that of an unknown target.
SLOWDOWN_REPORT_S = 0.4
MIN_TOLD_SLOWDOWN = 1.25
# Weight of the newest response in the mean pace of a route.
ROUTE_WEIGHT = 0.05
# A change of speed beyond this factor is logged.
LOGGED_FACTOR = 1.6
MIN_EVENTS = 4
PACE_DIGITS = 2


@dataclasses.dataclass(slots=True)
class EventTimes:
    """Times of the events of one run, as they arrive.

    Attributes:
        first_at: Monotonic time of the first event, or None.
        last_at: Monotonic time of the last event, or None.
        count: Number of events.
    """

    first_at: float | None = None
    last_at: float | None = None
    count: int = 0

    def record(self, count, now):
        """Record the arrival of some events."""
        if not count:
            return
        if self.first_at is None:
            self.first_at = now
        self.last_at = now
        self.count += count

    def compute_interval_s(self):
        """Return the mean time between events, or None if they are too few."""
        if self.count < MIN_EVENTS:
            return None
        return (self.last_at - self.first_at) / (self.count - 1)


class PerformanceMonitor:
    """Estimates the speeds of targets from the responses that any entry receives.

    Args:
        table: `pimentowick.gateway.target.TargetTable`.
    """

    def __init__(self, table):
        self._table = table
        self._route_paces = {}
        self._new_paces = collections.defaultdict(list)
        self._told_paces = {}
        self._own_slowdowns = {}
        self._serial = 0
        self._next_report_at = 0.0
        self._repeat_until = 0.0
        self._peer_serials = {}
        self._logged_speeds = {}

    def record_load(self, target, load, now=None):
        """Record the `target.ReportedLoad` that came with a response, if any."""
        if load is None:
            return
        target.record_load(load, time.monotonic() if now is None else now)
        if load.slowdown is None:
            return
        self._table.record_shared_hosts(target.registration.service)
        if max(target.slowdown, target.former_slowdown) >= MIN_TOLD_SLOWDOWN:
            self._own_slowdowns[target.run_id] = target

    def record_duration(self, target, route_name, duration_s, now):
        """Record the time of a response, or of one of its events.

        Args:
            target: The `pimentowick.gateway.target.Target`.
            route_name: Name of the route; paces are relative to its mean.
            duration_s: The time in seconds, or None if it is not known.
            now: Monotonic time, in seconds.
        """
        service = target.registration.service
        if not duration_s or not self._table.has_shared_hosts(service):
            return
        measured = math.log(duration_s)
        key = (service, route_name)
        mean = self._route_paces.get(key, measured)
        self._route_paces[key] = mean + ROUTE_WEIGHT * (measured - mean)
        pace = measured - mean
        target.pace.record(pace, 1, now)
        self._new_paces[target.run_id].append(pace)

    def update_speeds(self, now):
        """Recompute the relative speeds of all targets."""
        for targets in self._table.list_by_service():
            if not targets:
                continue
            if not self._table.has_shared_hosts(targets[0].registration.service):
                continue
            speeds = target_speed.compute_relative_speeds(
                {listed: listed.pace for listed in targets}, now
            )
            for listed, speed in speeds.items():
                listed.relative_speed = speed
                self._log_change(listed)
        for target_id in self._logged_speeds.keys() - self._table.by_id.keys():
            del self._logged_speeds[target_id]

    def _log_change(self, target):
        logged = self._logged_speeds.get(target.id, 1.0)
        change = target.relative_speed / logged
        if 1 / LOGGED_FACTOR < change < LOGGED_FACTOR:
            return
        self._logged_speeds[target.id] = target.relative_speed
        decision_log.log_event(
            "target.speed",
            target=target.id,
            speed=target.relative_speed,
            before=logged,
            responses=target.pace.weight,
        )

    def build_report(self, now):
        """Return what to tell other entries: new paces and current slowdowns."""
        if self._new_paces and now >= self._next_report_at:
            self._serial += 1
            self._told_paces = {
                run_id: [len(paces), round(statistics.fmean(paces), PACE_DIGITS)]
                for run_id, paces in self._new_paces.items()
            }
            self._new_paces.clear()
            self._next_report_at = now + REPORT_INTERVAL_S
            self._repeat_until = now + REPEAT_S
        report = {}
        if self._told_paces and now <= self._repeat_until:
            report["serial"] = self._serial
            report["paces"] = self._told_paces
        slowdowns = self._list_slowdowns(now)
        if slowdowns:
            report["slowdowns"] = slowdowns
        return report

    def _list_slowdowns(self, now):
        """Return the slowdowns that targets told this entry lately, with their ages."""
        rows = {}
        for run_id, listed in list(self._own_slowdowns.items()):
            age_s = now - listed.slowdown_at
            if not listed.has_own_slowdown or age_s > SLOWDOWN_REPORT_S:
                del self._own_slowdowns[run_id]
                continue
            rows[run_id] = [
                round(listed.slowdown, PACE_DIGITS),
                round(age_s, PACE_DIGITS),
            ]
        return rows

    def merge_report(self, address, report, now):
        """Apply what another entry told.

        Raises:
            ValueError, TypeError, AttributeError: The report is malformed.
        """
        serial = int(report.get("serial", 0))
        if serial and self._peer_serials.get(address) != serial:
            self._peer_serials[address] = serial
            for run_id, (count, pace) in report.get("paces", {}).items():
                listed = self._find_run(run_id)
                if listed is not None:
                    listed.pace.record(float(pace), max(1, int(count)), now)
        for run_id, (slowdown, age_s) in report.get("slowdowns", {}).items():
            listed = self._find_run(run_id)
            if listed is not None:
                told_at = now - max(0.0, float(age_s))
                listed.record_slowdown(float(slowdown), told_at, is_own=False)

    def remove_peer(self, address):
        """Forget the serial of an entry, which may count anew after a restart."""
        self._peer_serials.pop(address, None)

    def _find_run(self, run_id):
        """Return the listed target of a run, or None; another run is not meant."""
        target_id = run_id.rpartition("@")[0] or run_id
        listed = self._table.by_id.get(target_id) or self._table.by_id.get(run_id)
        if listed is None or listed.run_id != run_id:
            return None
        self._table.record_shared_hosts(listed.registration.service)
        return listed
