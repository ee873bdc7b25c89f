"""Quarantine of requests under which targets crash.

Notes:
    Failure pattern: a request crashes each target that begins to run it, and its
    caller sends it again, with a new identifier and to any entry. The other requests
    at these targets are lost with it, and a popular one is lost again and again. A
    crash alone does not show which of the requests caused it.

    There is one circuit breaker for each fingerprint (see `pimentowick.fingerprint`).
    It opens once `MIN_CRASHES` targets have crashed under the request and none has
    completed it since. While it is open, one entry at a time runs the request, as a
    trial, and other attempts wait briefly for its result. A trial that completes closes
    the breaker, so that a request that merely was present runs again as soon as it
    returns. The delay after a trial grows, so that a request that crashes its targets
    gets few of them. A popular request needs no trial: an entry at which it completed
    lately closes the breaker at once.

    Each entry keeps the set of targets that crashed under a request, and merges it with
    those of its peers. A completed run voids the crashes known at that time. Voided
    crashes are remembered, so that lost, repeated and reordered reports do no harm, and
    no clocks are compared.

References:
    M. Nygard, "Release It!", 2007 (circuit breaker).
    B. Beyer et al., "Site Reliability Engineering", 2016, chapter 22 (query of death).
    M. Shapiro et al., "Conflict-free replicated data types", 2011 (two-phase set).
"""

import collections
import dataclasses
import enum

__all__ = ["SURVIVAL_S", "Quarantine", "Report", "Step"]

# A single crash says little: most of the requests at the target did not cause it.
MIN_CRASHES = 2
# Delay after the first, the second and all further trials.
TRIAL_DELAYS_S = (1.0, 15.0, 600.0)
# A request that completed within this time did not cause the crashes since.
COMPLETION_RETENTION_S = 60.0
MAX_COMPLETED = 1024
# A run that streamed events for this long before its caller left did not crash.
SURVIVAL_S = 1.0
# Other attempts wait this long for the result of a trial.
TRIAL_TIMEOUT_S = 1.0
# A request that does not return for this long is forgotten.
RETENTION_S = 600.0
# Exceeds the time for which a report or a record of a voided crash may be in transit.
VOID_RETENTION_S = 60.0
# Bounds on memory, of all requests and of one.
MAX_SUSPECTS = 512
MAX_CRASHES = 8
# Changes are reported repeatedly for this long, so that a lost report does no harm.
REPORT_DURATION_S = 3.0
# Exceeds the requests that one entry may lose with a target.
MAX_REPORTED = 16


class Step(enum.Enum):
    """What may be done with a request."""

    RUN = "run"
    """It is not quarantined."""
    TRIAL = "trial"
    """It may run at one entry, as a trial."""
    WAIT = "wait"
    """A trial is in progress and may release it soon."""
    REFUSE = "refuse"
    """It may not run before the delay has passed."""


