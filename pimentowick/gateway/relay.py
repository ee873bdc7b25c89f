"""Relay of online requests to targets, with retries at other targets."""

import asyncio
import contextlib
import dataclasses
import enum
import time

from pimentowick import fingerprint, verdict
from pimentowick.gateway import (
    admission,
    decision_log,
    delivery,
    liveness,
    refusals,
    request_guard,
    response,
    route,
    stream_origins,
    upstream,
)
from pimentowick.gateway.policy import load_shedding, overload, stream_origin
from pimentowick.platform import message
from pimentowick.routing import quarantine

__all__ = ["Relay"]

DEFAULT_DEADLINE_S = 30.0
# Reserved for sending the response to the caller before its deadline. A target that got
# all of the time left would work until after the caller has gone.
RESPONSE_MARGIN_S = 0.02
# Attempts that targets may reject without running them before the request fails.
MAX_REFUSALS = 4
# Callers choose the identifiers of their attempts.
MAX_LOGGED_CHARS = 64
MAX_LOGGED_PARTS = 16
# No attempt starts with less time than this before the deadline.
MIN_ATTEMPT_S = 0.03


class _NextStep(enum.Enum):
    DONE = enum.auto()
    RETRY = enum.auto()
    FAIL = enum.auto()


@dataclasses.dataclass(slots=True)
class _Progress:
    """The finished attempts of one request.

    Attributes:
        runs: Number of attempts that may have run at a target.
        refusals: Number of attempts that did not run.
        tried_targets: Identifiers of the targets that it was sent to.
        connections: Numbers of the connections that carried it.
    """

    runs: int = 0
    refusals: int = 0
    tried_targets: set = dataclasses.field(default_factory=set)
    connections: set = dataclasses.field(default_factory=set)

    @property
    def attempts(self):
        """Number of finished attempts."""
        return self.runs + self.refusals


class Relay:
    """Sends online requests to targets.

    Args:
        admission: `pimentowick.gateway.admission.Admission`.
        get_pool: Function that returns the `connection_pool.Pool` of a `target.Target`.
        health: `pimentowick.gateway.health.Health`.
        metrics: `pimentowick.gateway.metric.Metrics`.
        crash_guard: `pimentowick.gateway.crash_guard.SharedCrashGuard`.
        performance: `pimentowick.gateway.performance.PerformanceMonitor`.
        slow_targets: `pimentowick.gateway.slow_target_monitor.SlowTargetMonitor`.
        origins: `pimentowick.gateway.stream_origins.StreamOrigins`.
        graceful_stop: `pimentowick.gateway.policy.graceful_stop.GracefulStop`.
    """

    def __init__(
        self,
        admission,
        get_pool,
        health,
        metrics,
        crash_guard,
        performance,
        slow_targets,
        origins,
        graceful_stop,
    ):
        self._graceful_stop = graceful_stop
        self._requests = set()
        self._origins = origins
        self._slow_targets = slow_targets
        self._crash_guard = crash_guard
        self._performance = performance
        self._admission = admission
        self._health = health
        self._get_pool = get_pool
        self._metrics = metrics

    async def serve(
        self,
        exchange,
        matched_route,
        call,
        version,
        workspace=None,
        strips_key=False,
    ):
        """Answer one request and log its outcome.

        Args:
            exchange: The `exchange.Exchange`.
            matched_route: The `route.Route`.
            call: The `message.RequestHeaders` decoded from its headers.
            version: Version of the configuration that the route is from.
            workspace: The caller's `pimentowick.gateway.workspace.Workspace`, or None.
            strips_key: Whether to remove the caller's key before forwarding.

        Returns:
            Whether the request may have run at a target.
        """
        deadline_s = call.deadline_s or DEFAULT_DEADLINE_S
        timeout_s = min(deadline_s - RESPONSE_MARGIN_S, matched_route.timeout_s)
        relayed = _RelayedRequest(
            self, exchange, matched_route, call, timeout_s, workspace, strips_key
        )
        remaining_s = exchange.received_at + timeout_s - time.monotonic()
        try:
            if remaining_s < MIN_ATTEMPT_S:
                outcome = await relayed.on_timeout()
            else:
                outcome = await self._run(relayed, remaining_s)
        except TimeoutError:
            outcome = await relayed.on_timeout()
        except asyncio.CancelledError:
            relayed.log_end("online.left", "caller_left", version)
            raise
        relayed.log_end("online.ended", outcome, version)
        return relayed.may_have_run

    async def _run(self, relayed, remaining_s):
        self._requests.add(relayed)
        try:
            async with asyncio.timeout(remaining_s) as relayed.timer:
                relayed.limit_to_stop()
                return await relayed.run()
        finally:
            self._requests.discard(relayed)

    def stop(self):
        """Give up the active requests once it is certain that they can't be finished.

        Call after the graceful stop has begun.
        """
        for relayed in list(self._requests):
            relayed.limit_to_stop()


