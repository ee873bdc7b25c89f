"""Checkpoints: the state of a fold, kept in the stream that it is folded from.

The log keeps records for a limited time. A checkpoint carries the state forward:
its parts are ordinary records of the stream, and ``covers`` names the offset up to
which (exclusive) their state holds. Since a fold depends on the log alone, a
checkpoint is true whoever wrote it and however late it arrives.
"""

import dataclasses

from pimentowick.platform import log as platform_log

__all__ = ["CHECKPOINT", "Collector", "make_checkpoint"]

CHECKPOINT = "checkpoint"


def make_checkpoint(fold, covers):
    """Return the records of a checkpoint.

    Args:
        fold: The `pimentowick.replication.fold.Fold` to carry forward.
        covers: Offset of the first record that `fold` has not applied.
    """
    name = platform_log.make_id()
    parts = fold.dump()
    return [
        {
            "id": platform_log.make_id(),
            "type": CHECKPOINT,
            "checkpoint": name,
            "covers": covers,
            "part": index,
            "parts": len(parts),
            "state": part,
        }
        for index, part in enumerate(parts)
    ]


@dataclasses.dataclass(slots=True)
class _Partial:
    covers: int
    parts: int
    states: dict


class Collector:
    """Puts the parts of checkpoints together as they are read."""

    MAX_PARTIAL = 4

    def __init__(self):
        self._partial = {}

    def add(self, record):
        """Take one part.

        Returns:
            ``(covers, states)`` once the checkpoint is whole, otherwise None. A
            malformed part is passed over.
        """
        try:
            name = record["checkpoint"]
            index = int(record["part"])
            fresh = _Partial(int(record["covers"]), int(record["parts"]), {})
            partial = self._partial.setdefault(name, fresh)
            partial.states[index] = record["state"]
        except (KeyError, TypeError, ValueError):
            return None
        if len(self._partial) > self.MAX_PARTIAL:
            self._partial.pop(next(iter(self._partial)))
        if len(partial.states) < partial.parts:
            return None
        self._partial.pop(name, None)
        return partial.covers, [partial.states[i] for i in sorted(partial.states)]
