"""Batch limit with additive increase and multiplicative decrease (AIMD).

Used only by benchmarks, as a baseline for `pimentowick.scheduling.model`.

References:
    D.-M. Chiu and R. Jain, "Analysis of the increase and decrease algorithms for
    congestion avoidance in computer networks", Computer Networks and ISDN Systems
    17(1), 1989.
"""

from pimentowick.scheduling import limiter

__all__ = ["AIMDLimiter"]

DECREASE_FACTOR = 0.5
STEPS_PER_UPDATE = 10


class AIMDLimiter(limiter.AdaptiveLimiter):
    """Adapts the limit by AIMD on the mean step duration.

    Examples:
        >>> from pimentowick.scheduling import step
        >>> aimd = AIMDLimiter(32, max_slowdown=0.05)
        >>> for _ in range(40):
        ...     aimd.observe_step(step.Step(20.0, online=1))
        >>> aimd.get_limit(online=1)
        4
        >>> for _ in range(10):
        ...     aimd.observe_step(step.Step(30.0, online=1, batch=4))
        >>> aimd.get_limit(online=1)
        2
    """

    def __init__(self, max_batch, max_slowdown):
        super().__init__(max_batch, max_slowdown)
        self._total_ms = 0.0
        self._count = 0

    def observe_step(self, step):
        """Update the limit with a step; see `BatchLimiter.observe_step`."""
        if not step.online:
            return
        self._update_base(step)
        self._total_ms += step.duration_ms
        self._count += 1
        if self._count < STEPS_PER_UPDATE:
            return
        mean_ms = self._total_ms / self._count
        self._total_ms = 0.0
        self._count = 0
        if mean_ms > (1 + self._max_slowdown) * self._base_ms:
            self._limit *= DECREASE_FACTOR
        else:
            self._limit = min(self._limit + 1, self._max_batch)
