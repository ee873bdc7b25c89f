"""Which targets fail what they are sent, from the outcomes of all entries.

Notes:
    Load pattern: a target takes requests and answers some or none of them, for all
    callers or for those of one failure domain, while it is listed and its own check
    passes. With forty entries each sends it a request every few seconds, so that
    each alone would lose several before it knows. Entries tell each other their
    counts for targets that somebody saw fail; both counts fade, so that a target
    gets a few requests again after some seconds, and rests on if they fail.

References:
    Outlier detection of the Envoy proxy (success rate, share of ejected hosts).
"""

import dataclasses
import time

__all__ = ["OutlierDetection", "Tally"]

HALF_LIFE_S = 2.0
# Sound targets that lose 3 in 100 of their answers stay below both.
LEAST_BAD = 3.0
LEAST_SHARE = 0.3
# What one neighbour may add: it may be cut off from sound targets, so that at least
# two have to agree.
MOST_BAD_OF_PEER = 2.0
# A count that has faded below this is not told any more.
LEAST_TOLD = 0.3
# Most targets of a service that rest at once: the load of the others grows by it,
# and an entry that is cut off would else eject all of them.
MOST_RESTING_SHARE = 0.2


@dataclasses.dataclass(slots=True)
class Tally:
    """Outcomes that count half after each `HALF_LIFE_S`."""

    bad: float = 0.0
    good: float = 0.0
    at: float = 0.0

    def fade(self, now):
        """Bring the counts up to a monotonic time."""
        share = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)
        self.bad *= share
        self.good *= share
        self.at = now


class OutlierDetection:
    """Keeps the counts of this entry and of its neighbours.

    Args:
        failure_domain: That of this entry.
    """

    def __init__(self, failure_domain):
        self.failure_domain = failure_domain
        self._own = {}
        self._peers = {}

    def record_outcome(self, target_id, good, now=None):
        """Take the outcome of a request of this entry."""
        now = time.monotonic() if now is None else now
        tally = self._own.setdefault(target_id, Tally(at=now))
        tally.fade(now)
        if good:
            tally.good += 1.0
        else:
            tally.bad += 1.0

    def build_report(self, now=None):
        """Return [bad, good] of each target that an entry has seen fail."""
        now = time.monotonic() if now is None else now
        wanted = self._list_suspects(now)
        told = {}
        for target_id in wanted & self._own.keys():
            tally = self._own[target_id]
            tally.fade(now)
            told[target_id] = [round(tally.bad, 2), round(tally.good, 2)]
        return told

    def update_peer(self, address, failure_domain, told):
        """Take what a neighbour says now; nothing if it is gone."""
        if told:
            self._peers[address] = (failure_domain, told)
        else:
            self._peers.pop(address, None)

    def find_outliers(self, targets, now=None):
        """Return the bad outcomes of each target of one service that should rest.

        Args:
            targets: Identifiers of all targets of the service.
            now: Monotonic time.
        """
        now = time.monotonic() if now is None else now
        ranked = []
        for target_id in self._list_suspects(now).intersection(targets):
            bad = max(self._count_bad(target_id, now, near) for near in (True, False))
            if bad:
                ranked.append((bad, target_id))
        ranked.sort(reverse=True)
        most = int(MOST_RESTING_SHARE * len(targets)) or int(len(targets) > 1)
        return {target_id: bad for bad, target_id in ranked[:most]}

    def _list_suspects(self, now):
        found = {key for _, told in self._peers.values() for key in told}
        for target_id, tally in list(self._own.items()):
            tally.fade(now)
            if tally.bad >= LEAST_TOLD:
                found.add(target_id)
            elif tally.good < LEAST_TOLD:
                del self._own[target_id]
        return found

    def _count_bad(self, target_id, now, near):
        """Return the bad outcomes if they are many enough, else 0.

        Args:
            target_id: Identifier of the target.
            now: Monotonic time.
            near: Whether only entries of this failure domain count.
        """
        own = self._own.get(target_id, Tally(at=now))
        bad, good = own.bad, own.good
        for domain, told in self._peers.values():
            if target_id in told and not (near and domain != self.failure_domain):
                share = min(1.0, MOST_BAD_OF_PEER / max(told[target_id][0], 0.01))
                bad += share * told[target_id][0]
                good += share * told[target_id][1]
        return bad if bad >= LEAST_BAD and bad >= LEAST_SHARE * (bad + good) else 0.0
