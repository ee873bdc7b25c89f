"""Client of the platform's store, an append-only log with keyed topics and groups.

Notes:
    In a topic whose name begins with ``keyed.``, a record has a key and a value. Such a
    topic is compacted: the newest record of each key is retained, and a record without
    a value deletes its key. A 503 or 429 means that the call had no effect. A call
    without a response may have taken effect, or may still do so seconds later.
"""

import base64
import collections
import dataclasses
import struct
import time
import urllib.parse

from pimentowick import client, exception

__all__ = [
    "MAX_KEY_BYTES",
    "KeyedRecord",
    "OffsetConflictError",
    "Page",
    "PartitionAssignment",
    "RejectedError",
    "Store",
    "UnknownOutcomeError",
    "make_topic_name",
    "measure_record",
]

RECORD_LENGTH = struct.Struct(">I")
PAGE_HEADER = struct.Struct(">QQ")
# The length of a key takes one byte.
MAX_KEY_BYTES = 255
MAX_CONNECTIONS = 24
# Exceeds a page of records or of newest values in base64.
MAX_ANSWER_BYTES = 8_388_608
# Total timeout of a read whose response keeps arriving.
MAX_READ_S = 30.0
# Minimum throughput of an entry's link that is shared with other traffic.
MIN_BYTES_PER_S = 300_000
# Statuses which show that the store is reachable: 404 is a topic without records, 410 a
# truncated offset, 412 a failed conditional append.
SERVED_STATUSES = (200, 404, 410, 412)


class RejectedError(exception.LogError):
    """The store rejected the call; it had no effect."""


class UnknownOutcomeError(exception.LogError):
    """The outcome of the call is unknown; a write may take effect even later."""


class OffsetConflictError(exception.LogError):
    """A conditional append failed because the partition has a different end offset.

    Attributes:
        end: Offset that the next record gets.
    """

    def __init__(self, end):
        super().__init__(f"Conditional append failed: the partition ends at {end}.")
        self.end = end


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic; an empty value deletes the key."""

    key: str
    value: bytes
    offset: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """The records returned by one read.

    Attributes:
        records: The records.
        end: Offset after the last record of the page.
        log_end: End offset of the partition at the time of the read; greater than `end`
            if the page does not reach the end.
    """

    records: list
    end: int
    log_end: int


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionAssignment:
    """The partitions assigned to a group member, and the group's generation."""

    generation: int
    parts: frozenset


def make_topic_name(name):
    """Return the name on the wire of a keyed topic.

    Examples:
        >>> make_topic_name("jobs")
        'keyed.jobs'
    """
    return f"keyed.{name}"


def measure_record(record):
    """Return the size of a record, of which the store limits the maximum, in bytes.

    Examples:
        >>> measure_record(KeyedRecord("j/7c41", b"{}"))
        9
    """
    return 1 + len(record.key.encode()) + len(record.value)


def _encode_record(record):
    key = record.key.encode()
    content = bytes([len(key)]) + key + record.value
    return RECORD_LENGTH.pack(len(content)) + content


def _decode_record(content, offset):
    """Decode a `KeyedRecord`; return None if it is malformed.

    Other writers share the topics of the operator and the targets: a malformed record
    must not prevent reading the others.
    """
    if not content:
        return None
    size = 1 + content[0]
    if len(content) < size:
        return None
    try:
        key = content[1:size].decode()
    except UnicodeDecodeError:
        return None
    return KeyedRecord(key, content[size:], offset)


def _decode_page(body, offset):
    """Decode a `Page` that starts at an offset.

    Raises:
        UnknownOutcomeError: It ends within a record.
    """
    end, _ = PAGE_HEADER.unpack_from(body)
    at = PAGE_HEADER.size
    records = []
    while at < len(body):
        size = int.from_bytes(body[at : at + RECORD_LENGTH.size])
        at += RECORD_LENGTH.size
        if at + size > len(body):
            raise UnknownOutcomeError(f"Malformed page: record {offset} is cut.")
        record = _decode_record(body[at : at + size], offset)
        if record is not None:
            records.append(record)
        at += size
        offset += 1
    return Page(records, offset, end)


