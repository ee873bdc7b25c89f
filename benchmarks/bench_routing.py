"""Choice of targets by the balancers, retries around failing targets, and plans.

Engines are modelled as LRU caches of prompt blocks, and entries learn their load from
reports every `REPORT_S`. All ratios compare figures of one run with fixed seeds.
"""

import collections
import dataclasses
import functools
import hashlib
import heapq
import random
import time

from pimentowick.external import hosts
from pimentowick.gateway import target as gateway_target
from pimentowick.gateway.policy import delay_choice
from pimentowick.membership import fleet, pool
from pimentowick.membership import peer as membership_peer
from pimentowick.placement import plan
from pimentowick.routing import affinity, balance, prefix, retry

__all__ = ["run"]

MAX_CHOICE_US = 100.0
MAX_CHOICE_GROWTH = 2.0
MIN_HIT_GAIN = 1.2
MAX_IMBALANCE = 1.9
MAX_AMPLIFICATION = 1.10
MAX_PLAN_GROWTH = 40.0
PLAN_REPETITIONS = 5

DOMAINS = ("a", "b", "c")
ENTRIES = 3
TARGETS = 48
SLOTS = 32
REQUESTS = 20_000
ARRIVALS_PER_S = 400.0
REPORT_S = 0.5
CACHE_BLOCKS = 1200
BLOCK_CHARS = 64
STEP_S = 0.02
STEPS = 40
PREFILL_S_PER_BLOCK = 0.005
CHOICES = 3000
CALLS = 20_000
CALLS_PER_S = 500.0
MAX_ATTEMPTS = 3
FAILED_CALL_S = 0.05
SUCCESSFUL_CALL_S = 0.2


class RandomBalancer(balance.Balancer):
    """Baseline that chooses a random member."""

    def __init__(self, rng):
        self._rng = rng

    def choose(self, pool, prefix=(), excluded=frozenset(), now=None):
        """Return one of the members."""
        return self._rng.choice(pool.members)


class LeastLoadedBalancer(balance.Balancer):
    """Baseline that chooses the member with the lowest reported load."""

    def choose(self, pool, prefix=(), excluded=frozenset(), now=None):
        """Return one of the members."""
        return min(pool.members, key=lambda peer: peer.get_reported_load())


class RendezvousBalancer(balance.Balancer):
    """Baseline that chooses by rendezvous hashing of a prompt prefix."""

    def choose(self, pool, prefix=(), excluded=frozenset(), now=None):
        """Return one of the members."""
        key = prefix[min(2, len(prefix) - 1)]
        return max(pool.members, key=lambda peer: _compute_weight(key, peer.name))


@functools.lru_cache(maxsize=1_000_000)
def _compute_weight(key, name):
    return hashlib.blake2b(key + name.encode(), digest_size=8).digest()


def _is_usable(peer, now):
    return True


def make_peers(count):
    """Return `count` peers, spread over the failure domains."""
    peers = []
    for index in range(count):
        domain = DOMAINS[index % len(DOMAINS)]
        host = hosts.Host(f"agent-{index}", "agent", "127.0.0.1:1", domain)
        report = {"online": 0, "max_online": SLOTS, "entries": ENTRIES}
        peers.append(membership_peer.Peer(host, report))
    return peers


def make_pool(peers, seed):
    """Return a pool of `peers`."""
    peer_pool = pool.Pool(random.Random(seed))
    for peer in peers:
        peer_pool.add(peer)
    return peer_pool


def make_two_choice_balancer(index=0):
    """Return the balancer of entry `index` that considers load but no prefixes."""
    return balance.TwoChoiceBalancer(DOMAINS[index % len(DOMAINS)], _is_usable)


class Target:
    """A model of an engine with a prefix cache."""

    def __init__(self):
        self.running = 0
        self.served = 0
        self.cache = collections.OrderedDict()

    def start_request(self, blocks):
        """Start a request and return the number of its leading blocks in the cache."""
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
    """A prompt.

    Attributes:
        levels: Hashes of its prefixes, from which an entry chooses a target.
        blocks: Keys of its blocks in the prefix cache of an engine.
    """

    levels: tuple
    blocks: tuple


