"""Counters and histograms of this entry, in the Prometheus text format.

Units stand in the names; no label holds a request, a job, a key or a target. Names of
workspaces are labels of refusals only, and no more than a few of them.
"""

import dataclasses

import aioprometheus
from aioprometheus import renderer

__all__ = ["Metrics", "State"]

# The objectives seen lie between 0.3 and 1 s, callers' patience below 6 s.
# Workspaces that are counted by name; all others are counted as one.
NAMED_WORKSPACES = 20
OTHER_WORKSPACES = "(others)"
PHASE_BUCKETS_S = [0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0]


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """What an entry knows as its metrics are asked for.

    Attributes:
        ages_s: Seconds since the state of each topic was known to be complete.
        places: Places of all usable targets.
        free: Those without an online request.
        waiting: Online requests that wait here.
        targets: Number of targets that are listed.
        ejected: Number of those that rest, since they fail what they get.
        open_jobs: Number of jobs with items that may still run.
        open_requests: Number of requests that are not answered yet.
        store_calls: Calls of the store by name.
        store_bytes: Bytes by name of the call and direction.
        dropped_lines: Lines of the log that were left out.
        quota_share: Which part of each workspace's limit is refilled here.
        quota_workspaces: Number of workspaces whose requests are counted now.
    """

    ages_s: dict
    places: int
    free: int
    waiting: int
    targets: int
    ejected: int
    open_jobs: int
    open_requests: int
    store_calls: dict
    store_bytes: dict
    dropped_lines: int
    quota_share: float
    quota_workspaces: int


class Metrics:
    """What an entry counts."""

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
        self._refusals = self._make_counter(
            "pimentowick_gateway_refusals_total",
            "Refused requests by code and verdict.",
        )
        self._workspace_refusals = self._make_counter(
            "pimentowick_gateway_workspace_refusals_total",
            "Refused requests by workspace and code, the first workspaces by name.",
        )
        self._named = set()
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
        self._dropped = self._make_counter(
            "pimentowick_gateway_dropped_lines_total", "Lines of the log left out."
        )
        self._ages = self._make_gauge(
            "pimentowick_gateway_age_seconds",
            "Age of what is known, by topic: configuration, targets, entries, jobs.",
        )
        self._places = self._make_gauge(
            "pimentowick_gateway_places",
            "Places of all usable targets by state: all, free of online requests.",
        )
        self._waiting = self._make_gauge(
            "pimentowick_gateway_waiting_requests", "Online requests that wait here."
        )
        self._targets = self._make_gauge(
            "pimentowick_gateway_targets", "Targets by state: listed, ejected."
        )
        self._jobs = self._make_gauge(
            "pimentowick_gateway_open_jobs", "Jobs with items that may still run."
        )
        self._busy = self._make_gauge(
            "pimentowick_gateway_open_requests", "Requests that are not answered yet."
        )
        self._told = {}

    def _make_counter(self, name, text):
        return aioprometheus.Counter(name, text, registry=self.registry)

    def _make_gauge(self, name, text):
        return aioprometheus.Gauge(name, text, registry=self.registry)

    def count_request(self, kind, outcome, status, phases):
        """Count the end of an online request.

        Args:
            kind: The `pimentowick.gateway.route.Kind`.
            outcome: Short reason of the end.
            status: Status of the answer, 0 without one.
            phases: Seconds by name of the phase; None where it was not reached.
        """
        labels = {"kind": str(kind), "outcome": outcome, "status": str(status)}
        self._requests.inc(labels)
        for phase, seconds in phases.items():
            if seconds is not None:
                self._phases.add({"kind": str(kind), "phase": phase}, seconds)

    def count_retry(self):
        """Count a further target for a request."""
        self._retries.inc({})

    def count_refusal(self, refusal, workspace=None):
        """Count a refusal that was answered.

        Args:
            refusal: The `pimentowick.verdict.Refusal`.
            workspace: Name of the caller's workspace, or None if it isn't known.
        """
        self._refusals.inc({"code": refusal.code, "verdict": str(refusal.verdict)})
        if workspace is None:
            return
        if len(self._named) < NAMED_WORKSPACES:
            self._named.add(workspace)
        name = workspace if workspace in self._named else OTHER_WORKSPACES
        self._workspace_refusals.inc({"workspace": name, "code": refusal.code})

    def count_item(self, outcome):
        """Count the end of a run of an item."""
        self._items.inc({"outcome": outcome})

    def take_state(self, state):
        """Take what the entry knows now.

        Args:
            state: A `State`.
        """
        for name, age_s in state.ages_s.items():
            self._ages.set({"topic": name}, age_s)
        self._places.set({"state": "all"}, state.places)
        self._places.set({"state": "free"}, state.free)
        self._waiting.set({}, state.waiting)
        self._targets.set({"state": "listed"}, state.targets)
        self._targets.set({"state": "ejected"}, state.ejected)
        self._jobs.set({}, state.open_jobs)
        self._quota_share.set({}, state.quota_share)
        self._quota_workspaces.set({}, state.quota_workspaces)
        self._busy.set({}, state.open_requests)
        for name, count in state.store_calls.items():
            self._bring_up(self._store_calls, {"call": name}, count)
        for (name, direction), count in state.store_bytes.items():
            labels = {"call": name, "direction": direction}
            self._bring_up(self._store_bytes, labels, count)
        self._bring_up(self._dropped, {}, state.dropped_lines)

    def _bring_up(self, counter, labels, total):
        """Raise a counter to a total that is counted elsewhere."""
        key = (counter.name, *labels.values())
        counter.add(labels, total - self._told.get(key, 0))
        self._told[key] = total

    def render(self):
        """Return (body, headers) of the metrics page."""
        return renderer.render(self.registry, ["text/plain"])
