"""The records of batch jobs: keys and values as the job module folds them."""

import orjson

from pimentowick.platform import store

__all__ = [
    "drop",
    "drop_job",
    "make_end",
    "make_failure",
    "make_job",
    "make_result",
    "name_body",
    "name_piece",
    "name_text",
]


def name_body(number, writer):
    """Return the name of an item's body among the contents of its job.

    Args:
        number: Number of the item.
        writer: Name that no other submission of the job has: a body that was refused is
            dropped, and must not be that of a submission accepted elsewhere.
    """
    return f"b/{number}/{writer}"


def name_piece(number, writer):
    """Return the name of a piece of an item's text, written while it runs."""
    return f"t/{number}/{writer}"


def name_text(number, writer):
    """Return the name of an item's whole text."""
    return f"r/{number}/{writer}"


def make_job(job_id, host, path, submitted_s, items, workspace=None):
    """Return the record of an accepted job, whose bodies lie in the store already.

    Args:
        job_id: Name of the job among all (see `pimentowick.gateway.workspace`).
        host: Host header of the submission.
        path: Path of the submission.
        submitted_s: Unix time of the acceptance.
        items: The `pimentowick.gateway.job.Item` objects, with references of bodies.
        workspace: Name of the workspace that it belongs to, or None without one.
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
    """Return the record that lists an item.

    Args:
        job_id: Identifier of the job.
        number: Number of the item.
        writer: Name that no other result of the item has.
        done: Whether it ran to its end.
        text: The `pimentowick.gateway.content.Reference` of its text, or None.
    """
    data = {"done": done, "text": None if text is None else text.encode()}
    return store.KeyedRecord(f"i/{job_id}/{number}/{writer}", orjson.dumps(data))


def make_failure(job_id, number, run):
    """Return the record of a run, by its name, that the target said has failed."""
    return store.KeyedRecord(f"f/{job_id}/{number}/{run}", b"1")


def make_end(job_id):
    """Return the record that ends a job."""
    return store.KeyedRecord(f"e/{job_id}", b"1")


def drop(key):
    """Return the record that drops a key."""
    return store.KeyedRecord(key, b"")


def drop_job(job_id):
    """Return the record that drops the one of an accepted job."""
    return drop(f"j/{job_id}")
