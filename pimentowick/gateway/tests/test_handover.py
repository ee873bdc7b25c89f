import asyncio
import time
import types

import orjson

from pimentowick.fakes import wait
from pimentowick.gateway import handover, load_report
from pimentowick.gateway.tests import test_neighbour


class FakeStorage:
    """A job storage that is always up to date."""

    async def refresh(self):
        pass


class FakeRunner:
    def __init__(self):
        self.owned_partitions = frozenset()
        self.recording_partitions = frozenset()

    def set_partitions(self, partitions):
        self.owned_partitions = frozenset(partitions)


def make_handover(partitions, released_while_cut_off=False):
    load_reporter, *_ = test_neighbour.make_load_reporter()
    fake_ownership = types.SimpleNamespace(
        partitions=frozenset(partitions), released_while_cut_off=released_while_cut_off
    )
    batch_runner = FakeRunner()
    return (
        handover.Handover(fake_ownership, batch_runner, FakeStorage(), load_reporter),
        batch_runner,
        load_reporter,
    )


def send_partitions(load_reporter, number, partitions):
    data = {"from": "other:2", "number": number, "loads": {}, "pending": {}}
    data |= {"waiting": {}, "parts": partitions}
    load_reporter.datagram_received(orjson.dumps(data), ("other", 2))


def test_partition_is_taken_over_after_its_owner_wrote_checkpoints():
    # After an outage in which all leases expired, the first entry to renew is assigned
    # all partitions. If it started at once, items would run twice from old checkpoints.
    async def run():
        coordinator, batch_runner, load_reporter = make_handover({1, 2, 3})
        send_partitions(load_reporter, 1, [2, 3])
        task = asyncio.create_task(coordinator.take_over())
        await wait.wait_for(lambda: batch_runner.owned_partitions, 5, 0.005)
        assert batch_runner.owned_partitions == {1}
        send_partitions(load_reporter, 2, [3])
        await wait.wait_for(lambda: 2 in batch_runner.owned_partitions, 5, 0.005)
        assert batch_runner.owned_partitions == {1, 2}
        send_partitions(load_reporter, 3, [])
        await asyncio.wait_for(task, 5)
        assert batch_runner.owned_partitions == {1, 2, 3}

    asyncio.run(run())


def test_partitions_of_a_silent_peer_are_taken_over_at_once():
    # The owner has crashed and writes no more checkpoints.
    async def run():
        coordinator, batch_runner, load_reporter = make_handover({1})
        send_partitions(load_reporter, 1, [1])
        load_reporter.peers[
            "other:2"
        ].last_heard_at -= load_report.PEER_HEARTBEAT_TIMEOUT_S
        await coordinator.take_over()
        assert batch_runner.owned_partitions == {1}

    asyncio.run(run())


def test_wait_for_an_owner_that_never_releases_is_bounded(monkeypatch):
    monkeypatch.setattr(handover, "MAX_WAIT_S", 0.0)

    async def run():
        coordinator, batch_runner, load_reporter = make_handover({1})
        send_partitions(load_reporter, 1, [1])
        await coordinator.take_over()
        assert batch_runner.owned_partitions == {1}

    asyncio.run(run())


def test_lost_partitions_are_released_before_new_ones_are_taken():
    async def run():
        coordinator, batch_runner, load_reporter = make_handover({1, 2})
        batch_runner.owned_partitions = frozenset({1, 7})
        send_partitions(load_reporter, 1, [2])
        task = asyncio.create_task(coordinator.take_over())
        await wait.wait_for(lambda: 7 not in batch_runner.owned_partitions, 5, 0.005)
        assert batch_runner.owned_partitions == {1}
        task.cancel()

    asyncio.run(run())


def test_unwritable_checkpoints_hold_no_partition():
    # An entry that alone has lost the store cannot write checkpoints. Waiting for them
    # would leave the items idle.
    coordinator, batch_runner, _ = make_handover({1}, released_while_cut_off=True)
    batch_runner.owned_partitions, batch_runner.recording_partitions = (
        frozenset({1}),
        frozenset({2}),
    )
    assert coordinator.list_held_partitions() == {1}
    coordinator, batch_runner, _ = make_handover({1})
    batch_runner.owned_partitions, batch_runner.recording_partitions = (
        frozenset({1}),
        frozenset({2}),
    )
    assert coordinator.list_held_partitions() == {1, 2}


def test_restarted_entry_listens_before_it_takes_partitions():
    # A restarted entry renews first and is assigned all partitions before it has heard
    # that other entries still run them.
    async def run():
        coordinator, batch_runner, load_reporter = make_handover({1})
        load_reporter._started_at = time.monotonic()
        task = asyncio.create_task(coordinator.take_over())
        await asyncio.sleep(0.1)
        send_partitions(load_reporter, 1, [1])
        load_reporter._started_at -= load_report.DISCOVERY_S
        await asyncio.sleep(0.1)
        assert not batch_runner.owned_partitions
        send_partitions(load_reporter, 2, [])
        await asyncio.wait_for(task, 5)
        assert batch_runner.owned_partitions == {1}

    asyncio.run(run())
