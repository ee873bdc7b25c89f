"""Whether the configuration is recent enough to authenticate callers.

Notes:
    Failure pattern: API keys are revoked while some or all entries cannot read from the
    store, because of a partition, refused connections, a frozen process or slow
    answers. A revoked key must be rejected everywhere within a bound. An entry cannot
    know which updates it missed, but it knows when it last sent a read that returned
    all updates. A key revoked after that read may be accepted until the bound has
    passed, so the entry may serve for that long after the read and no longer.

    The age counts from the time the read was sent, not from its answer, which may have
    been in transit for any time. It uses a clock that is never set and that keeps
    running while the host is suspended.

References:
    C. Gray and D. Cheriton, "Leases: an efficient fault-tolerant mechanism for
    distributed file cache consistency", SOSP 1989.
"""

import enum

__all__ = ["Freshness", "classify_age", "should_leave_rotation"]

# Bound on clock drift, as a share of the elapsed time.
MAX_DRIFT_SHARE = 0.005
# The load balancer removes an entry after two failed health checks, one second apart.
BALANCER_DETECTION_S = 2.5


class Freshness(enum.Enum):
    """Whether requests with keys may be served."""

    FRESH = enum.auto()
    """Keys can be checked: no revoked key is past the bound."""
    STALE = enum.auto()
    """Requests with keys must be refused: a revoked key may be past the bound."""


def classify_age(age_s, bound_s):
    """Return the `Freshness` of a configuration of some age.

    Args:
        age_s: Seconds since the newest answered read of the configuration was sent.
        bound_s: Seconds within which a revoked key must be rejected, or None for no
            bound.

    Examples:
        >>> classify_age(4.9, 5.0), classify_age(5.0, 5.0)
        (<Freshness.FRESH: 1>, <Freshness.STALE: 2>)
    """
    if bound_s is None or age_s <= bound_s * (1 - MAX_DRIFT_SHARE):
        return Freshness.FRESH
    return Freshness.STALE


def should_leave_rotation(age_s, bound_s, is_cut_off):
    """Return whether the load balancer should stop sending requests to this entry.

    Args:
        age_s: Age of the configuration in seconds, as for `classify_age`.
        bound_s: Revocation bound in seconds, as for `classify_age`.
        is_cut_off: Whether other entries reach the store while this one does not.

    Examples:
        >>> should_leave_rotation(3.0, 5.0, is_cut_off=True)
        True
        >>> should_leave_rotation(3.0, 5.0, is_cut_off=False)
        False
    """
    if bound_s is None:
        return False
    return is_cut_off and (
        classify_age(age_s + BALANCER_DETECTION_S, bound_s) == Freshness.STALE
    )
