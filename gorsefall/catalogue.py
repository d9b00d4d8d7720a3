"""The versioned catalogue of request classes, their owners and limits.

Every entry reads the same append-only stream in offset order and applies the
same rule, so all entries agree without a coordination service. A change names
the version it is based on, and is accepted only if none of its items has
changed since that version. This is optimistic concurrency control over a log,
as the Persist paper builds compare-and-set from sequence numbers.
"""

import pathlib

import msgspec

from gorsefall import errors

TIERS = range(1, 6)

CONFLICT_WINDOW_VERSIONS = 200
"""A change based on a version older than this is always rejected.

Readers therefore need only the recent changes to agree on conflicts."""


class Klass(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One class of requests and the limits it may use.

    Attributes:
        owner: Customer (client account) that owns the class.
        name: Class name, unique per owner.
        tier: 1 (highest) to 5.
        pool: Back-end pool that serves it.
        ttft_ms: Latency target for the first token (or the complete response
            of a plain service), ms.
        e2e_ms: Latency target for the complete response, ms.
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

    @property
    def key(self):
        """``(owner, name)``, which identifies the class in a change."""
        return (self.owner, self.name)


class Customer(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Optional limits over all classes of one customer.

    Attributes:
        name: Customer name, the ``owner`` of its classes.
        rate_per_s: Requests per second across all entries.
        concurrency: Requests in flight across all entries.
    """
    name: str
    rate_per_s: float
    concurrency: int

    @property
    def key(self):
        """``(name,)``, which identifies the customer in a change."""
        return (self.name,)


class Document(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A complete catalogue as operators write it (TOML).

    Attributes:
        version: The version the file was created from (``catalogue show``
            writes it); publishing the file is based on that version.
        classes: The ``[[classes]]`` tables.
        customers: The ``[[customers]]`` tables.
    """
    version: int = 0
    classes: list[Klass] = []
    customers: list[Customer] = []

    def items(self):
        """Returns ``key -> item`` of all classes and customers."""
        return {item.key: item for item in (*self.customers, *self.classes)}


class Change(msgspec.Struct, kw_only=True, tag='change', tag_field='type'):
    """A record that proposes a change on top of version ``base``.

    Attributes:
        id: Unique ID; a writer that lost the response to its append searches
            for it.
        base: Version that the change is based on.
        classes: Classes to add or replace.
        customers: Customers to add or replace.
        drop: Keys (lists of one or two names) to remove.
        author: Name of the author.
    """
    id: str
    base: int
    classes: list[Klass] = []
    customers: list[Customer] = []
    drop: list[list[str]] = []
    author: str = ''

    def touched_keys(self):
        """Returns the keys that this change adds, replaces or removes."""
        keys = {item.key for item in (*self.customers, *self.classes)}
        return keys | {tuple(key) for key in self.drop}


class Snapshot(msgspec.Struct, kw_only=True):
    """The state after applying every record up to offset ``as_of``.

    Snapshots have their own stream, so that entries which follow the changes
    don't read them. A reader whose next change has expired starts from the
    newest snapshot.

    Attributes:
        version: Version at ``as_of``.
        as_of: Offset of the last record applied.
        doc: The document.
        recent: ``[version, key...]`` of the keys changed within the conflict
            window. Without it a restored reader would accept a conflicting
            change that other readers reject.
    """
    version: int
    as_of: int
    doc: Document
    recent: list[list] = []


def validate(doc):
    """Validates a document; returns it.

    Raises:
        errors.CatalogueError: A value is out of range or a name is used
            twice; the message names the item.
    """
    seen = set()
    for kind, items in (('classes', doc.classes), ('customers', doc.customers)):
        for i, item in enumerate(items):
            where = f'{kind}[{i}] ({"/".join(item.key)})'
            if not all(item.key):
                raise errors.CatalogueError(f'{where}: empty name')
            if item.key in seen:
                raise errors.CatalogueError(f'{where}: duplicate name')
            seen.add(item.key)
            if item.rate_per_s <= 0 or item.concurrency < 1:
                raise errors.CatalogueError(
                    f'{where}: rate_per_s must be greater than 0 and '
                    'concurrency at least 1')
    for i, klass in enumerate(doc.classes):
        if klass.tier not in TIERS:
            raise errors.CatalogueError(
                f'classes[{i}].tier: {klass.tier} is not in 1-5')
    return doc


def load(path):
    """Reads a catalogue TOML file into a ``Document``.

    Raises:
        errors.CatalogueError: The file is unreadable or invalid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as exc:
        raise errors.CatalogueError(f'{path}: {exc.strerror}') from exc
    return parse_toml(text)


def parse_toml(text):
    """Parses the text of a catalogue file into a ``Document``.

    Raises:
        errors.CatalogueError: The text is not TOML or not a valid catalogue.
    """
    try:
        return validate(msgspec.toml.decode(text.encode(), type=Document))
    except (msgspec.DecodeError, RecursionError) as exc:
        raise errors.CatalogueError(str(exc)) from exc


def to_toml(doc):
    """Returns ``doc`` as the text of a catalogue file."""
    return msgspec.toml.encode(doc).decode()


def diff(old, new):
    """Returns ``(classes, customers, drop)`` that turn ``old`` into ``new``."""
    before, after = old.items(), new.items()
    classes = [k for k in new.classes if before.get(k.key) != k]
    customers = [c for c in new.customers if before.get(c.key) != c]
    drop = [list(key) for key in before if key not in after]
    return classes, customers, drop


class State:
    """The catalogue after the records applied so far from one stream.

    Attributes:
        version: Number of accepted changes; 0 before the first.
        offset: Next offset to read.
        doc: The current document.
        accepted: ``change ID -> version`` of the changes accepted here.
        rejected: IDs of the changes rejected here.
        history: ``version -> Document`` of the newest ``keep`` versions.
            Publishers need them to find out what a file changes; entries
            don't.
    """

    def __init__(self, keep=CONFLICT_WINDOW_VERSIONS):
        self._keep = keep
        self.version = 0
        self.offset = 0
        self.doc = Document()
        self.accepted = {}
        self.rejected = set()
        self.history = {0: self.doc}
        self._items = {}
        self._changed_at = {}

    def lookup(self, owner, name):
        """Returns the ``Klass`` or None."""
        return self._items.get((owner, name))

    def customer(self, name):
        """Returns the ``Customer`` limits or None."""
        return self._items.get((name,))

    def keys(self):
        """Returns the keys of all classes and customers."""
        return self._items.keys()

    def apply(self, offset, data):
        """Applies the record at ``offset``; returns whether it was accepted.

        Records below the current offset are ignored, so replays and
        duplicate deliveries change nothing and the version never decreases.
        All readers reject a malformed or invalid record alike.
        """
        if offset < self.offset:
            return False
        self.offset = offset + 1
        try:
            change = msgspec.convert(data, Change)
        except msgspec.ValidationError:
            return False
        doc = self._result(change)
        if doc is None:
            self.rejected.add(change.id)
            return False
        self._set(self.version + 1, doc)
        self.accepted[change.id] = self.version
        for key in change.touched_keys():
            self._changed_at[key] = self.version
        return True

    def _result(self, change):
        if not (self.version - CONFLICT_WINDOW_VERSIONS <= change.base <=
                self.version):
            return None
        touched = change.touched_keys()
        if any(self._changed_at.get(k, 0) > change.base for k in touched):
            return None
        # Replaced items keep their position, so that the file written by
        # "catalogue show" stays in a stable order.
        items = dict(self._items)
        items |= {i.key: i for i in (*change.customers, *change.classes)}
        for key in change.drop:
            items.pop(tuple(key), None)
        doc = Document(
            version=self.version + 1,
            classes=[i for i in items.values() if isinstance(i, Klass)],
            customers=[i for i in items.values() if isinstance(i, Customer)])
        try:
            return validate(doc)
        except errors.CatalogueError:
            return None

    def snapshot(self):
        """Returns the ``Snapshot`` of this state."""
        return Snapshot(version=self.version,
                        as_of=self.offset - 1,
                        doc=self.doc,
                        recent=[[v, *key]
                                for key, v in self._changed_at.items()
                                if v > self.version - CONFLICT_WINDOW_VERSIONS])

    def restore(self, snap):
        """Replaces the state by ``snap``, unless ``snap`` is older.

        Returns:
            True if the state changed.
        """
        if snap.as_of < self.offset or snap.version < self.version:
            return False
        self._set(snap.version, snap.doc)
        self._changed_at = {tuple(key): v for v, *key in snap.recent}
        self.offset = snap.as_of + 1
        return True

    def _set(self, version, doc):
        self.version = version
        self.doc = doc
        self._items = doc.items()
        self.history[version] = doc
        self.history.pop(version - self._keep, None)
