"""Taking a batch job in: checked whole, then written to the log, then read back."""

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
# What is parsed or encoded in one turn of the loop, in lines and in bytes; more
# would delay online requests.
LINES_PER_TURN = 100
TURN_BYTES = 262_144
MAX_LINE_BYTES = 1_048_576
RECORDS_PER_APPEND = 8
# Room in a record for what stands beside the items.
RECORD_MARGIN_BYTES = 2048


class _Line(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    custom_id: str = pydantic.Field(min_length=1, max_length=512)
    body: dict


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """The checked items of a job.

    Attributes:
        items: List of dictionaries as they stand in the log.
        model: The model that all of them ask for.
        digest: Hash of the content.
    """

    items: list
    model: str | None
    digest: str


async def parse_items(data, workspace):
    """Return the `Submission` in a body of JSON lines.

    Args:
        data: The body.
        workspace: `pimentowick.configuration.workspace.Workspace` that submits.

    Raises:
        RefusedError: A line is wrong; the message names it. Nothing is kept.
    """
    items = []
    known = set()
    model = None
    hashed = hashlib.sha256()
    turn = _Turn()
    for number, line in enumerate(_split_lines(data), start=1):
        await turn.take(len(line))
        if not line.strip():
            continue
        if len(line) > MAX_LINE_BYTES:
            raise _refuse_line(number, f"longer than {MAX_LINE_BYTES} bytes")
        item = _parse_line(number, line, workspace)
        if item["custom_id"] in known:
            raise _refuse_line(number, f"custom_id {item['custom_id']!r} occurs twice")
        known.add(item["custom_id"])
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
    """Yield the lines of `data` one by one, so that no turn copies all of them."""
    start = 0
    while start <= len(data):
        stop = data.find(b"\n", start)
        stop = len(data) if stop < 0 else stop
        yield data[start:stop]
        start = stop + 1


class _Turn:
    """Lets the loop go on to other tasks after a certain amount of work."""

    def __init__(self):
        self._lines = 0
        self._bytes = 0

    async def take(self, size):
        self._lines += 1
        self._bytes += size
        if self._lines >= LINES_PER_TURN or self._bytes >= TURN_BYTES:
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
        RefusedError: One item is too large for a record of the log.
    """
    limit = record_bytes - RECORD_MARGIN_BYTES
    chunks = [[]]
    size = 0
    turn = _Turn()
    for item in items:
        length = len(orjson.dumps(item)) + 1
        await turn.take(length)
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
    """Write a job to its shard's stream and return once it is read back.

    Args:
        shard: `pimentowick.batch.shard.Shard` of the job.
        job_id: Id of the job.
        submission: `Submission`.
        settings: `pimentowick.settings.EntrySettings`.
        **fields: Workspace, key, deadline and time of the submission.

    Raises:
        LogError: The job is not known to be in the log.
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
