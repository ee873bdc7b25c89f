"""Selection of the subset of agents that an entry uses.

If every entry used every agent, the number of heartbeats would grow with the product
of their numbers. Each entry therefore uses a bounded number of agents per service.

Notes:
    Rendezvous hashing: each entry ranks the agents by a hash of both names. The choice
    needs no communication, differs between entries and distributes them evenly over
    the agents. When an agent is removed, it is replaced by the next one in the ranking,
    and the rest of the subset stays the same.

References:
    D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import math

from pimentowick import rendezvous

__all__ = ["compute_subset_size", "rank_agent", "select_subset"]

LOCAL_FRACTION = 0.75
MIN_ENTRIES_PER_AGENT = 10
"""Minimum mean number of entries per agent.

Entries choose independently. With a mean of ten entries per agent, the probability that
no entry chooses a given agent, which leaves its target idle, is about 1 in 20,000.
"""


def rank_agent(entry, agent):
    """Return the rendezvous weight of an agent for an entry.

    Args:
        entry: Name of the entry.
        agent: Name of the agent.
    """
    return rendezvous.compute_weight(entry, agent)


def compute_subset_size(configured, agents, entries):
    """Return the number of agents of a service that each entry uses.

    Args:
        configured: Minimum number according to the settings.
        agents: Number of agents of the service.
        entries: Number of entries.

    Examples:
        >>> compute_subset_size(16, 136, 360)
        16
        >>> compute_subset_size(16, 136, 20)
        68
        >>> compute_subset_size(16, 5, 3)
        5
    """
    needed = math.ceil(MIN_ENTRIES_PER_AGENT * agents / max(1, entries))
    return min(agents, max(configured, needed))


def select_subset(ranked, failure_domain, count):
    """Return the hosts of the agents that an entry uses.

    Most are in the entry's own failure domain if possible. The others keep the service
    available when the targets of that failure domain are lost or fully loaded.

    Args:
        ranked: List of ``(rank, host)`` of one service, where `host` is a
            `pimentowick.external.hosts.Host`.
        failure_domain: Failure domain of the entry.
        count: Number of agents to select.
    """
    ordered = [host for _, host in sorted(ranked, key=_get_rank)]
    local = [host for host in ordered if host.failure_domain == failure_domain]
    remote = [host for host in ordered if host.failure_domain != failure_domain]
    local_count = math.ceil(count * LOCAL_FRACTION)
    head, rest = local[:local_count], local[local_count:]
    return (head + remote[: count - len(head)] + rest)[:count]


def _get_rank(pair):
    return pair[0]
