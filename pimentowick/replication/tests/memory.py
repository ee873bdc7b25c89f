"""An in-process log that can lose or delay appends and their answers."""

import asyncio
import json

from pimentowick import exception
from pimentowick.external import log as external_log
from pimentowick.fakes import log as fake_log

__all__ = ["MemoryLog"]

POLL_S = 0.002


class MemoryLog(external_log.Log):
    """The fake log without a network connection.

    Attributes:
        stored: The `pimentowick.fakes.log.Log` that holds the streams.
        down: Whether all requests fail.
        lose_answers: Number of further appends that take effect without an answer.
        delayed: If a list, appends fail and are stored in it until `land_delayed`.
    """

    def __init__(self, **settings):
        self.stored = fake_log.Log(**settings)
        self.down = False
        self.lose_answers = 0
        self.delayed = None

    async def append(self, stream, records):
        self._check()
        if self.delayed is not None:
            self.delayed.append((stream, records))
            raise exception.LogUnavailableError("no answer")
        try:
            first, _ = self.stored.append(stream, records)
        except fake_log.RateLimitError as error:
            raise exception.LogThrottledError(str(error)) from error
        if self.lose_answers:
            self.lose_answers -= 1
            raise exception.LogUnavailableError("no answer")
        return first

    async def read(self, stream, offset, limit=500, wait_s=0.0):
        self._check()
        # A read over a socket always yields to other tasks. The wait of the fake log
        # may swallow a cancellation, which has no effect behind a socket.
        await asyncio.sleep(0)
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while self.stored.get_offsets(stream)[1] <= offset and loop.time() < until:
            await asyncio.sleep(POLL_S)
        self._check()
        rows = self.stored.read(stream, offset, limit)
        records = [(at, json.loads(text)) for at, text in rows]
        return external_log.Page(records, *self.stored.get_offsets(stream))

    def land_delayed(self):
        """Let the delayed appends take effect."""
        delayed, self.delayed = self.delayed, None
        for stream, records in delayed:
            self.stored.append(stream, records)

    def _check(self):
        if self.down:
            raise exception.LogUnavailableError("down")
