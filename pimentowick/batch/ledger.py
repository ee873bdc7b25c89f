"""Replicated state machine of one shard: ownership, jobs and idempotency-key calls.

Whether a record takes effect depends only on the records before it:

- A claim takes effect if its epoch is one above the current epoch. Records of any
  other than the current epoch are void, so an owner that was suspended during a
  takeover can waste work but can't change the state.
- The first valid result of an item counts. A result after the cancellation of its job
  is void.
- The first submission under a job's id creates the job.
- The first claim of a call holds the right to run it, until the call ends as not run.

Bodies stay in the log: the ledger stores the offsets of the records that hold items
and results. A record that is relocated, that is, appended again under the same id to
outlive the log's retention, only updates this offset, whatever its epoch.

A record is validated completely before any of it is applied. A partially applied one
would leave items complete without a readable result.
"""

import collections
import dataclasses
import math

from pimentowick import exception
from pimentowick.batch import audit as batch_audit
from pimentowick.batch import record as batch_record
from pimentowick.batch import state
from pimentowick.replication import state_machine

__all__ = ["Ledger"]

MAX_ORPHAN_SUBMISSIONS = 1000
MAX_ENDED_CALLS = 20_000
RESULT_ROWS_PER_PART = 2000
CALLS_PER_PART = 500
AUDIT_EVENTS_PER_PART = 50


