"""Parts of an entry that log and count what they do."""

import time

from loguru import logger

from pimentowick import exception
from pimentowick.external import log as external_log
from pimentowick.routing import crash_guard

__all__ = ["MeteredCrashGuard", "MeteredLog"]


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


class MeteredCrashGuard(crash_guard.CrashGuard):
    """A `CrashGuard` that logs and counts changes of the quarantine.

    Args:
        metrics: The `pimentowick.metrics.EntryMetrics`.
    """

    def __init__(self, metrics):
        super().__init__()
        self._metrics = metrics

    def on_opened(self, fingerprint):
        """Log and count it; see the base class."""
        self._metrics.count_quarantine("opened")
        logger.warning(
            "quarantine: Targets crashed under requests with fingerprint {}: {}.",
            fingerprint,
            ", ".join(self.policy.list_crashes(fingerprint)),
        )

    def on_trial(self, fingerprint, request_id):
        """Log and count it; see the base class."""
        self._metrics.count_quarantine("trial")
        logger.warning(
            "quarantine: Request {} is trial {} of fingerprint {}.",
            request_id,
            self.policy.get_trials(fingerprint),
            fingerprint,
        )

    def on_released(self, fingerprint):
        """Log and count it; see the base class."""
        self._metrics.count_quarantine("released")
        logger.info("quarantine: Fingerprint {} completed.", fingerprint)
