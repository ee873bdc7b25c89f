"""Generates online and batch traffic for an agent's admission and measures it."""

import asyncio
import dataclasses
import random

from pimentowick import exception
from pimentowick.agent import work as agent_work
from pimentowick.external import engine as external_engine

__all__ = ["MODEL", "WARM_UP_S", "Item", "Outcome", "Traffic", "drive", "make_work"]

HEARTBEAT_S = 0.5
MESSAGE_DELAY_S = 0.001
WARM_UP_S = 6.0
MODEL = "model"


@dataclasses.dataclass(frozen=True)
class Traffic:
    """Online requests with Poisson arrivals, continuously or in on-off periods.

    Attributes:
        rate: Mean arrivals a second in an on period.
        on_s: Length of an on period in seconds; 0 for continuous traffic.
        off_s: Length of an off period in seconds.
        burst: Requests that arrive together at the start of an on period.
        prompt: Length of a prompt in characters.
        prefixes: Number of distinct prefixes shared by the prompts; 0 for none.
        tokens: Tokens of a response.
    """

    rate: float
    on_s: float = 0.0
    off_s: float = 0.0
    burst: int = 0
    prompt: int = 400
    prefixes: int = 0
    tokens: int = 24

    def make_prompt(self, number, rng):
        """Return the prompt of a request."""
        if not self.prefixes:
            return f"{number:010d}".ljust(self.prompt, "x")
        shared = int(self.prompt * 0.9)
        prefix = f"prefix-{rng.randrange(self.prefixes)}-".ljust(shared, "p")
        return prefix + f"{number:010d}".ljust(self.prompt - shared, "x")


@dataclasses.dataclass(frozen=True)
class Item:
    """Size of batch items.

    Attributes:
        prompt: Length of a prompt in characters.
        tokens: Tokens of a response.
    """

    prompt: int = 400
    tokens: int = 64


@dataclasses.dataclass
class Outcome:
    """Measurements after the warm-up.

    Attributes:
        first_ms: Times to first token of online requests.
        burst_ms: Times to first token of the online requests of bursts.
        gap_ms: Times between tokens of online requests.
        online_tokens: Tokens of online requests.
        batch_tokens: Tokens of batch items.
        free_tokens: Tokens of batch items while no online request was present.
        free_s: Seconds in which no online request was present.
        refill_s: Seconds from the end of the last online request until the batch
            items at the engine reached the limit of the policy.
        refused: Number of refused online requests.
        preemptions: Number of preemptions of batch items.
        duration_s: Length of the measurement in seconds.
    """

    first_ms: list = dataclasses.field(default_factory=list)
    burst_ms: list = dataclasses.field(default_factory=list)
    gap_ms: list = dataclasses.field(default_factory=list)
    online_tokens: int = 0
    batch_tokens: int = 0
    free_tokens: int = 0
    free_s: float = 0.0
    refill_s: list = dataclasses.field(default_factory=list)
    refused: int = 0
    preemptions: int = 0
    duration_s: float = 0.0


