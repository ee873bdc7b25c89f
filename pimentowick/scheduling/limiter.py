"""How many batch items may run at an engine beside online requests."""

import abc

__all__ = ["BatchLimiter", "FixedLimiter", "YieldingLimiter"]


class BatchLimiter(abc.ABC):
    """Decides how many batch items may run now."""

    @abc.abstractmethod
    def get_limit(self, online):
        """Return the limit while `online` requests run or wait."""

    def note_step(self, step_ms, online):  # noqa: B027 - most limiters need none
        """Take notice of a step time that the engine reported, in milliseconds."""


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
