"""Metrics of the daemons in the Prometheus text format.

Metric names contain the unit. Labels have bounded cardinality, so none contains a
workspace, job or request. Codes and verdicts are those of docs/API.md.

Events are counted when they occur; values that the daemon keeps anyway are read when
the metrics are scraped.
"""

import time

import aioprometheus
from aioprometheus import renderer
from tornado import web

__all__ = ["AgentMetrics", "EntryMetrics", "MetricsHandler"]

LATENCY_BUCKETS_S = [0.001, 0.01, 0.05, 0.1, 0.5, 1.0, 5.0, 30.0]


class _Metrics:
    def __init__(self):
        self.registry = aioprometheus.Registry()

    def _add_counter(self, name, help_text):
        return aioprometheus.Counter(name, help_text, registry=self.registry)

    def _add_gauge(self, name, help_text):
        return aioprometheus.Gauge(name, help_text, registry=self.registry)

    def _add_histogram(self, name, help_text):
        return aioprometheus.Histogram(
            name, help_text, registry=self.registry, buckets=LATENCY_BUCKETS_S
        )

    def update(self, daemon):
        """Copy values from `daemon` into the metrics before they are exported."""


class AgentMetrics(_Metrics):
    """Metrics of an agent."""

    def __init__(self):
        super().__init__()
        self._admitted = self._add_counter(
            "pimentowick_agent_admitted_total", "Requests that got a place."
        )
        self._answered = self._add_counter(
            "pimentowick_agent_answered_total", "Requests that got a whole answer."
        )
        self._refused = self._add_counter(
            "pimentowick_agent_refused_total", "Requests without a whole answer."
        )
        self._preempted = self._add_counter(
            "pimentowick_agent_preempted_total", "Batch items that gave their place up."
        )
        self._resumed = self._add_counter(
            "pimentowick_agent_resumed_total", "Preempted items that got a place again."
        )
        self._wait_time = self._add_histogram(
            "pimentowick_agent_wait_seconds", "Time until a request got its place."
        )
        self._running = self._add_gauge(
            "pimentowick_agent_running_requests", "Requests at the target."
        )
        self._step_time = self._add_gauge(
            "pimentowick_agent_step_seconds", "Last step of the engine as reported."
        )

    def count_admitted(self, priority, wait_s):
        """Count a request that was admitted after waiting for `wait_s` seconds."""
        self._admitted.inc({"priority": priority})
        self._wait_time.add({"priority": priority}, wait_s)

    def count_resumed(self, wait_s):
        """Count a preempted item that was readmitted after `wait_s` seconds."""
        self._resumed.inc({})
        self._wait_time.add({"priority": "preempted"}, wait_s)

    def count_answered(self, priority):
        """Count a request that received a complete response."""
        self._answered.inc({"priority": priority})

    def count_refused(self, code, verdict):
        """Count a request that received no complete response."""
        self._refused.inc({"code": code, "verdict": str(verdict)})

    def update(self, daemon):
        """Copy values from a `pimentowick.agent.daemon.Agent` into the metrics."""
        admission = daemon.admission
        self._preempted.set({}, admission.preemptions)
        self._running.set({"priority": "online"}, len(admission.online))
        self._running.set({"priority": "batch"}, len(admission.batch))
        self._step_time.set({}, daemon.load.step_ms / 1000)


