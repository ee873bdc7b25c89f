"""Which entries know what began a stream, over a network that loses datagrams."""

import asyncio
import random

import pytest

from pimentowick.gateway import metric, stream_origins
from pimentowick.gateway.policy import stream_origin

ORIGIN = stream_origin.Origin("chat", "v1")
KEY = stream_origins.compute_key("a", "desk.example", "r1")
DEADLINE_S = 5.0
# Sends to the holders, twice, and the questions of one lookup with their answers.
MAX_DATAGRAMS = 2 * stream_origin.HOLDERS + 2 * stream_origin.MAX_ASKED


class Network:
    """Entries that send each other datagrams, some of which are lost."""

    def __init__(self, count, loss=0.0):
        self.random = random.Random(1)
        self.loss = loss
        self.sent = 0
        self.alive = {}
        for number in range(count):
            endpoint = Endpoint(self, f"10.0.0.{number}:1")
            self.alive[endpoint.address] = endpoint

    def get(self, number):
        return self.alive[f"10.0.0.{number}:1"]

    def list(self):
        return list(self.alive.values())

    def kill(self, endpoint):
        del self.alive[endpoint.address]

    def deliver(self, sender, receiver, data):
        self.sent += 1
        endpoint = self.alive.get(receiver)
        if endpoint is not None and self.random.random() >= self.loss:
            message = {"from": sender, **data}
            asyncio.get_running_loop().call_soon(endpoint.origins.handle, message)


class Endpoint:
    """What `StreamOrigins` needs of a `load_report.LoadReporter`."""

    def __init__(self, network, address):
        self.address = address
        self.has_heard_peers = True
        self._network = network
        self.origins = stream_origins.StreamOrigins(self, metric.Metrics())

    def knows(self, key, now):
        return self.origins.get(key, now) is not None

    @property
    def peers(self):
        return self.list_peers()

    def list_peers(self):
        return [name for name in self._network.alive if name != self.address]

    def list_live_peers(self):
        return self.peers

    def send_to(self, addresses, data):
        for address in addresses:
            self._network.deliver(self.address, address, data)


@pytest.mark.parametrize("entries", [2, 8, 88, 299])
def test_origin_is_found_with_as_many_messages_at_any_size(entries):
    async def run():
        network = Network(entries)
        network.get(0).origins.record(KEY, ORIGIN, DEADLINE_S)
        await asyncio.sleep(2 * stream_origins.REPEAT_DELAY_S)
        network.kill(network.get(0))
        assert await network.get(1).origins.find(KEY, "r2") == ORIGIN
        assert network.sent <= MAX_DATAGRAMS

    asyncio.run(run())


def test_origin_is_found_after_its_entry_and_two_holders_are_lost():
    async def run():
        network = Network(20)
        network.get(0).origins.record(KEY, ORIGIN, DEADLINE_S)
        await asyncio.sleep(0.01)
        network.kill(network.get(0))
        holders = [each for each in network.list() if len(each.origins)]
        for holder in holders[:2]:
            network.kill(holder)
        asking = [each for each in network.list() if not len(each.origins)]
        assert await asking[0].origins.find(KEY, "r2") == ORIGIN

    asyncio.run(run())


def test_origin_is_found_while_a_third_of_the_datagrams_is_lost():
    async def run():
        network = Network(20, loss=0.3)
        keys = [f"k{n}" for n in range(40)]
        for key in keys:
            network.get(0).origins.record(key, ORIGIN, DEADLINE_S)
        await asyncio.sleep(2 * stream_origins.REPEAT_DELAY_S)
        network.kill(network.get(0))
        now = asyncio.get_running_loop().time()
        known = [key for key in keys if any(e.knows(key, now) for e in network.list())]
        assert len(known) > len(keys) / 2
        found = await asyncio.gather(
            *(network.get(1).origins.find(key, "r") for key in keys)
        )
        assert found.count(ORIGIN) == len(known)

    asyncio.run(run())


def test_unknown_origin_is_not_searched_for_longer_than_all_answer():
    async def run():
        network = Network(88)
        assert await network.get(0).origins.find(KEY, "r2") is None
        assert network.sent <= 2 * stream_origin.MAX_ASKED

    asyncio.run(run())


@pytest.mark.parametrize("silent", [0, 1])
def test_stream_is_lost_once_all_who_could_know_it_have_answered(silent):
    # Guards against callers that ask again and again for a stream that can't go on, and
    # against a final answer while an entry that may know the stream is silent.
    async def run():
        network = Network(8)
        listed = [each.address for each in network.list()[1:]]
        asking = network.get(0)
        asking.list_peers = lambda: listed
        for endpoint in network.list()[1 : 1 + silent]:
            network.kill(endpoint)
        lost = []
        origin = await asking.origins.find(KEY, "r2", lambda: lost.append(KEY))
        assert origin is None
        assert len(lost) == 1 - silent

    asyncio.run(run())


def test_origin_of_a_name_that_is_used_again_is_unknown():
    # Guards against a stream that goes on at the version of another one with its name.
    table = stream_origin.OriginTable()
    table.put(KEY, ORIGIN, DEADLINE_S, now=0.0)
    table.put(KEY, ORIGIN, DEADLINE_S, now=1.0)
    assert table.get(KEY, now=1.0) == ORIGIN
    table.put(KEY, stream_origin.Origin("chat", "v2"), DEADLINE_S, now=2.0)
    assert table.get(KEY, now=2.0) is None
    table.put(KEY, ORIGIN, DEADLINE_S, now=3.0)
    assert table.get(KEY, now=3.0) is None


def test_stream_of_another_workspace_or_host_is_unknown():
    keys = {
        stream_origins.compute_key(workspace, host, "r1")
        for workspace in ("a", "b", None)
        for host in ("desk.example", "other.example")
    }
    assert len(keys) == 6


def test_origins_of_an_entry_are_bounded_and_end_with_their_callers():
    table = stream_origin.OriginTable()
    for number in range(2 * stream_origin.MAX_ORIGINS):
        table.put(f"k{number}", ORIGIN, DEADLINE_S, now=0.0)
    assert len(table) == stream_origin.MAX_ORIGINS
    table.put("long", ORIGIN, 1e9, now=0.0)
    table.expire(DEADLINE_S + 2 * stream_origin.RETENTION_MARGIN_S)
    assert len(table) == 1
    table.expire(2 * stream_origin.MAX_RETENTION_S)
    assert len(table) == 0


@pytest.mark.parametrize(
    "message",
    [
        {},
        {"from": "a", "origins": {"k": ["s"]}},
        {"from": "a", "origins": {"k": ["s", "v", "x"]}},
        {"from": "a", "origins": 3},
    ],
)
def test_malformed_datagram_changes_nothing(message):
    endpoint = Network(1).get(0)
    with pytest.raises((ValueError, TypeError, KeyError, AttributeError)):
        endpoint.origins.handle(message)
    assert len(endpoint.origins) == 0
