"""An exchange before scripted replicas, in simulated time, without sockets."""

import contextlib
import heapq
import itertools
import types
import unittest.mock

from gorsefall.net import headers
from gorsefall.net import outbound
from gorsefall.policy import attempt_timeouts
from gorsefall.policy import memoryshares
from gorsefall.policy import softwareversions
from gorsefall.relay import exchange
from gorsefall.relay import grant
from gorsefall.relay import memory
from gorsefall.relay import model
from gorsefall.relay import prober
from gorsefall.relay import routes
from gorsefall.relay import unreadstreams

EVENT_COUNT = 4
TIME_LIMIT_S = 5.0
MEMORY_MB = 1000.0
PROBE_S = 0.25
"""Time until it is known whether a replica crashed, s."""

SERVICE = 'pool'
ROUTE = model.Route(name='r',
                    host='h',
                    prefix='/',
                    kind=model.RouteKind.STREAM,
                    timeout_s=TIME_LIMIT_S,
                    target_s=0.5,
                    priority=1,
                    services=((SERVICE, 1.0),),
                    max_attempts=2,
                    resumable=True)


class Loop:
    """Timers in simulated time.

    Attributes:
        now: The time, s.
    """

    def __init__(self):
        self.now = 1000.0
        self._timers = []
        self._order = itertools.count()

    def call_later(self, delay_s, action):
        """See ``reactor.Reactor``."""
        timer = types.SimpleNamespace(cancelled=False)
        timer.cancel = lambda: setattr(timer, 'cancelled', True)
        heapq.heappush(self._timers,
                       (self.now + delay_s, next(self._order), timer, action))
        return timer

    def run(self, until):
        """Runs all timers until a time, s."""
        while self._timers and self._timers[0][0] <= until:
            at, _, timer, action = heapq.heappop(self._timers)
            self.now = max(self.now, at)
            if not timer.cancelled:
                action()
        self.now = until


class Conn:
    """A connection on which a replica plays its script for one call.

    Attributes:
        sent_at: When the request was sent, s.
        responded_at: When the replica first responded, s; infinite before.
        refused: Whether the replica refused the request.
        ended_at: When the replica ended it, s; None before.
        cancelled_at: When the exchange cancelled it, s; None before.
        paused: Whether the exchange reads nothing from it.
        sent: Whether the replica has the request.
        from_copy: Whether it goes on from a KV backup.
    """
    via = None

    def __init__(self, site, call, script, first_event):
        self._site = site
        self._call = call
        self._next = first_event
        self.sent_at = site.loop.now
        self.responded_at = float('inf')
        self.refused = self.paused = False
        self.sent = True
        self.from_copy = (b'copy', b'1') in call.fields
        self.ended_at = self.cancelled_at = None
        delay_s = 0.0
        for pause_s, step in script:
            delay_s += pause_s
            site.loop.call_later(delay_s, lambda step=step: self._play(step))

    @property
    def is_open(self):
        """Whether the replica works on the request, as far as it knows."""
        return self.ended_at is None and self.cancelled_at is None

    def _play(self, step):
        if not self.is_open:
            return
        getattr(self, '_' + step)()

    def _head(self):
        self.responded_at = self._site.loop.now
        self._call.matches_response(200, headers.from_items([]))
        self._call.on_head(200, headers.from_items([]))

    def _event(self):
        if self._next <= EVENT_COUNT:
            data = b'id: %d\ndata: x\n\n' % self._next
            self._next += 1
            self._call.on_data(data)
        if self._next > EVENT_COUNT and self.is_open:
            self.ended_at = self._site.loop.now
            self._call.on_end()

    def _back(self):
        self._next = max(1, self._next - 1)

    def _refuse(self):
        self.refused = True
        self._call.matches_response(503, headers.from_items([]))
        self.ended_at = self._site.loop.now
        self._call.on_head(503, headers.from_items([]))
        if self.cancelled_at is None:
            self._call.on_end()

    def _stray(self):
        self.responded_at = self.ended_at = self._site.loop.now
        self._call.matches_response(404, headers.from_items([]))
        self._call.on_head(404, headers.from_items([]))
        self._call.on_end()

    def _close(self):
        self.ended_at = self._site.loop.now
        self._call.ending = outbound.Ending.CLOSED
        self._call.on_end()

    def _part(self):
        self._call.on_data(b'id: %d\nda' % self._next)

    def _flood(self):
        while self.is_open:
            self._call.on_data(b'x' * 65536)

    def _cut(self):
        self._part()
        if self.is_open:
            self._close()

    def _reset(self):
        self.ended_at = self._site.loop.now
        self._call.on_fail(outbound.Failure(True, 'reset', outbound.Fault.LOST))

    def _unreached(self):
        self.sent = False
        self.ended_at = self._site.loop.now
        self._call.on_fail(
            outbound.Failure(False, 'not connected', outbound.Fault.UNREACHED))

    def cancel(self):
        """See ``outbound.Connection``."""
        self.cancelled_at = self._site.loop.now
        return self.sent

    def pause(self):
        """See ``outbound.Connection``."""
        self.paused = True

    def resume(self):
        """See ``outbound.Connection``."""
        self.paused = False


