"""In which order the online requests that wait get places.

Notes:
    Load pattern: places are short for some seconds, since a wave comes or targets are
    lost, and one workspace sends several times what each of the others does, within its
    limit. Ordered by the time that is left alone, which among requests of one kind is
    their order of arrival, all wait as long as its requests make the queue.

    The rank of the workspace and route goes first, then those that had a place before
    and lost their target, then those that can still be in time. Among these the turn of
    the workspace decides (start-time fair queueing, see
    `pimentowick.scheduling.fairness`), and the time that is left among those of one
    turn.
"""

__all__ = ["compute_sort_key"]


def compute_sort_key(demand, now):
    """Return the key by which those that wait are ordered, the least first.

    Args:
        demand: The `pimentowick.gateway.admission.Demand`.
        now: Monotonic time, in seconds.
    """
    late = demand.start_by < now
    return demand.rank, not demand.begun, late, demand.turn, demand.start_by
