"""Interface of state machines that are replicated through a log stream."""

import abc

__all__ = ["StateMachine"]


class StateMachine(abc.ABC):
    """A state that is a function of a prefix of one log stream.

    Contract: the state depends only on the applied records, their offsets and their
    order, never on the replica's clock, identity or process state. Malformed, stale
    and superseded records have no effect, except that they may be recorded for audit.
    A state machine that has loaded a dump taken at offset ``n`` equals one that has
    applied all records before ``n``.
    """

    @abc.abstractmethod
    def apply(self, offset, record):
        """Apply one record.

        Args:
            offset: Offset of the record in its stream; increases by one.
            record: The record, a dictionary with at least ``id`` and ``type``.
        """

    @abc.abstractmethod
    def dump(self):
        """Return the state as a list of JSON-serializable parts of bounded size."""

    @abc.abstractmethod
    def load(self, parts):
        """Replace the state by the one in `parts`, as returned by `dump`."""
