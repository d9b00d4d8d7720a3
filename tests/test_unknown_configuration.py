"""Proper requests at an entry without a configuration or with an old one."""

import contextlib
import types
from unittest import mock

import pytest
import relay_settings
import stores

import peers
import test_inbound
from gorsefall import errors
from gorsefall.net import headers
from gorsefall.policy import freshness
from gorsefall.relay import changes
from gorsefall.relay import configurationlistener
from gorsefall.relay import grant
from gorsefall.relay import memory
from gorsefall.relay import model
from gorsefall.relay import outcomes
from gorsefall.relay import routes
from gorsefall.relay import servers
from gorsefall.relay import topic
from gorsefall.relay import topicfollower
from gorsefall.relay import topiclisteners

CONFIG = 'config'
MEMORY_MB, MAX_FDS = 1000.0, 100

LARGE_LIMITS = model.CallerLimits(header_bytes=1 << 16, body_bytes=1 << 23)


def _table(*hosts, limits=LARGE_LIMITS):
    found = [
        model.Route(name=host,
                    host=host,
                    prefix='/',
                    kind=model.RouteKind.IDEMPOTENT,
                    timeout_s=1.0,
                    target_s=0.2,
                    priority=0,
                    services=(('s', 1.0),),
                    public=True) for host in hosts
    ]
    return routes.Table(version=1,
                        routes=found,
                        services={},
                        limits=limits,
                        accounts={},
                        requires_key=True)


def _node(table):
    return types.SimpleNamespace(table=table,
                                 draining=False,
                                 confirmation=freshness.Confirmation(1.0),
                                 cfg=relay_settings.relay())


def _renew(node, host):
    req = model.CallerRequest(id='1',
                              method=b'GET',
                              target=b'/x',
                              host=host,
                              headers=headers.from_items([]),
                              key='k')
    grant.Grant(node, req).renew()


def test_without_a_configuration_nothing_is_denied():
    """An entry that starts denies what it does not know yet."""
    with pytest.raises(errors.NoCatalogueError):
        _renew(_node(None), 'h')


def test_an_outdated_configuration_denies_no_route():
    """An entry that wakes denies what was added while it was suspended."""
    node = _node(_table('old'))
    _renew(node, 'old')
    with pytest.raises(errors.UnconfirmedError) as caught:
        _renew(node, 'new')
    assert outcomes.error_response(caught.value)[0] == 503
    node.confirmation.record_read(freshness.clock())
    with pytest.raises(errors.NoRouteError):
        _renew(node, 'new')


@contextlib.contextmanager
def _caller(node):
    """Yields a function that sends bytes and returns the whole response."""
    with peers.loop() as loop:
        node.loop = loop
        node.memory = memory.Memory(loop, lambda: MEMORY_MB, lambda: 0)
        node.max_fds = MAX_FDS
        node.hold_memory = lambda method, target, fields: None
        node.start_exchange = (lambda method, target, fields, body, writer:
                               writer.send(200, [], b'%d' % len(body.data)))
        client, accepted = test_inbound._connected()
        servers.CallerServer(node).accept(accepted)
        client.setblocking(False)

        def send(*pieces):
            got = bytearray()

            def receive():
                with contextlib.suppress(BlockingIOError):
                    got.extend(client.recv(65536))
                return b'\r\n\r\n' in got

            for piece in pieces:
                sent = 0
                while sent < len(piece):
                    with contextlib.suppress(BlockingIOError):
                        sent += client.send(piece[sent:])
                    loop.step(0.002)
            peers.run(loop, receive)
            return bytes(got)

        yield send
        client.close()


def _request(*, header_bytes=0, body_bytes=0):
    return (b'POST /x HTTP/1.1\r\nHost: h\r\nX: ' + b'x' * header_bytes +
            b'\r\nContent-Length: %d\r\n\r\n' % body_bytes)


