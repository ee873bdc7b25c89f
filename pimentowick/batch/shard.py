"""The shards that an entry follows.

A job or keyed call falls to the shard that its id names. Each shard is one stream of
the log, followed by a few entries; the others pass requests about it on to these.
"""

import asyncio
import hashlib

from loguru import logger

from pimentowick import exception, rendezvous, supervisor
from pimentowick.batch import ledger as batch_ledger
from pimentowick.replication import replica as replication_replica

__all__ = ["Shard", "ShardTable", "find_shard", "rank_entries"]

WATCH_S = 0.5
# Owners know what the log held at most about twice this time ago.
READ_WAIT_S = 0.5
# Nobody acts on the age of a shard without open jobs; a new job ends the wait.
IDLE_READ_WAIT_S = 1.0


def find_shard(key, shards):
    """Return the number of the shard that a job or call falls to.

    Examples:
        >>> 0 <= find_shard("batch_00", 8) < 8
        True
    """
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % shards


def rank_entries(number, names):
    """Return the names of entries in the order in which they follow a shard.

    Rendezvous hashing: an entry that goes moves only the shards that it followed.

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
    """One shard and the copy of its ledger."""

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

    async def read_one(self, offset):
        """Return the `pimentowick.external.log.Page` of the record at an offset.

        The page is empty, or begins further on, if the log has dropped the record.

        Read twice if need be: the pooled connection to the log may have fallen
        silent for good, and the second read takes a new one. Without that a caller
        would see an outage of a log that is well.

        Raises:
            LogUnavailableError: The log gave no answer.
        """
        try:
            return await self.replica.log.read(self.stream, offset, limit=1)
        except exception.LogUnavailableError:
            return await self.replica.log.read(self.stream, offset, limit=1)


class ShardTable:
    """Follows the shards that fall to this entry.

    Args:
        log: `pimentowick.external.log.Log`.
        fleet: `pimentowick.membership.fleet.Fleet`, which knows the entries.
        settings: `pimentowick.settings.EntrySettings`.
        owner: Name of this process as an owner.

    Attributes:
        followed: `Shard` by number.
    """

    def __init__(self, log, fleet, settings, owner):
        self.followed = {}
        self._wanted = 0
        self._log = log
        self._fleet = fleet
        self._settings = settings
        self._owner = owner
        self._supervisor = supervisor.Supervisor("shards")

    async def start(self):
        """Begin to follow."""
        await self._supervisor.start()
        self._supervisor.start_child("watch", self._watch)

    async def close(self):
        """Stop following."""
        await self._supervisor.close()
        for shard in self.followed.values():
            await shard.replica.close()

    async def _watch(self):
        seen = None
        while True:
            names = self.list_names()
            if self._fleet.hosts_read_at is not None and names != seen:
                await self._follow_all()
                # What is still owned is left once it has been given up.
                seen = names if len(self.followed) == self._wanted else None
            await asyncio.sleep(WATCH_S)

    async def _follow_all(self):
        self._wanted = 0
        for number in range(self._settings.shards):
            # With hundreds of entries one shard takes about a millisecond to rank;
            # all of them at once would hold up the requests of the moment.
            await asyncio.sleep(0)
            followers = self.list_followers(number)
            wanted = self._settings.name in followers
            self._wanted += wanted
            if wanted and number not in self.followed:
                shard = Shard(number, self._log)
                self.followed[number] = shard
                await shard.replica.start()
            elif not wanted and number in self.followed:
                await self._leave(number)

    async def _leave(self, number):
        shard = self.followed[number]
        if shard.ledger.owner == self._owner:
            # It is given up first; its work ends with the record that says so.
            return
        del self.followed[number]
        await shard.replica.close()
        logger.info("shards: No longer follows shard {}.", number)

    def list_names(self):
        """Return the names of the entries that may follow, this one included."""
        names = {name for name, host in self._fleet.entries.items() if not host.leaving}
        names.add(self._settings.name)
        return names

    def list_followers(self, number):
        """Return the names of the entries that follow a shard, best first."""
        return rank_entries(number, self.list_names())[: self._settings.followers]

    def find(self, key):
        """Return the `Shard` of a job or call, or None if it is not followed here."""
        return self.followed.get(find_shard(key, self._settings.shards))

    def list_owned(self):
        """Return the shards that this process owns."""
        return [
            shard
            for shard in self.followed.values()
            if shard.ledger.owner == self._owner
        ]
