"""Which batch items give up their places to online requests.

Notes:
    Load pattern: online requests come in waves that last seconds, a batch item holds
    its place longer than a wave. An item is preempted within a message between entries,
    and goes on elsewhere after its last event: that costs one more read of its
    prompt, some milliseconds of a target.
"""

from pimentowick import rendezvous

__all__ = ["count_preemptions"]


def count_preemptions(target, own, peers):
    """Return how many of its own items an entry takes off a target.

    All entries work it out alike from what they told each other, so that together
    they take off as many items as the target has requests too many.

    Args:
        target: The `pimentowick.gateway.target.Target`.
        own: Name of this entry.
        peers: Number of items of each other entry at the target, by name.

    Returns:
        Number of items.
    """
    excess = target.all_online + target.all_batch - target.slots
    if excess <= 0 or not target.batch:
        return 0
    counts = dict(peers)
    counts[own] = target.batch
    order = sorted(counts, key=lambda name: rendezvous.compute_weight(target.id, name))
    for name in order:
        share = min(excess, counts[name])
        if name == own:
            return share
        excess -= share
    return 0
