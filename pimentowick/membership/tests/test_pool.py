import collections
import random

from pimentowick.external import hosts
from pimentowick.membership import peer as membership_peer
from pimentowick.membership import pool


def make_peer(index):
    host = hosts.Host(f"agent-{index}", "agent", "", f"domain-{index % 3}")
    return membership_peer.Peer(host, {"online": index, "max_online": 100})


def test_members_match_a_plain_set():
    rng = random.Random(7)
    peers = [make_peer(index) for index in range(30)]
    tested_pool, expected = pool.Pool(random.Random(3)), set()
    for _ in range(2000):
        peer = rng.choice(peers)
        if rng.random() < 0.5:
            tested_pool.add(peer)
            expected.add(peer)
        else:
            tested_pool.discard(peer)
            expected.discard(peer)
        assert set(tested_pool.members) == expected
        assert set(tested_pool.find_successors("key", 30)) <= expected
        domain = {p for p in expected if p.host.failure_domain == "domain-1"}
        assert set(tested_pool.draw("domain-1")) <= domain
        loads = [p.get_reported_load() for p in expected]
        assert abs(tested_pool.mean_load * max(1, len(expected)) - sum(loads)) < 1e-6


def test_ring_distributes_keys_evenly():
    tested_pool = pool.Pool()
    for index in range(50):
        tested_pool.add(make_peer(index))
    counts = collections.Counter(
        tested_pool.find_successors(str(key), 1)[0].name for key in range(5000)
    )
    assert len(counts) == 50
    assert max(counts.values()) < 2.5 * 100
