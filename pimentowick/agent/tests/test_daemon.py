"""The agent's connections to entries."""

import asyncio

from pimentowick.agent import frame
from pimentowick.external import engine as external_engine
from pimentowick.fakes import callers as fake_callers
from pimentowick.fakes import embedded

PIECES = 3
PIECE_BYTES = 16_000_000


class HugeTarget:
    """Answers with more than a socket holds."""

    async def generate(self, generation):
        for index in range(PIECES):
            yield external_engine.Tokens(index, ["x" * PIECE_BYTES])
        yield external_engine.End("stop", PIECES)


def test_answer_goes_on_after_an_entry_was_slow_to_read():
    """An entry reads nothing for longer than the time between keep-alive lines.

    It may be paused, or the network slow. Once it reads again the rest of the answer
    has to come; the place at the target would otherwise be kept until the deadline.
    """

    async def check(fleet, callers):
        agent = fleet.agents["agent-lm-0"]
        agent.target = HugeTarget()
        reader, writer = await send_work(agent.address)
        await fleet.wait_for(lambda: agent.running)
        (handler,) = agent.running
        marks = count_calls(handler, "send_alive")
        await fleet.wait_for(lambda: len(marks) >= 3)
        writer.transport.resume_reading()
        async with asyncio.timeout(20):
            data = await reader.readuntil(b"\r\n0\r\n\r\n")
        assert frame.parse_frame(last_line(data), "r", 1)["end"]

    fake_callers.run_with_callers(check, engines=1, entries=1)


def count_calls(thing, name):
    calls = []
    function = getattr(thing, name)

    def call(*args):
        calls.append(args)
        return function(*args)

    setattr(thing, name, call)
    return calls


async def send_work(address):
    envelope = {"request_id": "r", "attempt": 1, "entry": "e", "workspace": "a"}
    envelope |= {"priority": "online", "deadline_s": 60.0}
    generation = {"model": embedded.MODEL, "adapter": None, "prompt": "x"}
    body = {"envelope": envelope, "generate": generation | {"max_tokens": PIECES}}
    return await fake_callers.post_without_reading(address, "/work", body)


def last_line(data):
    lines = [line for line in data.splitlines() if line.startswith(b"{")]
    return lines[-1]
