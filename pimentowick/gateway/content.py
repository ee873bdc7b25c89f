"""Bodies and texts of batch jobs: written once, read where they are needed.

Notes:
    They are nearly all of a job's bytes. Each job has a partition of one of some keyed
    topics, in which its contents lie under their names. A reference says at which
    offset one was written, so that it is read alone and exactly; once the log has
    dropped that offset, the newest records of the job are read instead.

    A name is written once, or again with the same bytes, so that an append without an
    answer may be tried again and may land late.
"""

import asyncio
import collections
import dataclasses
import math
import random
import time
import zlib

from pimentowick import exception
from pimentowick.gateway import hedging
from pimentowick.platform import store as platform_store

__all__ = ["Contents", "MissingError", "Reference"]

FIRST_DELAY_S = 0.05
LAST_DELAY_S = 0.8
# Spread over many partitions, the newest records of one job come with those of few
# others.
TOPICS = 16
# Room for the key and the frame within the largest record of the store.
RECORD_MARGIN = 1_024
# Well below the store's limit of a call, for the frames of the records.
CALL_SHARE = 0.9
# Texts that callers read again and again; an entry has 200 MB or more.
CACHE_BYTES = 4_000_000
KILOBYTE = 1_024
# Contents that lie apart are read one a call, unless there are more of them.
MOST_READS = 4
# Frames and keys of the records beside their bytes.
FRAME_BYTES = 300


class MissingError(exception.LogError):
    """The store has no content of that name."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reference:
    """Where some bytes of a job lie.

    Attributes:
        name: Name among the contents of the job.
        offset: Offset of the first record in the job's partition.
        chunks: Number of records, one behind the other.
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
        """Return the reference that `encode` made a row of."""
        return cls(*row)

    def encode(self):
        """Return the reference as a row for a record."""
        return [self.name, self.offset, self.chunks, self.size]


