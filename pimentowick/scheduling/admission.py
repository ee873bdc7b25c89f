"""Admission control and ordering of the requests that an agent sends to its target.

An engine serves requests in arrival order without priorities, so priorities are
enforced here. Online requests take precedence and wait only for each other. The
number of batch items is bounded by a `pimentowick.scheduling.limiter.BatchLimiter`.
When the limit falls, the most recently started items are preempted, which loses the
least work.

A few more batch items than can run are queued here. Idle periods last only seconds,
and requesting work from an entry would use up part of each.
"""

import asyncio
import dataclasses
import math
import time

from pimentowick import exception, verdict
from pimentowick.scheduling import fairness, token_counter
from pimentowick.scheduling import step as scheduling_step

__all__ = ["Admission", "Ticket"]

EWMA_WEIGHT = 0.2
INITIAL_SERVICE_S = 1.0
MIN_RETRY_AFTER_S = 0.1
BATCH_RETRY_AFTER_S = 0.5
# Maximum queueing time of a batch item that has not started yet.
MAX_BATCH_WAIT_S = 5.0
# Batch items queued beyond the slots available, as a fraction of `max_batch`.
PREFETCH_FRACTION = 0.125
# An agent without online requests within this period accepts items for all its batch
# slots, because it is likely to become idle again.
RECENT_IDLE_S = 2.0
# Fraction of the engine's slots reserved for bursts of online requests, which arrive
# before the engine has finished cancelling preempted items.
ONLINE_RESERVE_FRACTION = 0.125


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """Admission state of one request.

    Attributes:
        workspace: Name of the workspace.
        weight: Fair-share weight of the workspace.
        cost: Expected number of tokens.
        entry: Name of the entry that sent the request.
        prompt_chars: Number of prompt characters that the engine has to prefill.
        started_at: Monotonic time of admission, in seconds.
        preempted: Event that is set when a batch item has to release its slot.
        admitted: Future that is resolved when a queued request is admitted.
    """

    workspace: str
    weight: float = 1.0
    cost: float = 1.0
    entry: str = ""
    prompt_chars: int = 0
    started_at: float = 0.0
    preempted: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    admitted: asyncio.Future | None = None


