"""Routes: which service a request goes to, and what may be done with it."""

import dataclasses
import enum
import random

__all__ = ["Configuration", "Kind", "Limits", "Route"]


class Kind(enum.StrEnum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    """The request may run more than once."""
    ONCE = "once"
    """The request runs once at most."""
    STREAM = "stream"
    """The answer is a series of events; only a resumable one may run again."""
    BATCH = "batch"
    """Batch jobs are submitted here."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route of the configuration; times in seconds.

    Attributes:
        name: Name given by the operator.
        host: Host header that selects the route.
        path_prefix: Begin of the paths that it takes.
        kind: What may be repeated.
        services: Weight of each service that requests go to.
        timeout_s: Longest time until the final answer.
        objective_s: Time within which an answer is in time.
        priority: Rank; 0 is the most urgent.
        max_attempts: Most targets that one request may run at.
        resumable: Whether a stream may go on at another target.
        due_s: Time from a job's submission until its results are due.
        abandon_after_s: Time from a job's submission until items are given up.
        max_waiting_tokens: Most tokens of accepted items that wait; 0 is no limit.
        is_public: Whether callers need no key.
    """

    name: str
    host: str
    path_prefix: str
    kind: Kind
    services: dict
    timeout_s: float
    objective_s: float
    priority: int = 0
    max_attempts: int = 1
    resumable: bool = False
    due_s: float = 0.0
    abandon_after_s: float = 60.0
    max_waiting_tokens: float = 0.0
    is_public: bool = False

    @property
    def can_retry(self):
        """Whether a request that may have run can be sent again."""
        if self.kind == Kind.STREAM:
            return self.resumable
        return self.kind == Kind.IDEMPOTENT

    def choose_service(self):
        """Return the name of a service, drawn by weight."""
        if len(self.services) == 1:
            return next(iter(self.services))
        names = list(self.services)
        weights = [max(0.0, self.services[name]) for name in names]
        if not any(weights):
            return None
        return random.choices(names, weights)[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What callers may send, and how long they may take; times in seconds.

    Attributes:
        header_bytes: Most bytes of a request's line and headers.
        body_bytes: Most bytes of a body.
        header_timeout_s: Longest time from the first byte of a request to the end of
            its headers.
        idle_timeout_s: Time after which a connection without a request is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration:
    """One version of the operator's configuration.

    Args:
        version: Number that grows with each change.
        routes: The `Route` objects.
        max_connections: Most connections to a target, by service.
        limits: The `Limits` of callers.
        workspaces: The `pimentowick.gateway.workspace.Directory`, or None if callers
            need no keys.

    Examples:
        >>> make = lambda prefix: Route("r", "a", prefix, Kind.ONCE, {"s": 1}, 1, 1)
        >>> table = Configuration(1, (make("/"), make("/x/")))
        >>> table.find("a", "/x/1").path_prefix, table.find("a", "/y").path_prefix
        ('/x/', '/')
        >>> table.find("b", "/x/1") is None
        True
    """

    def __init__(
        self,
        version,
        routes,
        max_connections=None,
        limits=Limits(),
        workspaces=None,
    ):
        self.version = version
        self.routes = routes
        self.max_connections = max_connections or {}
        self.limits = limits
        self.workspaces = workspaces
        self._by_host = {}
        for route in sorted(routes, key=lambda entry: -len(entry.path_prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def find(self, host, path):
        """Return the route of the longest prefix for a path, or None."""
        host = host.lower()
        routes = self._by_host.get(host) or self._by_host.get(host.partition(":")[0])
        for route in routes or ():
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_rate_limited(self, name):
        """Return a `workspace.Workspace` whose requests are limited, or None."""
        if self.workspaces is None:
            return None
        found = self.workspaces.by_name.get(name)
        return found if found is not None and found.rate_per_s > 0 else None

    def has_public_batch(self, host):
        """Return whether jobs may be submitted on a host without a key."""
        host = host.lower()
        routes = self._by_host.get(host) or self._by_host.get(host.partition(":")[0])
        return any(found.is_public and found.due_s for found in routes or ())

    def find_batch(self, host, path):
        """Return the route of batch jobs for a path, or None."""
        found = self.find(host, path)
        return found if found is not None and found.due_s else None