class Contents:
    """Writes and reads the contents of jobs.

    Args:
        store: `pimentowick.platform.store.Store`.
        parts: Number of partitions of a topic.
        record_bytes: Largest record of the store.
        call_bytes: Most bytes of one append.
    """

    def __init__(self, store, parts, record_bytes, call_bytes):
        self._store = store
        self._parts = parts
        self._record_bytes = record_bytes - RECORD_MARGIN
        self._call_bytes = call_bytes * CALL_SHARE
        self._cache = collections.OrderedDict()
        self._cached_bytes = 0

    def _find_partition(self, job_id):
        number = zlib.crc32(job_id.encode()) % (TOPICS * self._parts)
        topic, part = divmod(number, self._parts)
        return platform_store.make_topic_name(f"contents{topic}"), part

    async def put(self, job_id, named, timeout_s):
        """Write some contents of a job, again and again until they are written.

        Args:
            job_id: Identifier of the job.
            named: Bytes by name.
            timeout_s: How long to try, in seconds.

        Returns:
            The `Reference` objects by name.

        Raises:
            LogError: Not all of them are known to be written.
        """
        found = {}
        ends_at = time.monotonic() + timeout_s
        for call in self._split_calls(job_id, named):
            records = [record for group in call.values() for record in group]
            end = await self._append(job_id, records, ends_at)
            offset = end - len(records)
            for name, group in call.items():
                found[name] = Reference(name, offset, len(group), len(named[name]))
                offset += len(group)
        return found

    async def _append(self, job_id, records, ends_at):
        topic, part = self._find_partition(job_id)
        delay = FIRST_DELAY_S
        while True:
            try:
                async with asyncio.timeout(ends_at - time.monotonic()):
                    return await hedging.hedge(
                        lambda: self._store.append(topic, part, records, None)
                    )
            except TimeoutError:
                raise exception.LogError("The store took no contents.") from None
            except exception.LogError:
                if time.monotonic() + delay >= ends_at:
                    raise
            await asyncio.sleep(delay * random.uniform(0.5, 1.0))
            delay = min(delay * 2, LAST_DELAY_S)

    def _split_calls(self, job_id, named):
        """Return the records by name for each append that is needed."""
        calls = [{}]
        size = 0
        for name, value in named.items():
            if calls[-1] and size + len(value) > self._call_bytes:
                calls.append({})
                size = 0
            calls[-1][name] = self._make_records(job_id, name, value)
            size += len(value)
        return calls

    def _make_records(self, job_id, name, value):
        count = max(1, math.ceil(len(value) / self._record_bytes))
        # An empty record would drop the key, so each begins with a byte of its own.
        return [
            platform_store.KeyedRecord(
                _make_key(job_id, name, index),
                b"+" + value[index * self._record_bytes :][: self._record_bytes],
            )
            for index in range(count)
        ]

    async def drop(self, job_id, references):
        """Drop some contents that nobody reads any more.

        Raises:
            LogError: They are not known to be dropped.
        """
        topic, part = self._find_partition(job_id)
        records = [
            platform_store.KeyedRecord(_make_key(job_id, found.name, index), b"")
            for found in references
            for index in range(found.chunks)
        ]
        if records:
            await self._store.append(topic, part, records, None)

    async def drop_all(self, job_id):
        """Drop whatever a job has.

        Raises:
            LogError: It is not known to be dropped.
        """
        topic, part = self._find_partition(job_id)
        found = await self._store.read_prefix(topic, part, _make_key(job_id, "", None))
        records = [platform_store.KeyedRecord(record.key, b"") for record in found]
        if records:
            await self._store.append(topic, part, records, None)

    def has(self, job_id, references):
        """Return whether all of some contents are kept here."""
        return all((job_id, found.name) in self._cache for found in references)

    async def read(self, job_id, references, keep=True):
        """Return some contents of a job, bytes by name.

        Args:
            job_id: Identifier of the job.
            references: The `Reference` objects.
            keep: Whether they are kept for a while, since they may be asked for again.

        Raises:
            MissingError: The store does not have all of them.
            LogError: The store gives no answer.
        """
        found = {}
        wanted = []
        for reference in references:
            cached = self._get_cached(job_id, reference.name)
            if cached is None:
                wanted.append(reference)
            else:
                found[reference.name] = cached
        groups = _group_neighbours(wanted)
        if len(groups) > MOST_READS:
            found |= _choose(job_id, wanted, await self.read_all(job_id))
        else:
            for named in await asyncio.gather(
                *(self._read_group(job_id, group) for group in groups)
            ):
                found |= named
        if keep:
            for name, value in found.items():
                self._keep(job_id, name, value)
        return found

    async def _read_group(self, job_id, group):
        named = await self._read_log(job_id, group)
        if not all(_is_whole(reference, named) for reference in group):
            named = await self.read_all(job_id)
        return _choose(job_id, group, named)

    async def _read_log(self, job_id, group):
        """Return what of a group the log still has, by its offsets."""
        topic, part = self._find_partition(job_id)
        size = sum(entry.size + FRAME_BYTES * entry.chunks for entry in group)
        try:
            page = await hedging.hedge(
                lambda: self._store.read(
                    topic, part, group[0].offset, max_kb=math.ceil(size / KILOBYTE)
                )
            )
        except exception.LogTruncatedError:
            return {}
        return _join(job_id, page.records)

    async def read_all(self, job_id):
        """Return all contents of a job that are not dropped, bytes by name.

        Raises:
            LogError: The store gives no answer.
        """
        topic, part = self._find_partition(job_id)
        prefix = _make_key(job_id, "", None)
        found = await hedging.hedge(
            lambda: self._store.read_prefix(topic, part, prefix)
        )
        return _join(job_id, found)

    def _get_cached(self, job_id, name):
        value = self._cache.get((job_id, name))
        if value is not None:
            self._cache.move_to_end((job_id, name))
        return value

    def _keep(self, job_id, name, value):
        if (job_id, name) in self._cache:
            return
        self._cache[job_id, name] = value
        self._cached_bytes += len(value)
        while self._cached_bytes > CACHE_BYTES:
            _, dropped = self._cache.popitem(last=False)
            self._cached_bytes -= len(dropped)


def _make_key(job_id, name, index):
    """Return the key of a chunk, or what all keys of a job begin with.

    The end of the name is marked, so that a chunk of one is never taken for another's.
    """
    return f"{job_id}/{name}" if index is None else f"{job_id}/{name}#{index:05d}"


def _join(job_id, records):
    """Return the bytes by name of the records of a job that are whole."""
    chunks = {}
    prefix = _make_key(job_id, "", None)
    for record in records:
        if record.value and record.key.startswith(prefix):
            name, _, index = record.key[len(prefix) :].rpartition("#")
            chunks.setdefault(name, {})[int(index)] = record.value[1:]
    return {
        name: b"".join(found[index] for index in sorted(found))
        for name, found in chunks.items()
    }


def _choose(job_id, references, named):
    """Return what is referred to of some contents."""
    for reference in references:
        if not _is_whole(reference, named):
            raise MissingError(f"{job_id} has no whole {reference.name}.")
    return {reference.name: named[reference.name] for reference in references}


def _is_whole(reference, named):
    return reference.name in named and len(named[reference.name]) == reference.size


def _group_neighbours(references):
    """Return the references in groups whose records lie one behind the other."""
    groups = []
    for entry in sorted(references, key=lambda found: found.offset):
        last = groups[-1][-1] if groups else None
        if last is not None and last.offset + last.chunks == entry.offset:
            groups[-1].append(entry)
        else:
            groups.append([entry])
    return groups
