"""Tokens of batch items that each workspace got at one target.

Every entry dispatches only the jobs of its own shards. If each of them were fair by
what it sent itself, a workspace with jobs at many entries would get a share at each
of them. Agents therefore count what they served for all entries and say so in
heartbeat answers.
"""

import collections
import time

__all__ = ["TokenCounter"]

LISTED = 64
FORGET_S = 60.0


class TokenCounter:
    """Counts tokens by workspace, divided by its weight.

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
        """Count tokens of a workspace."""
        total, _ = self._tokens.get(workspace, (0.0, 0.0))
        self._tokens[workspace] = (total + tokens / weight, self._clock())
        self._tokens.move_to_end(workspace)

    def describe(self):
        """Return the counts of the workspaces that were served last, by name."""
        since = self._clock() - FORGET_S
        while self._tokens and next(iter(self._tokens.values()))[1] < since:
            self._tokens.popitem(last=False)
        names = list(reversed(self._tokens))[:LISTED]
        return {name: round(self._tokens[name][0], 1) for name in names}
