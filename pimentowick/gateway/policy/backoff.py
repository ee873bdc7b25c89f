"""Exponential backoff."""

__all__ = ["compute_delay"]

# Further doublings make no difference to any delay.
MAX_DOUBLINGS = 32


def compute_delay(initial_s, max_s, failures):
    """Return the delay after a number of consecutive failures, in seconds.

    Args:
        initial_s: Delay after the first failure.
        max_s: Longest delay.
        failures: Number of consecutive failures, of any size.

    Examples:
        >>> [compute_delay(0.5, 4.0, failures) for failures in (1, 2, 3, 4, 5000)]
        [0.5, 1.0, 2.0, 4.0, 4.0]
    """
    return min(max_s, initial_s * 2 ** min(failures - 1, MAX_DOUBLINGS))
