"""How many slots batch items leave unused for online requests.

Notes:
    Load pattern: online requests come in waves that rise to several times the load
    between them within a moment and last some seconds, and the load also varies at
    random. An item that starts shortly before the load rises is preempted after a
    moment: it has generated nothing but has to read its prompt again.

    An item starts if it is likely to run for a useful time. The headroom is the rise of
    the online load within that time, which was seldom exceeded after loads like the
    present one, at the same level and in the same direction, during the last waves. In
    addition, slots are kept for the requests that are sent before the other entries
    know. On steady demand, the rises are those of its random variation.

    Items that are due before the next waves are over do not wait for better times.

References:
    J. D. C. Little, "A proof for the queuing formula L = lambda W", 1961.
"""

import collections
import dataclasses
import math

__all__ = ["BatchHeadroom", "is_urgent"]

SAMPLE_INTERVAL_S = 0.1
# Covers the last few waves.
HISTORY_S = 20.0
# An item that runs for this long has done several times the work of its restart.
USEFUL_RUN_S = 0.5
# Time in which a change of the load shows its direction.
TREND_S = 0.3
# Share of the similar situations after which the headroom was enough.
COVERED_SHARE = 0.75
MIN_SIMILAR = 10
# Items with less slack do not wait for the end of a wave of some seconds.
URGENT_SLACK_S = 6.0
# Deviations of a Poisson variable within which two loads count as similar, and beyond
# which a change is not random.
SIMILAR_DEVIATIONS = 1.5
TREND_DEVIATIONS = 1.0
# Deviations that are covered while too few situations are known.
DEFAULT_DEVIATIONS = 2.0


@dataclasses.dataclass(slots=True)
class _Sample:
    """The online load at one time.

    Attributes:
        at: Monotonic time in seconds.
        online: Slots held by online requests.
        change: Change since `TREND_S` before.
        rise: Largest rise seen since, within `USEFUL_RUN_S`.
    """

    at: float
    online: int
    change: int
    rise: int = 0


class BatchHeadroom:
    """Learns the headroom of one service from its online load.

    Examples:
        >>> headroom = BatchHeadroom()
        >>> for step in range(100):
        ...     headroom.record_load(40 + step % 2, now=step * 0.1)
        >>> headroom.compute(200, expected_sends=4.0)
        5
    """

    def __init__(self):
        self._samples = collections.deque()
        self._online = 0

    def record_load(self, online, now):
        """Record the number of slots held by online requests at a time."""
        self._online = online
        if self._samples and now - self._samples[-1].at < SAMPLE_INTERVAL_S:
            return
        for sample in reversed(self._samples):
            if now - sample.at > USEFUL_RUN_S:
                break
            sample.rise = max(sample.rise, online - sample.online)
        self._samples.append(_Sample(now, online, self._get_change(online, now)))
        while now - self._samples[0].at > HISTORY_S:
            self._samples.popleft()

    def compute(self, slots, expected_sends, is_urgent=False):
        """Return the number of slots to leave unused.

        Args:
            slots: Slots of all usable targets.
            expected_sends: Number of online requests that all entries send within the
                propagation delay.
            is_urgent: Whether an item is due before a wave is over.
        """
        sends = math.ceil(expected_sends)
        if not self._samples or is_urgent:
            return min(slots, sends)
        return min(slots, sends + self._estimate_rise())

    def _estimate_rise(self):
        """Return the rise of the load that is seldom exceeded within a useful run."""
        now = self._samples[-1].at
        deviation = math.sqrt(max(1.0, self._online))
        direction = self._get_direction(self._samples[-1])
        rises = sorted(
            sample.rise
            for sample in self._samples
            if now - sample.at > USEFUL_RUN_S
            and abs(sample.online - self._online) <= SIMILAR_DEVIATIONS * deviation
            and self._get_direction(sample) == direction
        )
        if len(rises) < MIN_SIMILAR:
            return math.ceil(DEFAULT_DEVIATIONS * deviation)
        return rises[int(COVERED_SHARE * len(rises))]

    def _get_change(self, online, now):
        for sample in reversed(self._samples):
            if now - sample.at >= TREND_S:
                return online - sample.online
        return 0

    def _get_direction(self, sample):
        """Return 1 if the load rises beyond its random variation, -1 if it falls."""
        limit = TREND_DEVIATIONS * math.sqrt(max(1.0, sample.online))
        return (sample.change > limit) - (sample.change < -limit)


def is_urgent(items, now):
    """Return whether an item that can still finish by its due time has little slack.

    Args:
        items: Queued items with `due_at` and `remaining_s`, in seconds.
        now: Time on the clock of `due_at`, in seconds.
    """
    slacks = (item.due_at - now - item.remaining_s for item in items)
    return any(0.0 < slack < URGENT_SLACK_S for slack in slacks)
