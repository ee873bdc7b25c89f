"""State of the decisions under overload, by service, and its exchange between entries.

Notes:
    Used only for services on shared hosts. Each entry observes hold times and latencies
    of its own requests. Entries tell each other how many late requests wait, and whom
    they turned away; a lost report makes late requests start a little too early, and
    some retries count as new requests.
"""

import collections
import dataclasses

from pimentowick.gateway import decision_log
from pimentowick.gateway.policy import (
    latency_quantile,
    load_shedding,
    overload,
    retry_budget,
    retry_delay,
    returning_callers,
)

__all__ = ["OverloadControl", "Prediction"]

INITIAL_HOLD_S = 0.5
# Weight of the newest request in the moving average of the hold time.
HOLD_WEIGHT = 0.05
# A request is late once it is more likely than not to miss its objective.
START_QUANTILE = 0.5
MIN_HOLD_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Prediction:
    """How a request that has to wait is expected to be served.

    Attributes:
        prospect: The `overload.Prospect`.
        expected_s: Expected wait, in seconds.
        room: The `overload.Room` that it was estimated from.
        is_overloaded: Whether the service was overloaded.
    """

    prospect: overload.Prospect
    expected_s: float
    room: overload.Room
    is_overloaded: bool


class OverloadControl:
    """What an entry learned of the overloads of each service.

    Attributes:
        returning: The `returning_callers.ReturningCallers`.
        retry_budget: The `retry_budget.RetryBudget`.
    """

    def __init__(self):
        self.returning = returning_callers.ReturningCallers()
        self.retry_budget = retry_budget.RetryBudget()
        self._states = collections.defaultdict(overload.OverloadState)
        self._hold_s = {}
        self._latencies = {}
        self._slack_s = {}
        self._peers_late = {}
        self._heard_at = None

    def record_hold(self, service, hold_s):
        """Record for how long a request held a slot, at the usual speed."""
        mean_s = self.get_usual_hold_s(service)
        mean_s += HOLD_WEIGHT * (hold_s - mean_s)
        self._hold_s[service] = max(MIN_HOLD_S, mean_s)

    def get_usual_hold_s(self, service):
        """Return for how long a request holds a slot of usual speed, in seconds."""
        return self._hold_s.get(service, INITIAL_HOLD_S)

    def record_latency(self, service, kind, latency_s):
        """Record the time from sending a request that had waited to its first event."""
        self._get_latency(service, kind).record(latency_s)

    def estimate_latency_s(self, service, kind, objective_s):
        """Return the time to the first event that half of the requests need at most.

        It is at most half of the objective, so that a new request is not late at once.
        """
        latency_s = self._get_latency(service, kind).estimate(START_QUANTILE)
        return min(latency_s, objective_s / 2)

    def _get_latency(self, service, kind):
        key = (service, kind)
        if key not in self._latencies:
            self._latencies[key] = latency_quantile.LatencyQuantile(
                load_shedding.FIRST_EVENT_LATENCY_S
            )
        return self._latencies[key]

    def predict(self, room, slot_request, now):
        """Return the `Prediction` of a request that has to wait."""
        service = slot_request.service
        slack_s = max(0.0, slot_request.start_deadline - now)
        if not slot_request.is_return:
            self._slack_s[service] = slack_s
        is_overloaded = self.update(room, service, now)
        state = self._states[service]
        prospect, expected_s = state.predict(room, slot_request, now)
        return Prediction(prospect, expected_s, room, is_overloaded)

    def update(self, room, service, now):
        """Observe the room of a service; return whether it is overloaded."""
        state = self._states[service]
        if state.update(room, self._slack_s.get(service, 0.0), now):
            decision_log.log_event(
                "overload.began" if state.is_overloaded else "overload.ended",
                service=service,
                places=room.slots,
                room_per_s=overload.compute_room_per_s(room),
                waiting=room.in_time,
                late=room.late,
                usual_s=state.usual_duration_s,
                usual_calm_s=state.usual_calm_s,
            )
        return state.is_overloaded

    def observe(self, room, service, now):
        """Observe the room of a service; called at regular intervals."""
        self.update(room, service, now)
        self._states[service].observe_load(room)

    def count_late_starts(self, room, service, now):
        """Return how many late requests all entries together may start now."""
        return self._states[service].count_late_starts(room, now)

    def list_unservable(self, room, service, late, now):
        """Return the positions of late requests that are not served any more.

        Args:
            room: The `overload.Room`.
            service: Name of the service.
            late: Late requests queued here, in the order to start them.
            now: Monotonic time, in seconds.
        """
        peers_late = self.count_peers_late(service)
        return self._states[service].list_unservable(room, late, peers_late, now)

    def predict_retry(self, room, service, left_s, now):
        """Return when a caller is expected to be served, and when to come back.

        Args:
            room: The `overload.Room`.
            service: Name of the service.
            left_s: Time until a start is of no use to the caller, in seconds.
            now: Monotonic time, in seconds.

        Returns:
            The expected wait and the delay before a retry in seconds. The delay is
            None if a retry is of no use.
        """
        # A caller that returns goes before other late requests.
        state = self._states[service]
        expected_s = state.estimate_late_wait_s(room, room.in_time, now)
        delay_s = retry_delay.compute_retry_after(
            expected_s,
            1 + self.returning.count_recent(now),
            overload.compute_room_per_s(room),
            left_s,
        )
        return expected_s, delay_s

    def get_report_age_s(self, now):
        """Return the seconds since another entry was heard of, or None."""
        return None if self._heard_at is None else now - self._heard_at

    def count_peers_late(self, service):
        """Return the number of late requests queued at other entries."""
        return sum(counts.get(service, 0) for counts in self._peers_late.values())

    def build_report(self, late, now):
        """Return what to tell other entries; empty without anything to tell.

        Args:
            late: Number of late requests queued here, by service.
            now: Monotonic time, in seconds.
        """
        rows = {"late": late, "turned_away": self.returning.build_report(now)}
        return {name: row for name, row in rows.items() if row}

    def merge_report(self, address, report, now):
        """Apply what another entry told.

        Raises:
            ValueError, TypeError, AttributeError: The report is malformed.
        """
        late = {
            str(name): max(0, int(count))
            for name, count in report.get("late", {}).items()
        }
        self.returning.merge(report.get("turned_away", {}), now)
        self._heard_at = now
        if late:
            self._peers_late[address] = late
        else:
            self._peers_late.pop(address, None)

    def remove_peer(self, address):
        """Forget the late requests of an entry that is gone or silent."""
        self._peers_late.pop(address, None)
