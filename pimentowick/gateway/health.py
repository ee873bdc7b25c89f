"""Which targets get a rest after what was seen of them."""

import contextlib
import time

from pimentowick.gateway import decision, upstream

__all__ = ["Health"]

# After a target turned a request away, others get the next ones for so long.
FULL_PAUSE_S = 0.05
# After a failed connection: doubled with each failure in a row, up to the last one.
FIRST_PAUSE_S = 0.5
LAST_PAUSE_S = 4.0
# A request without the head of its answer after this, and after twice its objective,
# counts as failed; it goes on.
SILENT_S = 1.0
# The target's own word that time was up says nothing about it.
DEADLINE_STATUS = 504


class Health:
    """Learns from the outcomes of this entry's requests.

    Args:
        outliers: The `pimentowick.gateway.policy.outlier_detection.OutlierDetection`.
    """

    def __init__(self, outliers):
        self._outliers = outliers

    @contextlib.contextmanager
    def watch_for_silence(self, target, objective_s, has_head, call_later):
        """Count a request as failed early, while it still waits for its answer.

        Args:
            target: The `pimentowick.gateway.target.Target`.
            objective_s: Time within which an answer is in time.
            has_head: Function that returns whether the head of the answer came.
            call_later: `asyncio.loop.call_later` or alike.
        """

        def check():
            if not has_head():
                self._outliers.record_outcome(target.id, False)

        handle = call_later(max(SILENT_S, 2 * objective_s), check)
        try:
            yield
        finally:
            handle.cancel()

    def observe_outcome(self, target, outcome, free=False):
        """Learn from an outcome whether a target is sound and can be reached.

        Args:
            target: The `pimentowick.gateway.target.Target`.
            outcome: The `upstream.Outcome`.
            free: Whether most of its places seemed to be free.
        """
        now = time.monotonic()
        if outcome.why == "misdirected":
            # Another target has the address; the listing will say so.
            target.paused_until = float("inf")
            decision.note_belief("target.paused", target=target.id, why=outcome.why)
            return
        if outcome.end == upstream.End.NOT_RUN and outcome.connected:
            target.paused_until = max(target.paused_until, now + FULL_PAUSE_S)
            if free:
                self._outliers.record_outcome(target.id, False)
            return
        if outcome.connected and outcome.status != DEADLINE_STATUS:
            whole = outcome.end == upstream.End.COMPLETE
            self._outliers.record_outcome(target.id, whole and outcome.status < 500)
        if outcome.end == upstream.End.COMPLETE or outcome.status:
            target.failures = 0
            return
        target.failures += 1
        pause = min(LAST_PAUSE_S, FIRST_PAUSE_S * 2 ** (target.failures - 1))
        target.paused_until = max(target.paused_until, now + pause)
        decision.note_belief(
            "target.paused",
            target=target.id,
            why=outcome.why,
            failures=target.failures,
            pause_s=pause,
        )
