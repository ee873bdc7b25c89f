"""Levels of a host's resources, from what is used and what is allowed.

Notes:
    Load pattern: hosts of one deployment differ by many times in processor time,
    memory, link and descriptors, and callers reach all of them alike. A host must
    notice that it comes near a limit before it crosses it. Use varies from moment to
    moment, and a decision that followed each change would be taken back at once.

    A level therefore rises as soon as the use has been above a threshold for the
    resource's own time, and falls only after the use has stayed well below that
    threshold for some seconds.
"""

import dataclasses
import enum

__all__ = ["Level", "Resource", "ResourceLevel", "Use"]

HIGH_SHARE = 0.75
CRITICAL_SHARE = 0.9
# Distance below a threshold at which a level may fall.
RELEASE_MARGIN = 0.1
# Time for which the use must stay there.
RELEASE_S = 2.0


class Level(enum.IntEnum):
    """How near the use of a resource is to its limit."""

    NORMAL = 0
    """No decision depends on the resource."""
    HIGH = 1
    """What can wait or shrink yields."""
    CRITICAL = 2
    """Nothing more is taken that would use the resource for long."""


class Resource(enum.StrEnum):
    """A limited resource of a host."""

    PROCESSOR = "processor"
    MEMORY = "memory"
    LINK_IN = "link_in"
    LINK_OUT = "link_out"
    DESCRIPTORS = "descriptors"


# Time above a threshold before the level rises, in seconds. Memory and descriptors fail
# as soon as they are exhausted; work that finds no processor time or bandwidth waits.
RISE_S = {
    Resource.PROCESSOR: 1.0,
    Resource.MEMORY: 0.0,
    Resource.LINK_IN: 1.0,
    Resource.LINK_OUT: 1.0,
    Resource.DESCRIPTORS: 0.0,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """Use of a resource at one moment.

    Attributes:
        used: Amount in use, in the unit of the limit.
        limit: Amount that may be used, or None if it is not limited.
    """

    used: float
    limit: float | None

    @property
    def share(self):
        """Share of the limit that is used; 0 without a limit."""
        return self.used / self.limit if self.limit else 0.0


class ResourceLevel:
    """The level of one resource.

    Args:
        rise_s: Time for which the use must be above a threshold before the level rises.

    Attributes:
        level: The current `Level`.

    Examples:
        >>> memory = ResourceLevel()
        >>> [memory.update(share, now).name for now, share in enumerate([0.8, 0.7])]
        ['HIGH', 'HIGH']
        >>> [memory.update(0.3, now).name for now in (2, 3, 4)]
        ['HIGH', 'HIGH', 'NORMAL']
    """

    def __init__(self, rise_s=0.0):
        self.level = Level.NORMAL
        self._rise_s = rise_s
        self._above_since = None
        self._below_since = None

    def update(self, share, now):
        """Return the level after an observation.

        Args:
            share: Share of the limit that is used.
            now: Monotonic time of the observation.
        """
        if _find_level(share) > self.level:
            self._below_since = None
            self._above_since = now if self._above_since is None else self._above_since
            if now - self._above_since >= self._rise_s:
                self.level = _find_level(share)
                self._above_since = None
            return self.level
        self._above_since = None
        if _find_level(share + RELEASE_MARGIN) >= self.level:
            self._below_since = None
            return self.level
        self._below_since = now if self._below_since is None else self._below_since
        if now - self._below_since >= RELEASE_S:
            self.level = Level(self.level - 1)
            self._below_since = now
        return self.level


def _find_level(share):
    """Return the level of a share of the limit, without regard to the past."""
    if share >= CRITICAL_SHARE:
        return Level.CRITICAL
    return Level.HIGH if share >= HIGH_SHARE else Level.NORMAL
