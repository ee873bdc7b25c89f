"""Which queued requests are served in time, late, or not at all.

Notes:
    Load pattern: waves of some seconds bring more requests than targets finish. In
    order of arrival, or of deadlines, each request starts as late as its objective
    allows, and misses it with the least further delay, together with all behind it.

    In an overload the newest request of a workspace therefore goes first, so that those
    which are served start early enough. Those that cannot start in time any more are
    late. Late requests start only in slots that no request in time needs: beyond those
    queued in time at all entries, beyond the arrivals of which entries do not know yet,
    and not shortly before the next overload of a regular series. A late request that
    cannot be served before its caller gives up is refused as soon as that is expected.

    The end of an overload is recognised only after a usual hold time without queued
    requests, and refusals end at a lower estimate than they begin, so that decisions do
    not change with each load report.

References:
    A. Bestavros et al., "Value-cognizant admission control for RTDB systems", 1996.
    Facebook, "Fail at scale" (adaptive LIFO), ACM Queue 13(8), 2015.
"""

import collections
import dataclasses
import enum
import math

__all__ = [
    "OverloadState",
    "Prospect",
    "Room",
    "compute_patience_s",
    "compute_room_per_s",
    "estimate_wait_s",
    "is_late",
    "order_in_time",
    "order_late",
    "select_eligible",
]

# Callers abandon a stream without a first event after this time, or after this multiple
# of its objective if that is longer.
MIN_PATIENCE_S = 2.0
PATIENCE_FACTOR = 4.0
# Start tag up to which a workspace is within its share.
FULL_SHARE_TAG = 1.0
# Refusals begin when the expected wait reaches the time left, and end at this share.
RESUME_SHARE = 0.75
# Share of the slots that are taken between overloads, until it is observed.
INITIAL_LOAD = 0.5
LOAD_WEIGHT = 0.02
DURATION_WEIGHT = 0.3
# Late requests get at least this share of the room in estimates of their wait.
MIN_LATE_SHARE = 0.1
# Standard deviations of the unseen arrivals for which slots are kept free.
RESERVE_DEVIATIONS = 3.0
# Requests hold a slot unevenly long; most end within this multiple of the mean.
HOLD_MARGIN = 1.5
# An overload that is expected and does not begin is no longer expected after this
# multiple of the mean hold time.
MISSED_MARGIN = 0.5


class Prospect(enum.StrEnum):
    """How a request is expected to be served."""

    IN_TIME = enum.auto()
    LATE = enum.auto()
    NONE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """Room of one service, as an entry knows it.

    Attributes:
        slots: Slots of all usable targets.
        effective_slots: The same in slots of usual speed.
        free_slots: Slots without an online request.
        hold_s: Time that a request holds a slot of usual speed, in seconds.
        in_time: Requests queued in time at all entries.
        late: Late requests queued at all entries.
        unseen: Requests that arrive at all entries before they know of each other's.
        has_targets: Whether any target is listed, usable or not.
    """

    slots: int
    effective_slots: float
    free_slots: int
    hold_s: float
    in_time: int = 0
    late: int = 0
    unseen: float = 0.0
    has_targets: bool = True


def compute_room_per_s(room):
    """Return the number of requests that can start per second.

    Examples:
        >>> compute_room_per_s(Room(40, 20.0, 0, 0.5))
        40.0
    """
    return room.effective_slots / room.hold_s


def estimate_wait_s(room, ahead):
    """Return the time until a slot is free behind `ahead` requests, in seconds.

    Examples:
        >>> estimate_wait_s(Room(40, 20.0, 2, 0.5), 9)
        0.2
    """
    excess = max(0, ahead + 1 - room.free_slots)
    if not excess:
        return 0.0
    if not room.effective_slots:
        return math.inf
    return excess / compute_room_per_s(room)


def compute_patience_s(objective_s):
    """Return how long a caller of a stream waits for the first event, in seconds.

    Callers abandon a stream then, also if their deadline is much later.

    Examples:
        >>> compute_patience_s(0.3), compute_patience_s(1.0)
        (2.0, 4.0)
    """
    return max(MIN_PATIENCE_S, PATIENCE_FACTOR * objective_s)


def is_late(slot_request, now):
    """Return whether a request cannot start in time any more.

    A request that lost its target is not late: its caller may be in the middle of the
    response.
    """
    return not slot_request.lost_target and slot_request.start_deadline < now


