"""Rendezvous hashing: a ranking that everybody works out alike.

References:
    D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import hashlib

__all__ = ["compute_weight"]

DIGEST_BYTES = 8


def compute_weight(key, name):
    """Return the weight of `name` for `key`; the heaviest name comes first.

    A name that goes moves only the keys that it was first for.

    Examples:
        >>> weight = compute_weight(7, "a")
        >>> compute_weight(7, "a") == weight, compute_weight(8, "a") == weight
        (True, False)
    """
    data = f"{key}/{name}".encode()
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
