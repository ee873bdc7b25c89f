"""Runs the items of the jobs that this entry owns.

Items go to agents that reported room for them. Between workspaces the one that was
served the fewest tokens for its weight comes first, counted at the agents over all
entries; within a workspace the job with the earliest deadline.

An item whose target died under it may be the cause. It is then run alone, and only
what happens to it alone counts against it, so that it takes no neighbour down and a
neighbour's fate is not held against it.
"""

import asyncio
import bisect
import collections
import dataclasses
import itertools
import math
import time

from loguru import logger

from pimentowick import exception, supervisor, verdict
from pimentowick.batch import item as batch_item
from pimentowick.batch import record as batch_record
from pimentowick.scheduling import token_accounting as scheduling_token_accounting

__all__ = ["Dispatcher"]

FRESH_S = 2.0
TURN_S = 0.25
STOP_TIMEOUT_S = 1.0
READ_PAUSE_S = 0.5


@dataclasses.dataclass(slots=True)
class _Work:
    """One open job of an owned shard.

    Attributes:
        shard: `pimentowick.batch.shard.Shard`.
        epoch: Epoch under which this process owns it.
        job: `pimentowick.batch.state.Job`.
        bounds: Number of the first item of each chunk.
        pending: Items that wait.
        suspects: Items that wait to be run alone.
        running: Tasks by item.
        progress: `pimentowick.batch.item.Progress` by item, for those begun.
        lost: Attempts that ended with the target's death, by item.
        chunk: Number and items of the chunk that was read last.
    """

    shard: object
    epoch: int
    job: object
    bounds: list
    pending: collections.deque
    suspects: collections.deque
    running: dict = dataclasses.field(default_factory=dict)
    progress: dict = dataclasses.field(default_factory=dict)
    lost: dict = dataclasses.field(default_factory=dict)
    chunk: tuple | None = None
    reading: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    def get_urgency(self):
        """Return the key by which the jobs of a workspace are ordered."""
        deadline = math.inf if self.job.deadline is None else self.job.deadline
        return deadline, self.job.at


