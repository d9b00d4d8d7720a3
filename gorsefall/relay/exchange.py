"""One request forwarded byte for byte, from its caller to its final answer."""

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
from gorsefall.relay import accesslog
from gorsefall.relay import backups
from gorsefall.relay import crashes
from gorsefall.relay import delivery
from gorsefall.relay import grant
from gorsefall.relay import outcomes
from gorsefall.relay import sending

INTERNAL_ERROR_STATUS = 500
TIMEOUT_STATUS = 504
"""Statuses of a replica that failed, and of one whose time was up."""


class Exchange(serving.ActiveRequest):
    """Runs one caller request through replicas; owns its answer.

    Attributes:
        req: The ``model.CallerRequest``.
        node: The ``node.Node`` it belongs to.
        digest: The ``ids.RequestDigest`` by which other sends of the same
            request are known; None until its caller is.
    """

    def __init__(self, node, req, reply):
        super().__init__(logs.get('exchange').bind(rid=req.id))
        self.node = node
        self.req = req
        self._delivery = delivery.Delivery(node.codec, reply)
        self._attempt = None
        self.digest = None
        self._grant = grant.Grant(node, req)
        self._deadline = None
        self._deadline_timer = None
        self._attempt_timer = None
        self._longest_pause_s = 0.0
        self._copy = backups.KvBackup(node.prober, node.fleet)

    # -- what may be done ------------------------------------------------------

    def start(self):
        """Decides on the request and sends it, or answers at once."""
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
        left = self._grant.route.timeout_s
        if self.req.time_left_s is not None:
            left = min(left, self.req.time_left_s)
        self._deadline = self.arrived_at + left
        self._deadline_timer = self.node.loop.call_later(left, self._time_up)
        self._grant.record_arrival()
        self.dispatch()

    @property
    def terms(self):
        """See ``serving.ActiveRequest``."""
        return attempts.RetryTerms(repeatable=not self._grant.non_repeatable,
                                   max_attempts=self._grant.route.max_attempts)

    def _budget(self):
        """Returns the ``budget.Budget`` that its retries are taken from."""
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

    def send_next(self):
        """See ``serving.ActiveRequest``."""
        if self.attempts.tried:
            # Asked again before each send: while the request waited, its
            # key may have been revoked or its route moved.
            self._grant.renew()
        if not self.node.crashes.try_begin_run(self.digest, self):
            return
        choice = self._grant.choose_replica(
            self.attempts.tried,
            refuse=not self.attempts.replicas,
            emptiest=self.node.crashes.suspects.must_serialize(self.digest))
        if choice is None:
            raise errors.NoReplicaError(
                f'no replica of {self._grant.service} is left',
                retry_after=retry_delay.short_delay_s())
        self._send(self.node.fleet.replicas[choice.target.name], choice)

    def _send(self, replica, choice, *, from_copy=False):
        now = time.monotonic()
        if not self.attempts.replicas:
            self._budget().record_first_attempt(now)
        self.attempts.record_sent(replica.record.id)
        replica.limit.record_sent(now)
        order = self._grant.attempt_options(
            replica.record,
            time_left_s=self._time_left(),
            backup=None if from_copy else self._order_copy(replica),
            from_copy=from_copy,
            resume_after=self._delivery.last_event_id,
            source=choice.fetch_source)
        if self.req.prompt is not None:
            self.node.work.record_prompt(replica, self.req.prompt.shared)
        self._attempt = sending.Attempt(self,
                                        replica,
                                        order,
                                        choice,
                                        writes=self._grant.profile.decode_heavy)
        self._attempt.conn = replica.pool.send(self._attempt)
        self._attempt.log_sent(self._grant.service, len(self.attempts.replicas))
        self._watch_attempt()

    def _order_copy(self, replica):
        """Returns the address of the replica that copies the run, or None."""
        if not self._grant.needs_backup:
            return None
        others = self.node.fleet.candidates(self._grant.service,
                                            {replica.record.id})
        return self._copy.choose_holder(others, self.req.id)

    def _watch_attempt(self):
        if self.attempts.may_run_concurrently(self.terms):
            self._set_attempt_timer(
                attempt_timeouts.attempt_s(self._start_latency(),
                                           self._time_left(),
                                           streams=self._grant.streams))

    def _set_attempt_timer(self, wait_s):
        if self._attempt_timer is not None:
            self._attempt_timer.cancel()
        self._attempt_timer = self.node.loop.call_later(wait_s,
                                                        self._attempt_silent)

    def _attempt_silent(self):
        # A replica that hangs, or a channel that something between the ends
        # lost track of, shows no error. Asking another replica while there
        # is time serves the caller; the budget keeps that from doubling the
        # load when all of them are slow.
        attempt = self._attempt
        if attempt is None:
            return
        if self._restorable():
            self._look_after(attempt)
            return
        if not self._repeatable_elsewhere():
            # What is put back for more urgent work is silent too, and goes on
            # later; given up here, its answer would be lost.
            self._watch_attempt()
            return
        attempt.conn.cancel()
        if not attempt.response_started:
            self._note_wait(attempt)
        self.on_attempt_failed(attempt, outbound.Failure(True, 'silent'))

    def _repeatable_elsewhere(self):
        """Whether another replica may be asked, and there is one."""
        return (self.attempts.may_run_concurrently(self.terms) and
                self._budget().available(time.monotonic()) >= 1 and bool(
                    self.node.work.candidate_views(self._grant.service,
                                                   self.attempts.tried)))

    def _note_wait(self, attempt):
        self._start_latency().record(time.monotonic() - attempt.sent_at)

    # -- what a replica answers ------------------------------------------------

    def on_response_head(self, answer):
        """Called with the head of an answer."""
        self._delivery.begin(answer, streams=self._grant.streams)

    def on_response_data(self, attempt, data):
        """Called with a piece of an answer's body."""
        if self.first_byte_at is None:
            self.first_byte_at = time.monotonic()
        if not attempt.response_started:
            attempt.first_at = time.monotonic()
            self._note_wait(attempt)
            attempt.record_response_start(self._speed())
        attempt.prefill_done()
        if self._delivery.streaming:
            self._pass_on(attempt, self._delivery.split_events(data))
        elif self._delivery.buffer(data):
            # Bounded in all, a long answer would be cut off and run anew.
            self._watch_attempt()
        else:
            attempt.conn.cancel()
            failure = outbound.Failure(
                True, f'answer over {delivery.MAX_BUFFERED_BYTES} bytes')
            self.on_attempt_failed(attempt, failure)

    def _pass_on(self, attempt, data):
        if not data:
            return
        attempt.record_events(self._delivery.event_count)
        if self._restorable():
            self._set_attempt_timer(attempt_timeouts.BACKUP_GAP_S)
        elif self.attempts.may_run_concurrently(self.terms):
            self._set_attempt_timer(attempt_timeouts.STREAM_GAP_S)
        if not self._delivery.forward(data):
            attempt.pause()

    def on_caller_drained(self):
        """Called when the caller has taken all that was sent to it."""
        if self._attempt is not None:
            self._attempt.conn.resume()

    def on_response_end(self, attempt, answer):
        """Called when an answer is whole."""
        self._close_attempt(attempt)
        if answer.not_run:
            self._refused(attempt, answer)
            return
        health = attempt.replica.view
        health.record_success()
        attempt.replica.exited_at = None
        self.node.crashes.record_completed_run(self.digest)
        attempt.record_duration(self._speed())
        self.node.work.record_response(
            attempt.replica, answer.status < INTERNAL_ERROR_STATUS or
            answer.status == TIMEOUT_STATUS)
        if answer.success and not answer.genuine:
            health.record_failure(time.monotonic())
            self._again_or_unknown('its answer is not its own')
        elif self._delivery.streaming:
            self._delivery.end()
            self.close(outcomes.Outcome.SERVED)
        elif self._delivery.resuming:
            self._again_or_unknown(f'resuming gave {answer.status}')
        elif answer.status != INTERNAL_ERROR_STATUS or not self.retry(
                f'status {INTERNAL_ERROR_STATUS}'):
            # Without another replica to ask, a failure's own answer is the
            # best that the caller can get, so it is passed on too.
            self._delivery.send_buffered(answer)
            self.close(outcomes.Outcome.SERVED if answer.success else outcomes.
                       Outcome.REPLICA_FAILED)

    def _refused(self, attempt, answer):
        self.attempts.record_refusal()
        if answer.misdirected:
            self.node.fleet.drop_replaced(attempt.replica.record.id)
        self.log.info('not_run',
                      replica=attempt.replica.record.id,
                      status=answer.status,
                      load=answer.load)
        self.retry_or_fail(
            errors.ReplicaRefusedError(
                f'the replica refused it ({answer.status})',
                retry_after=retry_delay.short_delay_s()), 'not run')

    def on_attempt_failed(self, attempt, failure):
        """Called when an attempt ended without a whole answer."""
        self._close_attempt(attempt)
        now = time.monotonic()
        attempt.replica.view.record_failure(now)
        self.log.info('attempt_failed',
                      replica=attempt.replica.record.id,
                      reason=failure.reason,
                      sent=failure.sent,
                      after_ms=round((now - attempt.sent_at) * 1000, 1))
        if not failure.sent:
            self.attempts.record_unreached()
            self.restart()
        elif failure.connection_lost:
            run = crashes.BrokenRun(self.digest,
                                    attempt.sent_at,
                                    attempt.first_at,
                                    after_broken_run=len(self.attempts.replicas)
                                    > 1)
            self.node.crashes.handle_broken_run(
                attempt.replica, run,
                lambda: self._after_failure(attempt, failure.reason))
        else:
            self._after_failure(attempt, failure.reason)

    def _after_failure(self, attempt, reason):
        if self.done:
            return
        if self.node.crashes.suspects.must_serialize(self.digest):
            self.fail(self.attempts.outcome_unknown_error(reason))
        elif self._restorable():
            self._look_after(attempt, reason)
        else:
            self._again_or_unknown(reason)

    def _again_or_unknown(self, reason):
        self.retry_or_fail(self.attempts.outcome_unknown_error(reason), reason)

    def discard_response(self):
        """See ``serving.ActiveRequest``."""
        self._delivery.discard()

    # -- going on from a copy --------------------------------------------------

    def _restorable(self):
        """Whether the run has a copy and the caller part of its answer."""
        return self._copy.available and self._delivery.last_event_id is not None

    def _look_after(self, attempt, broken=None):
        """Looks whether the replica of a broken or silent stream is there."""

        def looked(alive):
            if not alive:
                self._restore(attempt)
            elif broken:
                self._again_or_unknown(broken)
            else:
                self._set_attempt_timer(attempt_timeouts.BACKUP_GAP_S)

        self._copy.probe(attempt.replica, looked)

    def _restore(self, attempt):
        """Goes on at the replica that has the copy of the run's memory."""
        if self._attempt is not None:
            attempt.conn.cancel()
            self._close_attempt(attempt)
            attempt.replica.view.record_failure(time.monotonic())
        replica = self._copy.claim()
        if (replica is None or not self._budget().acquire(time.monotonic())):
            self.fail(
                self.attempts.outcome_unknown_error(
                    'its replica is gone, and no copy is left'))
            return
        self.log.info('restored',
                      gone=attempt.replica.record.id,
                      replica=replica.record.id,
                      after=self._last_event())
        try:
            self._grant.renew()
            if not self.node.crashes.try_begin_run(self.digest, self):
                raise self.attempts.outcome_unknown_error(
                    'another run of it is under way')
            self._send(replica, placement.Choice(replica.view), from_copy=True)
        except errors.GorsefallError as exc:
            self.fail(self.attempts.reportable_error(exc, str(exc), self.terms))

    # -- endings ---------------------------------------------------------------

    def on_caller_disconnected(self):
        """The caller's channel ended: stops the replica's work."""
        self._drop_attempt()
        self.close(outcomes.Outcome.CALLER_LEFT)

    def _time_up(self):
        self._drop_attempt()
        if self.attempts.in_doubt:
            self.fail(errors.TimedOutError('no whole answer in time'))
        else:
            self.fail(
                errors.DeadlineError('could not be sent in time',
                                     retry_after=retry_delay.short_delay_s()))

    def abort(self):
        """Ends the exchange because the process ends."""
        self._drop_attempt()
        why = 'the entry is shutting down'
        self.fail(
            self.attempts.reportable_error(errors.DrainingError(why), why,
                                           self.terms))

    def _drop_attempt(self):
        attempt = self._attempt
        if attempt is not None:
            if not attempt.conn.cancel():
                self.attempts.record_withdrawal()
            self._close_attempt(attempt)

    def _close_attempt(self, attempt):
        attempt.occupancy.close()
        self._longest_pause_s = max(self._longest_pause_s,
                                    attempt.longest_pause_s)
        self._attempt = None
        if self._attempt_timer is not None:
            self._attempt_timer.cancel()

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
        self._copy.cancel_probe()
        self.node.crashes.end_run(self.digest, self)
        accesslog.record(self,
                         self._grant,
                         outcome,
                         exc,
                         pause_s=self._longest_pause_s,
                         last_event=self._last_event())
        self.node.remove_exchange(self)

    def _last_event(self):
        """Returns the id of the last event passed on, or None."""
        last_id = self._delivery.last_event_id
        return None if last_id is None else last_id.decode('latin-1')
