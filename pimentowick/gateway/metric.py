"""Metrics of this entry, in the Prometheus text format.

To bound the number of time series, no label holds a request, job, key or target.
Workspace names appear only as labels of refusals, and only a limited number of them.
"""

import dataclasses

import aioprometheus
from aioprometheus import renderer

__all__ = ["HostState", "Metrics", "State"]

MAX_NAMED_WORKSPACES = 20
# Label that all further workspaces share.
OTHER_WORKSPACES = "(others)"
PHASE_BUCKETS_S = [0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0]


@dataclasses.dataclass(frozen=True, slots=True)
class HostState:
    """Use of the entry's own host at the time of a scrape.

    Attributes:
        uses: The `resource_level.Use` by `resource_level.Resource`.
        levels: The `resource_level.Level` by `resource_level.Resource`.
        loop_delay_s: Delay of the event loop, in seconds.
        held_bytes: Bytes held for callers by `memory_budget.Kind`.
        capacity_bytes: Bytes that may be held, or None without a limit.
        caller_connections: Number of open connections of callers.
        target_connections: Number of open connections to targets.
        opened: Number of connections to targets opened so far.
        events: Number of times that a limit took effect so far, by what was done.
    """

    uses: dict
    levels: dict
    loop_delay_s: float
    held_bytes: dict
    capacity_bytes: float | None
    caller_connections: int
    target_connections: int
    opened: int
    events: dict


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of an entry at the time of a scrape.

    Attributes:
        ages_s: Seconds since each topic was last known to be read to its end.
        slots: Slots of all usable targets.
        free_slots: Number of those without an online request.
        waiting: Online requests queued at this entry.
        targets: Number of listed targets.
        ejected: Number of targets ejected by outlier detection.
        slow: Number of targets that get no new work because they are too slow.
        open_jobs: Number of jobs with unfinished items.
        open_requests: Number of callers' requests being answered.
        store_calls: Number of calls to the store by name.
        store_bytes: Bytes sent and received by (name of the call, direction).
        dropped_lines: Number of log lines dropped.
        quota_share: Share of each workspace's rate limit that this entry refills.
        quota_workspaces: Number of workspaces with an active token bucket.
        suspects: Number of requests under which targets crashed lately.
        quarantined: Number of those that run only as trials.
        quarantined_parts: Number of parts of prompts whose requests do.
        host: The `HostState`.
        workspaces: A `pimentowick.gateway.queue_sharing.WorkspaceState` for each busy
            workspace of the services that share one queue, the busiest first.
    """

    ages_s: dict
    slots: int
    free_slots: int
    waiting: int
    targets: int
    ejected: int
    slow: int
    open_jobs: int
    open_requests: int
    store_calls: dict
    store_bytes: dict
    dropped_lines: int
    quota_share: float
    quota_workspaces: int
    suspects: int
    quarantined: int
    quarantined_parts: int
    host: HostState
    workspaces: list


class Metrics:
    """The metrics registry of an entry."""

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self._requests = self._make_counter(
            "pimentowick_gateway_requests_total",
            "Online requests by kind, outcome and status.",
        )
        self._phases = aioprometheus.Histogram(
            "pimentowick_gateway_phase_seconds",
            "Time by kind and phase of an answer: queue, first_event, pause, whole.",
            registry=self.registry,
            buckets=PHASE_BUCKETS_S,
        )
        self._retries = self._make_counter(
            "pimentowick_gateway_retries_total", "Further targets for one request."
        )
        self._lost_runs = self._make_counter(
            "pimentowick_gateway_lost_runs_total",
            "Runs whose target broke off, by kind and whether an event had arrived.",
        )
        self._responses = self._make_counter(
            "pimentowick_gateway_target_responses_total",
            "Responses of targets by the request that they name (own, none, other), "
            "use (complete, not_run, incomplete, stray) and connection (new, kept, "
            "repeated).",
        )
        self._quarantine_events = self._make_counter(
            "pimentowick_gateway_quarantine_events_total",
            "Changes of the quarantine by event: opened, trial, released.",
        )
        self._quarantine = self._make_gauge(
            "pimentowick_gateway_quarantine",
            "What targets crashed under by state: suspect, quarantined, "
            "quarantined_part.",
        )
        self._taken_up = self._make_counter(
            "pimentowick_gateway_taken_up_streams_total",
            "Streams that callers take up by outcome: known, unknown, "
            "stream_version_gone.",
        )
        self._refusals = self._make_counter(
            "pimentowick_gateway_refusals_total",
            "Refused requests by code and verdict.",
        )
        self._turned_away = self._make_counter(
            "pimentowick_gateway_turned_away_total",
            "Requests refused in an overload by reason and whether they had returned.",
        )
        self._late_starts = self._make_counter(
            "pimentowick_gateway_late_starts_total",
            "Requests that started too late for their objective after an overload.",
        )
        self._workspace_refusals = self._make_counter(
            "pimentowick_gateway_workspace_refusals_total",
            "Refused requests by workspace and code, the first workspaces by name.",
        )
        self._named_workspaces = set()
        self._workspace_waiting = self._make_gauge(
            "pimentowick_gateway_workspace_waiting_requests",
            "Online requests that wait here by workspace, the busiest by name.",
        )
        self._workspace_served = self._make_counter(
            "pimentowick_gateway_workspace_served_total",
            "Online requests that got a slot here by workspace, the busiest by name.",
        )
        self._workspace_room = self._make_gauge(
            "pimentowick_gateway_workspace_room_share",
            "Part of the slots held at all entries by workspace, the busiest by name.",
        )
        self._shown_workspaces = set()
        self._quota_share = self._make_gauge(
            "pimentowick_gateway_quota_share",
            "Which part of each workspace's limit is refilled here.",
        )
        self._quota_workspaces = self._make_gauge(
            "pimentowick_gateway_quota_workspaces",
            "Workspaces whose requests are counted now.",
        )
        self._items = self._make_counter(
            "pimentowick_gateway_items_total", "Runs of batch items by outcome."
        )
        self._store_calls = self._make_counter(
            "pimentowick_gateway_store_calls_total", "Calls of the store by name."
        )
        self._store_bytes = self._make_counter(
            "pimentowick_gateway_store_bytes_total",
            "Bytes to and from the store by name of the call and direction.",
        )
        self._dropped_lines = self._make_counter(
            "pimentowick_gateway_dropped_lines_total", "Lines of the log left out."
        )
        self._ages = self._make_gauge(
            "pimentowick_gateway_age_seconds",
            "Age of what is known, by topic: configuration, targets, entries, jobs.",
        )
        self._slots = self._make_gauge(
            "pimentowick_gateway_places",
            "Places of all usable targets by state: all, free of online requests.",
        )
        self._waiting = self._make_gauge(
            "pimentowick_gateway_waiting_requests", "Online requests that wait here."
        )
        self._targets = self._make_gauge(
            "pimentowick_gateway_targets", "Targets by state: listed, ejected, slow."
        )
        self._open_jobs = self._make_gauge(
            "pimentowick_gateway_open_jobs", "Jobs with items that may still run."
        )
        self._open_requests = self._make_gauge(
            "pimentowick_gateway_open_requests", "Requests that are not answered yet."
        )
        self._make_host_metrics()
        self._reported = {}

    def _make_host_metrics(self):
        self._use = self._make_gauge(
            "pimentowick_gateway_resource_use",
            "Use of the host by resource, as a share of its limit.",
        )
        self._level = self._make_gauge(
            "pimentowick_gateway_resource_level",
            "Level by resource: 0 normal, 1 high, 2 critical.",
        )
        self._loop_delay = self._make_gauge(
            "pimentowick_gateway_loop_delay_seconds", "Delay of the event loop."
        )
        self._held_bytes = self._make_gauge(
            "pimentowick_gateway_held_bytes",
            "Bytes held for callers: request, response, unread; and the capacity.",
        )
        self._connections = self._make_gauge(
            "pimentowick_gateway_connections", "Open connections by peer."
        )
        self._opened = self._make_counter(
            "pimentowick_gateway_target_connections_total",
            "Connections to targets opened.",
        )
        self._limit_events = self._make_counter(
            "pimentowick_gateway_limit_events_total",
            "Effects of limits: response paused, reader ended, connection rejected "
            "or closed.",
        )

    def _make_counter(self, name, text):
        return aioprometheus.Counter(name, text, registry=self.registry)

    def _make_gauge(self, name, text):
        return aioprometheus.Gauge(name, text, registry=self.registry)

    def count_request(self, kind, outcome, status, phases):
        """Count a finished online request.

        Args:
            kind: The `pimentowick.gateway.route.Kind`.
            outcome: Short reason of the end.
            status: Status of the response, 0 without one.
            phases: Seconds by phase; None for a phase that was not reached.
        """
        labels = {"kind": str(kind), "outcome": outcome, "status": str(status)}
        self._requests.inc(labels)
        for phase, seconds in phases.items():
            if seconds is not None:
                self._phases.add({"kind": str(kind), "phase": phase}, seconds)

    def count_retry(self):
        """Count a retry of an online request."""
        self._retries.inc({})

    def count_lost_run(self, kind, has_events):
        """Count a run at a target that broke off.

        Args:
            kind: The `pimentowick.gateway.route.Kind`.
            has_events: Whether an event of the run had arrived.
        """
        labels = {"kind": str(kind), "events": "some" if has_events else "none"}
        self._lost_runs.inc(labels)

    def count_responses(self, outcome):
        """Count the responses that were read for one request to a target.

        Args:
            outcome: The `upstream.Outcome`.
        """
        received = outcome.received
        if received is None:
            return
        history = received.history
        for naming in received.strays:
            self._responses.inc(
                {"names": str(naming), "use": "stray", "connection": history}
            )
        if received.naming is None:
            return
        use = outcome.end.name.lower()
        self._responses.inc(
            {"names": str(received.naming), "use": use, "connection": history}
        )

    def count_quarantine(self, event):
        """Count a change: opened, trial, released or withdrawn."""
        self._quarantine_events.inc({"event": event})

    def count_taken_up(self, outcome):
        """Count a stream that a caller takes up.

        Args:
            outcome: ``known``, ``unknown``, ``lost`` or ``stream_version_gone``.
        """
        self._taken_up.inc({"outcome": outcome})

    def count_refusal(self, refusal, workspace=None):
        """Count a refused request.

        Args:
            refusal: The `pimentowick.verdict.Refusal`.
            workspace: Name of the caller's workspace, or None if unknown.
        """
        self._refusals.inc({"code": refusal.code, "verdict": str(refusal.verdict)})
        if workspace is None:
            return
        if len(self._named_workspaces) < MAX_NAMED_WORKSPACES:
            self._named_workspaces.add(workspace)
        name = workspace if workspace in self._named_workspaces else OTHER_WORKSPACES
        self._workspace_refusals.inc({"workspace": name, "code": refusal.code})

    def count_turned_away(self, reason, has_returned):
        """Count a request that was refused in an overload.

        Args:
            reason: Short reason of the refusal.
            has_returned: Whether its caller was turned away before.
        """
        labels = {"reason": reason, "returned": "yes" if has_returned else "no"}
        self._turned_away.inc(labels)

    def count_late_start(self, kind):
        """Count a request that got a slot too late for its objective."""
        self._late_starts.inc({"kind": str(kind)})

    def count_item(self, outcome):
        """Count a finished run of a batch item."""
        self._items.inc({"outcome": outcome})

    def set_state(self, state):
        """Set the gauges and advance the counters that are kept elsewhere.

        Args:
            state: A `State`.
        """
        for name, age_s in state.ages_s.items():
            self._ages.set({"topic": name}, age_s)
        self._slots.set({"state": "all"}, state.slots)
        self._slots.set({"state": "free"}, state.free_slots)
        self._waiting.set({}, state.waiting)
        self._targets.set({"state": "listed"}, state.targets)
        self._targets.set({"state": "ejected"}, state.ejected)
        self._targets.set({"state": "slow"}, state.slow)
        self._quarantine.set({"state": "suspect"}, state.suspects)
        self._quarantine.set({"state": "quarantined"}, state.quarantined)
        self._quarantine.set({"state": "quarantined_part"}, state.quarantined_parts)
        self._open_jobs.set({}, state.open_jobs)
        self._quota_share.set({}, state.quota_share)
        self._quota_workspaces.set({}, state.quota_workspaces)
        self._open_requests.set({}, state.open_requests)
        for name, count in state.store_calls.items():
            self._advance(self._store_calls, {"call": name}, count)
        for (name, direction), count in state.store_bytes.items():
            labels = {"call": name, "direction": direction}
            self._advance(self._store_bytes, labels, count)
        self._advance(self._dropped_lines, {}, state.dropped_lines)
        self._set_host_state(state.host)
        self._set_workspaces(state.workspaces)

    def _set_host_state(self, host):
        for resource, use in host.uses.items():
            if use.limit is not None:
                self._use.set({"resource": str(resource)}, use.share)
        for resource, level in host.levels.items():
            self._level.set({"resource": str(resource)}, int(level))
        self._loop_delay.set({}, host.loop_delay_s)
        for kind, size in host.held_bytes.items():
            self._held_bytes.set({"kind": str(kind)}, size)
        if host.capacity_bytes is not None:
            self._held_bytes.set({"kind": "capacity"}, host.capacity_bytes)
        self._connections.set({"peer": "callers"}, host.caller_connections)
        self._connections.set({"peer": "targets"}, host.target_connections)
        self._advance(self._opened, {}, host.opened)
        for event, count in host.events.items():
            self._advance(self._limit_events, {"event": event}, count)

    def _set_workspaces(self, states):
        """Set the gauges of the busiest workspaces by name, and of the rest as one."""
        rows = {name: (0, 0, 0.0) for name in self._shown_workspaces}
        for state in states:
            is_known = state.name in self._shown_workspaces
            if not is_known and len(self._shown_workspaces) < MAX_NAMED_WORKSPACES:
                self._shown_workspaces.add(state.name)
                is_known = True
            name = state.name if is_known else OTHER_WORKSPACES
            row = (state.waiting, state.served, state.room_share)
            known = rows.get(name, (0, 0, 0.0))
            rows[name] = tuple(map(sum, zip(known, row, strict=True)))
        for name, (waiting, served, room_share) in rows.items():
            self._workspace_waiting.set({"workspace": name}, waiting)
            self._workspace_served.add({"workspace": name}, served)
            self._workspace_room.set({"workspace": name}, room_share)

    def _advance(self, counter, labels, total):
        """Advance a counter to a total that is counted elsewhere."""
        key = (counter.name, *labels.values())
        counter.add(labels, total - self._reported.get(key, 0))
        self._reported[key] = total

    def render(self):
        """Return the body and the headers of the metrics page."""
        return renderer.render(self.registry, ["text/plain"])
