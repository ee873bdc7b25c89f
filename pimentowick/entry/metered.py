"""A log that counts its appends and reads."""

import time

from pimentowick import exception
from pimentowick.external import log as external_log

__all__ = ["MeteredLog"]


class MeteredLog(external_log.Log):
    """Passes everything on, and tells `pimentowick.metrics.EntryMetrics` of it.

    Args:
        log: The `pimentowick.external.log.Log` to use.
        metrics: The `EntryMetrics`.
    """

    def __init__(self, log, metrics):
        self._log = log
        self._metrics = metrics

    async def append(self, stream, records):
        """Append records; see the base class."""
        began = time.monotonic()
        # A cancelled append may have landed, like one without an answer.
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
            self._metrics.count_append(outcome, time.monotonic() - began)

    async def read(self, stream, offset, **fields):
        """Read records; see the base class."""
        try:
            page = await self._log.read(stream, offset, **fields)
        except exception.LogError:
            self._metrics.count_read("unavailable")
            raise
        self._metrics.count_read("done")
        return page
