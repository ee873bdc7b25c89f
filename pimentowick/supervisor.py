"""A tree of supervised tasks.

A daemon is one `Supervisor` whose children are tasks or further supervisors. A
task that fails is started again after a delay that doubles up to a bound; one that
returns is done. `close` ends the children in the reverse order of their start.
"""

import asyncio
import random

from loguru import logger

__all__ = ["Supervisor"]

FIRST_DELAY_S = 0.1
LAST_DELAY_S = 5.0


class Supervisor:
    """Runs named tasks, and starts those again that fail.

    Args:
        name: Prefix of the log lines about the children.

    Examples:
        >>> async def example():
        ...     supervisor = Supervisor("example")
        ...     await supervisor.start()
        ...     done = asyncio.Event()
        ...
        ...     async def work():
        ...         done.set()
        ...
        ...     supervisor.start_child("work", work)
        ...     await done.wait()
        ...     await supervisor.close()
        >>> asyncio.run(example())
    """

    def __init__(self, name):
        self.name = name
        self._tasks = {}
        self._closing = False

    async def start(self):
        """Allow children to be started."""
        self._closing = False

    def start_child(self, name, function, *args):
        """Start ``function(*args)``, a coroutine function, as a child.

        A child of the same name that still runs is cancelled first.
        """
        self.stop_child(name)
        if self._closing:
            return
        task = asyncio.create_task(
            self._run(name, function, args), name=f"{self.name}/{name}"
        )
        self._tasks[name] = task
        task.add_done_callback(lambda done: self._forget(name, done))

    def stop_child(self, name):
        """Cancel a child, if it runs."""
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()

    async def close(self):
        """Cancel all children, the last started one first, and wait for them."""
        self._closing = True
        for task in reversed(list(self._tasks.values())):
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        self._tasks.clear()

    async def _run(self, name, function, args):
        delay = FIRST_DELAY_S
        while True:
            try:
                await function(*args)
                return
            except asyncio.CancelledError:
                raise
            except Exception:
                logger.exception("{}: {} failed. Starting again.", self.name, name)
            # Children of many processes that failed together for one cause must
            # not return together: the cause would be met by all of them at once.
            await asyncio.sleep(delay * random.uniform(0.5, 1.0))
            delay = min(delay * 2, LAST_DELAY_S)

    def _forget(self, name, task):
        if self._tasks.get(name) is task:
            del self._tasks[name]
