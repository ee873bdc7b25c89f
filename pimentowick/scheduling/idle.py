"""Prediction of idle periods long enough to fill the engine with batch items.

Notes:
    Under steady traffic, periods without online requests are brief. Filling the engine
    with batch items in such a period delays the next online request by a long step,
    and the items are preempted before they make progress. If recent idle periods were
    short, the current one is therefore considered short until it has lasted for
    `MIN_IDLE_S`.
"""

import time

__all__ = ["IdlePredictor"]

SHORT_PAUSE_S = 0.3
MIN_IDLE_S = 0.25
EWMA_WEIGHT = 0.2


class IdlePredictor:
    """Predicts idle periods from the mean duration of the previous ones.

    Args:
        clock: Function that returns monotonic seconds.

    Examples:
        >>> now = [0.0]
        >>> idle = IdlePredictor(clock=lambda: now[0])
        >>> for _ in range(10):
        ...     wait_s = idle.update_online(0)
        ...     now[0] += 0.05
        ...     _ = idle.update_online(1)
        >>> idle.update_online(0)
        0.25
        >>> idle.expects_idle(online=0)
        False
        >>> now[0] += 0.3
        >>> idle.expects_idle(online=0)
        True
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._idle_since = clock()
        self._mean_pause_s = 2 * SHORT_PAUSE_S

    def update_online(self, online):
        """Update the number of online requests.

        Returns:
            Seconds after which to call `expects_idle` again, or 0 if not needed.
        """
        if online == 0 and self._idle_since is None:
            self._idle_since = self._clock()
            return MIN_IDLE_S if self._mean_pause_s < SHORT_PAUSE_S else 0.0
        if online and self._idle_since is not None:
            pause_s = self._clock() - self._idle_since
            self._mean_pause_s += EWMA_WEIGHT * (pause_s - self._mean_pause_s)
            self._idle_since = None
        return 0.0

    def expects_idle(self, online):
        """Return whether the engine is idle and likely to stay so long enough.

        Args:
            online: Number of running and queued online requests.
        """
        if online or self._idle_since is None:
            return False
        if self._mean_pause_s >= SHORT_PAUSE_S:
            return True
        return self._clock() - self._idle_since >= MIN_IDLE_S
