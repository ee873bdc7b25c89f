"""A limit from a model of the engine's step that is learned while it runs.

Notes:
    The time of a step is taken as a base, a part for each running stream and a part
    for each prompt character read. Least squares give the three from the steps seen.
    The limit is then the number of batch streams that keeps the predicted step
    within the harm allowed; it changes with the first online request, before that
    request has been slowed, where a limiter that waits for long steps comes after
    the harm is done.

    Reading a prompt lengthens one step by much more than a running stream does. An
    item may begin beside online requests only if the step that reads it stays below
    what online requests meet without batch anyway, their own prompts being read.
"""

import collections
import time

from pimentowick.scheduling import idle, least_squares, limiter

__all__ = ["ModelLimiter", "make_limiter"]

FIRST_BASE_MS = 20.0
FIRST_SLOPE_MS = 1.0
FIRST_READ_MS = 0.01
FIRST_VARIANCES = [400.0, 1.0, 1e-4, 1e-4]
MIN_SLOPE_SHARE = 1e-4
MIN_SAMPLES = 20
ODD_FACTOR = 4.0
HISTORY = 1000
HISTORY_EVERY = 50
TAIL = 0.99
# What the setting `batch_harm` means; docs/POLICY.md has the measurements.
SETTINGS = {
    "averse": {
        "max_slowdown": 0.04,
        "start_interval_steps": 40,
        "slow_start_interval_steps": 400,
        "min_batch": 1,
    },
    "throughput": {
        "max_slowdown": 0.12,
        "start_interval_steps": 10,
        "slow_start_interval_steps": 40,
        "min_batch": 1,
    },
}


def make_limiter(batch_harm, max_batch, clock=time.monotonic):
    """Return the limiter for the setting `batch_harm`, averse or throughput."""
    return ModelLimiter(max_batch, clock=clock, **SETTINGS[batch_harm])


class ModelLimiter(limiter.BatchLimiter):
    """Keeps the predicted step within the harm allowed.

    Args:
        max_batch: Limit while no online request runs.
        max_slowdown: Part by which batch may lengthen a step beside online requests.
        prefill_share: Part of a step that reading batch prompts may add while no online
            request runs; one prompt at a time is always read.
        start_interval_steps: Steps beside online requests between two items that
            begin, if reading their prompts harms more than running them may.
        slow_start_interval_steps: The same if the step that reads the prompt is longer
            than those that online requests meet without batch; 0 for never.
        min_batch: Batch items that stay beside online requests whatever the harm.

    Examples:
        >>> from pimentowick.scheduling import step
        >>> model = ModelLimiter(32, max_slowdown=0.1)
        >>> for running in list(range(1, 20)) * 3:
        ...     seen = step.Step(20.0 + 0.4 * running, batch=running)
        ...     model.observe_step(seen)
        >>> model.get_limit(online=0), model.get_limit(online=5)
        (32, 5)
    """

    def __init__(
        self,
        max_batch,
        max_slowdown,
        prefill_share=1.0,
        start_interval_steps=20,
        slow_start_interval_steps=0,
        min_batch=0,
        clock=time.monotonic,
    ):
        self._max_batch = max_batch
        self._harm = max_slowdown
        self._read_share = prefill_share
        self._start_steps = start_interval_steps
        self._pause_steps = slow_start_interval_steps
        self._idle = idle.IdlePredictor(clock)
        self._least = min(min_batch, max_batch)
        # Online and batch prompts are told apart: many of one kind may lie in the
        # engine's prefix cache, and reading the others is no cheaper for it.
        guess = [FIRST_BASE_MS, FIRST_SLOPE_MS, FIRST_READ_MS, FIRST_READ_MS]
        self._fit = least_squares.RecursiveLeastSquares(guess, FIRST_VARIANCES)
        self._history = collections.deque(maxlen=HISTORY)
        self._tail_ms = 0.0
        self._steps_since_start = 0

    @property
    def base_ms(self):
        """Learned milliseconds of a step with nothing running."""
        return max(self._fit.weights[0], 0.0)

    @property
    def per_stream_ms(self):
        """Learned milliseconds that one running stream adds."""
        return max(self._fit.weights[1], MIN_SLOPE_SHARE * self.base_ms, 1e-6)

    @property
    def online_prefill_ms_per_char(self):
        """Learned milliseconds that a character of an online prompt adds."""
        return max(self._fit.weights[2], 0.0)

    @property
    def batch_prefill_ms_per_char(self):
        """Learned milliseconds that a character of a batch prompt adds."""
        return max(self._fit.weights[3], 0.0)

    def predict(self, running, online_prompt_chars=0, batch_prompt_chars=0):
        """Return the predicted time of a step, in milliseconds."""
        return (
            self.base_ms
            + self.per_stream_ms * running
            + self.online_prefill_ms_per_char * online_prompt_chars
            + self.batch_prefill_ms_per_char * batch_prompt_chars
        )

    def get_limit(self, online):
        """Return the limit; see `BatchLimiter.get_limit`."""
        if self._idle.expects_idle(online):
            return self._max_batch
        online = max(online, 1)
        allowed = self._harm * self.predict(online) / self.per_stream_ms
        # A whole number that rounding left a hair too small still counts.
        return min(self._max_batch, max(self._least, int(allowed + 1e-6)))

    def can_start(self, prompt_chars, prefilling, online, batch):
        """Return whether an item may begin; see `BatchLimiter.can_start`."""
        if self._idle.expects_idle(online):
            return self._can_start_idle(prompt_chars, prefilling, batch)
        if self.batch_prefill_ms_per_char * prompt_chars <= self._harm * self.predict(
            online
        ) - (self.per_stream_ms * (batch + 1)):
            return True
        if prefilling:
            return False
        online = max(online, 1)
        usual = self.predict(online + batch + 1, 0, prompt_chars) <= self._tail_ms
        pause = self._start_steps if usual else self._pause_steps
        if (pause == 0 and not usual) or self._steps_since_start < pause:
            return False
        self._steps_since_start = 0
        return True

    def _can_start_idle(self, prompt_chars, prefilling, batch):
        # The first request of a burst waits for the step that runs; a step that
        # reads the prompts of many items at once would hold it up for long.
        if prefilling == 0:
            return True
        added_ms = self.batch_prefill_ms_per_char * (prefilling + prompt_chars)
        return added_ms <= self._read_share * self.predict(batch)

    def update_online(self, online):
        """Take notice of the online requests; see `BatchLimiter.update_online`."""
        return self._idle.update_online(online)

    def observe_step(self, step):
        """Take notice of a step; see `BatchLimiter.observe_step`."""
        if step.online:
            self._steps_since_start += 1
        if self._is_odd(step):
            return
        inputs = [1.0, step.running, step.online_prompt_chars, step.batch_prompt_chars]
        self._fit.add(inputs, step.duration_ms)
        if step.online:
            self._note_online(step)

    def _is_odd(self, step):
        # A stall of the network or of this process is no property of the engine.
        if self._fit.count < MIN_SAMPLES:
            return False
        predicted_ms = self.predict(
            step.running, step.online_prompt_chars, step.batch_prompt_chars
        )
        return step.duration_ms > ODD_FACTOR * predicted_ms

    def _note_online(self, step):
        added_ms = (
            self.per_stream_ms * step.batch
            + self.batch_prefill_ms_per_char * step.batch_prompt_chars
        )
        alone_ms = step.duration_ms - added_ms
        self._history.append(alone_ms)
        if self._fit.count % HISTORY_EVERY == 0:
            ordered = sorted(self._history)
            self._tail_ms = ordered[int(TAIL * (len(ordered) - 1))]
