"""Runs of the policies against a simulated engine and a fake engine over HTTP."""

import asyncio
import concurrent.futures
import dataclasses
import functools
import json
import math
import subprocess
import sys
import time

from benchmarks import policy_traffic
from pimentowick import client as http_client
from pimentowick.external import engine as external_engine
from pimentowick.fakes import simulation
from pimentowick.scheduling import admission, aimd, gradient, limiter, model

__all__ = [
    "MAX_BATCH",
    "POLICIES",
    "TRAFFIC",
    "Policy",
    "Row",
    "compute_quantile",
    "run_live",
    "run_many",
    "simulate",
]

BASE_MS = 20.0
SLOPE = 0.02
PREFILL_US_PER_CHAR = 20.0
MAX_RUNNING = 64
MAX_BATCH = 32
MAX_ONLINE = 64
MAX_QUEUE = 256
UNBOUNDED = 1_000_000
CONTROL_CONNECTIONS = 64
IDLE_S = 5.0
START_TIMEOUT_S = 10.0

TRAFFIC = {
    "steady": policy_traffic.Traffic(rate=10.0),
    "bursty": policy_traffic.Traffic(rate=12.0, on_s=1.0, off_s=2.0, burst=6),
    "long bursts": policy_traffic.Traffic(
        rate=3.0, on_s=1.0, off_s=2.0, burst=6, prompt=2000
    ),
    "prefix-heavy": policy_traffic.Traffic(rate=8.0, prompt=3000, prefixes=16),
}


@dataclasses.dataclass(frozen=True)
class Policy:
    """A limiter and its settings.

    Attributes:
        kind: Kind of the limiter.
        value: Parameter of the limiter.
        max_batch: Maximum number of batch items at the engine.
    """

    kind: str
    value: object = None
    max_batch: int = MAX_BATCH

    def make_limiter(self, clock):
        """Return a new limiter."""
        if self.kind == "fixed":
            return limiter.FixedLimiter(self.value)
        if self.kind == "yielding":
            return limiter.YieldingLimiter(self.max_batch, self.value)
        if self.kind == "additive":
            return aimd.AIMDLimiter(self.max_batch, self.value)
        if self.kind == "gradient":
            return gradient.GradientLimiter(self.max_batch, self.value)
        if self.kind == "model":
            return model.ModelLimiter(self.max_batch, self.value, clock=clock)
        return model.make_limiter(self.value, self.max_batch, clock)

    def make_admission(self, clock):
        """Return a new admission with this limiter."""
        # First come, first served reserves no slots for online requests.
        fifo = self.kind == "fixed" and self.value == MAX_RUNNING
        return admission.Admission(
            MAX_ONLINE,
            MAX_QUEUE,
            self.make_limiter(clock),
            self.max_batch,
            UNBOUNDED if fifo else MAX_RUNNING,
            clock,
        )


POLICIES = {
    "none": Policy("fixed", 0, max_batch=0),
    "fifo": Policy("fixed", MAX_RUNNING, max_batch=MAX_RUNNING),
    "reservation of 8": Policy("fixed", 8, max_batch=8),
    "yielding 0": Policy("yielding", 0.0),
    "yielding 0.5": Policy("yielding", 0.5),
    "additive 0.05": Policy("additive", 0.05),
    "additive 0.15": Policy("additive", 0.15),
    "gradient 0.05": Policy("gradient", 0.05),
    "gradient 0.15": Policy("gradient", 0.15),
    "averse": Policy("setting", "averse"),
    "throughput": Policy("setting", "throughput"),
}


@dataclasses.dataclass
class Row:
    """The result of one policy under one kind of traffic.

    Attributes:
        outcome: `policy_traffic.Outcome`.
        prefill_s: Seconds that the engine spent on the prefill of online prompts.
    """

    outcome: policy_traffic.Outcome
    prefill_s: float

    def compute_utilization(self, rate, online):
        """Return batch tokens as a share of the capacity not used by online requests.

        Args:
            rate: Tokens a second of an engine with batch alone.
            online: `Row` of the same traffic without batch.
        """
        time_s = self.outcome.duration_s - online.prefill_s
        spare_tokens = rate * time_s - online.outcome.online_tokens
        return self.outcome.batch_tokens / spare_tokens

    def compute_free_utilization(self, rate):
        """Return the share of the capacity used while no online request is present."""
        spare_tokens = rate * self.outcome.free_s
        return self.outcome.free_tokens / spare_tokens if spare_tokens else math.nan

    def compute_ratios(self, baseline, name):
        """Return the ratios of p50, p95 and p99 of a list of times to `baseline`."""
        own_values = getattr(self.outcome, name)
        baseline_values = getattr(baseline.outcome, name)
        return [
            compute_quantile(own_values, q) / compute_quantile(baseline_values, q)
            for q in (0.5, 0.95, 0.99)
        ]


def compute_quantile(values, share):
    """Return the value below which a share of the values lies; NaN without values.

    Examples:
        >>> compute_quantile([3, 1, 2], 0.5)
        2
    """
    if not values:
        return math.nan
    return sorted(values)[int(share * (len(values) - 1))]


def simulate(policy, traffic, duration_s, seed=1):
    """Run a policy in virtual time and return its `Row`."""
    return simulation.run(_simulate(policy, traffic, duration_s, seed))


async def _simulate(policy, traffic, duration_s, seed):
    engine = simulation.SimulatedEngine(
        BASE_MS, SLOPE, PREFILL_US_PER_CHAR, MAX_RUNNING
    )
    await engine.start()
    clock = asyncio.get_running_loop().time
    outcome = await policy_traffic.drive(
        engine,
        policy.make_admission(clock),
        traffic,
        policy_traffic.Item(),
        duration_s,
        seed,
    )
    await engine.close()
    share = duration_s / (duration_s + policy_traffic.WARM_UP_S)
    return Row(outcome, engine.prefill_s["online"] * share)


def run_live(policy, traffic, duration_s, seed=1):
    """Run a policy against the fake engine over HTTP and return its `Row`."""
    settings = {
        "base_step_ms": BASE_MS,
        "slope": SLOPE,
        "max_running": MAX_RUNNING,
        "prefill_us_per_char": PREFILL_US_PER_CHAR,
        "models": json.dumps([policy_traffic.MODEL]),
    }
    command = [sys.executable, "-m", "pimentowick.fakes", "engine"]
    for name, value in settings.items():
        command += ["--set", f"{name}={value}"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        address = json.loads(process.stdout.readline())["listening"]
        return asyncio.run(_run_live(address, policy, traffic, duration_s, seed))
    finally:
        process.terminate()
        process.wait(START_TIMEOUT_S)


async def _run_live(address, policy, traffic, duration_s, seed):
    streams = http_client.Client(MAX_ONLINE + MAX_RUNNING)
    control = http_client.Client(CONTROL_CONNECTIONS)
    await streams.start()
    await control.start()
    engine = external_engine.HttpEngine(address, streams, control, IDLE_S)
    outcome = await policy_traffic.drive(
        engine,
        policy.make_admission(time.monotonic),
        traffic,
        policy_traffic.Item(),
        duration_s,
        seed,
    )
    await streams.close()
    await control.close()
    characters = traffic.prompt * len(outcome.first_ms) if traffic else 0
    return Row(outcome, characters * PREFILL_US_PER_CHAR / 1e6)


def run_many(function, cases, workers):
    """Call `function` for all cases in worker processes; return the results by key."""
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        futures = {
            key: pool.submit(functools.partial(function, *case))
            for key, case in cases.items()
        }
        return {key: future.result() for key, future in futures.items()}