def select_eligible(requests, now):
    """Return the requests that compete for slots that become free.

    These are the requests in time, and late ones of workspaces within their share while
    requests of workspaces beyond theirs wait: a workspace must not lose its requests
    because another one sends too many. Such late requests come between the two.

    Args:
        requests: The `pimentowick.gateway.admission.SlotRequest` objects.
        now: Monotonic time, in seconds.

    Returns:
        Pairs of the position in `requests` and the request, a late one with the start
        tag by which it is ordered.
    """
    eligible = [(at, r) for at, r in enumerate(requests) if not is_late(r, now)]
    if all(request.start_tag <= FULL_SHARE_TAG for _, request in eligible):
        return eligible
    tag = math.nextafter(FULL_SHARE_TAG, math.inf)
    for position, request in enumerate(requests):
        is_within_share = request.workspace and request.start_tag <= FULL_SHARE_TAG
        if is_within_share and is_late(request, now):
            eligible.append((position, dataclasses.replace(request, start_tag=tag)))
    return eligible


def order_in_time(requests, is_newest_first):
    """Return the order of requests that can start in time, and their start tags.

    Workspaces take turns by their start tags in either order. In an overload the
    newest request of a workspace gets the lowest of its tags.

    Args:
        requests: The `pimentowick.gateway.admission.SlotRequest` objects.
        is_newest_first: Whether the service is overloaded.

    Returns:
        Pairs of the position in `requests` and the start tag to charge.
    """
    tags = [request.start_tag for request in requests]
    if is_newest_first:
        tags = _assign_lowest_to_newest(requests)

    def make_sort_key(position):
        request = requests[position]
        deadline = request.start_deadline
        return (
            request.rank,
            not request.lost_target,
            tags[position],
            -deadline if is_newest_first else deadline,
        )

    order = sorted(range(len(requests)), key=make_sort_key)
    return [(position, tags[position]) for position in order]


def _assign_lowest_to_newest(requests):
    groups = collections.defaultdict(list)
    for position, request in enumerate(requests):
        groups[request.workspace, request.rank].append(position)
    tags = [0.0] * len(requests)
    for positions in groups.values():
        lowest_first = sorted(requests[position].start_tag for position in positions)
        positions.sort(key=lambda position: -requests[position].start_deadline)
        for position, tag in zip(positions, lowest_first, strict=True):
            tags[position] = tag
    return tags


def order_late(requests):
    """Return the positions of late requests in the order in which to start them.

    Callers that were turned away before go first, then those of workspaces within
    their share, then those that give up soonest.
    """

    def make_sort_key(position):
        request = requests[position]
        is_beyond_share = request.start_tag > FULL_SHARE_TAG
        return (
            request.rank,
            not request.is_return,
            is_beyond_share,
            request.wait_deadline,
        )

    return sorted(range(len(requests)), key=make_sort_key)


