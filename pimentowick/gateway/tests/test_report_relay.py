"""News among many entries, replayed in virtual time."""

import heapq
import itertools
import random

import pytest

from pimentowick.gateway.policy import report_relay

DOMAINS = 5
NEAR_S = 0.0001
FAR_S = 0.0014
LOSS_SHARE = 0.002
# What an entry starts and ends in a second, and how soon it tells.
CHANGES_PER_S = 4.0
FLUSH_S = 0.01
IDLE_S = 0.4


class Fleet:
    """Entries that tell each other what changes, over links that lose some."""

    def __init__(self, count, seed):
        self.draw = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.names = [f"e{number}:1" for number in range(count)]
        self.domain = {name: n % DOMAINS for n, name in enumerate(self.names)}
        self.links = {name: self.draw.choice([15.0, 300.0]) for name in self.names}
        self.relays = {}
        self.dead = set()
        self.cut_domains = set()
        self.numbers = dict.fromkeys(self.names, 0)
        self.told_at = {}
        self.known = {name: {} for name in self.names}
        self.ages = []
        self.sent = dict.fromkeys(self.names, 0)
        self.far = 0
        for name in self.names:
            self.start(name)

    def start(self, name):
        self.dead.discard(name)
        found = report_relay.ReportRelay(name, str(self.domain[name]), self.links[name])
        for other in self.names:
            if other != name:
                found.add(other, str(self.domain[other]), self.links[other])
        self.relays[name] = found
        self.known[name] = {}
        self.plan(self.draw.random() * IDLE_S, self.change, name, found)
        self.plan(self.draw.random() * IDLE_S, self.collect, name, found)

    def plan(self, delay, work, *args):
        entry = (self.now + delay, next(self.order), work, args)
        heapq.heappush(self.events, entry)

    def run(self, seconds):
        ends_at = self.now + seconds
        while self.events and self.events[0][0] < ends_at:
            self.now, _, work, args = heapq.heappop(self.events)
            work(*args)
        self.now = ends_at

    def is_running(self, name, found):
        return name not in self.dead and self.relays[name] is found

    def change(self, name, found):
        if not self.is_running(name, found):
            return
        self.numbers[name] += 1
        self.told_at[name, self.numbers[name]] = self.now
        self.plan(FLUSH_S, self.tell, name, found)
        pause = min(IDLE_S, self.draw.expovariate(CHANGES_PER_S))
        self.plan(max(2 * FLUSH_S, pause), self.change, name, found)

    def tell(self, name, found):
        if self.is_running(name, found):
            report = {"from": name, "number": self.numbers[name]}
            self.send(name, found.bundle_own_report(report, self.now))

    def collect(self, name, found):
        if self.is_running(name, found):
            if found.is_relaying(self.now):
                self.send(name, found.bundle_pending_reports(self.now))
            elif found.has_relay_changed(self.now):
                self.tell(name, found)
            self.plan(report_relay.BUNDLE_INTERVAL_S, self.collect, name, found)

    def send(self, name, bundles):
        for bundle in bundles:
            for receiver in bundle.receivers:
                self.sent[name] += 1
                far = self.domain[name] != self.domain[receiver]
                self.far += far
                if self.draw.random() >= LOSS_SHARE:
                    delay = FAR_S if far else NEAR_S
                    self.plan(delay, self.take, name, receiver, bundle)

    def is_apart(self, one, other):
        ends = {self.domain[one], self.domain[other]}
        return len(ends) > 1 and bool(ends & self.cut_domains)

    def take(self, sender, receiver, bundle):
        if receiver in self.dead or self.is_apart(sender, receiver):
            return
        found = self.relays[receiver]
        if bundle.must_forward:
            found.on_forward_request(sender, bundle.reports, self.now)
        else:
            found.on_bundle(sender, bundle.relays, self.now)
        for report in bundle.reports:
            name, number = report["from"], report["number"]
            if name != receiver and number > self.known[receiver].get(name, 0):
                self.known[receiver][name] = number
                self.ages.append(self.now - self.told_at[name, number])

    def list_relays(self):
        return [
            name
            for name in self.names
            if name not in self.dead and self.relays[name].is_relaying(self.now)
        ]

    def count_stale(self, older_s):
        """Return the pairs of running entries of which one knows old news only."""
        running = [name for name in self.names if name not in self.dead]
        return sum(
            self.now - self.told_at.get((name, self.known[other].get(name)), -99.0)
            > older_s
            for name in running
            for other in running
            if name != other
        )


@pytest.mark.parametrize("count", [30, 88, 300])
def test_news_is_a_tenth_of_a_second_old_however_many_entries_there_are(count):
    # Each entry starts and ends something four times a second. Told to each directly,
    # with 400 datagrams a second that an entry can take, it would be 0.2 s old with 88
    # entries and 0.75 s with 300: places are taken twice, items are broken off.
    fleet = Fleet(count, seed=1)
    fleet.run(1.0)
    fleet.ages.clear()
    fleet.sent = dict.fromkeys(fleet.names, 0)
    fleet.far = 0
    fleet.run(3.0)
    ages = sorted(fleet.ages)
    assert ages[len(ages) // 2] < 0.1
    assert ages[len(ages) * 99 // 100] < 0.15
    assert len(fleet.list_relays()) == DOMAINS
    # Datagrams a second: some for each entry, in place of the square.
    assert sum(fleet.sent.values()) / 3.0 < 60 * count
    # Those between failure domains don't grow with the entries.
    assert fleet.far / 3.0 < DOMAINS * DOMAINS / report_relay.BUNDLE_INTERVAL_S
    # The relays are entries with the larger links.
    assert {fleet.links[name] for name in fleet.list_relays()} == {300.0}


@pytest.mark.parametrize("seed", range(5))
def test_domain_goes_to_the_next_relay_when_its_own_is_gone(seed):
    # The relay of a domain loses power, then the next one. No one may be counted as
    # silent for it (1.2 s without news): its places would be taken by others.
    fleet = Fleet(40, seed)
    fleet.run(1.0)
    for _ in range(2):
        fleet.dead.add(fleet.list_relays()[0])
        fleet.run(0.9)
        assert fleet.count_stale(1.2) == 0
        fleet.run(1.0)
        assert len(fleet.list_relays()) == DOMAINS


def test_relay_that_wakes_again_is_used_again_and_does_no_harm():
    fleet = Fleet(40, seed=3)
    fleet.run(1.0)
    name = fleet.list_relays()[0]
    fleet.dead.add(name)
    fleet.run(2.0)
    fleet.start(name)
    fleet.run(5.0)
    assert fleet.count_stale(1.0) == 0
    assert len(fleet.list_relays()) == DOMAINS


def test_all_entries_that_start_at_once_hear_of_all_soon():
    # All hosts lose power and are back within 0.3 s of each other.
    fleet = Fleet(88, seed=5)
    fleet.run(1.0)
    fleet.dead.update(fleet.names)
    fleet.run(1.0)
    for name in fleet.names:
        fleet.plan(fleet.draw.random() * 0.3, fleet.start, name)
    fleet.run(0.3 + 1.2)
    assert fleet.count_stale(1.2) == 0


def test_domain_that_is_cut_off_is_heard_again_when_the_cut_ends():
    # A failure domain is partitioned for seconds; each side goes on by itself.
    fleet = Fleet(40, seed=7)
    fleet.run(1.0)
    fleet.cut_domains.add(0)
    fleet.run(6.0)
    fleet.cut_domains.clear()
    fleet.run(2.0)
    assert fleet.count_stale(1.0) == 0
    fleet.run(3.0)
    assert len(fleet.list_relays()) == DOMAINS
