"""Estimates of the run time of batch items, from completed runs of a route."""

__all__ = ["ServiceTimeEstimator"]

# Smoothing factor of the exponential moving averages.
SMOOTHING_FACTOR = 0.1
# Factor on the run time for preemptions and the restarts that follow.
PREEMPTION_FACTOR = 1.2


class ServiceTimeEstimator:
    """Exponential moving averages for one route, empty until its first item completes.

    Examples:
        >>> estimator = ServiceTimeEstimator()
        >>> estimator.estimate_remaining_s(0)
        0.0
        >>> estimator.record_run(50, 1.0)
        >>> estimator.record_item(100)
        >>> round(estimator.estimate_remaining_s(40), 3)
        1.44
    """

    def __init__(self):
        self._mean_events = None
        self._mean_event_s = None

    def record_run(self, events, took_s):
        """Record a run that produced `events` events in `took_s` seconds."""
        if events > 0:
            self._mean_event_s = _update_mean(self._mean_event_s, took_s / events)

    def record_item(self, events):
        """Record a completed item with the number of events of all its runs."""
        self._mean_events = _update_mean(self._mean_events, events)

    def estimate_remaining_s(self, done):
        """Return the remaining seconds of an item after `done` events."""
        if self._mean_events is None or self._mean_event_s is None:
            return 0.0
        return (
            max(0.0, self._mean_events - done) * self._mean_event_s * PREEMPTION_FACTOR
        )


def _update_mean(mean, value):
    return value if mean is None else mean + SMOOTHING_FACTOR * (value - mean)
