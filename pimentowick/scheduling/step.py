"""The steps of an engine, as the streams that pass through the agent show them.

An engine that batches continuously gives each running stream one token a step. The
agent sees the tokens of all streams, so it knows when each step ended, how many
streams took part and whose prompts it read, long before a load report would say so.
"""

import dataclasses
import time

__all__ = ["Step", "StepTracker"]


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One step of the engine.

    Attributes:
        duration_ms: Milliseconds from the end of the step before.
        online: Online streams that took part.
        batch: Batch streams that took part.
        online_prompt_chars: Characters of the online prompts that it read.
        batch_prompt_chars: Characters of the batch prompts that it read.
    """

    duration_ms: float
    online: int = 0
    batch: int = 0
    online_prompt_chars: int = 0
    batch_prompt_chars: int = 0

    @property
    def running(self):
        """Streams that took part."""
        return self.online + self.batch


class StepTracker:
    """Tells the steps from the tokens of the streams.

    Args:
        on_step: Function that is called with each `Step`.
        clock: Function that returns monotonic seconds.

    Examples:
        >>> now = [0.0]
        >>> step_tracker = StepTracker(print, clock=lambda: now[0])
        >>> for at in (0.02, 0.04, 0.06):
        ...     now[0] = at
        ...     step_tracker.observe_token("a", is_batch=False)
        ...     step_tracker.observe_token("b", is_batch=True)
        Step(duration_ms=20.0, online=1, batch=1, online_prompt_chars=0, \
batch_prompt_chars=0)
    """

    def __init__(self, on_step, clock=time.monotonic):
        self._take_step = on_step
        self._clock = clock
        self._seen = {}
        self._live = set()
        self._began_at = None
        self._ended_at = None

    def observe_token(self, stream, is_batch, prompt_chars=0):
        """Take notice of a stream's token.

        Args:
            stream: Anything hashable that tells the streams apart.
            is_batch: Whether it is a batch stream.
            prompt_chars: Length of its prompt if this is its first token.
        """
        if stream in self._seen or not self._live:
            self._turn(is_continued=stream in self._seen)
        self._seen[stream] = (is_batch, prompt_chars)
        self._live.add(stream)

    def observe_end(self, stream):
        """Take notice that a stream has ended or was preempted."""
        self._live.discard(stream)

    def _turn(self, is_continued):
        """Close the step whose tokens were gathered, and begin the next."""
        now = self._clock()
        if self._began_at is not None and self._seen:
            self._take_step(self._make_step())
        # With no stream in both steps the engine may have been idle in between: the
        # time that passed is no step's, and a limiter would take it for a slow one.
        self._began_at = self._ended_at if is_continued else None
        self._ended_at = now
        self._seen.clear()

    def _make_step(self):
        seen = self._seen.values()
        return Step(
            duration_ms=(self._ended_at - self._began_at) * 1e3,
            online=sum(not is_batch for is_batch, _ in seen),
            batch=sum(is_batch for is_batch, _ in seen),
            online_prompt_chars=sum(n for is_batch, n in seen if not is_batch),
            batch_prompt_chars=sum(n for is_batch, n in seen if is_batch),
        )
