"""When a request is tried again."""

import time

from pimentowick import verdict

__all__ = ["RetryBudget", "is_retryable"]

FIRST_TOKENS = 10.0
MAX_TOKENS = 50.0


class RetryBudget:
    """Allows retries as a share of recent requests, and a few a second besides.

    Retries of everybody would multiply the load in the very outage that causes
    them; a budget bounds that to a share of the traffic. A share alone leaves a process
    with few requests nothing for a second loss soon after the first.

    Args:
        share: Retries allowed for each request.
        initial_tokens: Retries allowed at the start.
        min_per_s: Retries allowed a second, however few requests there are.
        clock: Function that returns the monotonic time, in seconds.

    References:
        M. Eriksen, "Your server as a function", PLOS 2013 (Finagle, whose retry budget
        has a share and a least rate).

    Examples:
        >>> budget = RetryBudget(0.1, initial_tokens=0.0)
        >>> for _ in range(10):
        ...     budget.record_request()
        >>> budget.take(), budget.take()
        (True, False)
    """

    def __init__(
        self, share, initial_tokens=FIRST_TOKENS, min_per_s=0.0, clock=time.monotonic
    ):
        self._share = share
        self._tokens = initial_tokens
        self._least_per_s = min_per_s
        self._clock = clock
        self._refilled_at = clock()

    def record_request(self):
        """Count a first attempt."""
        self._tokens = min(self._tokens + self._share, MAX_TOKENS)

    def has_token(self):
        """Return whether a retry is allowed."""
        self._refill()
        # Ten tenths add up to a little less than one.
        return self._tokens >= 1.0 - 1e-9

    def _refill(self):
        now = self._clock()
        gained = (now - self._refilled_at) * self._least_per_s
        self._tokens = min(self._tokens + gained, MAX_TOKENS)
        self._refilled_at = now

    def take(self):
        """Return whether a retry is allowed, and count it."""
        if not self.has_token():
            return False
        self._tokens -= 1.0
        return True


def is_retryable(refusal, idempotent):
    """Return whether another attempt may follow a refused one.

    Examples:
        >>> lost = verdict.Refusal(502, "lost", "Lost.", verdict.Verdict.MAY_HAVE_RUN)
        >>> is_retryable(lost, idempotent=True), is_retryable(lost, idempotent=False)
        (True, False)
    """
    if refusal.status < 500 and refusal.status not in (409, 429):
        return False
    if refusal.verdict is verdict.Verdict.NOT_RUN:
        return True
    return idempotent
