"""Metrics of the daemons, in the Prometheus text format.

No label holds a workspace, a job or a request: their number is not bounded.
"""

import aioprometheus
from aioprometheus import renderer
from tornado import web

__all__ = ["AgentMetrics", "EntryMetrics", "MetricsHandler"]


class _Metrics:
    def __init__(self):
        self.registry = aioprometheus.Registry()

    def _add_counter(self, name, text):
        counter = aioprometheus.Counter(name, text, registry=self.registry)
        return counter

    def _add_gauge(self, name, text):
        return aioprometheus.Gauge(name, text, registry=self.registry)


class AgentMetrics(_Metrics):
    """What an agent counts."""

    def __init__(self):
        super().__init__()
        self._admitted = self._add_counter(
            "pimentowick_agent_admitted_total", "Requests that got a whole answer."
        )
        self._refused = self._add_counter(
            "pimentowick_agent_refused_total", "Requests without a whole answer."
        )

    def count_admitted(self, priority):
        """Count a request that got a whole answer."""
        self._admitted.inc({"priority": priority})

    def count_refused(self, code, verdict):
        """Count a request that did not."""
        self._refused.inc({"code": code, "verdict": str(verdict)})


class EntryMetrics(_Metrics):
    """What an entry counts."""

    def __init__(self):
        super().__init__()
        self._requests = self._add_counter(
            "pimentowick_entry_requests_total", "Online requests by outcome."
        )
        self._retries = self._add_counter(
            "pimentowick_entry_retries_total", "Further attempts of online requests."
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
        self._carried = self._add_counter(
            "pimentowick_entry_carried_total",
            "Records appended again before the log drops them.",
        )
        self.configuration_version = self._add_gauge(
            "pimentowick_entry_configuration_version_offset",
            "Version of the configuration in force.",
        )

    def count_checkpoint(self):
        """Count a checkpoint that was written whole."""
        self._checkpoints.inc({})

    def count_carried(self, number):
        """Count records that were appended again."""
        self._carried.add({}, number)

    def count_request(self, outcome):
        """Count an online request: ``answered`` or the code of its refusal."""
        self._requests.inc({"outcome": outcome})

    def count_retry(self, code):
        """Count a further attempt, by the code of the refusal before it."""
        self._retries.inc({"code": code})

    def count_item(self, outcome):
        """Count a batch item that ended."""
        self._items.inc({"outcome": outcome})

    def count_claim(self):
        """Count a claim that came into force."""
        self._claims.inc({})


class MetricsHandler(web.RequestHandler):
    """Shows the metrics of a daemon."""

    def initialize(self, metrics):
        """Take the `AgentMetrics` or `EntryMetrics`."""
        self._metrics = metrics

    def get(self):
        """Answer in the text format."""
        content, headers = renderer.render(self._metrics.registry, ["text/plain"])
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(content)
