"""Routes: the service, limits and retry rules of a request, by host and path."""

import dataclasses
import enum
import random

__all__ = ["Configuration", "Kind", "Limits", "Route", "is_same_host"]


def is_same_host(one, other):
    """Return whether two Host headers name a host, in any letter case, with any port.

    Examples:
        >>> is_same_host("desk.example", "Desk.Example:80")
        True
        >>> is_same_host("desk.example:8080", "desk.example")
        True
        >>> is_same_host("desk.example", "other.example")
        False
    """
    names = [host.lower().partition(":")[0] for host in (one, other)]
    return names[0] == names[1]


class Kind(enum.StrEnum):
    """Kind of a route, which decides whether its requests may be retried."""

    IDEMPOTENT = "idempotent"
    """A request may run more than once."""
    ONCE = "once"
    """A request runs at most once."""
    STREAM = "stream"
    """The response is an event stream; only resumable streams are retried."""
    BATCH = "batch"
    """Requests submit batch jobs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route of the configuration; times in seconds.

    Attributes:
        name: Name given by the operator.
        host: Host header that selects the route.
        path_prefix: Prefix of the paths that it matches.
        kind: The `Kind` of its requests.
        services: Weight of each service that gets its requests, by service name.
        timeout_s: Limit on the time until the response is complete.
        objective_s: Latency objective.
        priority: Priority; 0 is the most urgent.
        max_attempts: Number of targets that a request may run at.
        resumable: Whether a stream may be resumed at another target.
        due_s: Time from a job's submission until its results are due.
        abandon_after_s: Time from a job's submission until its items are abandoned.
        max_waiting_tokens: Limit on the tokens of accepted items that have not
            started; 0 is no limit.
        is_public: Whether callers need no API key.
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
        """Whether a request that may have run can be retried."""
        if self.kind == Kind.STREAM:
            return self.resumable
        return self.kind == Kind.IDEMPOTENT

    def choose_service(self):
        """Return the name of a service, drawn by weight.

        A single service is returned whatever its weight. The result is None if all of
        several weights are 0 or less.
        """
        if len(self.services) == 1:
            return next(iter(self.services))
        names = list(self.services)
        weights = [max(0.0, self.services[name]) for name in names]
        if not any(weights):
            return None
        return random.choices(names, weights)[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on requests and connections of callers; times in seconds.

    Attributes:
        header_bytes: Maximum size of a request line with its headers.
        body_bytes: Maximum size of a request body.
        header_timeout_s: Limit on the time from the first byte of a request to the
            end of its headers.
        idle_timeout_s: Time after which an idle connection is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration:
    """A version of the operator's configuration.

    Args:
        version: Version number, which increases with each change.
        routes: The `Route` objects.
        max_connections: Limit on the connections to a target, by service.
        limits: The `Limits` for callers.
        workspaces: The `pimentowick.gateway.workspace.Directory`, or None if callers
            need no API keys.

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
        for route in sorted(routes, key=lambda route: -len(route.path_prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def find(self, host, path):
        """Return the route with the longest matching prefix, or None."""
        host = host.lower()
        routes = self._by_host.get(host) or self._by_host.get(host.partition(":")[0])
        for route in routes or ():
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_rate_limited(self, name):
        """Return the named `workspace.Workspace` if it has a rate limit, else None."""
        if self.workspaces is None:
            return None
        workspace = self.workspaces.by_name.get(name)
        return workspace if workspace is not None and workspace.rate_per_s > 0 else None

    def has_public_batch(self, host):
        """Return whether a host has a public route for batch jobs."""
        host = host.lower()
        routes = self._by_host.get(host) or self._by_host.get(host.partition(":")[0])
        return any(route.is_public and route.due_s for route in routes or ())

    def find_batch_route(self, host, path):
        """Return the route for batch jobs that matches a path, or None."""
        route = self.find(host, path)
        return route if route is not None and route.due_s else None
