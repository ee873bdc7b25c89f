"""Order in which queued online requests get slots.

Notes:
    Load pattern: slots are scarce for some seconds, because of a burst or of lost
    targets, and one workspace sends several times as much as each of the others, within
    its rate limit. If requests were ordered by remaining time alone, which is order of
    arrival for requests of one kind, every workspace would wait in the queue that this
    one builds up.

    Requests are ordered by priority of workspace and route. Among equal priorities,
    those that lost their target come first, then those that can still meet their
    objective. Among these the start tag of the workspace decides (start-time fair
    queueing, see `pimentowick.scheduling.fairness`), and among equal tags the deadline
    to start.
"""

__all__ = ["compute_sort_key"]


def compute_sort_key(slot_request, now):
    """Return the sort key of a queued request; the smallest key is served first.

    Args:
        slot_request: The `pimentowick.gateway.admission.SlotRequest`.
        now: Monotonic time, in seconds.
    """
    late = slot_request.start_deadline < now
    return (
        slot_request.rank,
        not slot_request.lost_target,
        late,
        slot_request.start_tag,
        slot_request.start_deadline,
    )
