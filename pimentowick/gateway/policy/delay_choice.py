"""Choice of a target by expected delay, where targets differ in speed.

Notes:
    Load pattern: targets of one service differ in speed by two to five times, hosts
    slow down for tenths of a second, and online requests arrive in waves of two to five
    times the rate between them. A slow target holds its slots for longer, so that an
    equal share of the requests queues there while fast targets have free slots. What
    queues at a target can no longer be ordered or assigned another slot.

    The delay until the first event, or until the whole response, is estimated from the
    slots of a target, the usual hold time and its speed. Load reports are 20 to 80 ms
    old. The requests that other entries send in that time are expected where there is
    room, in proportion to its speed. Each entry draws targets with these probabilities
    and takes the one with the least expected delay, so that entries with the same news
    do not all choose the same target. If fewer slots are free than requests are
    expected, only as many requests are sent as there are slots, and the others wait in
    the queues of the entries. A request that lost its target does not.

    A slot that this entry released within the propagation delay is known to no other
    entry, so that nobody else sends a request there.

    Batch items go where most slots are unused among the targets at which they can still
    finish by their due time. If fast targets were preferred for all items, those of
    online requests would have to be preempted more often.

    Only a bounded number of targets, from a random place of the table, is considered,
    so that the cost of a choice does not grow with their number.

References:
    M. Mitzenmacher, "How useful is old information?", 2000.
    J. D. C. Little, "A proof for the queuing formula L = lambda W", 1961.
"""

import abc
import dataclasses
import math
import random

from pimentowick.gateway.policy import target_choice

__all__ = [
    "Choice",
    "LeastDelayChoice",
    "SampledChoice",
    "Selection",
    "Situation",
    "SlotChoice",
    "choose_for_item",
    "estimate_delay",
]

# Number of targets considered at a time.
SAMPLE_SIZE = 20
# Samples without a free slot after which a request is queued.
MAX_SAMPLES = 4
# Share of the hold time of a stream that passes before its first event.
FIRST_EVENT_SHARE = 0.04
# A target of the same failure domain is preferred up to this additional delay, since
# traffic between failure domains is charged.
NEAR_TOLERANCE_S = 0.01
# Bounds the estimates for a target that is slower than any useful one.
MIN_SPEED = 0.05
# What a target says of itself neither attracts more requests than its responses justify
# nor keeps all of them away.
MAX_TOLD_SLOWDOWN = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What a choice depends on besides the targets.

    Attributes:
        now: Monotonic time, in seconds.
        failure_domain: Failure domain of this entry.
        avoid: Identifiers of targets that this request was sent to before.
        mean_hold_s: Usual time for which an online request holds a slot.
        propagation_delay_s: Time after which other entries know of a slot taken here.
        is_stream: Whether the caller waits for the first event, not for the whole
            response.
    """

    now: float
    failure_domain: str
    avoid: frozenset = frozenset()
    mean_hold_s: float = 0.5
    propagation_delay_s: float = 0.02
    is_stream: bool = True

    @property
    def work_s(self):
        """Time for which the caller waits at a free target of the usual speed."""
        return self.mean_hold_s * (FIRST_EVENT_SHARE if self.is_stream else 1.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """A chosen target and what decided for it.

    Attributes:
        target: The `pimentowick.gateway.target.Target`.
        speed: Its effective speed, or None if speeds were not considered.
        delay_s: The expected delay there, or None if it was not estimated.
        expected_sends: Number of requests that other entries were expected to send to
            the considered targets before they hear of each other.
        considered: Number of targets with room that were considered.
    """

    target: object
    speed: float | None = None
    delay_s: float | None = None
    expected_sends: float = 0.0
    considered: int = 0


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target with room for an online request.

    Attributes:
        target: The `pimentowick.gateway.target.Target`.
        speed: Its effective speed.
        room: Number of slots without an online request.
        unused: Number of slots without any work; negative if it is over its slots.
        private: Number of free slots that only this entry knows of.
        weight: Share of the expected requests that go there, not normalised.
    """

    target: object
    speed: float
    room: int
    unused: int
    private: int
    weight: float = 0.0


