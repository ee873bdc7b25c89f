"""The state of one shard, folded from its stream.

Whether a record takes effect depends on the records before it alone:

- A claim is in force if its epoch is one above the epoch in force. Any later record
  that carries another epoch than the one in force is void, so an owner that was
  frozen while another one took over can waste work but can't change anything.
- The first valid result of an item is the result. A result after the cancellation
  of its job is void.
- The first submission under a job's id is the job.
- The first claim of a call is the right to run it, until it ends as not run.

Bodies stay in the log: the ledger keeps the offsets of the records that hold items
and results. A record that is appended again under its id, to carry it over the end
of retention, only moves that offset.
"""

import collections
import dataclasses

from pimentowick.batch import note as batch_note
from pimentowick.batch import record as batch_record
from pimentowick.replication import fold

__all__ = ["Call", "Job", "Ledger"]

PENDING = 0
SUCCEEDED = 1
FAILED = 2
OUTCOMES = {"succeeded": SUCCEEDED, "failed": FAILED}

OPEN = "open"
CANCELLED = "cancelled"
DONE = "done"

MAX_SUBMISSIONS_WITHOUT_JOB = 1000
MAX_ENDED_CALLS = 20_000
DUMP_ROWS = 2000
DUMP_CALLS = 500
DUMP_NOTES = 50


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
        suspects: Attempts during which the target died, by item.
        cancelled_by: Who cancelled the job.
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
    suspects: dict = dataclasses.field(default_factory=dict)
    cancelled_by: str | None = None

    @property
    def succeeded(self):
        """Number of items that succeeded."""
        return self.outcomes.count(SUCCEEDED)

    @property
    def failed(self):
        """Number of items that ended as failed."""
        return self.outcomes.count(FAILED)

    @property
    def pending(self):
        """Number of items without a result."""
        return self.outcomes.count(PENDING)


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


