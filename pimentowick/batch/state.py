"""What the ledger of a shard keeps of jobs and of calls that must not run twice."""

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
        submission: Id that the chunks carry.
        workspace: Name of the workspace.
        key: Idempotency key of the submission.
        digest: Hash of the content.
        model: Model that all items ask for.
        items: Number of items.
        deadline: Epoch seconds, or None.
        at: When the job was submitted, in epoch seconds.
        state: ``open``, ``cancelled`` or ``done``.
        outcomes: One byte for each item: 0 pending, 1 succeeded, 2 failed.
        refs: For each item the id of the record that holds its result, or None.
        pending: Number of items without a result.
        suspects: Attempts during which the target died, by item.
        cancelled_by: Who cancelled the job.
        ended_at: When it was done or cancelled, in epoch seconds, or None.
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
        """Number of items that ended as failed."""
        return self.outcomes.count(FAILED)

    def end(self, state, at):
        """Close the job at a time that a record states, in epoch seconds."""
        self.state = state
        self.ended_at = max(self.at, at)


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """Where some items of a submission are.

    Attributes:
        offset: Offset of the record.
        size: Number of items in it.
        id: Id of the record.
    """

    offset: int
    size: int
    id: str


@dataclasses.dataclass(slots=True)
class Call:
    """One call that must not run twice.

    Attributes:
        id: Id derived from workspace, service and idempotency key.
        request: Request that holds the right to run.
        owner: Name of the entry that claimed it.
        digest: Hash of the content.
        at: When it was claimed, in epoch seconds.
        verdict: How it ended, or None while it runs.
        answer: The answer, for whoever asks again.
    """

    id: str
    request: str
    owner: str
    digest: str
    at: float
    verdict: str | None = None
    answer: dict | None = None
