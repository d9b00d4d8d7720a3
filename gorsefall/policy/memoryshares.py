"""Divides the memory for what an entry holds among services and accounts.

Nobody has a fixed part: what is free limits what anyone may hold. A service
holds at most as much as stays free, so that another one always finds room, and
a client account at most as much as its service may still take.
"""

import collections
import enum
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


class Limit(enum.Enum):
    """What keeps bytes from being held."""
    ROOM = 'room'
    SERVICE = 'service'
    ACCOUNT = 'account'


def counts_against(limit, owner, other):
    """Returns whether bytes of one owner use up a limit of another one.

    Args:
        limit: The ``Limit``.
        owner: The ``Owner`` that it limits.
        other: The other ``Owner``.
    """
    if limit is Limit.SERVICE:
        return other.service == owner.service
    if limit is Limit.ACCOUNT:
        return other.account == owner.account
    return True


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

    def find_limit(self, owner, size, *, small=False):
        """Returns the ``Limit`` that keeps bytes from fitting; None if none.

        Args:
            owner: The ``Owner``.
            size: Number of bytes.
            small: Whether they are few for a request.
        """
        free = self.room - self.held - size
        if free < 0:
            return Limit.ROOM
        allowed = free * (SMALL_FACTOR if small else 1)
        in_service = self._of_service[owner.service]
        if in_service and in_service + size > allowed:
            return Limit.SERVICE
        in_account = self._of_account[owner.account]
        if (owner.account is not None and in_account and
                in_account + size > allowed - in_service - size):
            return Limit.ACCOUNT
        return None

    def fits(self, owner, size, *, small=False):
        """Returns whether more bytes may be held; see ``find_limit``."""
        return self.find_limit(owner, size, small=small) is None

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
