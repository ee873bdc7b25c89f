"""Encoding of the records of batch jobs, which `pimentowick.gateway.job` decodes."""

import orjson

from pimentowick.platform import store

__all__ = [
    "MAX_JOB_ID_BYTES",
    "make_cancellation",
    "make_failure",
    "make_job",
    "make_job_tombstone",
    "make_result",
    "make_tombstone",
    "name_body",
    "name_checkpoint",
    "name_text",
    "split_content_name",
    "split_outcome_key",
]

# The longest keys are those of contents: the job, a kind, the number of the item, a
# writer and the number of the chunk.
MAX_JOB_ID_BYTES = store.MAX_KEY_BYTES - len("/b/199/" + 32 * "w" + "#00000")


def name_body(number, writer):
    """Return the name of an item's body among the contents of its job.

    Args:
        number: Number of the item.
        writer: Identifier unique to the submission. Deleting the bodies of a refused
            submission must not affect an accepted submission of the same job.
    """
    return f"b/{number}/{writer}"


def name_checkpoint(number, writer):
    """Return the name of a checkpoint of an item's text."""
    return f"t/{number}/{writer}"


def name_text(number, writer):
    """Return the name of an item's complete text."""
    return f"r/{number}/{writer}"


def make_job(job_id, host, path, submitted_s, items, workspace=None):
    """Return the record of an accepted job, whose bodies have been stored.

    Args:
        job_id: Identifier of the job (see `pimentowick.gateway.workspace`).
        host: Host header of the submission.
        path: Path of the submission.
        submitted_s: Unix time of acceptance.
        items: The `pimentowick.gateway.job.Item` objects, with their bodies stored.
        workspace: Name of the workspace that owns the job, or None.
    """
    rows = [
        {
            "id": item.id,
            "path": item.path,
            "headers": item.headers,
            "tokens": item.tokens,
            "body": item.body.encode(),
        }
        for item in items
    ]
    data = {"host": host, "path": path, "submitted_s": submitted_s, "items": rows}
    if workspace is not None:
        data["workspace"] = workspace
    return store.KeyedRecord(f"j/{job_id}", orjson.dumps(data))


def make_result(job_id, number, writer, done, text):
    """Return the record of an item's result.

    Args:
        job_id: Identifier of the job.
        number: Number of the item.
        writer: Identifier unique to this result.
        done: Whether the item completed.
        text: The `pimentowick.gateway.content.Reference` of its text, or None.
    """
    data = {"done": done, "text": None if text is None else text.encode()}
    return store.KeyedRecord(f"i/{job_id}/{number}/{writer}", orjson.dumps(data))


def make_failure(job_id, number, run_id):
    """Return the record of a run that the target reported as failed."""
    return store.KeyedRecord(f"f/{job_id}/{number}/{run_id}", b"1")


def make_cancellation(job_id):
    """Return the record that cancels a job."""
    return store.KeyedRecord(f"e/{job_id}", b"1")


def split_outcome_key(key):
    """Return (kind, job, tail) of the key of an outcome record.

    Callers choose the identifiers of jobs, which may hold separators. What follows them
    in a key has a fixed number of parts without any.

    Raises:
        ValueError: It is not the key of an outcome record.

    Examples:
        >>> split_outcome_key("i/hall/7c41/0/w"), split_outcome_key("e/hall/7c41")
        (('i', 'hall/7c41', '0/w'), ('e', 'hall/7c41', ''))
    """
    kind, _, rest = key.partition("/")
    if kind == "e":
        return kind, rest, ""
    job_id, number, name = rest.rsplit("/", 2)
    return kind, job_id, f"{number}/{name}"


def split_content_name(name):
    """Return (job, name) of a content whose name is prefixed with that of its job.

    Raises:
        ValueError: It is not such a name.

    Examples:
        >>> split_content_name("hall/7c41/b/0/w")
        ('hall/7c41', 'b/0/w')
    """
    job_id, kind, number, writer = name.rsplit("/", 3)
    return job_id, f"{kind}/{number}/{writer}"


def make_tombstone(key):
    """Return the record that deletes a key."""
    return store.KeyedRecord(key, b"")


def make_job_tombstone(job_id):
    """Return the record that deletes an accepted job."""
    return make_tombstone(f"j/{job_id}")
