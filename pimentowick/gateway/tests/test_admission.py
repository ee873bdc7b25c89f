import asyncio
import dataclasses
import time

from pimentowick.gateway import admission, target


def make_admission(slots=1):
    table = target.TargetTable()
    table.put(target.Registration("t", "s", "127.0.0.1", 1, "a", slots))
    return admission.Admission(table, "a"), table.by_id["t"]


def make_demand(wait_s):
    now = time.monotonic()
    return admission.SlotRequest("s", (0, 0), now + wait_s, now + wait_s)


def test_place_that_comes_as_the_wait_ends_is_not_lost():
    # The host has no processor time for a moment. When the process runs again, a
    # place is free and the wait is over in the same turn. A place that is given then
    # and that nobody takes would be missing until the process ends.
    async def run():
        line, found = make_admission()
        held = line.take_now(make_demand(1.0))
        waiting = asyncio.create_task(line.wait(make_demand(0.05)))
        await asyncio.sleep(0)
        loop = asyncio.get_running_loop()
        # Due before the end of the wait, so that it runs first in the same turn.
        loop.call_at(loop.time() + 0.04, held.close)
        time.sleep(0.2)
        place = await waiting
        if place is not None:
            place.close()
        assert found.online == 0
        assert line.take_now(make_demand(1.0)) is not None

    asyncio.run(run())


def test_caller_that_leaves_as_its_place_comes_gives_it_back():
    async def run():
        line, found = make_admission()
        held = line.take_now(make_demand(1.0))
        waiting = asyncio.create_task(line.wait(make_demand(1.0)))
        await asyncio.sleep(0)
        held.close()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert found.online == 0

    asyncio.run(run())


def test_request_that_avoids_the_only_free_target_holds_up_nobody():
    # The first in line was turned away by the target whose place is free now.
    async def run():
        line, found = make_admission()
        held = line.take_now(make_demand(1.0))
        first = asyncio.create_task(line.wait(make_demand(0.5), frozenset({"t"})))
        second = asyncio.create_task(line.wait(make_demand(5.0)))
        await asyncio.sleep(0)
        held.close()
        place = await asyncio.wait_for(second, 5)
        assert place.target is found
        assert not first.done()
        first.cancel()

    asyncio.run(run())


def test_new_request_queues_behind_those_that_wait_elsewhere():
    async def run():
        line, found = make_admission(slots=4)
        line.peers_waiting["s"] = 3
        assert line.take_now(make_demand(1.0)) is None
        line.peers_waiting["s"] = 0
        assert line.take_now(make_demand(1.0)).target is found

    asyncio.run(run())


def test_request_that_lost_its_target_goes_before_those_that_wait():
    # A target crashes in the middle of a stream during a wave. Behind all that wait,
    # the stream's caller would see a pause of seconds.
    async def run():
        line, found = make_admission(slots=2)
        line.peers_waiting["s"] = 5
        lost_target = dataclasses.replace(make_demand(-1.0), lost_target=True)
        first = line.take_now(lost_target)
        assert first.target is found
        held = line.take_now(lost_target)
        fresh = asyncio.create_task(line.wait(make_demand(5.0)))
        await asyncio.sleep(0)
        late = dataclasses.replace(lost_target, wait_deadline=time.monotonic() + 5.0)
        again = asyncio.create_task(line.wait(late))
        await asyncio.sleep(0)
        held.close()
        assert (await asyncio.wait_for(again, 5)).target is found
        assert not fresh.done()
        fresh.cancel()

    asyncio.run(run())
