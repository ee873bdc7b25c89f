"""Estimated lifetime of blocks in an engine's prefix cache.

Cache events are delayed and may be lost, so a list of cached blocks derived from them
would be wrong, and too large for a heartbeat. The interval between the two events of a
block does not depend on a constant delay, and a lost event loses only one sample.
"""

import collections

__all__ = ["CacheLifetimeEstimator"]

MAX_SAMPLES = 64
MAX_BLOCKS = 20_000
QUANTILE_DIVISOR = 4


class CacheLifetimeEstimator:
    """Estimates the lifetime of blocks that are not used again.

    Examples:
        >>> from pimentowick.external import engine
        >>> lifetime = CacheLifetimeEstimator()
        >>> lifetime.record_events([engine.CacheEvent(0, "stored", "b")], 1, 10.0)
        >>> lifetime.record_events([engine.CacheEvent(1, "evicted", "b")], 2, 16.0)
        >>> lifetime.estimate()
        6.0
    """

    def __init__(self):
        self._next_sequence = 0
        self._stored = collections.OrderedDict()
        self._samples = collections.deque(maxlen=MAX_SAMPLES)

    @property
    def resume_sequence(self):
        """Sequence number to read from: that of the last event processed.

        A restarted engine numbers its events from 0. Reading from an event that is
        already known reveals this: the answer then ends before that event.
        """
        return max(0, self._next_sequence - 1)

    def record_events(self, events, next_sequence, now):
        """Process the events of one answer.

        Args:
            events: List of `pimentowick.external.engine.CacheEvent`.
            next_sequence: Sequence number of the next event.
            now: Monotonic time of the answer, in seconds.
        """
        if next_sequence < self._next_sequence:
            # The engine was restarted, with an empty cache.
            self._stored.clear()
            self._samples.clear()
            self._next_sequence = 0
        for event in events:
            if event.sequence >= self._next_sequence:
                self._record_event(event, now)
        self._next_sequence = next_sequence

    def _record_event(self, event, now):
        if event.kind == "stored":
            self._stored[event.block] = now
            self._stored.move_to_end(event.block)
            if len(self._stored) > MAX_BLOCKS:
                self._stored.popitem(last=False)
            return
        stored_at = self._stored.pop(event.block, None)
        if stored_at is not None:
            self._samples.append(now - stored_at)

    def estimate(self):
        """Return the lifetime in seconds, or None before the first eviction.

        Reused blocks stay longer, so a low quantile of the samples is returned.
        """
        if not self._samples:
            return None
        ordered = sorted(self._samples)
        return ordered[len(ordered) // QUANTILE_DIVISOR]