class Ledger(fold.Fold):
    """Jobs, calls and ownership of one shard.

    Attributes:
        epoch: Epoch in force; 0 while nobody ever owned the shard.
        owner: Name of the owning entry, or None.
        jobs: `Job` by id.
        calls: `Call` by id.
        owner_offset: Offset of the last record that shows the owner alive.
        fenced: Records read whose epoch was over; no part of the state.
        notes: `pimentowick.batch.note.Note` of the newest claims, releases and
            cancellations, oldest first.

    Examples:
        >>> ledger = Ledger()
        >>> ledger.apply(0, batch_record.make_claim(1, "a", 0.0))
        >>> ledger.apply(1, batch_record.make_claim(1, "b", 0.0))
        >>> ledger.owner
        'a'
    """

    def __init__(self):
        self.fenced = 0
        self._reset()

    def _reset(self):
        self.epoch = 0
        self.owner = None
        self.owner_offset = -1
        self.notes = collections.deque(maxlen=batch_note.NOTES_LIMIT)
        self.jobs = {}
        self.calls = {}
        # Offsets of the chunks by submission and index, and of results by record.
        self.chunks = {}
        self.results = {}

    # The handlers, by type of record.

    def apply(self, offset, record):
        """Apply one record; see `pimentowick.replication.fold.Fold.apply`."""
        handle = self._HANDLERS.get(record.get("type"))
        if handle is None:
            return
        try:
            handle(self, offset, record)
        except (KeyError, TypeError, ValueError, IndexError, AttributeError):
            # Anything may be on the stream; what does not have the form of a
            # record has no effect on any reader.
            return

    def _apply_claim(self, offset, record):
        accepted = record["epoch"] == self.epoch + 1
        self.notes.append(batch_note.note_claim(offset, record, self.epoch, accepted))
        if not accepted:
            return
        self.owner = str(record["owner"])
        self.epoch = record["epoch"]
        self.owner_offset = offset

    def _apply_release(self, offset, record):
        if self._is_current(record):
            self.notes.append(batch_note.note_release(offset, self.owner, self.epoch))
            self.owner = None
            self.owner_offset = offset

    def _apply_renew(self, offset, record):
        if self._is_current(record):
            self.owner_offset = offset

    def _is_current(self, record):
        current = self.owner is not None and record["epoch"] == self.epoch
        if not current:
            self.fenced += 1
        return current

    def _apply_chunk(self, offset, record):
        submission = record["submission"]
        index = int(record["index"])
        if not isinstance(record["items"], list) or not isinstance(submission, str):
            return
        known = self.chunks.setdefault(submission, {})
        # A chunk that is appended again has the same items, at a new place.
        known[index] = (offset, len(record["items"]))
        if len(self.chunks) > MAX_SUBMISSIONS_WITHOUT_JOB + len(self.jobs):
            self._drop_oldest_submission()

    def _drop_oldest_submission(self):
        wanted = {job.submission for job in self.jobs.values()}
        for submission in self.chunks:
            if submission not in wanted:
                del self.chunks[submission]
                return

    def _apply_submitted(self, offset, record):
        job_id = record["job"]
        if job_id in self.jobs:
            return
        chunks = self.chunks.get(record["submission"], {})
        count = sum(size for _, size in chunks.values())
        if sorted(chunks) != list(range(record["chunks"])) or count != record["items"]:
            return
        self.jobs[job_id] = Job(
            id=job_id,
            submission=record["submission"],
            workspace=record["workspace"],
            key=record["key"],
            digest=record["digest"],
            model=record["model"],
            items=record["items"],
            deadline=record.get("deadline"),
            at=record["at"],
            state=OPEN if record["items"] else DONE,
            outcomes=bytearray(record["items"]),
            refs=[None] * record["items"],
        )

    def _apply_cancelled(self, offset, record):
        job = self.jobs[record["job"]]
        self.notes.append(batch_note.note_cancelled(offset, record, job))
        if job.state == OPEN:
            job.state = CANCELLED
            job.cancelled_by = str(record["by"])

    def _apply_results(self, offset, record):
        record_id = record["id"]
        if record_id in self.results:
            self.results[record_id] = offset
            return
        if not self._is_current(record):
            return
        self.owner_offset = offset
        used = False
        for job_id, item, outcome, _ in record["results"]:
            used = self._complete(record_id, job_id, item, outcome) or used
        if used:
            self.results[record_id] = offset

    def _complete(self, record_id, job_id, item, outcome):
        job = self.jobs.get(job_id)
        if job is None or job.state != OPEN or not 0 <= item < job.items:
            return False
        if job.outcomes[item] != PENDING:
            return False
        job.outcomes[item] = OUTCOMES[outcome]
        job.refs[item] = record_id
        job.suspects.pop(item, None)
        # Finding one that waits is far cheaper than counting all of them.
        if PENDING not in job.outcomes:
            job.state = DONE
        return True

    def _apply_suspect(self, offset, record):
        if not self._is_current(record):
            return
        self.owner_offset = offset
        job = self.jobs[record["job"]]
        item = record["item"]
        if job.outcomes[item] == PENDING:
            job.suspects[item] = int(record["attempts"])

    def _apply_expired(self, offset, record):
        job = self.jobs[record["job"]]
        if job.state == OPEN:
            return
        del self.jobs[job.id]
        self.chunks.pop(job.submission, None)
        wanted = set()
        for other in self.jobs.values():
            wanted.update(other.refs)
        for record_id in set(job.refs) - wanted:
            self.results.pop(record_id, None)

    def _apply_call_claimed(self, offset, record):
        known = self.calls.get(record["call"])
        if known is not None and known.verdict != "not_run":
            return
        # Removed first, so that the order of the dictionary is that of claims.
        self.calls.pop(record["call"], None)
        self.calls[record["call"]] = Call(
            id=record["call"],
            request=record["request"],
            owner=record["owner"],
            digest=record["digest"],
            at=record["at"],
        )
        if len(self.calls) > MAX_ENDED_CALLS:
            self._drop_oldest_call()

    def _drop_oldest_call(self):
        oldest = next(iter(self.calls))
        if self.calls[oldest].verdict is not None:
            del self.calls[oldest]

    def _apply_call_ended(self, offset, record):
        call = self.calls[record["call"]]
        if call.request == record["request"] and call.verdict is None:
            call.verdict = record["verdict"]
            call.answer = record["answer"]

    _HANDLERS = {
        batch_record.CLAIM: _apply_claim,
        batch_record.RELEASE: _apply_release,
        batch_record.RENEW: _apply_renew,
        batch_record.CHUNK: _apply_chunk,
        batch_record.SUBMITTED: _apply_submitted,
        batch_record.CANCELLED: _apply_cancelled,
        batch_record.RESULTS: _apply_results,
        batch_record.SUSPECT: _apply_suspect,
        batch_record.EXPIRED: _apply_expired,
        batch_record.CALL_CLAIMED: _apply_call_claimed,
        batch_record.CALL_ENDED: _apply_call_ended,
    }

    # Questions that owners and callers ask.

    def list_open_jobs(self):
        """Return the open jobs."""
        return [job for job in self.jobs.values() if job.state == OPEN]

    def find_chunk(self, job, index):
        """Return ``(offset, size)`` of a chunk of a job."""
        return self.chunks[job.submission][index]

    def count_chunks(self, job):
        """Return the number of chunks of a job."""
        return len(self.chunks[job.submission])

    def find_result(self, job, item):
        """Return the offset of the record with an item's result, or None."""
        ref = job.refs[item]
        return None if ref is None else self.results[ref]

    def list_needed_offsets(self):
        """Return the sorted offsets of the records whose bodies are still needed."""
        offsets = set(self.results.values())
        for job in self.jobs.values():
            for offset, _ in self.chunks[job.submission].values():
                offsets.add(offset)
        return sorted(offsets)

    # Carrying the state forward.

    def dump(self):
        """Return the state in parts; see `pimentowick.replication.fold.Fold`."""
        head = {
            "epoch": self.epoch,
            "owner": self.owner,
            "owner_offset": self.owner_offset,
            "orphans": self._dump_orphans(),
        }
        parts = [head]
        for job in self.jobs.values():
            parts.append({"job": self._dump_job(job)})
            parts.extend(self._dump_results(job))
        calls = [dataclasses.asdict(call) for call in self.calls.values()]
        for start in range(0, len(calls), DUMP_CALLS):
            parts.append({"calls": calls[start : start + DUMP_CALLS]})
        notes = [dataclasses.asdict(note) for note in self.notes]
        for start in range(0, len(notes), DUMP_NOTES):
            parts.append({"notes": notes[start : start + DUMP_NOTES]})
        return parts

    def _dump_orphans(self):
        wanted = {job.submission for job in self.jobs.values()}
        return {
            submission: _dump_chunks(chunks)
            for submission, chunks in self.chunks.items()
            if submission not in wanted
        }

    def _dump_results(self, job):
        groups = {}
        for item, ref in enumerate(job.refs):
            if ref is not None:
                groups.setdefault(ref, []).append(item)
        rows = []
        for ref, items in groups.items():
            for first, last in _make_ranges(items):
                rows.append([ref, self.results[ref], first, last])
        for start in range(0, len(rows), DUMP_ROWS):
            yield {"results_of": job.id, "rows": rows[start : start + DUMP_ROWS]}

    def _dump_job(self, job):
        return {
            "id": job.id,
            "submission": job.submission,
            "workspace": job.workspace,
            "key": job.key,
            "digest": job.digest,
            "model": job.model,
            "items": job.items,
            "deadline": job.deadline,
            "at": job.at,
            "state": job.state,
            "cancelled_by": job.cancelled_by,
            "suspects": sorted(job.suspects.items()),
            "failed": _make_ranges(
                [i for i, outcome in enumerate(job.outcomes) if outcome == FAILED]
            ),
            "chunks": _dump_chunks(self.chunks[job.submission]),
        }

    def load(self, parts):
        """Replace the state by a dumped one; see `Ledger.dump`."""
        self._reset()
        for part in parts:
            if "epoch" in part:
                self._load_head(part)
            elif "job" in part:
                self._load_job(part["job"])
            elif "results_of" in part:
                self._load_results(part)
            elif "notes" in part:
                self.notes.extend(batch_note.Note(**data) for data in part["notes"])
            else:
                for call in part["calls"]:
                    self.calls[call["id"]] = Call(**call)

    def _load_head(self, part):
        self.epoch = part["epoch"]
        self.owner = part["owner"]
        self.owner_offset = part["owner_offset"]
        for submission, chunks in part["orphans"].items():
            self.chunks[submission] = _load_chunks(chunks)

    def _load_job(self, data):
        job = Job(
            id=data["id"],
            submission=data["submission"],
            workspace=data["workspace"],
            key=data["key"],
            digest=data["digest"],
            model=data["model"],
            items=data["items"],
            deadline=data["deadline"],
            at=data["at"],
            state=data["state"],
            outcomes=bytearray(data["items"]),
            refs=[None] * data["items"],
            suspects={item: attempts for item, attempts in data["suspects"]},
            cancelled_by=data["cancelled_by"],
        )
        for first, last in data["failed"]:
            for item in range(first, last + 1):
                job.outcomes[item] = FAILED
        self.jobs[job.id] = job
        self.chunks[job.submission] = _load_chunks(data["chunks"])

    def _load_results(self, part):
        job = self.jobs[part["results_of"]]
        for ref, offset, first, last in part["rows"]:
            self.results[ref] = offset
            for item in range(first, last + 1):
                job.refs[item] = ref
                if job.outcomes[item] == PENDING:
                    job.outcomes[item] = SUCCEEDED


def _dump_chunks(chunks):
    return [[index, offset, size] for index, (offset, size) in chunks.items()]


def _load_chunks(rows):
    return {index: (offset, size) for index, offset, size in rows}


def _make_ranges(items):
    """Return sorted numbers as a list of ``[first, last]``.

    Examples:
        >>> _make_ranges([1, 2, 3, 7])
        [[1, 3], [7, 7]]
    """
    ranges = []
    for item in items:
        if ranges and ranges[-1][1] == item - 1:
            ranges[-1][1] = item
        else:
            ranges.append([item, item])
    return ranges