@dataclasses.dataclass(slots=True)
class _Sample:
    """The targets with room in a sample, and the requests expected at all of them."""

    candidates: list
    expected_sends: float


class Choice(abc.ABC):
    """Chooses the target of an online request."""

    @abc.abstractmethod
    def choose(self, targets, situation, rng=random):
        """Return a `Selection`, or None if the request has to wait.

        Args:
            targets: Sequence of the targets of the service.
            situation: The `Situation`.
            rng: A `random.Random`, or the module.
        """


class SlotChoice(Choice):
    """Chooses by free slots alone, for targets of equal speed."""

    def choose(self, targets, situation, rng=random):
        """Return a `Selection`, or None; see `Choice`."""
        running = sum(target.total_online for target in targets)
        chosen = target_choice.choose_for_online(
            targets,
            situation.now,
            situation.failure_domain,
            situation.avoid,
            running / situation.mean_hold_s * situation.propagation_delay_s,
            rng.random,
        )
        return None if chosen is None else Selection(chosen)


class SampledChoice(Choice):
    """Chooses among the targets of a sample that have room."""

    def choose(self, targets, situation, rng=random):
        """Return a `Selection`, or None; see `Choice`."""
        for _ in range(MAX_SAMPLES if len(targets) > SAMPLE_SIZE else 1):
            sample = _take_sample(targets, situation, rng)
            if sample.candidates:
                _assign_weights(sample)
                return self._choose_from(sample, situation, rng)
        return None

    @abc.abstractmethod
    def _choose_from(self, sample, situation, rng):
        """Return the `Selection` of one of the candidates, or None."""


class LeastDelayChoice(SampledChoice):
    """Takes the drawn target with the least expected delay."""

    def _choose_from(self, sample, situation, rng):
        private = [each for each in sample.candidates if each.private]
        shared_room = sum(each.room - each.private for each in sample.candidates)
        is_retry = bool(situation.avoid)
        if not is_retry and shared_room < rng.random() * sample.expected_sends:
            drawn = private
        else:
            domain = situation.failure_domain
            near = [each for each in sample.candidates if _is_near(each, domain)]
            drawn = [draw(each, rng) for each in (sample.candidates, near) if each]
            drawn += private
        if not drawn:
            return None
        return _select_least_delay(drawn, sample, situation)


def _select_least_delay(drawn, sample, situation):
    total = sum(each.weight for each in sample.candidates) or 1.0
    estimates = []
    for each in drawn:
        share = each.weight / total * (1 - each.private / each.room)
        delay_s = estimate_delay(each, situation, sample.expected_sends * share)
        is_near = _is_near(each, situation.failure_domain)
        rank_s = delay_s - NEAR_TOLERANCE_S * is_near
        estimates.append((rank_s, delay_s, each))
    _, delay_s, best = min(estimates, key=lambda estimate: estimate[0])
    return Selection(
        best.target,
        best.speed,
        delay_s,
        sample.expected_sends,
        len(sample.candidates),
    )


def choose_for_item(targets, now, failure_domain, remaining_s, due_in_s):
    """Return the target for a batch item, or None if none has an unused slot.

    Args:
        targets: Sequence of the targets of the service.
        now: Monotonic time, in seconds.
        failure_domain: Failure domain of this entry.
        remaining_s: Expected run time at a target of the usual speed.
        due_in_s: Time until the item is due, in seconds.
    """
    timely = [
        target
        for target in targets
        if remaining_s <= due_in_s * _estimate_speed(target, now)
    ]
    for group in (timely, targets):
        chosen = target_choice.choose_for_batch(group, now, failure_domain)
        if chosen is not None:
            return chosen
    return None