class Store:
    """A client of the store.

    Args:
        address: ``IP:port``.
        timeout_s: Timeout of a write and idle timeout of a read, in seconds. The
            long-poll time of a read and the transfer time of a large write are added.

    Attributes:
        calls: Number of calls sent, by name.
        bytes: Bytes of bodies, by name of the call and direction ("out" or "in").
        last_contact_at: Monotonic time at which the latest call that the store served
            was sent.
    """

    def __init__(self, address, timeout_s=1.5):
        self.address = address
        self.timeout_s = timeout_s
        self.calls = collections.Counter()
        self.bytes = collections.Counter()
        self.last_contact_at = float("-inf")
        self._client = client.Client(MAX_CONNECTIONS, max_body_bytes=MAX_ANSWER_BYTES)

    async def start(self):
        """Create the connection pool."""
        await self._client.start()

    async def close(self):
        """Close all connections."""
        await self._client.close()

    async def append(self, topic, part, records, at):
        """Append records if the partition ends at offset `at`; None skips the check.

        Returns:
            The offset after the last record.

        Raises:
            OffsetConflictError: The partition ends at a different offset.
            RejectedError: The append had no effect.
            UnknownOutcomeError: The append may have taken effect.
        """
        query = {"topic": topic, "part": part}
        if at is not None:
            query["at"] = at
        body = b"".join(_encode_record(record) for record in records)
        response = await self._call("POST", "/-/log-append", query, body)
        if response.status == 412:
            raise OffsetConflictError(_read_integer(response, "end"))
        self._check(response)
        return _read_integer(response, "end")

    async def read(self, topic, part, offset, wait_s=0.0, max_kb=None):
        """Read the `Page` of records that starts at `offset`.

        Args:
            topic: Name of the topic.
            part: Number of the partition.
            offset: Offset of the first record.
            wait_s: Long-poll time in seconds while there are no records.
            max_kb: Maximum size of the page in kilobytes; None for the store's limit.

        Raises:
            LogTruncatedError: The records have been deleted; use `read_newest`.
            LogError: The read failed.
        """
        query = {
            "topic": topic,
            "part": part,
            "from": offset,
            "wait_ms": int(wait_s * 1000),
        }
        if max_kb is not None:
            query["max_kb"] = max_kb
        response = await self._call("GET", "/-/log-read", query, wait_s=wait_s)
        if response.status == 410:
            raise exception.LogTruncatedError(
                f"Topic {topic}: offset {offset} has been truncated."
            )
        if response.status == 404:
            return Page([], offset, offset)
        self._check(response)
        if len(response.body) < PAGE_HEADER.size:
            raise UnknownOutcomeError(
                f"Malformed page of {topic}: shorter than {PAGE_HEADER.size} bytes."
            )
        page = _decode_page(response.body, offset)
        if page.log_end < offset:
            # The end offset never decreases: the partition has been replaced.
            raise exception.LogTruncatedError(
                f"Topic {topic} ends at {page.log_end}, before offset {offset}."
            )
        return page

    async def read_newest(self, topic, part, on_page=lambda records: None):
        """Read the newest record of each key, as one `Page`.

        The calls do not form a consistent snapshot, so `end` is the end offset at the
        first call and `log_end` that at the last. Reading on from `end` returns the
        changes in between.

        Args:
            topic: Name of the topic.
            part: Number of the partition.
            on_page: Callback that receives the records of each page.

        Raises:
            LogError: The read failed.
        """
        records = []
        end = None
        log_end = 0
        async for page in self._list_pages(topic, part, None):
            end = page.end if end is None else end
            log_end = page.end
            records += page.records
            on_page(page.records)
        return Page(records, end or 0, log_end)

    async def read_prefix(self, topic, part, prefix):
        """Return the newest records of the keys that begin with a prefix.

        Assumes that keys are listed in order and starts at the prefix. If that finds no
        key, all keys are scanned, since the store does not guarantee the order.

        Raises:
            LogError: The read failed.
        """
        matches = []
        async for page in self._list_pages(topic, part, prefix):
            matching = [row for row in page.records if row.key.startswith(prefix)]
            matches += matching
            if len(matching) < len(page.records):
                break
        if matches:
            return matches
        page = await self.read_newest(topic, part)
        return [record for record in page.records if record.key.startswith(prefix)]

    async def _list_pages(self, topic, part, after):
        """Yield a `Page` for each page of the newest records after a key."""
        while True:
            query = {"topic": topic, "part": part}
            if after is not None:
                query["after"] = after
            response = await self._call("GET", "/-/log-newest", query)
            if response.status == 404:
                return
            self._check(response)
            records, end, after = _decode_newest(response)
            yield Page(records, end, end)
            if after is None:
                return

    async def join(self, group, member, topic, lease_s, generation):
        """Join or renew membership of a group; return the `PartitionAssignment`."""
        data = {
            "group": group,
            "member": member,
            "topics": [topic],
            "ttl_ms": int(lease_s * 1000),
            "generation": generation,
        }
        response = await self._call("POST", "/-/log-join", body=data)
        self._check(response)
        data = _decode_object(response)
        try:
            parts = frozenset(int(row[1]) for row in data["parts"])
            return PartitionAssignment(int(data["generation"]), parts)
        except (LookupError, TypeError, ValueError) as error:
            raise _make_malformed_error(error) from error

    async def leave(self, group, member):
        """Leave a group, which releases all its partitions immediately."""
        data = {"group": group, "member": member}
        self._check(await self._call("POST", "/-/log-leave", body=data))

    async def _call(self, method, path, query=None, body=None, wait_s=0.0):
        sent_at = time.monotonic()
        response = await self._send(method, path, query, body, wait_s)
        if response.status in SERVED_STATUSES:
            self.last_contact_at = max(self.last_contact_at, sent_at)
        return response

    async def _send(self, method, path, query, body, wait_s):
        name = path.rpartition("-")[2]
        size = len(body) if isinstance(body, bytes) else 0
        self.calls[name] += 1
        self.bytes[name, "out"] += size
        uri = path
        if query:
            uri += "?" + urllib.parse.urlencode(query)
        try:
            if method == "GET":
                response = await self._read(uri, self.timeout_s + wait_s)
                self.bytes[name, "in"] += len(response.body)
                return response
            timeout_s = self.timeout_s + size / MIN_BYTES_PER_S
            return await self._client.fetch(
                method, self.address, uri, body, timeout_s=timeout_s
            )
        except client.TransportError as error:
            raise UnknownOutcomeError(str(error)) from error

    async def _read(self, uri, idle_timeout_s):
        # An idle timeout instead of a total one: over a slow or shared link, a large
        # topic takes longer than `timeout_s`, and a restarted entry has to read all of
        # it before it knows its jobs.
        stream = self._client.open_stream(
            "GET", self.address, uri, timeout_s=MAX_READ_S, idle_s=idle_timeout_s
        )
        return await stream.read_response()

    def _check(self, response):
        if response.status == 200:
            return
        if response.status in (429, 503, 507):
            raise RejectedError(f"The store answered with status {response.status}.")
        raise UnknownOutcomeError(f"The store answered with status {response.status}.")