class OverloadState:
    """Whether a service is overloaded, for how long yet, and whether to refuse.

    Attributes:
        is_overloaded: Whether requests in time have to wait for longer than they may.
        is_refusing: Whether late requests are refused.
        usual_duration_s: Mean duration of the last overloads, 0.0 before the first.
        usual_load: Share of the slots taken while there is no overload.
    """

    def __init__(self):
        self.is_overloaded = False
        self.is_refusing = False
        self.usual_duration_s = 0.0
        self.usual_load = INITIAL_LOAD
        self.usual_calm_s = 0.0
        self._started_at = 0.0
        self._busy_at = 0.0
        self._ended_at = None

    def update(self, room, slack_s, now):
        """Observe the room; return whether an overload began or ended.

        Args:
            room: The `Room`.
            slack_s: Time for which a new request may wait, in seconds.
            now: Monotonic time, in seconds.
        """
        was_overloaded = self.is_overloaded
        if was_overloaded and now - self._busy_at >= room.hold_s:
            self._end()
        is_busy = room.in_time > room.free_slots
        if is_busy:
            self._busy_at = now
        wait_s = estimate_wait_s(room, room.in_time)
        if is_busy and not self.is_overloaded and wait_s > slack_s:
            self._begin(now)
        return self.is_overloaded != was_overloaded

    def _end(self):
        self.is_overloaded = False
        self._ended_at = self._busy_at
        self.usual_duration_s = _update_mean(
            self.usual_duration_s, self._ended_at - self._started_at
        )

    def _begin(self, now):
        self.is_overloaded = True
        self._started_at = now
        if self._ended_at is not None:
            self.usual_calm_s = _update_mean(self.usual_calm_s, now - self._ended_at)

    def expects_overload(self, hold_s, now):
        """Return whether the next overload usually begins within a hold time.

        Overloads that come at irregular times are expected for a part of the time.
        """
        if self.is_overloaded or self._ended_at is None or not self.usual_calm_s:
            return False
        until_s = self._ended_at + self.usual_calm_s - now
        return -MISSED_MARGIN * hold_s <= until_s <= HOLD_MARGIN * hold_s

    def count_late_starts(self, room, now):
        """Return how many late requests all entries together may start now.

        Requests that arrive unseen are a Poisson number. Slots for their mean and some
        standard deviations are kept free, so that they hardly ever find too few. Before
        an overload that is expected, no slot is given to a late request, which might
        still hold it then.
        """
        if self.expects_overload(room.hold_s, now):
            return 0
        reserve = room.unseen + RESERVE_DEVIATIONS * math.sqrt(room.unseen)
        free_slots = math.floor(room.free_slots - room.in_time - reserve)
        return max(0, min(room.late, free_slots))

    def observe_load(self, room):
        """Observe the share of the slots that is taken; call at regular intervals."""
        if room.slots and not self.is_overloaded:
            load = 1 - min(room.free_slots, room.slots) / room.slots
            self.usual_load += LOAD_WEIGHT * (load - self.usual_load)

    def estimate_late_wait_s(self, room, ahead, now):
        """Return the time until a late request starts behind others, in seconds.

        Late requests wait for the usual end of the overload, and then share the room
        with new requests.
        """
        remaining_s = 0.0
        if self.is_overloaded:
            remaining_s = self._started_at + self.usual_duration_s - now
        share = max(MIN_LATE_SHARE, 1 - self.usual_load)
        return max(0.0, remaining_s) + estimate_wait_s(room, ahead) / share

    def list_unservable(self, room, late, peers_late, now):
        """Return the positions of late requests that are not served before they leave.

        Requests that were queued are refused only well beyond the limit at which new
        ones are, so that they do not leave because of a short change. Without usable
        targets nothing is known, since some may be back in time.

        Args:
            room: The `Room`.
            late: Late requests queued at this entry, in the order to start them.
            peers_late: Number of late requests queued at other entries.
            now: Monotonic time, in seconds.
        """
        if not room.effective_slots or not late:
            return []
        ahead_per_request = 1 + peers_late / len(late)
        unservable = []
        for position, request in enumerate(late):
            ahead = room.in_time + (position - len(unservable)) * ahead_per_request
            wait_s = self.estimate_late_wait_s(room, ahead, now)
            if wait_s * RESUME_SHARE > request.wait_deadline - now:
                unservable.append(position)
        return unservable

    def predict(self, room, slot_request, now):
        """Return the `Prospect` of a request, and its expected wait in seconds.

        Args:
            room: The `Room`.
            slot_request: The `pimentowick.gateway.admission.SlotRequest`.
            now: Monotonic time, in seconds.
        """
        if not room.effective_slots and room.has_targets:
            # It is not known when a target is usable again; that is mostly soon.
            return Prospect.LATE, math.inf
        wait_s = estimate_wait_s(room, 0 if self.is_overloaded else room.in_time)
        if now + wait_s <= slot_request.start_deadline:
            return Prospect.IN_TIME, wait_s
        ahead = 0 if slot_request.is_return else room.late
        late_s = self.estimate_late_wait_s(room, room.in_time + ahead, now)
        left_s = max(0.0, slot_request.wait_deadline - now)
        if slot_request.is_return:
            return (Prospect.LATE if late_s <= left_s else Prospect.NONE), late_s
        limit_s = left_s * (RESUME_SHARE if self.is_refusing else 1.0)
        self.is_refusing = late_s > limit_s
        return (Prospect.NONE if self.is_refusing else Prospect.LATE), late_s


def _update_mean(mean, value):
    return value if not mean else mean + DURATION_WEIGHT * (value - mean)
