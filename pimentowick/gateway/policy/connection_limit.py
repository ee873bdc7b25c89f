"""Limits on callers' connections, and which idle one is closed for a new one.

Notes:
    Load pattern: callers open connections without end, or begin requests that they
    never complete. Each connection takes a descriptor and memory, and when these are
    exhausted no other caller can connect, and no target.

    Once half of the connections are in use, each caller has an equal share of them. A
    caller beyond its share gets a new connection only in place of an idle one of its
    own, the oldest first. Connections that served a request are kept for as long as
    callers may reuse them; those without a request are closed first.
"""

import collections
import dataclasses

__all__ = ["Connection", "ConnectionLimit", "Decision", "compute_limit", "find_spare"]

# Share of the descriptors for callers; the rest is for targets, the store and peers.
CALLERS_SHARE = 0.7
# Share of the limit in use above which it is divided among the callers.
NEAR_SHARE = 0.5
# Share of the limit that a single caller may use.
SINGLE_CALLER_SHARE = 0.8
# Share of the idle timeout for which callers reuse a connection.
REUSE_SHARE = 0.8
# Connections without a request may be closed after this time, well above a round trip.
UNUSED_S = 1.0


def compute_limit(max_sockets):
    """Return the limit on callers' connections, given how many sockets may be open.

    Examples:
        >>> compute_limit(1475)
        1032
    """
    return int(max_sockets * CALLERS_SHARE)


@dataclasses.dataclass(slots=True)
class Connection:
    """An open connection of a caller.

    Attributes:
        key: Identifies the connection.
        address: Address of the caller.
        idle_since: Monotonic time since which it waits for a request, or None if it
            has one.
        is_proven: Whether it has carried a request.
    """

    key: object
    address: str
    idle_since: float | None
    is_proven: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What happens to a new connection.

    Attributes:
        accepts: Whether it is served.
        closed: The idle `Connection` to close, or None.
        of_caller: Number of connections that its caller already has.
    """

    accepts: bool
    closed: Connection | None
    of_caller: int


class ConnectionLimit:
    """Limits on the connections of all callers and of each.

    Attributes:
        max_connections: Limit on their number, or None without a limit.
    """

    def __init__(self):
        self.max_connections = None

    def is_near(self, count):
        """Return whether a number of connections is near the limit."""
        limit = self.max_connections
        return limit is not None and count >= NEAR_SHARE * limit

    def decide(self, address, connections, now, idle_timeout_s):
        """Return the `Decision` on a new connection.

        Args:
            address: Address of its caller.
            connections: Collection of the open `Connection` objects.
            now: Monotonic time.
            idle_timeout_s: Time after which idle connections are closed anyway.
        """
        counts = collections.Counter(each.address for each in connections)
        of_caller = counts[address]
        callers = len(counts) + (address not in counts)
        share = self.max_connections * min(SINGLE_CALLER_SHARE, 1 / callers)
        if of_caller >= share:
            own = [each for each in connections if each.address == address]
            spare = find_spare(own, now, idle_timeout_s)
        elif len(connections) >= self.max_connections:
            above = [each for each in connections if counts[each.address] > share]
            spare = find_spare(above, now, idle_timeout_s)
            spare = spare or find_spare(connections, now, idle_timeout_s)
        else:
            return Decision(True, None, of_caller)
        return Decision(spare is not None, spare, of_caller)


def find_spare(connections, now, idle_timeout_s):
    """Return the `Connection` that may be closed for another one, or None.

    Connections without a request come first, then the one that was idle for longest.
    """
    spare = [each for each in connections if _is_spare(each, now, idle_timeout_s)]
    return min(spare, key=lambda each: (each.is_proven, each.idle_since), default=None)


def _is_spare(connection, now, idle_timeout_s):
    if connection.idle_since is None:
        return False
    limit_s = idle_timeout_s * REUSE_SHARE if connection.is_proven else UNUSED_S
    return now - connection.idle_since >= limit_s
