"""Reading the shared log: malformed responses must not stop the watcher.

If decoding a malformed page or snapshot raises in the callback, the watcher
stays busy and never polls again: the entry keeps an old catalogue or never
becomes ready, although the log service is available again.
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


def test_an_expired_offset_is_no_error():
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
def test_a_response_that_is_no_page_is_an_error(status, obj, exc):
    with pytest.raises(errors.LogServiceError):
        streamprotocol.decode_page(status, obj, exc)


def test_a_malformed_snapshot_leaves_the_watcher_idle():
    watch = _catalogue()
    malformed = messages.StreamRecord(4, {'version': 'four'})
    watch._on_snapshot(messages.StreamPage(4, 5, [malformed]), None)
    assert not watch.busy and watch.in_force is None


def test_a_failed_read_leaves_the_watcher_idle():
    watch = _catalogue()
    watch._on_read_done(None, errors.LogServiceError('malformed response'))
    assert not watch.busy


def test_a_malformed_record_does_not_stop_the_search_for_recent_claims():
    """The ledger finds recent claims by binary search over write times."""
    claim_ledger = ledger.Ledger(ADDR, 'entry-a', 1.0, 60.0)
    offsets = []
    claim_ledger._start_read = lambda start, limit, done: offsets.append(start)
    claim_ledger._on_bounds(messages.StreamPage(0, 8000), None)
    claim_ledger._on_probe(
        messages.StreamPage(0, 8000, [messages.StreamRecord(4000, {})]), None)
    assert offsets == [4000, 6000]


@pytest.mark.parametrize('status', ['200 OK', '502 Bad Gateway'])
def test_the_blocking_client_reports_a_response_without_json(status):
    """A proxy in front of the log service may send an HTML page.

    Its status may be a success or an error. In both cases decoding must not
    raise anything but a LogServiceError, which the command line reports
    without a traceback.
    """
    page = b'<html>gone</html>'
    peer = peers.ScriptedPeer([[
        f'HTTP/1.1 {status}\r\nContent-Length: {len(page)}\r\n\r\n'.encode() +
        page, None
    ]])
    with pytest.raises(errors.LogServiceError):
        logclient.read_all(peer.addr, 'catalogue')
    peer.close()
