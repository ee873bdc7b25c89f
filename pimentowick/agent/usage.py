"""What the requests at work in an agent need of its engine."""

import asyncio
import collections
import time

from pimentowick.agent import work as agent_work

__all__ = ["count_demand", "drain", "needs_any"]

CHECK_S = 0.05


def count_demand(handlers):
    """Return how many of the requests at work need each model."""
    return collections.Counter(each.model for each in _list_generations(handlers))


async def drain(handlers, kind, name, timeout_s):
    """Wait until no request at work needs a model or adapter, within a bound.

    Args:
        handlers: The agent's set of requests at work, which changes meanwhile.
        kind: ``model`` or ``adapter``.
        name: Its name.
        timeout_s: The bound, in seconds.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        generations = _list_generations(handlers)
        if not any(getattr(each, kind) == name for each in generations):
            return
        await asyncio.sleep(CHECK_S)


def needs_any(work, keys):
    """Return whether a piece of work needs one of the ``(kind, name)`` in `keys`."""
    if not keys or not isinstance(work, agent_work.GenerateWork):
        return False
    generation = work.generation
    needed = {("model", generation.model), ("adapter", generation.adapter)}
    return not needed.isdisjoint(keys)


def _list_generations(handlers):
    works = [handler.work for handler in handlers]
    return [
        work.generation for work in works if isinstance(work, agent_work.GenerateWork)
    ]
