"""Tests of the agent's connections to entries."""

import asyncio

from pimentowick.agent import frame
from pimentowick.external import engine as external_engine
from pimentowick.fakes import callers as fake_callers
from pimentowick.fakes import embedded

CHUNKS = 3
CHUNK_BYTES = 16_000_000


class HugeTarget:
    """Target whose response exceeds the socket buffers."""

    async def generate(self, generation):
        for index in range(CHUNKS):
            yield external_engine.Tokens(index, ["x" * CHUNK_BYTES])
        yield external_engine.End("stop", CHUNKS)


def test_answer_goes_on_after_an_entry_was_slow_to_read():
    """Guards against a stalled response to an entry that does not read for a while.

    A keep-alive line written during a pending flush must not block the response.
    """

    async def check(fleet, callers):
        agent = fleet.agents["agent-lm-0"]
        agent.target = HugeTarget()
        reader, writer = await send_work(agent.address)
        await fleet.wait_for(lambda: agent.running)
        (handler,) = agent.running
        calls = count_calls(handler, "send_keepalive")
        await fleet.wait_for(lambda: len(calls) >= 3)
        writer.transport.resume_reading()
        async with asyncio.timeout(20):
            data = await reader.readuntil(b"\r\n0\r\n\r\n")
        assert frame.parse_frame(last_line(data), "r", 1)["end"]

    fake_callers.run_with_callers(check, engines=1, entries=1)


def count_calls(obj, name):
    calls = []
    function = getattr(obj, name)

    def call(*args):
        calls.append(args)
        return function(*args)

    setattr(obj, name, call)
    return calls


async def send_work(address):
    envelope = {"request_id": "r", "attempt": 1, "entry": "e", "workspace": "a"}
    envelope |= {"priority": "online", "deadline_s": 60.0}
    generation = {"model": embedded.MODEL, "adapter": None, "prompt": "x"}
    body = {"envelope": envelope, "generate": generation | {"max_tokens": CHUNKS}}
    return await fake_callers.post_without_reading(address, "/work", body)


def last_line(data):
    lines = [line for line in data.splitlines() if line.startswith(b"{")]
    return lines[-1]
