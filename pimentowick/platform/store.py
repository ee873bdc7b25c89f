"""Calls to the platform's store, an append-only log with keyed topics and groups.

Notes:
    In a topic whose name begins with ``keyed.`` a record holds a key and a value; the
    newest record of each key is kept for good, and a record without a value drops
    its key. A 503 or 429 says that nothing was done. A call without an answer may
    have taken effect, or may do so seconds later.
"""

import base64
import binascii
import collections
import dataclasses
import struct
import time
import urllib.parse

from pimentowick import client, exception

__all__ = [
    "ChangedError",
    "Dealt",
    "KeyedRecord",
    "Page",
    "RejectedError",
    "Store",
    "UncertainError",
    "keyed_topic",
]

LENGTH = struct.Struct(">I")
HEAD = struct.Struct(">QQ")
MAX_CALLS = 24
# Bound of an answer that keeps arriving.
LONGEST_READ_S = 30.0
# What an entry's link moves at least while others use it, too.
LEAST_BYTES_PER_S = 300_000
# Statuses of calls that the store has taken up; 412 and 410 are answers to what was
# asked, 404 to a topic that nobody has written yet.
SERVED = (200, 404, 410, 412)


class RejectedError(exception.LogError):
    """The store did nothing."""


class UncertainError(exception.LogError):
    """The store gave no answer; a write may have taken effect, or may do so late."""


class ChangedError(exception.LogError):
    """The partition does not end where a conditional append expected it.

    Attributes:
        end: Offset that the next record gets.
    """

    def __init__(self, end):
        super().__init__(f"The partition ends at {end}.")
        self.end = end


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic; an empty value drops the key."""

    key: str
    value: bytes
    offset: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Records as one read returned them.

    Attributes:
        records: The records.
        end: Offset behind the last of them.
        log_end: Offset behind the last record of the partition as of the read; more
            than `end` where one read does not reach there.
    """

    records: list
    end: int
    log_end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Dealt:
    """What a group deals to a member: a generation and partition numbers."""

    generation: int
    parts: frozenset


def keyed_topic(name):
    """Return the wire's name of a keyed topic.

    Examples:
        >>> keyed_topic("jobs")
        'keyed.jobs'
    """
    return f"keyed.{name}"


def _encode_record(record):
    key = record.key.encode()
    content = bytes([len(key)]) + key + record.value
    return LENGTH.pack(len(content)) + content


def _decode_record(content, offset):
    """Return the `KeyedRecord`, or None where the bytes hold none.

    Other writers share the topics of the operator and the targets: a record that
    cannot be read names nothing and must not hide the others.
    """
    if not content:
        return None
    size = 1 + content[0]
    try:
        key = content[1:size].decode()
    except UnicodeDecodeError:
        return None
    return KeyedRecord(key, content[size:], offset)


def _decode_page(body, offset):
    end, _ = HEAD.unpack_from(body)
    at = HEAD.size
    records = []
    while at + LENGTH.size <= len(body):
        (size,) = LENGTH.unpack_from(body, at)
        at += LENGTH.size
        record = _decode_record(body[at : at + size], offset)
        if record is not None:
            records.append(record)
        at += size
        offset += 1
    return Page(records, offset, end)


