"""Forwards one request byte for byte, until its caller has a response.

A request is sent to one replica at a time. A further attempt is made only
where a second run does no harm, or where no earlier replica can have run it.
"""

import time

from gorsefall import digests
from gorsefall import errors
from gorsefall import logs
from gorsefall import serving
from gorsefall.net import outbound
from gorsefall.policy import attempt_timeouts
from gorsefall.policy import attempts
from gorsefall.policy import placement
from gorsefall.policy import retry_delay
from gorsefall.policy import takeover as takeover_policy
from gorsefall.relay import accesslog
from gorsefall.relay import backups
from gorsefall.relay import crashes
from gorsefall.relay import delivery
from gorsefall.relay import detours
from gorsefall.relay import grant
from gorsefall.relay import outcomes
from gorsefall.relay import sending
from gorsefall.relay import takeover

INTERNAL_ERROR_STATUS = 500
TIMEOUT_STATUS = 504
"""Statuses of a replica that failed, and of one that ran out of time."""


class Exchange(serving.ActiveRequest):
    """Sends one caller request to replicas until the caller has a response.

    Attributes:
        req: The ``model.CallerRequest``.
        node: The ``node.Node`` it belongs to.
        digest: The ``ids.RequestDigest`` that identifies other attempts of
            the same request; None until the account is known.
    """

    def __init__(self, node, req, writer):
        super().__init__(logs.get('exchange').bind(rid=req.id))
        self.node = node
        self.req = req
        self._delivery = delivery.Delivery(node.codec, writer)
        self._attempt = None
        self.digest = None
        self._grant = grant.Grant(node, req)
        self._deadline = None
        self._deadline_timer = None
        self._attempt_timer = None
        self._longest_pause_s = 0.0
        self._detours = detours.Detours(node.paths)
        self._counted = False
        self._disconnect_reason = None
        self._backup = backups.KvBackup(node.prober, node.fleet)
        self._takeover = takeover.Takeover(node.loop, self._on_overlap_ended)

    # -- limits ----------------------------------------------------------------

    def start(self):
        """Checks the request and sends it, or responds with an error."""
        try:
            self._grant.renew()
        except errors.GorsefallError as exc:
            self.fail(exc)
            return
        account = self._grant.account
        self.digest = digests.request_digest(self.node.cfg.digest_key.encode(),
                                             account.name if account else '',
                                             self.req.target,
                                             self.req.body_digest)
        time_left_s = self._grant.route.timeout_s
        if self.req.time_left_s is not None:
            time_left_s = min(time_left_s, self.req.time_left_s)
        self._deadline = self.arrived_at + time_left_s
        self._delivery.set_time_limit(time_left_s)
        self._deadline_timer = self.node.loop.call_later(
            time_left_s, self._on_deadline)
        self._grant.record_arrival()
        self.dispatch()

    @property
    def terms(self):
        """See ``serving.ActiveRequest``."""
        return attempts.RetryTerms(repeatable=not self._grant.non_repeatable,
                                   max_attempts=self._grant.route.max_attempts)

    def _budget(self):
        """Returns the ``budget.Budget`` for its retries."""
        return self.node.retry_budget(self._grant.service)

    def _start_latency(self):
        """Returns its service's ``attempt_timeouts.StartLatency``."""
        return self.node.start_latency(self._grant.service,
                                       self._grant.route.kind)

    def _speed(self):
        """Returns the ``pace.ServiceSpeed`` of its service's replicas."""
        return self.node.work.service_state(self._grant.service).speed

    def _time_left(self):
        return self._deadline - time.monotonic()

    def claim_retry(self):
        """See ``serving.ActiveRequest``."""
        return (bool(
            self.node.fleet.candidates(self._grant.service,
                                       self.attempts.tried)) and
                self._budget().acquire(time.monotonic()))

    # -- sending ---------------------------------------------------------------

    def dispatch(self):
        """See ``serving.ActiveRequest``."""
        # An attempt that was put aside may have gone on while this call waited
        # for another run of the same request.
        if self._attempt is None:
            super().dispatch()

    def send_next(self):
        """See ``serving.ActiveRequest``."""
        if self.attempts.tried:
            # Checked again before each further attempt, because the key may
            # have been revoked or the route changed in the meantime.
            self._grant.renew(begun=self._delivery.started)
            if self.attempts.forbids_rerun(self.terms):
                raise self.attempts.outcome_unknown_error(
                    'its route does not allow another run any more')
        if not self.node.crashes.try_begin_run(self.digest, self):
            return
        choice = self._detours.take(
            self.node.fleet.replicas) or self._grant.choose_replica(
                self.attempts.tried,
                may_shed=not self.attempts.replicas,
                least_loaded=self.node.crashes.suspects.must_serialize(
                    self.digest))
        if choice is None or self._detours.is_in_vain(choice):
            raise errors.NoReplicaError(
                f'no replica of {self._grant.service} is left '
                f'({self.node.fleet.describe_refusals(self._grant.service)}); '
                f'{self._detours.unreached} not reached',
                retry_after=self._retry_after_s())
        self._send(self.node.fleet.replicas[choice.target.name], choice)

    def _retry_after_s(self):
        """Returns the delay after which a caller should retry, s."""
        return (self.node.fleet.accepts_in_s(self._grant.service) +
                retry_delay.short_delay_s())

    def _send(self, replica, choice, *, from_backup=False):
        now = time.monotonic()
        if not self.attempts.made:
            self._budget().record_first_attempt(now)
            self.node.duties.record_demand(self._grant.service,
                                           choice.prefill_tokens)
        self.attempts.record_sent(replica.record.id)
        replica.acceptance.record_sent(now)
        options = self._grant.attempt_options(
            replica.record,
            time_left_s=self._time_left(),
            backup=None if from_backup else self._choose_backup_holder(replica),
            from_backup=from_backup,
            resume_after=self._delivery.last_event_id,
            source=choice.fetch_source)
        if self.req.prompt is not None:
            self.node.work.record_prompt(replica, self.req.prompt.shared)
        self._attempt = sending.Attempt(
            self,
            replica,
            options,
            choice,
            decode_heavy=self._grant.profile.decode_heavy)
        # A silent attempt is only let go of for a replica that is reached.
        self._attempt.conn = self.node.paths.send(replica,
                                                  self._attempt,
                                                  fresh=self._takeover.kept
                                                  is not None)
        self._attempt.log_sent(self._grant.service, len(self.attempts.replicas))
        self._start_attempt_timer()

    def on_request_sent(self, attempt):
        """Called when the request was sent on the connection of an attempt."""
        if not self._takeover.keeps(attempt):
            self._takeover.record_sent()

    def _choose_backup_holder(self, replica):
        """Returns the address for the KV backup of the run, or None."""
        if not self._grant.needs_backup:
            return None
        others = self.node.fleet.candidates(self._grant.service,
                                            {replica.record.id})
        return self._backup.choose_holder(others, self.req.id)

    def _start_attempt_timer(self):
        if self.attempts.may_run_concurrently(self.terms):
            self._set_attempt_timer(
                attempt_timeouts.attempt_s(self._start_latency(),
                                           self._time_left(),
                                           streams=self._grant.streams))

    def _start_gap_timer(self):
        if self._can_restore():
            self._set_attempt_timer(attempt_timeouts.BACKUP_GAP_S)
        elif self.attempts.may_run_concurrently(self.terms):
            self._set_attempt_timer(attempt_timeouts.STREAM_GAP_S)

    def _set_attempt_timer(self, wait_s):
        self._stop_attempt_timer()
        self._attempt_timer = self.node.loop.call_later(
            wait_s, self._on_attempt_timeout)

    def _stop_attempt_timer(self):
        if self._attempt_timer is not None:
            self._attempt_timer.cancel()

    def _on_attempt_timeout(self):
        # A replica that hangs, or a connection dropped without a reset by
        # something on the path, shows no error. Trying another replica while
        # there is time serves the caller; the retry budget keeps this from
        # doubling the load when all replicas are slow.
        attempt = self._attempt
        if attempt is None:
            return
        if self._can_restore():
            self._probe_replica(attempt)
        elif not self._can_try_another():
            # A run that the replica preempted for more urgent work is silent
            # too, and continues later. Giving up here would lose its response.
            self._start_attempt_timer()
        elif attempt.conn.sent:
            self._put_aside(attempt)
            self._retry_or_fail_unknown('silent')
        else:
            self.on_attempt_failed(attempt, self._cancel_unsent(attempt))

    def _cancel_unsent(self, attempt):
        """Cancels an attempt that reached nobody; returns its ``Failure``."""
        attempt.conn.cancel()
        if attempt.conn.via is not None:
            self.node.paths.record_no_forwarding(attempt.replica,
                                                 attempt.conn.via, 'silent')
            return outbound.Failure(False, 'silent', outbound.Fault.FORWARDER)
        self.node.paths.record_connect(attempt.replica, False)
        return outbound.Failure(False, 'silent', outbound.Fault.UNREACHED)

    def _can_try_another(self):
        """Whether a retry is allowed and another replica is available."""
        return (self.attempts.may_run_concurrently(self.terms) and
                not self.node.crashes.suspects.must_serialize(self.digest) and
                self._grant.permits_another(begun=self._delivery.started) and
                self._budget().available(time.monotonic()) >= 1 and bool(
                    self.node.work.candidate_views(self._grant.service,
                                                   self.attempts.tried)))

    def _record_run(self):
        """Counts the request for its client account, once."""
        account = self._grant.account
        if account is not None and not self._counted:
            self._counted = True
            self.node.duties.record_run(account.name)

    def _record_wait(self, attempt):
        self._start_latency().record(time.monotonic() - attempt.sent_at)

    # -- silent attempts -------------------------------------------------------

    def _put_aside(self, attempt):
        """Keeps a silent attempt until another replica takes the request."""
        self._settle(takeover_policy.Event.OVERLAP_ENDED)
        self._stop_attempt_timer()
        self._attempt = None
        self._takeover.begin(
            takeover.KeptAttempt(attempt, self._grant.terms,
                                 self._delivery.detach(), self._backup.holder))

    def _on_overlap_ended(self):
        self._settle(takeover_policy.Event.OVERLAP_ENDED)

    def _settle(self, event):
        """Decides which of two attempts goes on, and cancels the other one.

        Does nothing while only one attempt is under way.

        Args:
            event: A ``takeover_policy.Event``.
        """
        if self._takeover.kept is None:
            return
        kept = self._takeover.end()
        if takeover_policy.winner(event) is takeover_policy.Winner.OLD:
            self._go_on_with(kept, event)
            return
        now = time.monotonic()
        attempt = kept.attempt
        attempt.conn.cancel()
        attempt.replica.view.record_failure(now)
        if not attempt.response_started:
            self._record_wait(attempt)
        self._release(attempt)
        attempt.log_failed('silent', now)

    def _go_on_with(self, kept, event):
        if self._attempt is not None:
            if not self._attempt.conn.cancel():
                self.attempts.record_unreached()
            self._close_attempt(self._attempt)
        self._attempt = kept.attempt
        self._grant.terms = kept.terms
        self._delivery.reattach(kept.part)
        self._backup.holder = kept.backup_holder
        self.log.info('kept',
                      replica=kept.attempt.replica.record.id,
                      reason=event.value)
        self._start_attempt_timer()

    def fail(self, exc):
        """See ``serving.ActiveRequest``."""
        if self._takeover.kept is None:
            super().fail(exc)
            return
        self.log.info('not_taken_over', code=exc.code, error=str(exc))
        self._settle(takeover_policy.Event.NEW_IMPOSSIBLE)

    def _on_kept_refused(self, attempt, response):
        """Handles an error response to an attempt that was put aside."""
        self._takeover.end()
        attempt.conn.cancel()
        self._release(attempt)
        if response.not_run:
            self.attempts.record_refusal(attempt.replica.record.id)
        attempt.log_failed(f'status {response.status}', time.monotonic())

    def _on_kept_failed(self, attempt, failure, now):
        """Handles the failure of an attempt that was put aside."""
        self._takeover.end()
        self._release(attempt)
        attempt.replica.view.record_failure(now)
        attempt.log_failed(failure.reason, now)
        if failure.fault is outbound.Fault.LOST:
            self.node.crashes.handle_broken_run(attempt.replica,
                                                self._broken_run(attempt),
                                                lambda: None)

    # -- responses of replicas -------------------------------------------------

    def on_response_head(self, attempt, response):
        """Called with the head of a response."""
        if self._takeover.keeps(attempt):
            if not response.usable:
                self._on_kept_refused(attempt, response)
                return
            self._settle(takeover_policy.Event.OLD_RESPONDED)
        elif self._grant.streams and response.usable:
            self._settle(takeover_policy.Event.NEW_ACCEPTED)
        if not response.not_run and not self._grant.streams:
            self._record_run()
        self._delivery.begin(response, streams=self._grant.streams)

    def on_response_data(self, attempt, data):
        """Called with a piece of a response's body."""
        if self._takeover.keeps(attempt):
            self._settle(takeover_policy.Event.OLD_RESPONDED)
        if self.first_byte_at is None:
            self.first_byte_at = time.monotonic()
        if not attempt.response_started:
            attempt.first_byte_at = time.monotonic()
            self._record_wait(attempt)
            attempt.record_response_start(self._speed())
            if self._grant.streams:
                self._record_run()
        attempt.prefill_done()
        attempt.last_data_at = time.monotonic()
        if self._delivery.streaming:
            self._forward(attempt, self._delivery.split_events(data))
        elif self._delivery.buffer(data):
            # Each piece restarts the timer: a limit on the whole response
            # would abort a long one and run the request again.
            self._start_attempt_timer()
        else:
            attempt.conn.cancel()
            failure = outbound.Failure(
                True, f'answer over {delivery.MAX_BUFFERED_BYTES} bytes')
            self.on_attempt_failed(attempt, failure)

    def _forward(self, attempt, data):
        if not data:
            return
        attempt.record_events(self._delivery.event_count)
        self._start_gap_timer()
        if not self._delivery.forward(data):
            # Nothing is read from the replica now, so its silence means
            # nothing.
            self._stop_attempt_timer()
            attempt.pause()

    def on_caller_drained(self):
        """Called when all bytes for the caller were sent."""
        if self._attempt is not None and self._attempt.paused:
            self._attempt.resume()
            self._start_gap_timer()

    def on_response_end(self, attempt, response):
        """Called when a response is complete."""
        if self._takeover.keeps(attempt):
            self._settle(takeover_policy.Event.OLD_RESPONDED)
        elif response.usable:
            self._settle(takeover_policy.Event.NEW_ACCEPTED)
        self._close_attempt(attempt)
        if response.not_run:
            self._on_refused(attempt, response)
            return
        view = attempt.replica.view
        view.record_success()
        attempt.replica.record_alive(time.monotonic())
        self.node.crashes.record_completed_run(self.digest)
        attempt.record_duration(self._speed())
        self.node.work.record_response(
            attempt.replica, response.status < INTERNAL_ERROR_STATUS or
            response.status == TIMEOUT_STATUS)
        if response.success and not response.genuine:
            view.record_failure(time.monotonic())
            self._retry_or_fail_unknown('its answer is not its own')
        elif self._delivery.streaming:
            self._delivery.end()
            self.close(outcomes.Outcome.SERVED)
        elif self._delivery.resuming or self._takeover.kept is not None:
            self._retry_or_fail_unknown(f'resuming gave {response.status}')
        elif response.status != INTERNAL_ERROR_STATUS or not self.retry(
                f'status {INTERNAL_ERROR_STATUS}'):
            # If no other replica can be tried, the error response of this
            # one is the best that the caller can get, so it is forwarded.
            self._delivery.send_buffered(response)
            self.close(outcomes.Outcome.SERVED if response.
                       success else outcomes.Outcome.REPLICA_FAILED)

    def _on_refused(self, attempt, response):
        self.attempts.record_refusal()
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
            self._on_kept_failed(attempt, failure, now)
            return
        self._close_attempt(attempt)
        detour = self._detours.plan(attempt, failure)
        if not detour and not (failure.sent and
                               failure.fault is outbound.Fault.FORWARDER):
            attempt.replica.view.record_failure(now)
        attempt.log_failed(failure.reason, now, sent=failure.sent)
        lost = failure.fault is outbound.Fault.LOST
        if lost and self._start_latency().covers(now - attempt.sent_at):
            # A response that was lost on its way: the replica ran it.
            self._record_run()
        if not failure.sent:
            if detour:
                self.attempts.record_untried()
            else:
                self.attempts.record_unreached()
            self.restart()
        elif lost:
            self.node.crashes.handle_broken_run(
                attempt.replica, self._broken_run(attempt),
                lambda: self._handle_failure(attempt, failure.reason))
        else:
            self._handle_failure(attempt, failure.reason)

    def _broken_run(self, attempt):
        return crashes.BrokenRun(self.digest,
                                 attempt.sent_at,
                                 attempt.first_byte_at,
                                 after_broken_run=len(self.attempts.replicas)
                                 > 1)

    def _handle_failure(self, attempt, reason):
        if self.done or self._attempt is not None:
            return
        if self.node.crashes.suspects.must_serialize(self.digest):
            self.fail(self.attempts.outcome_unknown_error(reason))
        elif self._can_restore():
            self._probe_replica(attempt)
        else:
            self._retry_or_fail_unknown(reason)

    def _retry_or_fail_unknown(self, reason):
        self.retry_or_fail(self.attempts.outcome_unknown_error(reason), reason)

    def discard_response(self):
        """See ``serving.ActiveRequest``."""
        self._delivery.discard()

    # -- continuing from a KV backup -------------------------------------------

    def _can_restore(self):
        """Whether a KV backup exists and the caller has part of the stream."""
        return (self._backup.available and
                self._delivery.last_event_id is not None)

    def _probe_replica(self, attempt):
        """Probes the replica of a failed or silent stream, then continues."""
        self._backup.probe(attempt.replica,
                           lambda verdict: self._on_probed(attempt, verdict))

    def _on_probed(self, attempt, verdict):
        failed = attempt.failure is not None
        if self._attempt is not (None if failed else attempt):
            return
        silent_s = time.monotonic() - attempt.last_data_at
        if backups.is_gone(verdict, failed=failed, silent_s=silent_s):
            self._restore(attempt)
        elif failed:
            self._retry_or_fail_unknown(attempt.failure.reason)
        else:
            self._set_attempt_timer(attempt_timeouts.BACKUP_GAP_S)

    def _restore(self, attempt):
        """Continues the run at the replica that has its KV backup."""
        replica = self._backup.claim()
        if self._attempt is attempt:
            self._put_aside(attempt)
        if replica is None:
            self._retry_or_fail_unknown(
                'its replica is gone, and no copy is left')
            return
        if not self._budget().acquire(time.monotonic()):
            self.fail(
                self.attempts.outcome_unknown_error(
                    'its replica is gone, and no retry is left'))
            return
        self.log.info('restored',
                      gone=attempt.replica.record.id,
                      replica=replica.record.id,
                      after=self._last_event())
        try:
            self._grant.renew(begun=True)
            if not self.node.crashes.try_begin_run(self.digest, self):
                raise self.attempts.outcome_unknown_error(
                    'another run of it is under way')
            self._send(replica,
                       placement.Choice(replica.view),
                       from_backup=True)
        except errors.GorsefallError as exc:
            self.fail(self.attempts.reportable_error(exc, str(exc), self.terms))

    @property
    def response_begun(self):
        """Whether the caller has received part of a response."""
        return self._delivery.started

    # -- endings ---------------------------------------------------------------

    def on_caller_disconnected(self, reason):
        """Called when the caller disconnected; cancels the attempt."""
        self._disconnect_reason = reason
        self._cancel_attempts()
        self.close(outcomes.Outcome.CALLER_LEFT)

    def on_caller_lost(self, reason):
        """Called when the connection failed, and the caller had not left."""
        self._disconnect_reason = reason
        self._cancel_attempts()
        self.close(
            outcomes.Outcome.CALLER_LOST,
            errors.CallerLostError(f'connection to the caller: {reason}'))

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
        why = 'the entry is shutting down'
        self.fail(
            self.attempts.reportable_error(errors.DrainingError(why), why,
                                           self.terms))

    def _cancel_attempts(self):
        kept = self._takeover.end()
        if kept is not None:
            kept.attempt.conn.cancel()
            self._release(kept.attempt)
        attempt = self._attempt
        if attempt is not None:
            if not attempt.conn.cancel():
                self.attempts.record_withdrawal()
            self._close_attempt(attempt)

    def _close_attempt(self, attempt):
        self._release(attempt)
        self._attempt = None
        self._stop_attempt_timer()

    def _release(self, attempt):
        attempt.occupancy.close()
        self._longest_pause_s = max(self._longest_pause_s,
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
        self.node.crashes.end_run(self.digest, self)
        accesslog.record(self,
                         self._grant,
                         outcome,
                         exc,
                         pause_s=self._longest_pause_s,
                         last_event=self._last_event(),
                         disconnect=self._disconnect_reason)
        self.node.remove_exchange(self)

    def _last_event(self):
        """Returns the id of the last event forwarded, str, or None."""
        last_id = self._delivery.last_event_id
        return None if last_id is None else last_id.decode('latin-1')
