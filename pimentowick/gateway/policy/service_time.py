"""How long the items of a batch route take, from those that ran."""

__all__ = ["ServiceTimeEstimator"]

# Weight of the newest run in the means.
WEIGHT = 0.1
# An item is broken off for online requests now and then and starts anew: it takes
# somewhat longer than its events alone.
INTERRUPTION_SHARE = 1.2


class ServiceTimeEstimator:
    """Moving means of one route; nothing is known before the first item is done.

    Examples:
        >>> found = ServiceTimeEstimator()
        >>> found.estimate_remaining_s(0)
        0.0
        >>> found.record_run(50, 1.0)
        >>> found.record_item(100)
        >>> round(found.estimate_remaining_s(40), 3)
        1.44
    """

    def __init__(self):
        self._events = None
        self._event_s = None

    def record_run(self, events, took_s):
        """Take a run that made `events` events in `took_s` seconds."""
        if events > 0:
            self._event_s = _mix(self._event_s, took_s / events)

    def record_item(self, events):
        """Take an item that is done, with so many events in all its runs."""
        self._events = _mix(self._events, events)

    def estimate_remaining_s(self, done):
        """Return the seconds that an item takes from now, after `done` events."""
        if self._events is None or self._event_s is None:
            return 0.0
        return max(0.0, self._events - done) * self._event_s * INTERRUPTION_SHARE


def _mix(mean, value):
    return value if mean is None else mean + WEIGHT * (value - mean)
