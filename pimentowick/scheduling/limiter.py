"""How many batch items may run at an engine beside online requests.

Agents use `pimentowick.scheduling.model.ModelLimiter`. The limiters here, and those of
`aimd` and `gradient`, are what ``python -m benchmarks policy`` compares it with.
"""

import abc

__all__ = ["AdaptiveLimiter", "BatchLimiter", "FixedLimiter", "YieldingLimiter"]

BASE_CREEP = 1.0001


class BatchLimiter(abc.ABC):
    """Decides how many batch items may run now, and when one may begin."""

    @abc.abstractmethod
    def get_limit(self, online):
        """Return the limit while `online` requests run or wait."""

    def can_start(self, prompt_chars, prefilling, online, batch):
        """Return whether one more item may begin within the limit.

        Args:
            prompt_chars: Characters of its prompt that the engine has to read.
            prefilling: Those of the items that began and have no token yet.
            online: Online requests that run or wait.
            batch: Batch items that run.
        """
        return True

    def update_online(self, online):
        """Take notice that `online` requests run or wait now.

        Returns:
            Seconds after which the limit may differ with nothing having happened;
            0 if it won't.
        """
        return 0.0

    def observe_step(self, step):  # noqa: B027 - most limiters need none
        """Take notice of a `pimentowick.scheduling.step.Step`."""


class FixedLimiter(BatchLimiter):
    """The same limit at all times."""

    def __init__(self, limit):
        self._limit = limit

    def get_limit(self, online):
        """Return the limit; see `BatchLimiter.get_limit`."""
        return self._limit


class YieldingLimiter(BatchLimiter):
    """All slots while nobody is online, a share of them otherwise.

    Args:
        limit: Limit while no online request runs.
        share: Part of the limit that stays beside online requests.

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
    """All slots while nobody is online, a limit that subclasses adapt otherwise.

    Args:
        max_batch: Limit while no online request runs.
        max_slowdown: Part by which a step may be longer than the shortest one.
    """

    def __init__(self, max_batch, max_slowdown):
        self._max_batch = max_batch
        self._harm = max_slowdown
        self._base_ms = None
        self._limit = 0.0

    def get_limit(self, online):
        """Return the limit; see `BatchLimiter.get_limit`."""
        return self._max_batch if online == 0 else int(self._limit)

    def _note_base(self, step):
        base_ms = self._base_ms or step.duration_ms
        # The engine may become slower for good: the shortest step is let go slowly.
        self._base_ms = min(base_ms * BASE_CREEP, step.duration_ms)
