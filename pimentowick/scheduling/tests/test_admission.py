import asyncio
import contextlib

import orjson
import pytest

from pimentowick import exception
from pimentowick.agent import work as agent_work
from pimentowick.external import engine as external_engine
from pimentowick.fakes import simulation
from pimentowick.scheduling import admission, limiter, model

TOKENS = 40


class WatchingEngine(simulation.SimulatedEngine):
    """Notes whether an online stream waits while a batch stream runs."""

    online_waited = False

    def _begin_step(self):
        duration_s = super()._begin_step()
        names = [stream.generation.request_id for stream in self.running]
        if any(name.startswith("batch") for name in names):
            waiting = [stream.generation.request_id for stream in self.waiting]
            self.online_waited |= any(name.startswith("online") for name in waiting)
        return duration_s


def make_admission(chosen, max_batch=8, **fields):
    clock = asyncio.get_running_loop().time
    fields = {"max_online": 64, "max_queue": 256, "max_running": 64, **fields}
    return admission.Admission(
        limiter=chosen, max_batch=max_batch, clock=clock, **fields
    )


def make_work(name, tokens=TOKENS, workspace="w", deadline_s=60.0):
    envelope = agent_work.Envelope(
        request_id=name,
        attempt=1,
        entry="entry",
        workspace=workspace,
        priority=name.partition("/")[0],
        deadline_s=deadline_s,
        cost=tokens,
    )
    generation = external_engine.Generation(name, 1, "lm", None, "x" * 100, tokens)
    return agent_work.GenerateWork(envelope, generation)


async def collect(work, engine, scheme):
    indices = []
    async for line in work.run(engine, scheme):
        frame = orjson.loads(line)
        if "texts" in frame:
            indices += range(frame["index"], frame["index"] + len(frame["texts"]))
    return indices


async def run_burst(engine, scheme, items=8, online=4):
    """Run items, send online requests amid them, and return all indices."""
    await engine.start()
    names = [f"batch/{n}" for n in range(items)]
    works = [collect(make_work(name), engine, scheme) for name in names]
    tasks = [asyncio.ensure_future(each) for each in works]
    await asyncio.sleep(0.3)
    burst = [
        collect(make_work(f"online/{n}", 10), engine, scheme) for n in range(online)
    ]
    answers = await asyncio.gather(*burst)
    results = await asyncio.gather(*tasks)
    await engine.close()
    return answers, results


async def check_burst(engine, resumes):
    scheme = make_admission(limiter.YieldingLimiter(8, 0.25))
    answers, results = await run_burst(engine, scheme)
    assert answers == [list(range(10))] * 4
    assert results == [list(range(TOKENS))] * 8
    assert scheme.preemptions == 6
    assert engine.resumes == resumes
    assert scheme.count_batch_items() == scheme.count_online() == 0


def test_burst_loses_no_token():
    """Online requests arrive together while batch items fill the engine.

    The youngest items give way and go on later; each must come out whole, with no
    token twice, or a customer reads a garbled answer.
    """
    simulation.run(check_burst(simulation.SimulatedEngine(), resumes=6))


def test_refused_resume_starts_again():
    """An engine that has dropped its cache refuses to resume a preempted item.

    Taken for a bad prompt the item would fail for good. It runs again from its
    beginning, and the entry gets no token that it has already.
    """
    engine = simulation.SimulatedEngine(can_resume=False)
    simulation.run(check_burst(engine, resumes=0))


def test_youngest_are_preempted():
    async def check():
        scheme = make_admission(limiter.YieldingLimiter(8, 0.25), max_batch=8)
        tickets = [admission.Ticket(workspace="w") for _ in range(8)]
        for ticket in tickets:
            await scheme.admit_batch(ticket)
        await scheme.admit_online(admission.Ticket(workspace="w"), 1.0)
        chosen = [ticket.preempted.is_set() for ticket in tickets]
        assert chosen == [False] * 2 + [True] * 6

    simulation.run(check())


