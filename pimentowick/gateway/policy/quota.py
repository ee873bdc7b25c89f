"""Rate limits of workspaces that hold over all entries together.

Notes:
    Load pattern: a workspace sends several times its limit through all entries at once,
    a few requests a second at each, while other workspaces send an occasional request
    through any entry. The limit bounds what all entries admit together in any window;
    requests within the limit are not refused, whichever entry they reach.

    Failure pattern: some entries are partitioned from the others while a workspace
    sends more than its limit, and detect the partition only after a timeout.

    Both implementations refill a token bucket at the rate of the workspace.
    `EvenShareQuota` divides the rate evenly and needs no communication, but refuses a
    caller within its limit if it reaches few entries. `SharedQuota` subtracts the
    requests admitted elsewhere from a local copy of one bucket.

    `SharedQuota` refills the share of each other entry only when a report of that entry
    arrives, which also tells what the entry admitted. An entry that hears nothing
    therefore refills its own share alone from the first moment on, and the sum over all
    groups of a partition stays within the rate. A lost report delays the refill until
    the next one; one request may be admitted on account of refills that are due. The
    burst is divided by the number of entries that are not silent.

References:
    J. Turner, "New directions in communications (or which way to the information
    age?)", IEEE Communications Magazine 24(10), 1986 (leaky and token buckets).
    B. Raghavan et al., "Cloud control with distributed rate limiting", SIGCOMM 2007.
    P. O'Neil, "The escrow transactional method", ACM TODS 11(4), 1986.
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
# A longer silence is not refilled: the next report may omit requests admitted before.
MAX_REFILL_S = PERIOD_S
# Exceeds the interval and the transit time of reports. The timeout after which an entry
# is not counted as reachable also allows for a lost report.
SILENCE_S = 0.6
# Interval at which the time since the latest reports is computed.
SILENCE_CHECK_S = 0.05
# Tokens that may be taken before the reports that refill them arrive. Each partitioned
# entry may admit as much beyond its share.
MAX_ADVANCE = 1.0


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
        refilled_s: Value of the refill clock at the last refill, in seconds.
        share: Share of the limit that was available at this entry by then.
        period: Number of the newest period with requests admitted here.
        admitted: Requests admitted here in that period.
        admitted_before: Requests admitted here in the period before it.
    """

    limit: Limit
    tokens: float
    updated_at: float
    refilled_s: float
    share: float
    period: int = 0
    admitted: int = 0
    admitted_before: int = 0