TOO_LARGE = {
    'head': [_request(header_bytes=30000)],
    'part of a head': [_request(header_bytes=30000)[:-2]],
    'body': [_request(body_bytes=5 << 20)],
    'chunks': [
        b'POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'%x\r\n' % (5 << 20), b'x' * (5 << 20)
    ]
}
"""What the usual limits refuse."""


@pytest.mark.parametrize('kind', TOO_LARGE)
def test_no_limit_is_enforced_for_good_before_it_is_known(kind):
    """An entry that starts says that what the limits allow is too large."""
    with _caller(_node(None)) as send:
        got = send(*TOO_LARGE[kind])
    assert got.startswith(b'HTTP/1.1 503 ')
    assert b'Retry-After' in got


@pytest.mark.parametrize('kind', TOO_LARGE)
def test_limits_that_are_known_are_enforced(kind):
    """What is too large is read on and on."""
    with _caller(_node(_table(limits=model.CallerLimits()))) as send:
        got = send(*TOO_LARGE[kind])
    assert got[9:12] in (b'413', b'431')
    assert b'Retry-After' not in got


@pytest.mark.parametrize('before', [None, model.CallerLimits()])
def test_a_connection_takes_what_newer_limits_allow(before):
    """A connection from before a configuration has the old limit for good."""
    node = _node(_table(limits=before) if before else None)
    head = _request(header_bytes=30000)
    with _caller(node) as send:
        send(_request())
        node.table = _table()
        got = send(head[:20000], head[20000:])
    assert got.startswith(b'HTTP/1.1 200 ')


class _Records(topiclisteners.RecordDecoder):
    """Decodes values that are whole: a version and an exclamation mark."""

    def decode_table(self, record):
        if record.key != CONFIG:
            return None
        if not record.value.endswith(b'!'):
            raise errors.RecordError(record.key)
        return types.SimpleNamespace(version=int(record.value[:-1]))


def _listener():
    """Returns a node without a configuration and its listener."""
    node = _node(None)
    node.adopt = lambda table: setattr(node, 'table', table) or True
    node.record_confirmation = node.confirmation.record_read
    return node, configurationlistener.ConfigurationListener(node, _Records())


def test_part_of_a_configuration_that_was_told_is_not_used():
    """An entry that starts denies what the rest of it allows."""
    node, listener = _listener()
    listener.on_version_told(7, changes.Record(CONFIG, b'7', 1))
    listener.on_confirmed(1.0)
    assert node.table is None
    assert not node.confirmation.is_current()
    listener.on_version_told(7, changes.Record(CONFIG, b'7!', 1))
    assert node.table.version == 7


def test_a_known_configuration_stays_when_part_of_another_is_told():
    """An entry denies everything, as it drops what it has for a part."""
    node, listener = _listener()
    listener.apply(changes.Record(CONFIG, b'6!', 1))
    listener.on_version_told(7, changes.Record(CONFIG, b'7', 1))
    listener.apply(changes.Record(CONFIG, b'7', 2))
    assert node.table.version == 6


def test_nothing_is_used_of_a_snapshot_that_lacks_a_page():
    """An entry that starts takes the pages it has for all, and denies what is
    on the others."""
    loop = stores.Loop()
    store = stores.Store(loop, ['ok', 'lost', 'busy', 'lost'])
    for key, value in (('a', b'1'), ('b', b'2'), (CONFIG, b'6!')):
        store.put(key, value)
    node, listener = _listener()
    with mock.patch.object(freshness, 'clock', lambda: loop.now):
        follower = topicfollower.Follower(loop,
                                          store,
                                          listener,
                                          name='t',
                                          pace=topic.ReadPace(pause_s=0.1))
        follower.start()
        loop.run(1.5)
        with pytest.raises(errors.NoCatalogueError):
            _renew(node, 'h')
        assert not node.confirmation.is_current()
        loop.run(10.0)
    assert node.table.version == 6
