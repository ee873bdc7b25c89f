"""A limit that follows the ratio of the shortest to the present step time.

Only benchmarks use it, to compare `pimentowick.scheduling.model` with.

Notes:
    The shortest step stands for an engine without batch. The ratio falls below one
    as steps grow; the limit is multiplied by it, and the square root of the limit is
    added so that it keeps probing.

References:
    L. S. Brakmo and L. L. Peterson, "TCP Vegas: end to end congestion avoidance on
    a global Internet", IEEE Journal on Selected Areas in Communications 13(8), 1995.
"""

import math

from pimentowick.scheduling import limiter

__all__ = ["GradientLimiter"]

SMOOTHING = 0.05
LEAST_RATIO = 0.5


class GradientLimiter(limiter.AdaptiveLimiter):
    """Follows the delay that batch adds.

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
        self._recent_ms = None
        self._limit = min(1.0, max_batch)

    def observe_step(self, step):
        """Take notice of a step; see `BatchLimiter.observe_step`."""
        if not step.online:
            return
        self._note_base(step)
        if self._recent_ms is None:
            self._recent_ms = step.duration_ms
        self._recent_ms += SMOOTHING * (step.duration_ms - self._recent_ms)
        ratio = (1 + self._harm) * self._base_ms / self._recent_ms
        ratio = min(1.0, max(LEAST_RATIO, ratio))
        aim = min(self._max_batch, self._limit * ratio + math.sqrt(self._limit))
        self._limit += SMOOTHING * (aim - self._limit)
