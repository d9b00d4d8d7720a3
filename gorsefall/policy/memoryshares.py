"""Divides the memory for what an entry holds among services and accounts.

Nobody has a fixed part: what is free limits what anyone may hold. A service
holds at most as much as stays free, so that another one always finds room, and
a client account at most as much as its service may still take.
"""

import collections
import typing

from gorsefall import ids

SMALL_FACTOR = 2
"""How many times what stays free a service may hold for the sake of small
pieces, so that its long bodies leave room for its short ones."""


class Owner(typing.NamedTuple):
    """Whose bytes are held.

    Attributes:
        service: The service that they are for; None if that is not known.
        account: Name of the client account; None if there is none.
    """
    service: ids.ServiceName | None = None
    account: str | None = None


class MemoryShares:
    """Counts the bytes that are held, by service and account.

    Attributes:
        room: Bytes that may be held in all.
        held: Bytes that are held.
    """

    def __init__(self, room):
        self.room = room
        self.held = 0
        self._of_service = collections.Counter()
        self._of_account = collections.Counter()

    def of_service(self, service):
        """Returns the bytes that are held for a service."""
        return self._of_service[service]

    def of_account(self, account):
        """Returns the bytes that are held for an account."""
        return self._of_account[account]

    def fits(self, owner, size, *, small=False):
        """Returns whether ``size`` more bytes may be held for ``owner``.

        Args:
            owner: The ``Owner``.
            size: Number of bytes.
            small: Whether they are few for a request.
        """
        free = self.room - self.held - size
        if free < 0:
            return False
        allowed = free * (SMALL_FACTOR if small else 1)
        in_service = self._of_service[owner.service]
        if in_service and in_service + size > allowed:
            return False
        in_account = self._of_account[owner.account]
        return (owner.account is None or not in_account or
                in_account + size <= allowed - in_service - size)

    def who_limits(self, owner, size, *, small=False):
        """Returns whose bytes keep ``size`` more from fitting.

        Args:
            owner: See ``fits``.
            size: See there.
            small: See there.

        Returns:
            A function of an ``Owner``.
        """
        free = self.room - self.held - size
        allowed = free * (SMALL_FACTOR if small else 1)
        in_service = self._of_service[owner.service]
        if free < 0 or self.fits(owner, size, small=small):
            # Or the process has grown beside what is held.
            return lambda other: True
        if in_service and in_service + size > allowed:
            return lambda other: other.service == owner.service
        return lambda other: other.account == owner.account

    def add(self, owner, size):
        """Counts ``size`` more bytes, whether they fit or not."""
        self.held += size
        self._of_service[owner.service] += size
        if owner.account is not None:
            self._of_account[owner.account] += size

    def remove(self, owner, size):
        """Counts ``size`` bytes less."""
        self.held -= size
        self._drop(self._of_service, owner.service, size)
        if owner.account is not None:
            self._drop(self._of_account, owner.account, size)

    def _drop(self, counts, key, size):
        counts[key] -= size
        if not counts[key]:
            # Services and accounts come and go.
            del counts[key]
