"""What every stand-in shares: a web app, fault switches and a control route."""

import msgspec
from circuits import core
from circuits import web
from circuits.core import pollers
from circuits.net import events as net_events
from circuits.web import events as web_events

from gorsefall import replies

MAX_BODY_BYTES = 1 << 20

UNDELAYED_PATHS = ('/control', '/stats')
"""Routes for tests; the delay switch leaves them alone."""


class Faults(msgspec.Struct, kw_only=True):
    """Fault switches a test flips with ``POST /control``.

    Attributes:
        outage: Every route but ``/control`` answers 503.
        delay_ms: Extra time before each reply, ms.
        lose_reply: The next N writes take effect, then the connection is
            closed with no reply.
        cut_reply: Services: the next N replies break off half way.
        crash_after: Engines: cut each stream after this many tokens (-1 off).
        mute: Engines: the next N streams go silent without closing.
        stall: Engines stop stepping; streams go silent.
        slow: Engines emit tokens only every this many steps (a straggler).
        lag_s: Load reports, cache events and VM list lag this much, s.
        max_appends_per_s: Log service: lowers its append limit (0 off).
        drop_events: Engines: share of cache events never published, 0..1.
        check_fence: Engines and services refuse stale fencing numbers.
    """
    outage: bool = False
    delay_ms: float = 0.0
    lose_reply: int = 0
    cut_reply: int = 0
    crash_after: int = -1
    mute: int = 0
    stall: bool = False
    slow: int = 1
    lag_s: float = 0.0
    max_appends_per_s: int = 0
    drop_events: float = 0.0
    check_fence: bool = True


class StandIn(web.Controller):
    """Base controller: ``/control``, ``/healthz`` and the outage switch."""
    channel = '/'

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.faults = Faults()
        self._delayed = set()

    def control(self, *args, **kwargs):
        """Merges the posted JSON into the fault switches; returns them."""
        body = replies.read_json(self.request, MAX_BODY_BYTES)
        merged = msgspec.structs.asdict(self.faults) | body
        self.faults = msgspec.convert(merged, Faults)
        return replies.json_body(self.response, self.faults)

    def healthz(self):
        """Says the process is up."""
        return replies.json_body(self.response, {'ok': True})

    def _down(self):
        """Returns a 503 reply when the outage switch is on, else None."""
        if self.faults.outage:
            return replies.json_body(
                self.response, {
                    'error': {
                        'code': 'outage',
                        'message': 'stand-in outage',
                        'not_run': True
                    }
                }, 503)
        return None

    def _lose(self, sock):
        """Closes ``sock`` with no reply when a lost reply is due.

        Returns:
            True when the reply was dropped.
        """
        if self.faults.lose_reply <= 0:
            return False
        self.faults.lose_reply -= 1
        self.fire(net_events.close(sock), replies.WEB_CHANNEL)
        return True

    def _cut(self, sock, obj):
        """Sends half of a reply, then closes, when a cut reply is due.

        Returns:
            True when the reply was cut.
        """
        if self.faults.cut_reply <= 0:
            return False
        self.faults.cut_reply -= 1
        body = msgspec.json.encode(obj)
        head = (f'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
                f'Content-Length: {len(body)}\r\n\r\n').encode()
        half = head + body[:len(body) // 2]
        self.fire(net_events.write(sock, half), replies.WEB_CHANNEL)
        self.fire(net_events.close(sock), replies.WEB_CHANNEL)
        return True

    @core.handler('response', channel=replies.WEB_CHANNEL, priority=100)
    def _on_response(self, event, res):
        delay_s = self.faults.delay_ms / 1000.0
        if not delay_s or res in self._delayed or self._is_control(res):
            self._delayed.discard(res)
            return
        event.stop()
        self._delayed.add(res)
        core.Timer(delay_s, web_events.response(res),
                   replies.WEB_CHANNEL).register(self)

    def _is_control(self, res):
        return res.request.path.startswith(UNDELAYED_PATHS)


def serve(controller, addr, extra=()):
    """Builds the app of a stand-in listening on ``addr`` ``(host, port)``.

    Returns:
        The root circuits component; call ``run()`` on it.
    """
    app = web.Server(addr, channel=replies.WEB_CHANNEL)
    pollers.EPoll().register(app)
    replies.JsonOnly().register(app)
    controller.register(app)
    for comp in extra:
        comp.register(app)
    return app
