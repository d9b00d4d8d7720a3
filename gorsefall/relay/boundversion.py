"""Binds the stream of one exchange to the software version that began it."""

import time

from gorsefall import errors
from gorsefall.policy import retry_delay
from gorsefall.policy import softwareversions
from gorsefall.relay import missingrecords

REFRESH_S = 10.0
"""Time after which others are told again of a stream that goes on, s: they
forget it in three times as long."""


class BoundVersion:
    """The software version that began the stream of one exchange.

    Attributes:
        software: Version of the replica that began it; None before its first
            event.
    """

    def __init__(self, exchange):
        """Creates the state of a stream without events.

        Args:
            exchange: The ``exchange.Exchange``.
        """
        self._exchange = exchange
        self._replica = None
        self._digest = None
        self._recorded_at = float('-inf')
        self.software = None

    @property
    def bound(self):
        """Whether the stream has begun, in this response or an earlier one."""
        return self.software is not None

    def find(self, done):
        """Finds out where a stream began that the request takes up.

        Fails the exchange if the stream may go on nowhere.

        Args:
            done: Called when the request may be sent; at once if it takes up
                no stream.
        """
        exchange = self._exchange
        named = exchange.req.began_as
        if not self._takes_stream_up():
            done()
            return
        if named is not None:
            self._digest = self._digest_of(named)
        began = time.monotonic()

        def on_decided(decision, answers):
            if exchange.done:
                return
            if decision.origin is not None:
                exchange.grant.bind_service(decision.origin.service)
                self.software = decision.origin.software
            exchange.log.info('stream_taken_up',
                              began_as=named,
                              software=self.software,
                              reason=decision.reason.value,
                              answers=answers,
                              entry_age_s=exchange.node.streams.age_s,
                              ms=round((time.monotonic() - began) * 1000, 1))
            if decision.origin is not None:
                done()
                return
            exchange.fail(
                errors.StreamOriginError(
                    'it is not known at which software version the stream '
                    f'began ({decision.reason.value}); begin anew',
                    retry_after=retry_delay.short_delay_s()))

        route = exchange.grant.route
        exchange.node.streams.look_up(self._digest,
                                      route.service_names,
                                      on_decided,
                                      route=route.key)

    def _takes_stream_up(self):
        """Whether an earlier response has brought part of the stream."""
        grant, req = self._exchange.grant, self._exchange.req
        return (grant.streams and grant.route.resumable and
                (req.began_as is not None or req.last_event_id is not None))

    def record_event(self, attempt):
        """Records that the caller gets events of an attempt."""
        now = time.monotonic()
        if now - self._recorded_at < REFRESH_S:
            return
        self._recorded_at = now
        exchange = self._exchange
        if self._replica is None:
            self._replica = attempt.replica
        if self.software is None:
            self.software = self._replica.record.software
        if self._digest is None:
            self._digest = self._digest_of(exchange.req.id)
        grant = exchange.grant
        if grant.route.resumable and not self._is_doubtful():
            origin = softwareversions.Origin(grant.service, self.software)
            exchange.node.streams.record_begun(self._digest,
                                               origin,
                                               grant.route.service_names,
                                               route=grant.route.key)

    def record_served(self):
        """Records that the caller has the whole stream."""
        if self._digest is not None:
            self._exchange.node.streams.record_served(self._digest)

    def unfit(self):
        """Returns the ids of replicas of other versions, a set."""
        if self.software is None:
            return self._unrecorded()
        fleet, service = self._exchange.node.fleet, self._exchange.grant.service
        if self._is_doubtful():
            return {r.record.id for r in fleet.of_service(service)}
        return fleet.with_other_software(service, self.software)

    def admit(self, retry):
        """Returns whether the request may be sent now.

        A stream does not begin before its version and its route are stored:
        nobody would know of them if all entries were gone.

        Args:
            retry: Called later if not.
        """
        exchange = self._exchange
        grant = exchange.grant
        if self.bound or not (grant.streams and grant.route.resumable):
            return True
        versions = exchange.node.streams.unrecorded(grant.service)
        if self._unrecorded():
            # Replicas of other versions take it.
            versions = ()
        beginning = missingrecords.Beginning(grant.service, frozenset(versions),
                                             grant.route.key)
        if exchange.node.streams.admit(beginning, retry):
            return True
        exchange.log.info('awaits_record', versions=sorted(versions))
        return False

    def _unrecorded(self):
        """Returns the ids of replicas at which its stream must not begin yet.

        Their version is not stored yet. If no other replica takes requests, it
        begins there once it is, or if the store does not answer.
        """
        grant, node = self._exchange.grant, self._exchange.node
        if not (grant.streams and grant.route.resumable):
            return set()
        unrecorded = node.streams.unrecorded(grant.service)
        if not unrecorded:
            return set()
        found = {
            r.record.id
            for r in node.fleet.of_service(grant.service)
            if r.record.software in unrecorded
        }
        return found if node.fleet.candidates(grant.service, found) else set()

    def _is_doubtful(self):
        """Whether another version runs under the id of the first replica.

        Its record may have come after the replica had restarted, so that
        either version may have begun the stream.
        """
        first = self._replica
        if first is None:
            return False
        now = self._exchange.node.fleet.replicas.get(first.record.id, first)
        return now.record.software != first.record.software

    def described(self):
        """Returns which version is needed, for error messages."""
        return '' if self.software is None else f' with {self.software!r}'

    def _digest_of(self, request_id):
        grant = self._exchange.grant
        return self._exchange.node.streams.digest(
            grant.account.name if grant.account else '', request_id)