class Dispatcher:
    """Dispatches the items of all owned shards.

    Args:
        table: `pimentowick.batch.shard.ShardTable`.
        fleet: `pimentowick.membership.fleet.Fleet`.
        client: `pimentowick.client.Client` for batch traffic.
        control: Client for orders to agents.
        writer: `pimentowick.batch.writer.ResultWriter`.
        get_weight: Function from a workspace's name to its share.
        settings: `pimentowick.settings.EntrySettings`.
        owner: Name of this process as an owner.
        metrics: `pimentowick.metrics.EntryMetrics`.
    """

    def __init__(
        self,
        table,
        fleet,
        client,
        control,
        writer,
        get_weight,
        settings,
        owner,
        metrics,
    ):
        self._table = table
        self._fleet = fleet
        self._client = client
        self._control = control
        self._writer = writer
        self._get_weight = get_weight
        self._settings = settings
        self._owner = owner
        self._metrics = metrics
        self._works = {}
        self._served = scheduling_token_accounting.TokenAccounting()
        self._running = 0
        self._paused = False
        self._supervisor = supervisor.Supervisor("dispatch")

    async def start(self):
        """Begin to dispatch."""
        await self._supervisor.start()
        self._supervisor.start_child("dispatch", self._dispatch)

    async def close(self):
        """Cancel what runs."""
        await self._supervisor.close()
        for work in list(self._works.values()):
            await self._cancel_work(work)

    async def drain(self, timeout_s):
        """Start no more items, and wait for those that run.

        Args:
            timeout_s: Longest wait, in seconds.
        """
        self._paused = True
        deadline = time.monotonic() + timeout_s
        while self._running and time.monotonic() < deadline:
            await asyncio.sleep(TURN_S / 5)
        await self._writer.flush()

    def is_fresh(self):
        """Return whether the ledgers of all owned shards are up to date.

        Only then may leases be renewed: a process that can't read the log would not
        see that a job was cancelled or that another one took over.
        """
        now = time.monotonic()
        return all(
            now - shard.replica.fresh_at < FRESH_S
            for shard in self._table.list_owned()
            if shard.replica.fresh_at is not None
        )

    async def stop_job(self, job_id):
        """Stop a job here and at the agents, and return once none of it runs.

        Raises:
            UnavailableError: An agent did not confirm it.
        """
        work = self._works.pop(job_id, None)
        if work is not None:
            await self._cancel_work(work)
        peers = list(self._fleet.peers.values())
        orders = [self._stop_at(peer, job_id) for peer in peers]
        failed = [
            error
            for error in await asyncio.gather(*orders, return_exceptions=True)
            if error is not None
        ]
        if failed:
            raise exception.UnavailableError(f"Not confirmed: {failed[0]}")

    async def _stop_at(self, peer, job_id):
        if peer.report.get("kind") != "engine":
            return
        await self._control.fetch(
            "POST",
            peer.address,
            "/stop-job",
            {"job": job_id},
            timeout_s=STOP_TIMEOUT_S,
            # On a pooled connection that is silent for good the order would be lost,
            # and the user would wait until all leases have lapsed.
            new_connection=True,
        )

    async def _cancel_work(self, work):
        tasks = list(work.running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _dispatch(self):
        while True:
            try:
                async with asyncio.timeout(TURN_S):
                    await self._fleet.changed.wait()
            except TimeoutError:
                pass
            self._fleet.changed.clear()
            await self._sync()
            self._read_served()
            while not self._paused and self._start_next():
                pass

    def _read_served(self):
        self._served.retain_agents(self._fleet.peers)
        for name, peer in self._fleet.peers.items():
            if "batch_served" in peer.report:
                self._served.record_report(name, peer.report["batch_served"])

    async def _sync(self):
        """Take up the open jobs of owned shards, and drop all others."""
        owned = {shard.number: shard for shard in self._table.list_owned()}
        for job_id, work in list(self._works.items()):
            shard = owned.get(work.shard.number)
            current = shard is work.shard and shard.ledger.epoch == work.epoch
            if not current:
                self._writer.drop(work.shard.number)
            # A copy that loaded a checkpoint has new objects; the old one would
            # stay open for ever, also after a cancellation.
            known = current and shard.ledger.jobs.get(job_id) is work.job
            if not known or work.job.state != "open":
                # Whoever stops a job while this waits has taken its work away.
                self._works.pop(job_id, None)
                await self._cancel_work(work)
        for shard in owned.values():
            for job in shard.ledger.list_open_jobs():
                if job.id not in self._works:
                    self._works[job.id] = _make_work(shard, job)
        self._fleet.set_batch_services(
            {work.job.model for work in self._works.values()}
        )

    def _start_next(self):
        """Start one item, and return whether there was one to start."""
        if self._running >= self._settings.max_batch or self._writer.is_full:
            return False
        by_workspace = collections.defaultdict(list)
        for work in self._works.values():
            if work.pending or work.suspects:
                by_workspace[work.job.workspace].append(work)
        for name in self._served.sort(by_workspace):
            for work in sorted(by_workspace[name], key=_Work.get_urgency):
                if self._try_start(work):
                    return True
        return False

    def _try_start(self, work):
        peers = [
            peer
            for peer in self._fleet.list_candidates(work.job.model, "engine")
            if self._may_use(peer, work.shard)
        ]
        if work.suspects:
            empty = [peer for peer in peers if peer.batch == 0]
            if empty:
                self._start(work, work.suspects.popleft(), empty[0], solo=True)
                return True
            # An empty engine is looked for, however much room the others have.
            self._fleet.record_backlog(work.job.model, math.inf)
        roomy = [peer for peer in peers if peer.batch < peer.window]
        if not work.pending:
            return False
        if not roomy:
            self._fleet.record_backlog(work.job.model, len(work.pending))
            return False
        peer = max(roomy, key=lambda each: each.window - each.batch)
        self._start(work, work.pending.popleft(), peer, solo=False)
        return True

    def _may_use(self, peer, shard):
        # A lease that is younger than the last look into the log was granted to a
        # process that may have slept: the log may hold a cancellation since.
        fresh_at = shard.replica.fresh_at
        return bool(peer.lease) and not peer.solo and fresh_at > peer.lease_requested_at

    def _start(self, work, item, peer, solo):
        peer.batch += 1
        peer.solo = solo
        self._running += 1
        workspace = work.job.workspace
        cost = self._served.begin(workspace, self._get_weight(workspace))
        task = asyncio.create_task(self._run(work, item, peer, solo))
        work.running[item] = task
        task.add_done_callback(
            lambda done: self._end(work, item, peer, solo, cost, done)
        )

    def _end(self, work, item, peer, solo, cost, task):
        self._served.end(work.job.workspace, cost)
        # The item may have been started again before this callback had its turn.
        if work.running.get(item) is task:
            del work.running[item]
        peer.batch -= 1
        if solo:
            peer.solo = False
        self._running -= 1
        self._fleet.changed.set()

    async def _run(self, work, item, peer, solo):
        try:
            body = await self._read_body(work, item)
        except exception.LogTruncatedError as error:
            self._take_gone(work, item, error)
            return
        except exception.LogError as error:
            logger.warning("dispatch: {} item {}: {}", work.job.id, item, error)
            # Started again at once, it would ask a log that is down without a
            # pause, as often as the loop turns.
            await asyncio.sleep(READ_PAUSE_S)
            work.pending.append(item)
            return
        progress = work.progress.setdefault(item, batch_item.Progress())
        workspace = work.job.workspace
        self._served.record_cost(workspace, body["max_tokens"] - len(progress.texts))
        result = await batch_item.run_item(
            self._client,
            peer,
            self._owner,
            work.job,
            item,
            body,
            progress,
            self._get_weight(workspace),
            self._settings.idle_s,
        )
        self._take_result(work, item, peer, solo, body, result)

    def _take_result(self, work, item, peer, solo, body, result):
        if result.outcome is batch_item.Outcome.DONE:
            self._fleet.record_success(peer)
            self._finish(work, item, result.status, result.body)
        elif result.outcome is batch_item.Outcome.NOT_RUN:
            self._take_not_run(work, item, peer, solo, result.refusal)
        else:
            self._fleet.record_failure(peer)
            self._take_lost(work, item, solo, body, result.refusal)

    def _take_not_run(self, work, item, peer, solo, refusal):
        if refusal is not None and refusal.code == "no_slot":
            peer.window = peer.batch - 1
        elif refusal is not None and refusal.code == "draining":
            self._fleet.record_draining(peer)
        elif refusal is not None and refusal.code == "lease_lapsed":
            self._fleet.on_lease_expired(peer)
        elif refusal is not None:
            self._fleet.record_failure(peer)
        queue = work.suspects if solo else work.pending
        queue.appendleft(item)

    def _take_lost(self, work, item, solo, body, refusal):
        lost = work.lost.get(item, 0)
        if solo:
            lost += 1
            work.lost[item] = lost
            self._supervisor.start_child(
                f"{work.job.id}-{item}", self._note_suspect, work, item, lost
            )
        if lost < self._settings.item_attempts:
            work.suspects.append(item)
            return
        final = dataclasses.replace(
            refusal,
            code="attempts_exhausted",
            message=f"The target failed in each of {lost} attempts. {refusal.message}",
            verdict=verdict.Verdict.MAY_HAVE_RUN,
            retry_after=None,
        )
        failure = batch_item.make_failure(body, final)
        self._finish(work, item, "failed", failure)

    def _take_gone(self, work, item, error):
        """End an item whose body the log has dropped; no attempt can run it."""
        logger.error("dispatch: {} item {} is lost. {}", work.job.id, item, error)
        ran = item in work.progress or item in work.lost
        refusal = verdict.Refusal(
            410,
            "item_lost",
            f"Item {item} passed out of the log before it could run. Submit it again.",
            verdict.Verdict.MAY_HAVE_RUN if ran else verdict.Verdict.NOT_RUN,
        )
        failure = batch_item.make_failure({"custom_id": None}, refusal)
        self._finish(work, item, "failed", {**failure, "item": item})

    async def _note_suspect(self, work, item, lost):
        """Keep the count of attempts for the next owner of the shard."""
        note = batch_record.make_suspect(work.epoch, work.job.id, item, lost)
        try:
            await work.shard.replica.log.append(work.shard.stream, [note])
        except exception.LogError as error:
            # The next owner would count from an older figure; still bounded.
            logger.warning("dispatch: A suspect was not noted. {}", error)

    def _finish(self, work, item, status, body):
        work.progress.pop(item, None)
        self._metrics.count_item(status)
        self._writer.add(work.shard, work.epoch, work.job.id, item, status, body)

    async def _read_body(self, work, item):
        number = bisect.bisect_right(work.bounds, item) - 1
        async with work.reading:
            if work.chunk is None or work.chunk[0] != number:
                work.chunk = (number, await self._read_chunk(work, number))
            return work.chunk[1][item - work.bounds[number]]

    async def _read_chunk(self, work, number):
        shard = work.shard
        offset = shard.ledger.find_chunk(work.job, number).offset
        page = await shard.read_one(offset)
        if page.records and page.records[0][0] == offset:
            return page.records[0][1]["items"]
        # It may have been appended again further on. Only a copy that is up to date
        # and still names a place that the log has dropped proves the loss.
        await shard.replica.catch_up(self._settings.append_s)
        offset = shard.ledger.find_chunk(work.job, number).offset
        if offset < shard.replica.first:
            raise exception.LogTruncatedError(f"Chunk {number} is gone from the log.")
        raise exception.LogUnavailableError(f"Chunk {number} has moved.")


def _make_work(shard, job):
    ledger = shard.ledger
    sizes = [ledger.find_chunk(job, i).size for i in range(ledger.count_chunks(job))]
    bounds = [0, *itertools.accumulate(sizes)][:-1]
    waiting = [item for item, outcome in enumerate(job.outcomes) if outcome == 0]
    return _Work(
        shard=shard,
        epoch=ledger.epoch,
        job=job,
        bounds=bounds,
        pending=collections.deque(i for i in waiting if i not in job.suspects),
        suspects=collections.deque(i for i in waiting if i in job.suspects),
        lost=dict(job.suspects),
    )
