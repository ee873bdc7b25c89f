"""What an agent admits to its target, and in which order.

An engine knows no priority and admits requests as they come, so the order is made
here. Online requests go first and wait only for each other. Batch items run within
the limit that `pimentowick.scheduling.limiter` sets; when it falls, the youngest of
them are preempted, which costs the least work.
"""

import asyncio
import dataclasses
import time

from pimentowick import exception, verdict
from pimentowick.scheduling import fairness

__all__ = ["Admission", "Ticket"]

SMOOTHING = 0.2
FIRST_SERVICE_S = 1.0
MIN_RETRY_AFTER_S = 0.1


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """One request's place at the target.

    Attributes:
        workspace: Name of the workspace.
        weight: Share of the workspace.
        cost: Expected tokens.
        holder: Entry that sent it.
        started_at: Monotonic time of admission.
        preempted: Set when a batch item has to give its place up.
    """

    workspace: str
    weight: float = 1.0
    cost: float = 1.0
    holder: str = ""
    started_at: float = 0.0
    preempted: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    admitted: asyncio.Future | None = None


class Admission:
    """Admits online requests and batch items to one target.

    Args:
        max_online: Most online requests at the target at once.
        max_queue: Most online requests that wait.
        limiter: `pimentowick.scheduling.limiter.BatchLimiter`.
    """

    def __init__(self, max_online, max_queue, limiter):
        self.max_online = max_online
        self.max_queue = max_queue
        self.limiter = limiter
        self.online = set()
        self.batch = {}
        self.preemptions = 0
        self._online_queue = fairness.FairQueue()
        self._batch_queue = fairness.FairQueue()
        self._service_s = FIRST_SERVICE_S

    def count_online(self):
        """Return how many online requests run or wait."""
        return len(self.online) + len(self._online_queue)

    def count_free_batch(self):
        """Return how many more batch items would run at once."""
        free = self.limiter.get_limit(self.count_online()) - len(self.batch)
        return max(0, free - len(self._batch_queue))

    def estimate_wait(self):
        """Return how long a new online request would wait, in seconds."""
        ahead = self.count_online() - self.max_online + 1
        return max(0.0, ahead * self._service_s / self.max_online)

    async def admit_online(self, ticket, deadline_s):
        """Wait for a place for an online request.

        Args:
            ticket: The request's `Ticket`.
            deadline_s: Seconds that are left to it.

        Raises:
            RefusedError: There is none in time. Given at once where that is known.
        """
        wait_s = self.estimate_wait()
        if len(self._online_queue) >= self.max_queue or wait_s > deadline_s:
            raise _refuse_busy(wait_s)
        if len(self.online) >= self.max_online:
            await self._wait_online(ticket, deadline_s)
        self.online.add(ticket)
        ticket.started_at = time.monotonic()
        self._preempt()

    async def _wait_online(self, ticket, deadline_s):
        ticket.admitted = asyncio.get_running_loop().create_future()
        self._online_queue.push(ticket.workspace, ticket, ticket.cost, ticket.weight)
        self._preempt()
        try:
            async with asyncio.timeout(deadline_s):
                await asyncio.shield(ticket.admitted)
        except TimeoutError:
            self._leave_queue(self._online_queue, ticket)
            raise _refuse_busy(self.estimate_wait()) from None
        except asyncio.CancelledError:
            self._leave_queue(self._online_queue, ticket)
            raise

    def _leave_queue(self, queue, ticket):
        if not ticket.admitted.done():
            queue.remove(ticket)
            return
        # The place was given in the same turn of the loop that ended the wait.
        self.online.discard(ticket)
        self.batch.pop(ticket, None)
        self._fill()

    def release_online(self, ticket):
        """Give an online request's place back."""
        self.online.discard(ticket)
        taken = time.monotonic() - ticket.started_at
        self._service_s += SMOOTHING * (taken - self._service_s)
        self._fill()

    def try_admit_batch(self, ticket):
        """Admit a batch item if there is a place for it now.

        Raises:
            RefusedError: There is none.
        """
        if self.count_free_batch() == 0:
            raise exception.RefusedError(
                verdict.Refusal(
                    429, "no_slot", "No place for batch items now.", retry_after=0.5
                )
            )
        self._start_batch(ticket)

    async def readmit_batch(self, ticket):
        """Wait for a place for a batch item that was preempted."""
        ticket.preempted.clear()
        ticket.admitted = asyncio.get_running_loop().create_future()
        self._batch_queue.push(ticket.workspace, ticket, ticket.cost, ticket.weight)
        self._fill()
        try:
            await asyncio.shield(ticket.admitted)
        except asyncio.CancelledError:
            self._leave_queue(self._batch_queue, ticket)
            raise

    def release_batch(self, ticket):
        """Give a batch item's place back; may be called twice."""
        self.batch.pop(ticket, None)
        self._fill()

    def apply_limit(self):
        """Preempt or admit batch items after the limit may have changed."""
        self._preempt()
        self._fill()

    def _start_batch(self, ticket):
        ticket.started_at = time.monotonic()
        self.batch[ticket] = None

    def _fill(self):
        while len(self._online_queue) and len(self.online) < self.max_online:
            ticket = self._online_queue.pop()
            self.online.add(ticket)
            ticket.admitted.set_result(None)
        limit = self.limiter.get_limit(self.count_online())
        while len(self._batch_queue) and len(self.batch) < limit:
            ticket = self._batch_queue.pop()
            self._start_batch(ticket)
            ticket.admitted.set_result(None)

    def _preempt(self):
        limit = self.limiter.get_limit(self.count_online())
        excess = len(self.batch) - limit
        if excess <= 0:
            return
        # The dictionary is in the order of starts: the last ones lose least.
        for ticket in list(self.batch)[-excess:]:
            del self.batch[ticket]
            ticket.preempted.set()
            self.preemptions += 1


def _refuse_busy(wait_s):
    return exception.RefusedError(
        verdict.Refusal(
            503,
            "busy",
            "The target's queue is longer than the time left. Come back later.",
            retry_after=max(wait_s, MIN_RETRY_AFTER_S),
        )
    )
