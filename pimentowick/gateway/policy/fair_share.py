"""Fair shares of the slots of one service between workspaces, over all entries.

Notes:
    Load pattern: for some seconds requests arrive faster than slots become free, and
    one workspace sends several times its usual rate, within its rate limit, through
    all entries at once. At each entry it has few requests, so that the queue of one
    entry alone cannot tell it from the others.

    Entries tell each other the work of busy workspaces with their load reports, and
    each computes from the sums a start tag for every queued request. The smallest tag
    is served first. Reports hold complete rows, so that the next one makes up for a
    lost one, and nothing has to be agreed upon.

    `VirtualCounters` order workspaces by the work granted to them lately.
    `MaxMinShares` divide the slots held now: a workspace that asks for less than its
    max-min share is within its share, and the others are ordered by how far they
    exceed theirs.

    State grows with busy workspaces: an entry keeps one sum for each and the rows of
    its peers, of which each has at most `MAX_TOLD_WORKSPACES`.

References:
    Y. Sheng et al., "Fairness in serving large language models", OSDI 2024 (counters
    of the work granted to each client).
    J. Kay and P. Lauder, "A fair share scheduler", Communications of the ACM 31(1),
    1988 (decayed usage).
    D. Bertsekas and R. Gallager, "Data Networks", 1992, section 6.5 (max-min fairness).
"""

import abc
import dataclasses
import math

__all__ = [
    "FairShare",
    "MaxMinShares",
    "Usage",
    "VirtualCounters",
    "compute_hold",
    "compute_max_min_share",
    "count_tokens",
]

# Workspaces in one report, those with the most work. The slots that an entry fills
# with requests of workspaces beyond them are too few to matter.
MAX_TOLD_WORKSPACES = 16
WORK_DIGITS = 1
# Prompt tokens are read many at once, output tokens one after the other.
PROMPT_TOKEN_WEIGHT = 0.05
# An estimate from tokens counts for no more than this factor on the mean hold time.
MAX_COST_FACTOR = 8.0
# Half-life of granted work: a few times as long as a request holds its slot, so that a
# workspace is not charged for work of a burst that others did not miss.
WORK_HALF_LIFE_S = 2.0
MIN_TOLD_WORK = 0.1
MAX_SCALE = 1024.0
# Work of this age is forgotten; larger powers of two would overflow.
MAX_HALF_LIVES = 64.0


@dataclasses.dataclass(slots=True)
class Usage:
    """What a workspace has at one entry, or at all of them, in slots or requests.

    Attributes:
        held: Slots that its requests hold.
        queued: Number of its queued requests.
        work: Decayed cost of the requests that got slots.
    """

    held: float = 0.0
    queued: float = 0.0
    work: float = 0.0

    @property
    def asked(self):
        """Slots that it would hold if there were room."""
        return self.held + self.queued


@dataclasses.dataclass(slots=True)
class _Row:
    """A row that another entry told.

    Attributes:
        row: The row as it was told.
        usage: The `Usage` added to the sum for it.
    """

    row: list
    usage: Usage


