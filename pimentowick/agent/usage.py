"""Models and adapters in use by the active requests of an agent."""

import asyncio
import collections
import time

from pimentowick.agent import work as agent_work

__all__ = ["count_demand", "uses_any", "wait_until_unused"]

POLL_S = 0.05


def count_demand(handlers):
    """Return the number of active requests by model."""
    return collections.Counter(each.model for each in _list_generations(handlers))


async def wait_until_unused(handlers, kind, name, timeout_s):
    """Wait until no active request uses a model or adapter, or until the timeout.

    Args:
        handlers: Set of the agent's active `WorkHandler` objects, which may change
            during the wait.
        kind: ``model`` or ``adapter``.
        name: Name of the model or adapter.
        timeout_s: Maximum wait, in seconds.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        generations = _list_generations(handlers)
        if not any(getattr(each, kind) == name for each in generations):
            return
        await asyncio.sleep(POLL_S)


def uses_any(work, keys):
    """Return whether work uses one of the ``(kind, name)`` pairs in `keys`."""
    if not keys or not isinstance(work, agent_work.GenerateWork):
        return False
    generation = work.generation
    used = {("model", generation.model), ("adapter", generation.adapter)}
    return not used.isdisjoint(keys)


def _list_generations(handlers):
    works = [handler.work for handler in handlers]
    return [
        work.generation for work in works if isinstance(work, agent_work.GenerateWork)
    ]
