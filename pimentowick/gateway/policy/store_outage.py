"""Tells an outage of the store from the loss of one entry's way to it.

Notes:
    Failure pattern: registrations of targets expire while the store is unavailable, and
    sound targets need time to register again. If one entry alone has lost the store,
    others register and leave as usual meanwhile, and a target that is not listed
    afterwards has left.

    Entries report when the store last renewed their leases, about twice a second. If
    such renewals follow each other closely while this entry's reads fail, there was no
    outage in which a registration could expire.
"""

import bisect
import itertools

__all__ = ["PeerContact"]

# Exceeds twice the interval between two renewals, as the only peer may lose one; a
# registration expires only after a longer outage.
MAX_INTERVAL_S = 1.2
# Closer times say no more.
RESOLUTION_S = 0.05
# Exceeds the time for which one entry may be cut off and its peers still be heard.
MAX_TIMES = 2048


class PeerContact:
    """Times at which the store served other entries.

    All times are monotonic, in seconds.

    Examples:
        >>> contact = PeerContact()
        >>> for at in (10.1, 10.6, 11.1, 11.6):
        ...     contact.record(at)
        >>> contact.covers(since=10.0, until=12.0)
        True
        >>> contact.covers(since=10.0, until=13.0)
        False
    """

    def __init__(self):
        self._times = []

    def record(self, at):
        """Record that the store served a peer; older times may arrive later."""
        index = bisect.bisect(self._times, at)
        near = self._times[max(0, index - 1) : index + 1]
        if any(abs(each - at) < RESOLUTION_S for each in near):
            return
        self._times.insert(index, at)
        if len(self._times) > MAX_TIMES:
            del self._times[0]

    def covers(self, since, until):
        """Return whether the store certainly had no long outage between two times."""
        first = bisect.bisect_right(self._times, since)
        last = bisect.bisect_left(self._times, until)
        between = self._times[first:last]
        if not between:
            return False
        times = [since, *between, until]
        return all(
            later - earlier <= MAX_INTERVAL_S
            for earlier, later in itertools.pairwise(times)
        )
