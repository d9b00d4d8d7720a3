"""The catalogue: classes of requests, their owners and limits, versioned.

Every entry reads the same stream in offset order and applies one rule, so
all agree without a coordination service: a change names the version it was
based on and is accepted only if that is still the current version.
"""

import msgspec

from gorsefall import errors

TIERS = range(1, 6)


class Klass(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One class of requests and the limits it may use.

    Attributes:
        owner: Customer (client account) that owns the class.
        name: Class name, unique per owner.
        tier: 1 (highest) to 5.
        pool: Back-end pool that serves it.
        ttft_ms: Latency target for the first token (or whole reply of a
            plain service), ms.
        e2e_ms: Latency target for the whole answer, ms.
        rate_per_s: Requests per second across all entries.
        concurrency: Requests in flight across all entries.
        repeatable: False for calls that must run at most once.
    """
    owner: str
    name: str
    tier: int
    pool: str
    ttft_ms: float = 1800.0
    e2e_ms: float = 30000.0
    rate_per_s: float = 100.0
    concurrency: int = 100
    repeatable: bool = True


class Document(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A whole catalogue as operators write it (TOML ``[[classes]]``)."""
    classes: list[Klass] = []


class Change(msgspec.Struct, kw_only=True, tag='change', tag_field='type'):
    """A record proposing ``doc`` as the next version after ``base``."""
    id: str
    base: int
    doc: Document
    author: str = ''


class Snapshot(msgspec.Struct, kw_only=True, tag='snapshot', tag_field='type'):
    """A record stating that after offset ``as_of`` the state was this.

    Readers that find the stream's start expired begin from the newest
    snapshot whose ``as_of`` is still retained.
    """
    version: int
    as_of: int
    doc: Document


RecordType = Change | Snapshot


def check(doc):
    """Checks a document; returns it.

    Raises:
        errors.CatalogueError: A tier out of range or a name twice.
    """
    seen = set()
    for i, k in enumerate(doc.classes):
        if k.tier not in TIERS:
            raise errors.CatalogueError(f'classes[{i}].tier: {k.tier} not 1-5')
        if (k.owner, k.name) in seen:
            raise errors.CatalogueError(
                f'classes[{i}]: {k.owner}/{k.name} twice')
        seen.add((k.owner, k.name))
    return doc


def parse_toml(text):
    """Parses a catalogue file.

    Raises:
        errors.CatalogueError: Bad TOML or failed checks.
    """
    try:
        return check(msgspec.toml.decode(text.encode(), type=Document))
    except (msgspec.ValidationError, msgspec.DecodeError) as exc:
        raise errors.CatalogueError(str(exc)) from exc


class State:
    """The catalogue as applied so far from one stream.

    Attributes:
        version: Accepted changes so far; 0 before the first.
        offset: Next offset to read.
        doc: The current document.
        accepted: Change ids accepted, mapped to the version each made.
    """

    def __init__(self):
        self.version = 0
        self.offset = 0
        self.doc = Document()
        self.accepted = {}
        self.rejected = set()
        self._index = {}

    def lookup(self, owner, name):
        """Returns the ``Klass`` or None."""
        return self._index.get((owner, name))

    def apply(self, offset, data):
        """Applies one record read at ``offset``; returns True if it changed.

        Records at or below the current offset are ignored, so replays and
        duplicate deliveries change nothing and the version never goes back.
        """
        if offset < self.offset:
            return False
        self.offset = offset + 1
        try:
            rec = msgspec.convert(data, RecordType)
        except msgspec.ValidationError:
            return False
        if isinstance(rec, Snapshot):
            if rec.version <= self.version:
                return False
            self._set(rec.version, rec.doc)
            return True
        if rec.id in self.accepted or rec.base != self.version:
            self.rejected.add(rec.id)
            return False
        self._set(self.version + 1, rec.doc)
        self.accepted[rec.id] = self.version
        return True

    def restore(self, snap):
        """Starts over from ``snap`` when the stream's start has expired."""
        self._set(snap.version, snap.doc)
        self.offset = snap.as_of + 1

    def _set(self, version, doc):
        self.version = version
        self.doc = doc
        self._index = {(k.owner, k.name): k for k in doc.classes}


def replay(records, start):
    """Builds the ``State`` from records read from offset ``start`` on.

    When ``start`` is past 0 the oldest records have expired; the state then
    begins at the newest snapshot whose ``as_of`` is still retained.

    Raises:
        errors.CatalogueError: Records have expired and no snapshot covers
            the gap.
    """
    state = State()
    if start > 0:
        snaps = [
            r for r in records if r['data'].get('type') == 'snapshot' and
            r['data']['as_of'] >= start - 1
        ]
        if not snaps:
            raise errors.CatalogueError(
                f'records before offset {start} expired and no snapshot '
                'covers them')
        state.restore(msgspec.convert(snaps[-1]['data'], Snapshot))
    for rec in records:
        state.apply(rec['offset'], rec['data'])
    return state
