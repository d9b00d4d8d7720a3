"""One attempt: a request sent to one replica."""

import contextlib
import time

from gorsefall import digests
from gorsefall.net import headers
from gorsefall.net import outbound
from gorsefall.policy import stalls


def _announced_bytes(method, status, fields):
    """Returns the announced length of a response's body, 0 if none is.

    Args:
        method: Method of its request, bytes.
        status: Its status.
        fields: Its ``headers.Headers``.
    """
    if method == b'HEAD' or status in headers.STATUSES_WITHOUT_BODY:
        # It tells the length that the body of another response would have.
        return 0
    return int(fields.by_name.get(b'content-length', b'0'))


class Attempt(outbound.Call):
    """Sends the request of an exchange to one replica.

    Attributes:
        replica: The ``replicas.Replica``.
        sent_at: When the request was sent, s (monotonic).
        first_byte_at: When the first body bytes of the response arrived, s;
            None before.
        choice: The ``placement.Choice`` of the replica.
        request_id: The caller's id of the request.
        last_data_at: When the last body bytes arrived, s; ``sent_at`` before.
        conn: The connection in use; has ``cancel``, ``pause``, ``resume``,
            ``sent``, whether the replica may have part of the request, and
            ``via``, the host of an entry that forwards the request or None.
        paused: Whether reading is paused as the caller is slow.
        failure: Its ``outbound.Failure``; None unless it has failed.
        usable: Whether the head of a response shows that the replica serves the
            request.
        whole: Whether its response came to its end.
        released: Whether its connection is closed, or used by another request.
        occupancy: Counts the request as in flight at the replica until closed.
        prefill_done: Call it when the response starts: the prompt tokens
            no longer wait for prefill.
    """

    def __init__(self, exchange, replica, options, choice, *, decode_heavy):
        req = exchange.req
        fields = exchange.node.codec.encode_request(req, options)
        super().__init__(req.method,
                         req.target,
                         fields,
                         req.body,
                         time_limit_s=options.time_left_s)
        self._exchange = exchange
        self._priority = options.priority
        self._response = None
        self.replica = replica
        self.sent_at = time.monotonic()
        self.first_byte_at = None
        self.last_data_at = self.sent_at
        self._stream_monitor = stalls.StreamMonitor(replica.view)
        self.conn = None
        self.paused = False
        self.failure = None
        self.usable = self.whole = self.released = False
        self.request_id = req.id
        self.choice = choice
        self.occupancy = contextlib.ExitStack()
        self.prefill_done = self.occupancy.enter_context(
            replica.in_flight(choice.prefill_tokens, decode_heavy=decode_heavy))

    @property
    def name(self):
        """Name of its replica."""
        return self.replica.record.id

    @property
    def response_started(self):
        """Whether the first bytes of the response body have arrived."""
        return self.first_byte_at is not None

    @property
    def went_on(self):
        """Whether its run goes on, or has come to its end."""
        return self.failure is None and (self.whole or not self.released)

    def silent_s(self):
        """Returns the time without a byte of the response, s."""
        return 0.0 if self.paused else time.monotonic() - self.last_data_at

    def log_sent(self, service, number):
        """Logs attempt ``number`` and the data its replica was chosen by."""
        choice, view, node = (self.choice, self.replica.view,
                              self._exchange.node)
        terms = self._exchange.terms
        self._exchange.log.info(
            'sent',
            digest=digests.abbreviate(self._exchange.causes.request),
            parts=digests.abbreviate_all(self._exchange.causes.parts),
            replica=self.replica.record.id,
            service=service,
            software=self.replica.record.software,
            began_as=self._exchange.req.began_as,
            attempt=number,
            priority=self._priority,
            outstanding=view.outstanding,
            others=view.others_requests,
            queue_ms=round(choice.queue_ms, 1),
            tokens=choice.prefill_tokens,
            ahead=round(choice.prefill_tokens_ahead),
            source=choice.fetch_source.name if choice.fetch_source else None,
            limit_per_s=self.replica.limit.per_s,
            via=self.conn.via,
            repeatable=terms.repeatable,
            max_attempts=terms.max_attempts,
            version=node.table.version,
            proof_age_s=node.confirmation.logged_age_s(),
            replicas_age_s=node.fleet.confirmation.logged_age_s(),
            told_by=node.told_by,
            lapsed=self.replica.record_lapsed)

    def record_response_start(self, speed):
        """Updates a ``pace.ServiceSpeed`` with the time until the response."""
        speed.record_start(
            (time.monotonic() - self.sent_at) * 1000,
            self.choice.prefill_tokens_ahead + self.choice.prefill_tokens,
            self.choice.slowness)

    def record_duration(self, speed):
        """Updates a ``pace.ServiceSpeed`` with the duration of the run."""
        speed.residence.record((time.monotonic() - self.sent_at) * 1000)

    def record_events(self, count):
        """Records that ``count`` events arrived together."""
        self._stream_monitor.record_events(count, time.monotonic())

    @property
    def longest_pause_s(self):
        """Longest pause between events of the stream, s."""
        return self._stream_monitor.longest_pause_s

    def pause(self):
        """Stops reading until the caller has received the data so far."""
        self._stream_monitor.record_pause()
        self.paused = True
        self.conn.pause()

    def resume(self):
        """Resumes reading after ``pause``."""
        self.paused = False
        self.conn.resume()

    def log_failed(self, reason, *, sent=True):
        """Logs that it ended without a complete response.

        Args:
            reason: What happened.
            sent: Whether the replica may have part of the request.
        """
        self._exchange.log.info('attempt_failed',
                                replica=self.replica.record.id,
                                reason=reason,
                                sent=sent,
                                via=self.conn.via,
                                after_ms=round(
                                    (time.monotonic() - self.sent_at) * 1000,
                                    1))

    def may_be_sent(self):
        """See ``outbound.Call``."""
        node = self._exchange.node
        usable = node.current_list.is_usable()
        listed = node.fleet.is_listed(self.replica)
        if not (usable and listed):
            self._exchange.log.info(
                'withheld',
                replica=self.replica.record.id,
                listed=listed,
                replicas_age_s=node.fleet.confirmation.logged_age_s())
        return usable and listed

    def on_sent(self):
        """See ``outbound.Call``."""
        self._exchange.on_request_sent(self)

    def matches_response(self, status, fields):
        """See ``outbound.Call``."""
        self._response = self._exchange.node.codec.decode_response(
            status, fields)
        return self._response.request_id in (None, self._exchange.req.id)

    def on_interim(self, status, fields):
        """See ``outbound.Call``."""
        node = self._exchange.node
        if node.codec.decode_response(status, fields).leaving:
            node.announcements.record_leaving(self.replica)

    def on_head(self, status, fields):
        """See ``outbound.Call``; ``matches_response`` has decoded it."""
        load = self._response.load
        if load is not None:
            self._exchange.node.record_load(self.replica, load)
        self._exchange.node.announcements.record_response(
            self.replica, self._response, self.sent_at)
        self.usable = self._response.usable
        self._exchange.on_response_head(
            self, self._response, _announced_bytes(self.method, status, fields))

    def on_data(self, data):
        """See ``outbound.Call``."""
        self._exchange.on_response_data(self, data)

    def on_end(self):
        """See ``outbound.Call``."""
        self._exchange.on_response_end(self, self._response)

    def on_fail(self, failure):
        """See ``outbound.Call``."""
        self._exchange.on_attempt_failed(self, failure)
