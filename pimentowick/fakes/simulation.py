"""An engine in virtual time, to measure and to test policies.

The agent's own admission and work run unchanged against it. Nothing waits: when no
task can go on, the clock jumps to the next timer, so that a minute of traffic takes
a second, every run gives the same counts, and a busy machine adds no noise.
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
    """Batches continuously, like the stand-in over HTTP, by the same law.

    Args:
        base_ms: Milliseconds of a step with nothing running.
        slope: Part of the base by which each running stream lengthens a step.
        read_us: Microseconds to read a character of a prompt.
        max_running: Streams that run at once; others wait first come first served.
        can_resume: Whether streams can begin after their first tokens.
        cache_blocks: Blocks of 64 characters that the prefix cache holds.

    Attributes:
        tokens: Tokens produced, by the prefix of the request's id before ``/``.
        resumes: Streams that began after their first tokens.
        step_count: Steps so far.
        prefill_s: Seconds spent reading prompts, by the same prefix.
    """

    def __init__(
        self,
        base_ms=20.0,
        slope=0.02,
        read_us=20.0,
        max_running=64,
        can_resume=True,
        cache_blocks=1024,
    ):
        self.base_ms = base_ms
        self.slope = slope
        self.read_us = read_us
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
        """Begin to step."""
        self._task = asyncio.create_task(self._run_steps())

    async def close(self):
        """Stop stepping."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def generate(self, generation):
        """Yield what is generated; see `platform.engine.Engine.generate`."""
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
        """End the streams of a request."""
        for stream in [*self.running, *self.waiting]:
            if stream.generation.request_id == request_id:
                self._remove(stream)
                end = external_engine.End("cancelled", stream.index)
                stream.events.put_nowait(end)

    async def read_load(self):
        """Return the load."""
        return external_engine.EngineLoad(len(self.running), len(self.waiting))

    async def send_order(self, fence, action, **fields):
        """Obey; there is nothing to order."""

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
            # All that was asked for at this instant takes part.
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
                own_s = self._read(stream.generation.prompt) * self.read_us / 1e6
                self.prefill_s[_get_group(stream)] += own_s
                prefill_s += own_s
        return self.base_ms * (1 + self.slope * len(self.running)) / 1e3 + prefill_s

    def _read(self, prompt):
        """Return how many characters of a prompt are not in the cache."""
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
