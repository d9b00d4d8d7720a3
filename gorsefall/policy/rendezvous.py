"""Rendezvous hashing: every entry assigns a key to the same replica.

Entries with the same set of replicas compute the same result without exchanging
messages, and if a replica leaves, only its own keys move.
"""

import heapq

import xxhash


def rank(key, candidate):
    """Returns the rank of ``candidate``, which has a ``name``, for ``key``."""
    return _rank(key.encode(), candidate.name)


def best(key, candidates):
    """Returns the candidate with the highest rank for ``key``, or None."""
    return max(candidates, key=lambda c: rank(key, c), default=None)


def top(key, names, count):
    """Returns the names with the highest ranks for ``key``, the best first.

    Args:
        key: Bytes.
        names: Names, str.
        count: Number of names to return at most.
    """
    return heapq.nlargest(count, names, key=lambda name: _rank(key, name))


def _rank(key, name):
    return xxhash.xxh64_intdigest(key + name.encode())