def _make_malformed_error(why):
    return UnknownOutcomeError(f"The store's response is malformed: {why}.")


def _decode_object(response):
    """Return the JSON object of a response."""
    try:
        data = response.decode()
    except exception.ValidationError as error:
        raise _make_malformed_error(error) from error
    if not isinstance(data, dict):
        raise _make_malformed_error("not an object")
    return data


def _read_integer(response, name):
    value = _decode_object(response).get(name)
    if type(value) is not int:
        raise _make_malformed_error(f"no integer {name}")
    return value


def _decode_newest(response):
    """Decode a page of ``log-newest``.

    Returns:
        The `KeyedRecord` objects, the end offset, and the key after which the next
        page begins, or None.
    """
    data = _decode_object(response)
    end = _read_integer(response, "end")
    rows = data.get("items")
    if not isinstance(rows, list):
        raise _make_malformed_error("no list of items")
    decoded = [_decode_row(row) for row in rows]
    after = None
    if rows and data.get("has_more"):
        after = rows[-1].get("key") if isinstance(rows[-1], dict) else None
        if not isinstance(after, str):
            raise _make_malformed_error("the last item has no key")
    return [record for record in decoded if record is not None], end, after


def _decode_row(row):
    """Decode a row of ``log-newest`` into a `KeyedRecord`; None if malformed."""
    try:
        value = base64.b64decode(row["value"] or "", validate=True)
        record = KeyedRecord(row["key"], value, row["offset"])
    except (LookupError, TypeError, ValueError):
        return None
    is_valid = isinstance(record.key, str) and type(record.offset) is int
    return record if is_valid else None
