"""Fake of the log service."""

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
    """The append rate limit is exceeded.

    Args:
        retry_after_s: Seconds until the next append is admitted.
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
    start: int = 0  # offset of entries[0]; below `first` until the next compaction
    entries: list = dataclasses.field(default_factory=list)
    appended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def append(self, texts):
        now = time.monotonic()
        self.entries.extend((now, text) for text in texts)
        self.head += len(texts)
        self.appended.set()
        self.appended = asyncio.Event()

    def drop_before(self, offset):
        self.first = max(self.first, min(offset, self.head))
        dropped = self.first - self.start
        if dropped * 2 > len(self.entries):
            del self.entries[:dropped]
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
    """In-memory streams of records with a retention time and a rate limit.

    Args:
        port: Port to listen on; 0 lets the kernel choose.
        retention_s: Seconds that a record is retained.
        appends_per_s: Rate limit of appends over all streams, with a burst of one
            second; None for no limit.
        max_record_bytes: Maximum size of a record as JSON.
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
        self._tokens = self._get_burst_size()
        self._refilled_at = time.monotonic()

    def list_routes(self):
        """Return the routes of the log."""
        return [
            (r"/streams/([^/]+)/records", _RecordsHandler),
            (r"/streams/([^/]+)/truncate", _TruncateHandler),
        ]

    def append(self, stream, records):
        """Append records atomically; return their first offset and the next one."""
        texts = [json.dumps(record) for record in records]
        if any(len(text) > self.max_record_bytes for text in texts):
            raise RecordTooLargeError(f"a record is over {self.max_record_bytes} bytes")
        self._consume_token()
        state = self._get_stream(stream)
        first = state.head
        state.append(texts)
        return first, state.head

    def read(self, stream, offset, limit=DEFAULT_READ_LIMIT):
        """Return pairs of offset and JSON text, from an offset on."""
        return self._get_stream(stream).read(offset, limit)

    def get_offsets(self, stream):
        """Return the offset of the oldest record and that of the next append."""
        state = self._get_stream(stream)
        return state.first, state.head

    async def wait(self, stream, offset, timeout_s):
        """Wait until a record exists at an offset, for at most `timeout_s` seconds."""
        state = self._get_stream(stream)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while state.head <= offset:
                    await state.appended.wait()

    def truncate(self, stream, before):
        """Delete the records before an offset."""
        self._get_stream(stream).drop_before(before)

    def _get_stream(self, stream):
        state = self._streams.get(stream)
        if state is None:
            state = self._streams[stream] = _Stream()
        state.drop_older(time.monotonic() - self.retention_s)
        return state

    def _get_burst_size(self):
        return max(1.0, self.appends_per_s or 0.0)

    def _consume_token(self):
        if self.appends_per_s is None:
            return
        now = time.monotonic()
        gained = (now - self._refilled_at) * self.appends_per_s
        self._tokens = min(self._get_burst_size(), self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1.0:
            raise RateLimitError((1.0 - self._tokens) / self.appends_per_s)
        self._tokens -= 1.0


class _RecordsHandler(faults.Handler):
    """`/streams/{stream}/records`: append with `POST`, read with `GET`."""

    async def post(self, stream):
        records = self.read_json_object().get("records")
        if not isinstance(records, list):
            raise web.HTTPError(400, "records is not a list")
        try:
            first, next_offset = self.server.append(stream, records)
        except RecordTooLargeError as error:
            await self.respond({"error": str(error)}, status=413)
        except RateLimitError as error:
            self.set_header("Retry-After", str(math.ceil(error.retry_after_s)))
            await self.respond({"error": str(error)}, status=429)
        else:
            await self.respond({"first": first, "next": next_offset})

    async def get(self, stream):
        try:
            offset = int(self.get_query_argument("from", "0"))
            limit = int(self.get_query_argument("limit", str(DEFAULT_READ_LIMIT)))
            wait_s = float(self.get_query_argument("wait", "0"))
        except ValueError as error:
            raise web.HTTPError(400, "from, limit or wait is not a number") from error
        if wait_s > 0:
            await self.server.wait(stream, offset, wait_s)
        items = self.server.read(stream, offset, limit)
        first, head = self.server.get_offsets(stream)
        # Records are stored as JSON text so that reads need no encoding.
        texts = [f'{{"offset": {at}, "record": {text}}}' for at, text in items]
        body = f'{{"records": [{", ".join(texts)}], "first": {first}, "head": {head}}}'
        await self.respond(body.encode())


class _TruncateHandler(faults.Handler):
    """`POST /streams/{stream}/truncate`: delete old records, for tests."""

    async def post(self, stream):
        before = self.read_json_object().get("before")
        if not isinstance(before, int):
            raise web.HTTPError(400, "before is not an offset")
        self.server.truncate(stream, before)
        first, head = self.server.get_offsets(stream)
        await self.respond({"first": first, "head": head})
