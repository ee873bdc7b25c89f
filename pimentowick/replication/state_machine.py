"""What every state that is derived from a log stream has in common."""

import abc

__all__ = ["StateMachine"]


class StateMachine(abc.ABC):
    """A state that is a function of a prefix of one log stream.

    Contract: the state depends on the applied records, their offsets and their
    order alone, never on the reader's clock, identity or memory. Records that
    are malformed, stale or superseded change nothing but may be noted.
    A fold that loaded the dump of another one at offset ``n`` equals a fold that
    applied all records before ``n``.
    """

    @abc.abstractmethod
    def apply(self, offset, record):
        """Apply one record.

        Args:
            offset: Position of the record in its stream, growing by one.
            record: The record, a dictionary with at least ``id`` and ``type``.
        """

    @abc.abstractmethod
    def dump(self):
        """Return the state as a list of JSON-ready parts of bounded size."""

    @abc.abstractmethod
    def load(self, parts):
        """Replace the state by the one that `dump` returned as `parts`."""
