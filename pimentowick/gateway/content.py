"""Storage of item bodies and texts, written once and read on demand.

Notes:
    These contents are most of the bytes of a job. Each job is hashed to a partition of
    one of several keyed topics and stores its contents there by name. A reference holds
    the log offset of a content, so that it can be read directly. If the log has been
    truncated past that offset, the newest records of the job are read instead.

    A name is only ever written with the same bytes, so that an append is idempotent and
    can be retried.
"""

import asyncio
import collections
import dataclasses
import math
import random
import time
import zlib

from pimentowick import exception
from pimentowick.gateway import hedging, record
from pimentowick.platform import store as platform_store

__all__ = ["Contents", "MissingError", "Reference"]

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.8
# With many partitions, reading a job by prefix scans few records of other jobs.
TOPIC_COUNT = 16
# Leaves room for the key and the framing within the store's limit of a record.
RECORD_OVERHEAD_BYTES = 1_024
# Leaves room for record framing within the store's limit of a call.
MAX_CALL_SHARE = 0.9
# Callers read the same texts repeatedly.
CACHE_BYTES = 4_000_000
KIBIBYTE = 1_024
# Above this number of separate offset ranges, all contents of the job are read.
MAX_LOG_READS = 4
# Far more records than a partition ever gets.
MAX_OFFSET = 10**12
# Framing and key of a record.
FRAME_OVERHEAD_BYTES = 300


