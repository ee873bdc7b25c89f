"""Passive health checks of targets, from the outcomes of requests."""

import contextlib
import time

from pimentowick.gateway import decision_log, upstream
from pimentowick.gateway.policy import backoff

__all__ = ["Health"]

# Pause after a target rejected a request because it was full.
FULL_PAUSE_S = 0.05
# Exponential backoff after failed connections.
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
# A request without response headers after this, and after twice its objective, counts
# as failed but continues.
HEADERS_TIMEOUT_S = 1.0
# A timeout reported by the target itself is not evidence of a failure.
DEADLINE_STATUS = 504
# Outcomes that say nothing of the target.
NEUTRAL_REASONS = frozenset(
    {upstream.NO_DESCRIPTOR, upstream.CALLER_GONE, upstream.CONDITION_NOT_MET}
)


class Health:
    """Pauses targets and records outcomes, from this entry's own requests.

    Args:
        outliers: The `pimentowick.gateway.policy.outlier_detection.OutlierDetection`.
    """

    def __init__(self, outliers):
        self._outliers = outliers

    @contextlib.contextmanager
    def watch_for_silence(self, target, objective_s, has_headers, call_later):
        """Record a failure if the response headers of a request are overdue.

        Args:
            target: The `pimentowick.gateway.target.Target`.
            objective_s: Latency objective, in seconds.
            has_headers: Function that returns whether the headers have arrived.
            call_later: `asyncio.loop.call_later` or equivalent.
        """

        def check():
            if not has_headers():
                self._outliers.record_outcome(target.id, False)

        handle = call_later(max(HEADERS_TIMEOUT_S, 2 * objective_s), check)
        try:
            yield
        finally:
            handle.cancel()

    def observe_outcome(self, target, outcome, seemed_free=False):
        """Update the health of a target from the outcome of a request.

        Args:
            target: The `pimentowick.gateway.target.Target`.
            outcome: The `upstream.Outcome`.
            seemed_free: Whether most of its slots seemed to be free.
        """
        if outcome.reason in NEUTRAL_REASONS:
            return
        now = time.monotonic()
        if outcome.reason == upstream.OTHER_RUN:
            target.record_break(now)
            return
        if outcome.reason == upstream.MISDIRECTED:
            target.hold(now)
            decision_log.log_event(
                "target.paused", target=target.id, why=outcome.reason
            )
            return
        if outcome.end == upstream.End.NOT_RUN and outcome.connected:
            target.paused_until = max(target.paused_until, now + FULL_PAUSE_S)
            if seemed_free:
                self._outliers.record_outcome(target.id, False)
            return
        if outcome.connected and outcome.status != DEADLINE_STATUS:
            # A response without framing may well be sound.
            is_complete = (
                outcome.end == upstream.End.COMPLETE
                or outcome.reason == upstream.UNFRAMED
            )
            self._outliers.record_outcome(
                target.id, is_complete and outcome.status < 500
            )
        if outcome.may_be_crash or not outcome.connected:
            target.record_break(now)
        if outcome.end == upstream.End.COMPLETE or outcome.status:
            target.failures = 0
            return
        target.failures += 1
        pause = backoff.compute_delay(MIN_BACKOFF_S, MAX_BACKOFF_S, target.failures)
        target.paused_until = max(target.paused_until, now + pause)
        decision_log.log_event(
            "target.paused",
            target=target.id,
            why=outcome.reason,
            failures=target.failures,
            pause_s=pause,
        )