class _Driver:
    def __init__(self, target, admission, traffic, item, duration_s, seed):
        self.target = target
        self.admission = admission
        self.traffic = traffic
        self.item = item
        self.outcome = Outcome()
        self._loop = asyncio.get_running_loop()
        self._begin_at = self._loop.time() + WARM_UP_S
        self._end_at = self._begin_at + duration_s
        self._rng = random.Random(seed)
        self._count = 0
        self._in_flight = 0
        self._window = 0
        self._tasks = set()
        self._free_since = self._loop.time()

    @property
    def is_measured(self):
        return self._begin_at <= self._loop.time() < self._end_at

    def start_child(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self):
        if self.traffic is not None:
            self.start_child(self._send_online())
        self.start_child(self._send_batch())
        await asyncio.sleep(self._begin_at - self._loop.time())
        preemptions = self.admission.preemptions
        await asyncio.sleep(self._end_at - self._loop.time())
        self.outcome.preemptions = self.admission.preemptions - preemptions
        self.outcome.duration_s = self._end_at - self._begin_at
        if self._free_since is not None:
            self._add_free_time()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return self.outcome

    async def _send_online(self):
        traffic = self.traffic
        while True:
            on_until = self._loop.time() + (traffic.on_s or float("inf"))
            for _ in range(traffic.burst):
                self.start_child(self._run_online(is_burst=True))
            while self._loop.time() < on_until:
                await asyncio.sleep(self._rng.expovariate(traffic.rate))
                self.start_child(self._run_online(is_burst=False))
            await asyncio.sleep(traffic.off_s)

    async def _run_online(self, is_burst):
        self._count += 1
        prompt = self.traffic.make_prompt(self._count, self._rng)
        work = make_work("online", self._count, prompt, self.traffic.tokens)
        sent_at = self._loop.time()
        last_at = None
        measured = self.is_measured
        self._on_online_start()
        try:
            async for line in work.run(self.target, self.admission):
                now = self._loop.time()
                if self.is_measured and b'"texts"' in line:
                    self.outcome.online_tokens += 1
                if measured and last_at is None:
                    self.outcome.first_ms.append((now - sent_at) * 1e3)
                    if is_burst:
                        self.outcome.burst_ms.append((now - sent_at) * 1e3)
                elif measured and b'"texts"' in line:
                    self.outcome.gap_ms.append((now - last_at) * 1e3)
                last_at = now
        except exception.RefusedError:
            self.outcome.refused += 1
        finally:
            self._on_online_end()

    def _on_online_start(self):
        if self._free_since is not None:
            self._add_free_time()
            self._free_since = None

    def _add_free_time(self):
        since = max(self._free_since, self._begin_at)
        self.outcome.free_s += max(0.0, min(self._loop.time(), self._end_at) - since)

    def _on_online_end(self):
        if self.admission.count_online() == 0 and self._free_since is None:
            self._free_since = self._loop.time()
            if self.admission.max_batch and self.is_measured:
                self.start_child(self._watch_refill(self._free_since))

    async def _watch_refill(self, since):
        batch_limit = self.admission.limiter.get_limit(0)
        while self._free_since == since:
            if len(self.admission.batch) >= batch_limit:
                self.outcome.refill_s.append(self._loop.time() - since)
                return
            await asyncio.sleep(0.01)

    async def _send_batch(self):
        """Dispatch like an entry, by the free slots reported in heartbeats."""
        self.start_child(self._send_heartbeats())
        while True:
            while self._in_flight < self._window:
                self._in_flight += 1
                self.start_child(self._run_batch())
            await asyncio.sleep(MESSAGE_DELAY_S)

    async def _send_heartbeats(self):
        while True:
            self._window = self._in_flight + self.admission.count_free_batch_slots()
            await asyncio.sleep(HEARTBEAT_S)

    async def _run_batch(self):
        self._count += 1
        prompt = f"b{self._count:010d}".ljust(self.item.prompt, "y")
        work = make_work("batch", self._count, prompt, self.item.tokens)
        try:
            async for line in work.run(self.target, self.admission):
                if b'"texts"' in line and self.is_measured:
                    self.outcome.batch_tokens += 1
                    self.outcome.free_tokens += self._free_since is not None
        except exception.RefusedError:
            self._window = self._in_flight - 1
        finally:
            self._in_flight -= 1


def make_work(priority, number, prompt, tokens, workspace="workspace"):
    """Return a unit of work as an entry sends it to an agent."""
    envelope = agent_work.Envelope(
        request_id=f"{priority}/{number}",
        attempt=1,
        entry="entry",
        workspace=workspace,
        priority=priority,
        deadline_s=60.0,
        cost=tokens,
    )
    generation = external_engine.Generation(
        envelope.request_id, 1, MODEL, None, prompt, tokens
    )
    return agent_work.GenerateWork(envelope, generation)


async def drive(target, admission, traffic, item, duration_s, seed=1):
    """Send traffic through an admission and return the `Outcome`.

    Args:
        target: `pimentowick.external.engine.Engine`.
        admission: `pimentowick.scheduling.admission.Admission`.
        traffic: `Traffic`, or None for batch alone.
        item: `Item`.
        duration_s: Length of the measurement after the warm-up, in seconds.
        seed: Seed of the arrivals.
    """
    driver = _Driver(target, admission, traffic, item, duration_s, seed)
    return await driver.run()
