"""Workspaces of callers, and the keys by which they are known."""

import dataclasses
import hashlib
import urllib.parse

__all__ = ["Directory", "Workspace", "scope_job_id"]


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """One workspace of the configuration.

    Attributes:
        name: Name given by the operator, which targets are told.
        priority: Rank of its requests, which goes before that of the route; 0 is the
            most urgent. None leaves it to the route.
        rate_per_s: Requests a second that it may send at all entries together; 0 is no
            limit.
        burst: Requests that it may send at once beyond that.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    def rank(self, priority):
        """Return the rank of a request on a route of some priority.

        Examples:
            >>> Workspace("w", priority=2).rank(0) > Workspace("v", priority=1).rank(3)
            True
            >>> Workspace("w").rank(1)
            (1, 1)
        """
        first = priority if self.priority is None else self.priority
        return first, priority


class Directory:
    """The workspaces of one version of the configuration, by their keys.

    Only digests of the keys are kept, so that none can appear in an error or a dump.

    Args:
        keys_by_workspace: The keys of each `Workspace`, as text.

    Examples:
        >>> found = Directory({Workspace("w"): ["one", "two"]})
        >>> found.find("two").name, found.find("three")
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
        """Return the `Workspace` that holds a key, or None."""
        return self._by_digest.get(_digest(key))


def _digest(key):
    return hashlib.blake2b(key.encode("utf-8", "surrogateescape")).digest()


def scope_job_id(workspace, job_id):
    """Return the name of a job among those of all workspaces.

    Callers choose the identifiers. One that a workspace has used says nothing to the
    others, and does not keep them from using it.

    Args:
        workspace: Name of the workspace, or None without one.
        job_id: Identifier given by the caller.

    Examples:
        >>> scope_job_id("stands/a", "7c41"), scope_job_id(None, "7c41")
        ('stands%2Fa:7c41', '7c41')
        >>> scope_job_id(None, "stands%2Fa:7c41")
        ':stands%2Fa:7c41'
    """
    if workspace is not None:
        return f"{urllib.parse.quote(workspace, safe='')}:{job_id}"
    return f":{job_id}" if ":" in job_id else job_id