class Ledger(state_machine.StateMachine):
    """Ownership, jobs and calls of one shard.

    Attributes:
        epoch: Current epoch; 0 if the shard was never owned.
        owner: Name of the owning process, or None.
        jobs: `pimentowick.batch.state.Job` by id.
        calls: `pimentowick.batch.state.Call` by id.
        owner_offset: Offset of the last record that proves the owner alive.
        fenced: Number of records read with a stale epoch; not part of the state.
        audit_events: `pimentowick.batch.audit.AuditEvent` objects of the latest claims,
            releases and cancellations, oldest first.

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
        self.audit_events = collections.deque(maxlen=batch_audit.MAX_AUDIT_EVENTS)
        self.jobs = {}
        self.calls = {}
        self._ended_calls = 0
        # Chunks by submission and index; offsets of result records by record id; and
        # the number of items whose result is in a record, by record id.
        self.chunks = {}
        self.results = {}
        self._result_item_counts = {}
        self._job_submissions = set()

    # Handlers by record type.

    def apply(self, offset, record):
        """Apply one record; see `StateMachine.apply`."""
        try:
            handle = self._HANDLERS.get(record.get("type"))
            if handle is not None:
                handle(self, offset, record)
        except (LookupError, TypeError, ValueError, AttributeError, OverflowError):
            # The stream may contain anything. A malformed record has no effect, on
            # any replica alike.
            return

    def _apply_claim(self, offset, record):
        epoch = _get_field(record, "epoch", int)
        owner = _get_field(record, "owner", str)
        accepted = epoch == self.epoch + 1
        self.audit_events.append(
            batch_audit.make_claim_event(offset, record, self.epoch, accepted)
        )
        if not accepted:
            return
        self.owner = owner
        self.epoch = epoch
        self.owner_offset = offset

    def _apply_release(self, offset, record):
        if self._has_current_epoch(record):
            self.audit_events.append(
                batch_audit.make_release_event(offset, self.owner, self.epoch)
            )
            self.owner = None
            self.owner_offset = offset

    def _apply_renew(self, offset, record):
        if self._has_current_epoch(record):
            self.owner_offset = offset

    def _has_current_epoch(self, record):
        current = self.owner is not None and record["epoch"] == self.epoch
        if not current:
            self.fenced += 1
        return current

    def _apply_chunk(self, offset, record):
        submission = _get_field(record, "submission", str)
        index = _get_field(record, "index", int)
        chunk = state.Chunk(
            offset,
            len(_get_field(record, "items", list)),
            _get_field(record, "id", str),
        )
        known = self.chunks.get(submission, {})
        if index in known:
            # A relocated chunk has the same id. A chunk with another id would replace
            # items that were already accepted.
            if known[index].id == chunk.id and known[index].size == chunk.size:
                known[index] = chunk
            return
        if submission in self._job_submissions:
            return
        self.chunks.setdefault(submission, {})[index] = chunk
        orphans = len(self.chunks) - len(self._job_submissions)
        if orphans > MAX_ORPHAN_SUBMISSIONS:
            self._drop_oldest_submission()

    def _drop_oldest_submission(self):
        for submission in self.chunks:
            if submission not in self._job_submissions:
                del self.chunks[submission]
                return

    def _apply_submitted(self, offset, record):
        chunks = self.chunks.get(record["submission"], {})
        count = sum(chunk.size for chunk in chunks.values())
        is_whole = sorted(chunks) == list(range(len(chunks)))
        if not is_whole or (len(chunks), count) != (record["chunks"], record["items"]):
            return
        job = _make_job(record)
        if job.id in self.jobs or job.submission in self._job_submissions:
            return
        if not job.items:
            job.end(state.DONE, job.at)
        self._add_job(job)

    def _add_job(self, job):
        self.jobs[job.id] = job
        self.chunks.setdefault(job.submission, {})
        self._job_submissions.add(job.submission)

    def _apply_cancelled(self, offset, record):
        job = self.jobs[record["job"]]
        by = _get_field(record, "by", str)
        at = _get_time(record, job.at)
        self.audit_events.append(
            batch_audit.make_cancellation_event(offset, record, job)
        )
        if job.state == state.OPEN:
            job.end(state.CANCELLED, at)
            job.cancelled_by = by

    def _apply_results(self, offset, record):
        record_id = _get_field(record, "id", str)
        if record_id in self.results:
            self.results[record_id] = offset
            return
        if not self._has_current_epoch(record):
            return
        rows = _parse_results(record)
        at = _get_time(record, 0.0)
        self.owner_offset = offset
        completed = sum(self._complete_item(record_id, at, *row) for row in rows)
        if completed:
            self.results[record_id] = offset
            self._result_item_counts[record_id] = completed

    def _complete_item(self, record_id, at, job_id, item, outcome):
        job = self.jobs.get(job_id)
        if job is None or job.state != state.OPEN or not 0 <= item < job.items:
            return False
        if job.outcomes[item] != state.PENDING:
            return False
        job.outcomes[item] = outcome
        job.refs[item] = record_id
        job.suspects.pop(item, None)
        job.pending -= 1
        if job.pending == 0:
            job.end(state.DONE, at)
        return True

    def _apply_suspect(self, offset, record):
        if not self._has_current_epoch(record):
            return
        job = self.jobs[record["job"]]
        item = _get_field(record, "item", int)
        attempts = _get_field(record, "attempts", int)
        self.owner_offset = offset
        if 0 <= item < job.items and job.outcomes[item] == state.PENDING:
            job.suspects[item] = attempts

    def _apply_expired(self, offset, record):
        job = self.jobs[record["job"]]
        # A delayed duplicate must not drop a later job with the same key.
        if job.state == state.OPEN or job.submission != record["submission"]:
            return
        del self.jobs[job.id]
        del self.chunks[job.submission]
        self._job_submissions.discard(job.submission)
        for ref in job.refs:
            if ref is not None:
                self._release_result_record(ref)

    def _release_result_record(self, record_id):
        self._result_item_counts[record_id] -= 1
        if not self._result_item_counts[record_id]:
            del self._result_item_counts[record_id]
            del self.results[record_id]

    def _apply_call_claimed(self, offset, record):
        known = self.calls.get(record["call"])
        if known is not None and known.verdict != "not_run":
            return
        call = state.Call(
            id=record["call"],
            request=record["request"],
            owner=record["owner"],
            digest=record["digest"],
            at=record["at"],
        )
        self._remove_call(call.id)
        self.calls[call.id] = call

    def _remove_call(self, call_id):
        call = self.calls.pop(call_id, None)
        if call is not None and call.verdict is not None:
            self._ended_calls -= 1

    def _apply_call_ended(self, offset, record):
        call = self.calls[record["call"]]
        ended, answer = record["verdict"], record["answer"]
        if call.request != record["request"] or call.verdict is not None:
            return
        if not isinstance(ended, str):
            raise TypeError("verdict is not a string")
        call.verdict = ended
        call.answer = answer
        # Calls are ordered by their end. Otherwise a long call would be the first to be
        # dropped as soon as it ends.
        self.calls[call.id] = self.calls.pop(call.id)
        self._ended_calls += 1
        if self._ended_calls > MAX_ENDED_CALLS:
            self._remove_call(self._find_oldest_ended_call())

    def _find_oldest_ended_call(self):
        # Running calls are skipped: a dropped one could run a second time. A call that
        # never ends must not keep later ones from being dropped either.
        return next(call.id for call in self.calls.values() if call.verdict is not None)

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

    # Queries.

    def list_open_jobs(self):
        """Return the open jobs."""
        return [job for job in self.jobs.values() if job.state == state.OPEN]

    def find_chunk(self, job, index):
        """Return a `pimentowick.batch.state.Chunk` of a job by its index."""
        return self.chunks[job.submission][index]

    def count_chunks(self, job):
        """Return the number of chunks of a job."""
        return len(self.chunks[job.submission])

    def list_needed_offsets(self):
        """Return the sorted offsets of the records whose bodies are still needed.

        These are the results of all jobs and the items of open jobs.
        """
        offsets = set(self.results.values())
        for job in self.list_open_jobs():
            offsets.update(
                chunk.offset for chunk in self.chunks[job.submission].values()
            )
        return sorted(offsets)

    # Dumping and loading the state.

    def dump(self):
        """Return the state in parts; see `StateMachine.dump`."""
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
        for start in range(0, len(calls), CALLS_PER_PART):
            parts.append({"calls": calls[start : start + CALLS_PER_PART]})
        audit_events = [dataclasses.asdict(event) for event in self.audit_events]
        for start in range(0, len(audit_events), AUDIT_EVENTS_PER_PART):
            parts.append({"notes": audit_events[start : start + AUDIT_EVENTS_PER_PART]})
        return parts

    def _dump_orphans(self):
        return {
            submission: _dump_chunks(chunks)
            for submission, chunks in self.chunks.items()
            if submission not in self._job_submissions
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
        for start in range(0, len(rows), RESULT_ROWS_PER_PART):
            yield {
                "results_of": job.id,
                "rows": rows[start : start + RESULT_ROWS_PER_PART],
            }

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
            "ended_at": job.ended_at,
            "suspects": sorted(job.suspects.items()),
            "failed": _make_ranges(
                [i for i, outcome in enumerate(job.outcomes) if outcome == state.FAILED]
            ),
            "chunks": _dump_chunks(self.chunks[job.submission]),
        }

    def load(self, parts):
        """Replace the state by a dump; see `Ledger.dump`.

        Raises:
            ValidationError: `parts` is malformed; the state is unchanged.
        """
        loaded = Ledger()
        try:
            for part in parts:
                loaded._load_part(part)
        except (AttributeError, LookupError, TypeError, ValueError) as error:
            raise exception.ValidationError(
                f"malformed ledger dump: {error!r}"
            ) from error
        for job in loaded.jobs.values():
            job.pending = job.outcomes.count(state.PENDING)
        loaded._ended_calls = sum(
            call.verdict is not None for call in loaded.calls.values()
        )
        loaded.fenced = self.fenced
        self.__dict__.update(loaded.__dict__)

    def _load_part(self, part):
        if "epoch" in part:
            self._load_head(part)
        elif "job" in part:
            self._load_job(part["job"])
        elif "results_of" in part:
            self._load_results(part)
        elif "notes" in part:
            self.audit_events.extend(
                batch_audit.AuditEvent(**data) for data in part["notes"]
            )
        else:
            for call in part["calls"]:
                self.calls[call["id"]] = state.Call(**call)

    def _load_head(self, part):
        self.epoch = part["epoch"]
        self.owner = part["owner"]
        self.owner_offset = part["owner_offset"]
        for submission, chunks in part["orphans"].items():
            self.chunks[submission] = _load_chunks(chunks)

    def _load_job(self, data):
        job = _make_job({**data, "job": data["id"]})
        job.state = data["state"]
        job.cancelled_by = data["cancelled_by"]
        job.ended_at = data["ended_at"]
        job.suspects = dict(data["suspects"])
        for first, last in data["failed"]:
            for item in range(first, last + 1):
                job.outcomes[item] = state.FAILED
        self._add_job(job)
        self.chunks[job.submission] = _load_chunks(data["chunks"])

    def _load_results(self, part):
        job = self.jobs[part["results_of"]]
        for ref, offset, first, last in part["rows"]:
            self.results[ref] = offset
            self._result_item_counts[ref] = (
                self._result_item_counts.get(ref, 0) + last + 1 - first
            )
            for item in range(first, last + 1):
                job.refs[item] = ref
                if job.outcomes[item] == state.PENDING:
                    job.outcomes[item] = state.SUCCEEDED


def _get_field(record, name, kind):
    value = record[name]
    if type(value) is not kind:
        raise TypeError(f"{name} is not of type {kind.__name__}")
    return value


def _get_time(record, default):
    value = record.get("at", default)
    if type(value) not in (int, float) or not math.isfinite(value):
        raise TypeError("at is not a finite number")
    return value


def _make_job(record):
    items = _get_field(record, "items", int)
    deadline = record.get("deadline")
    if deadline is not None and type(deadline) not in (int, float):
        raise TypeError("deadline is not a number")
    model = record.get("model")
    if model is not None and type(model) is not str:
        raise TypeError("model is not a string")
    return state.Job(
        id=_get_field(record, "job", str),
        submission=_get_field(record, "submission", str),
        workspace=_get_field(record, "workspace", str),
        key=_get_field(record, "key", str),
        digest=_get_field(record, "digest", str),
        model=model,
        items=items,
        deadline=deadline,
        at=_get_time(record, 0.0),
        outcomes=bytearray(items),
        refs=[None] * items,
        pending=items,
    )


def _parse_results(record):
    rows = []
    for job_id, item, outcome, _ in _get_field(record, "results", list):
        if type(job_id) is not str or type(item) is not int:
            raise TypeError("result has a malformed job id or item number")
        rows.append((job_id, item, state.OUTCOMES[outcome]))
    return rows


def _dump_chunks(chunks):
    return [[index, c.offset, c.size, c.id] for index, c in chunks.items()]


def _load_chunks(rows):
    return {index: state.Chunk(*fields) for index, *fields in rows}


def _make_ranges(items):
    """Return sorted numbers as a list of inclusive ranges ``[first, last]``.

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
