"""Dispatches the items of the jobs whose shards this entry owns.

Items go to agents that report free capacity. Between workspaces, the one that was
served the fewest tokens relative to its weight goes first, counted at the agents over
all entries. Within a workspace, the job with the earliest deadline goes first.

An item that was running when its target failed may be the cause of the failure. It is
retried alone on an engine, and only failures of such solo runs count as attempts. So
it can't fail together with other items, and other items' failures don't count
against it.
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

MAX_LOG_LAG_S = 2.0
DISPATCH_INTERVAL_S = 0.25
STOP_TIMEOUT_S = 1.0
READ_RETRY_DELAY_S = 0.5


@dataclasses.dataclass(slots=True)
class _ActiveJob:
    """Dispatch state of one open job in an owned shard.

    Attributes:
        shard: `pimentowick.batch.shard.Shard`.
        epoch: Epoch under which this process owns the shard.
        job: `pimentowick.batch.state.Job`.
        chunk_starts: Number of the first item of each chunk.
        pending: Queue of items to run.
        suspects: Queue of items to run alone, because their target failed.
        running: Task by item.
        progress: `pimentowick.batch.item.Progress` by item, for started items.
        crashes: Number of solo runs during which the target failed, by item.
        cached_chunk: Number and items of the last chunk that was read.
        read_lock: Lock that lets one task at a time read a chunk.
    """

    shard: object
    epoch: int
    job: object
    chunk_starts: list
    pending: collections.deque
    suspects: collections.deque
    running: dict = dataclasses.field(default_factory=dict)
    progress: dict = dataclasses.field(default_factory=dict)
    crashes: dict = dataclasses.field(default_factory=dict)
    cached_chunk: tuple | None = None
    read_lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    def get_sort_key(self):
        """Return the key that orders the jobs of a workspace."""
        deadline = math.inf if self.job.deadline is None else self.job.deadline
        return deadline, self.job.at


class Dispatcher:
    """Dispatches the items of all owned shards.

    Args:
        table: `pimentowick.batch.shard.ShardTable`.
        fleet: `pimentowick.membership.fleet.Fleet`.
        client: `pimentowick.client.Client` for batch traffic.
        control: `pimentowick.client.Client` for control requests to agents.
        writer: `pimentowick.batch.writer.ResultWriter`.
        get_weight: Function that returns the weight of a workspace by its name.
        settings: `pimentowick.settings.EntrySettings`.
        owner: Name under which this process owns shards.
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
        self._active_jobs = {}
        self._served = scheduling_token_accounting.TokenAccounting()
        self._running = 0
        self._paused = False
        self._supervisor = supervisor.Supervisor("dispatch")

    async def start(self):
        """Start the dispatch task."""
        await self._supervisor.start()
        self._supervisor.start_child("dispatch", self._dispatch)

    async def close(self):
        """Stop dispatching and cancel all running items."""
        await self._supervisor.close()
        for active_job in list(self._active_jobs.values()):
            await self._cancel_tasks(active_job)

    async def drain(self, timeout_s):
        """Stop starting items, and wait for running items to finish.

        Args:
            timeout_s: Maximum wait, in seconds.
        """
        self._paused = True
        deadline = time.monotonic() + timeout_s
        while self._running and time.monotonic() < deadline:
            await asyncio.sleep(DISPATCH_INTERVAL_S / 5)
        await self._writer.flush()

    def is_caught_up(self):
        """Return whether the ledgers of all owned shards are up to date.

        Leases may be renewed only while this holds. A process that can't read the log
        would miss that a job was cancelled or that another process owns the shard.
        """
        now = time.monotonic()
        return all(
            now - shard.replica.caught_up_at < MAX_LOG_LAG_S
            for shard in self._table.list_owned()
            if shard.replica.caught_up_at is not None
        )

    async def stop_job(self, job_id):
        """Cancel a job's items here and at all agents, and wait until none runs.

        Raises:
            UnavailableError: An agent did not confirm the request.
        """
        active_job = self._active_jobs.pop(job_id, None)
        if active_job is not None:
            await self._cancel_tasks(active_job)
        peers = list(self._fleet.peers.values())
        requests = [self._send_stop_job(peer, job_id) for peer in peers]
        failed = [
            error
            for error in await asyncio.gather(*requests, return_exceptions=True)
            if error is not None
        ]
        if failed:
            raise exception.UnavailableError(
                f"An agent did not confirm that {job_id} is stopped: {failed[0]}"
            )

    async def _send_stop_job(self, peer, job_id):
        if peer.report.get("kind") != "engine":
            return
        await self._control.fetch(
            "POST",
            peer.address,
            "/stop-job",
            {"job": job_id},
            timeout_s=STOP_TIMEOUT_S,
            # A pooled connection may be half-open. The request would then be lost, and
            # the caller would wait until all leases have expired.
            new_connection=True,
        )

    async def _cancel_tasks(self, active_job):
        tasks = list(active_job.running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _dispatch(self):
        while True:
            try:
                async with asyncio.timeout(DISPATCH_INTERVAL_S):
                    await self._fleet.changed.wait()
            except TimeoutError:
                pass
            self._fleet.changed.clear()
            await self._update_active_jobs()
            self._update_served_tokens()
            while not self._paused and self._start_next():
                pass

    def _update_served_tokens(self):
        self._served.retain_agents(self._fleet.peers)
        for name, peer in self._fleet.peers.items():
            if "batch_served" in peer.report:
                self._served.record_report(name, peer.report["batch_served"])

    async def _update_active_jobs(self):
        """Add the open jobs of owned shards, and remove all other jobs."""
        owned = {shard.number: shard for shard in self._table.list_owned()}
        for job_id, active_job in list(self._active_jobs.items()):
            shard = owned.get(active_job.shard.number)
            current = (
                shard is active_job.shard and shard.ledger.epoch == active_job.epoch
            )
            if not current:
                self._writer.drop(active_job.shard.number)
            # Loading a checkpoint creates new job objects. The old object would stay
            # open forever, even after a cancellation.
            known = current and shard.ledger.jobs.get(job_id) is active_job.job
            if not known or active_job.job.state != "open":
                # `stop_job` may remove the job while this task awaits.
                self._active_jobs.pop(job_id, None)
                await self._cancel_tasks(active_job)
        for shard in owned.values():
            for job in shard.ledger.list_open_jobs():
                if job.id not in self._active_jobs:
                    self._active_jobs[job.id] = _make_active_job(shard, job)
        self._fleet.set_batch_services(
            {active_job.job.model for active_job in self._active_jobs.values()}
        )

    def _start_next(self):
        """Start one item, and return whether one was started."""
        if self._running >= self._settings.max_batch or self._writer.is_full:
            return False
        by_workspace = collections.defaultdict(list)
        for active_job in self._active_jobs.values():
            if active_job.pending or active_job.suspects:
                by_workspace[active_job.job.workspace].append(active_job)
        for name in self._served.sort(by_workspace):
            for active_job in sorted(by_workspace[name], key=_ActiveJob.get_sort_key):
                if self._try_start(active_job):
                    return True
        return False

    def _try_start(self, active_job):
        peers = [
            peer
            for peer in self._fleet.list_candidates(active_job.job.model, "engine")
            if self._is_usable(peer, active_job.shard)
        ]
        if active_job.suspects:
            idle = [peer for peer in peers if peer.batch == 0]
            if idle:
                self._start(
                    active_job, active_job.suspects.popleft(), idle[0], solo=True
                )
                return True
            # A solo run needs an idle engine, whatever capacity the others have.
            self._fleet.record_backlog(active_job.job.model, math.inf)
        with_capacity = [peer for peer in peers if peer.batch < peer.window]
        if not active_job.pending:
            return False
        if not with_capacity:
            self._fleet.record_backlog(active_job.job.model, len(active_job.pending))
            return False
        peer = max(with_capacity, key=lambda each: each.window - each.batch)
        self._start(active_job, active_job.pending.popleft(), peer, solo=False)
        return True

    def _is_usable(self, peer, shard):
        # A lease granted after the last read of the log may belong to a process that
        # was suspended: the log may hold a cancellation that it has not read.
        caught_up_at = shard.replica.caught_up_at
        return (
            bool(peer.lease)
            and not peer.solo
            and caught_up_at > peer.lease_requested_at
        )

    def _start(self, active_job, item, peer, solo):
        peer.batch += 1
        peer.solo = solo
        self._running += 1
        workspace = active_job.job.workspace
        cost = self._served.begin(workspace, self._get_weight(workspace))
        task = asyncio.create_task(self._run_item(active_job, item, peer, solo))
        active_job.running[item] = task
        task.add_done_callback(
            lambda done: self._on_task_done(active_job, item, peer, solo, cost, done)
        )

    def _on_task_done(self, active_job, item, peer, solo, cost, task):
        self._served.end(active_job.job.workspace, cost)
        # The item may have been restarted before this callback ran.
        if active_job.running.get(item) is task:
            del active_job.running[item]
        peer.batch -= 1
        if solo:
            peer.solo = False
        self._running -= 1
        self._fleet.changed.set()

    async def _run_item(self, active_job, item, peer, solo):
        try:
            body = await self._read_body(active_job, item)
        except exception.LogTruncatedError as error:
            self._on_body_lost(active_job, item, error)
            return
        except exception.LogError as error:
            logger.warning("dispatch: {} item {}: {}", active_job.job.id, item, error)
            # Without a delay, each dispatch round would send another read to a log
            # that is down.
            await asyncio.sleep(READ_RETRY_DELAY_S)
            active_job.pending.append(item)
            return
        progress = active_job.progress.setdefault(item, batch_item.Progress())
        workspace = active_job.job.workspace
        self._served.record_cost(workspace, body["max_tokens"] - len(progress.texts))
        result = await batch_item.run_item(
            self._client,
            peer,
            self._owner,
            active_job.job,
            item,
            body,
            progress,
            self._get_weight(workspace),
            self._settings.idle_s,
        )
        self._on_result(active_job, item, peer, solo, body, result)

    def _on_result(self, active_job, item, peer, solo, body, result):
        if result.outcome is batch_item.Outcome.DONE:
            self._fleet.record_success(peer)
            self._complete_item(active_job, item, result.status, result.body)
        elif result.outcome is batch_item.Outcome.NOT_RUN:
            self._on_not_run(active_job, item, peer, solo, result.refusal)
        else:
            self._fleet.record_failure(peer)
            self._on_target_failure(active_job, item, solo, body, result.refusal)

    def _on_not_run(self, active_job, item, peer, solo, refusal):
        if refusal is not None and refusal.code == "no_slot":
            peer.window = peer.batch - 1
        elif refusal is not None and refusal.code == "draining":
            self._fleet.record_draining(peer)
        elif refusal is not None and refusal.code == "lease_lapsed":
            self._fleet.on_lease_expired(peer)
        elif refusal is not None:
            self._fleet.record_failure(peer)
        queue = active_job.suspects if solo else active_job.pending
        queue.appendleft(item)

    def _on_target_failure(self, active_job, item, solo, body, refusal):
        crashes = active_job.crashes.get(item, 0)
        if solo:
            crashes += 1
            active_job.crashes[item] = crashes
            self._supervisor.start_child(
                f"{active_job.job.id}-{item}",
                self._append_suspect,
                active_job,
                item,
                crashes,
            )
        if crashes < self._settings.item_attempts:
            active_job.suspects.append(item)
            return
        final = dataclasses.replace(
            refusal,
            code="attempts_exhausted",
            message=f"The target failed in each of {crashes} attempts."
            f" {refusal.message}",
            verdict=verdict.Verdict.MAY_HAVE_RUN,
            retry_after=None,
        )
        failure = batch_item.make_failure(body, final)
        self._complete_item(active_job, item, "failed", failure)

    def _on_body_lost(self, active_job, item, error):
        """Fail an item whose body is no longer in the log."""
        logger.error(
            "dispatch: {} item {} failed: its body is lost. {}",
            active_job.job.id,
            item,
            error,
        )
        ran = item in active_job.progress or item in active_job.crashes
        refusal = verdict.Refusal(
            410,
            "item_lost",
            f"Item {item} passed out of the log before it could run. Submit it again.",
            verdict.Verdict.MAY_HAVE_RUN if ran else verdict.Verdict.NOT_RUN,
        )
        failure = batch_item.make_failure({"custom_id": None}, refusal)
        self._complete_item(active_job, item, "failed", {**failure, "item": item})

    async def _append_suspect(self, active_job, item, crashes):
        """Append the count of failed solo runs for the next owner of the shard."""
        suspect = batch_record.make_suspect(
            active_job.epoch, active_job.job.id, item, crashes
        )
        try:
            await active_job.shard.replica.log.append(
                active_job.shard.stream, [suspect]
            )
        except exception.LogError as error:
            # The next owner then starts from a lower count, which is still bounded.
            logger.warning(
                "dispatch: {} item {}: failed solo run not recorded: {}",
                active_job.job.id,
                item,
                error,
            )

    def _complete_item(self, active_job, item, status, body):
        active_job.progress.pop(item, None)
        self._metrics.count_item(status)
        self._writer.add(
            active_job.shard, active_job.epoch, active_job.job.id, item, status, body
        )

    async def _read_body(self, active_job, item):
        number = bisect.bisect_right(active_job.chunk_starts, item) - 1
        async with active_job.read_lock:
            if active_job.cached_chunk is None or active_job.cached_chunk[0] != number:
                active_job.cached_chunk = (
                    number,
                    await self._read_chunk(active_job, number),
                )
            return active_job.cached_chunk[1][item - active_job.chunk_starts[number]]

    async def _read_chunk(self, active_job, number):
        shard = active_job.shard
        offset = shard.ledger.find_chunk(active_job.job, number).offset
        page = await shard.read_record(offset)
        if page.records and page.records[0][0] == offset:
            return page.records[0][1]["items"]
        # The chunk may have been relocated. It is lost only if an up-to-date replica
        # still refers to an offset that the log has dropped.
        await shard.replica.catch_up(self._settings.append_s)
        offset = shard.ledger.find_chunk(active_job.job, number).offset
        if offset < shard.replica.first:
            raise exception.LogTruncatedError(
                f"Chunk {number} of {active_job.job.id} at offset {offset} of"
                f" {shard.stream} is no longer in the log."
            )
        raise exception.LogUnavailableError(
            f"Chunk {number} of {active_job.job.id} has been relocated to offset"
            f" {offset} of {shard.stream}."
        )


def _make_active_job(shard, job):
    ledger = shard.ledger
    sizes = [ledger.find_chunk(job, i).size for i in range(ledger.count_chunks(job))]
    chunk_starts = [0, *itertools.accumulate(sizes)][:-1]
    waiting = [item for item, outcome in enumerate(job.outcomes) if outcome == 0]
    return _ActiveJob(
        shard=shard,
        epoch=ledger.epoch,
        job=job,
        chunk_starts=chunk_starts,
        pending=collections.deque(i for i in waiting if i not in job.suspects),
        suspects=collections.deque(i for i in waiting if i in job.suspects),
        crashes=dict(job.suspects),
    )
