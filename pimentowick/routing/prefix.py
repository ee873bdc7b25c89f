"""Index of the targets to which an entry sent the prefixes of prompts.

An engine's cache events are delayed and incomplete. An entry knows its own routing
decisions immediately and exactly, and a target that has run a prompt has the prompt's
prefixes cached. The index is therefore built from the entry's own decisions. The cache
events contribute only the estimated lifetime of cached blocks, which is part of each
heartbeat answer.
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
"""Lengths of the hashed prefixes, in characters."""
MAX_PREFIXES = 20_000
MAX_HOLDERS = 4
DIGEST_BYTES = 8


def hash_prefixes(prompt, seed=""):
    """Return the hashes of a prompt's prefixes, the shortest first.

    Args:
        prompt: Text of the prompt.
        seed: Further cache key, such as the names of the model and the adapter.

    Examples:
        >>> short, long = hash_prefixes("a" * 130), hash_prefixes("a" * 300)
        >>> len(short), len(long), short[0] == long[0]
        (1, 3, True)
        >>> hash_prefixes("short")
        ()
    """
    state = hashlib.blake2b(seed.encode(), digest_size=DIGEST_BYTES)
    hashes = []
    start = 0
    for end in PREFIX_LENGTHS:
        if end > len(prompt):
            break
        state.update(prompt[start:end].encode("utf-8", "surrogatepass"))
        hashes.append(state.digest())
        start = end
    return tuple(hashes)


class PrefixIndex:
    """LRU index of the targets to which each prefix was most recently sent.

    Args:
        max_prefixes: Maximum number of prefixes; the least recently used are evicted.

    Examples:
        >>> index = PrefixIndex()
        >>> index.insert(hash_prefixes("a" * 200), "t1", 5.0)
        >>> index.get_holders(hash_prefixes("a" * 130)[0])
        {'t1': 5.0}
    """

    def __init__(self, max_prefixes=MAX_PREFIXES):
        self._max_prefixes = max_prefixes
        self._holders = collections.OrderedDict()

    def __len__(self):
        return len(self._holders)

    def get_holders(self, prefix_hash):
        """Return the time at which a prefix was last sent to each target, by name."""
        return self._holders.get(prefix_hash, {})

    def insert(self, hashes, name, now):
        """Record that the prefixes of a prompt are sent to the target `name`.

        Args:
            hashes: Hashes from `hash_prefixes`.
            name: Name of the target's agent.
            now: Current monotonic time, in seconds.
        """
        for prefix_hash in hashes:
            holders = self._holders.setdefault(prefix_hash, {})
            holders.pop(name, None)
            holders[name] = now
            if len(holders) > MAX_HOLDERS:
                del holders[next(iter(holders))]
            self._holders.move_to_end(prefix_hash)
        while len(self._holders) > self._max_prefixes:
            self._holders.popitem(last=False)
