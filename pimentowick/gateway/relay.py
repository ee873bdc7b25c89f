"""One online request: from its route to the last byte of the answer."""

import asyncio
import dataclasses
import enum
import time

from pimentowick import verdict
from pimentowick.gateway import admission, decision, response, route, upstream
from pimentowick.gateway.policy import load_shedding
from pimentowick.platform import message

__all__ = ["Relay"]

DEFAULT_DEADLINE_S = 30.0
# What the way back to the caller takes; a target that gets all that is left would
# work until after the caller has gone.
MARGIN_S = 0.02
# Targets that state that they did not run a request, one after the other.
MAX_REFUSALS = 4
# Below this a target can do nothing any more.
LEAST_LEFT_S = 0.03


class _Next(enum.Enum):
    DONE = enum.auto()
    AGAIN = enum.auto()
    FAIL = enum.auto()


@dataclasses.dataclass(slots=True)
class _Progress:
    """What one request has been through.

    Attributes:
        runs: Targets that may have run it.
        refusals: Targets that stated that they did not.
        been_at: Identifiers of the targets that it was sent to.
    """

    runs: int = 0
    refusals: int = 0
    been_at: set = dataclasses.field(default_factory=set)

    @property
    def attempts(self):
        """Number of targets that it was sent to and is done with."""
        return self.runs + self.refusals


class Relay:
    """Sends online requests to targets.

    Args:
        admission: `pimentowick.gateway.admission.Admission`.
        pools: Function from a `target.Target` to its `upstream.Pool`.
        health: `pimentowick.gateway.health.Health`.
        metrics: `pimentowick.gateway.metric.Metrics`.
    """

    def __init__(self, admission, pools, health, metrics):
        self._admission = admission
        self._health = health
        self._pools = pools
        self._metrics = metrics

    async def serve(self, exchange, found, call, version, workspace=None, keyed=False):
        """Answer one request.

        Args:
            exchange: The `exchange.Exchange`.
            found: The `route.Route`.
            call: The `message.RequestHeaders` that its headers make.
            version: Version of the configuration that chose the route.
            workspace: The caller's `pimentowick.gateway.workspace.Workspace`, or None.
            keyed: Whether callers have keys, which no target may see.

        Returns:
            Whether it may have run.
        """
        deadline_s = call.deadline_s or DEFAULT_DEADLINE_S
        bound_s = min(deadline_s - MARGIN_S, found.timeout_s)
        work = _Work(self, exchange, found, call, bound_s, workspace, keyed)
        try:
            async with asyncio.timeout(
                exchange.received_at + bound_s - time.monotonic()
            ):
                why = await work.run()
        except TimeoutError:
            why = await work.expire()
        except asyncio.CancelledError:
            work.note("online.left", "caller_left", version)
            raise
        work.note("online.ended", why, version)
        return work.may_have_run


