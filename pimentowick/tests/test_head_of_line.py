"""Online requests are not blocked by batch work ahead of them in any queue.

The tests count how often an online request is queued, and measure no times.
"""

import asyncio

import orjson
import pytest

from pimentowick.batch import intake
from pimentowick.fakes import callers as fake_callers
from pimentowick.fakes import embedded, engine, faults

ITEMS = 300
ONLINE_REQUESTS = 60
ONLINE_CONCURRENCY = 4
BATCH_ID_PREFIX = "batch_"
TARGET_SETTINGS = {"max_online": ONLINE_CONCURRENCY, "max_batch": 4}
BODY_BYTES = 16_000_000


class CountingEngine(engine.Engine):
    """Counts the online requests that arrive when all slots are in use."""

    queued_online = 0

    def submit(self, stream):
        is_full = len(self.running) >= self.max_running
        if is_full and not stream.request_id.startswith(BATCH_ID_PREFIX):
            self.queued_online += 1
        super().submit(stream)


class WaitCounter:
    """Counts how often online requests are queued between caller and engine."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.queued_at_agents = 0
        for agent in fleet.agents.values():
            agent.admission._wait_online = self._count_calls(
                agent.admission._wait_online
            )

    def _count_calls(self, wait):
        async def wait_counted(*args):
            self.queued_at_agents += 1
            await wait(*args)

        return wait_counted

    def count(self):
        """Return the number of online requests that were queued, by queue."""
        entries = self.fleet.entries.values()
        return {
            "entry connections": sum(e._online_client.peak_queued for e in entries),
            "agent connections": sum(
                agent._client.peak_queued for agent in self.fleet.agents.values()
            ),
            "agent queues": self.queued_at_agents,
            "engine slots": sum(
                getattr(target, "queued_online", 0)
                for target in self.fleet.targets.values()
            ),
        }


async def start_engine(fleet):
    target = CountingEngine(models=[embedded.MODEL], base_step_ms=2, max_running=8)
    await fleet.add_target("lm-0", "engine", embedded.MODEL, target)
    await fleet.wait_for(fleet.is_ready)
    return target, WaitCounter(fleet)


async def send_online_requests(callers):
    async def call(number):
        for index in range(ONLINE_REQUESTS // ONLINE_CONCURRENCY):
            await callers.chat(f"{number}-{index}")

    await asyncio.gather(*(call(number) for number in range(ONLINE_CONCURRENCY)))


def check_no_waits(wait_counter, callers):
    assert not any(wait_counter.count().values()), wait_counter.count()
    assert all(outcome.complete for outcome in callers.outcomes)


@pytest.mark.parametrize("stalled", [False, True])
def test_online_requests_do_not_wait_for_batch_items(stalled):
    """A job fills the batch slots of the only engine, in one case with stalled streams.

    Online requests then wait for no connection, agent queue or engine slot.
    """

    async def check(fleet, callers):
        target, wait_counter = await start_engine(fleet)
        answer = await fleet.submit(embedded.make_job_lines(ITEMS, 40), "k")
        await fleet.wait_for(lambda: len(target.running) >= 3)
        if stalled:
            count = len(target.running)
            order = faults.Fault("stall", count=count, path="/generate")
            target.fault_injector.inject(order)
            await fleet.wait_for(
                lambda: order not in target.fault_injector.active_faults
            )
        await send_online_requests(callers)
        job = await fleet.fetch("GET", f"/v1/batches/{answer.decode()['id']}")
        assert job.decode()["request_counts"]["pending"] > 0
        check_no_waits(wait_counter, callers)

    run_check(check)


def test_online_requests_do_not_wait_for_large_bodies():
    """A job whose body is close to the size limit is submitted during online load."""

    async def check(fleet, callers):
        _, wait_counter = await start_engine(fleet)
        lines = make_long_job_lines(BODY_BYTES)
        submitting = asyncio.ensure_future(fleet.submit(lines, "k", timeout_s=30))
        while not submitting.done():
            await send_online_requests(callers)
        assert submitting.result().status == 202
        check_no_waits(wait_counter, callers)

    run_check(check, max_body_bytes=BODY_BYTES + 100_000)


def run_check(check, **entry_settings):
    fake_callers.run_with_callers(
        check,
        engines=0,
        entry_settings=entry_settings,
        agent_settings={"target": TARGET_SETTINGS},
    )


def make_long_job_lines(size, line_bytes=200_000):
    rows = []
    for number in range(size // line_bytes):
        messages = [{"role": "user", "content": "x" * (line_bytes - 200)}]
        body = {"model": embedded.MODEL, "messages": messages, "max_tokens": 1}
        rows.append(orjson.dumps({"custom_id": str(number), "body": body}))
    return b"\n".join(rows)


class FakeWorkspace:
    class models:
        @staticmethod
        def get(name):
            return FakeModelUse


class FakeModelUse:
    adapters = ()
    max_tokens = 8


def test_large_bodies_are_parsed_and_encoded_in_small_steps():
    """A job has few, long lines.

    Yielding to the event loop after a number of lines only would block the online
    requests of the entry until all lines are parsed.
    """

    async def count_loop_iterations(coroutine):
        task = asyncio.ensure_future(coroutine)
        iterations = 0
        while not task.done():
            await asyncio.sleep(0)
            iterations += 1
        return iterations, task.result()

    async def check():
        data = make_long_job_lines(BODY_BYTES)
        min_iterations = BODY_BYTES // (2 * intake.MAX_BYTES_PER_YIELD)
        iterations, submission = await count_loop_iterations(
            intake.parse_items(data, FakeWorkspace)
        )
        assert iterations >= min_iterations
        iterations, chunks = await count_loop_iterations(
            intake.make_chunks("s", submission.items, 262_144)
        )
        assert iterations >= min_iterations and len(chunks) == len(submission.items)

    asyncio.run(check())
