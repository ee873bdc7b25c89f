"""Detection of targets that fail their requests, from the outcomes seen by all entries.

Notes:
    Failure pattern: a target accepts requests and answers only some or none of them,
    for all callers or for those of one failure domain, while it stays listed and passes
    its own health check. With forty entries, each sends it a request every few seconds,
    so each entry alone would lose several requests before it detects the failure.
    Entries therefore exchange their counts for targets with failures. The counts decay,
    so that an ejected target gets a few requests again after some seconds and is
    ejected again if they fail.

References:
    Outlier detection of the Envoy proxy (success rate, share of ejected hosts).
"""

import dataclasses
import time

__all__ = ["OutlierDetection", "Tally"]

HALF_LIFE_S = 2.0
# A target is ejected only above both: packet loss of 3% stays below them.
MIN_FAILURES = 3.0
MIN_FAILURE_SHARE = 0.3
# A single peer cannot cause an ejection: it may itself be partitioned from a healthy
# target.
MAX_FAILURES_PER_PEER = 2.0
# Decayed counts below this are no longer reported.
MIN_REPORTED = 0.3
# Limits the load moved to the other targets, and keeps a partitioned entry from
# ejecting all of them.
MAX_EJECTED_SHARE = 0.2


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts of outcomes that decay with a half-life of `HALF_LIFE_S`.

    Attributes:
        failures: Decayed number of failed requests.
        successes: Decayed number of successful requests.
        updated_at: Monotonic time of the last decay, in seconds.
    """

    failures: float = 0.0
    successes: float = 0.0
    updated_at: float = 0.0

    def decay(self, now):
        """Decay the counts to a monotonic time."""
        share = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)
        self.failures *= share
        self.successes *= share
        self.updated_at = now


class OutlierDetection:
    """Counts of request outcomes by target, of this entry and of its peers.

    Args:
        failure_domain: Failure domain of this entry.
    """

    def __init__(self, failure_domain):
        self.failure_domain = failure_domain
        self._own = {}
        self._peers = {}

    def record_outcome(self, target_id, succeeded, now=None):
        """Record the outcome of a request of this entry."""
        now = time.monotonic() if now is None else now
        tally = self._own.setdefault(target_id, Tally(updated_at=now))
        tally.decay(now)
        if succeeded:
            tally.successes += 1.0
        else:
            tally.failures += 1.0

    def build_report(self, now=None):
        """Return [failures, successes] of each target for which any entry saw failures.

        The counts are those of this entry.
        """
        now = time.monotonic() if now is None else now
        suspects = self._list_suspects(now)
        report = {}
        for target_id in suspects & self._own.keys():
            tally = self._own[target_id]
            tally.decay(now)
            report[target_id] = [round(tally.failures, 2), round(tally.successes, 2)]
        return report

    def update_peer(self, address, failure_domain, report):
        """Replace the counts of a peer; an empty report removes them."""
        if report:
            self._peers[address] = (failure_domain, report)
        else:
            self._peers.pop(address, None)

    def find_outliers(self, targets, now=None):
        """Return the number of failures of each target of a service to eject.

        Args:
            targets: Identifiers of all targets of the service.
            now: Monotonic time, in seconds.
        """
        now = time.monotonic() if now is None else now
        counts = self.count_failures(targets, now)
        ranked = sorted(((n, key) for key, n in counts.items()), reverse=True)
        limit = int(MAX_EJECTED_SHARE * len(targets)) or int(len(targets) > 1)
        return {target_id: failures for failures, target_id in ranked[:limit]}

    def count_failures(self, targets, now):
        """Return the number of failures of each target above the thresholds.

        Args:
            targets: Identifiers of all targets of the service.
            now: Monotonic time, in seconds.
        """
        counts = {}
        for target_id in self._list_suspects(now).intersection(targets):
            failures = max(
                self._count_failures(target_id, now, near) for near in (True, False)
            )
            if failures:
                counts[target_id] = failures
        return counts

    def _list_suspects(self, now):
        found = {key for _, report in self._peers.values() for key in report}
        for target_id, tally in list(self._own.items()):
            tally.decay(now)
            if tally.failures >= MIN_REPORTED:
                found.add(target_id)
            elif tally.successes < MIN_REPORTED:
                del self._own[target_id]
        return found

    def _count_failures(self, target_id, now, near):
        """Return the failures of a target, or 0 below the ejection thresholds.

        Args:
            target_id: Identifier of the target.
            now: Monotonic time, in seconds.
            near: Whether to count only entries of this failure domain.
        """
        own = self._own.get(target_id, Tally(updated_at=now))
        failures, successes = own.failures, own.successes
        for domain, report in self._peers.values():
            if target_id in report and not (near and domain != self.failure_domain):
                share = min(
                    1.0, MAX_FAILURES_PER_PEER / max(report[target_id][0], 0.01)
                )
                failures += share * report[target_id][0]
                successes += share * report[target_id][1]
        return (
            failures
            if failures >= MIN_FAILURES
            and failures >= MIN_FAILURE_SHARE * (failures + successes)
            else 0.0
        )
