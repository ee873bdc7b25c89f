"""Log of the batch items that have waited for long, and why they are not started.

Notes:
    Failure pattern: an accepted item stays open although its targets have room, because
    of a state of its owner or of its targets that nothing ends. A line at a regular
    interval tells such an item from one that waits for a busy service.
"""

import collections
import enum

from pimentowick.gateway import decision_log

__all__ = ["LONG_WAIT_S", "Reason", "log_long_waits"]

# Longer than several bursts of online requests.
LONG_WAIT_S = 10.0


class Reason(enum.StrEnum):
    """Why an item is not running."""

    NO_BODY = "no_body"
    """Its body has not been read."""
    QUARANTINED = "quarantined"
    """Targets may have crashed under it."""
    BACKOFF = "backoff"
    """Its last run has failed."""
    NO_SLOT = "no_slot"
    """No target of its service, and of its version, has an unused slot."""


def find_reason(run, now):
    """Return the `Reason` for which an `execution.Run` is not running."""
    if run.transcript.body is None:
        return Reason.NO_BODY
    if run.is_held:
        return Reason.QUARANTINED
    if now < run.not_before:
        return Reason.BACKOFF
    return Reason.NO_SLOT


def log_long_waits(runs, table, now):
    """Log the items that have waited for long, one line for each service.

    Args:
        runs: The `execution.Run` objects of this entry.
        table: The `pimentowick.gateway.target.TargetTable`.
        now: Monotonic time, in seconds.
    """
    by_service = {}
    for run in runs:
        if run.task is None and now - run.waits_since >= LONG_WAIT_S:
            by_service.setdefault(run.service, []).append(run)
    for service, waiting in by_service.items():
        oldest = min(waiting, key=lambda run: run.waits_since)
        targets = table.list_targets(service)
        usable = [target for target in targets if target.is_usable(now)]
        decision_log.log_request_event(
            "item.waiting",
            oldest.item.id,
            job=oldest.job.id,
            outcome=find_reason(oldest, now),
            waited_s=now - oldest.waits_since,
            service=service,
            reasons=_count_reasons(waiting, now),
            targets=len(targets),
            usable=len(usable),
            slots=sum(target.slots for target in usable),
            online=sum(target.total_online for target in usable),
            batch=sum(target.total_batch for target in usable),
            paused=sorted(target.id for target in targets if now < target.paused_until),
        )


def _count_reasons(runs, now):
    counts = collections.Counter(find_reason(run, now).value for run in runs)
    return dict(counts)
