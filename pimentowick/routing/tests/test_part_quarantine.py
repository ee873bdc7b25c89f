"""Quarantine of parts of prompts over many entries, in virtual time."""

import collections
import dataclasses

import pytest

from pimentowick.routing import quarantine
from pimentowick.routing.tests import test_quarantine

TARGETS = 8
BEGIN_S = 0.06
END_S = 0.7
# A request waits for the result of a trial, or for a target that is back.
POLL_S = 0.1
MAX_POLLS = 10
DOWN_S = 3.0
# Of the requests with a part, three may be sent later than this after the fifth crash.
ALLOWED_CRASHES = 5
ALLOWED_SENDS = 3
STABLE_S = 3.0
DURATION_S = 60.0
A = quarantine.name_part("s", "a")
B = quarantine.name_part("s", "b")
C = quarantine.name_part("s", "c")
D = quarantine.name_part("s", "d")


@dataclasses.dataclass(eq=False)
class Request:
    """A request at one entry, with the names of its parts."""

    parts: list
    entry: object
    fingerprint: str
    polls: int = 0
    began_at: float | None = None

    @property
    def names(self):
        return [self.fingerprint, *self.parts]


class PartFleet(test_quarantine.Fleet):
    """Entries and targets, some of whose requests crash a target as they begin."""

    def __init__(self, count, targets=TARGETS, poison=frozenset(), **options):
        super().__init__(count, **options)
        self.poison = set(poison)
        self.up_at = dict.fromkeys(range(targets), 0.0)
        self.running = collections.defaultdict(list)
        self.sent = collections.defaultdict(list)
        self.begun = collections.Counter()
        self.arrived = collections.Counter()
        self.part_crashes = collections.defaultdict(list)

    def add_load(self, kind, parts, interval_s, until=DURATION_S, begins_at=0.0):
        at = begins_at
        while at < until:
            at += self.random.expovariate(1 / interval_s)
            self.push(at, self.receive_request, kind, parts)

    def receive_request(self, now, kind, parts):
        self.arrived[kind, now >= DURATION_S / 2] += 1
        entry = self.random.choice(self.entries)
        name = f"f{next(self.counter)}"
        self.try_send(now, kind, Request(list(parts), entry, name))

    def try_send(self, now, kind, request):
        entry = request.entry
        step = entry.choose_joint_step(request.names, now)
        up = [target for target, at in self.up_at.items() if at <= now]
        if step == quarantine.Step.TRIAL and up:
            step = self.claim_trials(now, entry, request)
        if step == quarantine.Step.REFUSE:
            return
        if step != quarantine.Step.RUN or not up:
            request.polls += 1
            if request.polls < MAX_POLLS:
                self.push(now + POLL_S, self.try_send, kind, request)
            return
        target = self.random.choice(up)
        if self.is_trial(request):
            target = min(up, key=lambda each: len(self.running[each]))
        self.running[target].append(request)
        for part in self.poison.intersection(request.parts):
            self.sent[part].append(now)
        self.push(now + BEGIN_S, self.begin, kind, request, target)

    def is_trial(self, request):
        opened = request.entry.list_open(request.names, float("inf"))
        return bool(opened)

    def claim_trials(self, now, entry, request):
        """Count a trial of each open name if no other entry has."""
        opened = entry.list_open(request.names, now)
        sets = [entry.list_suspected(request.names)]
        if any(self.trials.get(n, 0) > entry.get_trials(n) for n in opened):
            for name in opened:
                entry.record_trials(name, self.trials.get(name, 0), now, sets=sets)
            return quarantine.Step.WAIT
        for name in opened:
            trials = self.trials[name] = entry.get_trials(name) + 1
            known = entry.list_crashes(name)
            entry.record_trials(name, trials, now, sets=sets)
            at = now + self.store_delay_s
            for other in self.entries:
                self.push(at, self.read_trial, other, name, trials, known, sets)
        return quarantine.Step.RUN

    def read_trial(self, now, entry, name, trials, known, sets):
        entry.merge_report(quarantine.Report({name: known}), now)
        entry.record_trials(name, trials, now, 0, known, sets)

    def begin(self, now, kind, request, target):
        if request not in self.running[target]:
            return
        poison = self.poison.intersection(request.parts)
        if poison:
            for part in poison:
                self.part_crashes[part].append(now)
            self.crash_target(now, target)
            return
        request.began_at = now
        self.begun[kind, now >= DURATION_S / 2] += 1
        self.push(now + quarantine.PART_SURVIVAL_S, self.survive, request, target)
        self.push(now + END_S, self.end, request, target)

    def survive(self, now, request, target):
        if request in self.running[target]:
            for part in request.parts:
                if request.entry.record_survival(part, now, True, request.began_at):
                    self.trials.pop(part, None)
                    self.send_report(now, request.entry)

    def end(self, now, request, target):
        if request in self.running[target]:
            self.running[target].remove(request)

    def crash_target(self, now, target):
        run = f"t{target}.{next(self.counter)}"
        self.up_at[target] = now + DOWN_S
        lost, self.running[target] = self.running[target], []
        for request in lost:
            began_at = request.began_at
            is_early = began_at is None or now - began_at < quarantine.PART_SURVIVAL_S
            for name in request.names if is_early else [request.fingerprint]:
                request.entry.record_crash(name, run, now)
            self.send_report(now, request.entry)

    def crash_targets(self, now, count):
        for target in self.random.sample(sorted(self.up_at), count):
            self.crash_target(now, target)

    def check_sends(self, part):
        """Check the bound on what is sent with a part that crashes targets."""
        crashes = self.part_crashes[part]
        if len(crashes) < ALLOWED_CRASHES:
            return
        since = crashes[ALLOWED_CRASHES - 1] + STABLE_S
        assert sum(at > since for at in self.sent[part]) <= ALLOWED_SENDS

    def get_share(self, kind):
        """Return the share of requests that began in the second half."""
        return self.begun[kind, True] / self.arrived[kind, True]


