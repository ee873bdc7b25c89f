"""Supervision of the background tasks of a daemon.

A task that raises an exception is restarted with exponential backoff and jitter; a
task that returns is not restarted. `Supervisor.close` cancels the tasks in the reverse
order of their start.
"""

import asyncio
import random

from loguru import logger

__all__ = ["Supervisor"]

MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0


class Supervisor:
    """Runs named tasks and restarts those that fail.

    Args:
        name: Prefix of log messages about the tasks.

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
        """Allow tasks to be started."""
        self._closing = False

    def start_child(self, name, function, *args):
        """Start ``function(*args)``, a coroutine function, as a task.

        A running task of the same name is cancelled first.
        """
        self.stop_child(name)
        if self._closing:
            return
        task = asyncio.create_task(
            self._run(name, function, args), name=f"{self.name}/{name}"
        )
        self._tasks[name] = task
        task.add_done_callback(lambda done: self._on_task_done(name, done))

    def stop_child(self, name):
        """Cancel a task if it is running."""
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()

    async def close(self):
        """Cancel all tasks in reverse order of their start, and wait for them."""
        self._closing = True
        for task in reversed(list(self._tasks.values())):
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        self._tasks.clear()

    async def _run(self, name, function, args):
        delay = MIN_RESTART_DELAY_S
        while True:
            try:
                await function(*args)
                return
            except asyncio.CancelledError:
                raise
            except Exception:
                logger.exception("{}: Task {} failed; restarting it.", self.name, name)
            # Jitter, as tasks of many processes may fail at the same time.
            await asyncio.sleep(delay * random.uniform(0.5, 1.0))
            delay = min(delay * 2, MAX_RESTART_DELAY_S)

    def _on_task_done(self, name, task):
        if self._tasks.get(name) is task:
            del self._tasks[name]
