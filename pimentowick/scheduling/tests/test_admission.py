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
    """Records whether an online stream was queued while a batch stream was running."""

    online_waited = False

    def _begin_step(self):
        duration_s = super()._begin_step()
        names = [stream.generation.request_id for stream in self.running]
        if any(name.startswith("batch") for name in names):
            waiting = [stream.generation.request_id for stream in self.waiting]
            self.online_waited |= any(name.startswith("online") for name in waiting)
        return duration_s


def make_admission(batch_limiter, max_batch=8, **fields):
    clock = asyncio.get_running_loop().time
    fields = {"max_online": 64, "max_queue": 256, "max_running": 64, **fields}
    return admission.Admission(
        limiter=batch_limiter, max_batch=max_batch, clock=clock, **fields
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


async def collect(work, engine, controller):
    indices = []
    async for line in work.run(engine, controller):
        frame = orjson.loads(line)
        if "texts" in frame:
            indices += range(frame["index"], frame["index"] + len(frame["texts"]))
    return indices


async def run_burst(engine, controller, items=8, online=4):
    """Run items, send online requests meanwhile, and return all token indices."""
    await engine.start()
    names = [f"batch/{n}" for n in range(items)]
    works = [collect(make_work(name), engine, controller) for name in names]
    tasks = [asyncio.ensure_future(each) for each in works]
    await asyncio.sleep(0.3)
    burst = [
        collect(make_work(f"online/{n}", 10), engine, controller) for n in range(online)
    ]
    answers = await asyncio.gather(*burst)
    results = await asyncio.gather(*tasks)
    await engine.close()
    return answers, results


async def check_burst(engine, resumes):
    controller = make_admission(limiter.YieldingLimiter(8, 0.25))
    answers, results = await run_burst(engine, controller)
    assert answers == [list(range(10))] * 4
    assert results == [list(range(TOKENS))] * 8
    assert controller.preemptions == 6
    assert engine.resumes == resumes
    assert controller.count_batch_items() == controller.count_online() == 0


def test_burst_loses_no_token():
    """Guards against lost or duplicated tokens of preempted items.

    A burst of online requests arrives while batch items fill the engine; the most
    recently started items are preempted and resumed later.
    """
    simulation.run(check_burst(simulation.SimulatedEngine(), resumes=6))


def test_refused_resumption_restarts_the_item():
    """Guards against failing an item that the engine refuses to resume.

    An engine without the item's cache refuses the resumption. The item is restarted
    from its beginning, and tokens already sent to the entry are not sent again.
    """
    engine = simulation.SimulatedEngine(can_resume=False)
    simulation.run(check_burst(engine, resumes=0))


def test_last_started_items_are_preempted():
    async def check():
        controller = make_admission(limiter.YieldingLimiter(8, 0.25), max_batch=8)
        tickets = [admission.Ticket(workspace="w") for _ in range(8)]
        for ticket in tickets:
            await controller.admit_batch(ticket)
        await controller.admit_online(admission.Ticket(workspace="w"), 1.0)
        is_preempted = [ticket.preempted.is_set() for ticket in tickets]
        assert is_preempted == [False] * 2 + [True] * 6

    simulation.run(check())


def test_cancelled_while_preempted():
    """Guards against leaking the slot of an item cancelled while it is preempted.

    After enough cancelled jobs, leaked slots would leave none for batch items.
    """

    async def check():
        engine = simulation.SimulatedEngine()
        await engine.start()
        controller = make_admission(limiter.YieldingLimiter(8, 0.0))
        item = asyncio.ensure_future(collect(make_work("batch/0"), engine, controller))
        await asyncio.sleep(0.3)
        online = collect(make_work("online/0", 20), engine, controller)
        online = asyncio.ensure_future(online)
        await asyncio.sleep(0.1)
        assert controller.preemptions == 1 and controller.count_batch_items() == 1
        item.cancel()
        await asyncio.gather(item, return_exceptions=True)
        assert controller.count_batch_items() == 0
        await online
        again = await collect(make_work("batch/1"), engine, controller)
        assert again == list(range(TOKENS))
        await engine.close()

    simulation.run(check())


def test_no_slots_for_batch():
    async def check():
        controller = make_admission(model.make_limiter("averse", 0), max_batch=0)
        assert controller.count_free_batch_slots() == 0
        with pytest.raises(exception.RefusedError, match="No place"):
            await controller.admit_batch(admission.Ticket(workspace="w"))

    simulation.run(check())


@pytest.mark.parametrize("batch_harm", ["averse", "throughput"])
def test_batch_progresses_during_steady_online_traffic(batch_harm):
    """Guards against starving batch items under continuous online traffic.

    An agent that starts items only on an idle engine would never start one.
    """

    async def check():
        engine = simulation.SimulatedEngine()
        await engine.start()
        clock = asyncio.get_running_loop().time
        controller = make_admission(model.make_limiter(batch_harm, 8, clock))
        online = [
            asyncio.ensure_future(
                collect(make_work(f"online/{n}", 1000), engine, controller)
            )
            for n in range(4)
        ]
        await asyncio.sleep(0.1)
        indices = None
        while indices is None:
            # Retries a refused item, as an entry does.
            with contextlib.suppress(exception.RefusedError):
                indices = await collect(make_work("batch/0"), engine, controller)
        assert indices == list(range(TOKENS))
        assert not any(task.done() for task in online)
        for task in online:
            task.cancel()
        await asyncio.gather(*online, return_exceptions=True)
        await engine.close()

    simulation.run(check())


def test_online_never_waits_behind_batch_in_the_engine():
    """Guards against online requests queued behind batch items inside the engine.

    The engine serves its own queue in arrival order, so an online request behind a
    batch item there would wait for a whole generation to end.
    """

    async def check():
        engine = WatchingEngine(max_running=16)
        clock = asyncio.get_running_loop().time
        batch_limiter = model.make_limiter("throughput", 16, clock)
        controller = make_admission(
            batch_limiter, max_batch=16, max_online=16, max_running=16
        )
        answers, results = await run_burst(engine, controller, items=16, online=14)
        assert answers == [list(range(10))] * 14
        assert results == [list(range(TOKENS))] * 16
        assert not engine.online_waited

    simulation.run(check())


def test_queued_item_is_refused_after_a_timeout():
    """Guards against items that stay queued at a busy agent while others are idle.

    An item that was not started in time is refused as not run, so that the entry can
    send it to another agent.
    """

    async def check():
        controller = make_admission(limiter.YieldingLimiter(8, 0.0))
        await controller.admit_online(admission.Ticket(workspace="w"), 1.0)
        loop = asyncio.get_running_loop()
        with pytest.raises(exception.RefusedError, match="No place"):
            await controller.admit_batch(admission.Ticket(workspace="w"))
        assert loop.time() == pytest.approx(admission.MAX_BATCH_WAIT_S)
        assert controller.count_batch_items() == 0

    simulation.run(check())


def test_one_workspace_cannot_fill_the_queue():
    """Guards against one workspace filling the queue of online requests.

    With a single common bound, the requests of other workspaces would be refused.
    """

    async def check():
        controller = make_admission(limiter.FixedLimiter(0), max_online=1, max_queue=10)
        await controller.admit_online(admission.Ticket(workspace="flood"), 60.0)
        tickets = [admission.Ticket(workspace="flood") for _ in range(20)]
        waits = [controller.admit_online(ticket, 60.0) for ticket in tickets]
        flood = [asyncio.ensure_future(each) for each in waits]
        await asyncio.sleep(0)
        assert sum(task.done() for task in flood) == 10
        ticket = admission.Ticket(workspace="calm")
        calm = asyncio.ensure_future(controller.admit_online(ticket, 60.0))
        await asyncio.sleep(0)
        assert not calm.done()
        for task in [*flood, calm]:
            task.cancel()
        await asyncio.gather(*flood, calm, return_exceptions=True)
        assert controller.count_online() == 1

    simulation.run(check())
