"""Waiting for a condition by polling."""

import asyncio

from pimentowick import exception

__all__ = ["wait_for"]


async def wait_for(predicate, timeout_s, poll_s):
    """Wait until a function or coroutine function returns something true.

    Args:
        predicate: The function.
        timeout_s: Timeout in seconds.
        poll_s: Pause between two calls, in seconds.

    Returns:
        The true value that the function returned.

    Raises:
        UnavailableError: It returned nothing true within the timeout.
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
        raise exception.UnavailableError(
            f"condition {predicate} not met within {timeout_s} s"
        ) from error
