"""Places at brittle replicas that an entry lends to others for a short time.

The places are divided equally among the entries, so that one with most of the
requests would refuse them while places of others are free. A loan moves places
without any agreement: its lender stops to use them before it tells of the loan,
and uses them again only when the borrower's time is surely over, however many
messages are lost.
"""

import collections
import math
import typing

import msgspec

from gorsefall import ids

LOAN_S = 1.5
"""Time for which a borrower may use a loan after it was last told of it, s:
three heartbeats."""

RETURN_MARGIN_S = 1.0
"""Longest time that a message is under way, s. A lender waits for so much
longer."""

RESERVED_PLACES = 1
"""Places that an entry does not lend, so that it can begin at once."""

PEAK_WINDOW_S = 1.0
"""Time for which places that were in use count as needed, s."""

MAX_LOANS = 64
"""Most loans in a message."""


class Loan(typing.NamedTuple):
    """Places at a replica that one entry lends to another one.

    Attributes:
        borrower: Name of the entry that may use them.
        replica: The replica's id.
        places: Number of places.
    """
    borrower: str
    replica: ids.ReplicaName
    places: typing.Annotated[int, msgspec.Meta(ge=0)]


class _Promise(typing.NamedTuple):
    """Places that may still be in use somewhere.

    Attributes:
        places: Their number.
        until: When they surely are not any more, s (monotonic).
    """
    places: int
    until: float


class Peak:
    """The highest value of the last ``PEAK_WINDOW_S``, or up to twice that."""

    def __init__(self):
        self._current = self._previous = 0
        self._since = 0.0

    def record(self, value, now):
        """Records a value at ``now``, s."""
        self._turn(now)
        self._current = max(self._current, value)

    def value(self, now):
        """Returns the highest value lately."""
        self._turn(now)
        return max(self._current, self._previous)

    def _turn(self, now):
        if now - self._since >= 2 * PEAK_WINDOW_S:
            self._current = 0
        if now - self._since >= PEAK_WINDOW_S:
            self._previous, self._current = self._current, 0
            self._since = now


class Loans:
    """The loans that one entry has granted and taken."""

    def __init__(self):
        self._granted = collections.defaultdict(list)
        self._taken = {}

    # -- as a lender -----------------------------------------------------------

    def lent(self, replica, now):
        """Returns how many own places at a replica others may be using."""
        return sum(
            max((p.places
                 for p in promises
                 if p.until > now), default=0)
            for (_, name), promises in self._granted.items()
            if name == replica)

    def grant(self, spare, wanted, now):
        """Grants places for the next message; returns the ``Loan`` objects.

        Places that were lent before are not in ``spare`` but may be lent to
        the same borrower again.

        Args:
            spare: ``replica -> places`` that this entry does not need; below 0
                for what it misses because of loans.
            wanted: ``name -> places`` that others want of this entry.
            now: Time, s (monotonic).
        """
        self._forget(now)
        loans = []
        for borrower in sorted(wanted, key=lambda n: (-wanted[n], n)):
            left = wanted[borrower]
            for replica in sorted(spare, key=lambda r: (-spare[r], r)):
                lent_before = self._promised(borrower, replica)
                places = min(left, lent_before + spare[replica])
                if places <= 0 or len(loans) >= MAX_LOANS:
                    continue
                spare[replica] -= places - lent_before
                left -= places
                loans.append(Loan(borrower, replica, places))
        until = now + LOAN_S + RETURN_MARGIN_S
        for loan in loans:
            self._granted[loan.borrower,
                          loan.replica].append(_Promise(loan.places, until))
        return tuple(loans)

    def _promised(self, borrower, replica):
        promises = self._granted.get((borrower, replica), ())
        return max((p.places for p in promises), default=0)

    def _forget(self, now):
        for key, promises in list(self._granted.items()):
            current = [p for p in promises if p.until > now]
            # Of promises that end earlier, only larger ones matter.
            self._granted[key] = [
                p for i, p in enumerate(current)
                if all(p.places > later.places for later in current[i + 1:])
            ]
            if not current:
                del self._granted[key]

    # -- as a borrower ---------------------------------------------------------

    def take(self, lender, loans, now):
        """Records all loans of a lender to this entry, instead of earlier ones.

        Args:
            lender: Name of the other entry.
            loans: ``Loan`` objects to this entry.
            now: When the message arrived, s (monotonic).
        """
        self._taken[lender] = now + LOAN_S, {
            loan.replica: loan.places for loan in loans
        }

    def borrowed(self, replica, now):
        """Returns how many places of others at a replica may be used."""
        return sum(
            places.get(replica, 0)
            for until, places in self._taken.values()
            if until > now)

    def all_borrowed(self, now):
        """Returns how many places of others may be used at all replicas."""
        return sum(
            sum(places.values())
            for until, places in self._taken.values()
            if until > now)


def wanted(peak, own, unserved):
    """Returns how many places of others an entry wants.

    Args:
        peak: Places that were in use lately.
        own: Its own places.
        unserved: Requests of the last second for which it had none.
    """
    # The double of what it has at most: one request may stand for a short time
    # of a place only.
    return max(0, peak + min(unserved, max(own, peak) + 1) - own)


def part_of(places, lenders):
    """Returns the places that each of several lenders is asked for."""
    return math.ceil(places / max(1, lenders))
