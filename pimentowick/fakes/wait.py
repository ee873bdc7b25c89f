"""Waiting for a condition, where the time that it takes says nothing."""

import asyncio

from pimentowick import exception

__all__ = ["wait_for"]


async def wait_for(predicate, timeout_s, poll_s):
    """Wait until a function or coroutine function returns something true.

    Args:
        predicate: The function.
        timeout_s: Time after which it is given up, in seconds.
        poll_s: Time between two calls, in seconds.

    Returns:
        What it returned.

    Raises:
        UnavailableError: It returned nothing true in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                found = predicate()
                if asyncio.iscoroutine(found):
                    found = await found
                if found:
                    return found
                await asyncio.sleep(poll_s)
    except TimeoutError as error:
        raise exception.UnavailableError(f"{predicate} stayed false.") from error
