"""What an agent admits to its target, and in which order.

An engine knows no priority and admits requests as they come, so the order is made
here. Online requests go first and wait only for each other. Batch items run within
the limit that `pimentowick.scheduling.limiter` sets; when it falls, the youngest of
them are preempted, which costs the least work.

Batch items wait here, too, a few more than can run: idle capacity lasts only
seconds, and asking an entry for work would take a part of them.
"""

import asyncio
import dataclasses
import math
import time

from pimentowick import exception, verdict
from pimentowick.scheduling import fairness, token_counter
from pimentowick.scheduling import step as scheduling_step

__all__ = ["Admission", "Ticket"]

SMOOTHING = 0.2
FIRST_SERVICE_S = 1.0
MIN_RETRY_AFTER_S = 0.1
BATCH_RETRY_AFTER_S = 0.5
# Longest wait of a batch item that has not begun, in seconds.
MAX_BATCH_WAIT_S = 5.0
# Part of the places for batch items by which more of them are held than can run.
AHEAD_SHARE = 0.125
# An agent that was idle so lately keeps items for all its places: it will be again.
IDLE_HORIZON_S = 2.0
# Part of the engine's places that stays free for online requests of a burst: they
# arrive before the engine has obeyed the orders that make room for them.
RESERVE_SHARE = 0.125


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """One request's place at the target.

    Attributes:
        workspace: Name of the workspace.
        weight: Share of the workspace.
        cost: Expected tokens.
        entry: Entry that sent it.
        prompt_chars: Length of the prompt that the engine has to read.
        started_at: Monotonic time of admission.
        preempted: Set when a batch item has to give its place up.
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
    """Admits online requests and batch items to one target.

    Args:
        max_online: Most online requests at the target at once.
        max_queue: Most online requests that wait.
        limiter: `pimentowick.scheduling.limiter.BatchLimiter`.
        max_batch: Most batch items at the target at once.
        max_running: Streams that the engine runs at once. It would let further ones
            wait, online or batch, as they came.
        clock: Function that returns monotonic seconds.

    Attributes:
        online: Tickets of the online requests at the target.
        batch: Tickets of the batch items at the target, oldest first.
        preemptions: Batch items preempted so far.
        token_counter: `pimentowick.scheduling.token_counter.TokenCounter` of the batch
            tokens.
        step_tracker: `pimentowick.scheduling.step.StepTracker` that observes all
            tokens.
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
        self._reading = {}
        self._online_queue = fairness.FairQueue()
        self._batch_queue = fairness.FairQueue()
        self._service_s = FIRST_SERVICE_S
        self._ahead = math.ceil(max_batch * AHEAD_SHARE)
        self._idle_at = clock()

    def count_online(self):
        """Return how many online requests run or wait."""
        return len(self.online) + len(self._online_queue)

    def count_batch_items(self):
        """Return how many batch items run or wait here."""
        return len(self.batch) + len(self._batch_queue)

    def count_free_batch_slots(self):
        """Return how many more batch items would be taken now."""
        if self.count_online() == 0:
            self._idle_at = self._clock()
        places = self._get_limit()
        if self._clock() - self._idle_at <= IDLE_HORIZON_S:
            places = self.max_batch
        # Else another agent may have room: items would only grow old here.
        return max(0, places + self._ahead - self.count_batch_items())

    def _get_limit(self):
        online = self.count_online()
        reserve = math.ceil(self.max_running * RESERVE_SHARE) if online else 0
        room = self.max_running - min(online, self.max_online) - reserve
        return max(0, min(self.limiter.get_limit(online), self.max_batch, room))

    def estimate_wait(self, workspace=None):
        """Return how long a new online request would wait, in seconds.

        Args:
            workspace: Whose request; a workspace waits behind its own requests and
                as many of each other one. None for the last in the queue.
        """
        waiting = len(self._online_queue)
        if workspace is not None:
            own = self._online_queue.count_waiting(workspace) + 1
            waiting = min(waiting, own * self._online_queue.count_workspaces())
        ahead = len(self.online) + waiting - self.max_online + 1
        return max(0.0, ahead * self._service_s / self.max_online)

    def _is_full(self, workspace):
        # One bound for all would let a workspace that floods the queue have the
        # requests of all others refused: each has an equal part of the queue.
        own = self._online_queue.count_waiting(workspace)
        others = self._online_queue.count_workspaces() - (own > 0)
        return own >= self.max_queue // (others + 1)

    async def admit_online(self, ticket, deadline_s):
        """Wait for a place for an online request.

        Args:
            ticket: The request's `Ticket`.
            deadline_s: Seconds that are left to it.

        Raises:
            RefusedError: There is none in time. Given at once where that is known.
        """
        wait_s = self.estimate_wait(ticket.workspace)
        if self._is_waiting_needed() and self._is_full(ticket.workspace):
            raise _refuse_busy(wait_s)
        if wait_s > deadline_s:
            raise _refuse_busy(wait_s)
        if self._is_waiting_needed():
            await self._wait_online(ticket, deadline_s)
        if self.count_online() == 0:
            self._idle_at = self._clock()
        self.online.add(ticket)
        ticket.started_at = self._clock()
        self._note_online()
        self._preempt()

    def _is_waiting_needed(self):
        return len(self.online) >= self.max_online

    async def _wait_online(self, ticket, deadline_s):
        ticket.admitted = asyncio.get_running_loop().create_future()
        self._online_queue.push(ticket.workspace, ticket, ticket.cost, ticket.weight)
        self._preempt()
        try:
            async with asyncio.timeout(deadline_s):
                await asyncio.shield(ticket.admitted)
        except TimeoutError:
            self._leave_queue(self._online_queue, ticket)
            raise _refuse_busy(self.estimate_wait(ticket.workspace)) from None
        except asyncio.CancelledError:
            self._leave_queue(self._online_queue, ticket)
            raise

    def _leave_queue(self, queue, ticket):
        if not ticket.admitted.done():
            queue.remove(ticket)
            return
        # The place was given in the same turn of the loop that ended the wait.
        self.online.discard(ticket)
        self._note_online()
        self.batch.pop(ticket, None)
        self._reading.pop(ticket, None)
        self._fill()

    def release_online(self, ticket):
        """Give an online request's place back."""
        self.online.discard(ticket)
        self._note_online()
        taken = self._clock() - ticket.started_at
        self._service_s += SMOOTHING * (taken - self._service_s)
        self._fill()

    async def admit_batch(self, ticket):
        """Wait for a place for a batch item.

        Raises:
            RefusedError: As many wait as are held here, given at once; or it has
                waited for so long that another agent may be the better place.
        """
        if self.count_free_batch_slots() == 0:
            raise _refuse_batch()
        try:
            async with asyncio.timeout(MAX_BATCH_WAIT_S):
                await self._wait_batch(ticket, charged=False)
        except TimeoutError:
            raise _refuse_batch() from None

    async def readmit_batch(self, ticket):
        """Wait for a place for a batch item that was preempted."""
        ticket.preempted.clear()
        await self._wait_batch(ticket, charged=True)

    async def _wait_batch(self, ticket, charged):
        ticket.admitted = asyncio.get_running_loop().create_future()
        self._batch_queue.push(
            ticket.workspace, ticket, ticket.cost, ticket.weight, charged
        )
        self._fill()
        try:
            await asyncio.shield(ticket.admitted)
        except asyncio.CancelledError:
            self._leave_queue(self._batch_queue, ticket)
            raise

    def record_tokens(self, ticket, count):
        """Take notice of tokens of a batch item; with the first, its prompt is read."""
        self.token_counter.add(ticket.workspace, count, ticket.weight)
        if self._reading.pop(ticket, None) is not None:
            self._fill()

    def release_batch(self, ticket):
        """Give a batch item's place back; may be called twice."""
        self.batch.pop(ticket, None)
        self._reading.pop(ticket, None)
        self._fill()

    def enforce_limit(self):
        """Preempt or admit batch items after the limit may have changed."""
        self._preempt()
        self._fill()

    def _note_online(self):
        delay_s = self.limiter.update_online(self.count_online())
        if delay_s:
            # Without a batch item at work no step would bring the limit up again.
            asyncio.get_running_loop().call_later(delay_s, self.enforce_limit)

    def observe_step(self, step):
        """Take notice of a `pimentowick.scheduling.step.Step` of the engine."""
        self.limiter.observe_step(step)
        self.enforce_limit()

    def _start_batch(self, ticket):
        ticket.started_at = self._clock()
        self.batch[ticket] = None
        self._reading[ticket] = ticket.prompt_chars

    def _fill(self):
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
            sum(self._reading.values()),
            self.count_online(),
            len(self.batch),
        )

    def _preempt(self):
        excess = len(self.batch) - self._get_limit()
        if excess <= 0:
            return
        # The dictionary is in the order of starts: the last ones lose least.
        for ticket in list(self.batch)[-excess:]:
            del self.batch[ticket]
            self._reading.pop(ticket, None)
            ticket.preempted.set()
            self.preemptions += 1


def _refuse_batch():
    return exception.RefusedError(
        verdict.Refusal(
            429,
            "no_slot",
            "No place for batch items now.",
            retry_after=BATCH_RETRY_AFTER_S,
        )
    )


def _refuse_busy(wait_s):
    return exception.RefusedError(
        verdict.Refusal(
            503,
            "busy",
            "The target's queue is longer than the time left. Come back later.",
            retry_after=max(wait_s, MIN_RETRY_AFTER_S),
        )
    )