class Store:
    """One client of the store.

    Args:
        address: ``IP:port``.
        timeout_s: Bound of a call that writes, in seconds, and longest silence of
            one that reads; without the time it may wait, and the way of its bytes.

    Attributes:
        calls: Number of calls sent, by name.
        bytes: Bytes of bodies, by name of the call and direction, out or in.
        reached_at: Monotonic time at which the newest call was sent that the store has
            served.
    """

    def __init__(self, address, timeout_s=1.5):
        self.address = address
        self.timeout_s = timeout_s
        self.calls = collections.Counter()
        self.bytes = collections.Counter()
        self.reached_at = float("-inf")
        self._client = client.Client(max_connections=MAX_CALLS)

    async def start(self):
        """Make the connections' pool."""
        await self._client.start()

    async def close(self):
        """Drop all connections."""
        await self._client.close()

    async def append(self, topic, part, records, at):
        """Append records if the partition ends at the offset `at`.

        Returns:
            The offset behind the last record.

        Raises:
            ChangedError: The partition ends elsewhere.
            RejectedError: Nothing was done.
            UncertainError: The outcome is not known.
        """
        query = {"topic": topic, "part": part}
        if at is not None:
            query["at"] = at
        body = b"".join(_encode_record(record) for record in records)
        answer = await self._call("POST", "/-/log-append", query, body)
        if answer.status == 412:
            raise ChangedError(_read_integer(answer, "end"))
        self._check(answer)
        return _read_integer(answer, "end")

    async def read(self, topic, part, offset, wait_s=0.0, most_kb=None):
        """Return the `Page` of records from `offset` on.

        Args:
            topic: Name of the topic.
            part: Number of the partition.
            offset: Offset of the first record wanted.
            wait_s: How long the store may hold the call while there is none.
            most_kb: Most kilobytes of records wanted; the store's own limit without.

        Raises:
            LogTruncatedError: The records are gone; read the newest of each key.
            LogError: There is no answer.
        """
        query = {
            "topic": topic,
            "part": part,
            "from": offset,
            "wait_ms": int(wait_s * 1000),
        }
        if most_kb is not None:
            query["max_kb"] = most_kb
        answer = await self._call("GET", "/-/log-read", query, wait_s=wait_s)
        if answer.status == 410:
            raise exception.LogTruncatedError(f"{topic}: {offset} is gone.")
        if answer.status == 404:
            return Page([], offset, offset)
        self._check(answer)
        if len(answer.body) < HEAD.size:
            raise UncertainError("The page is too short.")
        page = _decode_page(answer.body, offset)
        if page.log_end < offset:
            # The log never shrinks: another partition has taken its place.
            raise exception.LogTruncatedError(f"{topic} ends at {page.log_end}.")
        return page

    async def read_newest(self, topic, part, on_page=lambda records: None):
        """Return the newest record of each key, as a `Page`.

        The pages are no snapshot, so `end` is that of the first and `log_end` that of
        the last: reading on from `end` brings whatever changed in between.

        Args:
            topic: Name of the topic.
            part: Number of the partition.
            on_page: Function that gets the records of each page as it comes.

        Raises:
            LogError: There is no answer.
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

        Keys come in order, so that the pages begin at the prefix. Where none is found
        so, all keys are looked at: the order is not promised.

        Raises:
            LogError: There is no answer.
        """
        found = []
        async for page in self._list_pages(topic, part, prefix):
            mine = [row for row in page.records if row.key.startswith(prefix)]
            found += mine
            if len(mine) < len(page.records):
                break
        if found:
            return found
        page = await self.read_newest(topic, part)
        return [record for record in page.records if record.key.startswith(prefix)]

    async def _list_pages(self, topic, part, after):
        """Yield a `Page` for each page of the newest records behind a key."""
        while True:
            query = {"topic": topic, "part": part}
            if after is not None:
                query["after"] = after
            answer = await self._call("GET", "/-/log-newest", query)
            if answer.status == 404:
                return
            self._check(answer)
            data = answer.decode()
            rows = [_decode_item(item) for item in data["items"]]
            found = [record for record in rows if record is not None]
            yield Page(found, data["end"], data["end"])
            if not data.get("has_more") or not data["items"]:
                return
            after = data["items"][-1]["key"]

    async def join(self, group, member, topic, lease_s, generation):
        """Join a group or stay in it; return what is `Dealt` to the member."""
        data = {
            "group": group,
            "member": member,
            "topics": [topic],
            "ttl_ms": int(lease_s * 1000),
            "generation": generation,
        }
        answer = await self._call("POST", "/-/log-join", body=data)
        self._check(answer)
        found = answer.decode()
        parts = frozenset(row[1] for row in found["parts"])
        return Dealt(found["generation"], parts)

    async def leave(self, group, member):
        """Give all partitions back at once."""
        data = {"group": group, "member": member}
        self._check(await self._call("POST", "/-/log-leave", body=data))

    async def _call(self, method, path, query=None, body=None, wait_s=0.0):
        sent_at = time.monotonic()
        answer = await self._send(method, path, query, body, wait_s)
        if answer.status in SERVED:
            self.reached_at = max(self.reached_at, sent_at)
        return answer

    async def _send(self, method, path, query, body, wait_s):
        name = path.rpartition("-")[2]
        size = len(body) if isinstance(body, bytes) else 0
        self.calls[name] += 1
        self.bytes[name, "out"] += size
        target = path
        if query:
            target += "?" + urllib.parse.urlencode(query)
        try:
            if method == "GET":
                answer = await self._read(target, self.timeout_s + wait_s)
                self.bytes[name, "in"] += len(answer.body)
                return answer
            timeout_s = self.timeout_s + size / LEAST_BYTES_PER_S
            return await self._client.fetch(
                method, self.address, target, body, timeout_s=timeout_s
            )
        except client.TransportError as error:
            raise UncertainError(str(error)) from error

    async def _read(self, target, silent_s):
        # Given up on after a time, all of a topic would never get through a link
        # that is slow or shared, and an entry that started anew would know no jobs.
        stream = self._client.open_stream(
            "GET", self.address, target, timeout_s=LONGEST_READ_S, idle_s=silent_s
        )
        return await stream.read_response()

    def _check(self, answer):
        if answer.status == 200:
            return
        if answer.status in (429, 503, 507):
            raise RejectedError(f"The store answered {answer.status}.")
        raise UncertainError(f"The store answered {answer.status}.")


def _read_integer(answer, name):
    value = answer.decode().get(name)
    if not isinstance(value, int):
        raise UncertainError(f"The store's answer has no {name}.")
    return value


def _decode_item(item):
    """Return the `KeyedRecord` of an entry of ``log-newest``, or None."""
    try:
        value = base64.b64decode(item["value"] or "")
        return KeyedRecord(item["key"], value, item["offset"])
    except (KeyError, TypeError, binascii.Error):
        return None
