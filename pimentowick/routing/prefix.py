"""Which targets an entry sent a prompt's prefixes to.

An engine tells late and with gaps what its cache holds. What this entry sent a
moment ago it knows for certain and at once, and a target that ran a prompt has its
prefixes in the cache. So the own choices are the hint, and from the events comes
just one figure in each heartbeat: how long a block stays in that cache.
"""

import collections
import hashlib

__all__ = ["PREFIX_LENGTHS", "PrefixIndex", "hash_prefixes"]

PREFIX_LENGTHS = (
    128,
    192,
    256,
    384,
    512,
    768,
    1024,
    1536,
    2048,
    3072,
    4096,
    6144,
    8192,
)
"""Lengths of the prefixes that are told apart, in characters."""
MAX_ENTRIES = 20_000
MAX_HOLDERS = 4
DIGEST_BYTES = 8


def hash_prefixes(prompt, seed=""):
    """Return the hashes of a prompt's prefixes, the shortest first.

    Args:
        prompt: The prompt.
        seed: What else the cache depends on: model and adapter.

    Examples:
        >>> short, long = hash_prefixes("a" * 130), hash_prefixes("a" * 300)
        >>> len(short), len(long), short[0] == long[0]
        (1, 3, True)
        >>> hash_prefixes("short")
        ()
    """
    state = hashlib.blake2b(seed.encode(), digest_size=DIGEST_BYTES)
    hashes = []
    begin = 0
    for end in PREFIX_LENGTHS:
        if end > len(prompt):
            break
        state.update(prompt[begin:end].encode("utf-8", "surrogatepass"))
        hashes.append(state.digest())
        begin = end
    return tuple(hashes)


class PrefixIndex:
    """The newest holders of each prefix, as far as this entry knows.

    Args:
        max_entries: Most prefixes that are kept; the least recently used go first.

    Examples:
        >>> memory = PrefixIndex()
        >>> memory.insert(hash_prefixes("a" * 200), "t1", 5.0)
        >>> memory.get_holders(hash_prefixes("a" * 130)[0])
        {'t1': 5.0}
    """

    def __init__(self, max_entries=MAX_ENTRIES):
        self._max_entries = max_entries
        self._holders = collections.OrderedDict()

    def __len__(self):
        return len(self._holders)

    def get_holders(self, level):
        """Return when each holder of a prefix last got it, by name."""
        return self._holders.get(level, {})

    def insert(self, levels, name, now):
        """Take notice that the target `name` gets these prefixes.

        Args:
            levels: Hashes from `hash_prefixes`.
            name: Name of the target's agent.
            now: Monotonic time.
        """
        for level in levels:
            holders = self._holders.setdefault(level, {})
            holders.pop(name, None)
            holders[name] = now
            if len(holders) > MAX_HOLDERS:
                del holders[next(iter(holders))]
            self._holders.move_to_end(level)
        while len(self._holders) > self._max_entries:
            self._holders.popitem(last=False)