def test_cancelled_while_preempted():
    """A job is cancelled while one of its items waits to go on after a burst.

    Were its place kept, the agent would hold room for an item that never comes, and
    after some cancelled jobs run no batch at all.
    """

    async def check():
        engine = simulation.SimulatedEngine()
        await engine.start()
        scheme = make_admission(limiter.YieldingLimiter(8, 0.0))
        item = asyncio.ensure_future(collect(make_work("batch/0"), engine, scheme))
        await asyncio.sleep(0.3)
        online = collect(make_work("online/0", 20), engine, scheme)
        online = asyncio.ensure_future(online)
        await asyncio.sleep(0.1)
        assert scheme.preemptions == 1 and scheme.count_batch_items() == 1
        item.cancel()
        await asyncio.gather(item, return_exceptions=True)
        assert scheme.count_batch_items() == 0
        await online
        again = await collect(make_work("batch/1"), engine, scheme)
        assert again == list(range(TOKENS))
        await engine.close()

    simulation.run(check())


def test_no_places_for_batch():
    async def check():
        scheme = make_admission(model.make_limiter("averse", 0), max_batch=0)
        assert scheme.count_free_batch_slots() == 0
        with pytest.raises(exception.RefusedError, match="No place"):
            await scheme.admit_batch(admission.Ticket(workspace="w"))

    simulation.run(check())


@pytest.mark.parametrize("batch_harm", ["averse", "throughput"])
def test_batch_goes_on_beside_steady_online(batch_harm):
    """Online requests never pause, as at a fair that lasts all day.

    An agent that waits for an idle engine would never start a batch item, and the
    nightly job would not be done by any deadline.
    """

    async def check():
        engine = simulation.SimulatedEngine()
        await engine.start()
        clock = asyncio.get_running_loop().time
        scheme = make_admission(model.make_limiter(batch_harm, 8, clock))
        online = [
            asyncio.ensure_future(
                collect(make_work(f"online/{n}", 1000), engine, scheme)
            )
            for n in range(4)
        ]
        await asyncio.sleep(0.1)
        indices = None
        while indices is None:
            # An item that is given back is sent again, as an entry does.
            with contextlib.suppress(exception.RefusedError):
                indices = await collect(make_work("batch/0"), engine, scheme)
        assert indices == list(range(TOKENS))
        assert not any(task.done() for task in online)
        for task in online:
            task.cancel()
        await asyncio.gather(*online, return_exceptions=True)
        await engine.close()

    simulation.run(check())


def test_online_never_waits_behind_batch_in_the_engine():
    """Online and batch together ask for more streams than the engine runs.

    An engine serves its own queue as requests came. An online request that got
    behind a batch item there would wait for the end of a whole generation.
    """

    async def check():
        engine = WatchingEngine(max_running=16)
        clock = asyncio.get_running_loop().time
        chosen = model.make_limiter("throughput", 16, clock)
        scheme = make_admission(chosen, max_batch=16, max_online=16, max_running=16)
        answers, results = await run_burst(engine, scheme, items=16, online=14)
        assert answers == [list(range(10))] * 14
        assert results == [list(range(TOKENS))] * 16
        assert not engine.online_waited

    simulation.run(check())


def test_item_is_given_back():
    """Online requests fill one agent while another one is idle.

    An item that has not begun must not grow old there; refused as not run, it goes
    to the idle agent.
    """

    async def check():
        scheme = make_admission(limiter.YieldingLimiter(8, 0.0))
        await scheme.admit_online(admission.Ticket(workspace="w"), 1.0)
        loop = asyncio.get_running_loop()
        with pytest.raises(exception.RefusedError, match="No place"):
            await scheme.admit_batch(admission.Ticket(workspace="w"))
        assert loop.time() == pytest.approx(admission.MAX_BATCH_WAIT_S)
        assert scheme.count_batch_items() == 0

    simulation.run(check())


def test_flood_does_not_fill_the_queue():
    """One workspace sends far more online requests than the target can take.

    With one bound for all, its requests fill the queue and a rival's are refused.
    """

    async def check():
        scheme = make_admission(limiter.FixedLimiter(0), max_online=1, max_queue=10)
        await scheme.admit_online(admission.Ticket(workspace="flood"), 60.0)
        tickets = [admission.Ticket(workspace="flood") for _ in range(20)]
        waits = [scheme.admit_online(ticket, 60.0) for ticket in tickets]
        flood = [asyncio.ensure_future(each) for each in waits]
        await asyncio.sleep(0)
        assert sum(task.done() for task in flood) == 10
        ticket = admission.Ticket(workspace="calm")
        calm = asyncio.ensure_future(scheme.admit_online(ticket, 60.0))
        await asyncio.sleep(0)
        assert not calm.done()
        for task in [*flood, calm]:
            task.cancel()
        await asyncio.gather(*flood, calm, return_exceptions=True)
        assert scheme.count_online() == 1

    simulation.run(check())
