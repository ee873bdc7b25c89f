"""Fake of the store of the users' platform: a log with keyed topics and groups."""

import asyncio
import base64
import collections
import json
import struct
import time

from pimentowick.fakes import faults, server

__all__ = ["PlatformStore"]

LENGTH_PREFIX = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
PAGE_ITEMS = 500
MAX_STORED_BYTES = 400_000_000
MAX_CALL_BYTES = 2_097_152
MAX_PRODUCER_APPENDS = 5


class _Partition:
    """The records of a partition from `first` on, and the newest one of each key."""

    def __init__(self, keyed):
        self.keyed = keyed
        self.first = 0
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)

    def append(self, contents):
        first = self.end
        for content in contents:
            self._update_newest(content)
            self.records.append(content)
        self.changed.set()
        self.changed = asyncio.Event()
        return first

    def _update_newest(self, content):
        if not self.keyed:
            return
        size = 1 + content[0]
        key = content[1:size].decode(errors="replace")
        self.newest.pop(key, None)
        if content[size:]:
            self.newest[key] = (content[size:], self.end)

    def trim(self, before):
        count = max(0, min(before, self.end) - self.first)
        del self.records[:count]
        self.first += count


class PlatformStore(server.Server):
    """The store, with its records in memory.

    Args:
        port: Port to listen on; 0 lets the kernel choose.
        parts: Number of partitions of a topic.

    Attributes:
        append_delay_s: If set, appends get no response and are processed this many
            seconds later; their conditions are checked at that time.
        delayed_topic: Topic to which `append_delay_s` is limited; None for all.
        capacity_bytes: Total size of all records from which on appends get 507.
        call_bytes: Total size of the records of an append above which it gets 413.
        page_items: Number of newest records in a page.
        read_records: Number of records that a read returns at most; None for all.
        calls: Number of requests by path.
        partitions: Partitions by topic and number.
        groups: Consumer groups by name.
    """

    def __init__(self, port=0, parts=8):
        super().__init__(port)
        self.parts = parts
        self.append_delay_s = None
        self.delayed_topic = None
        self.capacity_bytes = MAX_STORED_BYTES
        self.call_bytes = MAX_CALL_BYTES
        self.page_items = PAGE_ITEMS
        self.read_records = None
        self.calls = collections.Counter()
        self.partitions = {}
        self.groups = {}

    def list_routes(self):
        """Return the routes of the store."""
        return [
            ("/-/log-append", _AppendHandler),
            ("/-/log-read", _ReadHandler),
            ("/-/log-newest", _NewestHandler),
            ("/-/log-trim", _TrimHandler),
            ("/-/log-join", _JoinHandler),
            ("/-/log-leave", _LeaveHandler),
            ("/-/log-commit", _CommitHandler),
            ("/-/log-owners", _OwnersHandler),
        ]

    def get_partition(self, topic, part):
        """Return a partition, created on first use."""
        key = (topic, int(part))
        if key not in self.partitions:
            self.partitions[key] = _Partition(topic.startswith("keyed."))
        return self.partitions[key]

    def put(self, topic, key, value, part=0):
        """Append a keyed record, as the operator or a target does."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        name = key.encode()
        content = bytes([len(name)]) + name + data
        return self.get_partition(topic, part).append([content])

    def forget_history(self):
        """Delete all records of keyed topics but the newest one of each key."""
        for partition in self.partitions.values():
            if partition.keyed:
                partition.trim(partition.end)

    def count_bytes(self):
        """Return the total size of all records in bytes."""
        return sum(len(r) for p in self.partitions.values() for r in p.records)

    def get_group(self, name):
        """Return a consumer group without the members whose lease has expired."""
        group = self.groups.setdefault(name, _Group(self.parts))
        group.expire_members()
        return group


class _Group:
    """A consumer group; its members hold leases and share the partitions evenly."""

    def __init__(self, parts):
        self.parts = parts
        self.generation = 0
        self.members = {}
        self.topics = set()
        self.offsets = {}

    def expire_members(self):
        now = time.monotonic()
        expired = [
            name for name, expires_at in self.members.items() if expires_at < now
        ]
        for name in expired:
            del self.members[name]
        if expired:
            self.generation += 1

    def list_assignments(self):
        """Return a row of topic, partition, member and offset for each partition."""
        names = sorted(self.members)
        rows = []
        for topic in sorted(self.topics):
            for part in range(self.parts if names else 0):
                offset = self.offsets.get((topic, part), 0)
                rows.append([topic, part, names[part % len(names)], offset])
        return rows


class _Handler(faults.Handler):
    async def prepare(self):
        self.server.calls[self.request.path] += 1
        await super().prepare()

    def find_partition(self):
        return self.server.get_partition(
            self.get_query_argument("topic"), self.get_query_argument("part")
        )


class _AppendHandler(_Handler):
    async def post(self):
        topic = self.get_query_argument("topic")
        if topic in ("keyed.op", "keyed.servers"):
            await self.respond({"error": "forbidden"}, 403)
            return
        if self.server.append_delay_s is not None and self._is_delayed(topic):
            loop = asyncio.get_running_loop()
            loop.call_later(self.server.append_delay_s, self._append)
            await self.wait_for_disconnect()
        status, body = self._append()
        await self.respond(body, status)

    def _is_delayed(self, topic):
        return self.server.delayed_topic in (None, topic)

    def _append(self):
        partition = self.find_partition()
        contents = list(_split_records(self.request.body))
        if sum(map(len, contents)) > self.server.call_bytes:
            return 413, {"error": "too large"}
        if self.server.count_bytes() >= self.server.capacity_bytes:
            return 507, {"error": "full"}
        rejection = self._check_producer(partition)
        if rejection is not None:
            return rejection
        at = self.get_query_argument("at", None)
        if at is not None and int(at) != partition.end:
            return 412, {"end": partition.end}
        first = partition.append(contents)
        response = (200, {"offset": first, "end": partition.end})
        self._record_append(partition, response)
        return response

    def _get_producer(self):
        name = self.get_query_argument("producer", None)
        epoch = int(self.get_query_argument("epoch", "0"))
        return name, epoch, int(self.get_query_argument("sequence", "0"))

    def _check_producer(self, partition):
        name, epoch, sequence = self._get_producer()
        if name is None or name not in partition.producers:
            return None
        known_epoch, responses = partition.producers[name]
        if epoch < known_epoch:
            return 409, {"why": "fenced"}
        if epoch > known_epoch or not responses:
            return None
        if sequence in responses:
            return responses[sequence]
        expected = max(responses) + 1
        if sequence != expected:
            return 409, {"why": "seq", "sequence": expected}
        return None

    def _record_append(self, partition, response):
        name, epoch, sequence = self._get_producer()
        if name is None:
            return
        known_epoch, responses = partition.producers.get(name, (epoch, {}))
        if epoch > known_epoch:
            responses = {}
        if self.request.body:
            responses[sequence] = response
        for old in sorted(responses)[:-MAX_PRODUCER_APPENDS]:
            del responses[old]
        partition.producers[name] = (epoch, responses)


def _split_records(body):
    at = 0
    while at < len(body):
        (size,) = LENGTH_PREFIX.unpack_from(body, at)
        at += LENGTH_PREFIX.size
        yield body[at : at + size]
        at += size


class _ReadHandler(_Handler):
    async def get(self):
        partition = self.find_partition()
        start = int(self.get_query_argument("from"))
        if start < partition.first:
            await self.respond({"first": partition.first}, 410)
            return
        deadline = time.monotonic() + self._get_wait_s()
        while start >= partition.end and time.monotonic() < deadline:
            try:
                async with asyncio.timeout(deadline - time.monotonic()):
                    await partition.changed.wait()
            except TimeoutError:
                break
        contents = partition.records[start - partition.first :]
        contents = contents[: self.server.read_records]
        body = READ_HEADER.pack(partition.end, partition.first)
        for content in contents:
            body += LENGTH_PREFIX.pack(len(content)) + content
        await self.respond(body)

    def _get_wait_s(self):
        return int(self.get_query_argument("wait_ms", "0")) / 1000


class _NewestHandler(_Handler):
    async def get(self):
        partition = self.find_partition()
        after = self.get_query_argument("after", "")
        keys = sorted(key for key in partition.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(partition.newest[key][0]).decode(),
                "offset": partition.newest[key][1],
            }
            for key in keys[: self.server.page_items]
        ]
        await self.respond(
            {
                "items": items,
                "has_more": len(keys) > self.server.page_items,
                "end": partition.end,
            }
        )


class _TrimHandler(_Handler):
    async def post(self):
        self.find_partition().trim(int(self.get_query_argument("before")))
        await self.respond({})


class _GroupHandler(_Handler):
    def find_group(self, body):
        return self.server.get_group(body["group"])


class _JoinHandler(_GroupHandler):
    async def post(self):
        body = self.read_json_object()
        group = self.find_group(body)
        member = body["member"]
        if member not in group.members or not group.topics >= set(body["topics"]):
            group.generation += 1
        group.topics |= set(body["topics"])
        group.members[member] = time.monotonic() + body["ttl_ms"] / 1000
        rows = [
            [t, p, offset]
            for t, p, name, offset in group.list_assignments()
            if name == member
        ]
        await self.respond({"generation": group.generation, "parts": rows})


class _LeaveHandler(_GroupHandler):
    async def post(self):
        body = self.read_json_object()
        group = self.find_group(body)
        if group.members.pop(body["member"], None) is not None:
            group.generation += 1
        await self.respond({})


class _CommitHandler(_GroupHandler):
    async def post(self):
        body = self.read_json_object()
        group = self.find_group(body)
        key = (body["topic"], body["part"])
        found = [row for row in group.list_assignments() if (row[0], row[1]) == key]
        if not found or found[0][2] != body["member"]:
            await self.respond({"error": "not the holder"}, 409)
            return
        group.offsets[key] = body["offset"]
        await self.respond({})


class _OwnersHandler(_GroupHandler):
    async def get(self):
        group = self.server.get_group(self.get_query_argument("group"))
        await self.respond({"parts": group.list_assignments()})
