import random

import pytest

from pimentowick.external import hosts
from pimentowick.membership import peer as membership_peer
from pimentowick.membership import pool

SLOTS = 32


def make_peer(name, failure_domain="here", online=0):
    host = hosts.Host(name, "agent", "127.0.0.1:1", failure_domain)
    report = {"online": online, "max_online": SLOTS, "state": "ready"}
    return membership_peer.Peer(host, report)


@pytest.fixture
def make_pool():
    def make(count, failure_domains=("here",)):
        created = pool.Pool(random.Random(5))
        for index in range(count):
            domain = failure_domains[index % len(failure_domains)]
            created.add(make_peer(f"agent-{index}", domain))
        return created

    return make
