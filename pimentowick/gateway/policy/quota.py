"""Rate limits of workspaces that hold over all entries together.

Notes:
    Load pattern: a workspace sends several times its limit through all entries at once,
    a few requests a second at each, while other workspaces send an occasional request
    through any entry. The limit bounds what all entries admit together in any window;
    requests within the limit are not refused, whichever entry they reach.

    Both implementations refill a token bucket at the rate of the workspace.
    `EvenShareQuota` divides the rate evenly and needs no communication, but refuses a
    caller within its limit if it reaches few entries. `SharedQuota` subtracts the
    requests admitted elsewhere from a local copy of one bucket. Entries that are
    partitioned from each other divide the rate by group size, so that the sum over all
    groups stays within the limit.

References:
    J. Turner, "New directions in communications (or which way to the information
    age?)", IEEE Communications Magazine 24(10), 1986 (leaky and token buckets).
    B. Raghavan et al., "Cloud control with distributed rate limiting", SIGCOMM 2007.
"""

import abc
import dataclasses

__all__ = ["EvenShareQuota", "Limit", "Quota", "SharedQuota"]

# Counts are reported for the current and the previous period, so that the next report
# makes up for a lost one.
PERIOD_S = 1.0
# Reported counts are kept for as long as a later report can include the same period.
REPORT_RETENTION_S = 3 * PERIOD_S
# Bounds how long a workspace is refused after the entries admitted too much.
MAX_DEBT_S = 5.0
# Interval at which idle buckets that are full again are removed.
CLEANUP_INTERVAL_S = 5.0
MAX_RETRY_AFTER_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Rate limit of a workspace over all entries together.

    Attributes:
        rate_per_s: Requests per second.
        burst: Requests admitted at once beyond the rate.
    """

    rate_per_s: float
    burst: float


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Token bucket of one workspace.

    Attributes:
        limit: The `Limit` at the last refill.
        tokens: Tokens left; negative if too many requests were admitted.
        updated_at: Time of the last refill.
        period: Number of the newest period with requests admitted here.
        admitted: Requests admitted here in that period.
        admitted_before: Requests admitted here in the period before it.
    """

    limit: Limit
    tokens: float
    updated_at: float
    period: int = 0
    admitted: int = 0
    admitted_before: int = 0


