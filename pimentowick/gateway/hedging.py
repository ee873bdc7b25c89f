"""Calls that are made again before the first one is given up on.

Notes:
    The store loses some answers, or does the work seconds late, while it serves other
    calls at once. A caller of a job waits for two writes, one after the other; were
    each waited for until its time is up, most jobs of such a time would be accepted
    late.
    Only calls that may be done twice are made so.

References:
    J. Dean, L. A. Barroso, "The tail at scale", Communications of the ACM 56(2), 2013.
"""

import asyncio

from pimentowick import exception

__all__ = ["hedge"]

# Well above the time that the store takes as a rule.
HEDGE_S = 0.12
# Calls under way at once.
MOST_CALLS = 3


async def hedge(call):
    """Return what the first of some equal calls returns.

    Args:
        call: Function without arguments that returns a coroutine.

    Raises:
        LogError: All calls failed.

    Examples:
        >>> async def answer():
        ...     return 7
        >>> asyncio.run(hedge(answer))
        7
    """
    tasks = set()
    error = None
    try:
        while error is None or tasks:
            # One that failed is not made again here: its caller decides on that.
            if error is None and len(tasks) < MOST_CALLS:
                tasks.add(asyncio.ensure_future(call()))
            may_hedge = error is None and len(tasks) < MOST_CALLS
            done, tasks = await asyncio.wait(
                tasks,
                timeout=HEDGE_S if may_hedge else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                failure = task.exception()
                if failure is None:
                    return task.result()
                if not isinstance(failure, exception.LogError):
                    raise failure
                error = failure
        raise error
    finally:
        for task in tasks:
            task.cancel()
