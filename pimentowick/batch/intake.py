"""Submission of a batch job: validates it, appends it to the log, and reads it back."""

import asyncio
import dataclasses
import hashlib

import orjson
import pydantic

from pimentowick import completion, exception
from pimentowick import web as http_web
from pimentowick.batch import record as batch_record
from pimentowick.external import log as external_log

__all__ = [
    "Submission",
    "append_submission",
    "make_chunks",
    "parse_items",
]

MAX_ITEMS = 65_000
# Lines and bytes that are parsed or encoded before yielding to the event loop, to limit
# the delay of online requests.
MAX_LINES_PER_YIELD = 100
MAX_BYTES_PER_YIELD = 262_144
MAX_LINE_BYTES = 1_048_576
RECORDS_PER_APPEND = 8
# Bytes reserved in a record for the fields besides the items.
RECORD_MARGIN_BYTES = 2048


class _Line(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    custom_id: str = pydantic.Field(min_length=1, max_length=512)
    body: dict


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """The validated items of a job.

    Attributes:
        items: List of item bodies as stored in the log.
        model: Model of all items, or None if there are none.
        digest: Hash of the content.
    """

    items: list
    model: str | None
    digest: str


async def parse_items(data, workspace):
    """Parse and validate the items of a job from JSON lines.

    Args:
        data: Request body.
        workspace: `pimentowick.configuration.workspace.Workspace` of the submitter.

    Raises:
        RefusedError: A line is invalid; the message names it.
    """
    items = []
    seen_ids = set()
    model = None
    hashed = hashlib.sha256()
    yielder = _LoopYielder()
    for number, line in enumerate(_split_lines(data), start=1):
        await yielder.add_work(len(line))
        if not line.strip():
            continue
        if len(line) > MAX_LINE_BYTES:
            raise _refuse_line(number, f"longer than {MAX_LINE_BYTES} bytes")
        item = _parse_line(number, line, workspace)
        if item["custom_id"] in seen_ids:
            raise _refuse_line(number, f"custom_id {item['custom_id']!r} occurs twice")
        seen_ids.add(item["custom_id"])
        if model is not None and item["model"] != model:
            raise _refuse_line(number, f"all items of a job use one model, {model!r}")
        model = item["model"]
        items.append(item)
        hashed.update(orjson.dumps(item, option=orjson.OPT_SORT_KEYS))
        if len(items) > MAX_ITEMS:
            raise http_web.make_input_error(
                f"A job holds at most {MAX_ITEMS} items. Split it.", "too_many_items"
            )
    return Submission(items, model, hashed.hexdigest())


def _split_lines(data):
    """Yield the lines of `data` one by one, to avoid copying all of them at once."""
    start = 0
    while start <= len(data):
        stop = data.find(b"\n", start)
        stop = len(data) if stop < 0 else stop
        yield data[start:stop]
        start = stop + 1


class _LoopYielder:
    """Yields to the event loop after a bounded amount of work."""

    def __init__(self):
        self._lines = 0
        self._bytes = 0

    async def add_work(self, size):
        self._lines += 1
        self._bytes += size
        if self._lines >= MAX_LINES_PER_YIELD or self._bytes >= MAX_BYTES_PER_YIELD:
            self._lines = self._bytes = 0
            await asyncio.sleep(0)


def _parse_line(number, line, workspace):
    try:
        parsed = _Line.model_validate_json(line)
    except pydantic.ValidationError as error:
        raise _refuse_line(
            number, completion.describe_validation_error(error)
        ) from error
    try:
        generation = completion.parse_generation(parsed.body, workspace)
    except exception.RefusedError as error:
        raise _refuse_line(number, error.refusal.message) from error
    return {"custom_id": parsed.custom_id, **generation}


def _refuse_line(number, message):
    return http_web.make_input_error(f"Line {number}: {message}.", "bad_line")


async def make_chunks(submission_id, items, record_bytes):
    """Return the chunk records that hold `items`.

    Raises:
        RefusedError: An item is too large for a record of the log.
    """
    limit = record_bytes - RECORD_MARGIN_BYTES
    chunks = [[]]
    size = 0
    yielder = _LoopYielder()
    for item in items:
        length = len(orjson.dumps(item)) + 1
        await yielder.add_work(length)
        if length > limit:
            raise http_web.make_input_error(
                f"Item {item['custom_id']!r} is larger than {limit} bytes. Shorten it.",
                "item_too_large",
                413,
            )
        if size + length > limit:
            chunks.append([])
            size = 0
        chunks[-1].append(item)
        size += length
    return [
        batch_record.make_chunk(submission_id, index, chunk)
        for index, chunk in enumerate(chunks)
        if chunk
    ]


async def append_submission(shard, job_id, submission, settings, **fields):
    """Append a job to its shard's stream and wait until this replica has applied it.

    Args:
        shard: `pimentowick.batch.shard.Shard` of the job.
        job_id: Id of the job.
        submission: `Submission` to append.
        settings: `pimentowick.settings.EntrySettings`.
        **fields: Workspace, key, deadline and time of the submission.

    Raises:
        LogError: Not all records are known to be in the log.
    """
    submission_id = external_log.make_id()
    record_bytes = settings.platform.log_record_bytes
    chunks = await make_chunks(submission_id, submission.items, record_bytes)
    for start in range(0, len(chunks), RECORDS_PER_APPEND):
        group = chunks[start : start + RECORDS_PER_APPEND]
        await shard.replica.append(group, settings.append_s)
    submitted = batch_record.make_submitted(
        job_id,
        submission_id,
        digest=submission.digest,
        model=submission.model,
        items=len(submission.items),
        chunks=len(chunks),
        **fields,
    )
    await shard.replica.append([submitted], settings.append_s)
