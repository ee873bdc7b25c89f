"""Records of a shard's stream.

Each function makes one record; `pimentowick.batch.ledger` defines their effect. A
shard's stream holds all records that must be totally ordered: the ownership of the
shard, and its jobs and idempotency-key calls.
"""

import hashlib

from pimentowick.external import log as external_log

__all__ = [
    "CALL_CLAIMED",
    "CALL_ENDED",
    "CANCELLED",
    "CHUNK",
    "CLAIM",
    "EXPIRED",
    "RELEASE",
    "RENEW",
    "RESULTS",
    "SUBMITTED",
    "SUSPECT",
    "make_call_claimed",
    "make_call_ended",
    "make_call_id",
    "make_cancelled",
    "make_chunk",
    "make_claim",
    "make_expired",
    "make_job_id",
    "make_release",
    "make_renew",
    "make_results",
    "make_submitted",
    "make_suspect",
]

CLAIM = "claim"
RELEASE = "release"
RENEW = "renew"
CHUNK = "chunk"
SUBMITTED = "submitted"
CANCELLED = "cancelled"
RESULTS = "results"
SUSPECT = "suspect"
EXPIRED = "expired"
CALL_CLAIMED = "call_claimed"
CALL_ENDED = "call_ended"

ID_DIGITS = 24


def make_job_id(workspace, key):
    """Return the id of the job that `workspace` submits under `key`.

    Entries that receive the same submission derive the same id, so the first record in
    the log wins without any communication between them.

    Examples:
        >>> make_job_id("a", "k") == make_job_id("a", "k")
        True
        >>> make_job_id("a", "k") == make_job_id("b", "k")
        False
    """
    return "batch_" + _digest("job", workspace, key)


def make_call_id(workspace, service, key):
    """Return the id of a call to `service` with an idempotency key."""
    return "call_" + _digest("call", workspace, service, key)


def _digest(*parts):
    hashed = hashlib.sha256()
    for part in parts:
        data = part.encode()
        # The length prefix distinguishes ("ab", "c") from ("a", "bc").
        hashed.update(len(data).to_bytes(4, "big"))
        hashed.update(data)
    return hashed.hexdigest()[:ID_DIGITS]


def _make(kind, **fields):
    return {"id": external_log.make_id(), "type": kind, **fields}


def make_claim(epoch, owner, at):
    """Claim the shard; takes effect only if `epoch` is one above the current one."""
    return _make(CLAIM, epoch=epoch, owner=owner, at=at)


def make_release(epoch):
    """Release the shard, so that another entry can claim it at once."""
    return _make(RELEASE, epoch=epoch)


def make_renew(epoch):
    """Prove that the owner of `epoch` is alive."""
    return _make(RENEW, epoch=epoch)


def make_chunk(submission, index, items):
    """Store some items of a submission; `items` is a list of request bodies."""
    return _make(CHUNK, submission=submission, index=index, items=items)


def make_submitted(job, submission, workspace, key, digest, items, chunks, **fields):
    """Submit a job whose chunks were appended earlier.

    Args:
        job: Id of the job.
        submission: Random id of the submission, which its chunks carry.
        workspace: Name of the workspace.
        key: Idempotency key.
        digest: Hash of the content, to distinguish a retry from another job.
        items: Number of items.
        chunks: Number of chunks.
        **fields: ``model``, and ``deadline`` and ``at`` in epoch seconds.
    """
    return _make(
        SUBMITTED,
        job=job,
        submission=submission,
        workspace=workspace,
        key=key,
        digest=digest,
        items=items,
        chunks=chunks,
        **fields,
    )


def make_cancelled(job, by, at=0.0, client=""):
    """Cancel a job; results after this record are void.

    Args:
        job: Id of the job.
        by: Name of the user or process that cancels the job.
        at: Time of the cancellation, in epoch seconds.
        client: Network address of the requester.
    """
    return _make(CANCELLED, job=job, by=by, at=at, client=client)


def make_results(epoch, results, at=0.0):
    """Store the results of items.

    Args:
        epoch: Epoch of the owner that ran the items.
        results: List of ``[job, item, outcome, body]``; outcome is ``succeeded`` or
            ``failed``.
        at: Time in epoch seconds, from which the results' retention time counts.
    """
    return _make(RESULTS, epoch=epoch, results=results, at=at)


def make_suspect(epoch, job, item, attempts):
    """Record that the target failed in `attempts` solo runs of an item."""
    return _make(SUSPECT, epoch=epoch, job=job, item=item, attempts=attempts)


def make_expired(job, submission):
    """Drop an ended job whose results have passed their retention time."""
    return _make(EXPIRED, job=job, submission=submission)


def make_call_claimed(call, request, owner, digest, at):
    """Claim the right to run a call that must run at most once."""
    return _make(
        CALL_CLAIMED, call=call, request=request, owner=owner, digest=digest, at=at
    )


def make_call_ended(call, request, verdict, answer):
    """Record the verdict of a claimed call; `not_run` releases the claim."""
    return _make(CALL_ENDED, call=call, request=request, verdict=verdict, answer=answer)
