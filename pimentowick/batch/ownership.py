"""Shard ownership: claims, renewals, takeovers and releases.

The log decides whether a claim is in force, alike for every reader. The timeouts here
only decide when to try a claim. An owner proves that it is alive by its records, and
is replaced if it writes none while jobs are open. Silence is measured in iterations
of a local loop, so that a process that was suspended does not count its own pause as
silence of the owner.
"""

import asyncio
import time

from loguru import logger

from pimentowick import exception, supervisor
from pimentowick.batch import record as batch_record
from pimentowick.batch import shard as batch_shard

__all__ = [
    "Ownership",
    "get_host_name",
]

CHECK_INTERVAL_S = 0.25
RANK_DELAY_S = 1.0
REMOVED_HOST_DELAY_S = 1.0
RENEWALS_PER_TAKEOVER = 3
CLAIM_RETRY_S = 1.0
# Rank of an entry that does not follow the shard, after all followers.
NON_FOLLOWER_RANK = 9


class _OwnerWatch:
    """Observed liveness of one shard's owner."""

    def __init__(self):
        self.owner_offset = None
        self.silent_s = 0.0
        self.renewed_at = 0.0
        self.claimed_at = 0.0


class Ownership:
    """Claims shards, renews their ownership, and releases them.

    Args:
        table: `pimentowick.batch.shard.ShardTable`.
        fleet: `pimentowick.membership.fleet.Fleet`.
        settings: `pimentowick.settings.EntrySettings`.
        owner: Name under which this process owns shards, unique to each start.
        metrics: `pimentowick.metrics.EntryMetrics`.
    """

    def __init__(self, table, fleet, settings, owner, metrics):
        self._table = table
        self._fleet = fleet
        self._settings = settings
        self._owner = owner
        self._metrics = metrics
        self._releasing = False
        self._supervisor = supervisor.Supervisor("ownership")

    async def start(self):
        """Start watching the owners of followed shards."""
        await self._supervisor.start()
        self._supervisor.start_child("watch", self._update_tasks)

    async def close(self):
        """Stop watching; owned shards stay owned until another entry claims them."""
        await self._supervisor.close()

    async def release_all(self):
        """Release all owned shards, so that other entries can claim them at once."""
        self._releasing = True
        # A claim in flight could make this process an owner again after the release.
        await self._supervisor.close()
        for shard in self._table.list_owned():
            release = batch_record.make_release(shard.ledger.epoch)
            try:
                await shard.replica.append([release], self._settings.append_s)
            except exception.LogError as error:
                # Other entries take over after the timeout, as after a crash.
                logger.warning(
                    "ownership: release of shard {} failed: {}", shard.number, error
                )

    async def _update_tasks(self):
        """Run one watch task for each followed shard.

        With a shared task, a slow append for one shard would delay the renewals of
        the others, and other entries would take them over from a live owner.
        """
        watched = {}
        while True:
            followed = dict(self._table.followed)
            for number, shard in followed.items():
                if watched.get(number) is not shard:
                    name = f"shard {number}"
                    self._supervisor.start_child(name, self._watch_loop, shard)
            for number in set(watched) - set(followed):
                self._supervisor.stop_child(f"shard {number}")
            watched = followed
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _watch_loop(self, shard):
        watch = _OwnerWatch()
        while True:
            began = time.monotonic()
            await asyncio.sleep(CHECK_INTERVAL_S)
            elapsed = min(time.monotonic() - began, 2 * CHECK_INTERVAL_S)
            await self._watch_shard(shard, watch, elapsed)

    async def _watch_shard(self, shard, watch, elapsed):
        ledger = shard.ledger
        if not shard.replica.ready or self._releasing:
            return
        if ledger.owner == self._owner:
            await self._renew(shard, watch)
            return
        self._update_silence(shard, watch, elapsed)
        if not ledger.list_open_jobs():
            return
        if watch.silent_s >= self._get_claim_delay(shard):
            await self._claim(shard, watch)

    def _update_silence(self, shard, watch, elapsed):
        if shard.ledger.owner_offset != watch.owner_offset:
            watch.owner_offset = shard.ledger.owner_offset
            watch.silent_s = 0.0
        elif self._is_reading(shard):
            watch.silent_s += elapsed
        if not shard.ledger.list_open_jobs():
            # An owner without open jobs writes no records.
            watch.silent_s = 0.0

    def _is_reading(self, shard):
        age = time.monotonic() - shard.replica.caught_up_at
        # A read that the log holds open reports its state from when it began. Without
        # this allowance, a short takeover time would never be reached.
        limit = self._settings.takeover_s / RENEWALS_PER_TAKEOVER
        return age < batch_shard.READ_WAIT_S + limit

    def _get_claim_delay(self, shard):
        """Return how long the owner may be silent before this entry claims, in s."""
        names = self._table.list_followers(shard.number)
        rank = (
            names.index(self._settings.name)
            if self._settings.name in names
            else NON_FOLLOWER_RANK
        )
        owner = shard.ledger.owner
        if owner is None:
            return rank * RANK_DELAY_S
        host = get_host_name(owner)
        if host == self._settings.name:
            # An earlier process of this host; it can't be alive beside this one.
            return 0.0
        if host not in self._table.list_entry_names():
            return REMOVED_HOST_DELAY_S + rank * RANK_DELAY_S
        return self._settings.takeover_s + rank * RANK_DELAY_S

    async def _claim(self, shard, watch):
        now = time.monotonic()
        if now - watch.claimed_at < CLAIM_RETRY_S:
            return
        watch.claimed_at = now
        epoch = shard.ledger.epoch + 1
        claim = batch_record.make_claim(epoch, self._owner, time.time())
        try:
            await shard.replica.append([claim], self._settings.append_s)
        except exception.LogError as error:
            logger.warning(
                "ownership: claim of shard {} failed: {}", shard.number, error
            )
            return
        if shard.ledger.owner == self._owner:
            logger.info(
                "ownership: acquired shard {} with epoch {}", shard.number, epoch
            )
            self._metrics.count_claim()
            self._fleet.changed.set()

    async def _renew(self, shard, watch):
        if not shard.ledger.list_open_jobs():
            return
        now = time.monotonic()
        if shard.ledger.owner_offset != watch.owner_offset:
            watch.owner_offset = shard.ledger.owner_offset
            watch.renewed_at = now
        if now - watch.renewed_at < self._settings.takeover_s / RENEWALS_PER_TAKEOVER:
            return
        watch.renewed_at = now
        renew = batch_record.make_renew(shard.ledger.epoch)
        try:
            await shard.replica.log.append(shard.stream, [renew])
        except exception.LogError as error:
            logger.warning(
                "ownership: renewal of shard {} failed: {}", shard.number, error
            )


def get_host_name(owner):
    """Return the name of the host that an owner's process runs on.

    Examples:
        >>> get_host_name("entry-1#a1b2")
        'entry-1'
    """
    return owner.partition("#")[0]
