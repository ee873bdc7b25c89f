"""Checkpoints: the state of a fold, kept in the stream that it is folded from.

The log keeps records for a limited time. A checkpoint carries the state forward:
its parts are ordinary records of the stream, and ``covers`` names the offset up to
which (exclusive) their state holds. Since a fold depends on the log alone, a
checkpoint is true whoever wrote it and however late it arrives.
"""

import base64
import dataclasses
import json
import math
import zlib

from pimentowick.external import log as external_log

__all__ = ["CHECKPOINT", "Checkpoint", "CheckpointAssembler", "make_checkpoint"]

CHECKPOINT = "checkpoint"
# Room in a record for what stands beside the data.
RECORD_MARGIN_BYTES = 512
COMPRESSION_LEVEL = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Checkpoint:
    """A whole checkpoint.

    Attributes:
        covers: Offset of the first record that the state does not hold.
        at: When it was written, in epoch seconds of the writer.
        parts: The dump of the fold.
    """

    covers: int
    at: float
    parts: list


def make_checkpoint(parts, covers, at, record_bytes):
    """Return the records of a checkpoint.

    Args:
        parts: What `pimentowick.replication.state_machine.StateMachine.dump` returned.
        covers: Offset of the first record that the fold had not applied.
        at: The time in epoch seconds.
        record_bytes: Largest record that the log takes, in bytes.

    Examples:
        >>> records = make_checkpoint([{"version": 7}], 9, 5.0, 4096)
        >>> CheckpointAssembler().add(records[0])
        Checkpoint(covers=9, at=5.0, parts=[{'version': 7}])
    """
    # The codec that takes any text and number that a record may have brought.
    packed = zlib.compress(json.dumps(parts).encode(), COMPRESSION_LEVEL)
    text = base64.b64encode(packed).decode()
    size = record_bytes - RECORD_MARGIN_BYTES
    slices = [text[start : start + size] for start in range(0, len(text), size)]
    name = external_log.make_id()
    return [
        {
            "id": external_log.make_id(),
            "type": CHECKPOINT,
            "checkpoint": name,
            "covers": covers,
            "at": at,
            "part": index,
            "parts": len(slices),
            "data": data,
        }
        for index, data in enumerate(slices)
    ]


class CheckpointAssembler:
    """Puts the parts of checkpoints together as they are read."""

    MAX_PARTIAL = 4

    def __init__(self):
        self._partial = {}

    def add(self, record):
        """Take one part.

        Returns:
            The `Checkpoint` once it is whole, otherwise None. What is malformed is
            passed over.
        """
        try:
            name, index = record["checkpoint"], record["part"]
            slices = self._partial.setdefault(name, {})
            slices[index] = record["data"]
            if len(slices) != record["parts"]:
                self._drop_oldest_partial()
                return None
            del self._partial[name]
            return _unpack(record, "".join(slices[i] for i in range(len(slices))))
        except (KeyError, TypeError, ValueError, OverflowError, zlib.error):
            return None

    def _drop_oldest_partial(self):
        if len(self._partial) > self.MAX_PARTIAL:
            self._partial.pop(next(iter(self._partial)))


def _unpack(record, text):
    covers, at = record["covers"], record["at"]
    if type(covers) is not int or not math.isfinite(at):
        raise ValueError("covers or at is wrong")
    parts = json.loads(zlib.decompress(base64.b64decode(text, validate=True)))
    return Checkpoint(covers, at, parts)
