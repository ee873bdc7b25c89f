"""Randomized fault injection with a seed.

Each round injects one or two faults into an embedded deployment while clients send
requests, then repairs them. At the end, the responses are checked against the runs
that the targets have counted.
"""

import asyncio
import collections
import dataclasses
import random

from pimentowick.fakes import callers as fake_callers
from pimentowick.fakes import embedded, engine, faults

__all__ = ["Report", "run_faults"]

ENGINES = 3
SERVICES = 2
ITEMS = 150
ITEM_TOKENS = 8
CHATS = 8
STREAMS = 4
CALLS = 4
REPEATS = 2
MAX_AFFECTED_REQUESTS = 4
MID_REQUEST_PROBABILITY = 0.5
SETTINGS = {
    "engines": ENGINES,
    "services": SERVICES,
    "entry_settings": {"idle_s": 0.5, "append_s": 0.5, "takeover_s": 3.0},
    "agent_settings": {"idle_s": 0.5},
}


@dataclasses.dataclass(slots=True)
class Report:
    """Counts of a run.

    Attributes:
        faults: Number of injections by fault.
        complete: Number of requests with a complete response.
        refused: Number of error responses by verdict.
        unanswered: Number of requests that ended with neither.
        items: Number of items of the job, each completed once.
    """

    faults: collections.Counter
    complete: int
    refused: collections.Counter
    unanswered: int
    items: int


class _RandomFaults:
    """Injects random faults into a deployment and repairs them.

    Attributes:
        injected: Number of injections by fault.
    """

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.injected = collections.Counter()
        self._restarts = []

    async def inject_random(self):
        """Inject one or two faults."""
        for fault in self.rng.sample(self._list_faults(), self.rng.choice([1, 2])):
            self.injected[fault.__name__.strip("_")] += 1
            await fault()

    async def repair(self):
        """Remove all faults and wait until the deployment is ready again."""
        fakes = [self.fleet.log, self.fleet.hosts, *self.fleet.targets.values()]
        for fake in fakes:
            fake.fault_injector.inject(faults.Fault("clear"))
        while self._restarts:
            await self._restarts.pop()()
        await self.fleet.wait_for(self.fleet.is_ready)

    def _list_faults(self):
        return [
            self._log_down,
            self._log_loses_answers,
            self._log_freezes,
            self._hosts_down,
            self._engine_stalls,
            self._engine_cuts,
            self._engine_freezes,
            self._engine_down,
            self._service_loses_answers,
            self._agent_crashes,
            self._entry_crashes,
        ]

    def _inject(self, fake, kind, **fields):
        fake.fault_injector.inject(faults.Fault(kind, **fields))

    def _choose_target(self, name_prefix):
        names = [name for name in self.fleet.targets if name.startswith(name_prefix)]
        return self.fleet.targets[self.rng.choice(sorted(names))]

    def _draw_count(self):
        return self.rng.randint(1, MAX_AFFECTED_REQUESTS)

    async def _log_down(self):
        self._inject(self.fleet.log, "down")

    async def _log_loses_answers(self):
        self._inject(self.fleet.log, "lose_answer", count=self._draw_count())

    async def _log_freezes(self):
        self._inject(self.fleet.log, "freeze")

    async def _hosts_down(self):
        self._inject(self.fleet.hosts, "down")

    async def _engine_stalls(self):
        target = self._choose_target(embedded.MODEL)
        self._inject(target, "stall", count=self._draw_count(), path="/generate")

    async def _engine_cuts(self):
        target = self._choose_target(embedded.MODEL)
        self._inject(target, "cut", count=self._draw_count(), path="/generate")

    async def _engine_freezes(self):
        self._inject(self._choose_target(embedded.MODEL), "freeze")

    async def _engine_down(self):
        self._inject(self._choose_target(embedded.MODEL), "down")

    async def _service_loses_answers(self):
        target = self._choose_target(embedded.SERVICE)
        self._inject(target, "lose_answer", count=self._draw_count())

    async def _agent_crashes(self):
        name = self.rng.choice(sorted(self.fleet.agents))
        target = self.fleet.agents[name].settings.target
        await self.fleet.crash(name)

        async def restart():
            await self.fleet.add_agent(name, target.name, target.kind, target.service)

        self._restarts.append(restart)

    async def _entry_crashes(self):
        name = self.rng.choice(sorted(self.fleet.entries))
        await self.fleet.crash(name)

        async def restart():
            await self.fleet.add_entry(name)

        self._restarts.append(restart)