@pytest.mark.parametrize("count", [1, 8, 88])
@pytest.mark.parametrize("interval_s", [0.1, 0.5, 4.0])
@pytest.mark.parametrize("parts", [[A, B], [B, A], [B]])
def test_part_that_crashes_targets_gets_few_requests(count, interval_s, parts):
    for seed in range(3):
        fleet = PartFleet(count, poison={B}, loss=0.03, seed=seed)
        fleet.add_load("poison", parts, interval_s)
        fleet.add_load("sound", [A], 0.05)
        fleet.run()
        fleet.check_sends(B)
        assert fleet.get_share("sound") > 0.9
        assert fleet.get_share("poison") == 0


@pytest.mark.parametrize("interval_s", [0.5, 2.0])
def test_sound_parts_that_come_with_it_are_served_without_it(interval_s):
    # All other parts of the prompts are shared, and come without it more rarely.
    for seed in range(3):
        fleet = PartFleet(8, poison={B}, seed=seed)
        fleet.add_load("poison", [A, C, B, D], 0.3)
        fleet.add_load("sound", [A, C, D], interval_s)
        fleet.add_load("shared", [A], 0.1)
        fleet.run()
        fleet.check_sends(B)
        assert fleet.get_share("sound") > 0.9
        assert fleet.get_share("shared") > 0.9


def test_two_parts_at_once_are_both_found():
    for seed in range(5):
        fleet = PartFleet(8, poison={B, C}, seed=seed)
        fleet.add_load("poison", [A, B], 0.3)
        fleet.add_load("poison", [A, C], 0.3)
        fleet.add_load("sound", [A, D], 0.1)
        fleet.run()
        fleet.check_sends(B)
        fleet.check_sends(C)
        assert fleet.get_share("sound") > 0.9


def test_popular_first_part_may_turn_bad():
    # All requests of the route crash targets from some moment.
    for seed in range(5):
        fleet = PartFleet(8, seed=seed)
        fleet.add_load("all", [A], 0.05)
        fleet.push(20.0, lambda now, poison=fleet.poison: poison.add(A))
        fleet.run()
        fleet.check_sends(A)


@pytest.mark.parametrize("count", [8, 88])
def test_crashes_of_a_third_of_the_targets_shut_out_no_part(count):
    # They crash for another reason, all at once.
    fleet = PartFleet(count, targets=24, seed=1)
    fleet.add_load("popular", [A], 0.02)
    for number in range(10):
        part = quarantine.name_part("s", f"rare{number}")
        fleet.add_load("rare", [A, part], 1.0)
    for at in range(5, 60, 5):
        fleet.push(float(at), fleet.crash_targets, 8)
    fleet.run()
    assert fleet.get_share("popular") > 0.95
    assert fleet.get_share("rare") > 0.95


def test_part_that_crashes_nothing_any_more_is_served_again():
    fleet = PartFleet(8, poison={B}, seed=1)
    fleet.add_load("once", [A, B], 0.3)
    fleet.add_load("sound", [A], 0.1)
    fleet.push(10.0, lambda now: fleet.poison.clear())
    fleet.run()
    assert fleet.get_share("once") > 0.9


def test_flood_of_unique_parts_stays_bounded():
    policy = quarantine.Quarantine()
    for number in range(200):
        for part in range(128):
            name = quarantine.name_part("s", f"{number}.{part}")
            policy.record_crash(name, f"t{number}", now=0.01 * number)
            policy.record_survival(name + "x", 0.01 * number, began_at=0.0)
        report = policy.build_report(0.01 * number)
        assert sum(map(len, report.crashes.values())) <= quarantine.MAX_REPORTED
    assert policy.count_suspects()[0] == quarantine.MAX_SUSPECTS
    assert len(policy._completed) == quarantine.MAX_COMPLETED


def test_other_workspaces_are_tried_after_one_that_crashes_on_purpose():
    # A workspace crashes targets with requests that also hold a part of another one.
    fleet = PartFleet(8, poison={B}, seed=2)
    fleet.add_load("purpose", [C, B], 0.2)
    fleet.add_load("other", [C], 3.0)
    fleet.run()
    assert fleet.get_share("other") > 0.9
