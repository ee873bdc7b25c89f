"""Rendezvous (highest random weight) hashing.

References:
    D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import hashlib

__all__ = ["compute_weight"]

DIGEST_BYTES = 8


def compute_weight(key, name):
    """Return the weight of `name` for `key`.

    A key is assigned to the names in descending order of weight. Removing a name
    reassigns only the keys for which it had the highest weight.

    Examples:
        >>> weight = compute_weight(7, "a")
        >>> compute_weight(7, "a") == weight, compute_weight(8, "a") == weight
        (True, False)
    """
    data = f"{key}/{name}".encode()
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
