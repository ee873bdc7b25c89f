"""Retry policy of requests."""

import time

from pimentowick import verdict

__all__ = ["RetryBudget", "is_retryable"]

INITIAL_TOKENS = 10.0
MAX_TOKENS = 50.0


class RetryBudget:
    """Token bucket that limits retries to a fraction of the requests.

    Unlimited retries would multiply the load during the outage that causes them. A
    minimum rate in addition lets a process with few requests retry after failures in
    quick succession.

    Args:
        share: Retries allowed per request.
        initial_tokens: Retries allowed at the start.
        min_per_s: Retries allowed per second regardless of the number of requests.
        clock: Function that returns monotonic seconds.

    References:
        M. Eriksen, "Your server as a function", PLOS 2013 (Finagle, whose retry budget
        has a fraction and a minimum rate).

    Examples:
        >>> budget = RetryBudget(0.1, initial_tokens=0.0)
        >>> for _ in range(10):
        ...     budget.record_request()
        >>> budget.take(), budget.take()
        (True, False)
    """

    def __init__(
        self, share, initial_tokens=INITIAL_TOKENS, min_per_s=0.0, clock=time.monotonic
    ):
        self._share = share
        self._tokens = initial_tokens
        self._min_per_s = min_per_s
        self._clock = clock
        self._refilled_at = clock()

    def record_request(self):
        """Count a first attempt."""
        self._tokens = min(self._tokens + self._share, MAX_TOKENS)

    def has_token(self):
        """Return whether a retry is allowed."""
        self._refill()
        # Tolerates rounding errors of accumulated fractions.
        return self._tokens >= 1.0 - 1e-9

    def _refill(self):
        now = self._clock()
        gained = (now - self._refilled_at) * self._min_per_s
        self._tokens = min(self._tokens + gained, MAX_TOKENS)
        self._refilled_at = now

    def take(self):
        """Consume a token if there is one, and return whether a retry is allowed."""
        if not self.has_token():
            return False
        self._tokens -= 1.0
        return True


def is_retryable(refusal, idempotent):
    """Return whether a refused attempt may be retried.

    Args:
        refusal: `pimentowick.verdict.Refusal` of the attempt.
        idempotent: Whether the request may run twice.

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