def make_prompts(count, seed):
    """Return prompts of a system prompt, a popular document and a unique question."""
    rng = random.Random(seed)
    systems = [_make_text(rng, 1000) for _ in range(6)]
    documents = [systems[i % 6] + _make_text(rng, 2500) for i in range(600)]
    weights = [1 / (1 + i // 6) ** 0.8 for i in range(600)]
    prompts = []
    for number in rng.choices(range(600), weights, k=count):
        text = documents[number] + _make_text(rng, 150)
        blocks = [(number % 6, i) for i in range(1000 // BLOCK_CHARS)]
        blocks += [
            (number, "document", i)
            for i in range(1000 // BLOCK_CHARS, 3500 // BLOCK_CHARS)
        ]
        blocks += [(len(prompts), "question", i) for i in range(150 // BLOCK_CHARS)]
        prompts.append(Prompt(prefix.hash_prefixes(text, "lm"), tuple(blocks)))
    return prompts


def _make_text(rng, length):
    return rng.randbytes(length // 2).hex()


class Cluster:
    """Modelled targets that receive requests from a few entries."""

    def __init__(self, make_balancer):
        self.targets = {f"agent-{i}": Target() for i in range(TARGETS)}
        self.peers = [make_peers(TARGETS) for _ in range(ENTRIES)]
        self.pools = [make_pool(peers, 7 + i) for i, peers in enumerate(self.peers)]
        self.balancers = [make_balancer(i) for i in range(ENTRIES)]
        self.blocks = 0
        self.hits = 0
        self.imbalances = []

    def replay(self, prompts, seed):
        """Send the prompts at random times, and update `hits` and `imbalances`."""
        rng = random.Random(seed)
        now = 0.0
        completions = []
        next_report_at = 0.0
        for number, prompt in enumerate(prompts):
            now += rng.expovariate(ARRIVALS_PER_S)
            while completions and completions[0][0] <= now:
                _, _, peer = heapq.heappop(completions)
                peer.online -= 1
                self.targets[peer.name].running -= 1
            if now >= next_report_at:
                self._update_reports()
                next_report_at = now + REPORT_S
            index = rng.randrange(ENTRIES)
            peer = self.balancers[index].choose(
                self.pools[index], prompt.levels, now=now
            )
            duration = self._start_request(peer, prompt)
            heapq.heappush(completions, (now + duration, number, peer))

    def _start_request(self, peer, prompt):
        target = self.targets[peer.name]
        hits = target.start_request(prompt.blocks)
        peer.online += 1
        self.hits += hits
        self.blocks += len(prompt.blocks)
        steps = STEPS * STEP_S * (1 + 0.02 * target.running)
        overload = max(1.0, target.running / SLOTS)
        missed = len(prompt.blocks) - hits
        return steps * overload + missed * PREFILL_S_PER_BLOCK

    def _update_reports(self):
        running = [target.running for target in self.targets.values()]
        if sum(running) > TARGETS:
            self.imbalances.append(max(running) * TARGETS / sum(running))
        for peers, peer_pool in zip(self.peers, self.pools, strict=True):
            for peer in peers:
                online = self.targets[peer.name].running
                peer.report = {**peer.report, "online": online}
                peer.online_at_report = peer.online
                peer_pool.add(peer)


def measure_choice(count):
    """Return microseconds of one choice among `count` targets, hashing included."""
    peers = make_peers(count)
    peer_pool = make_pool(peers, 3)
    balancer = affinity.AffinityBalancer(make_two_choice_balancer())
    rng = random.Random(5)
    shared_prefixes = [_make_text(rng, 3500) for _ in range(200)]
    texts = [rng.choice(shared_prefixes) + _make_text(rng, 150) for _ in range(CHOICES)]
    started_at = time.perf_counter()
    for text in texts:
        balancer.choose(peer_pool, prefix.hash_prefixes(text, "lm"))
    return (time.perf_counter() - started_at) / CHOICES * 1e6


def measure_delay_choice(count):
    """Return microseconds of one choice by expected delay among `count` targets."""
    rng = random.Random(5)
    targets = []
    for index in range(count):
        registration = gateway_target.Registration(
            f"t{index}", "lm", "127.0.0.1", 1, DOMAINS[index % len(DOMAINS)], 8
        )
        listed = gateway_target.Target(registration)
        listed.peers_online = rng.randrange(9)
        listed.relative_speed = rng.choice((0.4, 1.0, 2.0))
        listed.record_slowdown(rng.choice((1.0, 2.5)), 0.0)
        targets.append(listed)
    targets = tuple(targets)
    choice = delay_choice.LeastDelayChoice()
    situation = delay_choice.Situation(0.05, DOMAINS[0])
    started_at = time.process_time()
    for _ in range(CHOICES):
        choice.choose(targets, situation, rng)
    return (time.process_time() - started_at) / CHOICES * 1e6


def measure_policies(prompts):
    """Return name, cache hit ratio and p95 of max/mean requests in flight by policy."""
    makers = {
        "random": lambda i: RandomBalancer(random.Random(11 + i)),
        "least loaded": lambda i: LeastLoadedBalancer(),
        "two choices": make_two_choice_balancer,
        "rendezvous": lambda i: RendezvousBalancer(),
        "affinity": lambda i: affinity.AffinityBalancer(make_two_choice_balancer(i)),
    }
    rows = []
    for name, make_balancer in makers.items():
        cluster = Cluster(make_balancer)
        cluster.replay(prompts, 13)
        imbalances = sorted(cluster.imbalances)
        imbalance = imbalances[int(len(imbalances) * 0.95)]
        rows.append((name, cluster.hits / cluster.blocks, imbalance))
    return rows


def measure_failures(targets, seed=17, calls=CALLS):
    """Return attempts per request and the share of requests that fail.

    A third of the targets fails every call.
    """
    peer_fleet = fleet.Fleet(None, None, None, "bench", None)
    peers = make_peers(targets)
    balancer = balance.TwoChoiceBalancer(DOMAINS[0], _is_usable)
    peer_pool = make_pool(peers, seed)
    rng = random.Random(seed)
    failing = set(rng.sample([peer.name for peer in peers], targets // 3))
    budget = retry.RetryBudget(0.1)
    sent = failed_requests = 0
    now = 0.0
    completions = []
    queue = [(i / CALLS_PER_S, i, 1, frozenset()) for i in range(calls)]
    while queue:
        now, number, attempt, excluded = heapq.heappop(queue)
        while completions and completions[0][0] <= now:
            _, _, peer = heapq.heappop(completions)
            peer.online -= 1
            _record_outcome(peer_fleet, peer_pool, peer, peer.name in failing, now)
        if attempt == 1:
            budget.record_request()
        peer = balancer.choose(peer_pool, (), excluded, now)
        sent += 1
        peer.online += 1
        fails = peer.name in failing
        heapq.heappush(
            completions,
            (now + (FAILED_CALL_S if fails else SUCCESSFUL_CALL_S), sent, peer),
        )
        if not fails:
            continue
        if attempt == MAX_ATTEMPTS or not budget.take():
            failed_requests += 1
            continue
        next_attempt = (
            now + FAILED_CALL_S,
            number,
            attempt + 1,
            excluded | {peer.name},
        )
        heapq.heappush(queue, next_attempt)
    return sent / calls, failed_requests / calls


def _record_outcome(peer_fleet, peer_pool, peer, failed, now):
    if failed:
        peer_fleet.eject([peer_pool], peer, now)
    else:
        peer_fleet.record_success(peer)


def measure_plan(count, slots):
    """Return milliseconds of one plan for `count` engines and 20 models.

    Every model has too few replicas. With one slot per engine all slots are taken, so
    the planner finds no engine for any model.
    """
    rng = random.Random(19)
    loaded_models = [f"m{rng.randrange(20)}" for _ in range(count)]
    engines = [
        plan.EngineState(f"agent-{i}", DOMAINS[i % len(DOMAINS)], {model}, slots=slots)
        for i, model in enumerate(loaded_models)
    ]
    desired = [plan.DesiredModel(f"m{i}", "", count // 10) for i in range(20)]
    started_at = time.perf_counter()
    plan.make_plan(desired, engines, 2)
    return (time.perf_counter() - started_at) * 1e3


def run():
    """Print the measurements, and return whether the bounds hold."""
    passed = True
    costs = {count: measure_choice(count) for count in (10, 100, 1900)}
    for count, cost in costs.items():
        print(f"one choice among {count:5} targets: {cost:7.1f} us")
    passed &= costs[1900] < MAX_CHOICE_US
    passed &= costs[1900] < MAX_CHOICE_GROWTH * costs[100]

    delay_costs = {count: measure_delay_choice(count) for count in (20, 320, 1900)}
    for count, cost in delay_costs.items():
        print(f"one choice by delay among {count:5} targets: {cost:7.1f} us")
    passed &= delay_costs[1900] < MAX_CHOICE_GROWTH * delay_costs[20]

    rows = measure_policies(make_prompts(REQUESTS, 1))
    print(f"\n{'policy':14} {'hits':>6} {'max/mean in flight, p95':>24}")
    for name, hits, imbalance in rows:
        print(f"{name:14} {hits:6.3f} {imbalance:24.2f}")
    by_policy = {name: (hits, imbalance) for name, hits, imbalance in rows}
    passed &= by_policy["affinity"][0] > MIN_HIT_GAIN * by_policy["two choices"][0]
    passed &= by_policy["affinity"][0] > by_policy["rendezvous"][0]
    passed &= by_policy["affinity"][1] < MAX_IMBALANCE

    print(f"\n{'targets':>8} {'calls/request':>14} {'refused':>8}  (a third fails)")
    for targets in (6, 30, 300, 1900):
        amplification, failed_share = measure_failures(targets)
        print(f"{targets:8} {amplification:14.3f} {failed_share:8.4f}")
        passed &= amplification < MAX_AMPLIFICATION

    for slots in (1, 2):
        times = [
            min(measure_plan(count, slots) for _ in range(PLAN_REPETITIONS))
            for count in (100, 1900)
        ]
        print(f"one plan with {slots} slots, 100 and 1900 engines: ", end="")
        print(" ".join(f"{each:.1f} ms" for each in times))
        passed &= times[1] < MAX_PLAN_GROWTH * times[0]
    return bool(passed)
