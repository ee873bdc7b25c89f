"""Which callers were turned away lately, so that their retry is recognised.

Notes:
    Load pattern: after a loss of targets many callers are turned away and come back
    together with new ones. If a retry counted as a new request, a caller could be
    turned away twice while newcomers are let in. Its objective counts from the first
    attempt.

    The retry reaches another entry, so that entries tell each other whom they turned
    away: a hash of the fingerprint and the age of the first attempt. A lost report
    makes some retries count as new requests. Memory is bounded; the oldest rows are
    discarded first.
"""

import collections
import dataclasses

__all__ = ["ReturningCallers"]

MAX_CALLERS = 4096
# Hexadecimal digits that are kept of a fingerprint.
HASH_DIGITS = 12
# Load reports may be lost, so that a row is told for some time, in seconds.
REPORT_S = 0.25
MAX_REPORTED = 100
AGE_DIGITS = 2
# Callers turned away within this time, in seconds, come back together.
RECENT_S = 1.0
# Error of a reported age, by rounding and the time that a report is under way.
AGE_ERROR_S = 0.2


@dataclasses.dataclass(slots=True)
class _Row:
    """A caller that was turned away.

    Attributes:
        first_at: Monotonic time of its first attempt.
        ends_at: Monotonic time after which a retry is of no use.
        is_taken: Whether it has returned.
    """

    first_at: float
    ends_at: float
    is_taken: bool = False


class ReturningCallers:
    """Callers that this entry or another turned away.

    Examples:
        >>> here, there = ReturningCallers(), ReturningCallers()
        >>> here.record("0123456789abcdef", 9.8, 10.0, 15.0)
        >>> there.merge(here.build_report(10.1), 20.1)
        >>> round(there.take("0123456789abcdef", 20.5), 2)
        19.8
        >>> there.take("0123456789abcdef", 20.6) is None
        True
    """

    def __init__(self):
        self._rows = collections.OrderedDict()
        self._new = collections.deque(maxlen=MAX_REPORTED)
        self._turned_away_at = collections.deque(maxlen=MAX_CALLERS)

    def __len__(self):
        return len(self._rows)

    def record(self, fingerprint, first_at, now, ends_at):
        """Record a caller that is turned away here.

        Args:
            fingerprint: Fingerprint of the request.
            first_at: Monotonic time of its first attempt.
            now: Monotonic time, in seconds.
            ends_at: Monotonic time after which a retry is of no use.
        """
        key = fingerprint[:HASH_DIGITS]
        self._put(key, first_at, ends_at, now)
        self._new.append((now, key, first_at, ends_at))

    def _put(self, key, first_at, ends_at, now):
        self._turned_away_at.append(now)
        self._rows[key] = _Row(first_at, ends_at)
        self._rows.move_to_end(key)
        while len(self._rows) > MAX_CALLERS:
            self._rows.popitem(last=False)

    def take(self, fingerprint, now):
        """Return the time of the first attempt of a caller, or None if it is new.

        It is returned once: another caller may send the same content.
        """
        row = self._rows.get(fingerprint[:HASH_DIGITS])
        if row is None or row.is_taken or now > row.ends_at:
            return None
        row.is_taken = True
        return row.first_at

    def count_recent(self, now):
        """Return how many callers all entries turned away lately, as far as known."""
        times = self._turned_away_at
        while times and now - times[0] > RECENT_S:
            times.popleft()
        return len(times)

    def build_report(self, now):
        """Return the age of the first attempt and the time left, by hash."""
        rows = [row for row in self._new if now - row[0] <= REPORT_S]
        return {
            key: [round(now - first_at, AGE_DIGITS), round(ends_at - now, AGE_DIGITS)]
            for _, key, first_at, ends_at in rows
            if ends_at > now
        }

    def merge(self, report, now):
        """Apply what another entry told.

        Raises:
            ValueError, TypeError, AttributeError: The report is malformed.
        """
        rows = {
            str(key)[:HASH_DIGITS]: (max(0.0, float(age_s)), float(left_s))
            for key, (age_s, left_s) in report.items()
        }
        for key, (age_s, left_s) in rows.items():
            known = self._rows.get(key)
            first_at = now - age_s
            # Reports are repeated, also after the caller has returned.
            if known is None or abs(known.first_at - first_at) > AGE_ERROR_S:
                self._put(key, first_at, now + left_s, now)
