"""Values that become visible to readers after a delay."""

import collections
import time

__all__ = ["LaggedValue"]


class LaggedValue:
    """A value that is read with a fixed lag, like an eventually consistent store.

    Args:
        lag_s: Seconds until a recorded value is visible to readers.
        value: Value before the first record.
    """

    def __init__(self, lag_s, value):
        self.lag_s = lag_s
        self._versions = collections.deque([(float("-inf"), value)])

    def record(self, value):
        """Set the current value."""
        self._versions.append((time.monotonic(), value))
        self._drop_old()

    def read(self):
        """Return the value as it was `lag_s` seconds ago."""
        self._drop_old()
        return self._versions[0][1]

    def _drop_old(self):
        limit = time.monotonic() - self.lag_s
        while len(self._versions) > 1 and self._versions[1][0] <= limit:
            self._versions.popleft()
