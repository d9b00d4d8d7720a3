"""The entry's one client of the log service."""

from gorsefall import errors
from gorsefall import replies
from gorsefall import streamprotocol
from gorsefall.net import links

READ_IDLE_TIMEOUT_S = 5.0
"""Silence after which a read is given up, s: a page of 1,000 records takes a
few ms, and what waits for it bears no longer."""

APPEND_IDLE_TIMEOUT_S = 1.5
"""The same for an append, s: half of what a claim may take, so that one that
was lost can still be looked for."""


class StreamClient:
    """Reads and appends records; answers come to a callback.

    ``done`` is called once, never before the method has returned.
    """

    def __init__(self, mgr, addr):
        """Creates a client.

        Args:
            mgr: Any component of the process's running circuits tree.
            addr: ``(host, port)`` of the log service.
        """
        self._mgr = mgr
        self._addr = addr

    def read(self, stream, start, limit, done):
        """Reads up to ``limit`` records from offset ``start`` on.

        ``done(page, exc)`` gets a ``messages.StreamPage`` or an
        ``errors.LogServiceError``.
        """

        def on_reply(*reply):
            try:
                page = streamprotocol.decode_page(*reply)
            except errors.LogServiceError as exc:
                done(None, exc)
            else:
                done(page, None)

        links.fetch_json(self._mgr,
                         self._addr,
                         'GET',
                         streamprotocol.read_path(stream, start, limit),
                         idle_s=READ_IDLE_TIMEOUT_S,
                         done=on_reply)

    def append(self, stream, records, done):
        """Appends ``records``, msgspec structs.

        ``done(exc)`` gets None or an ``errors.LogServiceError``; unless that
        says ``not_run``, the records may have been written.
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

        links.fetch_json(self._mgr,
                         self._addr,
                         'POST',
                         streamprotocol.append_path(stream),
                         {'records': records},
                         idle_s=APPEND_IDLE_TIMEOUT_S,
                         done=on_reply)