class Quota(abc.ABC):
    """Rate limits of all workspaces at one entry; times are monotonic, in seconds.

    Args:
        started_at: Time at which this entry began to receive reports of its peers.

    Attributes:
        share: Share of each limit that is available at this entry.
    """

    def __init__(self, started_at=float("-inf")):
        self._started_at = started_at
        self._buckets = {}
        self._cleaned_at = started_at
        self._members = 1
        # Seconds for which each bucket has been refilled at its full rate.
        self._refill_clock_s = 0.0
        self._own_refilled_at = None
        self.share = 0.0

    def update_member_counts(self, known, reachable):
        """Update the number of entries, and with it the share of this entry.

        Args:
            known: Number of entries, including this one.
            reachable: Number of entries whose reports arrive, including this one; 0
                until this entry has listened for long enough to know.
        """
        self._members = max(1, known, reachable)
        self.share = self._compute_share(known, reachable)

    def remove_peer(self, address):
        """Stop expecting reports of another entry, which has been removed."""
        del address  # Only needed where reports are exchanged.

    @abc.abstractmethod
    def _compute_share(self, known, reachable):
        """Return the share of each limit that is available at this entry."""

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
        if bucket.tokens + self._compute_advance(limit, now) < 1.0:
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
            capacity = self._get_capacity(bucket.limit, now)
            bucket.tokens = min(capacity, bucket.tokens + 1.0)
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

    def _get_capacity(self, limit, now):
        return max(1.0, limit.burst * self._get_burst_share(now))

    def _get_burst_share(self, now):
        """Return the share of each burst that is available at this entry."""
        return self.share

    def _compute_advance(self, limit, now):
        """Return the tokens that may be taken before they are refilled."""
        return 0.0

    def _refill_own_share(self, now):
        """Advance the refill clock by the share of this entry alone."""
        if self._own_refilled_at is not None and self.share:
            elapsed_s = max(0.0, now - self._own_refilled_at)
            self._refill_clock_s += elapsed_s / self._members
        self._own_refilled_at = now

    def _refill(self, workspace, limit, now):
        self._refill_own_share(now)
        bucket = self._buckets.get(workspace)
        capacity = self._get_capacity(limit, now)
        if bucket is None:
            # Other entries may have emptied the bucket just before this one started.
            gained = (now - self._started_at) * limit.rate_per_s * self.share
            tokens = min(capacity, 1.0 + max(0.0, gained))
            bucket = _Bucket(limit, tokens, now, self._refill_clock_s, self.share)
            self._buckets[workspace] = bucket
            return bucket
        gained = (self._refill_clock_s - bucket.refilled_s) * limit.rate_per_s
        tokens = bucket.tokens + gained
        if tokens < 0.0 and self.share < bucket.share:
            # The other groups of a partition pay off their shares of a common debt.
            tokens *= self.share / bucket.share
        bucket.tokens = min(capacity, tokens)
        bucket.share = self.share
        bucket.updated_at = now
        bucket.refilled_s = self._refill_clock_s
        bucket.limit = limit
        return bucket

    def _clean(self, now):
        """Remove full buckets of idle workspaces, which equal new ones."""
        if now - self._cleaned_at < CLEANUP_INTERVAL_S:
            return
        self._cleaned_at = now
        for workspace, bucket in list(self._buckets.items()):
            limit = bucket.limit
            gained = (self._refill_clock_s - bucket.refilled_s) * limit.rate_per_s
            is_full = bucket.tokens + gained >= self._get_capacity(limit, now)
            if is_full and now - bucket.updated_at > REPORT_RETENTION_S:
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
        self._peers_heard_at = {}
        self._silent_count = 0
        # Refill that is due from entries that are not silent, in seconds at full rate.
        self._unrefilled_s = 0.0
        self._silence_checked_at = float("-inf")

    def _compute_share(self, known, reachable):
        return reachable / max(1, known, reachable)

    def _get_burst_share(self, now):
        self._update_silence(now)
        return min(self.share, 1.0 - self._silent_count / self._members)

    def _compute_advance(self, limit, now):
        self._update_silence(now)
        return min(MAX_ADVANCE, limit.rate_per_s * self._unrefilled_s)

    def _update_silence(self, now):
        if now - self._silence_checked_at < SILENCE_CHECK_S:
            return
        self._silence_checked_at = now
        ages_s = [now - heard_at for heard_at in self._peers_heard_at.values()]
        recent_s = [age_s for age_s in ages_s if age_s <= SILENCE_S]
        self._silent_count = len(ages_s) - len(recent_s)
        self._unrefilled_s = sum(recent_s) / self._members

    def remove_peer(self, address):
        """Stop expecting reports of another entry, which has been removed."""
        self._peers_heard_at.pop(address, None)
        self._silence_checked_at = float("-inf")

    def _refill_peer_share(self, address, now):
        """Advance the refill clock by the share of an entry whose report arrived."""
        heard_at = self._peers_heard_at.get(address)
        self._peers_heard_at[address] = now
        if heard_at is None and now - self._started_at <= MAX_REFILL_S:
            # This entry began to listen while that one was already running.
            heard_at = self._started_at
        if heard_at is not None and self.share:
            elapsed_s = min(MAX_REFILL_S, max(0.0, now - heard_at))
            self._refill_clock_s += elapsed_s / self._members

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
        """Refill the share of another entry, and subtract what it admitted."""
        self._refill_peer_share(address, now)
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
            # By then, the count of reachable entries no longer includes them.
            self._peers_heard_at = {
                address: heard_at
                for address, heard_at in self._peers_heard_at.items()
                if now - heard_at <= REPORT_RETENTION_S
            }
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
