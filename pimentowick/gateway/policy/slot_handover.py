"""Whether a slot that an entry releases goes to its own next request.

Notes:
    Load pattern: for some seconds requests arrive faster than slots become free, at
    some thirty entries that know each other's load 20 to 80 ms late. The few slots that
    seem to be free are seen by all of them. Requests that race for these queue at the
    targets, which know neither priorities nor objectives, while others wait in order.

    A slot that an entry releases is known to be free there and nowhere else. It goes to
    the next request of that entry, so that no other entry can have taken it meanwhile.
    Slots that seem to be free are left to `delay_choice`, which sends about as many
    requests of all entries as there are slots.

References:
    K. Ousterhout et al., "Sparrow: distributed, low latency scheduling", 2013, on late
    binding of tasks to slots.
"""

__all__ = ["can_hand_over"]


def can_hand_over(target, now):
    """Return whether a slot just released at a target may take the next request.

    Args:
        target: The `pimentowick.gateway.target.Target`, without the released request.
        now: Monotonic time, in seconds.
    """
    return target.is_usable(now) and target.total_online < target.slots
