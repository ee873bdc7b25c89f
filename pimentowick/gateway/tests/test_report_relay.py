"""Dissemination of reports among many entries, replayed in virtual time."""

import heapq
import itertools
import random

import pytest

from pimentowick.gateway.policy import report_relay

DOMAINS = 5
# Latency within a failure domain and between failure domains.
LOCAL_LATENCY_S = 0.0001
REMOTE_LATENCY_S = 0.0014
LOSS_RATE = 0.002
# Rate of load changes of an entry, and delay until it reports one.
CHANGES_PER_S = 4.0
FLUSH_DELAY_S = 0.01
HEARTBEAT_INTERVAL_S = 0.4


class Fleet:
    """Simulated entries that exchange reports over lossy links."""

    def __init__(self, count, seed):
        self.draw = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.names = [f"e{number}:1" for number in range(count)]
        self.domain = {name: n % DOMAINS for n, name in enumerate(self.names)}
        self.links = {name: self.draw.choice([15.0, 300.0]) for name in self.names}
        self.relays = {}
        self.stopped = set()
        self.partitioned_domains = set()
        self.numbers = dict.fromkeys(self.names, 0)
        self.reported_at = {}
        self.known = {name: {} for name in self.names}
        self.ages = []
        self.sent = dict.fromkeys(self.names, 0)
        self.remote_sent = 0
        for name in self.names:
            self.start(name)

    def start(self, name):
        self.stopped.discard(name)
        relay = report_relay.ReportRelay(name, str(self.domain[name]), self.links[name])
        for other in self.names:
            if other != name:
                relay.add(other, str(self.domain[other]), self.links[other])
        self.relays[name] = relay
        self.known[name] = {}
        self.schedule(
            self.draw.random() * HEARTBEAT_INTERVAL_S, self.change, name, relay
        )
        self.schedule(
            self.draw.random() * HEARTBEAT_INTERVAL_S, self.send_bundles, name, relay
        )

    def schedule(self, delay, work, *args):
        entry = (self.now + delay, next(self.order), work, args)
        heapq.heappush(self.events, entry)

    def run(self, seconds):
        ends_at = self.now + seconds
        while self.events and self.events[0][0] < ends_at:
            self.now, _, work, args = heapq.heappop(self.events)
            work(*args)
        self.now = ends_at

    def is_running(self, name, relay):
        return name not in self.stopped and self.relays[name] is relay

    def change(self, name, relay):
        if not self.is_running(name, relay):
            return
        self.numbers[name] += 1
        self.reported_at[name, self.numbers[name]] = self.now
        self.schedule(FLUSH_DELAY_S, self.send_report, name, relay)
        pause = min(HEARTBEAT_INTERVAL_S, self.draw.expovariate(CHANGES_PER_S))
        self.schedule(max(2 * FLUSH_DELAY_S, pause), self.change, name, relay)

    def send_report(self, name, relay):
        if self.is_running(name, relay):
            report = {"from": name, "number": self.numbers[name]}
            self.send(name, relay.bundle_own_report(report, self.now))

    def send_bundles(self, name, relay):
        if self.is_running(name, relay):
            if relay.is_relaying(self.now):
                self.send(name, relay.bundle_pending_reports(self.now))
            elif relay.has_relay_changed(self.now):
                self.send_report(name, relay)
            self.schedule(
                report_relay.BUNDLE_INTERVAL_S, self.send_bundles, name, relay
            )

    def send(self, name, bundles):
        for bundle in bundles:
            for receiver in bundle.receivers:
                self.sent[name] += 1
                is_remote = self.domain[name] != self.domain[receiver]
                self.remote_sent += is_remote
                if self.draw.random() >= LOSS_RATE:
                    delay = REMOTE_LATENCY_S if is_remote else LOCAL_LATENCY_S
                    self.schedule(delay, self.receive, name, receiver, bundle)

    def is_partitioned(self, one, other):
        ends = {self.domain[one], self.domain[other]}
        return len(ends) > 1 and bool(ends & self.partitioned_domains)

    def receive(self, sender, receiver, bundle):
        if receiver in self.stopped or self.is_partitioned(sender, receiver):
            return
        relay = self.relays[receiver]
        if bundle.must_forward:
            relay.on_forward_request(sender, bundle.reports, self.now)
        else:
            relay.on_bundle(sender, bundle.relays, self.now)
        for report in bundle.reports:
            name, number = report["from"], report["number"]
            if name != receiver and number > self.known[receiver].get(name, 0):
                self.known[receiver][name] = number
                self.ages.append(self.now - self.reported_at[name, number])

    def list_relays(self):
        return [
            name
            for name in self.names
            if name not in self.stopped and self.relays[name].is_relaying(self.now)
        ]

    def count_stale(self, max_age_s):
        """Return how many pairs of running entries have a report older than this."""
        running = [name for name in self.names if name not in self.stopped]
        return sum(
            self.now - self.reported_at.get((name, self.known[other].get(name)), -99.0)
            > max_age_s
            for name in running
            for other in running
            if name != other
        )


