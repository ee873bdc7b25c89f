"""How many requests of a workspace this entry lets through, of a limit over all.

Notes:
    Load pattern: a workspace sends several times its limit through all entries at once,
    a few requests a second at each, while others send a request now and then through
    any entry. What all entries let through in any window is the limit; what lies within
    the limit is not refused, whichever entry it comes to.

    Both ways here refill a token bucket at the workspace's rate. `EvenShareQuota`
    deals the rate out evenly, so nothing has to be told, and a caller that comes to
    few entries is refused within its limit. `SharedQuota` takes what
    others let through off its own copy of one bucket. Entries that do not hear each
    other split the rate by their numbers, so that the sum over all groups stays the
    limit.

References:
    J. Turner, "New directions in communications (or which way to the information
    age?)", IEEE Communications Magazine 24(10), 1986 (leaky and token buckets).
    B. Raghavan et al., "Cloud control with distributed rate limiting", SIGCOMM 2007.
"""

import abc
import dataclasses

__all__ = ["EvenShareQuota", "Limit", "Quota", "SharedQuota"]

# Takes are told by periods: that under way and the one before, so that a report that
# is lost is made up for by the next.
PERIOD_S = 1.0
# What another entry let through is forgotten once no report can name it again.
FORGET_S = 3 * PERIOD_S
# What was let through too much is paid back for so long at most.
LONGEST_DEBT_S = 5.0
# A workspace without a request at hand has a full bucket again after some time; it is
# looked for this often.
CLEAN_EVERY_S = 5.0
LONGEST_WAIT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """What a workspace may send at all entries together.

    Attributes:
        rate_per_s: Requests a second.
        burst: Requests at once, beyond the rate.
    """

    rate_per_s: float
    burst: float


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Tokens of one workspace.

    Attributes:
        limit: The `Limit` that it was refilled by last.
        level: Tokens that are left; below 0 if too many were taken.
        at: Time of that.
        period: Number of the newest period with own takes.
        taken: Own takes in that period.
        taken_before: Own takes in the period before it.
    """

    limit: Limit
    level: float
    at: float
    period: int = 0
    taken: int = 0
    taken_before: int = 0


class Quota(abc.ABC):
    """The limits of all workspaces at one entry; times are monotonic, in seconds.

    Args:
        started_at: Time at which this entry began to hear the others.

    Attributes:
        share: Which part of each limit is refilled here.
    """

    def __init__(self, started_at=float("-inf")):
        self._started_at = started_at
        self._buckets = {}
        self._cleaned_at = started_at
        self.share = 0.0

    def update_member_counts(self, known, heard):
        """Take how many entries there are, and how many of them are heard.

        Args:
            known: Number of entries, with this one.
            heard: Number of those that are heard now, with this one. 0 while this one
                has not listened long enough to know.
        """
        self.share = self._compute_share(known, heard)

    @abc.abstractmethod
    def _compute_share(self, known, heard):
        """Return which part of the rate is refilled here."""

    def take(self, workspace, limit, now):
        """Let a request through if the limit allows it.

        Args:
            workspace: Name of the workspace.
            limit: Its `Limit`.
            now: The time.

        Returns:
            0.0 if it is let through, else the seconds until a place is expected.
        """
        self._clean(now)
        bucket = self._refill(workspace, limit, now)
        if bucket.level < 1.0:
            rate = limit.rate_per_s * self.share
            if not rate:
                return PERIOD_S
            return min(LONGEST_WAIT_S, (1.0 - bucket.level) / rate)
        bucket.level -= 1.0
        _count(bucket, 1, now)
        return 0.0

    def refund(self, workspace, now):
        """Take back that a request was let through: it has not run."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.level = min(self._get_capacity(bucket.limit), bucket.level + 1.0)
            _count(bucket, -1, now)

    @abc.abstractmethod
    def build_report(self, now):
        """Return what the others have to know: rows by workspace, empty if nothing."""

    @abc.abstractmethod
    def merge_report(self, address, rows, limits, now):
        """Take what another entry has described.

        Args:
            address: Its address.
            rows: What `build_report` returned there.
            limits: Function from the name of a workspace to its `Limit`, or None if it
                has none.
            now: The time.
        """

    def count_buckets(self):
        """Return the number of workspaces whose bucket is kept."""
        return len(self._buckets)

    def _get_capacity(self, limit):
        return max(1.0, limit.burst * self.share)

    def _refill(self, workspace, limit, now):
        bucket = self._buckets.get(workspace)
        capacity = self._get_capacity(limit)
        if bucket is None:
            # Others may have used all of it just before this entry started.
            gained = (now - self._started_at) * limit.rate_per_s * self.share
            bucket = _Bucket(limit, min(capacity, 1.0 + max(0.0, gained)), now)
            self._buckets[workspace] = bucket
            return bucket
        gained = (now - bucket.at) * limit.rate_per_s * self.share
        bucket.level = min(capacity, bucket.level + max(0.0, gained))
        bucket.at = now
        bucket.limit = limit
        return bucket

    def _clean(self, now):
        """Forget the buckets that are full, which a new one would be as well."""
        if now - self._cleaned_at < CLEAN_EVERY_S:
            return
        self._cleaned_at = now
        for workspace, bucket in list(self._buckets.items()):
            limit = bucket.limit
            idle_s = now - bucket.at
            gained = idle_s * limit.rate_per_s * self.share
            is_full = bucket.level + gained >= self._get_capacity(limit)
            if is_full and idle_s > FORGET_S:
                del self._buckets[workspace]


