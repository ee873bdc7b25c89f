"""The shards that an entry follows.

The id of a job or of a call with an idempotency key determines its shard. Each shard
is one stream of the log and is followed by a few entries; other entries forward
requests about it to these.
"""

import asyncio
import hashlib

from loguru import logger

from pimentowick import exception, rendezvous, supervisor
from pimentowick.batch import ledger as batch_ledger
from pimentowick.replication import replica as replication_replica

__all__ = ["Shard", "ShardTable", "find_shard", "rank_entries"]

FOLLOW_INTERVAL_S = 0.5
# A read may start just before a new record, so an owner's view of the log is at most
# about twice as old as this.
READ_WAIT_S = 0.5
# The lag of a shard without open jobs is not used, and a new job ends the read.
IDLE_READ_WAIT_S = 1.0


def find_shard(key, shards):
    """Return the number of the shard that a job or call belongs to.

    Examples:
        >>> 0 <= find_shard("batch_00", 8) < 8
        True
    """
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % shards


def rank_entries(number, names):
    """Return entry names in the order in which they are chosen to follow a shard.

    Uses rendezvous hashing: removing an entry only moves the shards that it followed.

    Examples:
        >>> order = rank_entries(3, ["a", "b", "c"])
        >>> first, rest = order[0], order[1:]
        >>> rank_entries(3, rest) == rest
        True
    """
    return sorted(
        names, key=lambda name: rendezvous.compute_weight(number, name), reverse=True
    )


class Shard:
    """One shard and the local replica of its ledger."""

    def __init__(self, number, log):
        self.number = number
        self.ledger = batch_ledger.Ledger()
        self.replica = replication_replica.Replica(
            log, f"shard-{number}", self.ledger, self._get_wait
        )

    def _get_wait(self):
        if self.ledger.list_open_jobs():
            return READ_WAIT_S
        return IDLE_READ_WAIT_S

    @property
    def stream(self):
        """Name of the stream in the log."""
        return self.replica.stream

    async def read_record(self, offset):
        """Return the `pimentowick.external.log.Page` of the record at an offset.

        The page is empty, or starts at a later offset, if the log has dropped the
        record.

        The read is retried once, because the pooled connection may be half-open; the
        second read uses a new one. Otherwise callers would see an outage of a healthy
        log.

        Raises:
            LogUnavailableError: The log did not answer.
        """
        try:
            return await self.replica.log.read(self.stream, offset, limit=1)
        except exception.LogUnavailableError:
            return await self.replica.log.read(self.stream, offset, limit=1)


class ShardTable:
    """Follows the shards that are assigned to this entry.

    Args:
        log: `pimentowick.external.log.Log`.
        fleet: `pimentowick.membership.fleet.Fleet`, which lists the entries.
        settings: `pimentowick.settings.EntrySettings`.
        owner: Name under which this process owns shards.

    Attributes:
        followed: `Shard` by number, of the followed shards.
    """

    def __init__(self, log, fleet, settings, owner):
        self.followed = {}
        self._assigned_count = 0
        self._log = log
        self._fleet = fleet
        self._settings = settings
        self._owner = owner
        self._supervisor = supervisor.Supervisor("shards")

    async def start(self):
        """Start following the assigned shards."""
        await self._supervisor.start()
        self._supervisor.start_child("watch", self._follow_loop)

    async def close(self):
        """Stop following all shards."""
        await self._supervisor.close()
        for shard in self.followed.values():
            await shard.replica.close()

    async def _follow_loop(self):
        seen = None
        while True:
            names = self.list_entry_names()
            if self._fleet.hosts_read_at is not None and names != seen:
                await self._update_followed()
                # Shards that are still owned are unfollowed after their release.
                seen = names if len(self.followed) == self._assigned_count else None
            await asyncio.sleep(FOLLOW_INTERVAL_S)

    async def _update_followed(self):
        self._assigned_count = 0
        for number in range(self._settings.shards):
            # Ranking one shard among hundreds of entries takes about a millisecond.
            # Ranking all of them at once would delay online requests.
            await asyncio.sleep(0)
            followers = self.list_followers(number)
            is_assigned = self._settings.name in followers
            self._assigned_count += is_assigned
            if is_assigned and number not in self.followed:
                shard = Shard(number, self._log)
                self.followed[number] = shard
                await shard.replica.start()
            elif not is_assigned and number in self.followed:
                await self._unfollow(number)

    async def _unfollow(self, number):
        shard = self.followed[number]
        if shard.ledger.owner == self._owner:
            # It is unfollowed after its release, when the release record is read.
            return
        del self.followed[number]
        await shard.replica.close()
        logger.info("shards: stopped following shard {}", number)

    def list_entry_names(self):
        """Return the names of the entries that may follow shards, this one included."""
        names = {name for name, host in self._fleet.entries.items() if not host.leaving}
        names.add(self._settings.name)
        return names

    def list_followers(self, number):
        """Return the names of the entries that follow a shard, by descending rank."""
        return rank_entries(number, self.list_entry_names())[: self._settings.followers]

    def find(self, key):
        """Return the `Shard` of a job or call, or None if it is not followed."""
        return self.followed.get(find_shard(key, self._settings.shards))

    def list_owned(self):
        """Return the shards that this process owns."""
        return [
            shard
            for shard in self.followed.values()
            if shard.ledger.owner == self._owner
        ]