@dataclasses.dataclass(eq=False, slots=True)
class _Suspect:
    """What is known of one request under which a target crashed.

    Attributes:
        crashes: Time of report by target; the newest last.
        voided: Time of voiding by target.
        trials: Number of trials since the breaker opened.
        cancelled: Number of those that ended without a result.
        next_trial_at: Time from which the next trial may start.
        trial_ends_at: Time until which the result of a trial may arrive.
        updated_at: Time of the last change.
    """

    crashes: dict = dataclasses.field(default_factory=dict)
    voided: dict = dataclasses.field(default_factory=dict)
    trials: int = 0
    cancelled: int = 0
    next_trial_at: float = float("-inf")
    trial_ends_at: float = float("-inf")
    updated_at: float = 0.0

    @property
    def is_open(self):
        """Whether the request is quarantined."""
        return len(self.crashes) >= MIN_CRASHES


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Recent observations of one entry.

    Attributes:
        crashes: Targets that crashed, by fingerprint.
        voided: Targets whose crashes no longer count, by fingerprint.
    """

    crashes: dict = dataclasses.field(default_factory=dict)
    voided: dict = dataclasses.field(default_factory=dict)


class Quarantine:
    """The quarantined requests as known to one entry; times are monotonic, in seconds.

    Examples:
        >>> quarantine = Quarantine()
        >>> quarantine.record_crash("f", "target 1", now=0.0)
        False
        >>> quarantine.choose_step("f", now=0.0)
        <Step.RUN: 'run'>
        >>> quarantine.record_crash("f", "target 2", now=1.0)
        True
        >>> quarantine.choose_step("f", now=1.0)
        <Step.TRIAL: 'trial'>
        >>> quarantine.record_trials("f", 1, now=1.0)
        >>> quarantine.choose_step("f", now=1.5), quarantine.choose_step("f", now=2.0)
        (<Step.WAIT: 'wait'>, <Step.TRIAL: 'trial'>)
        >>> quarantine.record_trials("f", 2, now=2.0)
        >>> quarantine.choose_step("f", now=3.0), quarantine.get_delay("f", now=3.0)
        (<Step.REFUSE: 'refuse'>, 14.0)
        >>> quarantine.record_survival("f", now=3.0)
        True
        >>> quarantine.choose_step("f", now=3.0)
        <Step.RUN: 'run'>
    """

    def __init__(self):
        self._completed = collections.OrderedDict()
        self._suspects = collections.OrderedDict()
        self._observed = collections.OrderedDict()

    def is_empty(self):
        """Return whether nothing is known of any request."""
        return not self._suspects

    def count_suspects(self):
        """Return (suspects, quarantined ones among them)."""
        opened = sum(suspect.is_open for suspect in self._suspects.values())
        return len(self._suspects), opened

    def list_suspects(self):
        """Return the fingerprints of all requests of which anything is known."""
        return list(self._suspects)

    def list_crashes(self, fingerprint):
        """Return the targets that crashed under a request since it last completed."""
        suspect = self._suspects.get(fingerprint)
        return [] if suspect is None else sorted(suspect.crashes)

    def get_trials(self, fingerprint):
        """Return the number of trials of a request since its breaker opened."""
        suspect = self._suspects.get(fingerprint)
        return 0 if suspect is None else suspect.trials

    def get_cancelled(self, fingerprint):
        """Return the number of those trials that ended without a result."""
        suspect = self._suspects.get(fingerprint)
        return 0 if suspect is None else suspect.cancelled

    def choose_step(self, fingerprint, now):
        """Return the `Step` for a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.is_open:
            return Step.RUN
        if now >= suspect.next_trial_at:
            return Step.TRIAL
        return Step.WAIT if now < suspect.trial_ends_at else Step.REFUSE

    def get_delay(self, fingerprint, now):
        """Return the seconds until the next trial of a request."""
        suspect = self._suspects.get(fingerprint)
        return 0.0 if suspect is None else max(0.0, suspect.next_trial_at - now)

    def record_crash(self, fingerprint, target, now):
        """Record that a target broke off a run of a request at this entry.

        Args:
            fingerprint: Fingerprint of the request.
            target: Identifier of the run of the target.
            now: Time of the crash.

        Returns:
            Whether the request became quarantined.
        """
        was_open = self._is_open(fingerprint)
        if not self._add_crash(fingerprint, target, now):
            return False
        self._observe(fingerprint, target, False, now)
        self._void_if_completed(fingerprint, now)
        return not was_open and self._is_open(fingerprint)

    def record_survival(self, fingerprint, now, completed=True):
        """Record that a target ran a request without a crash.

        Args:
            fingerprint: Fingerprint of the request.
            now: Time of the end of the run.
            completed: Whether the run completed. One that was cancelled voids the
                crashes so far, but says nothing about later ones.

        Returns:
            Whether crashes were voided.
        """
        if completed:
            self._completed.pop(fingerprint, None)
            self._completed[fingerprint] = now
            if len(self._completed) > MAX_COMPLETED:
                self._completed.popitem(last=False)
        return self._void_all(fingerprint, now)

    def get_trial_remaining(self, fingerprint, now):
        """Return the seconds for which the result of a trial may still arrive."""
        suspect = self._suspects.get(fingerprint)
        return 0.0 if suspect is None else max(0.0, suspect.trial_ends_at - now)

    def record_trials(self, fingerprint, trials, now, cancelled=0, known_crashes=None):
        """Record the numbers of trials of a request; lower numbers are ignored.

        Args:
            fingerprint: Fingerprint of the request.
            trials: Number of trials since its breaker opened.
            now: Time at which the latest of them became known.
            cancelled: Number of those that ended without a result.
            known_crashes: Targets whose crashes were known when it started; None for
                all. Further crashes are its result.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.is_open:
            return
        if trials <= suspect.trials and cancelled <= suspect.cancelled:
            return
        is_started = trials > suspect.trials
        suspect.trials = max(trials, suspect.trials)
        suspect.cancelled = max(cancelled, suspect.cancelled)
        suspect.updated_at = now
        suspect.next_trial_at = now
        suspect.trial_ends_at = float("-inf")
        failures = suspect.trials - suspect.cancelled
        if not is_started or failures <= 0:
            return
        delay_s = TRIAL_DELAYS_S[min(failures, len(TRIAL_DELAYS_S)) - 1]
        suspect.next_trial_at = now + delay_s
        if known_crashes is None or suspect.crashes.keys() <= set(known_crashes):
            suspect.trial_ends_at = now + TRIAL_TIMEOUT_S

    def cancel_trial(self, fingerprint, now):
        """Record that the latest trial ended without a result, such as a refusal.

        The request may have another trial at once.
        """
        cancelled = self.get_cancelled(fingerprint) + 1
        if cancelled <= self.get_trials(fingerprint):
            trials = self.get_trials(fingerprint)
            self.record_trials(fingerprint, trials, now, cancelled)

    def build_report(self, now):
        """Return the `Report` of this entry's recent observations."""
        while self._observed:
            at = next(iter(self._observed.values()))[1]
            if now - at <= REPORT_DURATION_S:
                break
            self._observed.popitem(last=False)
        report = Report()
        for (fingerprint, target), (is_voided, _) in self._observed.items():
            rows = report.voided if is_voided else report.crashes
            rows.setdefault(fingerprint, []).append(target)
        return report

    def merge_report(self, report, now):
        """Apply the `Report` of another entry; return the newly quarantined requests.

        Crashes are merged before they are voided; the order of reports does not matter.
        """
        opened = []
        for fingerprint, targets in report.crashes.items():
            was_open = self._is_open(fingerprint)
            for target in targets:
                self._add_crash(fingerprint, target, now)
            self._void_if_completed(fingerprint, now)
            if not was_open and self._is_open(fingerprint):
                opened.append(fingerprint)
        for fingerprint, targets in report.voided.items():
            for target in targets:
                self._void_crash(fingerprint, target, now)
        return opened

    def describe(self, fingerprint):
        """Return all that is known of a request, as a `Report`."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return Report()
        return Report(
            {fingerprint: sorted(suspect.crashes)},
            {fingerprint: sorted(suspect.voided)},
        )

    def is_known(self, fingerprint):
        """Return whether crashes or voided crashes of a request are known."""
        return fingerprint in self._suspects

    def expire(self, now):
        """Remove what is older than its retention."""
        for fingerprint, suspect in list(self._suspects.items()):
            suspect.voided = {
                target: at
                for target, at in suspect.voided.items()
                if now - at <= VOID_RETENTION_S
            }
            is_idle = now - suspect.updated_at > RETENTION_S
            if is_idle or not (suspect.crashes or suspect.voided):
                del self._suspects[fingerprint]

    def _is_open(self, fingerprint):
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.is_open

    def _add_crash(self, fingerprint, target, now):
        """Add a crash; return whether it is new and counts."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = self._insert(fingerprint)
        if target in suspect.voided or target in suspect.crashes:
            return False
        suspect.crashes[target] = now
        if len(suspect.crashes) > MAX_CRASHES:
            del suspect.crashes[next(iter(suspect.crashes))]
        suspect.trial_ends_at = float("-inf")
        suspect.updated_at = now
        return True

    def _void_if_completed(self, fingerprint, now):
        completed_at = self._completed.get(fingerprint, float("-inf"))
        if now - completed_at <= COMPLETION_RETENTION_S and self._is_open(fingerprint):
            self._void_all(fingerprint, now)

    def _void_all(self, fingerprint, now):
        """Void all crashes of a request; return whether there were any."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return False
        for target in list(suspect.crashes):
            self._void_crash(fingerprint, target, now)
            self._observe(fingerprint, target, True, now)
        return True

    def _void_crash(self, fingerprint, target, now):
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = self._insert(fingerprint)
        suspect.crashes.pop(target, None)
        suspect.voided[target] = now
        if len(suspect.voided) > MAX_CRASHES:
            del suspect.voided[next(iter(suspect.voided))]
        suspect.updated_at = now
        if not suspect.is_open:
            suspect.trials = suspect.cancelled = 0
            suspect.next_trial_at = float("-inf")
            suspect.trial_ends_at = float("-inf")

    def _insert(self, fingerprint):
        if len(self._suspects) >= MAX_SUSPECTS:
            self._evict()
        suspect = self._suspects[fingerprint] = _Suspect()
        return suspect

    def _evict(self):
        """Remove the oldest request that is not quarantined, else the oldest."""
        closed = (name for name, each in self._suspects.items() if not each.is_open)
        del self._suspects[next(closed, next(iter(self._suspects)))]

    def _observe(self, fingerprint, target, is_voided, now):
        self._observed.pop((fingerprint, target), None)
        self._observed[fingerprint, target] = (is_voided, now)
        if len(self._observed) > MAX_REPORTED:
            self._observed.popitem(last=False)
