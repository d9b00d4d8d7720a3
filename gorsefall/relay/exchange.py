"""Forwards one request byte for byte, until its caller has a response.

A request is sent to one replica at a time. A further attempt is made only
where a second run does no harm, or where no earlier replica can have run it.
"""

import time

from gorsefall import digests
from gorsefall import errors
from gorsefall import logs
from gorsefall.net import outbound
from gorsefall.policy import crashrecords
from gorsefall.policy import memoryshares
from gorsefall.policy import placement
from gorsefall.policy import retry_delay
from gorsefall.relay import accesslog
from gorsefall.relay import answerroom
from gorsefall.relay import backups
from gorsefall.relay import boundversion
from gorsefall.relay import crashes
from gorsefall.relay import delivery
from gorsefall.relay import detours
from gorsefall.relay import events
from gorsefall.relay import grant
from gorsefall.relay import memory
from gorsefall.relay import outcomes
from gorsefall.relay import responseend
from gorsefall.relay import restoring
from gorsefall.relay import sending
from gorsefall.relay import silence
from gorsefall.relay import takeover
from gorsefall import serving

INTERNAL_ERROR_STATUS = 500
TIMEOUT_STATUS = 504
"""Statuses of a replica that failed, and of one that ran out of time."""


class Exchange(serving.ActiveRequest):
    """Sends one caller request to replicas until the caller has a response.

    Attributes:
        req: The ``model.CallerRequest``.
        node: The ``node.Node`` it belongs to.
        attempt: The current ``sending.Attempt``, or None.
        silence: The ``silence.SilenceWatch`` of that attempt.
        grant: The ``grant.Grant``.
        longest_pause_s: Longest pause between events of the response, s.
        disconnect_reason: Why the caller's connection ended before the
            response, or None.
        response_end: The ``responseend.ResponseEnd``.
        causes: The ``crashrecords.PossibleCauses`` of a crash under it.
    """

    def __init__(self, node, req, writer, hold=None):
        """Creates an exchange that is not started.

        Args:
            node: See the class.
            req: See the class.
            writer: The ``responsewriter.ResponseWriter`` of the caller.
            hold: The ``memory.Hold`` of the request's body; None if it is
                small and its memory not counted yet.
        """
        super().__init__(logs.get('exchange').bind(rid=req.id))
        self.node = node
        self.req = req
        self._delivery = delivery.Delivery(
            node.codec, writer,
            lambda: node.memory.hold(self.owner, request_id=req.id))
        self._room = answerroom.AnswerRoom(self, self._delivery)
        self.attempt = None
        self.causes = crashrecords.PossibleCauses(None)
        # The service whose room it took.
        self.grant = grant.Grant(node, req, hold and hold.terms)
        self._hold = hold
        self._deadline = None
        self._deadline_timer = None
        self.longest_pause_s = 0.0
        self._detours = detours.Detours(node.paths)
        self._counted = False
        self.disconnect_reason = None
        self.response_end = responseend.ResponseEnd(self)
        self._backup = backups.KvBackup(node.prober, node.fleet,
                                        node.current_list, self.log)
        self._restorer = restoring.Restorer(self, self._backup)
        self.silence = silence.SilenceWatch(self, self._restorer)
        self._takeover = takeover.Takeover(self)
        self._version = boundversion.BoundVersion(self)

    # -- limits ----------------------------------------------------------------

    def start(self):
        """Checks the request and sends it, or responds with an error."""
        try:
            self.grant.renew()
            self._count_memory()
        except errors.GorsefallError as exc:
            self.fail(exc)
            return
        self.causes = self._possible_causes()
        self.node.crashes.record_arrival(self.causes)
        time_left_s = self.grant.route.timeout_s
        if self.req.time_left_s is not None:
            time_left_s = min(time_left_s, self.req.time_left_s)
        self._deadline = self.arrived_at + time_left_s
        self._delivery.set_time_limit(time_left_s)
        self._deadline_timer = self.node.loop.call_later(
            time_left_s, self._on_deadline)
        self.grant.record_arrival()
        self._version.find(self.dispatch)

    def _count_memory(self):
        """Counts the memory of a request before it is sent.

        Raises:
            errors.MemoryShortError: There is no room for it.
        """
        size = memory.REQUEST_BYTES
        if self.grant.streams:
            size += memory.STREAM_BYTES
        if self._hold is None:
            # Its body was read without asking.
            size += len(self.req.body)
            self._hold = self.node.memory.hold(self.owner,
                                               request_id=self.req.id)
        if not self._hold.grow(size, small=True):
            raise self._hold.refuse()

    @property
    def owner(self):
        """The ``memoryshares.Owner`` of what is held for it."""
        account = self.grant.account
        return memoryshares.Owner(self.grant.service,
                                  account.name if account else None)

    def _possible_causes(self):
        """Returns its ``crashrecords.PossibleCauses`` at its service."""
        key = self.node.cfg.digest_key.encode()
        account = self.grant.account
        request = self.causes.request or digests.request_digest(
            key, account.name if account else '', self.req.target,
            self.req.body_digest)
        shared = self.req.prompt.shared if self.req.prompt is not None else ()
        parts = dict.fromkeys(
            digests.part_digest(key, self.grant.service, part.name)
            for part in shared[:crashrecords.MAX_PARTS_PER_REQUEST])
        return crashrecords.PossibleCauses(request, tuple(parts))

    @property
    def terms(self):
        """See ``serving.ActiveRequest``."""
        return self.grant.retry_terms

    @property
    def budget(self):
        """The ``budget.Budget`` for its retries."""
        return self.node.retry_budget(self.grant.service)

    def start_latency(self):
        """Returns its service's ``attempt_timeouts.StartLatency``."""
        return self.node.start_latency(self.grant.service,
                                       self.grant.route.kind)

    def _speed(self):
        """Returns the ``pace.ServiceSpeed`` of its service's replicas."""
        return self.node.work.service_state(self.grant.service).speed

    def time_left_s(self):
        """Returns the time until its deadline, s."""
        return self._deadline - time.monotonic()

    def claim_retry(self):
        """See ``serving.ActiveRequest``."""
        return (bool(
            self.node.fleet.candidates(self.grant.service, self.unfit())) and
                self.budget.acquire(time.monotonic()))

    def unfit(self):
        """Returns the ids of replicas that may not get the request, a set.

        They are those that it was sent to, and those of other software
        versions than the one that began its stream.
        """
        return self.attempts.tried | self._version.unfit()

    @property
    def bound(self):
        """Whether only the service that the response began at can go on."""
        return self._version.bound

    # -- sending ---------------------------------------------------------------

    def dispatch(self):
        """See ``serving.ActiveRequest``."""
        # An attempt that was set aside may have gone on while this call waited
        # for another run of the same request.
        if self.attempt is None:
            super().dispatch()

    def send_next(self):
        """See ``serving.ActiveRequest``."""
        if self.attempts.tried:
            # Checked again before each further attempt, because the key may
            # have been revoked or the route changed in the meantime.
            self.grant.renew(begun=self.bound)
            if self.attempts.forbids_rerun(self.terms):
                raise self.attempts.outcome_unknown_error(
                    'its route does not allow another run any more')
        if not self.node.current_list.admit(self.dispatch, self.log):
            return
        if not self._version.admit(self.dispatch):
            return
        self.causes = self._possible_causes()
        if not self.node.crashes.try_begin_run(self.causes, self):
            self.log.info('parked',
                          digest=digests.abbreviate(self.causes.request))
            return
        choice = self._detours.take(
            self.node.fleet.replicas) or self.grant.choose_replica(
                self.unfit(),
                # A caller that has half a stream waits rather than lose it.
                may_shed=not (self.attempts.replicas or self._version.bound),
                least_loaded=self.node.crashes.must_serialize(self.causes))
        if choice is None or self._detours.is_in_vain(choice):
            self.node.announcements.brittle.record_unserved(self.grant.service)
            raise errors.NoReplicaError(
                f'no replica of {self.grant.service}'
                f'{self._version.described()} is left '
                f'({self.node.fleet.describe_refusals(self.grant.service)}); '
                f'{self._detours.unreached} not reached',
                retry_after=self._retry_after_s())
        self._send(self.node.fleet.replicas[choice.target.name], choice)

    def _retry_after_s(self):
        """Returns the delay after which a caller should retry, s."""
        return (self.node.fleet.accepts_in_s(self.grant.service) +
                retry_delay.short_delay_s())

    def _send(self, replica, choice, *, from_backup=False):
        now = time.monotonic()
        if not self.attempts.made:
            self.budget.record_first_attempt(now)
            self.node.duties.record_demand(self.grant.service,
                                           choice.prefill_tokens)
        self.attempts.record_sent(replica.record.id)
        replica.acceptance.record_sent(now)
        options = self.grant.attempt_options(
            replica.record,
            time_left_s=self.time_left_s(),
            backup=None if from_backup else self._choose_backup_holder(replica),
            from_backup=from_backup,
            resume_after=self._delivery.last_event_id,
            source=choice.fetch_source)
        if self.req.prompt is not None:
            self.node.work.record_prompt(replica, self.req.prompt.shared)
        self.attempt = sending.Attempt(
            self,
            replica,
            options,
            choice,
            decode_heavy=self.grant.profile.decode_heavy)
        # A silent attempt is only let go of for a replica that is reached.
        self.attempt.conn = self.node.paths.send(replica,
                                                 self.attempt,
                                                 fresh=self._takeover.active)
        self.attempt.log_sent(self.grant.service, len(self.attempts.replicas))
        self.silence.await_response()

    def on_request_sent(self, attempt):
        """Called when the request was sent on the connection of an attempt."""
        if not self._takeover.keeps(attempt):
            self._takeover.record_sent()

    def _choose_backup_holder(self, replica):
        """Returns the address for the KV backup of the run, or None."""
        if not self.grant.needs_backup:
            return None
        others = self.node.fleet.candidates(
            self.grant.service,
            {replica.record.id} | self.node.fleet.with_other_software(
                self.grant.service, replica.record.software))
        return self._backup.choose_holder(others, self.req.id)

    def _record_run(self):
        """Counts the request for its client account, once."""
        account = self.grant.account
        if account is not None and not self._counted:
            self._counted = True
            self.node.duties.record_run(account.name)

    def record_abandoned(self, attempt):
        """Records how long an attempt has waited for a response in vain."""
        self.start_latency().record_abandoned(attempt.replica.record.id,
                                              attempt.sent_at, time.monotonic())

    # -- silent attempts -------------------------------------------------------

    def begin_takeover(self):
        """Keeps the current attempt until another replica takes the request."""
        attempt, self.attempt = self.attempt, None
        self.silence.stop()
        self.node.unread_streams.discard(self)
        self._takeover.begin(
            takeover.KeptAttempt(attempt, self.grant.terms,
                                 self._delivery.detach(), self._backup.holder))

    def go_on_with(self, kept):
        """Goes on with an attempt that was set aside, instead of another one.

        Args:
            kept: The ``takeover.KeptAttempt``.
        """
        if self.attempt is not None:
            if not self.attempt.conn.cancel():
                self.attempts.record_unreached(self.attempt.name)
            self._close_attempt(self.attempt)
        self.attempt = kept.attempt
        self.grant.terms = kept.terms
        self._delivery.reattach(kept.part)
        self._backup.holder = kept.backup_holder
        if self.attempt.paused:
            # The caller may have caught up while the attempt was set aside.
            self.attempt.resume()
        self.silence.await_response()

    def fail(self, exc):
        """See ``serving.ActiveRequest``."""
        if not self._takeover.resume(exc):
            super().fail(exc)

    # -- responses of replicas -------------------------------------------------

    def on_response_head(self, attempt, response, length):
        """Called with the head of a response.

        Args:
            attempt: The ``sending.Attempt``.
            response: The ``model.Response``.
            length: The announced length of its body, bytes; 0 if none is.
        """
        if self._takeover.keeps(attempt) and not response.usable:
            self._takeover.on_error_response(response)
            return
        self._takeover.on_progress(attempt,
                                   accepted=self.grant.streams and
                                   response.usable)
        if not response.not_run and not self.grant.streams:
            self._record_run()
        self._delivery.begin(response, streams=self.grant.streams)
        if not self._delivery.streaming:
            self._room.reserve(attempt, length)

    def on_no_room(self):
        """Called when no room was found for the response in time."""
        self._cancel_attempts()
        self.fail(
            self.attempts.outcome_unknown_error(
                'no memory is free for its answer'))

    def on_response_data(self, attempt, data):
        """Called with a piece of a response's body."""
        self._takeover.on_progress(attempt)
        if self.first_byte_at is None:
            self.first_byte_at = time.monotonic()
        if not attempt.response_started:
            attempt.first_byte_at = time.monotonic()
            self.start_latency().record(attempt.first_byte_at - attempt.sent_at)
            attempt.record_response_start(self._speed())
            if attempt.usable:
                self.node.crashes.record_begun_run(attempt, self.causes, self)
            if self.grant.streams:
                self._record_run()
        attempt.prefill_done()
        attempt.last_data_at = time.monotonic()
        if self._delivery.streaming:
            self._forward(attempt, self._delivery.split_events(data))
            if self._delivery.overflows:
                self.give_up(attempt, f'event over {events.MAX_EVENT_BYTES}')
        elif self._room.add(attempt, data):
            # Each piece restarts the timer: a limit on the whole response
            # would abort a long one and run the request again.
            self.silence.await_response()

    def give_up(self, attempt, reason):
        """Ends an attempt whose response has too many bytes."""
        attempt.conn.cancel()
        self.on_attempt_failed(attempt,
                               outbound.Failure(True, f'{reason} bytes'))

    def _forward(self, attempt, data):
        if not data:
            return
        attempt.record_events(self._delivery.event_count)
        self._version.record_event(attempt)
        self.silence.await_event()
        if not self._delivery.forward(data):
            # Nothing is read from the replica now, so its silence means
            # nothing.
            self.silence.stop()
            attempt.pause()
            self.node.unread_streams.add(self)

    def on_caller_drained(self):
        """Called when all bytes for the caller were sent."""
        if (self.attempt is not None and self.attempt.paused and
                self._delivery.streaming):
            self.node.unread_streams.discard(self)
            self.attempt.resume()
            self.silence.await_event()

    def on_response_end(self, attempt, response):
        """Called when the message of a response is complete."""
        part = (self._takeover.kept_part
                if self._takeover.keeps(attempt) else self._delivery.part)
        failure = self.response_end.find_break(attempt, part)
        if failure is not None:
            self.on_attempt_failed(attempt, failure)
            return
        self._takeover.on_progress(attempt, accepted=response.usable)
        self.response_end.confirm(attempt, response)

    def on_whole_response(self, attempt, response):
        """Called when nothing more of a response is to come."""
        attempt.whole = True
        self._close_attempt(attempt)
        if response.not_run:
            self._on_refused(attempt, response)
            return
        view = attempt.replica.view
        view.record_success()
        attempt.replica.record_alive(time.monotonic())
        self.node.crashes.record_completed_run(self.causes.request)
        attempt.record_duration(self._speed())
        self.node.work.record_response(
            attempt.replica, response.status < INTERNAL_ERROR_STATUS or
            response.status == TIMEOUT_STATUS)
        if not response.genuine and response.status < INTERNAL_ERROR_STATUS:
            # Also a denial: the caller would not retry after it.
            view.record_failure(time.monotonic(), attempt.sent_at)
            self.retry_or_fail_unknown('its answer is not its own')
        elif self._delivery.streaming:
            self._delivery.end()
            self._version.record_served()
            self.close(outcomes.Outcome.SERVED)
        elif self._delivery.resuming or self._takeover.active:
            self.retry_or_fail_unknown(f'resuming gave {response.status}')
        elif response.status != INTERNAL_ERROR_STATUS or not self.retry(
                f'status {INTERNAL_ERROR_STATUS}'):
            # If no other replica can be tried, the error response of this
            # one is the best that the caller can get, so it is forwarded.
            self._delivery.send_buffered(response)
            self.close(outcomes.Outcome.SERVED if response.
                       success else outcomes.Outcome.REPLICA_FAILED)

    def _on_refused(self, attempt, response):
        self.attempts.record_refusal(attempt.name)
        if response.misdirected:
            self.node.fleet.drop_replaced(attempt.replica.record.id)
        self.log.info('not_run',
                      replica=attempt.replica.record.id,
                      status=response.status,
                      pause_s=response.pause_s,
                      load=response.load)
        self.retry_or_fail(
            errors.ReplicaRefusedError(
                f'the replica refused it ({response.status})',
                retry_after=self._retry_after_s()), 'not run')

    def on_attempt_failed(self, attempt, failure):
        """Called when an attempt ended without a complete response."""
        now = time.monotonic()
        attempt.failure = failure
        if self._takeover.keeps(attempt):
            self._takeover.on_failed(failure)
            return
        self._close_attempt(attempt)
        untried = (failure.fault is outbound.Fault.WITHHELD or
                   self._detours.plan(attempt, failure))
        if not untried and not (failure.sent and
                                failure.fault is outbound.Fault.FORWARDER):
            attempt.replica.view.record_failure(now, attempt.sent_at)
        attempt.log_failed(failure.reason, sent=failure.sent)
        lost = failure.fault is outbound.Fault.LOST
        if lost and self.start_latency().covers(now - attempt.sent_at):
            # A response that was lost on its way: the replica ran it.
            self._record_run()
        if not failure.sent:
            if untried:
                self.attempts.record_untried(attempt.name)
            else:
                self.attempts.record_unreached(attempt.name)
            self.restart()
        elif lost:
            self.node.crashes.handle_broken_run(
                attempt.replica, self.broken_run(attempt),
                lambda: self._handle_failure(attempt, failure.reason))
        else:
            self._handle_failure(attempt, failure.reason)

    def broken_run(self, attempt):
        """Returns the ``crashes.BrokenRun`` of an attempt."""
        return crashes.BrokenRun(self.causes,
                                 attempt.sent_at,
                                 attempt.first_byte_at,
                                 after_broken_run=len(self.attempts.replicas)
                                 > 1)

    def _handle_failure(self, attempt, reason):
        if self.done or self.attempt is not None:
            return
        if self.node.crashes.must_serialize(self.causes):
            self.fail(self.attempts.outcome_unknown_error(reason))
        elif self._restorer.possible:
            self._restorer.probe(attempt)
        else:
            self.retry_or_fail_unknown(reason)

    def retry_or_fail_unknown(self, reason):
        """Sends the request again, or fails it as one that may have run."""
        self.retry_or_fail(self.attempts.outcome_unknown_error(reason), reason)

    def discard_response(self):
        """See ``serving.ActiveRequest``."""
        self._delivery.discard()

    def send_from_backup(self, replica):
        """Continues the run at the replica that has its KV backup.

        Raises:
            errors.GorsefallError: It must not be sent now.
        """
        self.grant.renew(begun=True)
        if not self.node.crashes.try_begin_run(self.causes, self):
            raise self.attempts.outcome_unknown_error(
                'another run of it is under way')
        self._send(replica, placement.Choice(replica.view), from_backup=True)

    @property
    def response_begun(self):
        """Whether the caller has received part of a response."""
        return self._delivery.started

    # -- endings ---------------------------------------------------------------

    def on_caller_disconnected(self, reason):
        """Called when the caller disconnected; cancels the attempt."""
        self.disconnect_reason = reason
        self._cancel_attempts()
        self.close(outcomes.Outcome.CALLER_LEFT)

    def on_caller_lost(self, reason):
        """Called when the connection failed, and the caller had not left."""
        self.disconnect_reason = reason
        self._cancel_attempts()
        self.close(
            outcomes.Outcome.CALLER_LOST,
            errors.CallerLostError(f'connection to the caller: {reason}'))

    def yield_to_others(self, shortage):
        """Breaks off the response, as its caller does not read.

        Args:
            shortage: The ``callerwaits.Shortage``.
        """
        self._cancel_attempts()
        self._delivery.abort()
        self.close(outcomes.Outcome.CALLER_YIELDED,
                   errors.CallerYieldedError(f'others need {shortage.value}'))

    def _on_deadline(self):
        self._cancel_attempts()
        if self.attempts.in_doubt:
            self.fail(errors.TimedOutError('no whole answer in time'))
        else:
            self.fail(
                errors.DeadlineError('could not be sent in time',
                                     retry_after=retry_delay.short_delay_s()))

    def abort(self):
        """Ends the exchange because the process exits."""
        self._cancel_attempts()
        exc = errors.DrainingError('the entry is shutting down')
        self.fail(self.attempts.reportable_error(exc, str(exc), self.terms))

    def withdraw_if_blocked(self):
        """Ends the exchange if its replica would crash and has not begun."""
        attempt = self.attempt
        if (self.done or attempt is None or attempt.response_started or
                self.response_begun):
            return
        try:
            self.node.crashes.check(self.causes)
        except errors.PoisonRequestError as exc:
            self._cancel_attempts()
            self.fail(self.attempts.reportable_error(exc, str(exc), self.terms))
        except errors.SuspectedPartError as exc:
            # Too many requests share the part to break off what may be sound.
            self.log.info('not_withdrawn', replica=attempt.name, error=str(exc))

    def _cancel_attempts(self):
        self._takeover.cancel()
        attempt = self.attempt
        if attempt is not None:
            if not attempt.conn.cancel():
                self.attempts.record_withdrawal(attempt.name)
            self._close_attempt(attempt)

    def _close_attempt(self, attempt):
        self.release(attempt)
        self.attempt = None
        self._room.cancel()
        self.node.unread_streams.discard(self)
        self.silence.stop()
        self._takeover.record_end()

    def release(self, attempt):
        """Ends the bookkeeping of an attempt whose connection is closed."""
        attempt.released = True
        attempt.occupancy.close()
        self.longest_pause_s = max(self.longest_pause_s,
                                   attempt.longest_pause_s)

    def send_error(self, exc):
        """See ``serving.ActiveRequest``."""
        if self._delivery.started:
            self._delivery.abort()
            return outcomes.Outcome.BROKEN
        self._delivery.send_error(*outcomes.error_response(exc))
        return outcomes.outcome_of(exc)

    def record_end(self, outcome, exc):
        """See ``serving.ActiveRequest``."""
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self._backup.cancel_probe()
        if self._hold is not None:
            self._hold.release()
        self._delivery.release()
        self.node.crashes.end_run(self)
        accesslog.record(self, outcome, exc)
        self.node.remove_exchange(self)

    @property
    def last_event(self):
        """Id of the last event forwarded, str; None before the first."""
        last_id = self._delivery.last_event_id
        return None if last_id is None else last_id.decode('latin-1')
