"""Batch concurrency limit based on a step time model fitted online.

Notes:
    The model predicts the step time as a base time plus a cost per running stream and
    a cost per prompt character prefilled. Recursive least squares fits the three
    coefficients to the observed steps. The limit is the largest number of batch
    streams that keeps the predicted step time within the allowed slowdown. It adapts
    as soon as the first online request arrives, before that request is slowed down; a
    limiter that reacts to long steps adapts only afterwards.

    Prefilling a prompt lengthens a single step far more than decoding a stream does.
    While online requests run, an item may normally start only if the step that
    prefills its prompt is no longer than the steps that online requests experience
    without batch items, including the prefill of their own prompts.
"""

import collections
import time

from pimentowick.scheduling import idle, least_squares, limiter

__all__ = ["ModelLimiter", "make_limiter"]

INITIAL_BASE_MS = 20.0
INITIAL_PER_STREAM_MS = 1.0
INITIAL_PREFILL_MS_PER_CHAR = 0.01
INITIAL_VARIANCES = [400.0, 1.0, 1e-4, 1e-4]
MIN_PER_STREAM_FRACTION = 1e-4
MIN_SAMPLES = 20
OUTLIER_FACTOR = 4.0
HISTORY_STEPS = 1000
TAIL_UPDATE_STEPS = 50
TAIL_QUANTILE = 0.99
# Parameters for each value of the setting `batch_harm`; see docs/POLICY.md.
PRESETS = {
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
    """Return the limiter for a value of the setting `batch_harm`.

    Args:
        batch_harm: ``averse`` or ``throughput``.
        max_batch: Limit while no online request runs.
        clock: Function that returns monotonic seconds.
    """
    return ModelLimiter(max_batch, clock=clock, **PRESETS[batch_harm])


class ModelLimiter(limiter.BatchLimiter):
    """Limits batch items so that the predicted step time stays within a slowdown.

    Args:
        max_batch: Limit while no online request runs.
        max_slowdown: Fraction by which batch items may lengthen a step while online
            requests run.
        prefill_share: Fraction by which prefilling batch prompts may lengthen a step
            while no online request runs. One prompt may always be prefilled.
        start_interval_steps: Minimum number of steps with online requests between the
            starts of two items whose prefill exceeds `max_slowdown`.
        slow_start_interval_steps: The same for an item whose prefill makes the step
            longer than online requests experience without batch items; 0 to never
            start such an item.
        min_batch: Number of batch items always allowed while online requests run.
        clock: Function that returns monotonic seconds.

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
        self._max_slowdown = max_slowdown
        self._prefill_share = prefill_share
        self._start_interval_steps = start_interval_steps
        self._slow_start_interval_steps = slow_start_interval_steps
        self._idle = idle.IdlePredictor(clock)
        self._min_batch = min(min_batch, max_batch)
        # Online and batch prompts have separate coefficients because their hit rates
        # in the engine's prefix cache may differ.
        initial_weights = [
            INITIAL_BASE_MS,
            INITIAL_PER_STREAM_MS,
            INITIAL_PREFILL_MS_PER_CHAR,
            INITIAL_PREFILL_MS_PER_CHAR,
        ]
        self._fit = least_squares.RecursiveLeastSquares(
            initial_weights, INITIAL_VARIANCES
        )
        self._online_only_history = collections.deque(maxlen=HISTORY_STEPS)
        self._tail_ms = 0.0
        self._steps_since_start = 0

    @property
    def base_ms(self):
        """Estimated duration of a step without streams, in milliseconds."""
        return max(self._fit.weights[0], 0.0)

    @property
    def per_stream_ms(self):
        """Estimated milliseconds that one running stream adds to a step."""
        return max(self._fit.weights[1], MIN_PER_STREAM_FRACTION * self.base_ms, 1e-6)

    @property
    def online_prefill_ms_per_char(self):
        """Estimated milliseconds to prefill one character of an online prompt."""
        return max(self._fit.weights[2], 0.0)

    @property
    def batch_prefill_ms_per_char(self):
        """Estimated milliseconds to prefill one character of a batch prompt."""
        return max(self._fit.weights[3], 0.0)

    def predict(self, running, online_prompt_chars=0, batch_prompt_chars=0):
        """Return the predicted duration of a step, in milliseconds.

        Args:
            running: Number of running streams.
            online_prompt_chars: Characters of online prompts prefilled in the step.
            batch_prompt_chars: Characters of batch prompts prefilled in the step.
        """
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
        allowed = self._max_slowdown * self.predict(online) / self.per_stream_ms
        # Tolerates floating-point error just below a whole number.
        return min(self._max_batch, max(self._min_batch, int(allowed + 1e-6)))

    def can_start(self, prompt_chars, prefilling, online, batch):
        """Return whether an item may start; see `BatchLimiter.can_start`."""
        if self._idle.expects_idle(online):
            return self._can_start_idle(prompt_chars, prefilling, batch)
        if (
            self.batch_prefill_ms_per_char * prompt_chars
            <= self._max_slowdown * self.predict(online)
            - (self.per_stream_ms * (batch + 1))
        ):
            return True
        if prefilling:
            return False
        online = max(online, 1)
        is_typical = self.predict(online + batch + 1, 0, prompt_chars) <= self._tail_ms
        interval_steps = (
            self._start_interval_steps
            if is_typical
            else self._slow_start_interval_steps
        )
        if (
            interval_steps == 0 and not is_typical
        ) or self._steps_since_start < interval_steps:
            return False
        self._steps_since_start = 0
        return True

    def _can_start_idle(self, prompt_chars, prefilling, batch):
        # The first online request of a burst waits for the current step to end, so no
        # step may prefill the prompts of many items at once.
        if prefilling == 0:
            return True
        added_ms = self.batch_prefill_ms_per_char * (prefilling + prompt_chars)
        return added_ms <= self._prefill_share * self.predict(batch)

    def update_online(self, online):
        """Update the number of online requests; see `BatchLimiter.update_online`."""
        return self._idle.update_online(online)

    def observe_step(self, step):
        """Update the model with a step; see `BatchLimiter.observe_step`."""
        if step.online:
            self._steps_since_start += 1
        if self._is_outlier(step):
            return
        inputs = [1.0, step.running, step.online_prompt_chars, step.batch_prompt_chars]
        self._fit.add(inputs, step.duration_ms)
        if step.online:
            self._update_tail(step)

    def _is_outlier(self, step):
        # A step lengthened by a stall of the network or of this process says nothing
        # about the engine's speed.
        if self._fit.count < MIN_SAMPLES:
            return False
        predicted_ms = self.predict(
            step.running, step.online_prompt_chars, step.batch_prompt_chars
        )
        return step.duration_ms > OUTLIER_FACTOR * predicted_ms

    def _update_tail(self, step):
        added_ms = (
            self.per_stream_ms * step.batch
            + self.batch_prefill_ms_per_char * step.batch_prompt_chars
        )
        online_only_ms = step.duration_ms - added_ms
        self._online_only_history.append(online_only_ms)
        if self._fit.count % TAIL_UPDATE_STEPS == 0:
            ordered = sorted(self._online_only_history)
            self._tail_ms = ordered[int(TAIL_QUANTILE * (len(ordered) - 1))]
