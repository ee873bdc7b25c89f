"""Checkpoints: snapshots of a state machine, stored in its own log stream.

The log retains records for a limited time, and checkpoints preserve the state beyond
it. The parts of a checkpoint are ordinary records of the stream; ``covers`` is the
first offset that the snapshot does not include. Since the state depends only on the
log, a checkpoint is valid whoever wrote it and however late it arrives.
"""

import base64
import dataclasses
import json
import math
import zlib

from pimentowick.external import log as external_log

__all__ = ["CHECKPOINT", "Checkpoint", "CheckpointAssembler", "make_checkpoint"]

CHECKPOINT = "checkpoint"
# Bytes reserved in a record for the fields besides the data.
RECORD_MARGIN_BYTES = 512
COMPRESSION_LEVEL = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Checkpoint:
    """A complete checkpoint.

    Attributes:
        covers: First offset that the state does not include.
        at: Time of writing, in epoch seconds of the writer's clock.
        parts: Dump of the state machine.
    """

    covers: int
    at: float
    parts: list


def make_checkpoint(parts, covers, at, record_bytes):
    """Return the records of a checkpoint.

    Args:
        parts: Result of `pimentowick.replication.state_machine.StateMachine.dump`.
        covers: First offset that the state machine had not applied.
        at: Time of writing, in epoch seconds.
        record_bytes: Maximum size of a record in the log, in bytes.

    Examples:
        >>> records = make_checkpoint([{"version": 7}], 9, 5.0, 4096)
        >>> CheckpointAssembler().add(records[0])
        Checkpoint(covers=9, at=5.0, parts=[{'version': 7}])
    """
    # The standard JSON module accepts any string and number that a record may contain.
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
    """Assembles checkpoints from their parts as these are read."""

    MAX_PARTIAL = 4

    def __init__(self):
        self._partial = {}

    def add(self, record):
        """Add one part.

        Returns:
            The `Checkpoint` if it is now complete, otherwise None. Malformed parts are
            ignored.
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
        raise ValueError("covers or at is malformed")
    parts = json.loads(zlib.decompress(base64.b64decode(text, validate=True)))
    return Checkpoint(covers, at, parts)
