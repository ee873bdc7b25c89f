"""Counts of the bytes that pass the entry's link."""

import dataclasses

__all__ = ["Traffic"]


@dataclasses.dataclass(slots=True)
class Traffic:
    """Bytes of bodies exchanged with callers and targets since the start.

    Attributes:
        received: Bytes received.
        sent: Bytes sent.
    """

    received: int = 0
    sent: int = 0
