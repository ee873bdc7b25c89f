"""Arrival processes.

The load is open-loop: arrival times are independent of responses, so that an overloaded
system receives no fewer requests and its queueing delay is measured.
"""

import abc

__all__ = ["Arrival", "BurstArrival", "PoissonArrival", "SteadyArrival"]


class Arrival(abc.ABC):
    """Arrival process."""

    @abc.abstractmethod
    def generate(self, rng, duration_s):
        """Yield the arrival times in ascending order, in seconds from the start.

        Args:
            rng: `random.Random`.
            duration_s: Time after which there are no arrivals, in seconds.
        """


class SteadyArrival(Arrival):
    """Arrivals at equal intervals.

    Examples:
        >>> import random
        >>> list(SteadyArrival(rate=2.0).generate(random.Random(0), 1.5))
        [0.0, 0.5, 1.0]
    """

    def __init__(self, rate):
        self._rate = rate

    def generate(self, rng, duration_s):
        """Yield the arrival times; see `Arrival.generate`."""
        number = 0
        while number / self._rate < duration_s:
            yield number / self._rate
            number += 1


class PoissonArrival(Arrival):
    """Poisson arrivals with a mean rate per second."""

    def __init__(self, rate):
        self._rate = rate

    def generate(self, rng, duration_s):
        """Yield the arrival times; see `Arrival.generate`."""
        arrival_s = rng.expovariate(self._rate)
        while arrival_s < duration_s:
            yield arrival_s
            arrival_s += rng.expovariate(self._rate)


class BurstArrival(Arrival):
    """Poisson arrivals during `on_s`, alternating with none during `off_s`.

    Examples:
        >>> import random
        >>> times = list(BurstArrival(50.0, 1.0, 3.0).generate(random.Random(0), 8.0))
        >>> all(arrival_s % 4.0 < 1.0 for arrival_s in times)
        True
    """

    def __init__(self, rate, on_s, off_s):
        self._poisson = PoissonArrival(rate)
        self._on_s = on_s
        self._off_s = off_s

    def generate(self, rng, duration_s):
        """Yield the arrival times; see `Arrival.generate`."""
        start = 0.0
        while start < duration_s:
            for arrival_s in self._poisson.generate(rng, self._on_s):
                if start + arrival_s < duration_s:
                    yield start + arrival_s
            start += self._on_s + self._off_s
