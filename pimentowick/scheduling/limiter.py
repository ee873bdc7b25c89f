"""Limits on the number of batch items that run next to online requests.

Agents use `pimentowick.scheduling.model.ModelLimiter`. The limiters in this module and
those of `aimd` and `gradient` are baselines for ``python -m benchmarks policy``.
"""

import abc

__all__ = ["AdaptiveLimiter", "BatchLimiter", "FixedLimiter", "YieldingLimiter"]

BASE_GROWTH_PER_STEP = 1.0001


class BatchLimiter(abc.ABC):
    """Limits the number of running batch items and decides when one may start."""

    @abc.abstractmethod
    def get_limit(self, online):
        """Return the maximum number of running batch items.

        Args:
            online: Number of running and queued online requests.
        """

    def can_start(self, prompt_chars, prefilling, online, batch):
        """Return whether one more item, within the limit, may start now.

        Args:
            prompt_chars: Number of characters of its prompt to prefill.
            prefilling: Number of prompt characters of the items that have started but
                not produced a token yet.
            online: Number of running and queued online requests.
            batch: Number of running batch items.
        """
        return True

    def update_online(self, online):
        """Update the number of online requests.

        Args:
            online: Number of running and queued online requests.

        Returns:
            Seconds after which the limit may change without a further event, or 0 if
            it doesn't.
        """
        return 0.0

    def observe_step(self, step):  # noqa: B027 - most limiters need none
        """Process a `pimentowick.scheduling.step.Step`; does nothing by default."""


class FixedLimiter(BatchLimiter):
    """Constant limit.

    Args:
        limit: Maximum number of running batch items.
    """

    def __init__(self, limit):
        self._limit = limit

    def get_limit(self, online):
        """Return the limit; see `BatchLimiter.get_limit`."""
        return self._limit


class YieldingLimiter(BatchLimiter):
    """Full limit without online requests, a fixed fraction of it otherwise.

    Args:
        limit: Limit while no online request runs.
        share: Fraction of the limit that remains while online requests run.

    Examples:
        >>> limiter = YieldingLimiter(32, 0.25)
        >>> limiter.get_limit(online=0), limiter.get_limit(online=1)
        (32, 8)
    """

    def __init__(self, limit, share):
        self._limit = limit
        self._share = share

    def get_limit(self, online):
        """Return the limit; see `BatchLimiter.get_limit`."""
        if online == 0:
            return self._limit
        return int(self._limit * self._share)


class AdaptiveLimiter(BatchLimiter):
    """Full limit without online requests, one adapted by subclasses otherwise.

    Args:
        max_batch: Limit while no online request runs.
        max_slowdown: Fraction by which a step may be longer than the shortest one.
    """

    def __init__(self, max_batch, max_slowdown):
        self._max_batch = max_batch
        self._max_slowdown = max_slowdown
        self._base_ms = None
        self._limit = 0.0

    def get_limit(self, online):
        """Return the limit; see `BatchLimiter.get_limit`."""
        return self._max_batch if online == 0 else int(self._limit)

    def _update_base(self, step):
        base_ms = self._base_ms or step.duration_ms
        # The minimum grows slowly, so that it adapts to an engine that becomes slower.
        self._base_ms = min(base_ms * BASE_GROWTH_PER_STEP, step.duration_ms)
