"""Running the items of batch jobs at targets."""

import asyncio
import collections
import time

from pimentowick import exception
from pimentowick.gateway import (
    decision,
    execution,
    ownership,
    preparation,
    route_removal,
    transcript,
    upstream,
)
from pimentowick.gateway.policy import (
    batch_queue,
    preemption,
    service_time,
    target_choice,
)

__all__ = ["Runner"]

# How often what waits is looked at when nothing changes.
TICK_S = 0.1
IDLE_S = 1.0
# Longer than it takes to record that an item is given up.
REMOVED_EVERY_S = 2.0
# News of neighbours comes some tens of times a second. Items are preempted at once;
# what waits is put in order less often, since that costs more.
LEAST_PAUSE_S = 0.005
LOOK_PAUSE_S = 0.02
RECORD_TIMEOUT_S = 20.0
# For a text that another entry goes on after: it reads what is recorded by then.
HAND_OVER_S = 2.0
# Pause of an item after a failure, doubled with each.
FAILURE_PAUSE_S = 0.2
LONGEST_PAUSE_S = 2.0
UNREACHED_PAUSE_S = 0.1
# Clocks of hosts differ, by a step of seconds at times: no item is given up early.
CLOCK_MARGIN_S = 5.0


class Runner:
    """Runs the items that are this entry's.

    Args:
        name: Name of this entry among its neighbours.
        failure_domain: Failure domain of this entry.
        storage: `pimentowick.gateway.job_storage.JobStorage`.
        table: `pimentowick.gateway.target.TargetTable`.
        pools: Function from a target to its `upstream.Pool`.
        health: `pimentowick.gateway.health.Health`.
        get_configuration: Function that returns the configuration in force, or None.
        parts: Number of parts of the work.
        metrics: `pimentowick.gateway.metric.Metrics`.
        on_change: Function called when a run starts or ends.
    """

    def __init__(
        self,
        name,
        failure_domain,
        storage,
        table,
        pools,
        health,
        get_configuration,
        parts,
        metrics,
        on_change,
    ):
        self._name = name
        self._failure_domain = failure_domain
        self._storage = storage
        self._preparation = preparation.Preparation(
            storage.contents, self._take_contents
        )
        self._table = table
        self._pools = pools
        self._health = health
        self._get_configuration = get_configuration
        self._parts = parts
        self._metrics = metrics
        self._on_change = on_change
        self._runs = {}
        self._service_times = {}
        self._wake = asyncio.Event()
        self._saving = set()
        self._collected = None
        self._next_round_at = 0.0
        self._next_look_at = 0.0
        self._removed = route_removal.RemovedRoutes()
        self._next_removed_at = 0.0
        self._ending = set()
        self._recording = collections.Counter()
        self._listing = set()
        self.owned = frozenset()
        self.neighbours = None

    def list_runs(self):
        """Return what this entry has to run or runs."""
        return list(self._runs.values())

    def own(self, parts):
        """Run the items of these parts from now on, and of no others."""
        self._preparation.note_parts(self.owned, parts)
        self.owned = parts
        # What is not run any more is recorded before neighbours hear that it is free.
        self._collect()
        self._on_change()
        self._wake.set()

    @property
    def recording(self):
        """Parts that were given up, and whose texts are not recorded yet."""
        return frozenset(self._recording)

    def wake(self):
        """Look at what waits and what has to be preempted soon."""
        if self.owned or self._runs:
            self._wake.set()

    async def run(self):
        """Start and stop runs until cancelled."""
        while True:
            try:
                async with asyncio.timeout(self._get_pause()):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            self.preempt()
            self._look_at_waiting()
            await asyncio.sleep(LEAST_PAUSE_S)

    def _look_at_waiting(self):
        now = time.monotonic()
        if now < self._next_look_at:
            return
        self._next_look_at = now + LOOK_PAUSE_S
        self._collect()
        self._give_up_removed()
        self._start_waiting()

    def _get_pause(self):
        """Return how long nothing has to be looked at."""
        if not self.owned and not self._runs:
            # Most of many entries have no part of the batch work.
            return IDLE_S
        next_at = max(self._next_round_at, self._next_look_at)
        left_s = next_at - time.monotonic()
        return min(TICK_S, left_s) if left_s > 0 else TICK_S

    async def close(self):
        """Stop all runs and record how far they are."""
        self.owned = frozenset()
        for key, run in self._runs.items():
            self._hand_over(key, run, RECORD_TIMEOUT_S)
        self._runs.clear()
        await self._preparation.close()
        await asyncio.gather(*self._saving, return_exceptions=True)

    def preempt(self):
        """Take items off targets that have more requests than places."""
        running = {}
        for run in self._runs.values():
            if run.target is not None:
                running.setdefault(run.target.id, []).append(run)
        for runs in running.values():
            target = runs[0].target
            peers = self.neighbours.get_batch_counts(target.id)
            count = preemption.count_preemptions(target, self._name, peers)
            runs.sort(key=lambda run: run.steps_done)
            for run in runs[:count]:
                self._metrics.count_item("preempted")
                decision.note_request(
                    "item.preempted",
                    run.item.id,
                    job=run.job.id,
                    target=target.id,
                    online=target.all_online,
                    batch=target.all_batch,
                    slots=target.slots,
                    events=run.steps_done,
                )
                self._cancel(run)

    def _collect(self):
        """Bring the runs in line with the books and the parts owned."""
        seen = set()
        configuration = self._get_configuration()
        if configuration is None:
            return
        job_table = self._storage.job_table
        state = (configuration.version, self.owned, job_table.version)
        if state == self._collected:
            return
        self._collected = state
        if not self.owned and not self._runs:
            return
        for found in list(job_table.open_jobs.values()):
            part = ownership.find_part(found.id, self._parts)
            if part not in self.owned:
                continue
            route = configuration.find_batch(found.host, found.path)
            if route is None:
                # The operator may bring the route back; its jobs wait.
                continue
            self._collect_job(found, part, route, seen)
        for key, run in list(self._runs.items()):
            if key not in seen:
                self._hand_over(key, run, HAND_OVER_S)
                del self._runs[key]

    def _collect_job(self, found, part, route, seen):
        runs = []
        for number in range(len(found.items)):
            key = (found.id, number)
            if not found.needs_run(number) or key in self._listing:
                continue
            seen.add(key)
            run = self._runs.get(key)
            if run is None or run.job is not found:
                if run is not None:
                    self._cancel(run)
                run = self._make_run(found, number, route)
                self._runs[key] = run
            if run.route is not route:
                run.route = route
                run.service = route.choose_service()
            if run.transcript.body is None and run.not_before <= time.monotonic():
                runs.append(run)
        if runs:
            self._preparation.prepare(found, part)

    def _make_run(self, found, number, route):
        made = transcript.Transcript(self._storage, found, number)
        taken = self._service_times.setdefault(route.name, service_time.ServiceTime())
        return execution.Run(found, route, route.choose_service(), made, taken)

    def _take_contents(self, job_id, named):
        """Take what was read of a job: its bodies, and texts that others recorded."""
        for key, run in self._runs.items():
            if key[0] == job_id and run.transcript.body is None:
                try:
                    run.transcript.take_contents(named)
                except exception.LogError as error:
                    # Its body is dropped once it is listed, which is not read yet.
                    decision.note_request("item.delayed", run.item.id, why=str(error))
                    run.not_before = time.monotonic() + FAILURE_PAUSE_S
                    loop = asyncio.get_running_loop()
                    loop.call_later(FAILURE_PAUSE_S, self._look_again)
        self.wake()

    def _look_again(self):
        self._collected = None
        self.wake()

    def _give_up_removed(self):
        """List the items of jobs whose route was removed as not done."""
        now = time.monotonic()
        configuration = self._get_configuration()
        if configuration is None or now < self._next_removed_at:
            return
        self._next_removed_at = now + REMOVED_EVERY_S
        job_table = self._storage.job_table
        for job in self._removed.list_given_up(job_table, configuration, now):
            if ownership.find_part(job.id, self._parts) not in self.owned:
                continue
            for number in range(len(job.items)):
                if job.needs_run(number):
                    made = transcript.Transcript(self._storage, job, number)
                    self._end_removed((job.id, number), made)

    def _end_removed(self, key, made):
        if key in self._ending:
            return

        async def end():
            try:
                await made.give_up(RECORD_TIMEOUT_S)
                outcome = "route_removed"
                decision.note_request("item.given_up", made.item.id, outcome=outcome)
            except exception.LogError as error:
                decision.note_request("item.delayed", made.item.id, why=str(error))
            finally:
                self._ending.discard(key)

        self._ending.add(key)
        self._keep(end())

    def _keep(self, work):
        """Run some work on records until it ends or this entry stops."""
        task = asyncio.create_task(work)
        self._saving.add(task)
        task.add_done_callback(self._saving.discard)

    def _start_waiting(self):
        now = time.monotonic()
        unix_now = time.time()
        waiting = [
            run
            for run in self._runs.values()
            if run.task is None
            and run.not_before <= now
            and run.transcript.body is not None
        ]
        ready = []
        for run in batch_queue.order_items(waiting, unix_now):
            given_up_at = run.job.submitted_s + run.route.abandon_after_s
            if unix_now > given_up_at + CLOCK_MARGIN_S:
                self._spawn(run, self._list_dead(run, "abandoned"))
            elif run.transcript.failures >= run.route.max_attempts:
                self._spawn(run, self._list_dead(run, "failed"))
            else:
                ready.append(run)
        self._tell_pending(ready, unix_now)
        if ready and now >= self._next_round_at:
            self._start_share(ready, now)

    def _tell_pending(self, ready, now):
        by_service = {}
        for run in ready:
            by_service.setdefault(run.service, []).append(run)
        pending = {
            service: round(batch_queue.weigh_pending(runs, now), 1)
            for service, runs in by_service.items()
        }
        if pending != self.neighbours.pending:
            self.neighbours.pending = pending
            self._on_change()

    def _start_share(self, ready, now):
        """Start as many items as are this entry's share of the free places."""
        allowed = {}
        for service in {run.service for run in ready}:
            room = target_choice.count_room(self._table.list_service(service), now)
            own = self.neighbours.pending.get(service, 0)
            others = max(0, self.neighbours.peers_pending[service])
            allowed[service] = batch_queue.count_starts(room, own, others)
        for run in ready:
            if not allowed[run.service]:
                continue
            target = target_choice.choose_for_batch(
                self._table.list_service(run.service), now, self._failure_domain
            )
            if target is None:
                allowed[run.service] = 0
                continue
            allowed[run.service] -= 1
            # What starts here is known to the others only after that.
            self._next_round_at = now + self.neighbours.round_s
            self._start(run, target)

    def _start(self, run, target):
        decision.note_request(
            "item.sent",
            run.item.id,
            job=run.job.id,
            target=target.id,
            online=target.all_online,
            batch=target.all_batch,
            slots=target.slots,
            after_event=run.transcript.last_event,
            left_s=run.left_s,
            due_in_s=run.due_at - time.time(),
        )
        run.is_whole = False
        run.target = target
        target.batch += 1
        self._on_change()
        self._spawn(run, self._run_item(run, target))

    def _spawn(self, run, work):
        async def guard():
            try:
                await work
            except exception.LogError as error:
                run.not_before = time.monotonic() + FAILURE_PAUSE_S
                decision.note_request("item.delayed", run.item.id, why=str(error))
            finally:
                if run.task is asyncio.current_task():
                    self._release(run)
                    run.task = None
                self.wake()

        run.task = asyncio.create_task(guard())

    def _release(self, run):
        if run.target is not None:
            run.target.batch -= 1
            run.target = None
            self._on_change()

    def _cancel(self, run):
        if run.task is not None:
            task, run.task = run.task, None
            self._release(run)
            task.cancel()

    def _hand_over(self, key, run, timeout_s):
        """Stop a run and record how far it is, for whoever goes on.

        Neighbours wait for it (see `pimentowick.gateway.handover`). A text that is
        whole goes on being listed: while the store is away, items end that would all
        have to run again.
        """
        part = ownership.find_part(run.job.id, self._parts)
        if run.is_whole and run.task is not None:
            self._listing.add(key)
            task = run.task
        else:
            self._cancel(run)
            last = execution.save_last(run.transcript, timeout_s)
            task = asyncio.create_task(last)
        self._recording[part] += 1
        self._saving.add(task)
        task.add_done_callback(lambda done: self._end_recording(key, part, done))

    def _end_recording(self, key, part, task):
        self._saving.discard(task)
        self._recording[part] -= 1
        if not self._recording[part]:
            del self._recording[part]
        if key in self._listing:
            self._listing.discard(key)
            # Not listed after all, it is looked at again.
            self._collected = None
        self._on_change()
        self.wake()

    async def _run_item(self, run, target):
        started_at = time.monotonic()
        outcome, sink = await execution.send(run, target, self._pools(target))
        self._health.note_outcome(target, outcome)
        self._metrics.count_item(outcome.why)
        decision.note_request(
            "item.ran",
            run.item.id,
            job=run.job.id,
            outcome=outcome.why,
            status=outcome.status,
            target=target.id,
            events=sink.events,
            last_event=run.transcript.last_event,
            failures=run.transcript.failures,
            took_s=time.monotonic() - started_at,
            due_in_s=run.due_at - time.time(),
        )
        run.service_time.note_run(sink.events, time.monotonic() - started_at)
        self._release(run)
        await self._conclude(run, outcome, sink)

    async def _conclude(self, run, outcome, sink):
        if outcome.end == upstream.End.WHOLE and outcome.status == 200:
            if sink.is_whole() and run.transcript.last_event is not None:
                run.service_time.note_item(run.transcript.count_events())
                run.is_whole = True
                await run.transcript.finish(RECORD_TIMEOUT_S)
                return
        if outcome.end == upstream.End.WHOLE and outcome.status == 422:
            await self._list_dead(run, "impossible")
            return
        if outcome.end == upstream.End.WHOLE and outcome.status == 500:
            await run.transcript.note_failure(RECORD_TIMEOUT_S)
        if sink.events:
            run.failures = 0
        run.failures += 1
        pause = FAILURE_PAUSE_S * 2 ** (run.failures - 1)
        if outcome.end == upstream.End.NOT_RUN:
            pause = UNREACHED_PAUSE_S
            run.failures = 0
        run.not_before = time.monotonic() + min(pause, LONGEST_PAUSE_S)

    async def _list_dead(self, run, why):
        await run.transcript.give_up(RECORD_TIMEOUT_S)
        decision.note_request(
            "item.given_up",
            run.item.id,
            job=run.job.id,
            outcome=why,
            failures=run.transcript.failures,
        )
