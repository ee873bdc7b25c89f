"""The choice of a target: its cost, cache hits, balance, failing targets; plans.

Engines are modelled as caches that drop the least recently used block; entries see
their load half a second late. All ratios are of one run with fixed seeds.
"""

import collections
import dataclasses
import functools
import hashlib
import heapq
import random
import time

from pimentowick.external import hosts
from pimentowick.membership import fleet, pool
from pimentowick.membership import peer as membership_peer
from pimentowick.placement import plan
from pimentowick.routing import affinity, balance, prefix, retry

__all__ = ["run"]

MOST_CHOICE_US = 100.0
MOST_GROWTH = 2.0
LEAST_HIT_GAIN = 1.2
MOST_IMBALANCE = 1.9
MOST_AMPLIFICATION = 1.10
MOST_PLAN_GROWTH = 40.0
PLANS = 5

DOMAINS = ("a", "b", "c")
ENTRIES = 3
TARGETS = 48
PLACES = 32
REQUESTS = 20_000
ARRIVALS_PER_S = 400.0
REPORT_S = 0.5
CACHE_BLOCKS = 1200
BLOCK = 64
STEP_S = 0.02
STEPS = 40
PREFILL_S_PER_BLOCK = 0.005
CHOICES = 3000
CALLS = 20_000
CALLS_PER_S = 500.0
ATTEMPTS = 3
FAIL_S = 0.05
WORK_S = 0.2


class RandomBalancer(balance.Balancer):
    """Any member; a baseline."""

    def __init__(self, rng):
        self._rng = rng

    def choose(self, pool, prefix=(), excluded=frozenset(), now=None):
        """Return one of the members."""
        return self._rng.choice(pool.members)


class LeastLoadedBalancer(balance.Balancer):
    """The member with the least report; a baseline."""

    def choose(self, pool, prefix=(), excluded=frozenset(), now=None):
        """Return one of the members."""
        return min(pool.members, key=lambda peer: peer.get_reported_load())


class RendezvousBalancer(balance.Balancer):
    """The member with the highest weight for the first prefix; a baseline."""

    def choose(self, pool, prefix=(), excluded=frozenset(), now=None):
        """Return one of the members."""
        key = prefix[min(2, len(prefix) - 1)]
        return max(pool.members, key=lambda peer: _weigh(key, peer.name))


@functools.lru_cache(maxsize=1_000_000)
def _weigh(key, name):
    return hashlib.blake2b(key + name.encode(), digest_size=8).digest()


def _is_usable(peer, now):
    return True


def make_peers(count):
    """Return `count` peers, spread over the failure domains."""
    peers = []
    for index in range(count):
        domain = DOMAINS[index % len(DOMAINS)]
        host = hosts.Host(f"agent-{index}", "agent", "127.0.0.1:1", domain)
        report = {"online": 0, "max_online": PLACES, "entries": ENTRIES}
        peers.append(membership_peer.Peer(host, report))
    return peers


def make_pool(peers, seed):
    """Return a pool of `peers`."""
    made = pool.Pool(random.Random(seed))
    for peer in peers:
        made.add(peer)
    return made


def make_near(index=0):
    """Return the balancer for load alone of entry `index`."""
    return balance.TwoChoiceBalancer(DOMAINS[index % len(DOMAINS)], _is_usable)


class Target:
    """A modelled engine: places and a prefix cache."""

    def __init__(self):
        self.running = 0
        self.served = 0
        self.cache = collections.OrderedDict()

    def begin(self, blocks):
        """Take a request; return how many blocks the cache had."""
        self.running += 1
        self.served += 1
        hits = 0
        for block in blocks:
            if block not in self.cache:
                break
            hits += 1
        for block in reversed(blocks):
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > CACHE_BLOCKS:
            self.cache.popitem(last=False)
        return hits


@dataclasses.dataclass(frozen=True)
class Prompt:
    """A prompt as the entry and the engine see it."""

    levels: tuple
    blocks: tuple


