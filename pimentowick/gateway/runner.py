"""Schedules and runs the items of batch jobs on targets."""

import asyncio
import collections
import time

from loguru import logger

from pimentowick import exception
from pimentowick.gateway import (
    decision_log,
    delivery,
    execution,
    ownership,
    prefetch,
    route_removal,
    transcript,
    upstream,
    waiting_items,
)
from pimentowick.gateway.policy import (
    backoff,
    batch_queue,
    delay_choice,
    preemption,
    service_time,
    target_choice,
)
from pimentowick.routing import quarantine

__all__ = ["Runner"]

# Upper bound on the time between two scheduling passes.
POLL_INTERVAL_S = 0.1
IDLE_POLL_INTERVAL_S = 1.0
# Exceeds the time that it takes to record an abandoned item.
REMOVED_ROUTES_INTERVAL_S = 2.0
# Load updates from peers arrive tens of times a second. Each one may preempt items;
# scheduling is more expensive and runs less often.
MIN_LOOP_INTERVAL_S = 0.005
MIN_SCHEDULE_INTERVAL_S = 0.02
RECORD_TIMEOUT_S = 20.0
# A new owner resumes from the last checkpoint, so this bounds the handover delay.
HANDOVER_TIMEOUT_S = 2.0
# Doubles with each consecutive failure.
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
UNREACHABLE_BACKOFF_S = 0.1
# Interval at which a quarantined item is checked again.
QUARANTINE_CHECK_S = 0.5
MAX_LOGGED_PARTS = 16
# Continuations without an event that show the end of an item without framing.
CONFIRMING_RUNS = 3
# Longer than a target is paused after a failed connection. The targets of a version may
# all be unreachable, or rest, for longer than an item may wait.
MAX_VERSION_WAIT_S = 5.0


