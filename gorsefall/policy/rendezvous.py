"""Rendezvous hashing: every entry assigns a key to the same replica.

Entries with the same set of replicas compute the same result without exchanging
messages, and if a replica leaves, only its own keys move.
"""

import xxhash


def rank(key, target):
    """Returns the rank of ``target``, which has a ``name``, for ``key``."""
    return xxhash.xxh64_intdigest((key + target.name).encode())


def best(key, targets):
    """Returns the target with the highest rank for ``key``, or None."""
    return max(targets, key=lambda t: rank(key, t), default=None)
