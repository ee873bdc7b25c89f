"""Which targets get no new work for a while because they work far too slowly.

Notes:
    Failure pattern: a target works several times slower than its service usually does,
    but accepts requests and passes its health check. Each request that it gets holds a
    slot for seconds, and its caller waits. Some such targets recover and fail by turns.

    The choice of a target gives slow targets fewer requests, in proportion to their
    speed (see `pimentowick.gateway.policy.delay_choice`). This is enough for targets
    that are slow by nature or for a moment. A target is left alone if it is slower than
    the spread of its service explains, or if several first events are overdue there. If
    they are at many targets, the service is overloaded and none is left alone for it.

    A target is left alone for a fixed time, longer each time it is found slow again,
    and then gets requests in proportion to its speed. Only responses after its return
    count against it. What a target says of itself plays no part.

References:
    Outlier detection of the Envoy proxy (ejection time, share of ejected hosts).
    C. Leys et al., "Detecting outliers: do not use standard deviation around the mean,
    use absolute deviation around the median", 2013.
"""

import dataclasses
import math
import statistics

from pimentowick.gateway.policy import backoff

__all__ = ["Observation", "SlowTargets"]

# A target less slow than this is worth its share of the requests.
MIN_FACTOR = 3.0
# Distance from the median, in median absolute deviations.
MAX_DEVIATIONS = 2.5
# Weight of the responses that an estimate has to stand for.
MIN_WEIGHT = 2.0
# Responses after its return before a target may be left alone again.
MIN_NEW_WEIGHT = 0.5
# Too few speeds have no meaningful median.
MIN_TARGETS = 3
# Limits the load that moves to the other targets.
MAX_SHARE = 0.2
BASE_TIME_S = 2.0
MAX_TIME_S = 30.0
# After this time without being found slow, a target is treated like any other.
FORGIVE_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What all entries have seen of one run of a target.

    Attributes:
        speed: Its speed in shares of the usual speed of its service.
        weight: Number of recent responses that the speed stands for.
        half_life_s: Time in which the weight halves without responses.
        overdue: Number of recent overdue first events, 0 if that is not unusual.
    """

    speed: float
    weight: float
    half_life_s: float
    overdue: float = 0.0


@dataclasses.dataclass(slots=True)
class _Record:
    """A target that was found slow.

    Attributes:
        until: Monotonic time until which it gets no new work.
        count: Number of times that it was found slow in close succession.
        returned_at: Monotonic time of its return, or None before.
        weight: Weight of its estimate then.
    """

    until: float
    count: int
    returned_at: float | None = None
    weight: float = 0.0


class SlowTargets:
    """The targets of one service that are left alone at the moment."""

    def __init__(self):
        self._records = {}

    def update(self, observations, now, ejected=0):
        """Return the targets that get no new work, as run identifiers.

        Args:
            observations: The `Observation` of each listed run, by run identifier.
            now: Monotonic time, in seconds.
            ejected: Number of targets that get no new work for other reasons.
        """
        self._remove_old(observations, now)
        self._record_returns(observations, now)
        resting = {key for key, each in self._records.items() if now < each.until}
        limit = int(MAX_SHARE * len(observations)) or int(len(observations) > 1)
        free = limit - ejected - len(resting)
        for key in self._rank_slow(observations, limit, now):
            if free <= 0:
                break
            if key not in resting:
                self._rest(key, now)
                resting.add(key)
                free -= 1
        return frozenset(resting)

    def get_rest_s(self, run_id, now):
        """Return for how long a target still gets no new work, in seconds."""
        record = self._records.get(run_id)
        return 0.0 if record is None else max(0.0, record.until - now)

    def _rank_slow(self, observations, limit, now):
        """Return the slow targets, the slowest first."""
        overdue = [key for key, each in observations.items() if each.overdue]
        slow = set(overdue if len(overdue) <= limit else ())
        threshold = _compute_threshold(observations)
        for key, each in observations.items():
            if each.weight >= MIN_WEIGHT and each.speed < threshold:
                slow.add(key)
        slow = [key for key in slow if self._has_new_evidence(key, observations, now)]
        return sorted(slow, key=lambda key: (observations[key].speed, key))

    def _has_new_evidence(self, key, observations, now):
        record = self._records.get(key)
        observed = observations[key]
        if record is None or record.returned_at is None or observed.overdue:
            return True
        age_s = now - record.returned_at
        expected = record.weight * 0.5 ** (age_s / observed.half_life_s)
        return observed.weight >= expected + MIN_NEW_WEIGHT

    def _rest(self, key, now):
        record = self._records.get(key)
        count = 1 if record is None else record.count + 1
        rest_s = backoff.compute_delay(BASE_TIME_S, MAX_TIME_S, count)
        self._records[key] = _Record(now + rest_s, count)

    def _record_returns(self, observations, now):
        for key, record in self._records.items():
            if record.returned_at is None and now >= record.until:
                record.returned_at = now
                record.weight = observations[key].weight

    def _remove_old(self, observations, now):
        for key, record in list(self._records.items()):
            if key not in observations or now > record.until + FORGIVE_S:
                del self._records[key]


def _compute_threshold(observations):
    """Return the speed below which a target is slow; 0.0 if too few are known.

    Examples:
        >>> def observe(*speeds):
        ...     return {speed: Observation(speed, 6.0, 8.0) for speed in speeds}
        >>> round(_compute_threshold(observe(0.2, 1.0, 1.01, 1.02)), 2)
        0.33
        >>> round(_compute_threshold(observe(0.4, 0.5, 1.0, 1.1, 2.0, 2.1)), 2)
        0.2
    """
    known = [
        math.log(each.speed)
        for each in observations.values()
        if each.weight >= MIN_WEIGHT
    ]
    if len(known) < MIN_TARGETS:
        return 0.0
    median = statistics.median(known)
    deviation = statistics.median(abs(speed - median) for speed in known)
    return math.exp(median - max(math.log(MIN_FACTOR), MAX_DEVIATIONS * deviation))
