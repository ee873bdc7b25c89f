"""Data classes of the ledger: jobs, chunks of items and idempotency-key calls."""

import dataclasses

__all__ = ["Call", "Chunk", "Job"]

PENDING = 0
SUCCEEDED = 1
FAILED = 2
OUTCOMES = {"succeeded": SUCCEEDED, "failed": FAILED}

OPEN = "open"
CANCELLED = "cancelled"
DONE = "done"


@dataclasses.dataclass(slots=True)
class Job:
    """One batch job.

    Attributes:
        id: Id of the job.
        submission: Id of the submission, which its chunks carry.
        workspace: Name of the workspace.
        key: Idempotency key of the submission.
        digest: Hash of the submitted content.
        model: Model of all items.
        items: Number of items.
        deadline: Deadline in epoch seconds, or None.
        at: When the job was submitted, in epoch seconds.
        state: ``open``, ``cancelled`` or ``done``.
        outcomes: One byte for each item: 0 pending, 1 succeeded, 2 failed.
        refs: Id of the record that holds the result, or None, for each item.
        pending: Number of items without a result.
        suspects: Number of solo runs during which the target failed, by item.
        cancelled_by: User who cancelled the job, or None.
        ended_at: When the job was done or cancelled, in epoch seconds, or None.
    """

    id: str
    submission: str
    workspace: str
    key: str
    digest: str
    model: str
    items: int
    deadline: float | None
    at: float
    state: str = OPEN
    outcomes: bytearray = dataclasses.field(default_factory=bytearray)
    refs: list = dataclasses.field(default_factory=list)
    pending: int = 0
    suspects: dict = dataclasses.field(default_factory=dict)
    cancelled_by: str | None = None
    ended_at: float | None = None

    @property
    def succeeded(self):
        """Number of items that succeeded."""
        return self.outcomes.count(SUCCEEDED)

    @property
    def failed(self):
        """Number of items that failed."""
        return self.outcomes.count(FAILED)

    def end(self, state, at):
        """End the job at a time that a record states, in epoch seconds."""
        self.state = state
        self.ended_at = max(self.at, at)


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """Record that holds some items of a submission.

    Attributes:
        offset: Offset of the record.
        size: Number of items in the record.
        id: Id of the record.
    """

    offset: int
    size: int
    id: str


@dataclasses.dataclass(slots=True)
class Call:
    """One call with an idempotency key, which must run at most once.

    Attributes:
        id: Id derived from workspace, service and idempotency key.
        request: Id of the request that holds the claim.
        owner: Name of the entry that claimed the call.
        digest: Hash of the request's content.
        at: When it was claimed, in epoch seconds.
        verdict: Verdict at its end, or None while it is in progress.
        answer: Stored answer for retries, or None.
    """

    id: str
    request: str
    owner: str
    digest: str
    at: float
    verdict: str | None = None
    answer: dict | None = None