def _count(bucket, takes, now):
    period = int(now // PERIOD_S)
    if period != bucket.period:
        follows = period == bucket.period + 1
        bucket.taken_before = bucket.taken if follows else 0
        bucket.taken = 0
        bucket.period = period
    bucket.taken += takes


class EvenShareQuota(Quota):
    """An even share of each limit, whatever the others do.

    Examples:
        >>> quota = EvenShareQuota()
        >>> quota.update_member_counts(known=4, heard=1)
        >>> limit = Limit(rate_per_s=8.0, burst=4.0)
        >>> quota.take("w", limit, now=0.0), quota.take("w", limit, now=0.0)
        (0.0, 0.5)
    """

    def _compute_share(self, known, heard):
        return 1.0 / max(1, known)

    def build_report(self, now):
        """Return nothing: no entry counts what another lets through."""
        return {}

    def merge_report(self, address, rows, limits, now):
        """Pass over what another entry has described."""


class SharedQuota(Quota):
    """One limit that is counted together, by what the entries tell each other.

    Examples:
        >>> limit = Limit(rate_per_s=8.0, burst=2.0)
        >>> here, there = SharedQuota(), SharedQuota()
        >>> for quota in (here, there):
        ...     quota.update_member_counts(known=2, heard=2)
        >>> here.take("w", limit, now=5.0), here.take("w", limit, now=5.0)
        (0.0, 0.0)
        >>> report = here.build_report(5.0)
        >>> there.merge_report("here", report, lambda name: limit, now=5.0)
        >>> there.take("w", limit, now=5.0)
        0.125
    """

    def __init__(self, started_at=float("-inf")):
        super().__init__(started_at)
        self._heard = {}

    def _compute_share(self, known, heard):
        return heard / max(1, known, heard)

    def build_report(self, now):
        """Return the takes of the period under way and of the one before."""
        period = int(now // PERIOD_S)
        rows = {}
        for workspace, bucket in self._buckets.items():
            if period - bucket.period > 1:
                continue
            if bucket.taken or bucket.taken_before:
                rows[workspace] = (bucket.period, bucket.taken, bucket.taken_before)
        return rows

    def merge_report(self, address, rows, limits, now):
        """Take off what another entry has let through since its last report."""
        heard = self._heard.setdefault(address, {})
        for workspace, (period, taken, taken_before) in rows.items():
            before = heard.get(workspace)
            heard[workspace] = (now, period, taken)
            limit = limits(workspace)
            if limit is None:
                continue
            takes = taken + taken_before
            if before is not None and before[1] == period:
                takes = taken - before[2]
            elif before is not None and before[1] == period - 1:
                takes -= before[2]
            if takes:
                bucket = self._refill(workspace, limit, now)
                least = -LONGEST_DEBT_S * limit.rate_per_s
                bucket.level = max(least, bucket.level - takes)

    def _clean(self, now):
        if now - self._cleaned_at >= CLEAN_EVERY_S:
            for address, rows in list(self._heard.items()):
                kept = {
                    workspace: row
                    for workspace, row in rows.items()
                    if now - row[0] <= FORGET_S
                }
                self._heard[address] = kept
                if not kept:
                    del self._heard[address]
        super()._clean(now)
