"""Admission control with metrics."""

import time

from pimentowick.scheduling import admission

__all__ = ["MeteredAdmission"]


class MeteredAdmission(admission.Admission):
    """Admission control that records admissions and waiting times as metrics.

    Args:
        metrics: `pimentowick.metrics.AgentMetrics`.
        *args: Arguments of the base class.
    """

    def __init__(self, metrics, *args):
        super().__init__(*args)
        self._metrics = metrics

    async def admit_online(self, ticket, deadline_s):
        """Wait for an online slot; see the base class."""
        started_at = time.monotonic()
        await super().admit_online(ticket, deadline_s)
        self._metrics.count_admitted("online", time.monotonic() - started_at)

    async def admit_batch(self, ticket):
        """Wait for a batch slot; see the base class."""
        started_at = time.monotonic()
        await super().admit_batch(ticket)
        self._metrics.count_admitted("batch", time.monotonic() - started_at)

    async def readmit_batch(self, ticket):
        """Wait for a batch slot for a preempted item; see the base class."""
        started_at = time.monotonic()
        await super().readmit_batch(ticket)
        self._metrics.count_resumed(time.monotonic() - started_at)
