"""How many online requests run at once, in all and for each workspace."""

import collections
import contextlib

from pimentowick import exception, verdict

__all__ = ["ConcurrencyLimits"]

RETRY_AFTER_S = 0.5


class ConcurrencyLimits:
    """Counts the requests in flight and refuses those over a limit.

    Args:
        max_online: Most requests at once, of all workspaces.
    """

    def __init__(self, max_online):
        self.max_online = max_online
        self.running = 0
        self._by_workspace = collections.Counter()

    @contextlib.contextmanager
    def hold(self, workspace):
        """Count a request of `workspace` while the context lasts.

        Raises:
            RefusedError: One more would be over a limit.
        """
        name = workspace.name
        if self._by_workspace[name] >= workspace.max_online_concurrent:
            raise _refuse("too_many_requests", "This workspace has too many at once.")
        if self.running >= self.max_online:
            raise _refuse("entry_full", "This entry has too many requests at once.")
        self.running += 1
        self._by_workspace[name] += 1
        try:
            yield
        finally:
            self.running -= 1
            self._by_workspace[name] -= 1
            if not self._by_workspace[name]:
                del self._by_workspace[name]


def _refuse(code, message):
    return exception.RefusedError(
        verdict.Refusal(
            429, code, f"{message} Try again later.", retry_after=RETRY_AFTER_S
        )
    )
