"""How long a block stays in an engine's prefix cache.

The events come late and with gaps. A list of what is cached, made from them, would
be wrong, and too large for a heartbeat. The time between two events of one block is
the same however late both are, and a lost event only loses that one sample.
"""

import collections

__all__ = ["CacheLifetimeEstimator"]

SAMPLES = 64
MAX_BLOCKS = 20_000
QUANTILE = 4


class CacheLifetimeEstimator:
    """Estimates the lifetime of blocks that nobody used again.

    Examples:
        >>> from pimentowick.external import engine
        >>> lifetime = CacheLifetimeEstimator()
        >>> lifetime.record_events([engine.CacheEvent(0, "stored", "b")], 1, 10.0)
        >>> lifetime.record_events([engine.CacheEvent(1, "evicted", "b")], 2, 16.0)
        >>> lifetime.estimate()
        6.0
    """

    def __init__(self):
        self._next = 0
        self._stored = collections.OrderedDict()
        self._samples = collections.deque(maxlen=SAMPLES)

    @property
    def resume_sequence(self):
        """Sequence number to read from: that of the last event that was seen.

        An engine that was started again numbers from 0. Asking for an event that is
        known already shows that: the answer then ends before it.
        """
        return max(0, self._next - 1)

    def record_events(self, events, following, now):
        """Take the events of one answer.

        Args:
            events: List of `pimentowick.external.engine.CacheEvent`.
            following: Sequence number that the next event gets.
            now: Monotonic time of the answer.
        """
        if following < self._next:
            # Another process of the engine: its cache began empty.
            self._stored.clear()
            self._samples.clear()
            self._next = 0
        for event in events:
            if event.sequence >= self._next:
                self._note_event(event, now)
        self._next = following

    def _note_event(self, event, now):
        if event.kind == "stored":
            self._stored[event.block] = now
            self._stored.move_to_end(event.block)
            if len(self._stored) > MAX_BLOCKS:
                self._stored.popitem(last=False)
            return
        since = self._stored.pop(event.block, None)
        if since is not None:
            self._samples.append(now - since)

    def estimate(self):
        """Return the lifetime in seconds, or None while nothing was evicted.

        Blocks that were used again live longer, so a low sample is taken.
        """
        if not self._samples:
            return None
        ordered = sorted(self._samples)
        return ordered[len(ordered) // QUANTILE]
