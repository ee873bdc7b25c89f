"""Which software version began a stream, and which entries remember it.

Notes:
    Failure pattern: targets of several software versions serve side by side, and the
    events of two versions do not fit together. A caller whose connection breaks takes
    its stream up at any entry, while the entry that began it may be gone.

    The entry that forwards the first event of a stream sends its origin to a few other
    entries, chosen by rendezvous hashing of the caller's attempt. An entry at which the
    stream is taken up asks these. The number of messages does not depend on the number
    of entries. Entries may know different peers for a moment, so that more of them are
    asked than were told. An entry that learns nothing does not guess: the version that
    most targets run may not be the one that began the stream.

    An origin is forgotten at its caller's deadline, not with the last event: the caller
    may lose that with its connection.

References:
    D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import collections
import dataclasses

from pimentowick import rendezvous

__all__ = ["Origin", "OriginTable", "choose_asked", "choose_holders"]

# Copies of an origin besides the one at the entry that began the stream.
HOLDERS = 3
# Entries asked for an origin.
MAX_ASKED = 8
MAX_ORIGINS = 4096
# Time in which a caller at its deadline may still take its stream up.
RETENTION_MARGIN_S = 1.0
# Bounds the retention whatever a caller names as its deadline.
MAX_RETENTION_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """What began a stream.

    Attributes:
        service: Name of the service.
        software_version: Version of the target that sent the first event.
    """

    service: str
    software_version: str


class OriginTable:
    """The origins that one entry remembers; times are monotonic, in seconds.

    Examples:
        >>> table = OriginTable()
        >>> table.put("a", Origin("chat", "v1"), 5.0, now=0.0)
        >>> table.get("a", now=5.9), table.get("a", now=6.1)
        (Origin(service='chat', software_version='v1'), None)
    """

    def __init__(self):
        self._origins = collections.OrderedDict()

    def __len__(self):
        return len(self._origins)

    def put(self, key, origin, left_s, now):
        """Remember an origin.

        If a caller has used the name of its stream again, and what began the two
        differs, it is unknown which of them is meant.

        Args:
            key: Key of the stream.
            origin: The `Origin`.
            left_s: Time until its caller's deadline, in seconds.
            now: Current time.
        """
        known, expires_at = self._origins.get(key, (origin, now))
        if now < expires_at:
            if known != origin:
                self._origins[key] = (None, expires_at)
            return
        left_s = min(max(0.0, left_s), MAX_RETENTION_S)
        self._origins[key] = (origin, now + left_s + RETENTION_MARGIN_S)
        if len(self._origins) > MAX_ORIGINS:
            self._origins.popitem(last=False)

    def get(self, key, now):
        """Return the `Origin` of a stream, or None if it is unknown."""
        origin, expires_at = self._origins.get(key, (None, now))
        if now < expires_at:
            return origin
        self._origins.pop(key, None)
        return None

    def get_left_s(self, key, now):
        """Return the seconds until the deadline of a stream's caller."""
        _, expires_at = self._origins.get(key, (None, now))
        return max(0.0, expires_at - RETENTION_MARGIN_S - now)

    def expire(self, now):
        """Forget the streams whose callers have given up."""
        self._origins = collections.OrderedDict(
            (key, row) for key, row in self._origins.items() if now < row[1]
        )


def choose_holders(key, entries):
    """Return the entries that are told the origin of a stream."""
    return _rank(key, entries)[:HOLDERS]


def choose_asked(key, entries):
    """Return the entries that are asked for the origin of a stream.

    Examples:
        >>> entries = [f"10.0.0.{n}:1" for n in range(40)]
        >>> holders = choose_holders("a", entries[2:])
        >>> set(holders) <= set(choose_asked("a", entries))
        True
    """
    return _rank(key, entries)[:MAX_ASKED]


def _rank(key, entries):
    return sorted(entries, key=lambda entry: rendezvous.compute_weight(key, entry))
