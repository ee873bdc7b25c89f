"""Table of batch jobs, materialized from two partitions of the store.

Notes:
    One partition holds the accepted jobs, the other their outcomes: a record for each
    result, failure and cancellation. Every entry reads both, so they are kept small;
    item bodies and texts are stored elsewhere (see `pimentowick.gateway.content`) and
    read on demand.

    The store keeps the newest record of each key. Outcome records have unique keys, so
    that a duplicate result of an item follows the first one and is ignored. Results are
    ordered by offset, so that all entries agree on their positions, including entries
    that start from a snapshot.
"""

import contextlib
import dataclasses
import time

import orjson

from pimentowick.gateway import content, decision_log, record, route

__all__ = ["Item", "Job", "JobOutcome", "JobTable", "Orphan", "Result"]

# Tolerates clock skew between hosts, so that no item is abandoned early.
CLOCK_SKEW_MARGIN_S = 5.0


@dataclasses.dataclass(slots=True)
class Item:
    """One item as submitted.

    Attributes:
        id: Identifier, unique among all jobs.
        path: Request path at the target.
        headers: Request headers for the target.
        tokens: Prompt tokens plus the maximum number of output tokens.
        body: The `content.Reference` of its body.
    """

    id: str
    path: str
    headers: dict
    tokens: int
    body: object = None


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The result of an item.

    Attributes:
        id: Identifier of the item.
        done: Whether the item completed.
        text: The `content.Reference` of its text, or None if the item did not complete.
    """

    id: str
    done: bool
    text: object = None


@dataclasses.dataclass(slots=True)
class JobOutcome:
    """The outcome records of a job.

    Attributes:
        rows: Tuples (item number, done, text) in order of position.
        failures: Sets of identifiers of failed runs, by item number.
        is_cancelled: Whether a caller has cancelled the job.
        keys: Keys of all outcome records.
        known_since: Monotonic time at which this entry first read one of them.
    """

    rows: list = dataclasses.field(default_factory=list)
    failures: dict = dataclasses.field(default_factory=dict)
    is_cancelled: bool = False
    keys: list = dataclasses.field(default_factory=list)
    known_since: float = dataclasses.field(default_factory=time.monotonic)
    _with_result: set = dataclasses.field(default_factory=set)

    def has_result(self, number):
        """Return whether an item has a result."""
        return number in self._with_result

    def apply(self, key, kind, tail, value):
        """Apply one record."""
        self.keys.append(key)
        number, _, name = tail.partition("/")
        if kind == "e":
            self.is_cancelled = True
        elif kind == "f":
            self.failures.setdefault(int(number), set()).add(name)
        elif kind == "i" and int(number) not in self._with_result:
            data = orjson.loads(value)
            text = content.Reference.decode(data["text"]) if data["text"] else None
            row = (int(number), data["done"], text)
            self._with_result.add(int(number))
            self.rows.append(row)


@dataclasses.dataclass(frozen=True, slots=True)
class Orphan:
    """Outcome records of a job that is not in the table.

    Attributes:
        job_id: Identifier of the job.
        keys: Keys of the records.
        known_since: Monotonic time at which this entry first read one of them.
    """

    job_id: str
    keys: tuple
    known_since: float


@dataclasses.dataclass(eq=False, slots=True)
class Job:
    """One accepted batch job.

    Attributes:
        id: Identifier among all jobs (see `pimentowick.gateway.workspace`).
        host: Host header of the submission; reads must carry the same one.
        path: Path of the submission.
        submitted_s: Unix time of acceptance.
        items: The `Item` objects by number.
        outcome: The `JobOutcome`.
        workspace: Name of the workspace that owns the job, or None.
        received_at: Monotonic time at which the record was received, or minus infinity
            if it was part of a snapshot.
        known_since: Monotonic time at which this entry first read the record.
        closed_since: Monotonic time since which this entry has known it to be closed,
            or None while it is open.
    """

    id: str
    host: str
    path: str
    submitted_s: float
    items: list
    outcome: JobOutcome = dataclasses.field(default_factory=JobOutcome)
    received_at: float = float("-inf")
    workspace: str | None = None
    known_since: float = dataclasses.field(default_factory=time.monotonic)
    closed_since: float | None = None

    @property
    def is_cancelled(self):
        """Whether a caller has cancelled the job."""
        return self.outcome.is_cancelled

    @property
    def results(self):
        """The `Result` objects in order of position."""
        return self.list_results(0)

    def list_results(self, after):
        """Return the results from position `after` on."""
        return [
            Result(self.items[number].id, done, text)
            for number, done, text in self.outcome.rows[after:]
        ]

    @property
    def is_open(self):
        """Whether the job has items that may still run."""
        return not self.is_cancelled and len(self.outcome.rows) < len(self.items)

    def needs_run(self, number):
        """Return whether an item has no result and may still run."""
        return not self.is_cancelled and not self.outcome.has_result(number)

    def count_failures(self, number):
        """Return the number of failed runs of an item."""
        return len(self.outcome.failures.get(number, ()))

    def compute_min_age_s(self, now, unix_now):
        """Return a lower bound of the time since the job was accepted, in seconds.

        Only for a job of a snapshot, after a restart, are the clocks of hosts compared.

        Args:
            now: Monotonic time, in seconds.
            unix_now: Unix time, in seconds.
        """
        if self.received_at > float("-inf"):
            return now - self.received_at
        return unix_now - self.submitted_s - CLOCK_SKEW_MARGIN_S

    def count_waiting_tokens(self):
        """Return the total tokens of the items without a result."""
        if self.is_cancelled:
            return 0
        return sum(
            item.tokens
            for number, item in enumerate(self.items)
            if not self.outcome.has_result(number)
        )


class JobTable:
    """All jobs that the store holds.

    Records must be applied in order of offset within a partition; duplicates are
    ignored. The two partitions are independent: an outcome may precede its job.

    Attributes:
        jobs: The `Job` objects by identifier.
        open_jobs: The jobs with items that may still run, by identifier.
        version: Number of applied records, for detecting changes.
    """

    def __init__(self):
        self.jobs = {}
        self.open_jobs = {}
        self.version = 0
        self._outcomes = {}

    def reset_jobs(self, records):
        """Replace the accepted jobs by a snapshot of the newest records."""
        live_keys = {newest.key for newest in records if newest.value}
        for job_id in [
            job_id for job_id in self.jobs if f"j/{job_id}" not in live_keys
        ]:
            self._delete_job(job_id, "not_in_snapshot")
        for newest in records:
            self._apply_job(newest.key, newest.value, float("-inf"))

    def reset_outcomes(self, records):
        """Replace the outcomes by a snapshot of the newest records."""
        self._outcomes = {}
        for newest in records:
            self.apply_outcome(newest.key, newest.value)
        for job in self.jobs.values():
            known = len(job.outcome.rows)
            job.outcome = self._outcomes.setdefault(job.id, JobOutcome())
            if len(job.outcome.rows) < known:
                decision_log.log_request_event(
                    "batch.results_missing",
                    job.id,
                    outcome="not_in_snapshot",
                    results=len(job.outcome.rows),
                    known=known,
                )
            self._update_open(job)

    def apply_job(self, key, value):
        """Apply one record of an accepted job; an empty value deletes the job."""
        self._apply_job(key, value, time.monotonic())

    def _apply_job(self, key, value, received_at):
        self.version += 1
        kind, _, job_id = key.partition("/")
        if kind != "j":
            return
        if not value:
            self._delete_job(job_id, "deleted")
        elif job_id not in self.jobs:
            with _skip_malformed(key):
                self._add_job(job_id, orjson.loads(value), received_at)

    def apply_outcome(self, key, value):
        """Apply one outcome record; an empty value is a tombstone."""
        self.version += 1
        with _skip_malformed(key):
            kind, job_id, tail = record.split_outcome_key(key)
            if value:
                outcome = self._outcomes.setdefault(job_id, JobOutcome())
                outcome.apply(key, kind, tail, value)
            else:
                self._delete_outcome(job_id, key)
            if value and job_id in self.jobs:
                self._update_open(self.jobs[job_id])

    def _delete_outcome(self, job_id, key):
        outcome = self._outcomes.get(job_id)
        if outcome is not None:
            outcome.keys[:] = [known for known in outcome.keys if known != key]
        self._drop_empty_outcome(job_id)

    def _drop_empty_outcome(self, job_id):
        """Drop the outcome of a deleted job once all of its records are deleted, too.

        The two partitions are independent, so that either may come first.
        """
        outcome = self._outcomes.get(job_id)
        if job_id not in self.jobs and outcome is not None and not outcome.keys:
            del self._outcomes[job_id]

    def list_orphans(self):
        """Return the `Orphan` objects, of deleted jobs or of jobs not read yet."""
        return [
            Orphan(job_id, tuple(outcome.keys), outcome.known_since)
            for job_id, outcome in self._outcomes.items()
            if job_id not in self.jobs and outcome.keys
        ]

    def _add_job(self, job_id, data, received_at):
        outcome = self._outcomes.setdefault(job_id, JobOutcome())
        items = [_make_item(row) for row in data["items"]]
        job = Job(
            job_id,
            data["host"],
            data["path"],
            data["submitted_s"],
            items,
            outcome,
            received_at,
            data.get("workspace"),
        )
        self.jobs[job_id] = job
        self._update_open(job)

    def _delete_job(self, job_id, reason):
        job = self.jobs.pop(job_id, None)
        if job is not None:
            decision_log.log_request_event(
                "batch.forgotten",
                job_id,
                outcome=reason,
                is_open=job.is_open,
                results=len(job.outcome.rows),
                items=len(job.items),
            )
        self.open_jobs.pop(job_id, None)
        self._drop_empty_outcome(job_id)

    def _update_open(self, job):
        if job.is_open:
            self.open_jobs[job.id] = job
            job.closed_since = None
            return
        self.open_jobs.pop(job.id, None)
        if job.closed_since is None:
            job.closed_since = time.monotonic()

    def count_waiting_tokens(self, path_prefix, host, workspace=None):
        """Return the tokens of a workspace's unfinished items on a route."""
        return sum(
            job.count_waiting_tokens()
            for job in self.open_jobs.values()
            if route.is_same_host(job.host, host)
            and job.workspace == workspace
            and job.path.startswith(path_prefix)
        )


@contextlib.contextmanager
def _skip_malformed(key):
    """Skip a malformed record, without those that follow it."""
    try:
        yield
    except (ValueError, TypeError, LookupError, AttributeError) as error:
        decision_log.log_event("batch.garbled", record=key, why=str(error))


def _make_item(fields):
    return Item(
        fields["id"],
        fields["path"],
        fields["headers"],
        fields["tokens"],
        content.Reference.decode(fields["body"]),
    )