def make_prompts(count, seed):
    """Return prompts: a few system prompts, popular documents, own questions."""
    rng = random.Random(seed)
    systems = [_make_text(rng, 1000) for _ in range(6)]
    documents = [systems[i % 6] + _make_text(rng, 2500) for i in range(600)]
    weights = [1 / (1 + i // 6) ** 0.8 for i in range(600)]
    prompts = []
    for number in rng.choices(range(600), weights, k=count):
        text = documents[number] + _make_text(rng, 150)
        blocks = [(number % 6, i) for i in range(1000 // BLOCK)]
        blocks += [(number, "document", i) for i in range(1000 // BLOCK, 3500 // BLOCK)]
        blocks += [(len(prompts), "question", i) for i in range(150 // BLOCK)]
        prompts.append(Prompt(prefix.hash_prefixes(text, "lm"), tuple(blocks)))
    return prompts


def _make_text(rng, length):
    return rng.randbytes(length // 2).hex()


class Cluster:
    """Modelled targets under the choices of a few entries."""

    def __init__(self, make_balancer):
        self.targets = {f"agent-{i}": Target() for i in range(TARGETS)}
        self.peers = [make_peers(TARGETS) for _ in range(ENTRIES)]
        self.pools = [make_pool(peers, 7 + i) for i, peers in enumerate(self.peers)]
        self.balancers = [make_balancer(i) for i in range(ENTRIES)]
        self.blocks = 0
        self.hits = 0
        self.ratios = []

    def replay(self, prompts, seed):
        """Send the prompts at random times; `hits`, `ratios` are then filled in."""
        rng = random.Random(seed)
        now = 0.0
        ends = []
        next_report = 0.0
        for number, prompt in enumerate(prompts):
            now += rng.expovariate(ARRIVALS_PER_S)
            while ends and ends[0][0] <= now:
                _, _, peer = heapq.heappop(ends)
                peer.online -= 1
                self.targets[peer.name].running -= 1
            if now >= next_report:
                self._report()
                next_report = now + REPORT_S
            index = rng.randrange(ENTRIES)
            peer = self.balancers[index].choose(
                self.pools[index], prompt.levels, now=now
            )
            duration = self._begin(peer, prompt)
            heapq.heappush(ends, (now + duration, number, peer))

    def _begin(self, peer, prompt):
        target = self.targets[peer.name]
        hits = target.begin(prompt.blocks)
        peer.online += 1
        self.hits += hits
        self.blocks += len(prompt.blocks)
        steps = STEPS * STEP_S * (1 + 0.02 * target.running)
        queue = max(1.0, target.running / PLACES)
        missed = len(prompt.blocks) - hits
        return steps * queue + missed * PREFILL_S_PER_BLOCK

    def _report(self):
        running = [target.running for target in self.targets.values()]
        if sum(running) > TARGETS:
            self.ratios.append(max(running) * TARGETS / sum(running))
        for peers, each_pool in zip(self.peers, self.pools, strict=True):
            for peer in peers:
                online = self.targets[peer.name].running
                peer.report = {**peer.report, "online": online}
                peer.online_at_report = peer.online
                each_pool.add(peer)


def measure_choice(count):
    """Return microseconds for one choice among `count` targets, hashing included."""
    peers = make_peers(count)
    made = make_pool(peers, 3)
    chooser = affinity.AffinityBalancer(make_near())
    rng = random.Random(5)
    heads = [_make_text(rng, 3500) for _ in range(200)]
    texts = [rng.choice(heads) + _make_text(rng, 150) for _ in range(CHOICES)]
    began = time.perf_counter()
    for text in texts:
        chooser.choose(made, prefix.hash_prefixes(text, "lm"))
    return (time.perf_counter() - began) / CHOICES * 1e6


def measure_policies(prompts):
    """Return (name, hit share, p95 of max/mean in flight) for each policy."""
    makers = {
        "random": lambda i: RandomBalancer(random.Random(11 + i)),
        "least loaded": lambda i: LeastLoadedBalancer(),
        "two choices": make_near,
        "rendezvous": lambda i: RendezvousBalancer(),
        "affinity": lambda i: affinity.AffinityBalancer(make_near(i)),
    }
    rows = []
    for name, make_balancer in makers.items():
        cluster = Cluster(make_balancer)
        cluster.replay(prompts, 13)
        ratios = sorted(cluster.ratios)
        imbalance = ratios[int(len(ratios) * 0.95)]
        rows.append((name, cluster.hits / cluster.blocks, imbalance))
    return rows


def measure_failures(targets, seed=17, calls=CALLS):
    """Return (calls per request, share of failed requests) with a third failing."""
    known = fleet.Fleet(None, None, None, "bench", None)
    peers = make_peers(targets)
    chooser = balance.TwoChoiceBalancer(DOMAINS[0], _is_usable)
    made = make_pool(peers, seed)
    rng = random.Random(seed)
    failing = set(rng.sample([peer.name for peer in peers], targets // 3))
    budget = retry.RetryBudget(0.1)
    sent = refused = 0
    now = 0.0
    ends = []
    queue = [(i / CALLS_PER_S, i, 1, frozenset()) for i in range(calls)]
    while queue:
        now, number, attempt, excluded = heapq.heappop(queue)
        while ends and ends[0][0] <= now:
            _, _, peer = heapq.heappop(ends)
            peer.online -= 1
            _note_end(known, made, peer, peer.name in failing, now)
        if attempt == 1:
            budget.record_request()
        peer = chooser.choose(made, (), excluded, now)
        sent += 1
        peer.online += 1
        fails = peer.name in failing
        heapq.heappush(ends, (now + (FAIL_S if fails else WORK_S), sent, peer))
        if not fails:
            continue
        if attempt == ATTEMPTS or not budget.take():
            refused += 1
            continue
        entry = (now + FAIL_S, number, attempt + 1, excluded | {peer.name})
        heapq.heappush(queue, entry)
    return sent / calls, refused / calls


def _note_end(known, made, peer, failed, now):
    if failed:
        known.eject([made], peer, now)
    else:
        known.record_success(peer)


def measure_plan(count, slots):
    """Return milliseconds for one plan of `count` engines and 20 models.

    With one slot for each engine and every model short of replicas, there is the
    most to look for and nothing to find.
    """
    rng = random.Random(19)
    held = [f"m{rng.randrange(20)}" for _ in range(count)]
    engines = [
        plan.EngineState(f"agent-{i}", DOMAINS[i % len(DOMAINS)], {model}, slots=slots)
        for i, model in enumerate(held)
    ]
    wanted = [plan.DesiredModel(f"m{i}", "", count // 10) for i in range(20)]
    began = time.perf_counter()
    plan.make_plan(wanted, engines, 2)
    return (time.perf_counter() - began) * 1e3


def run():
    """Print the measurements; return False when a bound is missed."""
    good = True
    costs = {count: measure_choice(count) for count in (10, 100, 1900)}
    for count, cost in costs.items():
        print(f"one choice among {count:5} targets: {cost:7.1f} us")
    good &= costs[1900] < MOST_CHOICE_US
    good &= costs[1900] < MOST_GROWTH * costs[100]

    rows = measure_policies(make_prompts(REQUESTS, 1))
    print(f"\n{'policy':14} {'hits':>6} {'max/mean in flight, p95':>24}")
    for name, hits, imbalance in rows:
        print(f"{name:14} {hits:6.3f} {imbalance:24.2f}")
    found = {name: (hits, imbalance) for name, hits, imbalance in rows}
    good &= found["affinity"][0] > LEAST_HIT_GAIN * found["two choices"][0]
    good &= found["affinity"][0] > found["rendezvous"][0]
    good &= found["affinity"][1] < MOST_IMBALANCE

    print(f"\n{'targets':>8} {'calls/request':>14} {'refused':>8}  (a third fails)")
    for targets in (6, 30, 300, 1900):
        amplification, refused = measure_failures(targets)
        print(f"{targets:8} {amplification:14.3f} {refused:8.4f}")
        good &= amplification < MOST_AMPLIFICATION

    for slots in (1, 2):
        times = [
            min(measure_plan(count, slots) for _ in range(PLANS))
            for count in (100, 1900)
        ]
        print(f"one plan with {slots} slots, 100 and 1900 engines: ", end="")
        print(" ".join(f"{each:.1f} ms" for each in times))
        good &= times[1] < MOST_PLAN_GROWTH * times[0]
    return bool(good)