class Runner:
    """Runs the items of the job partitions that this entry owns.

    Args:
        name: Name of this entry among its peers.
        failure_domain: Failure domain of this entry.
        storage: `pimentowick.gateway.job_storage.JobStorage`.
        table: `pimentowick.gateway.target.TargetTable`.
        get_pool: Function from a target to its `connection_pool.Pool`.
        health: `pimentowick.gateway.health.Health`.
        get_configuration: Function that returns the current configuration, or None.
        partition_count: Number of job partitions.
        metrics: `pimentowick.gateway.metric.Metrics`.
        on_change: Function called when the load of this entry changes.
        crash_guard: `pimentowick.gateway.crash_guard.SharedCrashGuard`.

    Attributes:
        owned_partitions: Numbers of the partitions whose items this entry runs.
        load_reporter: `pimentowick.gateway.load_report.LoadReporter`.
    """

    def __init__(
        self,
        name,
        failure_domain,
        storage,
        table,
        get_pool,
        health,
        get_configuration,
        partition_count,
        metrics,
        on_change,
        crash_guard,
    ):
        self._crash_guard = crash_guard
        self._name = name
        self._failure_domain = failure_domain
        self._storage = storage
        self._prefetcher = prefetch.ContentPrefetcher(
            storage.contents, self._on_contents_read
        )
        self._table = table
        self._get_pool = get_pool
        self._health = health
        self._get_configuration = get_configuration
        self._partition_count = partition_count
        self._metrics = metrics
        self._on_change = on_change
        self._runs = {}
        self._service_times = {}
        self._wake = asyncio.Event()
        self._background_tasks = set()
        self._reconciled_state = None
        self._next_start_at = 0.0
        self._next_schedule_at = 0.0
        self._removed_routes = route_removal.RemovedRouteTracker()
        self._next_removed_check_at = 0.0
        self._abandoning = set()
        self._recordings_in_flight = collections.Counter()
        self._results_in_flight = set()
        self.owned_partitions = frozenset()
        self.load_reporter = None

    def list_runs(self):
        """Return the `execution.Run` objects, both queued and running."""
        return list(self._runs.values())

    def log_long_waits(self):
        """Log the items that have waited for long, and why."""
        now = time.monotonic()
        waiting_items.log_long_waits(self.list_runs(), self._table, now)

    def set_partitions(self, partitions):
        """Run the items of these partitions, and stop all other runs."""
        self._prefetcher.update_partitions(self.owned_partitions, partitions)
        self.owned_partitions = partitions
        # Final checkpoints must be in flight before peers see the partitions as free.
        self._reconcile_runs()
        self._on_change()
        self._wake.set()

    @property
    def recording_partitions(self):
        """Released partitions with checkpoints or results still being written."""
        return frozenset(self._recordings_in_flight)

    def wake(self):
        """Trigger preemption and scheduling in the next loop iteration."""
        if self.owned_partitions or self._runs:
            self._wake.set()

    async def run(self):
        """Preempt and schedule items until cancelled."""
        while True:
            try:
                async with asyncio.timeout(self._get_poll_interval()):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            self.preempt()
            self._schedule()
            await asyncio.sleep(MIN_LOOP_INTERVAL_S)

    def _schedule(self):
        now = time.monotonic()
        if now < self._next_schedule_at:
            return
        self._next_schedule_at = now + MIN_SCHEDULE_INTERVAL_S
        self._reconcile_runs()
        self._abandon_items_without_route()
        self._start_ready()

    def _get_poll_interval(self):
        """Return the time until the next scheduling pass, in seconds."""
        if not self.owned_partitions and not self._runs:
            # With many entries, most of them own no partition.
            return IDLE_POLL_INTERVAL_S
        next_at = max(self._next_start_at, self._next_schedule_at)
        remaining_s = next_at - time.monotonic()
        return min(POLL_INTERVAL_S, remaining_s) if remaining_s > 0 else POLL_INTERVAL_S

    async def close(self):
        """Stop all runs and write their final checkpoints."""
        self.owned_partitions = frozenset()
        for key, run in self._runs.items():
            self._hand_over(key, run, RECORD_TIMEOUT_S)
        self._runs.clear()
        await self._prefetcher.close()
        await asyncio.gather(*self._background_tasks, return_exceptions=True)

    def preempt(self):
        """Preempt batch items on targets whose load exceeds their slots."""
        running = {}
        for run in self._runs.values():
            if run.target is not None:
                running.setdefault(run.target.id, []).append(run)
        for runs in running.values():
            target = runs[0].target
            peers = self.load_reporter.get_peer_batch_counts(target.id)
            count = preemption.count_preemptions(target, self._name, peers)
            for run in self._order_preemptions(runs)[:count]:
                self._metrics.count_item("preempted")
                decision_log.log_request_event(
                    "item.preempted",
                    run.item.id,
                    job=run.job.id,
                    target=target.id,
                    online=target.total_online,
                    batch=target.total_batch,
                    slots=target.slots,
                    events=run.events_generated,
                )
                self._cancel(run)

    def _order_preemptions(self, runs):
        if self._table.has_shared_hosts(runs[0].service):
            return preemption.order_by_loss(runs, time.time())
        return sorted(runs, key=lambda run: run.events_generated)

    def _reconcile_runs(self):
        """Reconcile the runs with the job table and the owned partitions."""
        seen = set()
        configuration = self._get_configuration()
        if configuration is None:
            return
        job_table = self._storage.job_table
        state = (configuration.version, self.owned_partitions, job_table.version)
        if state == self._reconciled_state:
            return
        self._reconciled_state = state
        if not self.owned_partitions and not self._runs:
            return
        for job in list(job_table.open_jobs.values()):
            partition = ownership.find_partition(job.id, self._partition_count)
            if partition not in self.owned_partitions:
                continue
            route = configuration.find_batch_route(job.host, job.path)
            if route is None:
                # The route may be restored; its jobs stay queued until then.
                continue
            self._reconcile_job(job, partition, route, seen)
        for key, run in list(self._runs.items()):
            if key not in seen:
                self._hand_over(key, run, HANDOVER_TIMEOUT_S)
                del self._runs[key]

    def _reconcile_job(self, job, partition, route, seen):
        runs = []
        for number in range(len(job.items)):
            key = (job.id, number)
            if not job.needs_run(number) or key in self._results_in_flight:
                continue
            seen.add(key)
            run = self._runs.get(key)
            if run is None or run.job is not job:
                if run is not None:
                    self._cancel(run)
                run = self._make_run(job, number, route)
                self._runs[key] = run
            if run.route is not route:
                run.route = route
                run.service = route.choose_service()
            if run.transcript.body is None and run.not_before <= time.monotonic():
                runs.append(run)
        if runs:
            self._prefetcher.start_reading(job, partition)

    def _make_run(self, job, number, route):
        item_transcript = transcript.Transcript(self._storage, job, number)
        route_service_time = self._service_times.setdefault(
            route.name, service_time.ServiceTimeEstimator()
        )
        return execution.Run(
            job, route, route.choose_service(), item_transcript, route_service_time
        )

    def _on_contents_read(self, job_id, contents):
        """Pass the bodies and checkpoints read for a job to its runs."""
        for key, run in self._runs.items():
            if key[0] == job_id and run.transcript.body is None:
                try:
                    run.transcript.load(contents, self._can_continue)
                except exception.LogError as error:
                    # The body is gone if the item has a result that is not read yet.
                    decision_log.log_request_event(
                        "item.delayed", run.item.id, why=str(error)
                    )
                    run.not_before = time.monotonic() + INITIAL_BACKOFF_S
                    loop = asyncio.get_running_loop()
                    loop.call_later(INITIAL_BACKOFF_S, self._retry_reconcile)
        self.wake()

    def _retry_reconcile(self):
        self._reconciled_state = None
        self.wake()

    def _abandon_items_without_route(self):
        """Record the items of jobs without a route as not done."""
        now = time.monotonic()
        configuration = self._get_configuration()
        if configuration is None or now < self._next_removed_check_at:
            return
        self._next_removed_check_at = now + REMOVED_ROUTES_INTERVAL_S
        job_table = self._storage.job_table
        for job in self._removed_routes.list_abandoned(job_table, configuration, now):
            if (
                ownership.find_partition(job.id, self._partition_count)
                not in self.owned_partitions
            ):
                continue
            for number in range(len(job.items)):
                if job.needs_run(number):
                    item_transcript = transcript.Transcript(self._storage, job, number)
                    self._abandon_item((job.id, number), item_transcript)

    def _abandon_item(self, key, item_transcript):
        if key in self._abandoning:
            return

        async def record_result():
            try:
                await item_transcript.abandon(RECORD_TIMEOUT_S)
                outcome = "route_removed"
                decision_log.log_request_event(
                    "item.given_up", item_transcript.item.id, outcome=outcome
                )
            except exception.LogError as error:
                decision_log.log_request_event(
                    "item.delayed", item_transcript.item.id, why=str(error)
                )
            finally:
                self._abandoning.discard(key)

        self._abandoning.add(key)
        self._start_background(record_result())

    def _start_background(self, coroutine):
        """Run a coroutine that `close` waits for."""
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def _start_ready(self):
        now = time.monotonic()
        unix_now = time.time()
        waiting = [
            run
            for run in self._runs.values()
            if run.task is None and run.not_before <= now
        ]
        ready = []
        for run in batch_queue.order_items(waiting, unix_now):
            age_s = run.job.compute_min_age_s(now, unix_now)
            if age_s > run.route.abandon_after_s:
                self._spawn(run, self._record_abandoned(run, "abandoned"))
            elif run.transcript.failures >= run.route.max_attempts:
                self._spawn(run, self._record_abandoned(run, "failed"))
            elif run.transcript.body is not None:
                ready.append(run)
        self._publish_pending(ready, unix_now)
        if ready and now >= self._next_start_at:
            self._start_share(ready, now)

    def _hold_quarantined(self, run, now):
        """Postpone an item that must not run now; return whether it is postponed."""
        step = self._choose_step(run)
        if step in (quarantine.Step.RUN, quarantine.Step.TRIAL):
            run.is_held = False
            return False
        # A run at another entry may release it at any time.
        run.not_before = now + QUARANTINE_CHECK_S
        if not run.is_held:
            run.is_held = True
            decision_log.log_request_event(
                "item.quarantined",
                run.item.id,
                job=run.job.id,
                fingerprint=run.fingerprint,
                quarantined=self._crash_guard.policy.list_quarantined(run.names),
                crashed=self._crash_guard.list_crashes(run.names),
                trials=self._crash_guard.policy.count_trials(run.names),
                retry_after_s=self._crash_guard.get_delay(run.names, is_deferred=True),
            )
        return True

    def _publish_pending(self, ready, now):
        by_service = {}
        for run in ready:
            by_service.setdefault(run.service, []).append(run)
        pending = {
            service: round(batch_queue.sum_pending_weight(runs, now), 1)
            for service, runs in by_service.items()
        }
        if pending != self.load_reporter.pending:
            self.load_reporter.pending = pending
            self._on_change()

    def _start_share(self, ready, now):
        """Start this entry's share of the items that fit into the free slots."""
        startable = {}
        for service in {run.service for run in ready}:
            free_slots = target_choice.count_batch_capacity(
                self._table.list_targets(service), now
            )
            own_pending = self.load_reporter.pending.get(service, 0)
            others = max(0, self.load_reporter.peers_pending[service])
            startable[service] = batch_queue.compute_entry_share(
                free_slots, own_pending, others
            )
            if not free_slots:
                _reset_blocks(ready, service)
        for run in ready:
            if not startable[run.service] or self._hold_quarantined(run, now):
                continue
            self._restart_if_version_is_gone(run)
            target = self._choose_target(run, now)
            if _is_blocked(run, target, now):
                self._restart_text(run, now)
                target = self._choose_target(run, now)
            if target is None and run.transcript.last_event is not None:
                # Targets of other versions may have room for the items behind it.
                run.record_block(now)
                continue
            if target is None:
                startable[run.service] = 0
                continue
            startable[run.service] -= 1
            # Peers learn of items started here only after the propagation delay.
            self._next_start_at = now + self.load_reporter.propagation_delay_s
            self._start(run, target)

    def _can_continue(self, origin):
        """Return whether a target may continue a text that began at this origin."""
        if origin is None or origin.software_version is None:
            return False
        return self._table.has_version(origin.service, origin.software_version)

    def _restart_if_version_is_gone(self, run):
        """Discard the text of an item that no target may continue."""
        origin = run.transcript.origin
        if run.transcript.last_event is None:
            return
        is_confirmable = run.unconfirmed < execution.MAX_UNCONFIRMED
        is_same_service = origin is not None and origin.service == run.service
        if not (is_confirmable and is_same_service and self._can_continue(origin)):
            self._restart_text(run, time.monotonic())

    def _restart_text(self, run, now):
        """Discard the text of an item."""
        origin = run.transcript.origin
        blocked_s = 0.0 if run.blocked_since is None else now - run.blocked_since
        self._metrics.count_item("restarted")
        decision_log.log_request_event(
            "item.restarted",
            run.item.id,
            job=run.job.id,
            service=run.service,
            began_at=None if origin is None else origin.service,
            version=None if origin is None else origin.software_version,
            unconfirmed=run.unconfirmed,
            blocked_s=blocked_s,
            events=run.transcript.count_events(),
        )
        run.transcript.restart()
        run.blocked_since = None

    def _choose_target(self, run, now):
        version = None
        if run.transcript.last_event is not None:
            version = run.transcript.origin.software_version
        targets = self._table.list_targets(run.service, version)
        untried = [each for each in targets if each.id not in run.unmet_targets]
        targets = untried or targets
        if self._table.has_shared_hosts(run.service):
            return delay_choice.choose_for_item(
                targets,
                now,
                self._failure_domain,
                run.remaining_s,
                run.due_at - time.time(),
            )
        return target_choice.choose_for_batch(targets, now, self._failure_domain)

    def _start(self, run, target):
        decision_log.log_request_event(
            "item.sent",
            run.item.id,
            job=run.job.id,
            target=target.id,
            version=target.registration.software_version,
            online=target.total_online,
            batch=target.total_batch,
            slots=target.slots,
            after_event=run.transcript.last_event,
            left_s=run.remaining_s,
            due_in_s=run.due_at - time.time(),
        )
        run.is_complete = False
        run.target = target
        target.batch += 1
        self._on_change()
        self._spawn(run, self._run_item(run, target))

    def _spawn(self, run, coroutine):
        async def guard():
            try:
                await coroutine
            except exception.LogError as error:
                self._delay(run, INITIAL_BACKOFF_S, error)
            except Exception as error:
                logger.exception("Unhandled error while running an item.")
                run.failures += 1
                self._delay(run, _compute_backoff_s(run.failures), error)
            finally:
                if run.task is asyncio.current_task():
                    self._release_slot(run)
                    run.task = None
                self.wake()

        run.task = asyncio.create_task(guard())

    def _delay(self, run, pause_s, error):
        """Start an item again after a pause."""
        run.not_before = time.monotonic() + pause_s
        decision_log.log_request_event("item.delayed", run.item.id, why=str(error))

    def _release_slot(self, run):
        if run.target is not None:
            run.target.batch -= 1
            run.target = None
            run.waits_since = time.monotonic()
            self._on_change()

    def _cancel(self, run):
        if run.task is not None:
            task, run.task = run.task, None
            self._release_slot(run)
            task.cancel()

    def _hand_over(self, key, run, timeout_s):
        """Stop a run and write its final checkpoint for the next owner.

        The next owner waits for it (see `pimentowick.gateway.handover`). If the text
        is complete, its result is still recorded, so that items which finish during
        an outage of the store do not run again.
        """
        partition = ownership.find_partition(run.job.id, self._partition_count)
        if run.is_complete and run.task is not None:
            self._results_in_flight.add(key)
            task = run.task
        else:
            self._cancel(run)
            final_checkpoint = execution.save_final(run.transcript, timeout_s)
            task = asyncio.create_task(final_checkpoint)
        self._recordings_in_flight[partition] += 1
        self._background_tasks.add(task)
        task.add_done_callback(lambda done: self._on_recorded(key, partition, done))

    def _on_recorded(self, key, partition, task):
        self._background_tasks.discard(task)
        self._recordings_in_flight[partition] -= 1
        if not self._recordings_in_flight[partition]:
            del self._recordings_in_flight[partition]
        if key in self._results_in_flight:
            self._results_in_flight.discard(key)
            # If no result was recorded, the item has to run again.
            self._reconciled_state = None
        self._on_change()
        self.wake()

    async def _run_item(self, run, target):
        step = self._choose_step(run)
        trials = []
        if step == quarantine.Step.TRIAL:
            trials = await self._crash_guard.start_trial(
                run.names, run.item.id, is_deferred=True
            )
        if step != quarantine.Step.RUN and not trials:
            run.not_before = time.monotonic() + QUARANTINE_CHECK_S
            return
        started_at = time.monotonic()
        events_before = run.events_generated
        try:
            outcome, sink = await self._send(run, target)
        except asyncio.CancelledError:
            has_begun = run.events_generated > events_before
            self._record_cancelled_run(run, has_begun, started_at, trials)
            raise
        self._health.observe_outcome(target, outcome)
        self._metrics.count_item(outcome.reason)
        self._metrics.count_responses(outcome)
        self.load_reporter.performance.record_duration(
            target,
            run.route.name,
            sink.event_times.compute_interval_s(),
            time.monotonic(),
        )
        decision_log.log_request_event(
            "item.ran",
            run.item.id,
            job=run.job.id,
            outcome=outcome.reason,
            status=outcome.status,
            target=target.id,
            events=sink.events,
            last_event=run.transcript.last_event,
            failures=run.transcript.failures,
            took_s=time.monotonic() - started_at,
            due_in_s=run.due_at - time.time(),
            **delivery.describe(outcome.received),
        )
        if outcome.end == upstream.End.COMPLETE:
            self._crash_guard.record_target_answer(target, started_at)
        if outcome.end == upstream.End.INCOMPLETE:
            self._record_lost_run(run, target, outcome, sink)
        if outcome.is_survival:
            self._crash_guard.record_survival(run.fingerprint)
            if sink.events:
                self._record_survived_parts(run, sink.event_times.first_at)
        elif not outcome.may_be_crash:
            self._crash_guard.cancel_trial(trials)
        run.service_time.record_run(sink.events, time.monotonic() - started_at)
        self._release_slot(run)
        if outcome.reason == upstream.CONDITION_NOT_MET:
            self._record_unmet(run, target)
        await self._handle_outcome(run, outcome, sink)

    def _record_unmet(self, run, target):
        """Record that a target does not meet the condition of an item."""
        run.unmet_targets.add(target.id)
        listed = {each.id for each in self._table.list_targets(run.service)}
        if listed <= run.unmet_targets:
            # Each may meet it later.
            run.unmet_targets.clear()

    async def _send(self, run, target):
        """Run an item; its parts have survived once it has sent events for a while."""
        timers = []

        def on_began():
            timer = asyncio.get_running_loop().call_later(
                quarantine.PART_SURVIVAL_S,
                self._record_survived_parts,
                run,
                time.monotonic(),
            )
            timers.append(timer)

        try:
            pool = self._get_pool(target)
            return await execution.send(run, target, pool, on_began)
        finally:
            for timer in timers:
                timer.cancel()

    def _choose_step(self, run):
        if self._crash_guard.policy.is_empty():
            return quarantine.Step.RUN
        return self._crash_guard.choose_step(run.names, is_deferred=True)

    def _record_survived_parts(self, run, began_at):
        for name in run.part_names:
            self._crash_guard.record_survival(name, began_at=began_at)

    def _record_cancelled_run(self, run, has_begun, started_at, trials):
        """Record what a run shows that was preempted or handed over."""
        ran_s = time.monotonic() - started_at
        if has_begun and ran_s >= quarantine.SURVIVAL_S:
            self._crash_guard.record_survival(run.fingerprint, completed=False)
            self._record_survived_parts(run, started_at)
        else:
            self._crash_guard.cancel_trial(trials)

    def _record_lost_run(self, run, target, outcome, sink):
        if outcome.may_be_crash:
            for name in self._list_suspects(run, sink):
                self._crash_guard.record_crash(name, target.run_id)
        self._metrics.count_lost_run(run.route.kind, sink.events > 0)
        decision_log.log_request_event(
            "item.lost",
            run.item.id,
            job=run.job.id,
            outcome=outcome.reason,
            fingerprint=run.fingerprint,
            target=target.id,
            parts=run.parts[:MAX_LOGGED_PARTS],
            events=sink.events,
            ends_within_event=sink.ends_within_event,
            **({} if outcome.inquiry is None else outcome.inquiry.describe()),
        )

    def _list_suspects(self, run, sink):
        """Return the names under which a target may have crashed in a run."""
        began_at = sink.event_times.first_at
        if began_at is None:
            return run.names
        if time.monotonic() - began_at < quarantine.PART_SURVIVAL_S:
            return run.names
        self._record_survived_parts(run, began_at)
        return [run.fingerprint]

    async def _handle_outcome(self, run, outcome, sink):
        is_complete = outcome.end == upstream.End.COMPLETE and outcome.status == 200
        if is_complete or _is_confirmed(run, outcome, sink):
            if sink.is_complete() and run.transcript.last_event is not None:
                run.service_time.record_item(run.transcript.count_events())
                run.is_complete = True
                await run.transcript.finish(RECORD_TIMEOUT_S)
                return
        if outcome.end == upstream.End.COMPLETE and outcome.status == 422:
            await self._record_abandoned(run, "impossible")
            return
        if outcome.end == upstream.End.COMPLETE and outcome.status == 500:
            await run.transcript.record_failure(RECORD_TIMEOUT_S)
        if outcome.is_unconfirmed:
            run.unconfirmed += 1
        if outcome.end == upstream.End.NOT_RUN:
            run.record_block(time.monotonic())
        if sink.events:
            run.failures = 0
        run.failures += 1
        backoff_s = _compute_backoff_s(run.failures)
        is_unmet = outcome.reason == upstream.CONDITION_NOT_MET
        if outcome.end == upstream.End.NOT_RUN and not is_unmet:
            backoff_s = UNREACHABLE_BACKOFF_S
            run.failures = 0
        run.not_before = time.monotonic() + backoff_s

    async def _record_abandoned(self, run, reason):
        await run.transcript.abandon(RECORD_TIMEOUT_S)
        decision_log.log_request_event(
            "item.given_up",
            run.item.id,
            job=run.job.id,
            outcome=reason,
            failures=run.transcript.failures,
        )


def _is_blocked(run, target, now):
    """Return whether an item has waited in vain for a target that may continue it.

    Args:
        run: The `execution.Run`.
        target: The target that may continue its text now, or None.
        now: Monotonic time, in seconds.
    """
    if run.transcript.last_event is None or run.blocked_since is None:
        return False
    has_waited = now - run.blocked_since >= MAX_VERSION_WAIT_S
    return has_waited and (target is None or target.failures > 0)


def _reset_blocks(runs, service):
    """Forget how long texts were blocked, since their service has no unused slot."""
    for run in runs:
        if run.service == service:
            run.blocked_since = None


def _compute_backoff_s(failures):
    return backoff.compute_delay(INITIAL_BACKOFF_S, MAX_BACKOFF_S, failures)


def _is_confirmed(run, outcome, sink):
    """Return whether enough runs of an item have found no event after its last one.

    Targets that never frame their responses do not tell the end of an item otherwise.
    """
    if outcome.end == upstream.End.NOT_RUN:
        return False
    has_ended = outcome.reason == upstream.UNFRAMED and outcome.is_target_alive
    if not has_ended or sink.events:
        run.confirmations = 0
        return False
    run.confirmations += 1
    return run.confirmations >= CONFIRMING_RUNS
