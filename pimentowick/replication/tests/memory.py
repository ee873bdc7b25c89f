"""A log within the process, whose answers and effects a test can hold back."""

import asyncio
import json

from pimentowick import exception
from pimentowick.external import log as external_log
from pimentowick.fakes import log as fake_log

__all__ = ["MemoryLog"]

POLL_S = 0.002


class MemoryLog(external_log.Log):
    """The stand-in log without a socket.

    Attributes:
        kept: The `pimentowick.fakes.log.Log` that holds the streams.
        down: Whether nothing gets an answer.
        lose_answers: Number of appends that take effect without an answer.
        late: Appends that got no answer and have not landed, while it is a list.
    """

    def __init__(self, **settings):
        self.kept = fake_log.Log(**settings)
        self.down = False
        self.lose_answers = 0
        self.late = None

    async def append(self, stream, records):
        self._check()
        if self.late is not None:
            self.late.append((stream, records))
            raise exception.LogUnavailableError("no answer")
        try:
            first, _ = self.kept.append(stream, records)
        except fake_log.RateError as error:
            raise exception.LogThrottledError(str(error)) from error
        if self.lose_answers:
            self.lose_answers -= 1
            raise exception.LogUnavailableError("no answer")
        return first

    async def read(self, stream, offset, limit=500, wait_s=0.0):
        self._check()
        # A read over a socket always lets other tasks run. The wait of the stand-in
        # may lose a cancellation, which nobody notices who is behind a socket.
        await asyncio.sleep(0)
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while self.kept.measure(stream)[1] <= offset and loop.time() < until:
            await asyncio.sleep(POLL_S)
        self._check()
        rows = self.kept.read(stream, offset, limit)
        records = [(at, json.loads(text)) for at, text in rows]
        return external_log.Page(records, *self.kept.measure(stream))

    def land_late(self):
        """Let the held appends take effect."""
        late, self.late = self.late, None
        for stream, records in late:
            self.kept.append(stream, records)

    def _check(self):
        if self.down:
            raise exception.LogUnavailableError("down")
