"""Audit trail of a shard: its claims, releases and job cancellations.

The records of the shard's stream are the complete trail. The ledger keeps an event
for each of the latest ones, so that queries need not read the stream, and checkpoints
preserve the events beyond the log's retention.
"""

import dataclasses

__all__ = [
    "MAX_AUDIT_EVENTS",
    "AuditEvent",
    "make_cancellation_event",
    "make_claim_event",
    "make_release_event",
]

MAX_AUDIT_EVENTS = 500
"""Number of events that one ledger keeps."""
MAX_TEXT_CHARS = 200
"""Characters of a text field that an event keeps, to bound the size of a dump."""


@dataclasses.dataclass(frozen=True, slots=True)
class AuditEvent:
    """Outcome of one audited record.

    Attributes:
        offset: Offset of the record.
        at: Time stated by the record, in epoch seconds; 0 if it states none.
        by: Name of the process or user that made the record.
        client: Network address of the requester; empty if the system made the record.
        kind: ``claim``, ``release`` or ``cancel``.
        name: Id of the job, or empty.
        workspace: Workspace of the job, or empty.
        version_before: Epoch before a claim or release.
        version_after: Epoch after a claim or release.
        accepted: Whether the record took effect.
        reason: Why it did not take effect; empty if accepted.
        id: Id of the record.
    """

    offset: int
    at: float
    by: str
    client: str
    kind: str
    name: str
    workspace: str
    version_before: int
    version_after: int
    accepted: bool
    reason: str
    id: str


def make_claim_event(offset, record, epoch, accepted):
    """Return the event of a claim that was read while `epoch` was current."""
    reason = "" if accepted else f"conflict: epoch {epoch} is in force"
    return AuditEvent(
        offset=offset,
        at=_get_time(record),
        by=_get_text(record, "owner"),
        client="",
        kind="claim",
        name="",
        workspace="",
        version_before=epoch,
        version_after=epoch + accepted,
        accepted=accepted,
        reason=reason,
        id=_get_text(record, "id"),
    )


def make_release_event(offset, owner, epoch):
    """Return the event of a release that took effect."""
    return AuditEvent(
        offset=offset,
        at=0.0,
        by=owner[:MAX_TEXT_CHARS],
        client="",
        kind="release",
        name="",
        workspace="",
        version_before=epoch,
        version_after=epoch,
        accepted=True,
        reason="",
        id="",
    )


def make_cancellation_event(offset, record, job):
    """Return the event of a cancellation; `job` is the job before it is applied."""
    accepted = job.state == "open"
    return AuditEvent(
        offset=offset,
        at=_get_time(record),
        by=_get_text(record, "by"),
        client=_get_text(record, "client"),
        kind="cancel",
        name=job.id,
        workspace=job.workspace,
        version_before=0,
        version_after=0,
        accepted=accepted,
        reason="" if accepted else f"conflict: the job is {job.state}",
        id=_get_text(record, "id"),
    )


def _get_time(record):
    value = record.get("at")
    return float(value) if isinstance(value, int | float) else 0.0


def _get_text(record, key):
    return str(record.get(key, ""))[:MAX_TEXT_CHARS]