class FairShare(abc.ABC):
    """The work of the workspaces of one service; times are monotonic, in seconds."""

    def __init__(self):
        self._own = {}
        self._peers = {}
        self._sums = {}
        # Granted work is stored times this factor, which grows in place of its decay.
        self._scale = 1.0
        self._scaled_at = None

    def record_queued(self, workspace, count):
        """Record that a number of requests joined the queue, or left it if negative."""
        usage = self._own.setdefault(workspace, Usage())
        usage.queued += count
        self._drop_idle(workspace)

    def record_start(self, workspace, cost, now):
        """Record that a request got a slot.

        Args:
            workspace: Name of its workspace.
            cost: Its expected hold time, in shares of the mean of the service.
            now: Monotonic time, in seconds.
        """
        self._decay(now)
        usage = self._own.setdefault(workspace, Usage())
        usage.held += 1
        usage.work += cost * self._scale

    def record_end(self, workspace, now):
        """Record that a request released its slot."""
        self._decay(now)
        usage = self._own.setdefault(workspace, Usage())
        usage.held = max(0, usage.held - 1)
        self._drop_idle(workspace)

    def build_rows(self, now):
        """Return the rows for other entries: lists of numbers by workspace."""
        self._decay(now)
        rows = {name: self._encode(usage) for name, usage in self._own.items()}
        busiest = sorted(
            (name for name in rows if any(rows[name])),
            key=lambda name: (rows[name], name),
            reverse=True,
        )
        return {name: rows[name] for name in busiest[:MAX_TOLD_WORKSPACES]}

    def merge_rows(self, address, rows, now):
        """Replace the rows of another entry.

        Args:
            address: Address of that entry.
            rows: Its rows, as returned by `build_rows`; empty to forget it.
            now: Monotonic time, in seconds.

        Raises:
            ValueError, TypeError, AttributeError: The rows are malformed.
        """
        self._decay(now)
        known = self._peers.get(address, {})
        changes = {
            str(name): self._decode(row)
            for name, row in rows.items()
            if self._must_decode(known.get(name), row)
        }
        for name in known.keys() - rows.keys() | changes.keys() & known.keys():
            self._add_to_sum(name, known.pop(name).usage, -1)
        for name, usage in changes.items():
            self._add_to_sum(name, usage, 1)
            known[name] = _Row(rows[name], usage)
        if known:
            self._peers[address] = known
        else:
            self._peers.pop(address, None)

    def get_usage(self, workspace):
        """Return the `Usage` of a workspace over all entries."""
        own = self._own.get(workspace, Usage())
        others = self._sums.get(workspace, Usage())
        return Usage(
            own.held + max(0.0, others.held),
            own.queued + max(0.0, others.queued),
            (own.work + max(0.0, others.work)) / self._scale,
        )

    def get_own_queued(self, workspace):
        """Return the number of requests of a workspace queued at this entry."""
        return self._own.get(workspace, Usage()).queued

    def list_workspaces(self):
        """Return the workspaces with work at any entry."""
        return self._own.keys() | self._sums.keys()

    @abc.abstractmethod
    def compute_shares(self, slots):
        """Return the share of a workspace that asks for more than it gets.

        Args:
            slots: Slots of all usable targets of the service.

        Returns:
            Value for `compute_tag`.
        """

    @abc.abstractmethod
    def compute_tag(self, workspace, ahead, share):
        """Return the start tag of a queued request; the smallest is served first.

        Args:
            workspace: Name of its workspace.
            ahead: Number of requests of the same workspace queued before it here.
            share: Return value of `compute_shares`.
        """

    def _must_decode(self, known, row):
        """Return whether a row differs from the known `_Row`, if any."""
        return known is None or known.row != row

    @abc.abstractmethod
    def _encode(self, usage):
        """Return the row of a workspace."""

    @abc.abstractmethod
    def _decode(self, row):
        """Return the `Usage` of a row; see `merge_rows`."""

    def _decay(self, now):
        """Decay the granted work to a time; clocks that go back are ignored."""
        if self._scaled_at is None:
            self._scaled_at = now
        half_lives = max(0.0, now - self._scaled_at) / WORK_HALF_LIFE_S
        self._scale = 2.0 ** min(MAX_HALF_LIVES, half_lives)
        if self._scale > MAX_SCALE:
            self._rescale(now)

    def _rescale(self, now):
        peers = [row.usage for rows in self._peers.values() for row in rows.values()]
        for usage in (*self._own.values(), *self._sums.values(), *peers):
            usage.work /= self._scale
        self._scale, self._scaled_at = 1.0, now
        for name in list(self._own):
            self._drop_idle(name)
        for name in list(self._sums):
            self._add_to_sum(name, Usage(), 0)

    def _add_to_sum(self, name, usage, sign):
        total = self._sums.get(name)
        if total is None:
            total = self._sums[name] = Usage()
        total.held += sign * usage.held
        total.queued += sign * usage.queued
        total.work += sign * usage.work
        if total.asked < 0.5 and total.work < MIN_TOLD_WORK * self._scale:
            del self._sums[name]

    def _drop_idle(self, workspace):
        usage = self._own[workspace]
        if usage.asked <= 0 and usage.work / self._scale < MIN_TOLD_WORK:
            del self._own[workspace]