class _RelayedRequest:
    """One online request from its arrival to the end of its response."""

    def __init__(
        self, relay, exchange, matched_route, call, timeout_s, workspace, strips_key
    ):
        self._admission = relay._admission
        self._performance = relay._performance
        self._slow_targets = relay._slow_targets
        self._origins = relay._origins
        self._graceful_stop = relay._graceful_stop
        self._get_pool = relay._get_pool
        self._health = relay._health
        self._metrics = relay._metrics
        self._exchange = exchange
        self._route = matched_route
        self._call = call
        self._workspace = workspace
        self._strips_key = strips_key
        self._deadline_at = exchange.received_at + timeout_s
        self._progress = _Progress()
        self._sink = response.CallerSink(
            exchange, matched_route.kind == route.Kind.STREAM, self._on_run_began
        )
        # What began the stream, once its caller has an event.
        self._origin = None
        self._unknown_reason = refusals.STREAM_UNKNOWN.code
        self._service = matched_route.choose_service()
        self._guard = request_guard.RequestGuard(
            relay._crash_guard,
            call.request_id,
            self._compute_fingerprint,
            lambda: [quarantine.name_part(self._service, part) for part in call.parts],
        )
        self._slot = None
        self._status = 0
        self._run_check = None
        # The `liveness.Inquiry` of the last run.
        self._inquiry = liveness.Inquiry()
        # Whether the last run ended in order, and its target did not say that it lives.
        self._may_have_ended = False
        self._sent = False
        self._sent_at = None
        self._has_queued = False
        self._is_shed = False
        self._refusal_inputs = {}
        # Monotonic time of the first attempt of a caller that was turned away.
        self._first_at = None
        # The `asyncio.Timeout` of the request.
        self.timer = None

    @property
    def may_have_run(self):
        """Whether the request may have run at a target."""
        return self._sent or bool(self._progress.runs)

    def limit_to_stop(self):
        """Time out early if the entry stops before the request can be finished."""
        if not self._graceful_stop.has_begun or self.timer.expired():
            return
        gives_up_at = min(self._deadline_at, self._graceful_stop.ends_at)
        if not self.may_have_run:
            gives_up_at = min(gives_up_at, self._compute_latest_start())
        loop = asyncio.get_running_loop()
        self.timer.reschedule(loop.time() + gives_up_at - time.monotonic())

    def _can_be_finished(self):
        """Return whether a request that has not run may run before the entry ends."""
        if self.may_have_run or not self._graceful_stop.has_begun:
            return True
        return time.monotonic() < self._compute_latest_start()

    def _compute_latest_start(self):
        return self._graceful_stop.compute_latest_start(
            self._route.name,
            self._exchange.received_at,
            self._exchange.read_at,
            self._deadline_at,
        )

    async def run(self):
        """Try targets until the request is answered; return the outcome for the log."""
        if self._is_taken_up and not await self._find_origin():
            return await self._refuse(self._unknown_reason)
        objective_s = self._route.objective_s
        received_at = self._exchange.received_at
        timeout_s = self._deadline_at - received_at
        rank = (self._route.priority, self._route.priority)
        if self._workspace is not None:
            rank = self._workspace.rank(self._route.priority)
        slot_request = admission.SlotRequest(
            self._service,
            rank,
            received_at + objective_s - load_shedding.FIRST_EVENT_LATENCY_S,
            received_at + timeout_s * load_shedding.MAX_WAIT_SHARE,
            workspace="" if self._workspace is None else self._workspace.name,
            cost=dataclasses.replace(
                self._call.cost, body_bytes=len(self._exchange.body)
            ),
            objective_at=received_at + objective_s,
        )
        if self._admission.has_shared_hosts(self._service):
            slot_request = self._set_learned_deadlines(slot_request)
        while True:
            if not self._can_be_finished():
                return await self._refuse(refusals.STOPPING.code)
            if await self._guard.is_refused():
                return await self._refuse(request_guard.QUARANTINED)
            slot = None
            if not self._is_version_gone():
                slot = await self._acquire_slot(slot_request)
            if slot is None and self._is_version_gone():
                if self._is_taken_up:
                    self._metrics.count_taken_up(refusals.STREAM_VERSION_GONE.code)
                return await self._fail(refusals.STREAM_VERSION_GONE.code)
            if slot is None:
                is_refused = self._guard.choose_step() == quarantine.Step.REFUSE
                reason = request_guard.QUARANTINED if is_refused else "no_place"
                return await self._refuse(reason)
            self._slot = slot
            try:
                outcome = None
                if self._can_be_finished() and await self._guard.may_start():
                    outcome = await self._send(slot.target)
            finally:
                slot.release()
            if outcome is None:
                if not self._can_be_finished() or self._guard.may_start_later():
                    continue
                return await self._refuse(request_guard.QUARANTINED)
            step = await self._handle_outcome(outcome)
            if step == _NextStep.DONE:
                return outcome.reason
            if step == _NextStep.FAIL:
                return await self._fail(outcome.reason)

    @property
    def _is_taken_up(self):
        """Whether the caller goes on with a stream of an earlier attempt."""
        return self._route.kind == route.Kind.STREAM and bool(self._call.last_event)

    async def _find_origin(self):
        """Find out what began the caller's stream; return whether it may go on."""
        if not self._call.first_attempt:
            return False
        key = self._compute_origin_key(self._call.first_attempt)
        self._origin = await self._origins.find(
            key, self._call.request_id, self._on_stream_lost
        )
        if self._origin is None:
            return False
        self._service = self._origin.service
        return True

    def _on_stream_lost(self):
        self._unknown_reason = refusals.STREAM_LOST.code

    def _compute_origin_key(self, request_id):
        workspace = None if self._workspace is None else self._workspace.name
        return stream_origins.compute_key(workspace, self._exchange.host, request_id)

    def _on_run_began(self):
        """Handle the first event of a run, before it is forwarded."""
        self._remember_origin()
        self._guard.on_run_began()

    def _remember_origin(self):
        """Remember what began the stream, for its caller's later attempts."""
        if self._origin is not None or not self._route.resumable:
            return
        version = self._run_check.confirmed_version
        self._origin = stream_origin.Origin(self._service, version)
        if version is not None:
            key = self._compute_origin_key(self._call.request_id)
            # The caller may return until its own deadline, beyond the route's timeout.
            deadline_s = self._call.deadline_s or DEFAULT_DEADLINE_S
            left_s = self._exchange.received_at + deadline_s - time.monotonic()
            self._origins.record(key, self._origin, left_s)

    def _get_needed_version(self):
        return None if self._origin is None else self._origin.software_version

    def _is_version_gone(self):
        """Return whether the stream can't go on at any target of its service."""
        if self._origin is None:
            return False
        is_allowed = self._service in self._route.services
        version = self._origin.software_version
        return not (is_allowed and self._admission.has_version(self._service, version))

    def _set_learned_deadlines(self, slot_request):
        """Return a request with deadlines from what was learned of its service.

        The objective of a caller that was turned away before counts from its first
        attempt.
        """
        control = self._admission.overload
        objective_s = self._route.objective_s
        latency_s = control.estimate_latency_s(
            self._service, self._route.kind, objective_s
        )
        received_at = self._exchange.received_at
        if control.returning:
            self._first_at = control.returning.take(
                self._guard.fingerprint, received_at
            )
        first_at = received_at if self._first_at is None else self._first_at
        objective_at = objective_s + min(received_at, first_at)
        control.retry_budget.record_request(
            slot_request.workspace, self._service, received_at
        )
        hold_s = self._admission.get_mean_hold_s(self._service)
        wait_deadline = max(slot_request.wait_deadline, self._deadline_at - hold_s)
        if self._route.kind == route.Kind.STREAM:
            patience_s = overload.compute_patience_s(objective_s)
            leaves_at = received_at + patience_s - latency_s
            wait_deadline = min(wait_deadline, leaves_at)
        return dataclasses.replace(
            slot_request,
            start_deadline=objective_at - latency_s,
            wait_deadline=wait_deadline,
            objective_at=objective_at,
            is_return=self._first_at is not None,
        )

    async def _acquire_slot(self, slot_request):
        """Return an `admission.AcquiredSlot`, or None if the request is shed."""
        avoid = frozenset(self._progress.tried_targets)
        slot_request = dataclasses.replace(
            slot_request,
            lost_target=bool(avoid) or self._is_taken_up,
            software_version=self._get_needed_version(),
            crashed_targets=self._guard.list_crashed_targets(),
        )
        slot = None
        if self._admission.may_start_at_once(slot_request):
            slot = self._admission.try_acquire(slot_request, avoid)
        if slot is None and avoid:
            slot = self._admission.try_acquire(slot_request)
        if slot is not None:
            return slot
        if self._get_needed_version() is not None:
            # The other targets of its version may be away for longer.
            avoid = frozenset()
        if self._admission.has_shared_hosts(self._service):
            return await self._wait_or_shed(slot_request, avoid)
        queue_state = self._admission.get_queue_state(self._service)
        is_first = not (self._progress.tried_targets or self._is_taken_up)
        timeout_s = self._deadline_at - self._exchange.received_at
        if is_first and load_shedding.should_shed(
            queue_state, self._route.objective_s, timeout_s
        ):
            return None
        avoid = avoid if queue_state.slots > 0 else ()
        decision_log.log_request_event(
            "online.queued",
            self._call.request_id,
            kind=self._route.kind,
            service=self._service,
            attempt=self._progress.attempts + 1,
            free=queue_state.free_slots,
            places=queue_state.slots,
            waiting=queue_state.queued,
            expected_s=load_shedding.estimate_wait(queue_state),
        )
        return await self._wait_for_slot(slot_request, avoid)

    async def _wait_or_shed(self, slot_request, avoid):
        """Return a slot of a service on shared hosts, or None if it is shed."""
        prediction = self._admission.predict(slot_request)
        is_shed = prediction.prospect == overload.Prospect.NONE and not (
            self._progress.tried_targets or self._is_taken_up
        )
        room = prediction.room
        decision_log.log_request_event(
            "online.shed" if is_shed else "online.queued",
            self._call.request_id,
            kind=self._route.kind,
            service=self._service,
            attempt=self._progress.attempts + 1,
            free=room.free_slots,
            places=room.slots,
            waiting=room.in_time,
            late=room.late,
            expected_s=prediction.expected_s,
            prospect=prediction.prospect,
            overloaded=prediction.is_overloaded,
            room_per_s=overload.compute_room_per_s(room),
            returned=slot_request.is_return,
            start_by_s=slot_request.start_deadline - self._exchange.received_at,
            leaves_at_s=slot_request.wait_deadline - self._exchange.received_at,
            heard_s=self._admission.overload.get_report_age_s(time.monotonic()),
        )
        self._is_shed = is_shed
        if is_shed:
            return None
        self._has_queued = True
        slot = await self._wait_for_slot(slot_request, avoid if room.slots > 0 else ())
        if slot is not None and overload.is_late(slot_request, time.monotonic()):
            self._metrics.count_late_start(self._route.kind)
        return slot

    async def _wait_for_slot(self, slot_request, avoid):
        if self._guard.is_trial:
            return await self._admission.wait_for_slot(slot_request, avoid)
        try:
            async with self._guard.interrupt_if_refused():
                return await self._admission.wait_for_slot(slot_request, avoid)
        except TimeoutError:
            return None

    async def _send(self, target):
        remaining_s = self._deadline_at - time.monotonic()
        self._progress.tried_targets.add(target.id)
        self._sink.reset()
        resume_after = self._sink.last_event_id if self._exchange.started else None
        headers = message.encode_request_headers(
            self._exchange.headers,
            remaining_s,
            target.id,
            len(self._exchange.body),
            resume_after,
            None if self._workspace is None else self._workspace.name,
            self._strips_key,
        )
        self._run_check = target.make_run_check(
            self._origin is not None, is_optional=not self._route.resumable
        )
        request = upstream.Request(
            self._call.request_id,
            self._exchange.method,
            self._exchange.uri,
            headers,
            self._exchange.body,
            self._progress.connections,
            self._run_check,
            waits_for_target=not self._may_run_again,
        )
        self._inquiry = request.inquiry
        self._sent = True
        self._sent_at = time.monotonic()
        self.limit_to_stop()
        decision_log.log_request_event(
            "online.sent",
            self._call.request_id,
            kind=self._route.kind,
            attempt=self._progress.attempts + 1,
            target=target.id,
            version=target.registration.software_version,
            online=self._slot.online_at_start,
            batch=self._slot.batch_at_start,
            slots=target.slots,
            waited_s=self._sent_at - self._exchange.received_at,
            left_s=remaining_s,
            resumed_at=resume_after,
            resumed_by_caller=self._call.last_event or None,
            first_attempt=self._call.first_attempt[:MAX_LOGGED_CHARS] or None,
            **_describe_selection(self._slot.selection),
        )
        sink = self._sink
        self._guard.start_run()
        events_before = sink.events
        loop = asyncio.get_running_loop()
        with (
            self._health.watch_for_silence(
                target, self._route.objective_s, lambda: sink.status, loop.call_later
            ),
            self._watch_for_slow_target(sink, loop.call_later),
        ):
            try:
                outcome = await self._get_pool(target).send(request, sink)
            except asyncio.CancelledError:
                has_begun = sink.events > events_before
                self._guard.record_cancelled_run(self._sent_at, has_begun)
                raise
            finally:
                self._guard.end_run()
        if sink.forwards_events:
            outcome = outcome.check_events(
                sink.event_times.count,
                sink.ends_within_event,
                is_continuation=resume_after is not None,
            )
        outcome = outcome.confirm_end(sink.has_content or self._may_have_ended)
        if outcome.end != upstream.End.NOT_RUN:
            has_content = sink.has_content or self._may_have_ended
            self._may_have_ended = has_content and outcome.is_end_unknown
        self._metrics.count_responses(outcome)
        if outcome.end == upstream.End.NOT_RUN:
            self._sent = self._progress.runs > 0
            self.limit_to_stop()
            self._log_not_run(target, outcome)
        self._record_performance(target, outcome)
        load = self._slot.online_at_start + self._slot.batch_at_start
        self._health.observe_outcome(target, outcome, load < target.slots / 2)
        if outcome.end == upstream.End.COMPLETE:
            self._guard.record_target_answer(target, self._sent_at)
        if outcome.reason == upstream.CALLER_GONE:
            has_begun = sink.events > events_before
            self._guard.record_cancelled_run(self._sent_at, has_begun)
        elif outcome.end == upstream.End.INCOMPLETE:
            self._record_lost_run(target, outcome, sink.events - events_before)
        elif outcome.is_survival:
            is_plain = outcome.status == 200 and not sink.forwards_events
            began_at = self._sent_at if is_plain else sink.event_times.first_at
            self._guard.record_answer(began_at)
        return outcome

    def _watch_for_slow_target(self, sink, call_later):
        if self._route.kind != route.Kind.STREAM:
            return contextlib.nullcontext()
        return self._slow_targets.watch(
            self._slot,
            self._route.name,
            self._route.objective_s,
            lambda: sink.event_times,
            call_later,
        )

    def _record_performance(self, target, outcome):
        if outcome.end != upstream.End.COMPLETE or outcome.status != 200:
            return
        now = time.monotonic()
        # Without the time that the target took to say that it had ended its response.
        ended_at = now if self._inquiry.began_at is None else self._inquiry.began_at
        duration_s = ended_at - self._sent_at
        self._graceful_stop.record_duration(self._route.name, duration_s)
        if self._route.kind == route.Kind.STREAM:
            duration_s = self._sink.event_times.compute_interval_s()
        self._performance.record_duration(target, self._route.name, duration_s, now)

    def _log_not_run(self, target, outcome):
        """Log why an attempt counts as not run."""
        received = outcome.received
        decision_log.log_request_event(
            "online.not_run",
            self._call.request_id,
            outcome=outcome.reason,
            status=outcome.status,
            target=target.id,
            attempt=self._progress.attempts + 1,
            names=None if received is None else received.naming,
            strays=0 if received is None else len(received.strays),
            took_s=time.monotonic() - self._sent_at,
            **delivery.describe(received),
        )

    def _record_lost_run(self, target, outcome, events):
        if outcome.may_be_crash:
            self._guard.record_crash(target.run_id)
        else:
            self._guard.cancel_trial()
        self._metrics.count_lost_run(self._route.kind, events > 0)
        decision_log.log_request_event(
            "online.lost",
            self._call.request_id,
            outcome=outcome.reason,
            fingerprint=self._guard.fingerprint,
            workspace=None if self._workspace is None else self._workspace.name,
            route=self._route.name,
            target=target.id,
            parts=self._call.parts[:MAX_LOGGED_PARTS],
            events=events,
            ends_within_event=self._sink.ends_within_event,
            ran_s=time.monotonic() - self._sent_at,
            **self._inquiry.describe(),
            **delivery.describe(outcome.received),
        )

    def _compute_fingerprint(self):
        return fingerprint.compute_fingerprint(
            None if self._workspace is None else self._workspace.name,
            self._exchange.host,
            self._exchange.method,
            self._exchange.uri,
            self._exchange.body,
        )

    async def _handle_outcome(self, outcome):
        """Return the `_NextStep`; send the response if it is complete."""
        if outcome.end == upstream.End.NOT_RUN:
            self._progress.refusals += 1
            if self._guard.is_trial and outcome.is_refusal:
                self._guard.has_reached_target = True
                return _NextStep.FAIL
            if outcome.is_refusal:
                self._admission.grant_after_pause(self._slot.target)
            return self._retry_or_fail(self._progress.refusals < MAX_REFUSALS)
        may_retry = self._may_run_again
        self._progress.runs += 1
        self._status = outcome.status
        if outcome.reason == upstream.CALLER_GONE:
            return _NextStep.FAIL
        if outcome.end == upstream.End.INCOMPLETE:
            return self._retry_or_fail(may_retry)
        if self._sink.forwards_events:
            return self._finish_stream(may_retry)
        if outcome.status >= 500 and may_retry:
            return self._retry_or_fail(may_retry)
        if self._exchange.started:
            return _NextStep.FAIL
        if outcome.status in (408, 421, 429, 503):
            # To the caller these statuses mean that the request did not run. The
            # target did not state that, so they are not forwarded.
            return _NextStep.FAIL
        await self._sink.send_buffered()
        return _NextStep.DONE

    @property
    def _may_run_again(self):
        """Whether the request may run at another target after the current run."""
        return (
            self._route.can_retry
            and self._progress.runs + 1 < self._route.max_attempts
            and not self._guard.is_trial
        )

    def _finish_stream(self, may_retry):
        if not self._sink.is_complete():
            return self._retry_or_fail(may_retry)
        if not self._exchange.started:
            # A stream that ends without any event counts as failed.
            return self._retry_or_fail(may_retry)
        self._exchange.finish()
        return _NextStep.DONE

    def _retry_or_fail(self, may_retry):
        remaining_s = self._deadline_at - time.monotonic()
        if may_retry and remaining_s > MIN_ATTEMPT_S and self._is_within_budget():
            self._metrics.count_retry()
            return _NextStep.RETRY
        return _NextStep.FAIL

    def _is_within_budget(self):
        """Return whether another target may be tried; count it if so.

        A response that has begun continues in any case.
        """
        if self._exchange.started or not self._admission.has_shared_hosts(
            self._service
        ):
            return True
        name = "" if self._workspace is None else self._workspace.name
        budget = self._admission.overload.retry_budget
        is_within = budget.try_take(name, self._service, time.monotonic())
        if not is_within:
            self._refusal_inputs = {"retry_budget": "spent"}
        return is_within

    async def _refuse(self, reason):
        """Answer that the request did not run; return the outcome for the log."""
        if self._progress.runs or self._exchange.started:
            return await self._fail(reason)
        self._guard.cancel_unused_trial()
        self._status = 503
        if reason == request_guard.QUARANTINED:
            await self._exchange.refuse(self._guard.make_refusal())
            return reason
        if reason == refusals.STOPPING.code:
            self._refusal_inputs = self._describe_stop()
            await self._exchange.refuse(refusals.STOPPING)
            return reason
        stream_refusal = refusals.find_for_stream(reason)
        if stream_refusal is not None:
            await self._exchange.refuse(stream_refusal)
            return reason
        refusal = verdict.Refusal(
            503,
            "busy",
            "All targets are busy. Come back after the time in Retry-After.",
            retry_after=self._compute_retry_after(reason),
        )
        await self._exchange.refuse(refusal)
        return reason

    def _compute_retry_after(self, reason):
        """Return the delay before the caller's retry in seconds, or None."""
        if not self._admission.has_shared_hosts(self._service):
            queue_state = self._admission.get_queue_state(self._service)
            return load_shedding.compute_retry_after(queue_state)
        now = time.monotonic()
        received_at = self._exchange.received_at
        is_known = self._first_at is not None
        first_at = self._first_at if is_known else received_at
        self._admission.record_turned_away(
            self._guard.fingerprint, first_at, now, self._deadline_at
        )
        expected_s, retry_after_s = self._admission.predict_retry(
            self._service, self._deadline_at, now
        )
        reason = "expected_wait" if self._is_shed else reason
        self._metrics.count_turned_away(reason, is_known)
        self._refusal_inputs |= {
            "turned_away": reason,
            "returned": is_known,
            "expected_s": expected_s,
            "retry_after_s": retry_after_s,
            "left_s": self._deadline_at - now,
        }
        return retry_after_s

    async def _fail(self, reason):
        """End a request that no target completed; return the outcome for the log."""
        if self._exchange.started:
            self._exchange.abort()
            return f"broken_off_{reason}"
        if not self._progress.runs:
            return await self._refuse(reason)
        self._status = 502
        await self._exchange.refuse(
            verdict.Refusal(
                502,
                "target_lost",
                "A target broke off. The request may have run.",
                verdict.Verdict.MAY_HAVE_RUN,
            )
        )
        return reason

    async def on_timeout(self):
        """End a request at its deadline, or as the entry stops.

        Returns:
            The outcome for the log.
        """
        left_s = self._deadline_at - time.monotonic()
        is_stopping = self._graceful_stop.has_begun and left_s >= MIN_ATTEMPT_S
        if self._exchange.started:
            self._exchange.abort()
            return "stopping_midway" if is_stopping else "timeout_midway"
        if not self._sent:
            return await self._refuse(
                refusals.STOPPING.code if is_stopping else "timeout_unsent"
            )
        self._status = 504
        if is_stopping:
            self._refusal_inputs = self._describe_stop()
            await self._exchange.refuse(refusals.UNFINISHED)
            return refusals.UNFINISHED.code
        await self._exchange.refuse(
            verdict.make_deadline_refusal(verdict.Verdict.MAY_HAVE_RUN)
        )
        return "timeout"

    def _describe_stop(self):
        now = time.monotonic()
        return {
            "left_s": self._deadline_at - now,
            "stop_left_s": self._graceful_stop.ends_at - now,
            "latest_start_s": self._compute_latest_start() - now,
        }

    def _meets_objective(self, first_event_s, total_s):
        """Return whether the caller was answered within the route's objective."""
        if self._status != 200 or not self._exchange.finished:
            return False
        if self._route.kind != route.Kind.STREAM:
            return total_s <= self._route.objective_s
        return first_event_s is not None and first_event_s <= self._route.objective_s

    def log_end(self, event, outcome, version):
        """Log the end of the request and count it in the metrics.

        Args:
            event: Name of the event in the log.
            outcome: Short reason of the end.
            version: Version of the configuration that the route is from.
        """
        now = time.monotonic()
        received_at = self._exchange.received_at
        first_event_at = self._sink.first_event_at
        queue_state = self._admission.get_queue_state(self._service)
        slot = self._slot
        waited_s = None if self._sent_at is None else self._sent_at - received_at
        first_event_s = None if first_event_at is None else first_event_at - received_at
        phases = {
            "queue": waited_s,
            "first_event": first_event_s,
            "pause": self._sink.longest_gap_s,
            "whole": now - received_at,
        }
        self._metrics.count_request(self._route.kind, outcome, self._status, phases)
        self._record_latency(now if first_event_at is None else first_event_at)
        is_quarantined = outcome.endswith(request_guard.QUARANTINED)
        quarantined = self._guard.describe() if is_quarantined else {}
        decision_log.log_request_event(
            event,
            self._call.request_id,
            outcome=outcome,
            status=self._status,
            route=self._route.name,
            workspace=None if self._workspace is None else self._workspace.name,
            kind=self._route.kind,
            service=self._service,
            in_time=self._meets_objective(first_event_s, now - received_at),
            target=None if slot is None else slot.target.id,
            seen_online=None if slot is None else slot.online_at_start,
            seen_batch=None if slot is None else slot.batch_at_start,
            slots=None if slot is None else slot.target.slots,
            runs=self._progress.runs,
            refusals=self._progress.refusals,
            may_have_run=self.may_have_run,
            events=self._sink.events,
            waited_s=waited_s,
            first_s=first_event_s,
            pause_s=self._sink.longest_gap_s,
            took_s=now - received_at,
            configuration=version,
            free=queue_state.free_slots,
            places=queue_state.slots,
            waiting=queue_state.queued,
            **self._inquiry.describe(),
            **quarantined,
            **self._refusal_inputs,
        )

    def _record_latency(self, answered_at):
        """Record the time from sending to the answer, if it waited for its only run."""
        if self._has_queued and self._status == 200 and self._progress.attempts == 1:
            self._admission.overload.record_latency(
                self._service, self._route.kind, answered_at - self._sent_at
            )


def _describe_selection(selection):
    """Return what decided for a target that was chosen by expected delay."""
    if selection is None:
        return {}
    return {
        "speed": selection.speed,
        "expected_s": selection.delay_s,
        "expected_sends": selection.expected_sends,
        "considered": selection.considered,
    }
