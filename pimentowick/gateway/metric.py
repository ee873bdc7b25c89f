"""Counters and histograms of this entry, in the Prometheus text format.

Units stand in the names; no label holds a request, a job or a caller.
"""

import aioprometheus
from aioprometheus import renderer

__all__ = ["Metrics"]

ANSWER_BUCKETS_S = [0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0]


class Metrics:
    """What an entry counts."""

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self._requests = aioprometheus.Counter(
            "pimentowick_gateway_requests_total",
            "Online requests by kind and outcome.",
            registry=self.registry,
        )
        self._seconds = aioprometheus.Histogram(
            "pimentowick_gateway_answer_seconds",
            "Time to the end of each answer, by kind.",
            registry=self.registry,
            buckets=ANSWER_BUCKETS_S,
        )
        self._retries = aioprometheus.Counter(
            "pimentowick_gateway_retries_total",
            "Further targets for one request.",
            registry=self.registry,
        )
        self._items = aioprometheus.Counter(
            "pimentowick_gateway_items_total",
            "Runs of batch items by outcome.",
            registry=self.registry,
        )
        self._gauges = aioprometheus.Gauge(
            "pimentowick_gateway_state",
            "What the entry knows: targets, places, store calls, ages in seconds.",
            registry=self.registry,
        )

    def count_request(self, kind, outcome, seconds):
        """Count the end of an online request."""
        self._requests.inc({"kind": str(kind), "outcome": outcome})
        self._seconds.add({"kind": str(kind)}, seconds)

    def count_retry(self):
        """Count a further target for a request."""
        self._retries.inc({})

    def count_item(self, outcome):
        """Count the end of a run of an item."""
        self._items.inc({"outcome": outcome})

    def set_state(self, name, value):
        """Set a gauge."""
        self._gauges.set({"name": name}, value)

    def render(self):
        """Return (body, headers) of the metrics page."""
        return renderer.render(self.registry, ["text/plain"])
