"""Which batch items are preempted for online requests.

Notes:
    Load pattern: bursts of online requests last seconds, and a batch item holds its
    slot for longer than a burst. A preempted item stops as soon as a load report shows
    the excess, and resumes elsewhere after its last event. The cost is one more prefill
    of its prompt, which takes a target some milliseconds.
"""

from pimentowick import rendezvous

__all__ = ["count_preemptions", "order_by_loss"]

# An item with less than this multiple of its remaining time left is preempted last.
DUE_SOON_FACTOR = 2.0


def count_preemptions(target, own, peers):
    """Return how many of its own items an entry has to preempt at a target.

    All entries compute this from the same reports and in the same order, so that
    together they preempt exactly as many items as the target is over its slots.

    Args:
        target: The `pimentowick.gateway.target.Target`.
        own: Name of this entry.
        peers: Number of items of each other entry at the target, by entry name.

    Returns:
        Number of items to preempt.
    """
    excess = target.total_online + target.total_batch - target.slots
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


def order_by_loss(items, now):
    """Return the items at a target, those first that lose least by a preemption.

    An item reads its prompt and its events again when it resumes. One that is due soon
    might not finish in time; one that is late already has nothing more to lose.

    Args:
        items: Objects with `due_at` (Unix time, in seconds), `remaining_s` (estimated
            remaining run time, in seconds) and `events_generated`.
        now: Unix time, in seconds.
    """

    def make_sort_key(item):
        left_s = item.due_at - now
        is_due_soon = item.remaining_s < left_s < DUE_SOON_FACTOR * item.remaining_s
        return is_due_soon, item.events_generated

    return sorted(items, key=make_sort_key)
