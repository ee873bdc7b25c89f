"""Whether the configuration is new enough to serve the holder of a key.

Notes:
    Load pattern: keys are taken away while some entries hear nothing of the store: cut
    off, turned away, frozen or slow, alone or all of them. A key must be out of force
    everywhere within a bound. An entry can't know what it did not hear; it knows when
    it asked the store last and was told all that there was. Any key that was taken away
    since is in force for the bound at least, so an entry may serve for as long after
    it asked, and no longer.

    The age is counted from the moment of the question, not of its answer, which may
    have been on its way for any time; and on a clock that neither stops while the host
    is suspended nor is ever set.

References:
    C. Gray and D. Cheriton, "Leases: an efficient fault-tolerant mechanism for
    distributed file cache consistency", SOSP 1989.
"""

import enum

__all__ = ["Freshness", "classify_age", "should_leave_rotation"]

# Clocks run at rates that differ by less than this part of the bound.
DRIFT_SHARE = 0.005
# The balancer takes an entry out after two checks that are a second apart.
NOTICE_S = 2.5


class Freshness(enum.Enum):
    """What an entry may do for the holders of keys."""

    FRESH = enum.auto()
    """It may serve them."""
    STALE = enum.auto()
    """It has to refuse them: a key may be out of force."""


def classify_age(age_s, bound_s):
    """Return the `Freshness` of an entry.

    Args:
        age_s: Seconds since the store was asked for the newest configuration, for the
            last time that its answer came.
        bound_s: Seconds within which a key has to be out of force, or None.

    Examples:
        >>> classify_age(4.9, 5.0), classify_age(5.0, 5.0)
        (<Freshness.FRESH: 1>, <Freshness.STALE: 2>)
    """
    if bound_s is None or age_s <= bound_s * (1 - DRIFT_SHARE):
        return Freshness.FRESH
    return Freshness.STALE


def should_leave_rotation(age_s, bound_s, is_alone):
    """Return whether callers are better sent to other entries from now on.

    Args:
        age_s: Seconds, as for `classify_age`.
        bound_s: Seconds, as for `classify_age`.
        is_alone: Whether others are known to reach the store.

    Examples:
        >>> should_leave_rotation(3.0, 5.0, is_alone=True)
        True
        >>> should_leave_rotation(3.0, 5.0, is_alone=False)
        False
    """
    if bound_s is None:
        return False
    return is_alone and classify_age(age_s + NOTICE_S, bound_s) == Freshness.STALE
