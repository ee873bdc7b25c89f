"""Enforces the quarantine of what crashes targets, within one process.

Notes:
    A request has several names: its fingerprint, and the names of the shared parts of
    its prompt (`quarantine.name_part`). It may run if all of them may.
"""

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
        >>> guard.choose_step(["f"])
        <Step.TRIAL: 'trial'>
        >>> asyncio.run(guard.start_trial(["f"], "request 3"))
        ['f']
        >>> guard.choose_step(["f"])
        <Step.WAIT: 'wait'>
        >>> guard.record_survival("f")
        True
        >>> guard.choose_step(["f"])
        <Step.RUN: 'run'>
    """

    def __init__(self):
        self.policy = quarantine.Quarantine()
        self._changed = asyncio.Event()
        self._interruptible = {}

    def choose_step(self, names, is_deferred=False):
        """Return the `quarantine.Step` for a request.

        Args:
            names: Its fingerprint and the names of its parts.
            is_deferred: Whether it is an item of a batch job.
        """
        now = time.monotonic()
        if is_deferred:
            return self.policy.choose_deferred_step(names, now)
        return self.policy.choose_joint_step(names, now)

    def get_delay(self, names, is_deferred=False):
        """Return the seconds until the next trial of a request."""
        now = time.monotonic()
        if is_deferred:
            return self.policy.get_deferred_delay(names, now)
        return self.policy.get_joint_delay(names, now)

    def list_crashes(self, names):
        """Return the targets that crashed under a request or its open parts."""
        opened = self.policy.list_open(names, time.monotonic())
        return sorted({t for name in opened for t in self.policy.list_crashes(name)})

    async def wait_for_trial(self, names):
        """Wait until no trial of a request is in progress; return its next `Step`."""
        while self.choose_step(names) == quarantine.Step.WAIT:
            now = time.monotonic()
            remaining_s = max(self.policy.get_trial_remaining(n, now) for n in names)
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        return self.choose_step(names)

    @contextlib.asynccontextmanager
    async def interrupt_if_refused(self, names):
        """Cancel the body of the context once a request must not run.

        Raises:
            TimeoutError: The body was cancelled.
        """
        async with asyncio.timeout(None) as timeout:
            self._interruptible[timeout] = names
            try:
                yield
            finally:
                self._interruptible.pop(timeout, None)

    async def start_trial(self, names, request_id, is_deferred=False):
        """Count a trial of a request, for each of its names that is quarantined.

        Args:
            names: Its fingerprint and the names of its parts.
            request_id: Its identifier, for the log.
            is_deferred: Whether it is an item of a batch job.

        Returns:
            The names of which this is a trial; empty if the request may not run now.
        """
        counted = await self._count_trials(names, is_deferred)
        for name in counted:
            self.on_trial(name, request_id)
        return counted

    async def _count_trials(self, names, is_deferred):
        """Count a trial for each name; return those names, or none if one may not."""
        counted = []
        suspected = self.policy.list_suspected(names)
        for name in self.policy.list_open(names, time.monotonic()):
            if not await self._count_trial(name, suspected, is_deferred):
                self.cancel_trial(counted)
                return []
            counted.append(name)
        return counted

    async def _count_trial(self, name, suspected, is_deferred):
        """Count a trial of a request with a set of suspected names.

        Returns:
            Whether it may start.
        """
        now = time.monotonic()
        if not self.policy.may_start_trial(name, suspected, now, is_deferred):
            return False
        trials = self.policy.get_trials(name) + 1
        self.policy.record_trials(name, trials, now, sets=[suspected])
        return True

    def cancel_trial(self, names):
        """Record that a trial ended without a result, such as a refusal."""
        for name in names:
            self.policy.cancel_trial(name, time.monotonic())
        self._notify_changed()

    def record_crash(self, name, target_run):
        """Record that a target broke off a run of a request.

        Args:
            name: Name of the request or part.
            target_run: Identifier of the run of the target.
        """
        if self.policy.record_crash(name, target_run, time.monotonic()):
            self.on_opened(name)
        self._notify_changed()

    def record_survival(self, name, completed=True, began_at=None):
        """Record that a target ran a request without a crash.

        Args:
            name: Name of the request or part.
            completed: Whether the run completed, and was not cancelled.
            began_at: Monotonic time at which it began to answer, if it says nothing
                about crashes since.

        Returns:
            Whether crashes were voided.
        """
        was_open = self.policy.is_quarantined(name)
        now = time.monotonic()
        if not self.policy.record_survival(name, now, completed, began_at):
            return False
        if was_open and not self.policy.is_quarantined(name):
            self.on_released(name)
        self._notify_changed()
        return True

    def record_target_survival(self, target_run, until):
        """Record that a run of a target was alive at some time.

        Args:
            target_run: Identifier of the run of the target.
            until: Monotonic time at which it was certainly alive.

        Returns:
            The names whose crashes were voided.
        """
        if self.policy.is_empty():
            return []
        voided, released = self.policy.record_target_survival(
            target_run, until, time.monotonic()
        )
        for name in released:
            self.on_withdrawn(name, target_run)
        if voided:
            self._notify_changed()
        return voided

    def on_opened(self, name):
        """Handle that a request became quarantined."""

    def on_trial(self, name, request_id):
        """Handle the start of a trial."""

    def on_released(self, name):
        """Handle that a quarantined request completed."""

    def on_withdrawn(self, name, target_run):
        """Handle the release of a request, since a target survived it."""

    def _notify_changed(self):
        self._changed.set()
        self._changed = asyncio.Event()
        refused = [
            timeout
            for timeout, names in self._interruptible.items()
            if self.choose_step(names) == quarantine.Step.REFUSE
        ]
        for timeout in refused:
            # A timeout can't be rescheduled once it has expired.
            del self._interruptible[timeout]
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
