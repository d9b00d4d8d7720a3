"""Reading the shared log: what cannot be read must not stop the reader.

Symptom: an entry stays at its old catalogue, or never gets ready, though the
log service answers again. Sequence: one answer is no page, or the newest
snapshot is spoilt; decoding raises in the callback; the reader counts as busy
from then on and never asks again. Cause: answers were taken for what they
should be.
"""

import pytest

import peers
from gorsefall import errors
from gorsefall import messages
from gorsefall import logclient
from gorsefall import streamprotocol
from gorsefall.entry import ledger
from gorsefall.entry import watchers

ADDR = ('127.0.0.1', 1)
PAGE = {'start': 3, 'end': 5, 'records': [{'offset': 3, 'data': {}}]}


def _catalogue():
    watch = watchers.CatalogueWatch(ADDR, 0.5, 60.0)
    watch.busy = True
    return watch


def test_a_page_is_decoded_with_its_bounds():
    page = streamprotocol.decode_page(200, PAGE, None)
    assert (page.start, page.end, page.expired) == (3, 5, False)
    assert page.records == [messages.StreamRecord(3, {})]


def test_an_expired_offset_is_no_failure():
    page = streamprotocol.decode_page(410, {
        'start': 3,
        'end': 5,
        'error': {}
    }, None)
    assert page.expired and page.start == 3


@pytest.mark.parametrize('status, obj, exc', [
    (None, None, errors.LinkError('refused')),
    (503, PAGE, None),
    (200, None, None),
    (200, [], None),
    (200, {
        'records': []
    }, None),
    (200, {
        **PAGE, 'records': [{
            'data': {}
        }]
    }, None),
    (410, {
        'error': 'gone'
    }, None),
])
def test_what_is_no_page_is_a_failure(status, obj, exc):
    with pytest.raises(errors.LogServiceError):
        streamprotocol.decode_page(status, obj, exc)


def test_a_spoilt_snapshot_leaves_the_reader_free():
    watch = _catalogue()
    spoilt = messages.StreamRecord(4, {'version': 'four'})
    watch._restore(messages.StreamPage(4, 5, [spoilt]), None)
    assert not watch.busy and watch.in_force is None


def test_a_failed_read_leaves_the_reader_free():
    watch = _catalogue()
    watch._read(None, errors.LogServiceError('unreadable answer'))
    assert not watch.busy


def test_a_spoilt_record_does_not_stop_the_search_for_young_claims():
    """The search halves the stream by when records were written."""
    book = ledger.Ledger(ADDR, 'entry-a', 1.0, 60.0)
    asked = []
    book._start_read = lambda start, limit, done: asked.append(start)
    book._on_bounds(messages.StreamPage(0, 8000), None)
    book._on_probe(
        messages.StreamPage(0, 8000, [messages.StreamRecord(4000, {})]), None)
    assert asked == [4000, 6000]


@pytest.mark.parametrize('status', ['200 OK', '502 Bad Gateway'])
def test_the_blocking_client_takes_no_page_for_a_failure(status):
    """Symptom: a traceback instead of an error at the command line. Sequence:
    something before the log service answers with a page of its own. Cause:
    only what came with a success was read as JSON under guard."""
    page = b'<html>gone</html>'
    peer = peers.ScriptedPeer([[
        f'HTTP/1.1 {status}\r\nContent-Length: {len(page)}\r\n\r\n'.encode() +
        page, None
    ]])
    with pytest.raises(errors.LogServiceError):
        logclient.read_all(peer.addr, 'catalogue')
    peer.close()
