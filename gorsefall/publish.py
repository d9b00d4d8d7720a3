"""Publishing a catalogue change to the log service, as operators do."""

import uuid

import msgspec

from gorsefall import catalogue
from gorsefall import errors
from gorsefall import oplog

STREAM = 'catalogue'


def current(addr):
    """Returns the catalogue ``State`` the stream holds now.

    Raises:
        errors.LogServiceError: The log service failed.
        errors.CatalogueError: Expired records with no snapshot.
    """
    records, start, _ = oplog.read_all(addr, STREAM)
    return catalogue.replay(records, start)


def publish(addr, doc, author='', base=None):
    """Proposes ``doc`` as the next version; returns the version it became.

    The change names the version it was based on (``base``, default the
    current one). If another operator's change landed first, ours is
    rejected by every reader alike and this raises; nothing is overwritten.
    A reply lost after the write took effect is resolved by reading the
    stream back and looking for the change's unique id.

    Raises:
        errors.StaleVersionError: Another change was accepted first.
        errors.LogServiceError: The change was not written.
    """
    catalogue.check(doc)
    state = current(addr)
    change = catalogue.Change(id=uuid.uuid4().hex,
                              base=state.version if base is None else base,
                              doc=doc,
                              author=author)
    try:
        oplog.append(addr, STREAM, [msgspec.to_builtins(change)])
    except errors.LogServiceError:
        pass  # Maybe written anyway; the read below decides.
    after = current(addr)
    if change.id in after.accepted:
        version = after.accepted[change.id]
        snap = catalogue.Snapshot(version=after.version,
                                  as_of=after.offset - 1,
                                  doc=after.doc)
        try:
            oplog.append(addr, STREAM, [msgspec.to_builtins(snap)])
        except errors.LogServiceError:
            pass  # A later publish writes the next snapshot.
        return version
    if change.id in after.rejected:
        raise errors.StaleVersionError(
            f'based on v{change.base} but v{after.version} is current; '
            're-read and publish again')
    raise errors.LogServiceError('change not written; publish again')
