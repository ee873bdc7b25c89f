"""Batch tokens served to each workspace by one target.

Each entry dispatches only the jobs of its own shards. Fairness based on an entry's own
dispatches alone would give a workspace with jobs at many entries a share at each of
them. Agents therefore count the tokens served for all entries and report the counts in
heartbeat answers.
"""

import collections
import time

__all__ = ["TokenCounter"]

MAX_REPORTED_WORKSPACES = 64
RETENTION_S = 60.0


class TokenCounter:
    """Counts tokens by workspace, divided by the workspace's weight.

    Args:
        clock: Function that returns monotonic seconds.

    Examples:
        >>> token_counter = TokenCounter()
        >>> token_counter.add("a", 10, weight=1.0)
        >>> token_counter.add("b", 10, weight=2.0)
        >>> token_counter.describe()
        {'b': 5.0, 'a': 10.0}
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._tokens = collections.OrderedDict()

    def add(self, workspace, tokens, weight):
        """Add tokens to the count of a workspace with the given weight."""
        total, _ = self._tokens.get(workspace, (0.0, 0.0))
        self._tokens[workspace] = (total + tokens / weight, self._clock())
        self._tokens.move_to_end(workspace)

    def describe(self):
        """Return the counts of the most recently served workspaces, by name."""
        cutoff = self._clock() - RETENTION_S
        while self._tokens and next(iter(self._tokens.values()))[1] < cutoff:
            self._tokens.popitem(last=False)
        names = list(reversed(self._tokens))[:MAX_REPORTED_WORKSPACES]
        return {name: round(self._tokens[name][0], 1) for name in names}
