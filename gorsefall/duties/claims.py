"""The record that names the holder of the duties and what it decided.

Its position in the store is the holder's fencing token: no two records have the
same one, and it only grows. What a holder is about to tell the platform is in
the record before the call is made, so that a successor repeats exactly that.
"""

import msgspec

from gorsefall import decoding
from gorsefall import errors
from gorsefall import ids
from gorsefall.duties import kinds

RETAINED_WINDOWS = 6
"""Windows whose counts a claim retains at least: a call may be carried out 12 s
late, and a successor that takes over meanwhile needs the same counts."""


class WindowCounts(msgspec.Struct, frozen=True, array_like=True):
    """What is reported for one window.

    Attributes:
        window: Its number.
        counts: ``account -> requests``.
    """
    window: int
    counts: dict[ids.AccountName, int]


class Order(msgspec.Struct, frozen=True, array_like=True):
    """How many replicas are to run in a pool.

    Attributes:
        service: See ``kinds.Pool``.
        zone: See there.
        spot: See there.
        count: Number of replicas.
    """
    service: ids.ServiceName
    zone: ids.ZoneName
    spot: bool
    count: int

    @property
    def pool(self):
        """The ``kinds.Pool``."""
        return kinds.Pool(self.service, self.zone, self.spot)


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A claim on the duties.

    Attributes:
        holder: Name of the entry.
        nonce: Random number that identifies this append.
        released: Whether the holder gives the duties up.
        decided_through: Number of the last window whose counts are fixed; 0
            for none. None up to it may be counted again.
        windows: The last ``WindowCounts`` objects that were fixed.
        settled_through: Number of the last window that needs no further call.
        orders: The ``Order`` objects in force.
        follows_loss: Whether the store had lost claims before this one. They
            may have fixed the counts of any window that had ended.
    """
    holder: str = ''
    nonce: int = 0
    released: bool = False
    decided_through: int = 0
    windows: tuple[WindowCounts, ...] = ()
    settled_through: int = 0
    orders: tuple[Order, ...] = ()
    follows_loss: bool = False

    def counts_of(self, window):
        """Returns the fixed counts of a window, or None."""
        return next((w.counts for w in self.windows if w.window == window),
                    None)

    def with_window(self, window, counts, retained=RETAINED_WINDOWS):
        """Returns a copy in which the counts of a later window are fixed.

        Args:
            window: Its number.
            counts: ``account -> requests``.
            retained: Windows whose counts the copy retains.
        """
        if window <= self.decided_through:
            raise ValueError(f'window {window} is decided already')
        windows = (*self.windows, WindowCounts(window, counts))
        return msgspec.structs.replace(self,
                                       windows=windows[-retained:],
                                       decided_through=window)

    def with_orders(self, counts):
        """Returns a copy with new orders, a ``kinds.Pool -> number`` dict."""
        merged = {o.pool: o.count for o in self.orders} | counts
        return msgspec.structs.replace(
            self,
            orders=tuple(
                Order(*pool, count) for pool, count in sorted(merged.items())))


UNREADABLE = Claim(holder='?', decided_through=2**53)
"""Stands for a claim that cannot be decoded: a holder that is not known has
fixed the counts of windows that are not known."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = decoding.msgpack_decoder(Claim)


def encode(claim):
    """Returns the bytes of a claim."""
    return _ENCODER.encode(claim)


def decode(value):
    """Returns the claim of a record.

    Raises:
        errors.RecordError: It is malformed.
    """
    try:
        return _DECODER.decode(value)
    except errors.UndecodableError as exc:
        raise errors.RecordError(f'claim: {exc}') from exc
