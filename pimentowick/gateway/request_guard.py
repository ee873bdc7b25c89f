"""One online request and the quarantine of what crashes targets."""

import asyncio
import functools
import time

from pimentowick import verdict
from pimentowick.routing import quarantine

__all__ = ["QUARANTINED", "RequestGuard"]

QUARANTINED = "quarantined"
# A trial that another entry starts is decided by then.
MIN_RETRY_S = 0.5


class RequestGuard:
    """Asks the quarantine whether a request may run, and reports its runs to it.

    Args:
        guard: `pimentowick.gateway.crash_guard.SharedCrashGuard`.
        request_id: Identifier of the request, for the log.
        compute_fingerprint: Function that returns its fingerprint.
        list_part_names: Function that returns the names of the parts of its prompt.

    Attributes:
        has_reached_target: Whether a target received the request as a trial.
    """

    def __init__(self, guard, request_id, compute_fingerprint, list_part_names):
        self._guard = guard
        self._request_id = request_id
        self._compute_fingerprint = compute_fingerprint
        self._list_part_names = list_part_names
        self._trial_names = []
        self._trial_crashes = frozenset()
        self._is_cancelled = False
        # Timer after which the current run has survived the parts of its prompt.
        self._survival_timer = None
        self._has_survived = False
        self.has_reached_target = False

    @functools.cached_property
    def fingerprint(self):
        """Fingerprint of the request."""
        return self._compute_fingerprint()

    @functools.cached_property
    def _part_names(self):
        return self._list_part_names()

    @functools.cached_property
    def _names(self):
        return [self.fingerprint, *self._part_names]

    @property
    def is_trial(self):
        """Whether the request runs as a trial."""
        return bool(self._trial_names)

    def choose_step(self):
        """Return the `quarantine.Step` for the request."""
        if self.is_trial or self._guard.policy.is_empty():
            return quarantine.Step.RUN
        return self._guard.choose_step(self._names)

    def list_crashed_targets(self):
        """Return the targets that crashed under a trial; None if this is not one."""
        if self.is_trial:
            return self._trial_crashes
        if self.choose_step() != quarantine.Step.TRIAL:
            return None
        return frozenset(self._guard.list_crashes(self._names))

    async def is_refused(self):
        """Return whether the request must not run, after a trial in progress ended."""
        if self.choose_step() == quarantine.Step.RUN:
            return False
        step = await self._guard.wait_for_trial(self._names)
        return step == quarantine.Step.REFUSE

    async def may_start(self):
        """Return whether the request may run now; start its trial if it needs one."""
        step = self.choose_step()
        if step == quarantine.Step.TRIAL:
            self._trial_crashes = frozenset(self._guard.list_crashes(self._names))
            self._trial_names = await self._guard.start_trial(
                self._names, self._request_id
            )
            return self.is_trial
        return step == quarantine.Step.RUN

    def may_start_later(self):
        """Return whether the trial of another attempt has released it, or still may."""
        return self.choose_step() in (quarantine.Step.RUN, quarantine.Step.WAIT)

    def interrupt_if_refused(self):
        """Return a context; see `crash_guard.CrashGuard.interrupt_if_refused`."""
        return self._guard.interrupt_if_refused(self._names)

    def start_run(self):
        """Record that the request is sent to a target."""
        self._has_survived = False

    def on_run_began(self):
        """Record that a target has begun to answer."""
        if not self._part_names:
            return
        self._survival_timer = asyncio.get_running_loop().call_later(
            quarantine.PART_SURVIVAL_S, self._record_survived_parts, time.monotonic()
        )

    def end_run(self):
        """Record that the run at the target has ended."""
        if self._survival_timer is not None:
            self._survival_timer.cancel()

    def record_answer(self, began_at):
        """Record that a target answered.

        Args:
            began_at: Monotonic time at which it began to; None if it sent nothing that
                shows that it ran the request.
        """
        self._guard.record_survival(self.fingerprint)
        if began_at is not None:
            self._record_survived_parts(began_at)

    def record_target_answer(self, target, sent_at):
        """Record it; see `crash_guard.SharedCrashGuard.record_target_answer`."""
        self._guard.record_target_answer(target, sent_at)

    def record_cancelled_run(self, sent_at, has_begun):
        """Record that a run was cancelled, as its caller left or at its deadline.

        Args:
            sent_at: Monotonic time at which the request was sent.
            has_begun: Whether it had sent events.
        """
        if has_begun and time.monotonic() - sent_at >= quarantine.SURVIVAL_S:
            self._guard.record_survival(self.fingerprint, completed=False)
        else:
            self.cancel_trial()

    def cancel_trial(self):
        """Record that a trial ended without a result, if this is one."""
        if self.is_trial and not self._is_cancelled:
            self._is_cancelled = True
            self._guard.cancel_trial(self._trial_names)

    def record_crash(self, target_run):
        """Record that a target may have crashed during the run.

        Args:
            target_run: Identifier of the run of the target.
        """
        names = [self.fingerprint] if self._has_survived else self._names
        for name in names:
            self._guard.record_crash(name, target_run)

    def cancel_unused_trial(self):
        """Record that the request is refused; a trial without a target is void."""
        if not self.has_reached_target:
            self.cancel_trial()

    def make_refusal(self):
        """Return the `verdict.Refusal` of a quarantined request."""
        return verdict.Refusal(
            503,
            QUARANTINED,
            "Targets crashed under this request or under a part of its prompt, so that "
            "it runs again only after the time in Retry-After.",
            retry_after=max(self._guard.get_delay(self._names), MIN_RETRY_S),
        )

    def describe(self):
        """Return what decided about a quarantined request, for the log."""
        policy = self._guard.policy
        return {
            "fingerprint": self.fingerprint,
            "quarantined": policy.list_quarantined(self._names),
            "crashed": self._guard.list_crashes(self._names),
            "trials": policy.count_trials(self._names),
            "retry_after_s": self._guard.get_delay(self._names),
        }

    def _record_survived_parts(self, began_at):
        """Record that the parts of the prompt crashed nothing until a time."""
        self._has_survived = True
        for name in self._part_names:
            self._guard.record_survival(name, began_at=began_at)
