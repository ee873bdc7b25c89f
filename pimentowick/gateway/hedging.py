"""Hedged calls: repeats a slow idempotent call and takes the first answer.

Notes:
    The store may lose some answers, or delay some calls by seconds, while it serves
    others at once. Submitting a job takes two writes in sequence; if each were awaited
    until its timeout, most jobs submitted meanwhile would be accepted late. Only
    idempotent calls may be hedged.

References:
    J. Dean, L. A. Barroso, "The tail at scale", Communications of the ACM 56(2), 2013.
"""

import asyncio

from pimentowick import exception

__all__ = ["hedge"]

# Well above the usual latency of the store.
HEDGE_DELAY_S = 0.12
MAX_CONCURRENT_CALLS = 3


async def hedge(call):
    """Return the result of the first of several identical calls to succeed.

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
            # A failed call is not retried here: that is up to the caller.
            if error is None and len(tasks) < MAX_CONCURRENT_CALLS:
                tasks.add(asyncio.ensure_future(call()))
            may_hedge = error is None and len(tasks) < MAX_CONCURRENT_CALLS
            done, tasks = await asyncio.wait(
                tasks,
                timeout=HEDGE_DELAY_S if may_hedge else None,
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
