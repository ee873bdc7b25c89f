"""Prefetches the item bodies and checkpoints of jobs.

Notes:
    Contents are read as soon as this entry owns the job, so that an item does not
    occupy a slot of a target while its body is read, and can start during an outage of
    the store. The bodies of a new job are contiguous in the log. A job that another
    entry may have run has checkpoints as well, so all of its contents are read.
"""

import asyncio
import time

from pimentowick import exception
from pimentowick.gateway import decision_log

__all__ = ["ContentPrefetcher"]

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


class ContentPrefetcher:
    """Reads the contents of jobs, with one task per job.

    Args:
        contents: `pimentowick.gateway.content.Contents`.
        on_read: Function called with the identifier of a job and its contents by name.
    """

    def __init__(self, contents, on_read):
        self._contents = contents
        self._on_read = on_read
        self._owned_since = {}
        self._tasks = {}

    def update_partitions(self, before, after):
        """Update the time since which this entry owns each partition."""
        now = time.monotonic()
        for partition in after - before:
            self._owned_since[partition] = now
        for partition in before - after:
            self._owned_since.pop(partition, None)

    def start_reading(self, job, partition):
        """Start to read the contents of a job unless a read is in progress."""
        task = self._tasks.get(job.id)
        if task is not None and not task.done():
            return
        is_new = self._owned_since.get(partition, float("inf")) < job.received_at
        task = asyncio.create_task(self._read(job, is_new))
        self._tasks[job.id] = task
        task.add_done_callback(lambda done: self._on_done(job.id, done))

    def _on_done(self, job_id, task):
        if self._tasks.get(job_id) is task:
            del self._tasks[job_id]

    async def _read(self, job, is_new):
        backoff_s = INITIAL_BACKOFF_S
        while job.is_open:
            try:
                self._on_read(job.id, await self._read_once(job, is_new))
                return
            except exception.LogError as error:
                decision_log.log_request_event("batch.not_read", job.id, why=str(error))
            except Exception as error:
                # The items of the job are still owed.
                decision_log.log_request_event(
                    "batch.not_read", job.id, why=repr(error)
                )
            await asyncio.sleep(backoff_s)
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
            is_new = False

    async def _read_once(self, job, is_new):
        if not is_new:
            return await self._contents.read_all(job.id)
        bodies = [
            item.body for number, item in enumerate(job.items) if job.needs_run(number)
        ]
        return await self._contents.read(job.id, bodies, cache=False)

    async def close(self):
        """Cancel all reads."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
