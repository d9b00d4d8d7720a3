"""Base of all stand-ins: web app, fault switches and control route."""

import msgspec
from circuits import core
from circuits import web
from circuits.core import pollers
from circuits.net import events as net_events
from circuits.web import events as web_events

from gorsefall import replies

MAX_BODY_BYTES = 1 << 20

UNDELAYED_PATHS = ('/control', '/stats')
"""Routes for tests, which ``Faults.delay_ms`` does not delay."""


class Faults(msgspec.Struct, kw_only=True):
    """Fault switches, set by tests with ``POST /control``.

    Attributes:
        outage: ``/generate``, ``/call``, ``/load``, ``/streams``, ``/vms`` and
            ``/weights`` respond with 503.
        delay_ms: Delay before each response, ms.
        lose_reply: The next N writes take effect, then the connection is
            closed without a response.
        cut_reply: Services: the next N responses are truncated in the middle.
        crash_after: Engines: each stream is truncated after this many tokens
            (-1: off).
        cut_line: Engines: each stream ends in the proper way, inside a line.
        mute: Engines: the next N streams send no data and stay open.
        stall: Engines: no steps and no heartbeats; streams send no data.
        slow: Slow-down factor: engines run every N-th step only; services take
            N times as long for a call.
        lag_s: Age of load reports, cache events and the VM list, s.
        max_appends_per_s: Log service: replaces its append limit (0: off).
        drop_events: Engines: share of cache events that are not published,
            0 to 1.
        check_fence: Engines and services refuse stale fencing tokens.
    """
    outage: bool = False
    delay_ms: float = 0.0
    lose_reply: int = 0
    cut_reply: int = 0
    crash_after: int = -1
    cut_line: bool = False
    mute: int = 0
    stall: bool = False
    slow: int = 1
    lag_s: float = 0.0
    max_appends_per_s: int = 0
    drop_events: float = 0.0
    check_fence: bool = True


class StandIn(web.Controller):
    """Base controller: ``/control``, ``/healthz`` and the common faults."""
    channel = '/'

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.faults = Faults()
        self._delayed = set()

    def control(self, *args, **kwargs):
        """POST /control: merges the body into ``faults`` and returns them."""
        body = replies.read_json(self.request, MAX_BODY_BYTES)
        merged = msgspec.structs.asdict(self.faults) | body
        self.faults = msgspec.convert(merged, Faults)
        return replies.json_body(self.response, self.faults)

    def healthz(self):
        """GET /healthz: responds once the process is up."""
        return replies.json_body(self.response, {'ok': True})

    def _outage_response(self):
        """Returns a 503 response during a simulated outage, else None."""
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

    def _lose_response(self, sock):
        """Closes ``sock`` without a response if ``lose_reply`` is set.

        Returns:
            True if the connection was closed.
        """
        if self.faults.lose_reply <= 0:
            return False
        self.faults.lose_reply -= 1
        self.fire(net_events.close(sock), replies.WEB_CHANNEL)
        return True

    def _truncate_response(self, sock, obj):
        """Sends half of a response and closes if ``cut_reply`` is set.

        Returns:
            True if the response was truncated.
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
        # Fires a delayed response a second time after its delay.
        delay_s = self.faults.delay_ms / 1000.0
        if not delay_s or res in self._delayed or self._is_undelayed(res):
            self._delayed.discard(res)
            return
        event.stop()
        self._delayed.add(res)
        core.Timer(delay_s, web_events.response(res),
                   replies.WEB_CHANNEL).register(self)

    def _is_undelayed(self, res):
        return res.request.path.startswith(UNDELAYED_PATHS)


def serve(controller, addr, extra=()):
    """Builds the app of a stand-in.

    Args:
        controller: The stand-in's ``StandIn``.
        addr: ``(host, port)`` to listen on.
        extra: Further components to register.

    Returns:
        The root circuits component; ``run()`` starts it.
    """
    app = web.Server(addr, channel=replies.WEB_CHANNEL)
    pollers.EPoll().register(app)
    replies.JsonOnly().register(app)
    controller.register(app)
    for comp in extra:
        comp.register(app)
    return app