def estimate_delay(candidate, situation, expected_arrivals):
    """Return the seconds until the first event, or the response, at a target.

    Args:
        candidate: The `Candidate`.
        situation: The `Situation`.
        expected_arrivals: Number of requests that other entries are expected to send
            there before they receive each other's reports.

    Examples:
        >>> from pimentowick.gateway import target
        >>> listed = target.Target(target.Registration("t", "s", "", 1, "a", 8))
        >>> situation = Situation(0.0, "a", mean_hold_s=0.8)
        >>> delays = [
        ...     estimate_delay(Candidate(listed, 2.0, room, room, 0), situation, 0.5)
        ...     for room in (8, 2, 1)
        ... ]
        >>> [round(delay, 3) for delay in delays]
        [0.016, 0.022, 0.045]
    """
    slots = candidate.target.slots
    interval_s = situation.mean_hold_s / (slots * candidate.speed)
    busy_share = (slots - candidate.room) / slots
    departures = busy_share * situation.propagation_delay_s / interval_s
    surplus = expected_arrivals - departures
    deviation = math.sqrt(expected_arrivals + departures) + 1e-9
    # Requests beyond the room wait until slots are released, and those beyond the
    # unused slots until batch items are preempted.
    queued = _compute_expected_excess(surplus + 1 - candidate.room, deviation)
    preempting = _compute_normal_cdf((surplus + 0.5 - candidate.unused) / deviation)
    wait_s = queued * interval_s + preempting * situation.propagation_delay_s
    return wait_s + situation.work_s / candidate.speed


def _compute_expected_excess(mean, deviation):
    """Return the expected positive part of a normal variable."""
    ratio = mean / deviation
    density = math.exp(-0.5 * ratio * ratio) / math.sqrt(2 * math.pi)
    return mean * _compute_normal_cdf(ratio) + deviation * density


def _compute_normal_cdf(value):
    return 0.5 * (1 + math.erf(value / math.sqrt(2)))


def _take_sample(targets, situation, rng):
    now = situation.now
    since = now - situation.propagation_delay_s
    if len(targets) > SAMPLE_SIZE:
        start = int(rng.random() * len(targets))
        # A slice is far cheaper than a sample, and as random as its start.
        missing = max(0, start + SAMPLE_SIZE - len(targets))
        targets = targets[start : start + SAMPLE_SIZE] + targets[:missing]
    candidates = []
    peers_running = 0
    for target in targets:
        if not target.is_usable(now):
            continue
        peers_running += target.peers_online
        room = target.registration.slots - target.online - target.peers_online
        if room <= 0 or target.id in situation.avoid:
            continue
        speed = _estimate_speed(target, now)
        unused = room - target.batch - target.peers_batch
        private = min(room, target.count_private_slots(since))
        candidates.append(Candidate(target, speed, room, unused, private))
    # By Little's law, the arrival rate is that of the running requests that end.
    sends = peers_running / situation.mean_hold_s * situation.propagation_delay_s
    return _Sample(candidates, sends)


def _estimate_speed(target, now):
    """Return the effective speed of a target as far as it is credible."""
    speed = target.relative_speed
    if target.slowdown > 1.0:
        speed /= min(MAX_TOLD_SLOWDOWN, target.get_slowdown(now))
    return speed if speed > MIN_SPEED else MIN_SPEED


def _assign_weights(sample):
    """Spread the expected requests over unused slots, then over those of items."""
    room = unused = 0
    for each in sample.candidates:
        room += each.room
        if each.unused > 0:
            unused += each.unused
    missing = sample.expected_sends + 1 - unused
    share = 0.0
    if missing > 0 and room > unused:
        share = min(1.0, missing / (room - unused))
    for each in sample.candidates:
        free = each.unused if each.unused > 0 else 0
        each.weight = each.speed * (free + share * (each.room - free))


def draw(candidates, rng):
    """Return a candidate, drawn by weight."""
    weights = [each.weight for each in candidates]
    if not any(weights):
        return rng.choice(candidates)
    return rng.choices(candidates, weights)[0]


def _is_near(candidate, failure_domain):
    return candidate.target.registration.failure_domain == failure_domain
