"""Reading what the items of a job need before they can run.

Notes:
    Items are read as soon as they are this entry's, so that none holds a place at a
    target meanwhile, and so that they can run while the store is away. The bodies of a
    job that was accepted just now lie together; of one that another entry may have run
    before, all contents are read, with the texts that it recorded.
"""

import asyncio
import time

from pimentowick import exception
from pimentowick.gateway import decision_log

__all__ = ["Preparation"]

FIRST_DELAY_S = 0.1
LAST_DELAY_S = 2.0


class Preparation:
    """Reads the contents of jobs, one job a call.

    Args:
        contents: `pimentowick.gateway.content.Contents`.
        on_read: Function that gets the identifier of a job, and its contents by name.
    """

    def __init__(self, contents, on_read):
        self._contents = contents
        self._on_read = on_read
        self._owned_since = {}
        self._tasks = {}

    def note_parts(self, before, parts):
        """Note which parts of the batch work are this entry's from now on."""
        now = time.monotonic()
        for part in parts - before:
            self._owned_since[part] = now
        for part in before - parts:
            self._owned_since.pop(part, None)

    def prepare(self, job, part):
        """Begin to read what a job's items need, unless that is under way."""
        if job.id in self._tasks:
            return
        is_new = self._owned_since.get(part, float("inf")) < job.learnt_at
        task = asyncio.create_task(self._read(job, is_new))
        self._tasks[job.id] = task
        task.add_done_callback(lambda _: self._tasks.pop(job.id, None))

    async def _read(self, job, is_new):
        delay = FIRST_DELAY_S
        while job.is_open:
            try:
                self._on_read(job.id, await self._read_once(job, is_new))
                return
            except exception.LogError as error:
                decision_log.log_request_event("batch.not_read", job.id, why=str(error))
            await asyncio.sleep(delay)
            delay = min(delay * 2, LAST_DELAY_S)
            is_new = False

    async def _read_once(self, job, is_new):
        if not is_new:
            return await self._contents.read_all(job.id)
        bodies = [
            item.body for number, item in enumerate(job.items) if job.needs_run(number)
        ]
        return await self._contents.read(job.id, bodies, keep=False)

    async def close(self):
        """Stop reading."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
