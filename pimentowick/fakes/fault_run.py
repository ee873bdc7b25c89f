"""A run of random faults over the whole path, with a seed.

Each round puts one or two faults into an embedded deployment while callers ask, then
mends them. At the end all that was answered is compared with what ran.
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
RESENDS = 2
MOST_HITS = 4
MIDDLE_SHARE = 0.5
SETTINGS = {
    "engines": ENGINES,
    "services": SERVICES,
    "entry_settings": {"idle_s": 0.5, "append_s": 0.5, "takeover_s": 3.0},
    "agent_settings": {"idle_s": 0.5},
}


@dataclasses.dataclass(slots=True)
class Report:
    """What a run did.

    Attributes:
        faults: How often each fault was put in.
        complete: Requests that were answered whole.
        refused: Refusals by their verdict.
        unanswered: Requests whose connection broke.
        items: Items of the job, each completed once.
    """

    faults: collections.Counter
    complete: int
    refused: collections.Counter
    unanswered: int
    items: int


class _Faults:
    """Puts faults in and mends them."""

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.placed = collections.Counter()
        self._mends = []

    async def put_in(self):
        """Put one or two faults in."""
        for fault in self.rng.sample(self._list_faults(), self.rng.choice([1, 2])):
            self.placed[fault.__name__.strip("_")] += 1
            await fault()

    async def mend(self):
        """Undo all faults and wait until everything is well."""
        stand_ins = [self.fleet.log, self.fleet.hosts, *self.fleet.targets.values()]
        for each in stand_ins:
            each.fault_injector.inject(faults.Fault("clear"))
        while self._mends:
            await self._mends.pop()()
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

    def _place(self, stand_in, kind, **fields):
        stand_in.fault_injector.inject(faults.Fault(kind, **fields))

    def _choose_target(self, served):
        names = [name for name in self.fleet.targets if name.startswith(served)]
        return self.fleet.targets[self.rng.choice(sorted(names))]

    def _count_hits(self):
        return self.rng.randint(1, MOST_HITS)

    async def _log_down(self):
        self._place(self.fleet.log, "down")

    async def _log_loses_answers(self):
        self._place(self.fleet.log, "lose_answer", count=self._count_hits())

    async def _log_freezes(self):
        self._place(self.fleet.log, "freeze")

    async def _hosts_down(self):
        self._place(self.fleet.hosts, "down")

    async def _engine_stalls(self):
        target = self._choose_target(embedded.MODEL)
        self._place(target, "stall", count=self._count_hits(), path="/generate")

    async def _engine_cuts(self):
        target = self._choose_target(embedded.MODEL)
        self._place(target, "cut", count=self._count_hits(), path="/generate")

    async def _engine_freezes(self):
        self._place(self._choose_target(embedded.MODEL), "freeze")

    async def _engine_down(self):
        self._place(self._choose_target(embedded.MODEL), "down")

    async def _service_loses_answers(self):
        target = self._choose_target(embedded.SERVICE)
        self._place(target, "lose_answer", count=self._count_hits())

    async def _agent_crashes(self):
        name = self.rng.choice(sorted(self.fleet.agents))
        target = self.fleet.agents[name].settings.target
        await self.fleet.crash(name)

        async def start_again():
            await self.fleet.add_agent(name, target.name, target.kind, target.service)

        self._mends.append(start_again)

    async def _entry_crashes(self):
        name = self.rng.choice(sorted(self.fleet.entries))
        await self.fleet.crash(name)

        async def start_again():
            await self.fleet.add_entry(name)

        self._mends.append(start_again)


async def _send_requests(fleet, callers, rng, number):
    def choose_entry():
        return rng.choice(sorted(fleet.entries))

    async def confirm_often(key):
        for _ in range(1 + RESENDS):
            await callers.confirm(key, entry=choose_entry())

    work = [
        callers.chat(f"chat {number} {i}", 20, entry=choose_entry())
        for i in range(CHATS)
    ]
    work += [
        callers.stream(f"stream {number} {i}", 60, choose_entry())
        for i in range(STREAMS)
    ]
    # Two callers use the first key at once.
    work += [confirm_often(f"key {number} {max(0, i)}") for i in range(-1, CALLS)]
    work += [callers.confirm(entry=choose_entry())]
    await asyncio.gather(*work)


async def _check_job(fleet, job_id):
    await fleet.wait_for_job(job_id)
    results = await fleet.read_results(job_id)
    names = [result["custom_id"] for result in results]
    assert sorted(names) == sorted(set(names)), "An item has two results."
    assert len(names) == ITEMS, "An item has no result."
    for result in results:
        if result["response"] is None:
            continue
        choice = result["response"]["body"]["choices"][0]
        prompt = f"user: {result['custom_id']}"
        expected = engine.make_expected_text(prompt, ITEM_TOKENS)
        assert choice["message"]["content"] == expected, result


def _make_report(placed, callers):
    outcomes = callers.outcomes
    return Report(
        faults=placed,
        complete=sum(outcome.complete for outcome in outcomes),
        refused=collections.Counter(o.verdict for o in outcomes if o.error),
        unanswered=sum(not o.complete and not o.error for o in outcomes),
        items=ITEMS,
    )


async def _run_round(fleet, callers, fault_injector, rng, number):
    sent = len(callers.outcomes)
    requests = asyncio.ensure_future(_send_requests(fleet, callers, rng, number))
    # Half of the rounds meet the faults in the middle of their requests.
    if rng.random() < MIDDLE_SHARE:
        await fleet.wait_for(
            lambda: any(outcome.text for outcome in callers.outcomes[sent:])
        )
    await fault_injector.put_in()
    await requests
    await fault_injector.mend()


async def run_faults(seed, rounds):
    """Run `rounds` rounds of random faults and check what must always hold.

    Args:
        seed: Seed of all choices; the order in which processes get their turns is
            not under its control.
        rounds: Number of rounds.

    Returns:
        The `Report`.

    Raises:
        AssertionError: A promise was broken.
        UnavailableError: The deployment did not become well again.
    """
    rng = random.Random(seed)
    fleet = embedded.EmbeddedDeployment(**SETTINGS)
    try:
        await fleet.start()
        callers = fake_callers.Callers(fleet)
        lines = embedded.make_job_lines(ITEMS, ITEM_TOKENS)
        job = (await fleet.submit(lines, f"job {seed}")).decode()
        fault_injector = _Faults(fleet, rng)
        for number in range(rounds):
            await _run_round(fleet, callers, fault_injector, rng, number)
        await _check_job(fleet, job["id"])
        callers.check()
        return _make_report(fault_injector.placed, callers)
    finally:
        await fleet.close()