@pytest.mark.parametrize("count", [30, 88, 300])
def test_report_age_does_not_grow_with_the_number_of_entries(count):
    # Reports sent directly at 400 datagrams per second and receiver would be 0.2 s old
    # with 88 entries and 0.75 s with 300, and slots would be assigned twice.
    fleet = Fleet(count, seed=1)
    fleet.run(1.0)
    fleet.ages.clear()
    fleet.sent = dict.fromkeys(fleet.names, 0)
    fleet.remote_sent = 0
    fleet.run(3.0)
    ages = sorted(fleet.ages)
    assert ages[len(ages) // 2] < 0.1
    assert ages[len(ages) * 99 // 100] < 0.15
    assert len(fleet.list_relays()) == DOMAINS
    # The number of datagrams per second is linear in the number of entries.
    assert sum(fleet.sent.values()) / 3.0 < 60 * count
    # The number between failure domains does not depend on the number of entries.
    assert fleet.remote_sent / 3.0 < DOMAINS * DOMAINS / report_relay.BUNDLE_INTERVAL_S
    # The relays are entries with the links of higher capacity.
    assert {fleet.links[name] for name in fleet.list_relays()} == {300.0}


@pytest.mark.parametrize("seed", range(5))
def test_domain_switches_to_the_next_relay_when_its_relay_fails(seed):
    # Two relays of a domain fail in turn. No live entry may look silent because of it
    # (1.2 s without a report), or others would use its slots.
    fleet = Fleet(40, seed)
    fleet.run(1.0)
    for _ in range(2):
        fleet.stopped.add(fleet.list_relays()[0])
        fleet.run(0.9)
        assert fleet.count_stale(1.2) == 0
        fleet.run(1.0)
        assert len(fleet.list_relays()) == DOMAINS


def test_recovered_relay_is_used_again():
    fleet = Fleet(40, seed=3)
    fleet.run(1.0)
    name = fleet.list_relays()[0]
    fleet.stopped.add(name)
    fleet.run(2.0)
    fleet.start(name)
    fleet.run(5.0)
    assert fleet.count_stale(1.0) == 0
    assert len(fleet.list_relays()) == DOMAINS


def test_entries_that_start_together_soon_know_all_others():
    # All hosts lose power and restart within 0.3 s of each other.
    fleet = Fleet(88, seed=5)
    fleet.run(1.0)
    fleet.stopped.update(fleet.names)
    fleet.run(1.0)
    for name in fleet.names:
        fleet.schedule(fleet.draw.random() * 0.3, fleet.start, name)
    fleet.run(0.3 + 1.2)
    assert fleet.count_stale(1.2) == 0


def test_partitioned_domain_rejoins_after_the_partition():
    # A failure domain is partitioned for seconds, and each side keeps relaying.
    fleet = Fleet(40, seed=7)
    fleet.run(1.0)
    fleet.partitioned_domains.add(0)
    fleet.run(6.0)
    fleet.partitioned_domains.clear()
    fleet.run(2.0)
    assert fleet.count_stale(1.0) == 0
    fleet.run(3.0)
    assert len(fleet.list_relays()) == DOMAINS