class MissingError(exception.LogError):
    """The store does not hold the referenced content."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reference:
    """Location of one content of a job.

    Attributes:
        name: Name among the contents of the job.
        offset: Offset of the first record in the job's partition.
        chunks: Number of consecutive records.
        size: Number of bytes.

    Examples:
        >>> found = Reference("b/0", 17, 1, 15_000)
        >>> Reference.decode(found.encode()) == found
        True
    """

    name: str
    offset: int
    chunks: int
    size: int

    @classmethod
    def decode(cls, row):
        """Return the reference encoded in a row."""
        return cls(*row)

    def encode(self):
        """Return the reference as a row of a record."""
        return [self.name, self.offset, self.chunks, self.size]


class Contents:
    """Writes and reads the contents of jobs.

    Args:
        store: `pimentowick.platform.store.Store`.
        partition_count: Number of partitions of each topic.
        record_bytes: Maximum size of a record, in bytes.
        call_bytes: Maximum size of one append, in bytes.
    """

    def __init__(self, store, partition_count, record_bytes, call_bytes):
        self._store = store
        self._partition_count = partition_count
        self._record_bytes = record_bytes - RECORD_OVERHEAD_BYTES
        self._call_bytes = call_bytes * MAX_CALL_SHARE
        self._cache = collections.OrderedDict()
        self._cached_bytes = 0

    def _find_partition(self, job_id):
        number = zlib.crc32(job_id.encode()) % (TOPIC_COUNT * self._partition_count)
        topic, partition = divmod(number, self._partition_count)
        return platform_store.make_topic_name(f"contents{topic}"), partition

    def estimate_references(self, contents):
        """Return references at least as large as those of contents to be written.

        Args:
            contents: Bytes by name.
        """
        return {
            name: Reference(name, MAX_OFFSET, self._count_chunks(value), len(value))
            for name, value in contents.items()
        }

    def _count_chunks(self, value):
        return max(1, math.ceil(len(value) / self._record_bytes))

    async def put(self, job_id, contents, timeout_s):
        """Write contents of a job, with retries.

        Args:
            job_id: Identifier of the job.
            contents: Bytes by name.
            timeout_s: Timeout of all attempts, in seconds.

        Returns:
            The `Reference` objects by name.

        Raises:
            LogError: Some contents may not be written.
        """
        references = {}
        deadline = time.monotonic() + timeout_s
        for batch in self._split_batches(job_id, contents):
            records = [chunk for _, chunk in batch]
            end = await self._append(job_id, records, deadline)
            for offset, (name, _) in enumerate(batch, end - len(records)):
                if name not in references:
                    value = contents[name]
                    references[name] = Reference(
                        name, offset, self._count_chunks(value), len(value)
                    )
        return references

    async def _append(self, job_id, records, deadline):
        topic, partition = self._find_partition(job_id)
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                async with asyncio.timeout(deadline - time.monotonic()):
                    return await hedging.hedge(
                        lambda: self._store.append(topic, partition, records, None)
                    )
            except TimeoutError:
                raise exception.LogError(
                    f"{job_id}: the contents were not written before the timeout."
                ) from None
            except exception.LogError:
                if time.monotonic() + backoff_s >= deadline:
                    raise
            await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    def _split_batches(self, job_id, contents):
        """Return pairs of name and record, split into appends within the size limit.

        Only a content that exceeds the limit by itself is split. Its records may not be
        consecutive and are then read by their keys.
        """
        batches = [[]]
        size = 0
        for name, value in contents.items():
            records = self._make_records(job_id, name, value)
            needed = len(value)
            for chunk in records:
                if batches[-1] and size + needed > self._call_bytes:
                    batches.append([])
                    size = 0
                batches[-1].append((name, chunk))
                size += len(chunk.value)
                needed = len(chunk.value)
        return batches

    def _make_records(self, job_id, name, value):
        count = self._count_chunks(value)
        # An empty value is a tombstone, so each value starts with a marker byte.
        return [
            platform_store.KeyedRecord(
                _make_key(job_id, name, index),
                b"+" + value[index * self._record_bytes :][: self._record_bytes],
            )
            for index in range(count)
        ]

    async def delete(self, job_id, references):
        """Delete the given contents of a job.

        Raises:
            LogError: The append was not acknowledged.
        """
        topic, partition = self._find_partition(job_id)
        records = [
            platform_store.KeyedRecord(_make_key(job_id, reference.name, index), b"")
            for reference in references
            for index in range(reference.chunks)
        ]
        if records:
            await self._store.append(topic, partition, records, None)

    async def delete_all(self, job_id):
        """Delete all contents of a job.

        Raises:
            LogError: The append was not acknowledged.
        """
        topic, partition = self._find_partition(job_id)
        newest_records = await self._store.read_prefix(
            topic, partition, _make_key(job_id, "", None)
        )
        records = [
            platform_store.KeyedRecord(newest.key, b"")
            for newest in newest_records
            if _find_name(job_id, newest.key)
        ]
        if records:
            await self._store.append(topic, partition, records, None)

    def has_cached(self, job_id, references):
        """Return whether the cache holds all of the given contents."""
        return all((job_id, reference.name) in self._cache for reference in references)

    async def read(self, job_id, references, cache=True):
        """Return the given contents of a job, bytes by name.

        Args:
            job_id: Identifier of the job.
            references: The `Reference` objects.
            cache: Whether to add the contents to the cache.

        Raises:
            MissingError: The store does not hold all of them.
            LogError: The store did not answer.
        """
        loaded = {}
        missing = []
        for reference in references:
            cached = self._get_cached(job_id, reference.name)
            if cached is None:
                missing.append(reference)
            else:
                loaded[reference.name] = cached
        groups = _group_contiguous(missing)
        if len(groups) > MAX_LOG_READS:
            loaded |= _select(job_id, missing, await self.read_all(job_id))
        else:
            for contents in await asyncio.gather(
                *(self._read_group(job_id, group) for group in groups)
            ):
                loaded |= contents
        if cache:
            for name, value in loaded.items():
                self._add_to_cache(job_id, name, value)
        return loaded

    async def _read_group(self, job_id, group):
        contents = await self._read_log(job_id, group)
        if not all(_is_complete(reference, contents) for reference in group):
            contents = await self.read_all(job_id)
        return _select(job_id, group, contents)

    async def _read_log(self, job_id, group):
        """Return the contents of a group that are still at their offsets in the log."""
        topic, partition = self._find_partition(job_id)
        size = sum(
            reference.size + FRAME_OVERHEAD_BYTES * reference.chunks
            for reference in group
        )
        try:
            page = await hedging.hedge(
                lambda: self._store.read(
                    topic,
                    partition,
                    group[0].offset,
                    max_kb=math.ceil(size / KIBIBYTE),
                )
            )
        except exception.LogTruncatedError:
            return {}
        return _join_chunks(job_id, page.records)

    async def read_all(self, job_id):
        """Return all contents of a job, bytes by name.

        Raises:
            LogError: The store did not answer.
        """
        topic, partition = self._find_partition(job_id)
        prefix = _make_key(job_id, "", None)
        newest_records = await hedging.hedge(
            lambda: self._store.read_prefix(topic, partition, prefix)
        )
        return _join_chunks(job_id, newest_records)

    def _get_cached(self, job_id, name):
        value = self._cache.get((job_id, name))
        if value is not None:
            self._cache.move_to_end((job_id, name))
        return value

    def _add_to_cache(self, job_id, name, value):
        if (job_id, name) in self._cache:
            return
        self._cache[job_id, name] = value
        self._cached_bytes += len(value)
        while self._cached_bytes > CACHE_BYTES:
            _, dropped = self._cache.popitem(last=False)
            self._cached_bytes -= len(dropped)


def _make_key(job_id, name, index):
    """Return the key of a chunk, or the key prefix of a job if `index` is None.

    A separator ends the name, so that no name is a prefix of another one's keys.
    """
    return f"{job_id}/{name}" if index is None else f"{job_id}/{name}#{index:05d}"


def _find_name(job_id, key):
    """Return the name of a content by its key, or "" if it belongs to another job.

    The identifier of another job may begin with that of this one and a separator.
    """
    try:
        owner, name = record.split_content_name(key.rpartition("#")[0])
    except ValueError:
        return ""
    return name if owner == job_id else ""


def _join_chunks(job_id, records):
    """Join the chunks of each name; return bytes by name."""
    chunks = {}
    for chunk in records:
        name = _find_name(job_id, chunk.key)
        if chunk.value and name:
            index = int(chunk.key.rpartition("#")[2])
            chunks.setdefault(name, {})[index] = chunk.value[1:]
    return {
        name: b"".join(values[index] for index in sorted(values))
        for name, values in chunks.items()
    }


def _select(job_id, references, contents):
    """Return the referenced contents; raise `MissingError` if one is incomplete."""
    for reference in references:
        if not _is_complete(reference, contents):
            raise MissingError(
                f"{job_id}: content {reference.name} is missing or incomplete."
            )
    return {reference.name: contents[reference.name] for reference in references}


def _is_complete(reference, contents):
    return (
        reference.name in contents and len(contents[reference.name]) == reference.size
    )


def _group_contiguous(references):
    """Group references whose records are contiguous in the log."""
    groups = []
    for reference in sorted(references, key=lambda item: item.offset):
        last = groups[-1][-1] if groups else None
        if last is not None and last.offset + last.chunks == reference.offset:
            groups[-1].append(reference)
        else:
            groups.append([reference])
    return groups
