"""Enforces the quarantine of requests under which targets crash, within one process."""

import asyncio
import contextlib
import time

from pimentowick.routing import quarantine

__all__ = ["CrashGuard", "CrashIdentifier"]

# Runs that a target breaks off within this time are lost in the same crash.
CRASH_DURATION_S = 0.5


class CrashGuard:
    """Decides for each request whether it may run, and records crashes.

    Attributes:
        policy: `pimentowick.routing.quarantine.Quarantine`.

    Examples:
        >>> guard = CrashGuard()
        >>> guard.record_crash("f", "target 1")
        >>> guard.record_crash("f", "target 2")
        >>> guard.choose_step("f")
        <Step.TRIAL: 'trial'>
        >>> asyncio.run(guard.start_trial("f", "request 3"))
        True
        >>> guard.choose_step("f")
        <Step.WAIT: 'wait'>
        >>> guard.record_survival("f")
        True
        >>> guard.choose_step("f")
        <Step.RUN: 'run'>
    """

    def __init__(self):
        self.policy = quarantine.Quarantine()
        self._changed = asyncio.Event()
        self._interruptible = {}

    def choose_step(self, fingerprint):
        """Return the `quarantine.Step` for a request."""
        return self.policy.choose_step(fingerprint, time.monotonic())

    def get_delay(self, fingerprint):
        """Return the seconds until the next trial of a request."""
        return self.policy.get_delay(fingerprint, time.monotonic())

    async def wait_for_trial(self, fingerprint):
        """Wait until no trial of a request is in progress; return its next `Step`."""
        while self.choose_step(fingerprint) == quarantine.Step.WAIT:
            remaining_s = self.policy.get_trial_remaining(fingerprint, time.monotonic())
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        return self.choose_step(fingerprint)

    @contextlib.asynccontextmanager
    async def interrupt_if_refused(self, fingerprint):
        """Cancel the body of the context once a request must not run.

        Raises:
            TimeoutError: The body was cancelled.
        """
        async with asyncio.timeout(None) as timeout:
            self._interruptible[timeout] = fingerprint
            try:
                yield
            finally:
                del self._interruptible[timeout]

    async def start_trial(self, fingerprint, request_id):
        """Count a trial of a request.

        Args:
            fingerprint: Fingerprint of the request.
            request_id: Its identifier, for the log.

        Returns:
            Whether the request may run now.
        """
        if not await self._count_trial(fingerprint):
            return False
        self.on_trial(fingerprint, request_id)
        return True

    async def _count_trial(self, fingerprint):
        """Count a trial; return whether it may start."""
        if self.choose_step(fingerprint) != quarantine.Step.TRIAL:
            return False
        trials = self.policy.get_trials(fingerprint) + 1
        self.policy.record_trials(fingerprint, trials, time.monotonic())
        return True

    def cancel_trial(self, fingerprint):
        """Record that a trial ended without a result, such as a refusal."""
        self.policy.cancel_trial(fingerprint, time.monotonic())
        self._notify_changed()

    def record_crash(self, fingerprint, target_run):
        """Record that a target broke off a run of a request.

        Args:
            fingerprint: Fingerprint of the request.
            target_run: Identifier of the run of the target.
        """
        if self.policy.record_crash(fingerprint, target_run, time.monotonic()):
            self.on_opened(fingerprint)
        self._notify_changed()

    def record_survival(self, fingerprint, completed=True):
        """Record that a target ran a request without a crash.

        Args:
            fingerprint: Fingerprint of the request.
            completed: Whether the run completed, and was not cancelled.

        Returns:
            Whether crashes were voided.
        """
        was_open = self.choose_step(fingerprint) != quarantine.Step.RUN
        now = time.monotonic()
        if not self.policy.record_survival(fingerprint, now, completed):
            return False
        if was_open:
            self.on_released(fingerprint)
        self._notify_changed()
        return True

    def on_opened(self, fingerprint):
        """Handle that a request became quarantined."""

    def on_trial(self, fingerprint, request_id):
        """Handle the start of a trial."""

    def on_released(self, fingerprint):
        """Handle that a quarantined request completed."""

    def _notify_changed(self):
        self._changed.set()
        self._changed = asyncio.Event()
        for timeout, fingerprint in self._interruptible.items():
            if self.choose_step(fingerprint) == quarantine.Step.REFUSE:
                timeout.reschedule(asyncio.get_running_loop().time())


class CrashIdentifier:
    """Identifies the crashes of targets whose runs have no identifiers of their own.

    Examples:
        >>> identifier = CrashIdentifier()
        >>> identifier.identify("a", now=1.0) == identifier.identify("a", now=1.1)
        True
        >>> identifier.identify("a", now=1.2) == identifier.identify("a", now=2.0)
        False
        >>> identifier.identify("a", now=2.0) == identifier.identify("b", now=2.0)
        False
    """

    def __init__(self):
        self._started_at = {}

    def identify(self, target, now):
        """Return an identifier of the crash in which a run is lost.

        Args:
            target: Name of the target.
            now: Monotonic time at which the run is lost, in seconds.
        """
        started_at = self._started_at.get(target, float("-inf"))
        if now - started_at > CRASH_DURATION_S:
            self._started_at[target] = started_at = now
        return f"{target}@{started_at:.3f}"

    def retain(self, targets):
        """Forget all other targets."""
        self._started_at = {
            name: at for name, at in self._started_at.items() if name in targets
        }
