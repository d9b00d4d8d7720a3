"""Which shared parts of prompts a replica keeps, as far as entries know.

A replica that read a shared part keeps it until others push it out. Entries
know what they sent themselves, and tell each other, so that a request goes
where its prompt lies, or where it is at least known that it does not.
"""

import collections
import typing

import msgspec

CACHE_SHARE = 0.6
"""Part of a replica's memory that is taken for kept parts; the rest is for the
requests that run. Parts beyond it, the longest unused first, count as gone."""

DEFAULT_MEMORY_TOKENS = 200_000
"""Tokens of memory where nothing is told of it: the least of today's engines
has 249,000."""

MIN_PART_TOKENS = 256
"""Shared parts below this are not kept track of: reading one anew takes as
long as a step or two."""


class Part(typing.NamedTuple):
    """A part of a prompt that requests share.

    Attributes:
        name: Its id; parts go on from all parts before them.
        tokens: Its size.
    """
    name: str
    tokens: typing.Annotated[int, msgspec.Meta(ge=0)]


class Use(typing.NamedTuple):
    """Shared parts that a request had read at a replica.

    Attributes:
        replica: The replica's id.
        parts: Tuple of ``Part``, in order.
    """
    replica: str
    parts: tuple[Part, ...]


class PromptCache:
    """The shared parts that one replica keeps."""

    def __init__(self, memory=0):
        """Creates a record of a replica that keeps nothing.

        Args:
            memory: Tokens that the replica has memory for; 0 if not told.
        """
        self._room = CACHE_SHARE * (memory or DEFAULT_MEMORY_TOKENS)
        self._parts = collections.OrderedDict()
        self._size = 0

    def record_use(self, parts):
        """Notes that a request with these shared parts went there."""
        for name, tokens in parts:
            if tokens < MIN_PART_TOKENS:
                continue
            self._size += tokens - self._parts.pop(name, 0)
            self._parts[name] = tokens
        while self._size > self._room:
            _, tokens = self._parts.popitem(last=False)
            self._size -= tokens

    def cached_tokens(self, parts):
        """Returns the tokens of ``parts`` that need not be read there.

        Parts too small to be tracked are taken for kept, as long as all before
        them are.
        """
        total = 0
        for name, tokens in parts:
            if tokens >= MIN_PART_TOKENS and name not in self._parts:
                break
            total += tokens
        return total
