"""Two entries in one reactor: one forwards the calls of the other."""

import contextlib
import types

from gorsefall.net import outbound
from gorsefall.relay import forwarder
from gorsefall.relay import forwarding
from gorsefall.relay import memory
from gorsefall.relay import prober

MAX_FDS = 4096
MEMORY_MB = 1000.0


class Codec:
    """Decodes what the forwarder needs of a response."""

    def decode_response(self, status, fields):
        """Returns an object like a ``model.Response``."""
        rid = fields.by_name.get(b'rid')
        return types.SimpleNamespace(status=status,
                                     request_id=rid.decode() if rid else None,
                                     leaving=b'leaving' in fields.by_name)


class Announcements:
    """Records what the forwarder passes on of responses."""

    def __init__(self):
        self.responses = []
        self.leaving = []

    def record_response(self, replica, response, sent_at):
        del sent_at
        self.responses.append((replica, response))

    def record_leaving(self, replica):
        self.leaving.append(replica)


class Replica:
    """A replica as the forwarder uses it."""

    def __init__(self, loop, addr):
        self.record = types.SimpleNamespace(id='r1',
                                            started_at_ms=7,
                                            service='s',
                                            addr=addr)
        self.pool = outbound.Pool(loop,
                                  addr,
                                  max_size=2,
                                  connect_timeout_s=0.25)
        self.is_leaving = False
        self.acceptance = types.SimpleNamespace(on_trial=False)


class Observer:
    """Records the evidence that a client of forwarders reports."""

    def __init__(self):
        self.elsewhere = []
        self.refusals = []

    def record_elsewhere(self, replica, reached, host):
        del replica, host
        self.elsewhere.append(reached)

    def record_no_forwarding(self, replica, host, reason):
        del replica, host
        self.refusals.append(reason)


class Call(outbound.Call):
    """A call that records its outcome."""

    def __init__(self, rid='r', body=b''):
        super().__init__(b'POST',
                         b'/p', [(b'Host', b'h'),
                                 (b'Content-Length', b'%d' % len(body))],
                         body,
                         time_limit_s=60.0)
        self.request_id = rid
        self.received = b''
        self.status = None
        self.ended = False
        self.failure = None
        self.withheld = False
        self.interim = 0

    def may_be_sent(self):
        return not self.withheld

    def on_interim(self, status, fields):
        self.interim += 1

    def on_head(self, status, fields):
        self.status = status

    def on_data(self, data):
        self.received += data

    def on_end(self):
        self.ended = True

    def on_fail(self, failure):
        self.failure = failure

    @property
    def done(self):
        return self.ended or self.failure is not None


class Site:
    """A forwarder for one replica, and a client of it."""

    def __init__(self, loop, addr):
        self.loop = loop
        self.replica = Replica(loop, addr)
        self.node = types.SimpleNamespace(
            loop=loop,
            codec=Codec(),
            announcements=Announcements(),
            prober=prober.ReplicaProber(loop),
            draining=False,
            max_fds=MAX_FDS,
            memory=memory.Memory(loop, lambda: MEMORY_MB, lambda: 0),
            current_list=types.SimpleNamespace(
                is_usable=lambda: self.is_usable),
            fleet=types.SimpleNamespace(find=self._find,
                                        is_listed=lambda r: self.listed),
            paths=types.SimpleNamespace(
                is_in_doubt=lambda service: self.in_doubt,
                has_room=lambda replica: False))
        self.in_doubt = False
        self.is_usable = self.listed = True
        self.forwarder = forwarder.Forwarder(self.node, ('127.0.0.1', 0))
        self.observer = Observer()
        _, port = self.forwarder.listener.addr
        self.client = forwarding.Client(loop, port, self.observer)

    def _find(self, target):
        known = target.replica == 'r1' and target.started_at_ms == 7
        return self.replica if known else None

    def send(self, call):
        """Has the forwarder send ``call``; returns the connection."""
        return self.client.send('127.0.0.1', self.replica, call)


@contextlib.contextmanager
def site(loop, addr):
    """Yields a ``Site`` for the replica at ``addr``."""
    new = Site(loop, addr)
    yield new
    new.forwarder.close_all()
    new.forwarder.listener.close()
