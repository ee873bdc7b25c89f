"""Entries with their real admission, in virtual time, with late and lost reports."""

import asyncio
import collections
import dataclasses
import random
import selectors

from pimentowick.gateway import admission, target
from pimentowick.gateway.policy import fair_share, load_shedding

SERVICE = "s"
OBJECTIVE_S = 0.3
TIMEOUT_S = 5.0
HOLD_S = (0.5, 1.2)


class Clock(selectors.SelectSelector):
    """A selector that advances the time instead of waiting."""

    now = 1000.0

    def select(self, timeout=None):
        """Advance the time by the timeout."""
        self.now += timeout or 0.0
        return []


def run(monkeypatch, make_coroutine):
    """Run a coroutine in virtual time; `time.monotonic` returns that time."""
    clock = Clock()
    with monkeypatch.context() as patch:
        patch.setattr("time.monotonic", lambda: clock.now)
        loop = asyncio.SelectorEventLoop(clock)
        try:
            return loop.run_until_complete(make_coroutine())
        finally:
            loop.close()


class Entry:
    """An entry with its own view of the targets.

    Args:
        fleet: The `Fleet`.
        number: Its number.
    """

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.name = f"e{number}"
        self.table = target.TargetTable()
        for n in range(fleet.target_count):
            domain = f"d{n % 3}"
            self.table.put(
                target.Registration(
                    f"t{n}", SERVICE, "127.0.0.1", 1, domain, fleet.slots
                )
            )
        if fleet.is_shared:
            self.table.record_shared_hosts(SERVICE)
        self.admission = admission.Admission(
            self.table,
            f"d{number % 3}",
            self.publish_soon,
            lambda: fleet.interval_s + fleet.delay_s,
        )
        self.admission.sharing._make_shares = fleet.make_shares
        self.admission.sharing._draw = fleet.rng.random
        self.is_publishing = False
        self.is_frozen = False
        self.heard = {}

    def publish_soon(self):
        if not self.is_publishing:
            self.is_publishing = True
            loop = asyncio.get_running_loop()
            loop.call_later(self.fleet.interval_s, self.publish)

    def publish(self):
        self.is_publishing = False
        loop = asyncio.get_running_loop()
        loads = {t.id: t.online for t in self.table.by_id.values() if t.online}
        waiting = self.admission.count_waiting(SERVICE)
        shares = self.admission.sharing.build_report(loop.time())
        rng = self.fleet.rng
        delay_s = self.fleet.delay_s * rng.uniform(0.5, 1.5)
        report = (loop.time(), loads, waiting, shares)
        loop.call_later(delay_s, self.deliver, report)

    def deliver(self, report):
        for other in self.fleet.entries:
            is_lost = self.fleet.rng.random() < self.fleet.loss
            if other is not self and not is_lost and self.fleet.hears(other, self):
                other.apply(self.name, report)

    def apply(self, sender, report):
        sent_at, loads, waiting, shares = report
        last_at, last_loads, last_waiting = self.heard.get(sender, (0.0, {}, 0))
        if sent_at < last_at or self.is_frozen:
            return
        self.heard[sender] = (sent_at, loads, waiting)
        for target_id in loads.keys() | last_loads.keys():
            change = loads.get(target_id, 0) - last_loads.get(target_id, 0)
            self.table.by_id[target_id].peers_online += change
        self.admission.peers_waiting[SERVICE] += waiting - last_waiting
        now = asyncio.get_running_loop().time()
        self.admission.sharing.merge_report(sender, shares, now)
        if self.admission.count_waiting(SERVICE):
            self.admission.grant_share(SERVICE)

    def forget(self, sender):
        """Drop what a silent entry told, as its heartbeat timeout expires."""
        self.apply(sender, (float("inf"), {}, 0, {}))
        self.heard.pop(sender, None)


