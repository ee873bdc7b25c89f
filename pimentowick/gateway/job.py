"""Batch jobs as the entries keep them: the fold of one partition of records.

Notes:
    A job is one record, its bodies, pieces of text and results others, each under a
    key of its own, since the store keeps the newest record of each key for good. A
    key is written once only: every writer has read up to the end of the partition
    and appends there or not at all. The position of a result is its rank by offset,
    so all entries agree on it.
"""

import dataclasses

import orjson

__all__ = ["Book", "Item", "Job", "Result"]


@dataclasses.dataclass(slots=True)
class Item:
    """One item as submitted, and how far it is.

    Attributes:
        id: Identifier within all jobs.
        path: Path at the target.
        headers: Headers for the target.
        body: Bytes for the target.
        tokens: Tokens of the prompt and most tokens of the answer.
        pieces: Texts of the events so far, as recorded.
        last_event: Identifier of the last event recorded, or None.
        last_piece: Name of the last piece recorded, or None.
        failures: Answers that said the run failed.
        result: The `Result`, or None.
        is_whole: Whether all of its body is there.
        keys: Kind and number of the records that belong to the item alone.
    """

    id: str
    path: str
    headers: dict
    body: bytes
    tokens: int
    pieces: list = dataclasses.field(default_factory=list)
    last_event: str | None = None
    last_piece: str | None = None
    failures: int = 0
    result: "Result | None" = None
    is_whole: bool = True
    keys: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """A listed result."""

    id: str
    done: bool
    text: str


@dataclasses.dataclass(slots=True)
class Job:
    """One accepted batch job.

    Attributes:
        id: Identifier given by the client.
        host: Host header of the submission; only callers there may read it.
        path: Path of the submission.
        submitted_s: Unix time of the acceptance.
        items: The `Item` objects by number.
        results: The `Result` objects in order of position.
        ended: Whether a caller ended it.
    """

    id: str
    host: str
    path: str
    submitted_s: float
    items: list
    results: list = dataclasses.field(default_factory=list)
    ended: bool = False

    @property
    def is_open(self):
        """Whether items may still run."""
        return not self.ended and len(self.results) < len(self.items)

    def count_waiting_tokens(self):
        """Return the tokens of the items without a result."""
        if self.ended:
            return 0
        return sum(item.tokens for item in self.items if item.result is None)


class Book:
    """The jobs of one partition.

    Records may be given twice, and in the order of their offsets only.

    Attributes:
        jobs: The `Job` objects by identifier.
        open_jobs: Those with items that may still run.
        version: Number of records taken, for readers that wait for a change.
    """

    def __init__(self):
        self.jobs = {}
        self.open_jobs = {}
        self.version = 0
        self._bodies = {}

    def clear(self):
        """Forget everything."""
        self.__init__()

    def apply(self, key, value):
        """Take one record; an empty value drops the key."""
        kind, _, rest = key.partition("/")
        job_id, _, tail = rest.partition("/")
        self.version += 1
        if not value:
            self._drop(kind, job_id)
        elif kind == "b":
            self._bodies.setdefault(job_id, {})[tail] = value
        elif kind == "j":
            self._add_job(job_id, value)
        elif job_id in self.jobs:
            self._update(kind, self.jobs[job_id], tail, value)

    def _drop(self, kind, job_id):
        if kind != "j":
            return
        self.jobs.pop(job_id, None)
        self.open_jobs.pop(job_id, None)
        self._bodies.pop(job_id, None)

    def _add_job(self, job_id, value):
        if job_id in self.jobs:
            return
        data = orjson.loads(value)
        bodies = self._bodies.pop(job_id, {})
        items = [_make_item(row, n, bodies) for n, row in enumerate(data["items"])]
        job = Job(job_id, data["host"], data["path"], data["submitted_s"], items)
        self.jobs[job_id] = job
        self.open_jobs[job_id] = job

    def _update(self, kind, job, tail, value):
        if kind == "e":
            job.ended = True
            self.open_jobs.pop(job.id, None)
            return
        number, _, part = tail.partition("/")
        item = job.items[int(number)]
        data = orjson.loads(value)
        if part:
            item.keys.append((kind, part))
        if kind == "t":
            self._add_piece(item, int(part), data)
        elif kind == "f":
            item.failures = max(item.failures, int(part) + 1)
        elif kind == "i" and item.result is None:
            self._add_result(job, item, data)

    def _add_piece(self, item, number, data):
        if number == len(item.pieces) and item.result is None:
            item.pieces.append(data["text"])
            item.last_event = data["last"]
            item.last_piece = data["writer"]

    def _add_result(self, job, item, data):
        texts = item.pieces[: data["after"]] + data["texts"]
        text = "\n".join(texts)
        item.result = Result(item.id, data["done"], text)
        # The body of a listed item is not asked for any more.
        item.pieces = []
        item.body = b""
        job.results.append(item.result)
        if not job.is_open:
            self.open_jobs.pop(job.id, None)

    def count_waiting_tokens(self, path_prefix, host):
        """Return the tokens that wait on a route."""
        return sum(
            job.count_waiting_tokens()
            for job in self.open_jobs.values()
            if job.host == host and job.path.startswith(path_prefix)
        )


def _make_item(row, number, bodies):
    """Return the `Item` of a row of a job's record, with its body."""
    chunks = [bodies.get(f"{number}/{index}") for index in range(row["chunks"])]
    return Item(
        row["id"],
        row["path"],
        row["headers"],
        b"".join(chunk for chunk in chunks if chunk is not None),
        row["tokens"],
        is_whole=None not in chunks,
        keys=[("b", index) for index in range(row["chunks"])],
    )
