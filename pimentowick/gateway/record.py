"""The records of batch jobs: keys and values as the job module folds them."""

import orjson

from pimentowick.platform import store

__all__ = [
    "list_keys",
    "make_drops",
    "make_end",
    "make_failure",
    "make_job",
    "make_piece",
    "make_removal",
    "make_result",
]

# Room for the key and the frame within the largest record of the store.
RECORD_MARGIN = 1_024


def make_job(job_id, host, path, submitted_s, items, record_bytes):
    """Return (records of the bodies, record that makes the job).

    The job exists with the last record; bodies without it mean nothing.
    """
    size = record_bytes - RECORD_MARGIN
    bodies = []
    rows = []
    for number, item in enumerate(items):
        chunks = [
            item.body[start : start + size] for start in range(0, len(item.body), size)
        ]
        for index, chunk in enumerate(chunks):
            bodies.append(store.KeyedRecord(f"b/{job_id}/{number}/{index}", chunk))
        rows.append(
            {
                "id": item.id,
                "path": item.path,
                "headers": item.headers,
                "tokens": item.tokens,
                "chunks": len(chunks),
            }
        )
    data = {"host": host, "path": path, "submitted_s": submitted_s, "items": rows}
    return bodies, store.KeyedRecord(f"j/{job_id}", orjson.dumps(data))


def make_piece(job_id, number, index, writer, texts, last_event):
    """Return the record of some more text of an item that goes on running.

    Args:
        job_id: Identifier of the job.
        number: Number of the item.
        index: Number of the piece.
        writer: Name that no other piece has.
        texts: Data of the events.
        last_event: Identifier of the last of them.
    """
    data = {"text": "\n".join(texts), "last": last_event, "writer": writer}
    return store.KeyedRecord(f"t/{job_id}/{number}/{index}", orjson.dumps(data))


def make_result(job_id, number, done, after, texts):
    """Return the record that lists an item.

    Args:
        job_id: Identifier of the job.
        number: Number of the item.
        done: Whether it ran to its end.
        after: Number of recorded pieces that its text begins with.
        texts: Data of the events after those.
    """
    data = {"done": done, "after": after, "texts": texts}
    return store.KeyedRecord(f"i/{job_id}/{number}", orjson.dumps(data))


def make_drops(job_id, number, item):
    """Return the records that drop the body of an item, which is asked for no more.

    They go with its result: bodies are most of what an entry reads when it starts.
    """
    return [
        store.KeyedRecord(f"b/{job_id}/{number}/{index}", b"")
        for kind, index in item.keys
        if kind == "b"
    ]


def make_failure(job_id, number, index):
    """Return the record of a run that the target said has failed."""
    return store.KeyedRecord(f"f/{job_id}/{number}/{index}", b"1")


def make_end(job_id):
    """Return the record that ends a job."""
    return store.KeyedRecord(f"e/{job_id}", b"1")


def list_keys(job):
    """Return the keys of all records that a job may have, its own one last."""
    keys = [f"e/{job.id}"]
    for number, item in enumerate(job.items):
        keys += [f"{kind}/{job.id}/{number}/{k}" for kind, k in item.keys]
        keys.append(f"i/{job.id}/{number}")
    keys.append(f"j/{job.id}")
    return keys


def make_removal(job):
    """Return the records that drop a job from the store."""
    return [store.KeyedRecord(key, b"") for key in list_keys(job)]
