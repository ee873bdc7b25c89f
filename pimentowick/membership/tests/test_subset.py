import collections

import pytest

from pimentowick.external import hosts
from pimentowick.membership import subset

DOMAINS = 15
AGENTS = 135
ENTRIES = 360


def make_host(name, number, role="agent"):
    return hosts.Host(name, role, f"127.0.0.1:{number + 1}", f"d{number % DOMAINS}")


AGENT_HOSTS = [make_host(f"agent-{i}", i) for i in range(AGENTS)]


def choose(number, agents=AGENT_HOSTS, count=16):
    entry = f"entry-{number}"
    ranked = [(subset.rank_agent(entry, host.name), host) for host in agents]
    domain = f"d{number % DOMAINS}"
    return [host.name for host in subset.select_subset(ranked, domain, count)]


def test_agents_get_even_numbers_of_entries():
    counts = collections.Counter()
    for number in range(ENTRIES):
        chosen = choose(number)
        assert len(set(chosen)) == 16
        counts.update(chosen)
    mean = ENTRIES * 16 / AGENTS
    assert len(counts) == AGENTS
    assert max(counts.values()) < 1.4 * mean
    assert min(counts.values()) > 0.6 * mean


def test_own_failure_domain_comes_first():
    near = {host.name for host in AGENT_HOSTS if host.failure_domain == "d3"}
    assert near <= set(choose(3))
    assert len(near & set(choose(3, count=4))) == 3


@pytest.mark.parametrize("gone", ["agent-3", "agent-100"])
def test_lost_agent_changes_no_other_choice(gone):
    """Guards against reselecting other agents when one host is lost.

    Connections, leases and prefix caches of the whole fleet would be lost with it.
    """
    rest = [host for host in AGENT_HOSTS if host.name != gone]
    for number in range(ENTRIES):
        before, after = set(choose(number)), set(choose(number, rest))
        lost = before - after
        assert lost == ({gone} & before)
        assert len(after - before) == len(lost)
