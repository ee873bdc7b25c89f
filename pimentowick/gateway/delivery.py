"""How the responses of targets were received: on which connection, naming what."""

import dataclasses
import enum

__all__ = ["Delivery", "Naming", "compare_ids", "describe"]


class Naming(enum.StrEnum):
    """Which request a response names."""

    OWN = "own"
    """The request that was sent."""
    NONE = "none"
    """No request."""
    OTHER = "other"
    """Another request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """How the response to a request was received.

    Attributes:
        connection: Number of the connection, unique in this process.
        earlier_requests: Number of requests that the connection carried before.
        carried_before: Whether this request was one of them.
        age_s: Age of the connection when the request was sent, in seconds.
        naming: The `Naming` of the response, or None without one.
        strays: The `Naming` of each response that was discarded before.
    """

    connection: int
    earlier_requests: int
    carried_before: bool
    age_s: float
    naming: Naming | None = None
    strays: tuple = ()

    @property
    def history(self):
        """What the connection carried before, as a label: new, kept or repeated."""
        if self.carried_before:
            return "repeated"
        return "kept" if self.earlier_requests else "new"


def compare_ids(response_id, request_id):
    """Return the `Naming` of a response.

    Examples:
        >>> compare_ids("r1", "r1"), compare_ids("", "r1"), compare_ids("r2", "r1")
        (<Naming.OWN: 'own'>, <Naming.NONE: 'none'>, <Naming.OTHER: 'other'>)
    """
    if response_id == request_id:
        return Naming.OWN
    return Naming.OTHER if response_id else Naming.NONE


def describe(received):
    """Return the fields of a `Delivery` for the log; none without a delivery."""
    if received is None:
        return {}
    return {
        "connection": received.connection,
        "carried": received.earlier_requests,
        "carried_this": received.carried_before,
        "connection_age_s": received.age_s,
    }
