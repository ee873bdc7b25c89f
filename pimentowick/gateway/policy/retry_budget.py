"""How many retries at other targets the requests of a workspace may take.

Notes:
    Failure pattern: many targets fail, or reject requests, at once. If each request
    were sent to further targets without a limit, the load would multiply when there is
    the least room.

    Each first attempt adds a part of a retry to the budget of its workspace at a
    service. A small reserve lets workspaces with few requests retry. Memory is bounded;
    budgets that were not used for the longest time are discarded first.

References:
    Google, "Site Reliability Engineering", chapter 22, 2016 (retry budgets).
"""

import collections

__all__ = ["RetryBudget"]

RETRIES_PER_REQUEST = 0.2
MAX_RETRIES = 20.0
INITIAL_RETRIES = 5.0
# One retry is added in this time, in seconds, so that idle budgets recover.
RECOVERY_S = 1.0
MAX_BUDGETS = 4096


class RetryBudget:
    """Budgets of this entry, by workspace and service.

    Examples:
        >>> budget = RetryBudget()
        >>> [budget.try_take("w", "s", 0.0) for _ in range(7)].count(True)
        5
        >>> for _ in range(10):
        ...     budget.record_request("w", "s", 0.0)
        >>> [budget.try_take("w", "s", 0.0) for _ in range(7)].count(True)
        2
    """

    def __init__(self):
        self._budgets = collections.OrderedDict()

    def __len__(self):
        return len(self._budgets)

    def record_request(self, workspace, service, now):
        """Record the first attempt of a request."""
        tokens = self._get_tokens(workspace, service, now)
        self._put(workspace, service, tokens + RETRIES_PER_REQUEST, now)

    def try_take(self, workspace, service, now):
        """Return whether a request may be sent to another target, and count it."""
        tokens = self._get_tokens(workspace, service, now)
        # Sums of fractions may lie slightly below a whole number.
        is_allowed = round(tokens, 6) >= 1.0
        self._put(workspace, service, tokens - is_allowed, now)
        return is_allowed

    def _get_tokens(self, workspace, service, now):
        row = self._budgets.get((workspace, service))
        if row is None:
            return INITIAL_RETRIES
        tokens, updated_at = row
        return tokens + (now - updated_at) / RECOVERY_S

    def _put(self, workspace, service, tokens, now):
        key = (workspace, service)
        self._budgets[key] = (min(MAX_RETRIES, tokens), now)
        self._budgets.move_to_end(key)
        if len(self._budgets) > MAX_BUDGETS:
            self._budgets.popitem(last=False)
