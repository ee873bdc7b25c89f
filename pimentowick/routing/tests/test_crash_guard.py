import asyncio

import pytest

from pimentowick.routing import crash_guard, quarantine

REQUEST = "request"
OTHER_REQUEST = "other request"


def test_crash_is_recorded_while_a_waiting_request_is_being_refused():
    # Guards against an error in a request that only reports its own crash, between the
    # cancellation of a refused request and its end.
    async def wait_for_slot(guard, has_begun):
        async with guard.interrupt_if_refused([REQUEST]):
            has_begun.set()
            await asyncio.Event().wait()

    async def run():
        guard = crash_guard.CrashGuard()
        has_begun = asyncio.Event()
        waiting = asyncio.create_task(wait_for_slot(guard, has_begun))
        await has_begun.wait()
        for target in ("t1", "t2"):
            guard.record_crash(REQUEST, target)
        assert await guard.start_trial([REQUEST], "r1")
        guard.record_crash(REQUEST, "t3")
        assert guard.choose_step([REQUEST]) == quarantine.Step.REFUSE
        while not waiting.cancelling():
            await asyncio.sleep(0)
        assert not waiting.done()
        guard.record_crash(OTHER_REQUEST, "t3")
        assert guard.policy.list_crashes(OTHER_REQUEST) == ["t3"]
        with pytest.raises(TimeoutError):
            await waiting

    asyncio.run(run())
