"""Batch limit that follows the ratio of the shortest to the current step duration.

Used only by benchmarks, as a baseline for `pimentowick.scheduling.model`.

Notes:
    The shortest step is taken as the duration without batch items. The ratio falls
    below one as steps become longer. The limit is multiplied by the ratio, and its
    square root is added so that the limit keeps probing for capacity.

References:
    L. S. Brakmo and L. L. Peterson, "TCP Vegas: end to end congestion avoidance on
    a global Internet", IEEE Journal on Selected Areas in Communications 13(8), 1995.
"""

import math

from pimentowick.scheduling import limiter

__all__ = ["GradientLimiter"]

EWMA_WEIGHT = 0.05
MIN_RATIO = 0.5


class GradientLimiter(limiter.AdaptiveLimiter):
    """Adapts the limit to the delay that batch items add to a step.

    Examples:
        >>> from pimentowick.scheduling import step
        >>> gradient = GradientLimiter(32, max_slowdown=0.05)
        >>> for _ in range(200):
        ...     gradient.observe_step(step.Step(20.0, online=1))
        >>> gradient.get_limit(online=1) > 24
        True
        >>> for _ in range(400):
        ...     gradient.observe_step(step.Step(30.0, online=1, batch=8))
        >>> gradient.get_limit(online=1) < 16
        True
    """

    def __init__(self, max_batch, max_slowdown):
        super().__init__(max_batch, max_slowdown)
        self._smoothed_ms = None
        self._limit = min(1.0, max_batch)

    def observe_step(self, step):
        """Update the limit with a step; see `BatchLimiter.observe_step`."""
        if not step.online:
            return
        self._update_base(step)
        if self._smoothed_ms is None:
            self._smoothed_ms = step.duration_ms
        self._smoothed_ms += EWMA_WEIGHT * (step.duration_ms - self._smoothed_ms)
        ratio = (1 + self._max_slowdown) * self._base_ms / self._smoothed_ms
        ratio = min(1.0, max(MIN_RATIO, ratio))
        desired = min(self._max_batch, self._limit * ratio + math.sqrt(self._limit))
        self._limit += EWMA_WEIGHT * (desired - self._limit)
