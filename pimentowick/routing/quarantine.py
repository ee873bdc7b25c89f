"""Quarantine of requests, and of parts of prompts, under which targets crash.

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

    A part of a prompt may crash targets as well, in requests of which no two are alike.
    Each shared part has a breaker of its own, which differs in what counts. A part is
    charged with the crashes of targets at which its requests had not begun to answer:
    such a part crashes a target as it begins to. A run that has begun and goes on shows
    that its parts crashed nothing until then. A popular part is present at most crashes
    and shows that all the time, so its breaker stays closed for a moment after each
    such run. Sound parts come with the one to blame, and their breakers may open with
    its own. So a request with one suspected part runs as a trial at once, and one with
    more of them the later, the more it has. Each breaker keeps the sets of suspects of
    the requests that were its trials. A request that contains none of these sets whole
    is tried without delay a few times, since its trial tells suspects apart.

    Breakers of parts are common to all workspaces. Otherwise each workspace could crash
    as many targets with the same part.

    Each entry keeps the set of targets that crashed under a request, and merges it with
    those of its peers. A completed run voids the crashes known at that time. Voided
    crashes are remembered, so that lost, repeated and reordered reports do no harm, and
    no clocks are compared.

    An item of a batch job never crashes targets by itself, and nobody sends it again.
    It may be present at many crashes of a burst. Such deferred work is held for some
    seconds after the latest crash or trial only, however many trials have failed.

    A connection that breaks may also have been reset on its way. It counts as a crash
    at first, since a request that does crash its targets would else reach more of them,
    and no longer once the same run of the target proves to be alive. If that run breaks
    off again, it counts under another identifier than the crash that was voided.

References:
    M. Nygard, "Release It!", 2007 (circuit breaker).
    B. Beyer et al., "Site Reliability Engineering", 2016, chapter 22 (query of death).
    M. Shapiro et al., "Conflict-free replicated data types", 2011 (two-phase set).
"""

import collections
import dataclasses
import enum
import hashlib

__all__ = [
    "PART_PREFIX",
    "PART_SURVIVAL_S",
    "SURVIVAL_S",
    "Quarantine",
    "Report",
    "Step",
    "name_part",
]

PART_PREFIX = "part-"
# Between the run of a target and the number of broken connections that it survived.
SURVIVED_SEPARATOR = "#"
MAX_NAME_CHARS = 64
DIGEST_BYTES = 16
# Sound parts are present at some crashes without a run in between.
MIN_PART_CRASHES = 3
# A run that has sent events for this long did not crash for its parts.
PART_SURVIVAL_S = 0.1
# The breaker of a part stays closed for this long after a run that survived began.
PART_GRACE_S = 0.5
# Sets of suspects that are kept for each breaker, and names in each.
MAX_TRIAL_SETS = 3
MAX_TRIAL_SET = 8
# Delay of a trial for each suspected part of its request beyond the first.
COMBINED_TRIAL_DELAY_S = 3.0

