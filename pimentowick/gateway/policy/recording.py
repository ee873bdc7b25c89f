"""How often the text of a running batch item is recorded.

Notes:
    Load pattern: the store becomes slow, its answers take forty times as long and more,
    while some thirty items run. Appends to a partition exclude each other: an entry
    that was overtaken reads on and appends again, which takes two more answers. With a
    record of each item every second a partition then gets more appends than it can
    take, and jobs, which have to be accepted within tenths of a second, wait among them
    for seconds. What is recorded less often costs a run that breaks off some more of
    its text; an item lasts for a few seconds.

References:
    H. T. Kung, J. T. Robinson, "On optimistic methods for concurrency control", 1981.
"""

__all__ = ["choose_pause"]

# Text that was generated is recorded this often, so that an entry that takes over
# goes on there; a run of some seconds is lost otherwise.
SHORTEST_PAUSE_S = 1.0
# Share of a partition's time that records of texts may take, if each entry makes one a
# pause. In the replayed load, with the store's answers at 0.16 s, 0.81 of the jobs are
# accepted within 0.4 s with a tenth, 0.64 with twice as much, and 0.19 with a record of
# each item every second.
TEXTS_SHARE = 0.1


def choose_pause(append_s, writers):
    """Return the seconds from one record of an item's text to the next.

    Args:
        append_s: Seconds that an append took lately.
        writers: Number of entries that append to the partition.

    Examples:
        >>> choose_pause(0.004, 9), round(choose_pause(0.16, 9), 3)
        (1.0, 14.4)
    """
    return max(SHORTEST_PAUSE_S, writers * append_s / TEXTS_SHARE)
