"""Which agents of a service an entry talks to.

With every entry talking to every agent the heartbeats grow with the product of
both. Each entry therefore takes a bounded number of agents of each service.

Notes:
    Rendezvous ranking of pairs: each entry ranks the agents by a hash of both names,
    so the choice needs no message, differs between entries and spreads the entries
    evenly over the agents. An agent that goes is replaced by the next one in the
    ranking, and nothing else changes.

References:
    D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import math

from pimentowick import rendezvous

__all__ = ["compute_subset_size", "rank_agent", "select_subset"]

NEAR_SHARE = 0.75
ENTRIES_PER_AGENT = 10
"""Least mean number of entries that talk to an agent.

The choices of the entries are independent, so an agent that ten entries choose on
average is left without any, its target idle, with a probability of about 1 in 20,000.
"""


def rank_agent(entry, agent):
    """Return the weight of an agent in the ranking of an entry, both by name."""
    return rendezvous.weigh(entry, agent)


def compute_subset_size(setting, agents, entries):
    """Return how many agents of a service each entry takes.

    Args:
        setting: What the settings ask for.
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
    needed = math.ceil(ENTRIES_PER_AGENT * agents / max(1, entries))
    return min(agents, max(setting, needed))


def select_subset(ranked, failure_domain, count):
    """Return the agents that an entry talks to.

    Most are of the entry's own failure domain as long as there are any; the others
    let it go on when the targets of its own failure domain are lost or full.

    Args:
        ranked: List of ``(rank, host)`` of one service, where `host` is a
            `pimentowick.external.hosts.Host`.
        failure_domain: Failure domain of the entry.
        count: How many to take.
    """
    ordered = [host for _, host in sorted(ranked, key=_get_rank)]
    near = [host for host in ordered if host.failure_domain == failure_domain]
    far = [host for host in ordered if host.failure_domain != failure_domain]
    wanted_near = math.ceil(count * NEAR_SHARE)
    head, rest = near[:wanted_near], near[wanted_near:]
    return (head + far[: count - len(head)] + rest)[:count]


def _get_rank(pair):
    return pair[0]
