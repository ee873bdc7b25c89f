import asyncio
import time
import types

import orjson

from pimentowick.fakes import wait
from pimentowick.gateway import handover, neighbour
from pimentowick.gateway.tests import test_neighbour


class Storage:
    """All jobs of an entry, which are up to date."""

    async def refresh(self):
        pass


class Runner:
    def __init__(self):
        self.owned = frozenset()
        self.recording = frozenset()

    def own(self, parts):
        self.owned = frozenset(parts)


def make_handover(parts, is_alone=False):
    found, *_ = test_neighbour.make_neighbours()
    member = types.SimpleNamespace(parts=frozenset(parts), is_alone=is_alone)
    ours = Runner()
    return handover.Handover(member, ours, Storage(), found), ours, found


def tell_parts(found, number, parts):
    data = {"from": "other:2", "number": number, "loads": {}, "pending": {}}
    data |= {"waiting": {}, "parts": parts}
    found.datagram_received(orjson.dumps(data), ("other", 2))


def test_part_is_left_to_its_holder_until_that_has_recorded_its_texts():
    # The store is back after an outage in which all leases have lapsed, and deals all
    # parts to the first entry that renews. The others still run theirs, and hear of it
    # a second later. Run at once, each item would run twice, from an old text.
    async def run():
        found, ours, others = make_handover({1, 2, 3})
        tell_parts(others, 1, [2, 3])
        task = asyncio.create_task(found.take_over())
        await wait.wait_for(lambda: ours.owned, 5, 0.005)
        assert ours.owned == {1}
        tell_parts(others, 2, [3])
        await wait.wait_for(lambda: 2 in ours.owned, 5, 0.005)
        assert ours.owned == {1, 2}
        tell_parts(others, 3, [])
        await asyncio.wait_for(task, 5)
        assert ours.owned == {1, 2, 3}

    asyncio.run(run())


def test_parts_of_a_silent_neighbour_are_taken_at_once():
    # Their holder lost power; nothing is recorded any more.
    async def run():
        found, ours, others = make_handover({1})
        tell_parts(others, 1, [1])
        others.peers["other:2"].heard_at -= neighbour.SILENT_S
        await found.take_over()
        assert ours.owned == {1}

    asyncio.run(run())


def test_holder_that_never_lets_go_is_not_waited_for_longer_than_a_lease(monkeypatch):
    monkeypatch.setattr(handover, "LONGEST_WAIT_S", 0.0)

    async def run():
        found, ours, others = make_handover({1})
        tell_parts(others, 1, [1])
        await found.take_over()
        assert ours.owned == {1}

    asyncio.run(run())


def test_lost_parts_are_given_up_before_new_ones_come():
    async def run():
        found, ours, others = make_handover({1, 2})
        ours.owned = frozenset({1, 7})
        tell_parts(others, 1, [2])
        task = asyncio.create_task(found.take_over())
        await wait.wait_for(lambda: 7 not in ours.owned, 5, 0.005)
        assert ours.owned == {1}
        task.cancel()

    asyncio.run(run())


def test_texts_that_cannot_be_recorded_hold_no_part():
    # An entry that alone lost the store gives its parts up; waiting for its texts would
    # leave the items standing for seconds.
    found, ours, _ = make_handover({1}, is_alone=True)
    ours.owned, ours.recording = frozenset({1}), frozenset({2})
    assert found.list_held_partitions() == {1}
    found, ours, _ = make_handover({1})
    ours.owned, ours.recording = frozenset({1}), frozenset({2})
    assert found.list_held_partitions() == {1, 2}


def test_entry_that_was_just_started_listens_before_it_takes_parts():
    # An entry is back from its restart at the end of an outage and is the first to
    # renew: it is dealt the parts of all, and has not heard yet that they run.
    async def run():
        found, ours, others = make_handover({1})
        others._started_at = time.monotonic()
        task = asyncio.create_task(found.take_over())
        await asyncio.sleep(0.1)
        tell_parts(others, 1, [1])
        others._started_at -= neighbour.LISTEN_S
        await asyncio.sleep(0.1)
        assert not ours.owned
        tell_parts(others, 2, [])
        await asyncio.wait_for(task, 5)
        assert ours.owned == {1}

    asyncio.run(run())
