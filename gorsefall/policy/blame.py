"""Finds what explains crashes: requests, or parts that prompts share.

Each crash has at most one cause. What ran at every crash that it may explain
together with something else cannot be told from it, so that a cause is a
combination: requests with only a part of it go on, and show by their runs
which part it is.
"""

import typing

from gorsefall import ids

MIN_BURSTS_APART = 2
"""Bursts of crashes that a part must have without something that was always
there with it, from which on that does not explain them: one may have nothing to
do with either, however many replicas exited."""


class Cause(typing.NamedTuple):
    """What explains some crashes.

    Attributes:
        digest: The digest of the request or part that was found.
        combination: Digests of all that was always there with it, and its own,
            a frozenset. Requests with all of them crash replicas.
    """
    digest: ids.RequestDigest | ids.PartDigest
    combination: frozenset


def find_causes(book, digests, threshold):
    """Returns what explains crashes of enough weight, a list of ``Cause``.

    Args:
        book: The ``suspects.Suspects``.
        digests: The digests to consider.
        threshold: Least weight of crashes that nothing else explains.
    """
    remaining = {d for d in digests if book.weight(d) >= threshold}
    causes = []
    while remaining:
        weights = {d: _unexplained_weight(book, d, causes) for d in remaining}
        heavy = {d: w for d, w in weights.items() if w >= threshold}
        if not heavy:
            break
        found = _narrowest(book, heavy)
        causes.append(Cause(found, book.companions(found)))
        remaining.discard(found)
    return causes


def _unexplained_weight(book, digest, causes):
    """Returns the weight of the crashes that no cause explains.

    A cause that was never there without ``digest`` explains its crashes only
    as long as ``digest`` has few others: it may be that one which causes them.
    """
    explained, explained_apart = set(), set()
    for cause in causes:
        crashes = book.crashes(cause.digest)
        explained.update(crashes)
        if digest not in cause.combination:
            explained_apart.update(crashes)
    if book.count_bursts_without(digest, explained) < MIN_BURSTS_APART:
        return book.weight(digest, explained)
    return book.weight(digest, explained_apart)


def _narrowest(book, weights):
    """Returns the heaviest digest, or one that explains nearly as much.

    A part that all prompts share is there at every crash, also at those that
    have nothing to do with a part behind it. So a digest is preferred that was
    never there without the heavier one, if that one has few other crashes.

    Args:
        book: The ``suspects.Suspects``.
        weights: ``digest -> weight`` of those to choose from.
    """
    left = dict(weights)
    while True:
        chosen = max(left,
                     key=lambda d: (left[d], not book.survived_before(d), d))
        del left[chosen]
        left = {
            d: weight
            for d, weight in left.items()
            if _is_narrower(book, d, chosen)
        }
        if not left:
            return chosen


def _is_narrower(book, digest, other):
    return (other in book.companions(digest) and
            digest not in book.companions(other) and book.count_bursts_without(
                other, book.crashes(digest)) < MIN_BURSTS_APART)