class EntryMetrics(_Metrics):
    """Metrics of an entry."""

    def __init__(self):
        super().__init__()
        self._requests = self._add_counter(
            "pimentowick_entry_requests_total", "Online requests by outcome."
        )
        self._refusals = self._add_counter(
            "pimentowick_entry_refusals_total", "Refusals by reason and verdict."
        )
        self._response_time = self._add_histogram(
            "pimentowick_entry_answer_seconds", "Time to the end of each answer."
        )
        self._retries = self._add_counter(
            "pimentowick_entry_retries_total", "Further attempts of online requests."
        )
        self._quarantine = self._add_counter(
            "pimentowick_entry_quarantine_events_total",
            "Changes of the quarantine by event: opened, trial, released.",
        )
        self._items = self._add_counter(
            "pimentowick_entry_items_total", "Batch items that ended, by outcome."
        )
        self._claims = self._add_counter(
            "pimentowick_entry_claims_total", "Shards that this entry claimed."
        )
        self._checkpoints = self._add_counter(
            "pimentowick_entry_checkpoints_total", "Checkpoints that this entry wrote."
        )
        self._reappended = self._add_counter(
            "pimentowick_entry_carried_total",
            "Records appended again before the log drops them.",
        )
        self._add_log_metrics()
        self._add_state_metrics()

    def _add_log_metrics(self):
        self._appends = self._add_counter(
            "pimentowick_entry_log_appends_total", "Appends by outcome."
        )
        self._reads = self._add_counter(
            "pimentowick_entry_log_reads_total", "Reads of the log by outcome."
        )
        self._append_time = self._add_histogram(
            "pimentowick_entry_log_append_seconds", "Time until an append was answered."
        )

    def _add_state_metrics(self):
        self._ejections = self._add_counter(
            "pimentowick_entry_ejections_total", "Agents that got no work for a while."
        )
        self._fenced = self._add_counter(
            "pimentowick_entry_fenced_total", "Records read whose epoch was over."
        )
        self._configuration_version = self._add_gauge(
            "pimentowick_entry_configuration_version_offset", "Version in force."
        )
        self._configuration_lag = self._add_gauge(
            "pimentowick_entry_configuration_lag_seconds",
            "Age of the last read that reached the head of the configuration.",
        )
        self._running = self._add_gauge(
            "pimentowick_entry_running_requests", "Online requests in flight."
        )
        self._shards = self._add_gauge(
            "pimentowick_entry_owned_shards", "Shards that this entry owns."
        )
        self._jobs = self._add_gauge(
            "pimentowick_entry_open_jobs", "Open jobs of the owned shards."
        )

    def count_checkpoint(self):
        """Count a completely written checkpoint."""
        self._checkpoints.inc({})

    def count_reappended(self, number):
        """Count records that were appended again before their retention ended."""
        self._reappended.add({}, number)

    def count_request(self, outcome):
        """Count an online request as ``answered`` or by the code of its refusal."""
        self._requests.inc({"outcome": outcome})

    def observe_answer(self, handler):
        """Record a finished request; a log function of `tornado.web.Application`."""
        labels = {"handler": type(handler).__name__}
        self._response_time.add(labels, handler.request.request_time())
        refusal = getattr(handler, "refusal", None)
        if refusal is not None:
            verdict = str(refusal.verdict)
            self._refusals.inc({"code": refusal.code, "verdict": verdict})

    def count_retry(self, code):
        """Count a retry by the code of the previous attempt's refusal."""
        self._retries.inc({"code": code})

    def count_quarantine(self, event):
        """Count a change of the quarantine: opened, trial or released."""
        self._quarantine.inc({"event": event})

    def count_item(self, outcome):
        """Count a finished batch item by outcome."""
        self._items.inc({"outcome": outcome})

    def count_claim(self):
        """Count a shard claim of this entry that took effect."""
        self._claims.inc({})

    def count_append(self, outcome, wait_s):
        """Count an append as ``done``, ``full``, ``too_large`` or ``unknown``."""
        self._appends.inc({"outcome": outcome})
        self._append_time.add({}, wait_s)

    def count_read(self, outcome):
        """Count a read of the log as ``done`` or ``unavailable``."""
        self._reads.inc({"outcome": outcome})

    def update(self, daemon):
        """Copy values from a `pimentowick.entry.daemon.Entry` into the metrics."""
        owned = daemon.table.list_owned()
        followed = daemon.table.followed.values()
        self._ejections.set({}, daemon.fleet.ejections)
        self._fenced.set({}, sum(shard.ledger.fenced for shard in followed))
        self._configuration_version.set({}, daemon.configuration.version)
        caught_up_at = daemon.configuration_replica.caught_up_at
        if caught_up_at is not None:
            self._configuration_lag.set({}, time.monotonic() - caught_up_at)
        self._running.set({}, daemon.limits.running)
        self._shards.set({}, len(owned))
        jobs = sum(len(shard.ledger.list_open_jobs()) for shard in owned)
        self._jobs.set({}, jobs)


class MetricsHandler(web.RequestHandler):
    """Exports the metrics of a daemon."""

    def initialize(self, daemon):
        """Store the daemon whose ``metrics`` are exported."""
        self._daemon = daemon

    def get(self):
        """Respond with the metrics in the text format."""
        metrics = self._daemon.metrics
        metrics.update(self._daemon)
        content, headers = renderer.render(metrics.registry, ["text/plain"])
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(content)