# A single crash says little: most of the requests at the target did not cause it.
MIN_CRASHES = 2
# Delay after the first, the second and all further trials.
TRIAL_DELAYS_S = (1.0, 15.0, 600.0)
# Delay of deferred work after the latest crash or trial, by the crashes since it was
# quarantined.
DEFERRED_DELAYS_S = (2.0, 4.0, 5.0)
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
MAX_SUSPECTS = 2048
MAX_CRASHES = 8
# Changes are reported repeatedly for this long, so that a lost report does no harm.
REPORT_DURATION_S = 3.0
# Exceeds the requests that one entry may lose with a target, with their parts.
MAX_REPORTED = 64


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
    """What is known of one request or part under which a target crashed.

    Attributes:
        min_crashes: Number of crashes at which its breaker opens.
        crashes: Time of report by target; the newest last.
        voided: Time of voiding by target.
        trials: Number of trials since the breaker opened.
        cancelled: Number of those that ended without a result.
        next_trial_at: Time from which the next trial may start.
        trial_ends_at: Time until which the result of a trial may arrive.
        tried_at: Time at which the latest trial became known.
        updated_at: Time of the last change.
        opened_at: Time at which its breaker opened.
        trial_sets: Suspected names of the requests that were its trials.
        survived: Number of supposed crashes that a run of a target survived, by run.
    """

    min_crashes: int = MIN_CRASHES
    crashes: dict = dataclasses.field(default_factory=dict)
    voided: dict = dataclasses.field(default_factory=dict)
    trials: int = 0
    cancelled: int = 0
    next_trial_at: float = float("-inf")
    trial_ends_at: float = float("-inf")
    tried_at: float = float("-inf")
    updated_at: float = 0.0
    opened_at: float = float("-inf")
    trial_sets: list = dataclasses.field(default_factory=list)
    survived: dict = dataclasses.field(default_factory=dict)

    @property
    def is_open(self):
        """Whether it is quarantined."""
        return len(self.crashes) >= self.min_crashes


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Recent observations of one entry.

    Attributes:
        crashes: Targets that crashed, by name.
        voided: Targets whose crashes no longer count, by name.
    """

    crashes: dict = dataclasses.field(default_factory=dict)
    voided: dict = dataclasses.field(default_factory=dict)


def name_part(service, part):
    """Return the identifier under which a part of prompts is known.

    Args:
        service: Name of the service.
        part: Identifier of the part.

    Examples:
        >>> name_part("chat", "5c1e")
        'part-5c1e@chat'
        >>> len(name_part("chat", "x" * 5000)) < 50
        True
    """
    name = f"{part}@{service}"
    if len(name) > MAX_NAME_CHARS:
        encoded = name.encode("utf-8", "surrogateescape")
        name = hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()
    return PART_PREFIX + name


def _is_part(name):
    return name.startswith(PART_PREFIX)


def _identify_crash(suspect, target):
    """Return the identifier of the next crash of a run of a target."""
    survived = suspect.survived.get(target, 0)
    return f"{target}{SURVIVED_SEPARATOR}{survived}" if survived else target


class Quarantine:
    """What one entry knows of quarantined requests and parts of prompts.

    Both are named by strings: a request by its fingerprint, a part by `name_part`.
    Times are monotonic, in seconds.

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
        >>> part = name_part("chat", "5c1e")
        >>> [quarantine.record_crash(part, f"target {n}", now=4.0) for n in (1, 2, 3)]
        [False, False, True]
        >>> quarantine.choose_joint_step(["f", part], now=4.0)
        <Step.TRIAL: 'trial'>
    """

    def __init__(self):
        self._completed = collections.OrderedDict()
        self._suspects = collections.OrderedDict()
        self._observed = collections.OrderedDict()
        self._names_by_target = {}

    def is_empty(self):
        """Return whether nothing is known of any request or part."""
        return not self._suspects

    def count_suspects(self):
        """Return (suspects, quarantined requests, quarantined parts) among them."""
        opened = [name for name, each in self._suspects.items() if each.is_open]
        parts = sum(map(_is_part, opened))
        return len(self._suspects), len(opened) - parts, parts

    def list_suspects(self):
        """Return the names of all requests and parts of which anything is known."""
        return list(self._suspects)

    def list_crashes(self, name):
        """Return the targets that crashed under a request since it last completed."""
        suspect = self._suspects.get(name)
        return [] if suspect is None else sorted(suspect.crashes)

    def get_trials(self, name):
        """Return the number of trials of a request since its breaker opened."""
        suspect = self._suspects.get(name)
        return 0 if suspect is None else suspect.trials

    def get_cancelled(self, name):
        """Return the number of those trials that ended without a result."""
        suspect = self._suspects.get(name)
        return 0 if suspect is None else suspect.cancelled

    def choose_step(self, name, now):
        """Return the `Step` for a request."""
        suspect = self._suspects.get(name)
        if suspect is None or not suspect.is_open:
            return Step.RUN
        if _is_part(name) and self._completed_lately(name, now):
            return Step.RUN
        if now >= suspect.next_trial_at:
            return Step.TRIAL
        return Step.WAIT if now < suspect.trial_ends_at else Step.REFUSE

    def choose_joint_step(self, names, now):
        """Return the `Step` for a request, given its name and those of its parts."""
        opened = self.list_open(names, now)
        if not opened:
            return Step.RUN
        suspected = self.list_suspected(names)
        steps = [self._choose_step_beside(name, suspected, now) for name in opened]
        if Step.REFUSE in steps:
            return Step.REFUSE
        if Step.WAIT in steps:
            return Step.WAIT
        is_delayed = self._get_combined_delay(opened, suspected, now) > 0
        return Step.REFUSE if is_delayed else Step.TRIAL

    def list_suspected(self, names):
        """Return the set of those names that have crashes that count."""
        suspected = [name for name in names if self.list_crashes(name)]
        return frozenset(suspected[:MAX_TRIAL_SET])

    def _choose_step_beside(self, name, suspected, now):
        """Return the `Step` for a name in a request with a set of suspected names."""
        step = self.choose_step(name, now)
        is_untested = self._tells_apart(name, suspected)
        return Step.TRIAL if step == Step.REFUSE and is_untested else step

    def _tells_apart(self, name, suspected):
        """Return whether a trial with these suspects may exonerate some of them."""
        trial_sets = self._suspects[name].trial_sets
        return 0 < len(trial_sets) < MAX_TRIAL_SETS and not any(
            trial_set <= suspected for trial_set in trial_sets
        )

    def choose_deferred_step(self, names, now):
        """Return the `Step` for deferred work with some names."""
        if not self.list_open(names, now):
            return Step.RUN
        is_held = self.get_deferred_delay(names, now) > 0
        return Step.REFUSE if is_held else Step.TRIAL

    def get_deferred_delay(self, names, now):
        """Return the seconds until the next trial of deferred work."""
        opened = self.list_open(names, now)
        return max((self._get_deferred_delay(name, now) for name in opened), default=0)

    def _get_deferred_delay(self, name, now):
        suspect = self._suspects[name]
        further_crashes = len(suspect.crashes) - suspect.min_crashes
        delay_s = DEFERRED_DELAYS_S[min(further_crashes, len(DEFERRED_DELAYS_S) - 1)]
        latest_at = max(suspect.tried_at, *suspect.crashes.values())
        return max(0.0, min(suspect.next_trial_at, latest_at + delay_s) - now)

    def may_start_trial(self, name, suspected, now, is_deferred=False):
        """Return whether a request may be a trial of one of its names.

        Args:
            name: Name of the request or part.
            suspected: Set of its suspected names.
            now: Current time.
            is_deferred: Whether it is deferred work.
        """
        if self.choose_step(name, now) == Step.RUN:
            return False
        if is_deferred:
            return not self._get_deferred_delay(name, now)
        return self._choose_step_beside(name, suspected, now) == Step.TRIAL

    def list_open(self, names, now):
        """Return those names that may not run freely now."""
        return [name for name in names if self.choose_step(name, now) != Step.RUN]

    def get_joint_delay(self, names, now):
        """Return the seconds until the next trial of a request with these names."""
        opened = self.list_open(names, now)
        delays = [self.get_delay(name, now) for name in opened]
        suspected = self.list_suspected(names)
        return max(0.0, self._get_combined_delay(opened, suspected, now), *delays)

    def _get_combined_delay(self, opened, suspected, now):
        """Return the seconds for which requests with fewer suspects go first."""
        if not opened or all(self._tells_apart(name, suspected) for name in opened):
            return 0.0
        suspects = [self._suspects[name] for name in opened]
        contained = {
            trial_set
            for suspect in suspects
            for trial_set in suspect.trial_sets
            if trial_set <= suspected
        }
        count = len(suspected) - 1 + max(0, len(contained) - 1)
        if not count:
            return 0.0
        since = max(max(each.opened_at, each.next_trial_at) for each in suspects)
        return max(0.0, since + COMBINED_TRIAL_DELAY_S * count - now)

    def is_quarantined(self, name):
        """Return whether a breaker is open, also one of a part that ran lately."""
        return self._is_open(name)

    def list_quarantined(self, names):
        """Return those names whose breakers are open."""
        return [name for name in names if self._is_open(name)]

    def count_trials(self, names):
        """Return the number of trials of those names that are quarantined."""
        return sum(self.get_trials(name) for name in self.list_quarantined(names))

    def get_delay(self, name, now):
        """Return the seconds until the next trial of a request."""
        suspect = self._suspects.get(name)
        return 0.0 if suspect is None else max(0.0, suspect.next_trial_at - now)

    def record_crash(self, name, target, now):
        """Record that a target broke off a run of a request at this entry.

        Args:
            name: Name of the request or part.
            target: Identifier of the run of the target.
            now: Time of the crash.

        Returns:
            Whether the request became quarantined.
        """
        was_open = self._is_open(name)
        if name in self._suspects:
            target = _identify_crash(self._suspects[name], target)
        if not self._add_crash(name, target, now):
            return False
        self._observe(name, target, False, now)
        self._void_if_completed(name, now)
        return not was_open and self._is_open(name)

    def record_survival(self, name, now, completed=True, began_at=None):
        """Record that a target ran a request without a crash.

        Args:
            name: Name of the request or part.
            now: Time of the end of the run.
            completed: Whether the run completed. One that was cancelled voids the
                crashes so far, but says nothing about later ones.
            began_at: Time at which it began to answer, if it says nothing about crashes
                since; `now` by default.

        Returns:
            Whether crashes were voided.
        """
        began_at = now if began_at is None else began_at
        if completed:
            self._completed.pop(name, None)
            self._completed[name] = began_at
            if len(self._completed) > MAX_COMPLETED:
                self._completed.popitem(last=False)
        return self._void_until(name, began_at, now)

    def record_target_survival(self, target, until, now):
        """Void the supposed crashes of a run of a target that is still alive.

        Args:
            target: Identifier of the run of the target.
            until: Time at which it was certainly alive.
            now: Current time.

        Returns:
            The names whose crashes were voided, and those of them that are no longer
            quarantined.
        """
        voided, released = [], []
        for name in list(self._names_by_target.get(target, ())):
            was_open = self._is_open(name)
            if name in self._suspects and self._void_survived(name, target, until, now):
                voided.append(name)
                if was_open and not self._is_open(name):
                    released.append(name)
        return voided, released

    def _void_survived(self, name, target, until, now):
        """Void what a run of a target survived; return whether anything counted."""
        suspect = self._suspects[name]
        has_counted = False
        while True:
            crash = _identify_crash(suspect, target)
            is_counted = crash in suspect.crashes
            recorded_at = suspect.crashes.get(crash, suspect.voided.get(crash))
            if recorded_at is None or recorded_at >= until:
                return has_counted
            if is_counted:
                self._void_crash(name, crash, now)
                self._observe(name, crash, True, now)
                has_counted = True
            suspect.survived[target] = suspect.survived.get(target, 0) + 1
            if len(suspect.survived) > MAX_CRASHES:
                del suspect.survived[next(iter(suspect.survived))]

    def get_trial_remaining(self, name, now):
        """Return the seconds for which the result of a trial may still arrive."""
        suspect = self._suspects.get(name)
        return 0.0 if suspect is None else max(0.0, suspect.trial_ends_at - now)

    def list_trial_sets(self, name):
        """Return the sets of suspected names of the trials of a name."""
        suspect = self._suspects.get(name)
        return [] if suspect is None else suspect.trial_sets

    def record_trials(
        self, name, trials, now, cancelled=0, known_crashes=None, sets=()
    ):
        """Record the numbers of trials of a request; lower numbers are ignored.

        Args:
            name: Name of the request or part.
            trials: Number of trials since its breaker opened.
            now: Time at which the latest of them became known.
            cancelled: Number of those that ended without a result.
            known_crashes: Targets whose crashes were known when it started; None for
                all. Further crashes are its result.
            sets: Sets of the suspected names of the requests that were its trials.
        """
        suspect = self._suspects.get(name)
        if suspect is None or not suspect.is_open:
            return
        if trials <= suspect.trials and cancelled <= suspect.cancelled:
            return
        is_started = trials > suspect.trials
        if is_started:
            new = [each for each in sets if each not in suspect.trial_sets]
            suspect.trial_sets = (suspect.trial_sets + new)[:MAX_TRIAL_SETS]
            suspect.tried_at = now
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

    def cancel_trial(self, name, now):
        """Record that the latest trial ended without a result, such as a refusal.

        The request may have another trial at once.
        """
        cancelled = self.get_cancelled(name) + 1
        if cancelled <= self.get_trials(name):
            trials = self.get_trials(name)
            self.record_trials(name, trials, now, cancelled)

    def build_report(self, now):
        """Return the `Report` of this entry's recent observations."""
        while self._observed:
            at = next(iter(self._observed.values()))[1]
            if now - at <= REPORT_DURATION_S:
                break
            self._observed.popitem(last=False)
        report = Report()
        for (name, target), (is_voided, _) in self._observed.items():
            rows = report.voided if is_voided else report.crashes
            rows.setdefault(name, []).append(target)
        return report

    def merge_report(self, report, now):
        """Apply the `Report` of another entry; return the newly quarantined requests.

        Crashes are merged before they are voided; the order of reports does not matter.
        """
        opened = []
        for name, targets in report.crashes.items():
            was_open = self._is_open(name)
            for target in targets:
                self._add_crash(name, target, now)
            self._void_if_completed(name, now)
            if not was_open and self._is_open(name):
                opened.append(name)
        for name, targets in report.voided.items():
            for target in targets:
                self._void_crash(name, target, now)
        return opened

    def describe(self, name):
        """Return all that is known of a request, as a `Report`."""
        suspect = self._suspects.get(name)
        if suspect is None:
            return Report()
        return Report(
            {name: sorted(suspect.crashes)},
            {name: sorted(suspect.voided)},
        )

    def is_known(self, name):
        """Return whether crashes or voided crashes of a request are known."""
        return name in self._suspects

    def expire(self, now):
        """Remove what is older than its retention."""
        for name, suspect in list(self._suspects.items()):
            suspect.voided = {
                target: at
                for target, at in suspect.voided.items()
                if now - at <= VOID_RETENTION_S
            }
            is_idle = now - suspect.updated_at > RETENTION_S
            if is_idle or not (suspect.crashes or suspect.voided):
                del self._suspects[name]
        self._names_by_target.clear()
        for name, suspect in self._suspects.items():
            for crash in (*suspect.crashes, *suspect.voided):
                self._index(name, crash)

    def _is_open(self, name):
        suspect = self._suspects.get(name)
        return suspect is not None and suspect.is_open

    def _add_crash(self, name, target, now):
        """Add a crash; return whether it is new and counts."""
        suspect = self._suspects.get(name)
        if suspect is None:
            suspect = self._insert(name)
        if target in suspect.voided or target in suspect.crashes:
            return False
        was_open = suspect.is_open
        suspect.crashes[target] = now
        self._index(name, target)
        if suspect.is_open and not was_open:
            suspect.opened_at = now
        if len(suspect.crashes) > MAX_CRASHES:
            del suspect.crashes[next(iter(suspect.crashes))]
        suspect.trial_ends_at = float("-inf")
        suspect.updated_at = now
        return True

    def _completed_lately(self, name, now):
        completed_at = self._completed.get(name, float("-inf"))
        retention_s = PART_GRACE_S if _is_part(name) else COMPLETION_RETENTION_S
        return now - completed_at <= retention_s

    def _void_if_completed(self, name, now):
        if _is_part(name):
            # It may crash targets from now on, so that its crashes are kept.
            return
        if self._completed_lately(name, now) and self._is_open(name):
            self._void_until(name, now, now)

    def _void_until(self, name, until, now):
        """Void the crashes of a request until some time; return whether it did."""
        suspect = self._suspects.get(name)
        if suspect is None:
            return False
        voided = [target for target, at in suspect.crashes.items() if at <= until]
        for target in voided:
            self._void_crash(name, target, now)
            self._observe(name, target, True, now)
        return bool(voided)

    def _void_crash(self, name, target, now):
        suspect = self._suspects.get(name)
        if suspect is None:
            suspect = self._insert(name)
        suspect.crashes.pop(target, None)
        suspect.voided[target] = now
        self._index(name, target)
        if len(suspect.voided) > MAX_CRASHES:
            del suspect.voided[next(iter(suspect.voided))]
        suspect.updated_at = now
        if not suspect.is_open:
            suspect.trials = suspect.cancelled = 0
            suspect.trial_sets = []
            suspect.next_trial_at = float("-inf")
            suspect.trial_ends_at = float("-inf")

    def _index(self, name, crash):
        """Remember that a crash of a target concerns a name."""
        run, separator, _ = crash.rpartition(SURVIVED_SEPARATOR)
        for target in {crash, run if separator else crash}:
            self._names_by_target.setdefault(target, set()).add(name)

    def _insert(self, name):
        if len(self._suspects) >= MAX_SUSPECTS:
            self._evict()
        min_crashes = MIN_PART_CRASHES if _is_part(name) else MIN_CRASHES
        suspect = self._suspects[name] = _Suspect(min_crashes)
        return suspect

    def _evict(self):
        """Remove the oldest request that is not quarantined, else the oldest."""
        closed = (name for name, each in self._suspects.items() if not each.is_open)
        del self._suspects[next(closed, next(iter(self._suspects)))]

    def _observe(self, name, target, is_voided, now):
        self._observed.pop((name, target), None)
        self._observed[name, target] = (is_voided, now)
        if len(self._observed) > MAX_REPORTED:
            self._observed.popitem(last=False)
