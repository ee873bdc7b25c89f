"""Values that are seen only after a lag."""

import collections
import time

__all__ = ["Lagged"]


class Lagged:
    """A value of which readers see the state of some time ago.

    Args:
        lag_s: Age in seconds of what readers see.
        value: The value before the first record.
    """

    def __init__(self, lag_s, value):
        self.lag_s = lag_s
        self._versions = collections.deque([(float("-inf"), value)])

    def record(self, value):
        """Set the value as of now."""
        self._versions.append((time.monotonic(), value))
        self._drop_old()

    def read(self):
        """Return the value as it was `lag_s` ago."""
        self._drop_old()
        return self._versions[0][1]

    def _drop_old(self):
        limit = time.monotonic() - self.lag_s
        while len(self._versions) > 1 and self._versions[1][0] <= limit:
            self._versions.popleft()