async def _send_requests(fleet, callers, rng, round_number):
    def choose_entry():
        return rng.choice(sorted(fleet.entries))

    async def confirm_repeatedly(key):
        for _ in range(1 + REPEATS):
            await callers.confirm(key, entry=choose_entry())

    requests = [
        callers.chat(f"chat {round_number} {i}", 20, entry=choose_entry())
        for i in range(CHATS)
    ]
    requests += [
        callers.stream(f"stream {round_number} {i}", 60, choose_entry())
        for i in range(STREAMS)
    ]
    # Two clients use the first key concurrently.
    requests += [
        confirm_repeatedly(f"key {round_number} {max(0, i)}") for i in range(-1, CALLS)
    ]
    requests += [callers.confirm(entry=choose_entry())]
    await asyncio.gather(*requests)


async def _check_job(fleet, job_id):
    await fleet.wait_for_job(job_id)
    results = await fleet.read_results(job_id)
    names = [result["custom_id"] for result in results]
    assert sorted(names) == sorted(set(names)), "an item has more than one result"
    assert len(names) == ITEMS, "an item has no result"
    for result in results:
        if result["response"] is None:
            continue
        choice = result["response"]["body"]["choices"][0]
        prompt = f"user: {result['custom_id']}"
        expected = engine.make_expected_text(prompt, ITEM_TOKENS)
        assert choice["message"]["content"] == expected, result


def _make_report(injected, callers):
    outcomes = callers.outcomes
    return Report(
        faults=injected,
        complete=sum(outcome.complete for outcome in outcomes),
        refused=collections.Counter(o.verdict for o in outcomes if o.error),
        unanswered=sum(not o.complete and not o.error for o in outcomes),
        items=ITEMS,
    )


async def _run_round(fleet, callers, random_faults, rng, round_number):
    sent_before = len(callers.outcomes)
    requests = asyncio.ensure_future(_send_requests(fleet, callers, rng, round_number))
    # In some rounds, the faults occur only once responses have begun.
    if rng.random() < MID_REQUEST_PROBABILITY:
        await fleet.wait_for(
            lambda: any(outcome.text for outcome in callers.outcomes[sent_before:])
        )
    await random_faults.inject_random()
    await requests
    await random_faults.repair()


async def run_faults(seed, rounds):
    """Run rounds of random faults and check the guarantees of the deployment.

    Args:
        seed: Seed of all random choices; it does not control the scheduling of tasks.
        rounds: Number of rounds.

    Returns:
        The `Report`.

    Raises:
        AssertionError: A guarantee was violated.
        UnavailableError: The deployment did not recover.
    """
    rng = random.Random(seed)
    fleet = embedded.EmbeddedDeployment(**SETTINGS)
    try:
        await fleet.start()
        callers = fake_callers.Callers(fleet)
        lines = embedded.make_job_lines(ITEMS, ITEM_TOKENS)
        job = (await fleet.submit(lines, f"job {seed}")).decode()
        random_faults = _RandomFaults(fleet, rng)
        for round_number in range(rounds):
            await _run_round(fleet, callers, random_faults, rng, round_number)
        await _check_job(fleet, job["id"])
        callers.check()
        return _make_report(random_faults.injected, callers)
    finally:
        await fleet.close()
