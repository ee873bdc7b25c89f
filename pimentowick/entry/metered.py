"""A log client that records metrics of its appends and reads."""

import time

from pimentowick import exception
from pimentowick.external import log as external_log

__all__ = ["MeteredLog"]


class MeteredLog(external_log.Log):
    """Delegates to another log client and records metrics.

    Args:
        log: The `pimentowick.external.log.Log` to delegate to.
        metrics: The `pimentowick.metrics.EntryMetrics`.
    """

    def __init__(self, log, metrics):
        self._log = log
        self._metrics = metrics

    async def append(self, stream, records):
        """Append records; see the base class."""
        started_at = time.monotonic()
        # A cancelled append may have taken effect, like one that timed out.
        outcome = "unknown"
        try:
            first = await self._log.append(stream, records)
            outcome = "done"
            return first
        except exception.LogThrottledError:
            outcome = "full"
            raise
        except exception.ValidationError:
            outcome = "too_large"
            raise
        finally:
            self._metrics.count_append(outcome, time.monotonic() - started_at)

    async def read(self, stream, offset, **fields):
        """Read records; see the base class."""
        try:
            page = await self._log.read(stream, offset, **fields)
        except exception.LogError:
            self._metrics.count_read("unavailable")
            raise
        self._metrics.count_read("done")
        return page
