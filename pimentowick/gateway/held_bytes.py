"""The bytes that this entry holds for callers, and callers that read slowly."""

import asyncio
import dataclasses
import time

from pimentowick import verdict
from pimentowick.gateway import decision_log, route
from pimentowick.gateway.policy import memory_budget, slow_reader

__all__ = ["HeldBytes", "find_rank"]

CHECK_INTERVAL_S = 0.25
# Code of refusals for want of memory.
NO_MEMORY = "no_memory"


@dataclasses.dataclass(slots=True)
class _Progress:
    """How far a caller has read a response.

    Attributes:
        began_at: Monotonic time at which bytes were first unread.
        began_bytes: Bytes of the connection that were sent then.
        sent_bytes: Bytes of the connection that are sent now.
        changed_at: Monotonic time at which that number last grew.
    """

    began_at: float
    began_bytes: int
    sent_bytes: int
    changed_at: float


def find_rank(configuration, exchange):
    """Return the `memory_budget.Rank` of a request whose headers have arrived.

    Args:
        configuration: The `route.Configuration` in force, or None.
        exchange: The `exchange.Exchange`.
    """
    matched = None
    if configuration is not None:
        matched = configuration.find(exchange.host, exchange.path)
    if matched is None:
        return memory_budget.Rank.ORDINARY
    if matched.kind == route.Kind.BATCH:
        return memory_budget.Rank.BATCH
    if matched.priority == min(each.priority for each in configuration.routes):
        return memory_budget.Rank.URGENT
    return memory_budget.Rank.ORDINARY


class HeldBytes:
    """Accounts of the requests in progress, and the responses that are not read.

    Attributes:
        budget: The `memory_budget.MemoryBudget`. It has no limit until one is set.
        ended_readers: Number of callers disconnected because they did not read.
        paused_responses: Number of responses that were paused.
    """

    def __init__(self):
        self.budget = memory_budget.MemoryBudget()
        self.budget.on_release = self._wake_waiting
        self.ended_readers = 0
        self.paused_responses = 0
        self._waiting = []
        self._unread = {}
        self._paused = set()

    def open(self, caller):
        """Return a `memory_budget.Account` for a new request.

        Args:
            caller: Address of the caller.
        """
        return memory_budget.Account(self.budget, caller, time.monotonic())

    def refuse_body(self, exchange, size, rank):
        """Return the refusal of a request whose body must not be held, or None.

        Args:
            exchange: The `exchange.Exchange`, of which the headers have arrived.
            size: Number of further bytes of the body.
            rank: The `memory_budget.Rank` of the request.
        """
        budget, account = self.budget, exchange.account
        if budget.may_accept_body(account.caller, size, rank):
            return None
        retry_after_s = budget.refuse_body(size, time.monotonic())
        decision_log.log_request_event(
            "caller.no_memory",
            exchange.request_id,
            outcome=NO_MEMORY,
            caller=account.caller,
            rank=rank.name.lower(),
            body_bytes=size,
            held_bytes=budget.held,
            held_for_caller=budget.get_held_by(account.caller),
            capacity_bytes=budget.capacity,
            retry_after_s=retry_after_s,
        )
        return verdict.Refusal(
            503,
            NO_MEMORY,
            "This entry has no memory for the body. Come back later.",
            retry_after=retry_after_s,
        )

    async def wait_for_room(self, account):
        """Wait until more of a response may be read from its target."""
        if self.budget.may_buffer(account):
            return
        self._log_pause("response.paused", account)
        while not self.budget.may_buffer(account):
            future = asyncio.get_running_loop().create_future()
            self._waiting.append(future)
            await future

    def _wake_waiting(self):
        waiting, self._waiting = self._waiting, []
        for future in waiting:
            if not future.done():
                future.set_result(None)

    def update_unread(self, exchange):
        """Record how much of a response is unread.

        Returns:
            Whether the response must pause until the caller has read it.
        """
        unread = exchange.count_unread()
        exchange.account.set(memory_budget.Kind.UNREAD, unread)
        if not unread:
            self._unread.pop(exchange, None)
            return False
        if exchange not in self._unread:
            now, sent = time.monotonic(), exchange.count_sent()
            self._unread[exchange] = _Progress(now, sent, sent, now)
        if not self.budget.must_pause(exchange.account):
            return False
        self._log_pause("reader.paused", exchange.account)
        return True

    def close(self, exchange):
        """Release what is held for a request that has ended."""
        self._unread.pop(exchange, None)
        self._paused.discard(exchange.account)
        exchange.account.close(time.monotonic())

    def _log_pause(self, event, account):
        """Log the first pause of a response; each of its writes may pause it."""
        if account in self._paused:
            return
        self._paused.add(account)
        self.paused_responses += 1
        decision_log.log_event(
            event,
            caller=account.caller,
            unread_bytes=account.by_kind[memory_budget.Kind.UNREAD],
            held_bytes=self.budget.held,
            capacity_bytes=self.budget.capacity,
        )

    async def end_stalled_readers(self, get_idle_timeout):
        """Disconnect callers that do not read, until cancelled.

        Args:
            get_idle_timeout: Function that returns for how long a caller may be idle.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check_readers(get_idle_timeout(), time.monotonic())

    def check_readers(self, idle_timeout_s, now):
        """Disconnect the callers that do not read."""
        for exchange in list(self._unread):
            self.update_progress(exchange, now)
        readers = [
            self._describe_reader(exchange, progress, now)
            for exchange, progress in self._unread.items()
        ]
        ended = slow_reader.choose_readers_to_end(
            readers, idle_timeout_s, self.budget.is_full
        )
        for reader in readers:
            if reader.key in ended:
                self._end_reader(reader)

    def update_progress(self, exchange, now):
        """Record how much of a response its caller has read by now."""
        progress = self._unread[exchange]
        sent = exchange.count_sent()
        if sent != progress.sent_bytes:
            progress.sent_bytes = sent
            progress.changed_at = now
        unread = exchange.count_unread()
        exchange.account.set(memory_budget.Kind.UNREAD, unread)
        if not unread:
            del self._unread[exchange]

    def _describe_reader(self, exchange, progress, now):
        return slow_reader.Reader(
            key=exchange,
            unread_bytes=exchange.count_unread(),
            stalled_s=now - progress.changed_at,
            behind_s=now - progress.began_at,
            read_bytes=progress.sent_bytes - progress.began_bytes,
        )

    def _end_reader(self, reader):
        self.ended_readers += 1
        decision_log.log_event(
            "reader.ended",
            caller=reader.key.account.caller,
            id=reader.key.request_id,
            unread_bytes=reader.unread_bytes,
            stalled_s=reader.stalled_s,
            behind_s=reader.behind_s,
            read_bytes=reader.read_bytes,
            held_bytes=self.budget.held,
            capacity_bytes=self.budget.capacity,
        )
        reader.key.disconnect()