class Quota(abc.ABC):
    """Rate limits of all workspaces at one entry; times are monotonic, in seconds.

    Args:
        started_at: Time at which this entry began to receive reports of its peers.

    Attributes:
        share: Share of each rate that this entry refills.
    """

    def __init__(self, started_at=float("-inf")):
        self._started_at = started_at
        self._buckets = {}
        self._cleaned_at = started_at
        self.share = 0.0

    def update_member_counts(self, known, reachable):
        """Update the number of entries, and with it the share of this entry.

        Args:
            known: Number of entries, including this one.
            reachable: Number of entries whose reports arrive, including this one; 0
                until this entry has listened for long enough to know.
        """
        self.share = self._compute_share(known, reachable)

    @abc.abstractmethod
    def _compute_share(self, known, reachable):
        """Return the share of each rate that this entry refills."""

    def take(self, workspace, limit, now):
        """Take a token for a request if one is left.

        Args:
            workspace: Name of the workspace.
            limit: Its `Limit`.
            now: Monotonic time, in seconds.

        Returns:
            0.0 if the request is admitted, else the expected seconds until a token is
            available.
        """
        self._clean(now)
        bucket = self._refill(workspace, limit, now)
        if bucket.tokens < 1.0:
            rate = limit.rate_per_s * self.share
            if not rate:
                return PERIOD_S
            return min(MAX_RETRY_AFTER_S, (1.0 - bucket.tokens) / rate)
        bucket.tokens -= 1.0
        _count(bucket, 1, now)
        return 0.0

    def refund(self, workspace, now):
        """Return the token of an admitted request that did not run."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.tokens = min(self._get_capacity(bucket.limit), bucket.tokens + 1.0)
            _count(bucket, -1, now)

    @abc.abstractmethod
    def build_report(self, now):
        """Return the report for other entries: rows by workspace, empty if none."""

    @abc.abstractmethod
    def merge_report(self, address, rows, get_limit, now):
        """Apply the report of another entry.

        Args:
            address: Address of that entry.
            rows: Its report, as returned by `build_report`.
            get_limit: Function from the name of a workspace to its `Limit`, or None if
                it has none.
            now: Monotonic time, in seconds.
        """

    def count_buckets(self):
        """Return the number of workspaces with a bucket."""
        return len(self._buckets)

    def _get_capacity(self, limit):
        return max(1.0, limit.burst * self.share)

    def _refill(self, workspace, limit, now):
        bucket = self._buckets.get(workspace)
        capacity = self._get_capacity(limit)
        if bucket is None:
            # Other entries may have emptied the bucket just before this one started.
            gained = (now - self._started_at) * limit.rate_per_s * self.share
            bucket = _Bucket(limit, min(capacity, 1.0 + max(0.0, gained)), now)
            self._buckets[workspace] = bucket
            return bucket
        gained = (now - bucket.updated_at) * limit.rate_per_s * self.share
        bucket.tokens = min(capacity, bucket.tokens + max(0.0, gained))
        bucket.updated_at = now
        bucket.limit = limit
        return bucket

    def _clean(self, now):
        """Remove full buckets of idle workspaces, which equal new ones."""
        if now - self._cleaned_at < CLEANUP_INTERVAL_S:
            return
        self._cleaned_at = now
        for workspace, bucket in list(self._buckets.items()):
            limit = bucket.limit
            idle_s = now - bucket.updated_at
            gained = idle_s * limit.rate_per_s * self.share
            is_full = bucket.tokens + gained >= self._get_capacity(limit)
            if is_full and idle_s > REPORT_RETENTION_S:
                del self._buckets[workspace]


def _count(bucket, requests, now):
    period = int(now // PERIOD_S)
    if period != bucket.period:
        follows = period == bucket.period + 1
        bucket.admitted_before = bucket.admitted if follows else 0
        bucket.admitted = 0
        bucket.period = period
    bucket.admitted += requests


class EvenShareQuota(Quota):
    """Rate limits divided evenly among the known entries, without reports.

    Examples:
        >>> quota = EvenShareQuota()
        >>> quota.update_member_counts(known=4, reachable=1)
        >>> limit = Limit(rate_per_s=8.0, burst=4.0)
        >>> quota.take("w", limit, now=0.0), quota.take("w", limit, now=0.0)
        (0.0, 0.5)
    """

    def _compute_share(self, known, reachable):
        return 1.0 / max(1, known)

    def build_report(self, now):
        """Return an empty report."""
        return {}

    def merge_report(self, address, rows, get_limit, now):
        """Ignore the report of another entry."""


class SharedQuota(Quota):
    """Rate limits enforced jointly, by exchanging counts of admitted requests.

    Examples:
        >>> limit = Limit(rate_per_s=8.0, burst=2.0)
        >>> here, there = SharedQuota(), SharedQuota()
        >>> for quota in (here, there):
        ...     quota.update_member_counts(known=2, reachable=2)
        >>> here.take("w", limit, now=5.0), here.take("w", limit, now=5.0)
        (0.0, 0.0)
        >>> report = here.build_report(5.0)
        >>> there.merge_report("here", report, lambda name: limit, now=5.0)
        >>> there.take("w", limit, now=5.0)
        0.125
    """

    def __init__(self, started_at=float("-inf")):
        super().__init__(started_at)
        self._peer_rows = {}

    def _compute_share(self, known, reachable):
        return reachable / max(1, known, reachable)

    def build_report(self, now):
        """Return (period, admitted, admitted in the previous period) by workspace."""
        period = int(now // PERIOD_S)
        rows = {}
        for workspace, bucket in self._buckets.items():
            if period - bucket.period > 1:
                continue
            if bucket.admitted or bucket.admitted_before:
                rows[workspace] = (
                    bucket.period,
                    bucket.admitted,
                    bucket.admitted_before,
                )
        return rows

    def merge_report(self, address, rows, get_limit, now):
        """Subtract the requests that another entry admitted since its last report."""
        previous_rows = self._peer_rows.setdefault(address, {})
        for workspace, (period, admitted, admitted_before) in rows.items():
            previous = previous_rows.get(workspace)
            previous_rows[workspace] = (now, period, admitted)
            limit = get_limit(workspace)
            if limit is None:
                continue
            requests = admitted + admitted_before
            if previous is not None and previous[1] == period:
                requests = admitted - previous[2]
            elif previous is not None and previous[1] == period - 1:
                requests -= previous[2]
            if requests:
                bucket = self._refill(workspace, limit, now)
                min_tokens = -MAX_DEBT_S * limit.rate_per_s
                bucket.tokens = max(min_tokens, bucket.tokens - requests)

    def _clean(self, now):
        if now - self._cleaned_at >= CLEANUP_INTERVAL_S:
            for address, rows in list(self._peer_rows.items()):
                kept = {
                    workspace: row
                    for workspace, row in rows.items()
                    if now - row[0] <= REPORT_RETENTION_S
                }
                self._peer_rows[address] = kept
                if not kept:
                    del self._peer_rows[address]
        super()._clean(now)
