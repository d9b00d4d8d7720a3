"""Publishes catalogue changes to the log service, for operators."""

import uuid

import msgspec

from gorsefall import catalogue
from gorsefall import errors
from gorsefall import logclient

STREAM = 'catalogue'
SNAPSHOTS = 'catalogue-snapshots'


def current(addr):
    """Returns the current catalogue ``State`` of the log service.

    Raises:
        errors.LogServiceError: The log service failed.
        errors.CatalogueError: Records expired and no snapshot covers them.
    """
    state = catalogue.State()
    _advance(addr, state)
    return state


def _advance(addr, state):
    """Applies to ``state`` all records that the log service has since added.

    A snapshot is used only if records that ``state`` lacks have expired. A
    snapshot does not contain which change led to which version, so the
    operator's own change could not be found if a snapshot covered it.

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

    Only the differences from version ``base`` (default: the current one) are
    written. If one of the same items has changed since, all readers reject the
    change and this function raises; nothing is overwritten. If the response to
    the append is lost, the stream is read back and searched for the unique ID
    of the change.

    Raises:
        errors.StaleVersionError: Another change to the same items was
            accepted first, or ``base`` is too old to compare with.
        errors.CatalogueError: The document is invalid.
        errors.LogServiceError: The change was not written, or it is unknown
            whether it was.
    """
    catalogue.validate(doc)
    state = current(addr)
    base = state.version if base is None else base
    if base not in state.history:
        raise errors.StaleVersionError(
            f'version {base} is no longer known (current: {state.version}); '
            'read the catalogue and publish again')
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
        # The change may have been written; the read below decides.
        cause = exc
    _advance(addr, state)
    if change.id in state.accepted:
        _write_snapshot(addr, state)
        return state.accepted[change.id]
    if change.id in state.rejected:
        raise errors.StaleVersionError(
            f'based on version {base}, but the same items have changed since '
            f'(current: {state.version}); read the catalogue and publish again')
    raise errors.LogServiceError(
        'the change is not in the stream '
        f'({cause or "the append succeeded"}); it may still appear if the log '
        'service is slow: check with "catalogue show" before publishing '
        'again') from cause


def _write_snapshot(addr, state):
    try:
        logclient.append(addr, SNAPSHOTS,
                         [msgspec.to_builtins(state.snapshot())])
    except errors.LogServiceError:
        pass  # An entry writes a snapshot when the newest one is too old.
