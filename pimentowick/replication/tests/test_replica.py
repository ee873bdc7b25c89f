"""Replicas through lost answers, outages and the end of the log's retention."""

import asyncio
import contextlib

import pytest

from pimentowick import exception
from pimentowick.replication import checkpoint, replica, state_machine
from pimentowick.replication.tests import memory

STREAM = "s"


class IdRecorder(state_machine.StateMachine):
    """State machine that stores the ids of the applied records in order."""

    def __init__(self):
        self.ids = []

    def apply(self, offset, record):
        self.ids.append(record["id"])

    def dump(self):
        return [{"ids": list(self.ids)}]

    def load(self, parts):
        if not isinstance(parts, list):
            raise exception.ValidationError("dump")
        self.ids = list(parts[0]["ids"])


def run(check, **settings):
    async def run_check():
        log = memory.MemoryLog(**settings)
        async with contextlib.AsyncExitStack() as stack:

            async def follow():
                follower = replica.Replica(log, STREAM, IdRecorder(), lambda: 0.05)
                await follower.start()
                stack.push_async_callback(follower.close)
                return follower

            async with asyncio.timeout(20):
                await check(log, follow)

    asyncio.run(run_check())


def fill(log, *names):
    log.stored.append(STREAM, [{"id": name, "type": "x"} for name in names])


async def write_checkpoint(log, follower):
    for record in await follower.make_checkpoint(4096):
        log.stored.append(STREAM, [record])


def test_lost_answer_of_an_append_is_settled():
    """The answer of an append is lost, and the replica reads the record first.

    If the search started at the replica's current offset, it would miss the record and
    report the outcome as unknown.
    """

    async def check(log, follow):
        follower = await follow()
        append = log.append

        async def append_and_let_read(stream, records):
            try:
                return await append(stream, records)
            finally:
                await follower.wait_for(lambda: follower.offset > 0, 5)

        log.append = append_and_let_read
        log.lose_answers = 1
        assert await follower.append([{"id": "a", "type": "x"}], 2.0) == 0
        assert follower.state_machine.ids == ["a"]

    run(check)


def test_append_that_lands_late_is_found_or_reported_as_unknown():
    """An append is not answered, and its record lands after a read of the head.

    Reporting it as failed would be wrong, because the record takes effect.
    """

    async def check(log, follow):
        follower = await follow()
        log.delayed = []
        waiting = asyncio.create_task(follower.append([{"id": "a", "type": "x"}], 10))
        await follower.wait_for(lambda: log.delayed, 5)
        await follower.catch_up(5)
        log.land_delayed()
        assert await waiting == 0
        log.delayed = []
        with pytest.raises(exception.LogUnavailableError):
            await follower.append([{"id": "b", "type": "x"}], 0.2)
        log.land_delayed()
        await follower.wait_for(lambda: follower.state_machine.ids == ["a", "b"], 5)

    run(check)


def test_replicas_agree_over_the_end_of_retention():
    """Records pass out of retention while one replica lags and another one is new.

    The first checkpoint that they read is too old. They must neither stay without a
    state nor load one with a gap.
    """

    async def check(log, follow):
        ahead = await follow()
        fill(log, "a", "b")
        await ahead.catch_up(5)
        old = await ahead.make_checkpoint(4096)
        behind = replica.Replica(log, STREAM, IdRecorder())
        fill(log, "c", "d")
        log.stored.append(STREAM, old)
        await ahead.catch_up(5)
        await write_checkpoint(log, ahead)
        fill(log, "e")
        log.stored.truncate(STREAM, 4)
        new = await follow()
        for follower in (behind, new):
            await follower.catch_up(5)
            assert follower.state_machine.ids == ["a", "b", "c", "d", "e"]
            assert follower.ready and not follower.recovering
        await ahead.catch_up(5)
        assert ahead.state_machine.ids == new.state_machine.ids

    run(check)


def test_replica_never_goes_back():
    """An old or malformed checkpoint is in the stream or offered by a peer.

    Loading it would undo later records, such as the revocation of a token.
    """

    async def check(log, follow):
        follower = await follow()
        fill(log, "a")
        await follower.catch_up(5)
        old = await follower.make_checkpoint(4096)
        fill(log, "b", "c")
        await follower.catch_up(5)
        log.stored.append(STREAM, old)
        await follower.catch_up(5)
        assert follower.state_machine.ids == ["a", "b", "c"]
        assert not follower.install_state(1, [{"ids": ["a"]}])
        assert not follower.install_state(9, None)
        # A recovering replica needs a checkpoint up to the oldest record in the log.
        log.stored.truncate(STREAM, 3)
        new = replica.Replica(log, STREAM, IdRecorder())
        await new.read_once()
        await new.read_once()
        assert new.recovering and not new.ready and new.state_machine.ids == []
        await write_checkpoint(log, follower)
        await new.catch_up(5)
        assert new.state_machine.ids == ["a", "b", "c"]

    run(check)


def test_broken_records_stop_no_reader():
    """The stream contains malformed records and incomplete checkpoints.

    A replica that fails on one would stop applying records.
    """

    async def check(log, follow):
        follower = await follow()
        log.stored.append(STREAM, [None, [], "x", {"type": "checkpoint"}])
        part = checkpoint.make_checkpoint([{"ids": []}], 9, 1.0, 4096)[0]
        malformed = [{"data": "?"}, {"parts": 10**30}, {"part": []}, {"covers": "x"}]
        log.stored.append(STREAM, [{**part, **fields} for fields in malformed])
        fill(log, "a")
        await follower.wait_for(lambda: follower.state_machine.ids[-1:] == ["a"], 5)

    run(check)


def test_outage_is_waited_for_and_never_read_as_an_answer():
    """The log is down for longer than every timeout.

    A replica that treats the missing answer as an empty log would report a stale state
    as up to date.
    """

    async def check(log, follow):
        follower = await follow()
        fill(log, "a")
        await follower.catch_up(5)
        log.down = True
        for attempt in (follower.catch_up(0.2), follower.append([{"type": "x"}], 0.2)):
            with pytest.raises(exception.LogUnavailableError):
                await attempt
        log.down = False
        fill(log, "b")
        await follower.catch_up(5)
        assert follower.state_machine.ids == ["a", "b"]

    run(check)