class VirtualCounters(FairShare):
    """Orders workspaces by the work that all entries granted to them lately.

    Examples:
        >>> shares = VirtualCounters()
        >>> shares.merge_rows("other", {"flood": [6.0]}, now=0.0)
        >>> shares.record_start("calm", 1.0, now=0.0)
        >>> share = shares.compute_shares(8)
        >>> [round(shares.compute_tag(w, 0, share), 1) for w in ("flood", "calm")]
        [1.7, 0.3]
    """

    def compute_shares(self, slots):
        """See the base class; it is the mean work of the busy workspaces."""
        works = [self.get_usage(name).work for name in self.list_workspaces()]
        return sum(works) / len(works) if works else 0.0

    def compute_tag(self, workspace, ahead, share):
        """See the base class."""
        return (self.get_usage(workspace).work + ahead) / max(1.0, share)

    def _encode(self, usage):
        return [round(usage.work / self._scale, WORK_DIGITS)]

    def _must_decode(self, known, row):
        """See the base class; the known work decayed since, so that it always may."""
        return True

    def _decode(self, row):
        (work,) = row
        return Usage(work=_decode_number(work) * self._scale)


class MaxMinShares(FairShare):
    """Orders workspaces by how far the slots they hold exceed their max-min share.

    Examples:
        >>> shares = MaxMinShares()
        >>> shares.merge_rows("other", {"flood": [7, 5], "calm": [1, 0]}, now=0.0)
        >>> share = shares.compute_shares(8)
        >>> share
        7.0
        >>> [round(shares.compute_tag(w, 0, share), 1) for w in ("flood", "calm")]
        [1.1, 0.3]
    """

    def compute_shares(self, slots):
        """See the base class."""
        asked = [self.get_usage(name).asked for name in self.list_workspaces()]
        return compute_max_min_share(asked, slots)

    def compute_tag(self, workspace, ahead, share):
        """See the base class; it is at most 1.0 within the share."""
        needed = self.get_usage(workspace).held + ahead + 1
        return needed / max(1.0, share)

    def _encode(self, usage):
        return [usage.held, usage.queued]

    def _decode(self, row):
        held, queued = row
        return Usage(held=_decode_number(held), queued=_decode_number(queued))


def compute_max_min_share(asked, room):
    """Return the largest share that all workspaces can have without exceeding the room.

    Workspaces that ask for less leave the rest to the others. The share is infinite if
    there is room for all.

    Examples:
        >>> compute_max_min_share([1, 2, 9], 9), compute_max_min_share([1, 2], 9)
        (6.0, inf)
    """
    left = float(room)
    ordered = sorted(asked)
    for position, amount in enumerate(ordered):
        share = left / (len(ordered) - position)
        if amount > share:
            return max(0.0, share)
        left -= amount
    return math.inf


def _decode_number(value):
    number = float(value)
    if not 0.0 <= number < math.inf:
        raise ValueError(f"not an amount of work: {value!r}")
    return number


def compute_hold(cost, mean_tokens):
    """Return the expected hold time of a request, in shares of the mean.

    Args:
        cost: Its `pimentowick.gateway.policy.request_cost.Cost`.
        mean_tokens: Mean of `count_tokens` over the requests of the service, or 0.0.

    Returns:
        The factor; 1.0 if the tokens of the request are unknown.
    """
    tokens = count_tokens(cost)
    if not tokens or not mean_tokens:
        return 1.0
    return min(MAX_COST_FACTOR, max(1.0 / MAX_COST_FACTOR, tokens / mean_tokens))


def count_tokens(cost):
    """Return the tokens of a request, weighted by the time that they take."""
    if not cost.output_tokens:
        return 0.0
    return cost.output_tokens + PROMPT_TOKEN_WEIGHT * cost.prompt_tokens
