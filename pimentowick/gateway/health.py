"""Which targets get a rest after what was seen of them."""

import time

from pimentowick.gateway import decision, upstream

__all__ = ["note_outcome"]

# After a target turned a request away, others get the next ones for so long.
FULL_PAUSE_S = 0.05
# After a failed connection: doubled with each failure in a row, up to the last one.
FIRST_PAUSE_S = 0.5
LAST_PAUSE_S = 4.0


def note_outcome(target, outcome):
    """Learn from an outcome whether a target can be reached."""
    now = time.monotonic()
    if outcome.why == "misdirected":
        # Another target has the address; the listing will say so.
        target.paused_until = float("inf")
        decision.note_belief("target.paused", target=target.id, why=outcome.why)
        return
    if outcome.end == upstream.End.NOT_RUN and outcome.connected:
        target.paused_until = max(target.paused_until, now + FULL_PAUSE_S)
        return
    if outcome.end == upstream.End.WHOLE or outcome.status:
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
