"""Publishing a catalogue change to the log service, as operators do."""

import uuid

import msgspec

from gorsefall import catalogue
from gorsefall import errors
from gorsefall import logclient

STREAM = 'catalogue'
SNAPSHOTS = 'catalogue-snapshots'


def current(addr):
    """Returns the catalogue ``State`` the log service holds now.

    Raises:
        errors.LogServiceError: The log service failed.
        errors.CatalogueError: Records expired and no snapshot covers them.
    """
    state = catalogue.State()
    _advance(addr, state)
    return state


def _advance(addr, state):
    """Brings ``state`` up to what the log service holds now.

    It goes on from what it has: a snapshot is only asked for where records
    that it lacks have expired. A snapshot does not say which change made which
    version, so one that covered an operator's own change would hide it.

    Raises:
        errors.LogServiceError: The log service failed.
        errors.CatalogueError: Records expired and no snapshot covers them.
    """
    records, start, end = logclient.read_all(addr, STREAM, state.offset)
    if start > state.offset:
        snaps, _, _ = logclient.read_all(addr, SNAPSHOTS)
        for rec in snaps:
            state.restore(msgspec.convert(rec.data, catalogue.Snapshot))
        if state.offset < start:
            raise errors.CatalogueError(
                f'records before offset {start} expired and no snapshot '
                'covers them')
    for rec in records:
        state.apply(rec.offset, rec.data)
    state.offset = max(state.offset, end)


def publish(addr, doc, author='', base=None):
    """Proposes ``doc`` as the next version; returns the version it became.

    Only what differs from version ``base`` (default: the current one) is
    written. If another operator changed one of the same items since, ours
    is rejected by every reader alike and this raises; nothing is
    overwritten. A reply lost after the write took effect is resolved by
    reading the stream back and looking for the change's unique id.

    Raises:
        errors.StaleVersionError: Another change to the same items was
            accepted first, or ``base`` is too old to tell.
        errors.CatalogueError: The document fails its checks.
        errors.LogServiceError: The change was not written, or it cannot be
            known whether it was.
    """
    catalogue.validate(doc)
    state = current(addr)
    base = state.version if base is None else base
    if base not in state.history:
        raise errors.StaleVersionError(
            f'version {base} is no longer known (current: {state.version}); '
            're-read and publish again')
    classes, customers, drop = catalogue.diff(state.history[base], doc)
    if not (classes or customers or drop):
        return state.version
    change = catalogue.Change(id=uuid.uuid4().hex,
                              base=base,
                              classes=classes,
                              customers=customers,
                              drop=drop,
                              author=author)
    cause = None
    try:
        logclient.append(addr, STREAM, [msgspec.to_builtins(change)])
    except errors.LogServiceError as exc:
        # Maybe written anyway; the read below decides.
        cause = exc
    _advance(addr, state)
    if change.id in state.accepted:
        _write_snapshot(addr, state)
        return state.accepted[change.id]
    if change.id in state.rejected:
        raise errors.StaleVersionError(
            f'based on v{base}, but the same items have changed since '
            f'(current: v{state.version}); re-read and publish again')
    raise errors.LogServiceError(
        f'the change is not in the stream ({cause or "it was written"}); it '
        'may still arrive if the log service is slow: check with "catalogue '
        'show" before publishing again') from cause


def _write_snapshot(addr, state):
    try:
        logclient.append(addr, SNAPSHOTS,
                         [msgspec.to_builtins(state.snapshot())])
    except errors.LogServiceError:
        pass  # The entries write one when the newest grows old.
