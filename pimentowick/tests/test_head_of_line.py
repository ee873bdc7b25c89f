"""What an online request waits for while batch work fills everything else.

Nothing is timed: whatever an online request could have waited in is counted.
"""

import asyncio

import orjson
import pytest

from pimentowick.batch import intake
from pimentowick.fakes import callers as fake_callers
from pimentowick.fakes import embedded, engine, faults

ITEMS = 300
CALLS = 60
ONLINE_AT_ONCE = 4
BATCH = "batch_"
TARGET = {"max_online": ONLINE_AT_ONCE, "max_batch": 4}
BODY_BYTES = 16_000_000


class WatchedEngine(engine.Engine):
    """Counts the online requests that find all places taken."""

    blocked = 0

    def submit(self, stream):
        full = len(self.running) >= self.max_running
        if full and not stream.request_id.startswith(BATCH):
            self.blocked += 1
        super().submit(stream)


class Watch:
    """Counts what online requests wait in, between caller and engine."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.queued = 0
        for agent in fleet.agents.values():
            agent.admission._wait_online = self._wrap(agent.admission._wait_online)

    def _wrap(self, wait):
        async def wait_counted(*args):
            self.queued += 1
            await wait(*args)

        return wait_counted

    def count(self):
        """Return how often an online request had to wait, by place."""
        entries = self.fleet.entries.values()
        return {
            "handles of entries": sum(e._online_client.peak_queued for e in entries),
            "handles of agents": sum(
                agent._client.peak_queued for agent in self.fleet.agents.values()
            ),
            "queues of agents": self.queued,
            "places of engines": sum(
                getattr(target, "blocked", 0) for target in self.fleet.targets.values()
            ),
        }


async def start_engine(fleet):
    target = WatchedEngine(models=[embedded.MODEL], base_step_ms=2, max_running=8)
    await fleet.add_target("lm-0", "engine", embedded.MODEL, target)
    await fleet.wait_for(fleet.is_ready)
    return target, Watch(fleet)


async def call_often(callers):
    async def call(number):
        for index in range(CALLS // ONLINE_AT_ONCE):
            await callers.chat(f"{number}-{index}")

    await asyncio.gather(*(call(number) for number in range(ONLINE_AT_ONCE)))


def check_nothing_waited(watch, callers):
    assert not any(watch.count().values()), watch.count()
    assert all(outcome.whole for outcome in callers.outcomes)


@pytest.mark.parametrize("stalled", [False, True])
def test_online_requests_wait_for_no_batch_item(stalled):
    """A job fills the only engine, and perhaps its streams stall and stay open.

    An exhibitor who asks something in that moment must not wait for any of it: not
    for a connection, nor for a place in a queue or at the engine.
    """

    async def check(fleet, callers):
        target, watch = await start_engine(fleet)
        answer = await fleet.submit(embedded.make_job_lines(ITEMS, 40), "k")
        await fleet.wait_for(lambda: len(target.running) >= 3)
        if stalled:
            count = len(target.running)
            order = faults.Order("stall", count=count, path="/generate")
            target.board.place(order)
            await fleet.wait_for(lambda: order not in target.board.orders)
        await call_often(callers)
        job = await fleet.fetch("GET", f"/v1/batches/{answer.decode()['id']}")
        assert job.decode()["request_counts"]["pending"] > 0
        check_nothing_waited(watch, callers)

    run_check(check)


def test_online_requests_wait_for_no_huge_body():
    """A job whose body is near the limit is taken in while callers ask."""

    async def check(fleet, callers):
        _, watch = await start_engine(fleet)
        lines = make_long_lines(BODY_BYTES)
        submitting = asyncio.ensure_future(fleet.submit(lines, "k", timeout_s=30))
        while not submitting.done():
            await call_often(callers)
        assert submitting.result().status == 202
        check_nothing_waited(watch, callers)

    run_check(check, max_body_bytes=BODY_BYTES + 100_000)


def run_check(check, **entry_settings):
    fake_callers.run_with_callers(
        check,
        engines=0,
        entry_settings=entry_settings,
        agent_settings={"target": TARGET},
    )


def make_long_lines(size, line_bytes=200_000):
    rows = []
    for number in range(size // line_bytes):
        messages = [{"role": "user", "content": "x" * (line_bytes - 200)}]
        body = {"model": embedded.MODEL, "messages": messages, "max_tokens": 1}
        rows.append(orjson.dumps({"custom_id": str(number), "body": body}))
    return b"\n".join(rows)


class Workspace:
    class models:
        @staticmethod
        def get(name):
            return Use


class Use:
    adapters = ()
    max_tokens = 8


def test_large_bodies_are_parsed_and_encoded_in_small_turns():
    """A job has few lines, each of them long.

    Counting lines alone, all of them would be parsed in one turn of the loop, while
    every online request of the entry waits.
    """

    async def count_turns(coroutine):
        task = asyncio.ensure_future(coroutine)
        turns = 0
        while not task.done():
            await asyncio.sleep(0)
            turns += 1
        return turns, task.result()

    async def check():
        data = make_long_lines(BODY_BYTES)
        least = BODY_BYTES // (2 * intake.TURN_BYTES)
        turns, submission = await count_turns(intake.parse_items(data, Workspace))
        assert turns >= least
        turns, chunks = await count_turns(
            intake.make_chunks("s", submission.items, 262_144)
        )
        assert turns >= least and len(chunks) == len(submission.items)

    asyncio.run(check())