class Writer:
    """The caller.

    Attributes:
        keeps_up: Whether it reads everything at once.
        body: The bytes received.
        ended: Whether the response is complete.
        status: Status of a complete response, or None.
        failed_at: When it was broken off, or ended with an error, s; None
            unless it was.
    """

    def __init__(self, loop):
        self._loop = loop
        self.started = self.ended = False
        self.keeps_up = True
        self.failed_at = self.status = None
        self.body = b''

    def set_time_limit(self, limit_s):
        """See ``responsewriter.ResponseWriter``."""

    def start(self, status, fields):
        """See ``responsewriter.ResponseWriter``."""
        self.started = True

    def write(self, data):
        """See ``responsewriter.ResponseWriter``."""
        self.body += data
        return self.keeps_up

    def end(self):
        """See ``responsewriter.ResponseWriter``."""
        self.ended = True

    def abort(self):
        """See ``responsewriter.ResponseWriter``."""
        self.failed_at = self._loop.now

    def send_pieces(self, status, fields, pieces):
        """See ``responsewriter.ResponseWriter``."""
        self.send(status, fields, b''.join(pieces))

    def send(self, status, fields, body):
        """See ``responsewriter.ResponseWriter``."""
        self.started = True
        self.status = status
        self.failed_at = self._loop.now


class Replica:
    """A replica that plays its script for each request.

    Attributes:
        in_flight_count: Requests that count as in flight there.
    """

    def __init__(self, name, script, software='v1'):
        self.script = script
        self.record = types.SimpleNamespace(id=name,
                                            addr=('h', 1),
                                            software=software)
        self.view = unittest.mock.MagicMock(outstanding=0, others_requests=0)
        self.view.name = name
        self.acceptance = unittest.mock.MagicMock()
        self.limit = types.SimpleNamespace(per_s=None)
        self.record_lapsed = False
        self.in_flight_count = 0

    @contextlib.contextmanager
    def in_flight(self, tokens, *, decode_heavy):
        """See ``replicas.Replica``."""
        self.in_flight_count += 1
        yield lambda: None
        self.in_flight_count -= 1

    def record_alive(self, now):
        """See ``replicas.Replica``."""

    def refusal(self, now):
        """See ``replicas.Replica``; a script refuses by itself."""


class Codec:
    """Encodes the id of the last event, and whether a copy is used."""

    def encode_request(self, req, options):
        """See ``codec.Codec``."""
        copy = b'0' if options.restore_from is None else b'1'
        return [(b'last', options.resume_after or b'0'), (b'copy', copy)]

    def decode_response(self, status, fields):
        """See ``codec.Codec``."""
        return model.Response(status=status,
                              headers=fields,
                              request_id=None,
                              genuine=status == 200,
                              not_run=status == 503,
                              misdirected=False,
                              load=None)

    def encode_response(self, response):
        """See ``codec.Codec``."""
        return []


def table(version, keys, route=ROUTE):
    """Returns a ``routes.Table`` with one route; None for no route."""
    return routes.Table(version=version,
                        routes=[] if route is None else [route],
                        services={},
                        limits=model.CallerLimits(),
                        accounts={k: model.Account(name='a') for k in keys},
                        requires_key=True)


def found_at(software):
    """Returns the ``softwareversions.Decision`` for a version."""
    return softwareversions.Decision(softwareversions.Origin(SERVICE, software),
                                     softwareversions.Reason.KNOWN)


