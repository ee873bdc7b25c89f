"""Which callers to disconnect because they do not read their responses.

Notes:
    Load pattern: callers read slowly, or stop reading while they keep the connection.
    What is written for them is held by the entry. A caller that reads at all is served
    for as long as there is memory. If there is none, the slowest one is disconnected
    first; it sees that the response is incomplete, and can resume a stream.
"""

import dataclasses

__all__ = ["Reader", "choose_readers_to_end"]

# Time for which a caller must have been behind before its rate is judged; allows for a
# few lost packets on a slow link.
MIN_BEHIND_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reader:
    """A caller with unread bytes of a response.

    Attributes:
        key: Identifies the response.
        unread_bytes: Bytes that the kernel has not taken yet.
        stalled_s: Time since it last took any.
        behind_s: Time since there was nothing unread.
        read_bytes: Bytes taken in that time.
    """

    key: object
    unread_bytes: int
    stalled_s: float
    behind_s: float
    read_bytes: int


def choose_readers_to_end(readers, idle_timeout_s, is_full):
    """Return the keys of the responses to abort.

    Args:
        readers: The `Reader` objects.
        idle_timeout_s: Time for which a caller may stay idle.
        is_full: Whether no more bytes may be held.

    Examples:
        >>> fast = Reader("fast", 10, 0.0, 8.0, 1000)
        >>> slow = Reader("slow", 10, 3.0, 8.0, 100)
        >>> gone = Reader("gone", 10, 15.0, 20.0, 0)
        >>> choose_readers_to_end([fast, slow, gone], 15.0, is_full=False)
        ['gone']
        >>> choose_readers_to_end([fast, slow], 15.0, is_full=True)
        ['slow']
    """
    ended = [reader.key for reader in readers if reader.stalled_s >= idle_timeout_s]
    if ended or not is_full:
        return ended
    behind = [reader for reader in readers if reader.behind_s >= MIN_BEHIND_S]
    if not behind:
        return []
    slowest = min(behind, key=lambda reader: reader.read_bytes / reader.behind_s)
    return [slowest.key]
