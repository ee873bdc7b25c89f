"""Stand-in of the log."""

import asyncio
import contextlib
import dataclasses
import json
import math
import time

from tornado import web

from pimentowick.fakes import faults, server

__all__ = ["DEFAULT_READ_LIMIT", "Log", "RateLimitError", "RecordTooLargeError"]

DEFAULT_READ_LIMIT = 500


class RateLimitError(Exception):
    """The append rate is used up.

    Args:
        retry_after_s: Seconds until the next append may pass.
    """

    def __init__(self, retry_after_s):
        super().__init__(f"over the append rate for {retry_after_s:.3f} s")
        self.retry_after_s = retry_after_s


class RecordTooLargeError(Exception):
    """A record is over the size limit."""


@dataclasses.dataclass
class _Stream:
    first: int = 0
    head: int = 0
    start: int = 0  # offset of entries[0]; lags behind first between compactions
    entries: list = dataclasses.field(default_factory=list)
    grown: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def append(self, texts):
        now = time.monotonic()
        self.entries.extend((now, text) for text in texts)
        self.head += len(texts)
        self.grown.set()
        self.grown = asyncio.Event()

    def drop_before(self, offset):
        self.first = max(self.first, min(offset, self.head))
        dead = self.first - self.start
        if dead * 2 > len(self.entries):
            del self.entries[:dead]
            self.start = self.first

    def drop_older(self, limit):
        offset = self.first
        while offset < self.head and self.entries[offset - self.start][0] < limit:
            offset += 1
        self.drop_before(offset)

    def read(self, offset, limit):
        begin = max(offset, self.first)
        stop = min(begin + limit, self.head)
        texts = self.entries[begin - self.start : max(stop, begin) - self.start]
        return [(begin + i, text) for i, (_, text) in enumerate(texts)]


class Log(server.Server):
    """In-memory streams of records with retention and an append rate.

    Args:
        port: Port to listen on; 0 lets the kernel choose.
        retention_s: Seconds that a record is kept.
        appends_per_s: Appends per second, all streams together; one second's worth
            may come at once. None sets no limit.
        max_record_bytes: Greatest size of one record as JSON.
    """

    def __init__(
        self,
        port=0,
        *,
        retention_s=3600.0,
        appends_per_s=None,
        max_record_bytes=1 << 20,
    ):
        super().__init__(port)
        self.retention_s = retention_s
        self.appends_per_s = appends_per_s
        self.max_record_bytes = max_record_bytes
        self._streams = {}
        self._tokens = self._capacity()
        self._filled_at = time.monotonic()

    def list_routes(self):
        """Return the routes of the log."""
        return [
            (r"/streams/([^/]+)/records", _RecordsHandler),
            (r"/streams/([^/]+)/truncate", _TruncateHandler),
        ]

    def append(self, stream, records):
        """Append records whole or not at all; return the first and next offset."""
        texts = [json.dumps(record) for record in records]
        if any(len(text) > self.max_record_bytes for text in texts):
            raise RecordTooLargeError(f"a record is over {self.max_record_bytes} bytes")
        self._spend_token()
        kept = self._open(stream)
        first = kept.head
        kept.append(texts)
        return first, kept.head

    def read(self, stream, offset, limit=DEFAULT_READ_LIMIT):
        """Return pairs of offset and record as JSON text, from an offset on."""
        return self._open(stream).read(offset, limit)

    def get_offsets(self, stream):
        """Return the oldest offset kept and the offset of the next append."""
        kept = self._open(stream)
        return kept.first, kept.head

    async def wait(self, stream, offset, timeout_s):
        """Wait until there is a record at an offset, `timeout_s` at most."""
        kept = self._open(stream)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while kept.head <= offset:
                    await kept.grown.wait()

    def truncate(self, stream, before):
        """Drop the records below an offset."""
        self._open(stream).drop_before(before)

    def _open(self, stream):
        kept = self._streams.get(stream)
        if kept is None:
            kept = self._streams[stream] = _Stream()
        kept.drop_older(time.monotonic() - self.retention_s)
        return kept

    def _capacity(self):
        return max(1.0, self.appends_per_s or 0.0)

    def _spend_token(self):
        if self.appends_per_s is None:
            return
        now = time.monotonic()
        gained = (now - self._filled_at) * self.appends_per_s
        self._tokens = min(self._capacity(), self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1.0:
            raise RateLimitError((1.0 - self._tokens) / self.appends_per_s)
        self._tokens -= 1.0


class _RecordsHandler(faults.Handler):
    """`/streams/{stream}/records`: append and read."""

    async def post(self, stream):
        records = self.read_object().get("records")
        if not isinstance(records, list):
            raise web.HTTPError(400, "no list of records")
        try:
            first, following = self.server.append(stream, records)
        except RecordTooLargeError as error:
            await self.answer({"error": str(error)}, status=413)
        except RateLimitError as error:
            self.set_header("Retry-After", str(math.ceil(error.retry_after_s)))
            await self.answer({"error": str(error)}, status=429)
        else:
            await self.answer({"first": first, "next": following})

    async def get(self, stream):
        try:
            offset = int(self.get_query_argument("from", "0"))
            limit = int(self.get_query_argument("limit", str(DEFAULT_READ_LIMIT)))
            wait_s = float(self.get_query_argument("wait", "0"))
        except ValueError as error:
            raise web.HTTPError(400, "not a number") from error
        if wait_s > 0:
            await self.server.wait(stream, offset, wait_s)
        items = self.server.read(stream, offset, limit)
        first, head = self.server.get_offsets(stream)
        # Records are kept as JSON text, so that a read encodes nothing again.
        texts = [f'{{"offset": {at}, "record": {text}}}' for at, text in items]
        body = f'{{"records": [{", ".join(texts)}], "first": {first}, "head": {head}}}'
        await self.answer(body.encode())


class _TruncateHandler(faults.Handler):
    """`POST /streams/{stream}/truncate`: drop old records, for tests."""

    async def post(self, stream):
        before = self.read_object().get("before")
        if not isinstance(before, int):
            raise web.HTTPError(400, "no offset")
        self.server.truncate(stream, before)
        first, head = self.server.get_offsets(stream)
        await self.answer({"first": first, "head": head})
