"""The entry's client of the log service."""

from gorsefall import errors
from gorsefall import replies
from gorsefall import streamprotocol
from gorsefall.net import links

READ_IDLE_TIMEOUT_S = 5.0
"""Idle timeout of a read, s.

A page of 1,000 records takes a few ms, and the requests that wait for it
tolerate no longer delay."""

APPEND_IDLE_TIMEOUT_S = 1.5
"""Idle timeout of an append, s.

It is half of the ledger's claim timeout, so that time is left to search the
stream for a record whose append failed."""


class StreamClient:
    """Reads and appends records; results are passed to a callback.

    The callback ``done`` is called once, after the method has returned.
    """

    def __init__(self, component, addr):
        """Creates a client.

        Args:
            component: Any component of the process's running circuits tree.
            addr: ``(host, port)`` of the log service.
        """
        self._component = component
        self._addr = addr

    def read(self, stream, start, limit, done):
        """Reads up to ``limit`` records, starting at offset ``start``.

        Calls ``done(page, exc)`` with a ``messages.StreamPage`` and None, or
        with None and an ``errors.LogServiceError``.
        """

        def on_reply(*reply):
            try:
                page = streamprotocol.decode_page(*reply)
            except errors.LogServiceError as exc:
                done(None, exc)
            else:
                done(page, None)

        links.fetch_json(self._component,
                         self._addr,
                         'GET',
                         streamprotocol.read_path(stream, start, limit),
                         idle_s=READ_IDLE_TIMEOUT_S,
                         done=on_reply)

    def append(self, stream, records, done):
        """Appends ``records``, a list of msgspec structs.

        Calls ``done(exc)`` with None or an ``errors.LogServiceError``. Unless
        the error's ``not_run`` is set, the records may have been written.
        """

        def on_reply(status, obj, exc):
            if exc is None and status == streamprotocol.OK_STATUS:
                done(None)
                return
            not_run = exc is None and replies.reports_not_run(obj)
            done(
                errors.LogServiceError(f'status {status}: {exc}',
                                       not_run=not_run,
                                       busy=not_run and
                                       status == streamprotocol.BUSY_STATUS))

        links.fetch_json(self._component,
                         self._addr,
                         'POST',
                         streamprotocol.append_path(stream),
                         {'records': records},
                         idle_s=APPEND_IDLE_TIMEOUT_S,
                         done=on_reply)
