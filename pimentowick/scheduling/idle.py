"""Whether the engine will be without online requests for long enough to fill it.

Notes:
    Beside steady traffic the engine is without online requests for moments only. A
    batch that fills it then makes the next online request wait for a long step, and
    is preempted before it has done much. After some short pauses the next one is
    therefore taken to be short, too, until it has lasted.
"""

import time

__all__ = ["IdlePredictor"]

SHORT_S = 0.3
LINGER_S = 0.25
SMOOTHING = 0.2


class IdlePredictor:
    """Follows how long the pauses between online requests last.

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
        self._since = clock()
        self._usual_s = 2 * SHORT_S

    def update_online(self, online):
        """Take notice of how many online requests there are.

        Returns:
            Seconds after which to ask again, or 0 if that is not needed.
        """
        if online == 0 and self._since is None:
            self._since = self._clock()
            return LINGER_S if self._usual_s < SHORT_S else 0.0
        if online and self._since is not None:
            lasted_s = self._clock() - self._since
            self._usual_s += SMOOTHING * (lasted_s - self._usual_s)
            self._since = None
        return 0.0

    def expects_idle(self, online):
        """Return whether there is no online request and none is expected soon."""
        if online or self._since is None:
            return False
        if self._usual_s >= SHORT_S:
            return True
        return self._clock() - self._since >= LINGER_S
