"""What every stand-in shares: a web app, fault switches and a control route."""

import msgspec
from circuits import web
from circuits.net import events as net_events

from gorsefall import replies

MAX_BODY = 1 << 20


class Faults(msgspec.Struct, kw_only=True):
    """Fault switches a test flips with ``POST /control``.

    Attributes:
        outage: Every route but ``/control`` answers 503.
        delay_ms: Extra time before each reply, ms.
        lose_reply: The next N writes take effect, then the connection is
            closed with no reply.
        crash_after: Engines: cut each stream after this many tokens (-1 off).
        stall: Engines stop stepping; streams go silent.
        slow: Engines emit tokens only every this many steps (a straggler).
        lag_s: Load reports, cache events and VM list lag this much, s.
        drop_events: Engines: share of cache events never published, 0..1.
        check_fence: Engines and services refuse stale fencing numbers.
    """
    outage: bool = False
    delay_ms: float = 0.0
    lose_reply: int = 0
    crash_after: int = -1
    stall: bool = False
    slow: int = 1
    lag_s: float = 0.0
    drop_events: float = 0.0
    check_fence: bool = True


class StandIn(web.Controller):
    """Base controller: ``/control``, ``/healthz`` and the outage switch."""
    channel = '/'

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.faults = Faults()

    def control(self, *args, **kwargs):
        """Merges the posted JSON into the fault switches; returns them."""
        body = replies.read_json(self.request, MAX_BODY)
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
                self.response,
                {'error': {
                    'code': 'outage',
                    'message': 'stand-in outage'
                }}, 503)
        return None

    def _lose(self):
        """Closes the connection with no reply when a lost reply is due.

        The caller must still return a pushed reply (it is never sent).

        Returns:
            True when the reply was dropped.
        """
        if self.faults.lose_reply <= 0:
            return False
        self.faults.lose_reply -= 1
        self.fire(net_events.close(self.request.sock), replies.WEB_CHANNEL)
        return True


def serve(controller, addr, extra=()):
    """Builds the app of a stand-in listening on ``addr`` ``(host, port)``.

    Returns:
        The root circuits component; call ``run()`` on it.
    """
    app = web.Server(addr, channel=replies.WEB_CHANNEL)
    replies.JsonErrors().register(app)
    controller.register(app)
    for comp in extra:
        comp.register(app)
    return app
