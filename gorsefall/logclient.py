"""Blocking client of the log service, for the command line and tests.

Daemons use ``net.links`` in their event loop instead, where a blocking call
would stall all requests of the process.
"""

import urllib.error
import urllib.request

import msgspec

from gorsefall import decoding
from gorsefall import errors
from gorsefall import streamprotocol

READ_LIMIT = 500
"""Maximum records per read; keeps a page below 1 MB."""

_JSON = decoding.json_decoder()


def _call(addr, method, path, body=None, timeout_s=5.0):
    url = f'http://{addr[0]}:{addr[1]}{path}'
    data = None if body is None else msgspec.json.encode(body)
    req = urllib.request.Request(url,
                                 data=data,
                                 method=method,
                                 headers={'Content-Type': 'application/json'})
    try:
        try:
            with urllib.request.urlopen(req, timeout=timeout_s) as res:
                status, text = res.status, res.read()
        except urllib.error.HTTPError as exc:
            status, text = exc.code, exc.read()
        return status, _JSON.decode(text or b'{}')
    except (OSError, errors.UndecodableError) as exc:
        raise errors.LogServiceError(f'{method} {path}: {exc}') from exc


def append(addr, stream, records):
    """Appends ``records`` (dicts); returns the first offset.

    Raises:
        errors.LogServiceError: The append was refused or failed, or its
            response was lost; then the records may have been written.
    """
    status, obj = _call(addr, 'POST', streamprotocol.append_path(stream),
                        {'records': records})
    if status != streamprotocol.OK_STATUS:
        raise errors.LogServiceError(f'append to {stream}: {status} {obj}')
    return obj['offset']


def read_all(addr, stream, start=0):
    """Reads a stream from ``start`` to its end.

    Returns:
        ``(records, start, end)``: ``messages.StreamRecord`` objects, the offset
        of the oldest retained record, and the offset after the newest.

    Raises:
        errors.LogServiceError: The log service failed.
    """
    out = []
    first = None
    while True:
        page = streamprotocol.decode_page(*_call(
            addr, 'GET', streamprotocol.read_path(stream, start, READ_LIMIT)))
        if page.expired:
            # Records expired, possibly during this read. Those read before
            # the gap are useless without the missing ones.
            start, first = page.start, None
            out.clear()
            continue
        first = page.start if first is None else first
        out.extend(page.records)
        if not page.records:
            return out, first, page.end
        start = page.records[-1].offset + 1
