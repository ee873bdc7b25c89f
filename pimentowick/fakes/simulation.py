"""Simulation of an engine in virtual time, to test and benchmark policies.

The agent's admission and work run unchanged against it. When no task is ready, the
clock jumps to the next timer, so that runs are fast and deterministic.
"""

import asyncio
import collections

from pimentowick import exception, verdict
from pimentowick.external import engine as external_engine
from pimentowick.fakes import engine

__all__ = ["SimulatedEngine", "VirtualLoop", "run"]

RESUME_REFUSED = verdict.Refusal(400, "no_resume", "This engine can't resume.")


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self):
        super().__init__()
        self._now = 0.0
        select = self._selector.select

        def jump(timeout):
            if timeout:
                self._now += timeout
            return select(0)

        self._selector.select = jump

    def time(self):
        """Return the virtual time in seconds."""
        return self._now


def run(coroutine):
    """Run a coroutine in virtual time and return its result.

    Examples:
        >>> run(asyncio.sleep(3600, "an hour later"))
        'an hour later'
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)


class _Stream:
    def __init__(self, generation):
        self.generation = generation
        self.index = generation.resume_tokens
        self.events = asyncio.Queue()


class SimulatedEngine(external_engine.Engine):
    """An engine with continuous batching and the cost model of `engine.Engine`.

    Args:
        base_step_ms: Duration in milliseconds of a step with no running stream.
        slope: Fraction of `base_step_ms` that each running stream adds to a step.
        prefill_us_per_char: Microseconds of prefill per character of the prompt.
        max_running: Maximum number of running streams; others are queued (FIFO).
        can_resume: Whether a stream may resume after tokens generated elsewhere.
        cache_blocks: Capacity of the prefix cache, in blocks of 64 characters.

    Attributes:
        tokens: Tokens generated, by the prefix of the request id before ``/``.
        resumes: Number of resumed streams.
        step_count: Number of steps so far.
        prefill_s: Seconds of prefill, by the same prefix.
    """

    def __init__(
        self,
        base_step_ms=20.0,
        slope=0.02,
        prefill_us_per_char=20.0,
        max_running=64,
        can_resume=True,
        cache_blocks=1024,
    ):
        self.base_step_ms = base_step_ms
        self.slope = slope
        self.prefill_us_per_char = prefill_us_per_char
        self.max_running = max_running
        self.can_resume = can_resume
        self.cache_blocks = cache_blocks
        self.running = []
        self.waiting = collections.deque()
        self.tokens = collections.Counter()
        self.prefill_s = collections.Counter()
        self.resumes = 0
        self.step_count = 0
        self._cache = collections.OrderedDict()
        self._work = asyncio.Event()
        self._task = None

    async def start(self):
        """Start the step loop."""
        self._task = asyncio.create_task(self._run_steps())

    async def close(self):
        """Stop the step loop."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def generate(self, generation):
        """Yield the generated events; see `external.engine.Engine.generate`."""
        if generation.resume_tokens and not self.can_resume:
            raise exception.RefusedError(RESUME_REFUSED)
        stream = _Stream(generation)
        self.resumes += bool(generation.resume_tokens)
        self.waiting.append(stream)
        self._work.set()
        try:
            while True:
                event = await stream.events.get()
                yield event
                if isinstance(event, external_engine.End):
                    return
        finally:
            self._remove(stream)

    async def cancel(self, request_id):
        """Cancel the streams of a request."""
        for stream in [*self.running, *self.waiting]:
            if stream.generation.request_id == request_id:
                self._remove(stream)
                end = external_engine.End("cancelled", stream.index)
                stream.events.put_nowait(end)

    async def read_load(self):
        """Return the current load."""
        return external_engine.EngineLoad(len(self.running), len(self.waiting))

    async def send_order(self, fence, action, **fields):
        """Accept any order without effect."""

    def _remove(self, stream):
        if stream in self.running:
            self.running.remove(stream)
        elif stream in self.waiting:
            self.waiting.remove(stream)

    async def _run_steps(self):
        while True:
            if not self.running and not self.waiting:
                self._work.clear()
                await self._work.wait()
            # Lets requests submitted at the same instant join this step.
            await asyncio.sleep(0)
            await asyncio.sleep(self._begin_step())
            for stream in list(self.running):
                self._emit(stream)

    def _begin_step(self):
        self.step_count += 1
        prefill_s = 0.0
        while self.waiting and len(self.running) < self.max_running:
            stream = self.waiting.popleft()
            self.running.append(stream)
            if not stream.generation.resume_tokens:
                duration_s = (
                    self._prefill(stream.generation.prompt)
                    * self.prefill_us_per_char
                    / 1e6
                )
                self.prefill_s[_get_group(stream)] += duration_s
                prefill_s += duration_s
        return (
            self.base_step_ms * (1 + self.slope * len(self.running)) / 1e3 + prefill_s
        )

    def _prefill(self, prompt):
        """Cache a prompt and return how many of its characters were not cached."""
        blocks = engine.hash_blocks(prompt)
        cached = sum(block in self._cache for block in blocks)
        for block in reversed(blocks):
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self.cache_blocks:
            self._cache.popitem(last=False)
        return len(prompt) - cached * engine.BLOCK_CHARACTERS

    def _emit(self, stream):
        self.tokens[_get_group(stream)] += 1
        stream.events.put_nowait(external_engine.Tokens(stream.index, ["x"]))
        stream.index += 1
        if stream.index >= stream.generation.max_tokens:
            self._remove(stream)
            stream.events.put_nowait(external_engine.End("length", stream.index))


def _get_group(stream):
    return stream.generation.request_id.partition("/")[0]
