"""Workspaces of callers and their API keys."""

import dataclasses
import hashlib
import urllib.parse

__all__ = ["Directory", "Workspace", "scope_job_id"]


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace of the configuration.

    Attributes:
        name: Name given by the operator, which is sent to targets.
        priority: Priority of its requests, which takes precedence over that of the
            route; 0 is the most urgent. None uses that of the route.
        rate_per_s: Rate limit over all entries together, in requests per second; 0 is
            no limit.
        burst: Number of requests admitted at once beyond the rate.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    def rank(self, priority):
        """Return the sort key of a request on a route with some priority.

        Examples:
            >>> Workspace("w", priority=2).rank(0) > Workspace("v", priority=1).rank(3)
            True
            >>> Workspace("w").rank(1)
            (1, 1)
        """
        first = priority if self.priority is None else self.priority
        return first, priority


class Directory:
    """The workspaces of one version of the configuration, by API key.

    Only digests of the keys are stored, so that no key can leak into an error or a
    dump.

    Args:
        keys_by_workspace: The API keys of each `Workspace`, as text.

    Examples:
        >>> directory = Directory({Workspace("w"): ["one", "two"]})
        >>> directory.find("two").name, directory.find("three")
        ('w', None)
    """

    def __init__(self, keys_by_workspace):
        self._by_digest = {
            _digest(key): workspace
            for workspace, keys in keys_by_workspace.items()
            for key in keys
        }
        self.by_name = {workspace.name: workspace for workspace in keys_by_workspace}

    def find(self, key):
        """Return the `Workspace` that owns an API key, or None."""
        return self._by_digest.get(_digest(key))


def _digest(key):
    return hashlib.blake2b(key.encode("utf-8", "surrogateescape")).digest()


def scope_job_id(workspace, job_id):
    """Return the identifier of a job that is unique across workspaces.

    Callers choose job identifiers. Workspaces may use the same identifier independently
    and cannot detect which ones others use.

    Args:
        workspace: Name of the workspace, or None if there is none.
        job_id: Identifier chosen by the caller.

    Examples:
        >>> scope_job_id("stands/a", "7c41"), scope_job_id(None, "7c41")
        ('stands%2Fa:7c41', '7c41')
        >>> scope_job_id(None, "stands%2Fa:7c41")
        ':stands%2Fa:7c41'
    """
    if workspace is not None:
        return f"{urllib.parse.quote(workspace, safe='')}:{job_id}"
    return f":{job_id}" if ":" in job_id else job_id
