"""Admission that counts what it decides."""

import time

from pimentowick.scheduling import admission

__all__ = ["MeteredAdmission"]


class MeteredAdmission(admission.Admission):
    """Tells `pimentowick.metrics.AgentMetrics` who got a place, and after how long.

    Args:
        metrics: The `AgentMetrics`.
        *args: As for the base class.
    """

    def __init__(self, metrics, *args):
        super().__init__(*args)
        self._metrics = metrics

    async def admit_online(self, ticket, deadline_s):
        """Wait for a place; see the base class."""
        began = time.monotonic()
        await super().admit_online(ticket, deadline_s)
        self._metrics.count_admitted("online", time.monotonic() - began)

    async def admit_batch(self, ticket):
        """Wait for a place for a batch item; see the base class."""
        began = time.monotonic()
        await super().admit_batch(ticket)
        self._metrics.count_admitted("batch", time.monotonic() - began)

    async def readmit_batch(self, ticket):
        """Wait for a place for a preempted item; see the base class."""
        began = time.monotonic()
        await super().readmit_batch(ticket)
        self._metrics.count_resumed(time.monotonic() - began)
