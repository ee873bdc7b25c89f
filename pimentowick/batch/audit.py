"""Notes on what happened to a shard, for the audit trail.

The records of a shard's stream are the trail: who claimed the shard, gave it up or
cancelled a job stands there anyway. The ledger keeps a note of the newest of them,
so that a question costs no reading of the stream, and a checkpoint carries the notes
past the end of retention.
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
"""Notes that one ledger keeps."""
TEXT_LIMIT = 200
"""Characters that a note keeps of a text, so that a dump stays bounded."""


@dataclasses.dataclass(frozen=True, slots=True)
class AuditEvent:
    """What became of one record.

    Attributes:
        offset: Offset of the record.
        at: Time that it states, in epoch seconds; 0 if it states none.
        by: Who made it.
        client: Address that it was asked from; empty for the system's own.
        kind: ``claim``, ``release`` or ``cancel``.
        name: Id of the job, or empty.
        workspace: Workspace of the job, or empty.
        version_before: Epoch before, for claims and releases.
        version_after: Epoch after, for claims and releases.
        accepted: Whether the record took effect.
        reason: Why not; empty if accepted.
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
    """Return the note on a claim that was read while `epoch` was in force."""
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
    """Return the note on a release that took effect."""
    return AuditEvent(
        offset=offset,
        at=0.0,
        by=owner[:TEXT_LIMIT],
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
    """Return the note on a cancellation of `job`, as it was before."""
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
    return str(record.get(key, ""))[:TEXT_LIMIT]
