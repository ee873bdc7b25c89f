"""Which of the bytes held for callers yields first when memory becomes short.

Notes:
    Load pattern: bodies of several megabytes arrive faster than targets take them,
    and hundreds of callers read their responses slowly. All of these bytes are held by
    the process, which is killed if it exceeds its memory. Hosts differ in memory, so
    that no fixed number of requests is right for all of them.

    The capacity is what the limit leaves beside everything else in the process. New
    bodies are refused before they are read: those of batch jobs first, then large ones,
    then those of less urgent requests. Responses are paused only when the capacity is
    used up. Bytes that were accepted are never dropped.

    While little is held, one caller may use most of the capacity. Once it is half used,
    each caller has an equal share of it, so that one with many large bodies does not
    shut out the others.
"""

import enum
import math

__all__ = ["Account", "Kind", "MemoryBudget", "Rank", "compute_capacity"]

# A body is held twice while its parts are joined, and while it is sent.
COPIES = 2
# Part of the limit left for garbage, and for bytes that the kernel has received.
RESERVED_SHARE = 0.1
# Share of the capacity above which each caller is held to its own share.
CALLER_LIMIT_SHARE = 0.5
# Share of the capacity that a single caller may use.
SINGLE_CALLER_SHARE = 0.8
# Bodies up to this size are refused last, since they free hardly any memory.
SMALL_BODY_BYTES = 16_384
# Share of the capacity for responses that callers have not read yet. Beyond its part
# of this share a response is paused.
UNREAD_SHARE = 0.5
# Share of the capacity above which only small bodies are accepted.
FULL_SHARE = 0.9
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 4.0
# Weight of the latest request in the mean time for which bodies are held.
HOLD_WEIGHT = 0.1


class Kind(enum.StrEnum):
    """What the bytes are held for."""

    REQUEST = "request"
    """Body of a request, until the request is answered."""
    RESPONSE = "response"
    """Response of a target that is buffered until it is complete."""
    UNREAD = "unread"
    """Response that was written and that the caller has not read yet."""


class Rank(enum.IntEnum):
    """Order in which new bodies are refused, the first ones first."""

    BATCH = 0
    """Batch jobs, which may be submitted again later."""
    ORDINARY = 1
    URGENT = 2
    """Requests of the most urgent priority that the configuration has."""


# Share of the capacity up to which a new body is accepted.
ACCEPTED_SHARES = {Rank.BATCH: 0.6, Rank.ORDINARY: 0.8, Rank.URGENT: FULL_SHARE}


def compute_capacity(limit_bytes, resident_bytes, received_bytes, idle_bytes):
    """Return how many bytes may be held for callers.

    Args:
        limit_bytes: Limit on the memory of the process.
        resident_bytes: Its resident memory.
        received_bytes: Part of the held bytes that have arrived.
        idle_bytes: Its resident memory when it held nothing.

    Examples:
        >>> compute_capacity(160e6, 50e6, 0, 50e6)
        47000000.0
        >>> compute_capacity(160e6, 80e6, 0, 50e6)
        32000000.0
    """
    other_bytes = max(idle_bytes, resident_bytes - COPIES * received_bytes)
    return max(0.0, (limit_bytes * (1 - RESERVED_SHARE) - other_bytes) / COPIES)


class Account:
    """The bytes that are held for one request and its response.

    Args:
        budget: The `MemoryBudget`.
        caller: Address of the caller.
        opened_at: Monotonic time at which the request arrived.

    Attributes:
        caller: Address of the caller.
        by_kind: Number of bytes by `Kind`.
        expected: Part of the request body that has not arrived yet, in bytes.
        opened_at: Monotonic time at which the request arrived.
    """

    __slots__ = ("_budget", "by_kind", "caller", "expected", "opened_at")

    def __init__(self, budget, caller, opened_at):
        self._budget = budget
        self.caller = caller
        self.by_kind = dict.fromkeys(Kind, 0)
        self.expected = 0
        self.opened_at = opened_at

    def reserve_body(self, size):
        """Record that bytes of the body may arrive."""
        self.expected += size
        self._budget.expected += size
        self.add(Kind.REQUEST, size)

    def receive_body(self, size):
        """Record that bytes of the body have arrived."""
        arrived = min(size, self.expected)
        self.expected -= arrived
        self._budget.expected -= arrived

    def add(self, kind, size):
        """Record that more bytes are held; fewer if `size` is negative."""
        self.by_kind[kind] += size
        self._budget.record(self, kind, size)

    def set(self, kind, size):
        """Record how many bytes of a kind are held."""
        if size != self.by_kind[kind]:
            self.add(kind, size - self.by_kind[kind])

    def release_body(self, now):
        """Release the body of the request."""
        if self.by_kind[Kind.REQUEST]:
            self._budget.record_hold(now - self.opened_at)
            self.receive_body(self.expected)
            self.set(Kind.REQUEST, 0)

    def close(self, now):
        """Release everything that is held."""
        self.release_body(now)
        for kind in Kind:
            self.set(kind, 0)