class Admission:
    """Admission controller for the online requests and batch items of one target.

    Args:
        max_online: Maximum number of concurrent online requests at the target.
        max_queue: Maximum number of queued online requests.
        limiter: `pimentowick.scheduling.limiter.BatchLimiter`.
        max_batch: Maximum number of concurrent batch items at the target.
        max_running: Number of streams that the engine runs concurrently. The engine
            queues further streams in arrival order, regardless of priority.
        clock: Function that returns monotonic seconds.

    Attributes:
        online: Tickets of the online requests at the target.
        batch: Tickets of the batch items at the target, in order of admission.
        preemptions: Number of batch items preempted so far.
        token_counter: `pimentowick.scheduling.token_counter.TokenCounter` of the batch
            tokens.
        step_tracker: `pimentowick.scheduling.step.StepTracker` that is notified of
            all tokens.
    """

    def __init__(
        self,
        max_online,
        max_queue,
        limiter,
        max_batch=0,
        max_running=None,
        clock=time.monotonic,
    ):
        self.max_online = max_online
        self.max_queue = max_queue
        self.limiter = limiter
        self.max_batch = max_batch
        self.max_running = max_running or max_online + max_batch
        self.online = set()
        self.batch = {}
        self.preemptions = 0
        self.token_counter = token_counter.TokenCounter(clock)
        self.step_tracker = scheduling_step.StepTracker(self.observe_step, clock)
        self._clock = clock
        self._prefilling = {}
        self._online_queue = fairness.FairQueue()
        self._batch_queue = fairness.FairQueue()
        self._mean_service_s = INITIAL_SERVICE_S
        self._prefetch = math.ceil(max_batch * PREFETCH_FRACTION)
        self._last_idle_at = clock()

    def count_online(self):
        """Return the number of running and queued online requests."""
        return len(self.online) + len(self._online_queue)

    def count_batch_items(self):
        """Return the number of running and queued batch items."""
        return len(self.batch) + len(self._batch_queue)

    def count_free_batch_slots(self):
        """Return how many more batch items would be accepted now."""
        if self.count_online() == 0:
            self._last_idle_at = self._clock()
        slots = self._get_limit()
        if self._clock() - self._last_idle_at <= RECENT_IDLE_S:
            slots = self.max_batch
        # Without a recent idle period only a few items are queued beyond the limit;
        # another agent may be able to run them sooner.
        return max(0, slots + self._prefetch - self.count_batch_items())

    def _get_limit(self):
        online = self.count_online()
        reserve = math.ceil(self.max_running * ONLINE_RESERVE_FRACTION) if online else 0
        capacity = self.max_running - min(online, self.max_online) - reserve
        return max(0, min(self.limiter.get_limit(online), self.max_batch, capacity))

    def estimate_wait(self, workspace=None):
        """Return the expected queueing time of a new online request, in seconds.

        Args:
            workspace: Name of the request's workspace. Fair queueing puts the request
                behind all queued requests of its own workspace and at most as many of
                each other workspace. None assumes the end of the whole queue.
        """
        waiting = len(self._online_queue)
        if workspace is not None:
            own = self._online_queue.count_waiting(workspace) + 1
            waiting = min(waiting, own * self._online_queue.count_workspaces())
        ahead = len(self.online) + waiting - self.max_online + 1
        return max(0.0, ahead * self._mean_service_s / self.max_online)

    def _is_queue_full(self, workspace):
        # Each workspace gets an equal share of the queue. With a single common bound, a
        # workspace that fills the queue would cause other workspaces to be refused.
        own = self._online_queue.count_waiting(workspace)
        others = self._online_queue.count_workspaces() - (own > 0)
        return own >= self.max_queue // (others + 1)

    async def admit_online(self, ticket, deadline_s):
        """Wait until an online request may be sent to the target.

        Args:
            ticket: The request's `Ticket`.
            deadline_s: Seconds until the request's deadline.

        Raises:
            RefusedError: The queue is full, or no slot becomes free before the
                deadline. Raised without waiting if the expected wait exceeds it.
        """
        wait_s = self.estimate_wait(ticket.workspace)
        if self._is_saturated() and self._is_queue_full(ticket.workspace):
            raise _make_busy_error(wait_s)
        if wait_s > deadline_s:
            raise _make_busy_error(wait_s)
        if self._is_saturated():
            await self._wait_online(ticket, deadline_s)
        if self.count_online() == 0:
            self._last_idle_at = self._clock()
        self.online.add(ticket)
        ticket.started_at = self._clock()
        self._update_online()
        self._preempt_excess()

    def _is_saturated(self):
        return len(self.online) >= self.max_online

    async def _wait_online(self, ticket, deadline_s):
        ticket.admitted = asyncio.get_running_loop().create_future()
        self._online_queue.push(ticket.workspace, ticket, ticket.cost, ticket.weight)
        self._preempt_excess()
        try:
            async with asyncio.timeout(deadline_s):
                await asyncio.shield(ticket.admitted)
        except TimeoutError:
            self._abandon_wait(self._online_queue, ticket)
            raise _make_busy_error(self.estimate_wait(ticket.workspace)) from None
        except asyncio.CancelledError:
            self._abandon_wait(self._online_queue, ticket)
            raise

    def _abandon_wait(self, queue, ticket):
        if not ticket.admitted.done():
            queue.remove(ticket)
            return
        # A slot was granted in the same event loop iteration as the timeout or
        # cancellation, so it has to be released.
        self.online.discard(ticket)
        self._update_online()
        self.batch.pop(ticket, None)
        self._prefilling.pop(ticket, None)
        self._admit_waiting()

    def release_online(self, ticket):
        """Release the slot of an online request."""
        self.online.discard(ticket)
        self._update_online()
        elapsed_s = self._clock() - ticket.started_at
        self._mean_service_s += EWMA_WEIGHT * (elapsed_s - self._mean_service_s)
        self._admit_waiting()

    async def admit_batch(self, ticket):
        """Wait until a batch item may be sent to the target.

        Raises:
            RefusedError: No further item is accepted, or the item was not started
                within `MAX_BATCH_WAIT_S`; another agent may run it sooner.
        """
        if self.count_free_batch_slots() == 0:
            raise _make_no_slot_error()
        try:
            async with asyncio.timeout(MAX_BATCH_WAIT_S):
                await self._wait_batch(ticket, charged=False)
        except TimeoutError:
            raise _make_no_slot_error() from None

    async def readmit_batch(self, ticket):
        """Wait until a preempted batch item may be resumed."""
        ticket.preempted.clear()
        await self._wait_batch(ticket, charged=True)

    async def _wait_batch(self, ticket, charged):
        ticket.admitted = asyncio.get_running_loop().create_future()
        self._batch_queue.push(
            ticket.workspace, ticket, ticket.cost, ticket.weight, charged
        )
        self._admit_waiting()
        try:
            await asyncio.shield(ticket.admitted)
        except asyncio.CancelledError:
            self._abandon_wait(self._batch_queue, ticket)
            raise

    def record_tokens(self, ticket, count):
        """Count tokens produced by a batch item; the first one ends its prefill."""
        self.token_counter.add(ticket.workspace, count, ticket.weight)
        if self._prefilling.pop(ticket, None) is not None:
            self._admit_waiting()

    def release_batch(self, ticket):
        """Release the slot of a batch item; idempotent."""
        self.batch.pop(ticket, None)
        self._prefilling.pop(ticket, None)
        self._admit_waiting()

    def enforce_limit(self):
        """Preempt or admit requests after the batch limit may have changed."""
        self._preempt_excess()
        self._admit_waiting()

    def _update_online(self):
        delay_s = self.limiter.update_online(self.count_online())
        if delay_s:
            # With no stream running, no step triggers a reevaluation of the limit.
            asyncio.get_running_loop().call_later(delay_s, self.enforce_limit)

    def observe_step(self, step):
        """Process a `pimentowick.scheduling.step.Step` of the engine."""
        self.limiter.observe_step(step)
        self.enforce_limit()

    def _start_batch(self, ticket):
        ticket.started_at = self._clock()
        self.batch[ticket] = None
        self._prefilling[ticket] = ticket.prompt_chars

    def _admit_waiting(self):
        while len(self._online_queue) and len(self.online) < self.max_online:
            ticket = self._online_queue.pop()
            self.online.add(ticket)
            ticket.started_at = self._clock()
            ticket.admitted.set_result(None)
        limit = self._get_limit()
        while len(self._batch_queue) and len(self.batch) < limit:
            if not self._can_start(self._batch_queue.peek()):
                return
            ticket = self._batch_queue.pop()
            self._start_batch(ticket)
            ticket.admitted.set_result(None)

    def _can_start(self, ticket):
        return self.limiter.can_start(
            ticket.prompt_chars,
            sum(self._prefilling.values()),
            self.count_online(),
            len(self.batch),
        )

    def _preempt_excess(self):
        excess = len(self.batch) - self._get_limit()
        if excess <= 0:
            return
        # The dictionary is in start order; the last items lose the least work.
        for ticket in list(self.batch)[-excess:]:
            del self.batch[ticket]
            self._prefilling.pop(ticket, None)
            ticket.preempted.set()
            self.preemptions += 1


def _make_no_slot_error():
    return exception.RefusedError(
        verdict.Refusal(
            429,
            "no_slot",
            "No place for batch items now.",
            retry_after=BATCH_RETRY_AFTER_S,
        )
    )


def _make_busy_error(wait_s):
    return exception.RefusedError(
        verdict.Refusal(
            503,
            "busy",
            "The target's queue is longer than the time left. Come back later.",
            retry_after=max(wait_s, MIN_RETRY_AFTER_S),
        )
    )
