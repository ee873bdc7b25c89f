"""Batch jobs as the entries keep them: the fold of two partitions of records.

Notes:
    One partition says which jobs were accepted, the other what became of them: a record
    for each result, failure and end. Both are small, since every entry reads all of
    them; bodies and texts lie elsewhere (see `pimentowick.gateway.content`) and are
    read where they are needed.

    The store keeps the newest record of each key for good. An outcome is written under
    a key that no other record has, so that a second result of an item stands behind the
    first and changes nothing. The position of a result is its rank by offset, so all
    entries agree on it, also one that reads the newest records only.
"""

import dataclasses
import time

import orjson

from pimentowick.gateway import content

__all__ = ["Item", "Job", "JobTable", "Outcome", "Result"]


@dataclasses.dataclass(slots=True)
class Item:
    """One item as submitted.

    Attributes:
        id: Identifier within all jobs.
        path: Path at the target.
        headers: Headers for the target.
        tokens: Tokens of the prompt and most tokens of the answer.
        body: The `content.Reference` of its body.
    """

    id: str
    path: str
    headers: dict
    tokens: int
    body: object = None


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """A listed result.

    Attributes:
        id: Identifier of the item.
        done: Whether it ran to its end.
        text: The `content.Reference` of its text, or None if it has none.
    """

    id: str
    done: bool
    text: object = None


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of a job so far.

    Attributes:
        rows: Number, whether done, and text of each result, in order of position.
        failures: Names of the failed runs, by number of the item.
        ended: Whether a caller ended it.
        keys: Keys of all its records.
    """

    rows: list = dataclasses.field(default_factory=list)
    failures: dict = dataclasses.field(default_factory=dict)
    ended: bool = False
    keys: list = dataclasses.field(default_factory=list)
    _listed: set = dataclasses.field(default_factory=set)

    def is_listed(self, number):
        """Return whether an item has a result."""
        return number in self._listed

    def take(self, key, kind, tail, value):
        """Take one record."""
        self.keys.append(key)
        number, _, name = tail.partition("/")
        if kind == "e":
            self.ended = True
        elif kind == "f":
            self.failures.setdefault(int(number), set()).add(name)
        elif kind == "i" and int(number) not in self._listed:
            data = orjson.loads(value)
            self._listed.add(int(number))
            text = content.Reference.decode(data["text"]) if data["text"] else None
            self.rows.append((int(number), data["done"], text))


@dataclasses.dataclass(eq=False, slots=True)
class Job:
    """One accepted batch job.

    Attributes:
        id: Name among all jobs (see `pimentowick.gateway.workspace`).
        host: Host header of the submission; only callers there may read it.
        path: Path of the submission.
        submitted_s: Unix time of the acceptance.
        items: The `Item` objects by number.
        outcome: The `Outcome`.
        workspace: Name of the workspace that it belongs to, or None without one.
        learnt_at: Monotonic time at which it came as a new record, minus infinity if
            it was there before.
    """

    id: str
    host: str
    path: str
    submitted_s: float
    items: list
    outcome: Outcome = dataclasses.field(default_factory=Outcome)
    learnt_at: float = float("-inf")
    workspace: str | None = None

    @property
    def ended(self):
        """Whether a caller ended it."""
        return self.outcome.ended

    @property
    def results(self):
        """The `Result` objects in order of position."""
        return self.list_results(0)

    def list_results(self, after):
        """Return the results from a position on."""
        return [
            Result(self.items[number].id, done, text)
            for number, done, text in self.outcome.rows[after:]
        ]

    @property
    def is_open(self):
        """Whether items may still run."""
        return not self.ended and len(self.outcome.rows) < len(self.items)

    def needs_run(self, number):
        """Return whether an item still has to run."""
        return not self.ended and not self.outcome.is_listed(number)

    def count_failures(self, number):
        """Return how many runs of an item have failed."""
        return len(self.outcome.failures.get(number, ()))

    def count_waiting_tokens(self):
        """Return the tokens of the items without a result."""
        if self.ended:
            return 0
        return sum(
            item.tokens
            for number, item in enumerate(self.items)
            if not self.outcome.is_listed(number)
        )


class JobTable:
    """All jobs.

    Records may be given twice, and in the order of their offsets only. Those of the two
    partitions come in any order: an outcome may come before its job.

    Attributes:
        jobs: The `Job` objects by identifier.
        open_jobs: Those with items that may still run.
        version: Number of records taken, for readers that wait for a change.
    """

    def __init__(self):
        self.jobs = {}
        self.open_jobs = {}
        self.version = 0
        self._outcomes = {}

    def reset_jobs(self, records):
        """Take the newest records of the accepted jobs in place of what was known."""
        found = {record.key for record in records if record.value}
        for job_id in [job_id for job_id in self.jobs if f"j/{job_id}" not in found]:
            self._drop(job_id)
        for record in records:
            self._take_job(record.key, record.value, float("-inf"))

    def reset_outcomes(self, records):
        """Take the newest records of outcomes in place of what was known."""
        self._outcomes = {}
        for record in records:
            self.apply_outcome(record.key, record.value)
        for found in self.jobs.values():
            found.outcome = self._outcomes.setdefault(found.id, Outcome())
            self._note_open(found)

    def apply_job(self, key, value):
        """Take one new record of an accepted job; an empty value drops it."""
        self._take_job(key, value, time.monotonic())

    def _take_job(self, key, value, learnt_at):
        self.version += 1
        kind, _, job_id = key.partition("/")
        if kind != "j":
            return
        if not value:
            self._drop(job_id)
        elif job_id not in self.jobs:
            self._add(job_id, orjson.loads(value), learnt_at)

    def apply_outcome(self, key, value):
        """Take one record of what became of a job; an empty value drops it."""
        self.version += 1
        kind, _, rest = key.partition("/")
        job_id, _, tail = rest.partition("/")
        if not value:
            # Dropped with its job, which is not read any more.
            if job_id not in self.jobs:
                self._outcomes.pop(job_id, None)
            return
        self._outcomes.setdefault(job_id, Outcome()).take(key, kind, tail, value)
        if job_id in self.jobs:
            self._note_open(self.jobs[job_id])

    def _add(self, job_id, data, learnt_at):
        outcome = self._outcomes.setdefault(job_id, Outcome())
        items = [_make_item(row) for row in data["items"]]
        found = Job(
            job_id,
            data["host"],
            data["path"],
            data["submitted_s"],
            items,
            outcome,
            learnt_at,
            data.get("workspace"),
        )
        self.jobs[job_id] = found
        self._note_open(found)

    def _drop(self, job_id):
        self.jobs.pop(job_id, None)
        self.open_jobs.pop(job_id, None)
        self._outcomes.pop(job_id, None)

    def _note_open(self, found):
        if found.is_open:
            self.open_jobs[found.id] = found
        else:
            self.open_jobs.pop(found.id, None)

    def count_waiting_tokens(self, path_prefix, host, workspace=None):
        """Return the tokens of a workspace that wait on a route."""
        return sum(
            job.count_waiting_tokens()
            for job in self.open_jobs.values()
            if job.host == host
            and job.workspace == workspace
            and job.path.startswith(path_prefix)
        )


def _make_item(row):
    return Item(
        row["id"],
        row["path"],
        row["headers"],
        row["tokens"],
        content.Reference.decode(row["body"]),
    )