class _Work:
    """One request under way."""

    def __init__(self, relay, exchange, found, call, bound_s, workspace, keyed):
        self._admission = relay._admission
        self._pools = relay._pools
        self._health = relay._health
        self._metrics = relay._metrics
        self._exchange = exchange
        self._route = found
        self._call = call
        self._workspace = workspace
        self._keyed = keyed
        self._ends_at = exchange.received_at + bound_s
        self._progress = _Progress()
        self._sink = response.Sink(exchange, found.kind == route.Kind.STREAM)
        self._service = found.choose_service()
        self._place = None
        self._status = 0
        self._sent = False
        self._sent_at = None

    @property
    def may_have_run(self):
        """Whether it may have run at a target."""
        return self._sent or bool(self._progress.runs)

    async def run(self):
        """Send the request until an answer is whole; return the reason of the end."""
        objective_s = self._route.objective_s
        received_at = self._exchange.received_at
        time_s = self._ends_at - received_at
        rank = (self._route.priority, self._route.priority)
        if self._workspace is not None:
            rank = self._workspace.rank(self._route.priority)
        demand = admission.Demand(
            self._service,
            rank,
            received_at + objective_s - load_shedding.FIRST_EVENT_S,
            received_at + time_s * load_shedding.LONGEST_SHARE,
            workspace="" if self._workspace is None else self._workspace.name,
        )
        while True:
            place = await self._take_place(demand)
            if place is None:
                return await self._refuse("no_place")
            self._place = place
            try:
                outcome = await self._send(place.target)
            finally:
                place.close()
            step = await self._judge(outcome)
            if step == _Next.DONE:
                return outcome.why
            if step == _Next.FAIL:
                return await self._fail(outcome.why)

    async def _take_place(self, demand):
        avoid = frozenset(self._progress.been_at)
        demand = dataclasses.replace(demand, begun=bool(avoid))
        place = self._admission.take_now(demand, avoid)
        if place is None and avoid:
            place = self._admission.take_now(demand)
        if place is not None:
            return place
        line = self._admission.describe(self._service)
        first = not self._progress.been_at
        time_s = self._ends_at - self._exchange.received_at
        if first and load_shedding.should_shed(line, self._route.objective_s, time_s):
            return None
        decision.note_request(
            "online.queued",
            self._call.request_id,
            kind=self._route.kind,
            service=self._service,
            attempt=self._progress.attempts + 1,
            free=line.free,
            places=line.places,
            waiting=line.waiting,
            expected_s=load_shedding.estimate_wait(line),
        )
        return await self._admission.wait(demand, avoid if line.places > 0 else ())

    async def _send(self, target):
        left_s = self._ends_at - time.monotonic()
        self._progress.been_at.add(target.id)
        self._sink.begin()
        resumed_at = self._sink.last_event if self._exchange.started else None
        headers = message.encode_request_headers(
            self._exchange.headers,
            left_s,
            target.id,
            len(self._exchange.body),
            resumed_at,
            None if self._workspace is None else self._workspace.name,
            self._keyed,
        )
        request = upstream.Request(
            self._call.request_id,
            self._exchange.method,
            self._exchange.uri,
            headers,
            self._exchange.body,
        )
        self._sent = True
        self._sent_at = time.monotonic()
        decision.note_request(
            "online.sent",
            self._call.request_id,
            kind=self._route.kind,
            attempt=self._progress.attempts + 1,
            target=target.id,
            online=self._place.online,
            batch=self._place.batch,
            slots=target.slots,
            waited_s=self._sent_at - self._exchange.received_at,
            left_s=left_s,
            resumed_at=resumed_at,
        )
        sink = self._sink
        loop = asyncio.get_running_loop()
        with self._health.watch(
            target, self._route.objective_s, lambda: sink.status, loop.call_later
        ):
            outcome = await self._pools(target).send(request, sink)
        if outcome.end == upstream.End.NOT_RUN:
            self._sent = self._progress.runs > 0
        seen = self._place.online + self._place.batch
        self._health.note_outcome(target, outcome, seen < target.slots / 2)
        return outcome

    async def _judge(self, outcome):
        """Return what to do after a target; answer if the answer is whole."""
        if outcome.end == upstream.End.NOT_RUN:
            self._progress.refusals += 1
            return self._decide_again(self._progress.refusals < MAX_REFUSALS)
        self._progress.runs += 1
        self._status = outcome.status
        more = self._route.repeatable and self._progress.runs < self._route.max_attempts
        if outcome.end == upstream.End.CUT:
            return self._decide_again(more)
        if self._sink.passing:
            return self._end_stream(more)
        if outcome.status >= 500 and more:
            return self._decide_again(more)
        if self._exchange.started:
            return _Next.FAIL
        if outcome.status in (408, 421, 429, 503):
            # These statuses promise that nothing ran, and the target did not say so.
            return _Next.FAIL
        await self._sink.deliver()
        return _Next.DONE

    def _end_stream(self, more):
        if not self._sink.is_whole():
            return self._decide_again(more)
        if not self._exchange.started:
            # A stream without an event is none.
            return self._decide_again(more)
        self._exchange.finish()
        return _Next.DONE

    def _decide_again(self, more):
        left_s = self._ends_at - time.monotonic()
        if more and left_s > LEAST_LEFT_S:
            self._metrics.count_retry()
            return _Next.AGAIN
        return _Next.FAIL

    async def _refuse(self, why):
        """Refuse a request that has not run."""
        if self._progress.runs or self._exchange.started:
            return await self._fail(why)
        line = self._admission.describe(self._service)
        refusal = verdict.Refusal(
            503,
            "busy",
            "All targets are busy. Come back after the time in Retry-After.",
            retry_after=load_shedding.make_retry_after(line),
        )
        self._status = 503
        await self._exchange.refuse(refusal)
        return why

    async def _fail(self, why):
        """End a request that may have run, or that found no target."""
        if self._exchange.started:
            self._exchange.abort()
            return f"broken_off_{why}"
        if not self._progress.runs:
            return await self._refuse(why)
        self._status = 502
        await self._exchange.refuse(
            verdict.Refusal(
                502,
                "target_lost",
                "A target broke off. The request may have run.",
                verdict.Verdict.MAY_HAVE_RUN,
            )
        )
        return why

    async def expire(self):
        """End a request whose time is up."""
        if self._exchange.started:
            self._exchange.abort()
            return "timeout_midway"
        if not self._sent:
            return await self._refuse("timeout_unsent")
        self._status = 504
        await self._exchange.refuse(verdict.make_expired(verdict.Verdict.MAY_HAVE_RUN))
        return "timeout"

    def _is_in_time(self, first_s, took_s):
        """Return whether the caller got its answer within the objective."""
        if self._status != 200 or not self._exchange.finished:
            return False
        if self._route.kind != route.Kind.STREAM:
            return took_s <= self._route.objective_s
        return first_s is not None and first_s <= self._route.objective_s

    def note(self, name, why, version):
        """Log the end of the request."""
        now = time.monotonic()
        received_at = self._exchange.received_at
        first_at = self._sink.first_at
        line = self._admission.describe(self._service)
        place = self._place
        waited_s = None if self._sent_at is None else self._sent_at - received_at
        first_s = None if first_at is None else first_at - received_at
        phases = {
            "queue": waited_s,
            "first_event": first_s,
            "pause": self._sink.longest_pause_s,
            "whole": now - received_at,
        }
        self._metrics.count_request(self._route.kind, why, self._status, phases)
        decision.note_request(
            name,
            self._call.request_id,
            outcome=why,
            status=self._status,
            route=self._route.name,
            workspace=None if self._workspace is None else self._workspace.name,
            kind=self._route.kind,
            service=self._service,
            in_time=self._is_in_time(first_s, now - received_at),
            target=None if place is None else place.target.id,
            seen_online=None if place is None else place.online,
            seen_batch=None if place is None else place.batch,
            slots=None if place is None else place.target.slots,
            runs=self._progress.runs,
            refusals=self._progress.refusals,
            events=self._sink.events,
            waited_s=waited_s,
            first_s=first_s,
            pause_s=self._sink.longest_pause_s,
            took_s=now - received_at,
            configuration=version,
            free=line.free,
            places=line.places,
            waiting=line.waiting,
        )
