"""Rendezvous hashing: a ranking that everybody works out alike.

References:
    D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import hashlib

__all__ = ["weigh"]

DIGEST_BYTES = 8


def weigh(key, name):
    """Return the weight of `name` for `key`; the heaviest name comes first.

    A name that goes moves only the keys that it was first for.

    Examples:
        >>> weigh(7, "a") == weigh(7, "a"), weigh(7, "a") == weigh(8, "a")
        (True, False)
    """
    data = f"{key}/{name}".encode()
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
