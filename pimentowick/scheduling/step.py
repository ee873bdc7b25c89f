"""Engine steps, inferred from the token streams that pass through the agent.

An engine with continuous batching generates one token per step for each running
stream. The agent sees the tokens of all streams, so it can tell when each step ended,
which streams were running and which prompts were prefilled, without waiting for a
load report.
"""

import dataclasses
import time

__all__ = ["Step", "StepTracker"]


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One step of the engine.

    Attributes:
        duration_ms: Milliseconds since the end of the previous step.
        online: Number of online streams that received a token.
        batch: Number of batch streams that received a token.
        online_prompt_chars: Characters of online prompts prefilled in the step.
        batch_prompt_chars: Characters of batch prompts prefilled in the step.
    """

    duration_ms: float
    online: int = 0
    batch: int = 0
    online_prompt_chars: int = 0
    batch_prompt_chars: int = 0

    @property
    def running(self):
        """Number of streams that received a token."""
        return self.online + self.batch


class StepTracker:
    """Groups the tokens of all streams into steps.

    Args:
        on_step: Callback that receives each `Step`.
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
        self._on_step = on_step
        self._clock = clock
        self._streams = {}
        self._active = set()
        self._started_at = None
        self._ended_at = None

    def observe_token(self, stream, is_batch, prompt_chars=0):
        """Record a token of a stream.

        Args:
            stream: Hashable object that identifies the stream.
            is_batch: Whether the stream belongs to a batch item.
            prompt_chars: Number of prompt characters prefilled if this is the stream's
                first token, else 0.
        """
        if stream in self._streams or not self._active:
            self._close_step(is_continued=stream in self._streams)
        self._streams[stream] = (is_batch, prompt_chars)
        self._active.add(stream)

    def observe_end(self, stream):
        """Record that a stream has ended or was preempted."""
        self._active.discard(stream)

    def _close_step(self, is_continued):
        """Report the step whose tokens were collected, and begin the next one."""
        now = self._clock()
        if self._started_at is not None and self._streams:
            self._on_step(self._make_step())
        # If no stream spans both steps, the engine may have been idle in between, and
        # the elapsed time must not be reported as the duration of a step.
        self._started_at = self._ended_at if is_continued else None
        self._ended_at = now
        self._streams.clear()

    def _make_step(self):
        streams = self._streams.values()
        return Step(
            duration_ms=(self._ended_at - self._started_at) * 1e3,
            online=sum(not is_batch for is_batch, _ in streams),
            batch=sum(is_batch for is_batch, _ in streams),
            online_prompt_chars=sum(n for is_batch, n in streams if not is_batch),
            batch_prompt_chars=sum(n for is_batch, n in streams if is_batch),
        )