class MemoryBudget:
    """Sums of the bytes held for callers, and decisions on holding more.

    Attributes:
        capacity: Number of bytes that may be held, or None without a limit.
        by_kind: Number of bytes held by `Kind`.
        expected: Part of them that has not arrived yet.
        on_release: Function called when bytes were released.
    """

    def __init__(self):
        self.capacity = None
        self.by_kind = dict.fromkeys(Kind, 0)
        self.expected = 0
        self.on_release = lambda: None
        self._by_caller = {}
        # Accounts with a buffered response and with unread bytes, oldest first.
        self._buffering = {}
        self._unread = {}
        self._hold_s = MIN_RETRY_AFTER_S
        self._refused_bytes = 0.0
        self._refused_at = 0.0

    @property
    def held(self):
        """Number of bytes held."""
        return sum(self.by_kind.values())

    @property
    def is_limited(self):
        """Whether there is a limit."""
        return self.capacity is not None

    @property
    def is_full(self):
        """Whether there is room for small bodies only."""
        return self.capacity is not None and self.held >= FULL_SHARE * self.capacity

    def get_held_by(self, caller):
        """Return how many bytes are held for a caller."""
        return self._by_caller.get(caller, 0)

    def record(self, account, kind, size):
        """Add bytes to the sums; called by `Account`."""
        self.by_kind[kind] += size
        held = self._by_caller.get(account.caller, 0) + size
        if held:
            self._by_caller[account.caller] = held
        else:
            self._by_caller.pop(account.caller, None)
        if kind == Kind.RESPONSE:
            _update_member(self._buffering, account, account.by_kind[kind])
        elif kind == Kind.UNREAD:
            _update_member(self._unread, account, account.by_kind[kind])
        if size < 0:
            self.on_release()

    def record_hold(self, seconds):
        """Record for how long a body was held."""
        self._hold_s += (seconds - self._hold_s) * HOLD_WEIGHT

    def may_accept_body(self, caller, size, rank):
        """Return whether more bytes of a request body may be read.

        Args:
            caller: Address of the caller.
            size: Number of further bytes.
            rank: The `Rank` of the request.
        """
        if self.capacity is None or not size:
            return True
        held = self.held + size
        if size <= SMALL_BODY_BYTES:
            return held <= self.capacity
        if held > ACCEPTED_SHARES[rank] * self.capacity:
            return False
        if held <= CALLER_LIMIT_SHARE * self.capacity:
            return True
        return self.get_held_by(caller) + size <= self._compute_caller_share(caller)

    def _compute_caller_share(self, caller):
        callers = len(self._by_caller) + (caller not in self._by_caller)
        return self.capacity * min(SINGLE_CALLER_SHARE, 1 / callers)

    def may_buffer(self, account):
        """Return whether more of a response may be read from its target.

        The oldest buffered response always goes on: if all of them waited for room,
        none would ever be released.
        """
        if not self.is_full:
            return True
        return next(iter(self._buffering), account) is account

    def must_pause(self, account):
        """Return whether a response must wait until its caller has read."""
        if self.capacity is None:
            return False
        limit = UNREAD_SHARE * self.capacity
        if self.is_full or self.by_kind[Kind.UNREAD] > limit:
            return True
        return account.by_kind[Kind.UNREAD] > limit / len(self._unread)

    def refuse_body(self, size, now):
        """Return the time until a refused body may be accepted, in seconds.

        Bodies that were refused before it and are expected to return take their turn
        first, so that callers refused together do not return together.
        """
        hold_s = max(MIN_RETRY_AFTER_S, self._hold_s)
        elapsed_s = max(0.0, now - self._refused_at)
        self._refused_bytes *= math.exp(-elapsed_s / hold_s)
        wait_s = hold_s * (1 + self._refused_bytes / max(1.0, self.capacity))
        self._refused_bytes += size
        self._refused_at = now
        return min(MAX_RETRY_AFTER_S, wait_s)


def _update_member(members, account, size):
    if size:
        members.setdefault(account)
    else:
        members.pop(account, None)
