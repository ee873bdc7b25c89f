import asyncio
import dataclasses
import time

from pimentowick.gateway import admission, target


def make_admission(slots=1):
    table = target.TargetTable()
    table.put(target.Registration("t", "s", "127.0.0.1", 1, "a", slots))
    return admission.Admission(table, "a"), table.by_id["t"]


def make_slot_request(wait_s):
    now = time.monotonic()
    return admission.SlotRequest("s", (0, 0), now + wait_s, now + wait_s)


def test_slot_granted_as_the_wait_times_out_is_not_lost():
    # A slot granted in the event loop iteration in which the wait times out must not
    # leak: it would count as taken until the process ends.
    async def run():
        controller, listed = make_admission()
        held = controller.try_acquire(make_slot_request(1.0))
        waiting = asyncio.create_task(controller.wait_for_slot(make_slot_request(0.05)))
        await asyncio.sleep(0)
        loop = asyncio.get_running_loop()
        # Due before the wait deadline, so that it runs first in the same iteration.
        loop.call_at(loop.time() + 0.04, held.release)
        time.sleep(0.2)
        slot = await waiting
        if slot is not None:
            slot.release()
        assert listed.online == 0
        assert controller.try_acquire(make_slot_request(1.0)) is not None

    asyncio.run(run())


def test_caller_that_leaves_as_its_slot_is_granted_releases_it():
    async def run():
        controller, listed = make_admission()
        held = controller.try_acquire(make_slot_request(1.0))
        waiting = asyncio.create_task(controller.wait_for_slot(make_slot_request(1.0)))
        await asyncio.sleep(0)
        held.release()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert listed.online == 0

    asyncio.run(run())


def test_trial_whose_target_may_not_run_it_does_not_block_others():
    # The only free target crashed under the request at the head of the queue.
    async def run():
        controller, _ = make_admission()
        held = controller.try_acquire(make_slot_request(1.0))
        trial = dataclasses.replace(
            make_slot_request(0.5), crashed_targets=frozenset({"t"})
        )
        first = asyncio.create_task(controller.wait_for_slot(trial))
        await asyncio.sleep(0)
        second = asyncio.create_task(controller.wait_for_slot(make_slot_request(1.0)))
        await asyncio.sleep(0)
        held.release()
        assert await second is not None
        first.cancel()

    asyncio.run(run())


def test_request_that_avoids_the_only_free_target_does_not_block_others():
    # The first queued request was rejected by the target whose slot is free now.
    async def run():
        controller, listed = make_admission()
        held = controller.try_acquire(make_slot_request(1.0))
        first = asyncio.create_task(
            controller.wait_for_slot(make_slot_request(0.5), frozenset({"t"}))
        )
        second = asyncio.create_task(controller.wait_for_slot(make_slot_request(5.0)))
        await asyncio.sleep(0)
        held.release()
        slot = await asyncio.wait_for(second, 5)
        assert slot.target is listed
        assert not first.done()
        first.cancel()

    asyncio.run(run())


def test_new_request_queues_behind_those_at_other_entries():
    async def run():
        controller, listed = make_admission(slots=4)
        controller.peers_waiting["s"] = 3
        assert controller.try_acquire(make_slot_request(1.0)) is None
        controller.peers_waiting["s"] = 0
        assert controller.try_acquire(make_slot_request(1.0)).target is listed

    asyncio.run(run())


def test_request_that_lost_its_target_precedes_queued_requests():
    # A target crashes in the middle of a stream during a burst. At the end of the
    # queue, its caller would wait seconds for the next event.
    async def run():
        controller, listed = make_admission(slots=2)
        controller.peers_waiting["s"] = 5
        restarted = dataclasses.replace(make_slot_request(-1.0), lost_target=True)
        first = controller.try_acquire(restarted)
        assert first.target is listed
        held = controller.try_acquire(restarted)
        fresh = asyncio.create_task(controller.wait_for_slot(make_slot_request(5.0)))
        await asyncio.sleep(0)
        late = dataclasses.replace(restarted, wait_deadline=time.monotonic() + 5.0)
        again = asyncio.create_task(controller.wait_for_slot(late))
        await asyncio.sleep(0)
        held.release()
        assert (await asyncio.wait_for(again, 5)).target is listed
        assert not fresh.done()
        fresh.cancel()

    asyncio.run(run())


def test_restricted_request_does_not_block_others():
    # No target of its version has room; one of another version has.
    async def run():
        controller, listed = make_admission(slots=2)
        restricted = dataclasses.replace(
            make_slot_request(0.5), software_version="v2", lost_target=True
        )
        held = [controller.try_acquire(make_slot_request(1.0)) for _ in range(2)]
        waiting = [
            asyncio.create_task(controller.wait_for_slot(request))
            for request in (restricted, make_slot_request(0.5))
        ]
        await asyncio.sleep(0)
        held[0].release()
        done = await asyncio.gather(*waiting)
        assert [slot is None for slot in done] == [True, False]
        assert listed.online == 2

    asyncio.run(run())
