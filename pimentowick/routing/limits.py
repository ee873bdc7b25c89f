"""Limits on concurrent online requests, in total and per workspace."""

import collections
import contextlib

from pimentowick import exception, verdict

__all__ = ["ConcurrencyLimits"]

RETRY_AFTER_S = 0.5


class ConcurrencyLimits:
    """Counts requests in flight and refuses those that exceed a limit.

    Args:
        max_online: Maximum number of concurrent requests of all workspaces.

    Attributes:
        running: Number of requests in flight.
    """

    def __init__(self, max_online):
        self.max_online = max_online
        self.running = 0
        self._by_workspace = collections.Counter()
        self._by_service = collections.Counter()

    @contextlib.contextmanager
    def acquire_call(self, workspace, service):
        """Return a context manager that counts a call of `workspace` to a service.

        Args:
            workspace: `pimentowick.configuration.workspace.Workspace`.
            service: Name of one of its services.

        Raises:
            RefusedError: The call would exceed a limit.
        """
        key = (workspace.name, service)
        limit = workspace.services[service].max_concurrent
        if limit is not None and self._by_service[key] >= limit:
            raise _make_limit_error(
                "too_many_calls", "This service has too many calls at once."
            )
        self._by_service[key] += 1
        try:
            with self.acquire(workspace):
                yield
        finally:
            _decrement(self._by_service, key)

    @contextlib.contextmanager
    def acquire(self, workspace):
        """Return a context manager that counts a request of `workspace`.

        Args:
            workspace: `pimentowick.configuration.workspace.Workspace`.

        Raises:
            RefusedError: The request would exceed a limit.

        Examples:
            >>> from pimentowick.configuration import workspace
            >>> limits = ConcurrencyLimits(max_online=1)
            >>> with limits.acquire(workspace.Workspace("a", 1)):
            ...     limits.running
            1
        """
        name = workspace.name
        if self._by_workspace[name] >= workspace.max_online_concurrent:
            raise _make_limit_error(
                "too_many_requests", "This workspace has too many at once."
            )
        if self.running >= self.max_online:
            raise _make_limit_error(
                "entry_full", "This entry has too many requests at once."
            )
        self.running += 1
        self._by_workspace[name] += 1
        try:
            yield
        finally:
            self.running -= 1
            _decrement(self._by_workspace, name)


def _decrement(counter, key):
    counter[key] -= 1
    if not counter[key]:
        del counter[key]


def _make_limit_error(code, message):
    return exception.RefusedError(
        verdict.Refusal(
            429, code, f"{message} Try again later.", retry_after=RETRY_AFTER_S
        )
    )