class Site:
    """A node with one exchange, whose replicas are tried in order.

    Attributes:
        conns: All ``Conn`` objects, in the order of the attempts.
        writer: The ``Writer``.
        exchange: The ``exchange.Exchange``.
        may_shed: Whether the last choice of a replica could refuse.
    """

    def __init__(self, loop, scripts, route=ROUTE, *, drawn=False):
        self.loop = loop
        self.conns = []
        self.writer = Writer(loop)
        self.replicas = {
            name: Replica(name, script)
            for name, script in zip('abc', scripts, strict=False)
        }
        node = self.node = unittest.mock.MagicMock()
        node.loop, node.codec = loop, Codec()
        node.table = table(1, ['k'], route)
        node.cfg = types.SimpleNamespace(digest_key='d',
                                         strict_revocation=True,
                                         zone='z')
        node.confirmation.is_current.return_value = True
        node.unread_streams = unreadstreams.UnreadStreams(
            loop, lambda replica: True)
        node.memory = memory.Memory(loop, lambda: MEMORY_MB, lambda: 0)
        node.fleet.replicas = self.replicas
        node.fleet.candidates = self._candidates
        node.fleet.with_other_software = self._with_other_software
        node.fleet.of_service = lambda service: self.replicas.values()
        node.fleet.accepts_in_s.return_value = 0.1
        node.streams.unrecorded.return_value = set()
        node.work.candidate_views = self._candidates
        node.retry_budget.return_value.available.return_value = 5
        node.start_latency.return_value = attempt_timeouts.StartLatency()
        node.crashes.must_serialize.return_value = False
        node.crashes.handle_broken_run = (
            lambda replica, run, done: loop.call_later(PROBE_S, done))
        node.crashes.check_exit = lambda replica, done: loop.call_later(
            PROBE_S, lambda: done(False))
        node.paths.send = self._send
        node.paths.needs_detour.return_value = False
        node.prober.probe = lambda replica, done: loop.call_later(
            PROBE_S, lambda: done(prober.Verdict.EXITED))
        req = model.CallerRequest(id='rid',
                                  method=b'GET',
                                  target=b'/x',
                                  host='h',
                                  headers=headers.from_items([]),
                                  key='k')
        self.exchange = exchange.Exchange(
            node, req, self.writer,
            self._drawn_hold(req) if drawn else None)
        self.exchange.grant.choose_replica = self._choose
        self.may_shed = None

    def _drawn_hold(self, req):
        """Returns the hold of a body that did not arrive with its head."""
        drawn = grant.Grant(self.node, req)
        drawn.draw_service()
        return self.node.memory.hold(memoryshares.Owner(SERVICE, 'a'),
                                     terms=drawn.terms)

    def back_up_to(self, name):
        """Has the run's KV backup kept by a replica."""
        self.exchange._backup.holder = self.replicas[name]

    def let_stream_go_on(self, software):
        """Has the request take a stream up that began at a version."""
        self.exchange.req.began_as = 'first'
        self.node.streams.look_up = (lambda digest, services, done, *, route:
                                     done(found_at(software), 1))

    def _with_other_software(self, service, software):
        assert service == SERVICE
        return {
            n for n, r in self.replicas.items() if r.record.software != software
        }

    def _candidates(self, service, tried, *, urgent=False):
        assert service == SERVICE
        return [r for n, r in self.replicas.items() if n not in tried]

    def _choose(self, tried, *, may_shed, least_loaded):
        self.may_shed = may_shed
        left = self._candidates(SERVICE, tried)
        if not left:
            return None
        target = types.SimpleNamespace(name=left[0].record.id, eject_until=0.0)
        return types.SimpleNamespace(target=target,
                                     prefill_tokens=0,
                                     prefill_tokens_ahead=0,
                                     queue_ms=0.0,
                                     slowness=1.0,
                                     fetch_source=None)

    def _send(self, replica, call, *, fresh):
        conn = Conn(self, call, replica.script,
                    int(dict(call.fields)[b'last']) + 1)
        self.conns.append(conn)
        call.on_sent()
        return conn


@contextlib.contextmanager
def site(scripts, route=ROUTE, *, drawn=False):
    """Yields a ``Site`` in simulated time.

    Args:
        scripts: For each replica, ``(pause in s, step)`` pairs; a step is
            ``head``, ``event``, ``back`` (what follows begins with the event
            before), ``refuse``, ``stray`` (a 404 that does not bear a replica's
            mark), ``reset``, ``close`` (the connection ends, which is no
            error), ``part`` (of an event), ``cut`` (both) or ``unreached`` (no
            connection is established).
        route: The ``model.Route`` of the request.
        drawn: Whether its service was drawn as the first bytes of its body
            arrived.
    """
    loop = Loop()
    with unittest.mock.patch('time.monotonic', lambda: loop.now):
        yield Site(loop, scripts, route, drawn=drawn)