class Fleet:
    """Entries before the same targets, and the requests that reach them.

    Args:
        count: Number of entries.
        seed: Seed of the random numbers.
        make_shares: The `fair_share.FairShare` of the entries, or None for start tags
            in each entry alone.
        loss: Share of the reports that are lost, for each receiver.
        target_count: Number of targets.
        slots: Slots of each.
        sheds: Whether requests that would wait for too long are refused.

    Attributes:
        results: Lists of outcomes by workspace: the wait for the first event in
            seconds, or None if the request is not served.
        starts: The time and the workspace of each request that got a slot.
        known_at_start: Online requests that its entry knew of at the target then.
    """

    def __init__(
        self,
        count,
        seed,
        make_shares=fair_share.MaxMinShares,
        loss=0.02,
        target_count=25,
        slots=8,
        sheds=True,
    ):
        # The choice of a target draws from the module's generator.
        random.seed(seed)
        self.rng = random.Random(seed)
        self.arrivals = random.Random(seed + 1000)
        self.is_shared = make_shares is not None
        self.make_shares = make_shares or fair_share.MaxMinShares
        self.loss = loss
        self.target_count = target_count
        self.slots = slots
        self.sheds = sheds
        self.interval_s = 0.01 if count < 24 else 0.03
        self.delay_s = 0.03
        self.hears = lambda receiver, sender: True
        self.is_fair = True
        self.running = collections.Counter()
        self.released = asyncio.Condition()
        self.results = collections.defaultdict(list)
        self.starts = []
        self.known_at_start = []
        self.entries = [Entry(self, number) for number in range(count)]

    async def play(self, rates, duration_s, get_factor=lambda at: 1.0, choose=None):
        """Send requests at Poisson rates and wait for their outcomes.

        Args:
            rates: Requests per second by (workspace, rank).
            duration_s: Duration of the arrivals in seconds.
            get_factor: Function from a time to the factor on all rates.
            choose: Function from a workspace to an `Entry`; any by default.
        """
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        names, weights = list(rates), list(rates.values())
        total = sum(weights)
        tasks = []
        while (at := loop.time() - began_at) < duration_s:
            await asyncio.sleep(self.arrivals.expovariate(total * get_factor(at)))
            workspace, rank = self.arrivals.choices(names, weights)[0]
            entry = (choose or self.choose)(workspace)
            tasks.append(loop.create_task(self.send(entry, workspace, rank)))
        await asyncio.gather(*tasks)

    def choose(self, workspace):
        return self.arrivals.choice(self.entries)

    async def send(self, entry, workspace, rank=1):
        """Send one request to an entry; record its outcome."""
        now = asyncio.get_running_loop().time()
        request = make_request(workspace if self.is_fair else "", rank, now)
        waited_s = None
        slot = await self.acquire(entry, request)
        if slot is not None:
            self.known_at_start.append(slot.online_at_start)
            self.starts.append((asyncio.get_running_loop().time(), workspace))
            await self.hold(slot)
            waited_s = slot.first_event_at - now
        self.results[workspace].append(waited_s)

    async def acquire(self, entry, request):
        slot = entry.admission.try_acquire(request)
        if slot is not None:
            return slot
        state = entry.admission.get_queue_state(SERVICE)
        if self.is_shared:
            ahead = entry.admission.count_ahead(request)
            state = dataclasses.replace(state, queued=ahead)
        if self.sheds and load_shedding.should_shed(state, OBJECTIVE_S, TIMEOUT_S):
            return None
        return await entry.admission.wait_for_slot(request)

    async def hold(self, slot):
        """Hold a slot; beyond its slots, the target starts requests in their order."""
        key = slot.target.id
        async with self.released:
            await self.released.wait_for(lambda: self.running[key] < self.slots)
            self.running[key] += 1
        slot.first_event_at = (
            asyncio.get_running_loop().time() + load_shedding.FIRST_EVENT_LATENCY_S
        )
        await asyncio.sleep(self.rng.uniform(*HOLD_S))
        self.running[key] -= 1
        slot.release()
        async with self.released:
            self.released.notify_all()


def make_request(workspace, rank, now):
    """Return the `admission.SlotRequest` of a request that arrives now."""
    return admission.SlotRequest(
        SERVICE,
        (rank, rank),
        now + OBJECTIVE_S - load_shedding.FIRST_EVENT_LATENCY_S,
        now + TIMEOUT_S * load_shedding.MAX_WAIT_SHARE,
        workspace=workspace,
    )


def is_high(at):
    """Return whether a time is within a wave of the load."""
    return at % 6.6 >= 3.8


def get_wave_factor(at):
    """Return the factor on the mean rate at a time of the waves."""
    return 1.84 if is_high(at) else 0.377
