"""The shared prompt parts that each replica probably caches.

A replica caches a shared part that it prefilled until other parts evict it.
Entries track the requests that they sent and report them to each other, so that
a request goes to a replica that caches its prompt, or its cost elsewhere is at
least known.
"""

import collections
import typing

import msgspec

CACHE_SHARE = 0.6
"""Share of a replica's memory that is assumed to hold cached parts; the rest is
for running requests. Parts beyond it count as evicted, least recently used
first."""

DEFAULT_MEMORY_TOKENS = 200_000
"""Memory of a replica that does not report it, tokens: the smallest engine has
249,000."""

MIN_PART_TOKENS = 256
"""Minimum size of a shared part to be tracked, tokens: prefilling a smaller one
takes as long as a step or two."""


class Part(typing.NamedTuple):
    """A part of a prompt that several requests share.

    Attributes:
        name: Its id; it covers all parts of the prompt before it as well.
        tokens: Its size.
    """
    name: str
    tokens: typing.Annotated[int, msgspec.Meta(ge=0)]


class Use(typing.NamedTuple):
    """The shared parts of a request that was sent to a replica.

    Attributes:
        replica: The replica's id.
        parts: Tuple of ``Part``, in order.
    """
    replica: str
    parts: tuple[Part, ...]


class PromptCache:
    """The shared parts that one replica probably caches."""

    def __init__(self, memory=0):
        """Creates an empty cache.

        Args:
            memory: Tokens that fit into the replica's memory; 0 if not known.
        """
        self._capacity = CACHE_SHARE * (memory or DEFAULT_MEMORY_TOKENS)
        self._parts = collections.OrderedDict()
        self._size = 0

    def record_use(self, parts):
        """Records a request with these shared parts at the replica."""
        for name, tokens in parts:
            if tokens < MIN_PART_TOKENS:
                continue
            self._size += tokens - self._parts.pop(name, 0)
            self._parts[name] = tokens
        while self._size > self._capacity:
            _, tokens = self._parts.popitem(last=False)
            self._size -= tokens

    def cached_tokens(self, parts):
        """Returns the tokens of ``parts`` that need no prefill there.

        A part too small to be tracked counts as cached if all parts before it
        are cached.
        """
        total = 0
        for name, tokens in parts:
            if tokens >= MIN_PART_TOKENS and name not in self._parts:
                break
            total += tokens
        return total
