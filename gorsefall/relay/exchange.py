"""One request from its caller to its final answer."""

import enum
import time

from gorsefall import errors
from gorsefall import logs
from gorsefall import metrics
from gorsefall.relay import copies
from gorsefall.relay import events
from gorsefall.relay import grant
from gorsefall.relay import model
from gorsefall.relay import outbound
from gorsefall.relay import outcomes
from gorsefall.relay import sending

ATTEMPT_SHARE = 0.4
"""Part of the time left that an attempt which may be repeated waits for its
answer to begin, before another replica is asked."""

ATTEMPT_MIN_S = 0.15
"""Shortest such wait, s: over three times the slowest usual call (110 ms is
the longest on the services' data sheet, at five times the usual 22)."""

STREAM_ATTEMPT_MIN_S = 1.2
"""The same for streams, whose first event waits for its prompt to be read."""

STREAM_GAP_S = 1.0
"""Silence within a stream that may be resumed, after which another replica
is asked, s: over twice the longest pause that callers take for on time."""

COPY_GAP_S = 0.5
"""Silence within a stream that has a copy, after which its replica is looked
for, s: twice the longest pause that callers take for on time, a quarter of
what they bear."""

INTERNAL = 500
TIME_UP = 504
"""Statuses of a replica that failed, and of one whose time was up."""

MAX_BUFFERED = 4 << 20
"""Longest answer that is no stream, bytes: it is held back until it is whole,
so that another replica can still be asked. As much as callers may send."""


class Phase(enum.Enum):
    """Where an exchange stands."""
    WAITING = 'waiting'
    SENT = 'sent'
    ANSWERING = 'answering'
    DONE = 'done'


def _retry_after_s(exc):
    """Returns when the caller of a request that failed may return, or None."""
    if not isinstance(exc, errors.NotRunError):
        return None
    return round(exc.retry_after, 2)


class Exchange:
    """Runs one caller request through replicas; owns its answer.

    Attributes:
        req: The ``model.CallerRequest``.
        node: The ``node.Node`` it belongs to.
        phase: A ``Phase``.
        attempts: Replicas it was sent to, ids in order.
    """

    def __init__(self, node, req, reply):
        self.node = node
        self.req = req
        self._reply = reply
        self.phase = Phase.WAITING
        self.attempts = []
        self._tried = set()
        self._attempt = None
        self._answer = None
        self._body = []
        self._size = 0
        self._splitter = None
        self._streaming = False
        # Replicas that may have run it: each it was sent to, until that one
        # says otherwise or turns out never to have been reached. Noting
        # doubt only where a failure is handled missed one path, on which a
        # stream was begun anew beside its first run.
        self._in_doubt = set()
        self._grant = grant.Grant(node, req)
        self._arrived = time.monotonic()
        self._first_at = None
        self._deadline = None
        self._deadline_timer = None
        self._attempt_timer = None
        self._copy = copies.Copy(node.loop, node.fleet)
        self._log = logs.get('exchange').bind(rid=req.id)

    # -- what may be done ------------------------------------------------------

    def start(self):
        """Decides on the request and sends it, or answers at once."""
        try:
            self._grant.renew()
        except errors.GorsefallError as exc:
            self._fail(exc)
            return
        route = self._grant.route
        left = route.timeout_s
        if self.req.time_left_s is not None:
            left = min(left, self.req.time_left_s)
        self._deadline = self._arrived + left
        self._deadline_timer = self.node.loop.later(left, self._time_up)
        self._grant.asked()
        self._send_on()

    def _budget(self):
        """Returns the ``budget.Budget`` that its retries are taken from."""
        return self.node.budget(self._grant.service)

    def _patience(self):
        """Returns the ``patience.Patience`` with its service's answers."""
        return self.node.patience(self._grant.service, self._grant.route.kind)

    def _time_left(self):
        return self._deadline - time.monotonic()

    # -- sending ---------------------------------------------------------------

    def _try_next(self):
        try:
            # Asked again before each send: while the request waited, its
            # key may have been revoked or its route moved.
            self._grant.renew()
        except errors.GorsefallError as exc:
            self._fail(exc)
            return
        self._send_on()

    def _send_on(self):
        try:
            if self._in_doubt and self._grant.once:
                # Whatever led here, a run that may have begun is not begun
                # anew; only a copy of it may go on.
                raise self._unknown('it may not be repeated')
            self._send(*self._choose())
        except errors.GorsefallError as exc:
            self._fail(exc)

    def _choose(self):
        """Returns the replica to send to, and the tokens to be read there."""
        choice = self._grant.place(self._tried, refuse=not self.attempts)
        if choice is None:
            raise self._nothing_left(
                f'no replica of {self._grant.service} is left')
        return self.node.fleet.replicas[choice.target.name], choice.tokens

    def _send(self, replica, tokens, *, from_copy=False):
        now = time.monotonic()
        first = not self.attempts
        if first:
            self._budget().first(now)
        self._tried.add(replica.record.id)
        self.attempts.append(replica.record.id)
        self._in_doubt.add(replica.record.id)
        account = self._grant.account
        priority = self._grant.rank
        order = model.Order(
            replica=replica.record.id,
            time_left_s=self._time_left(),
            account=account.name if account else None,
            priority=priority,
            backup=None if from_copy else self._order_copy(replica),
            copy_at=replica.record.addr if from_copy else None,
            resume_after=self._splitter.last_id if self._splitter else None)
        self.phase = Phase.SENT
        self._attempt = sending.Attempt(self, replica, order, tokens)
        self._attempt.channel = replica.pool.send(self._attempt)
        self._log.info('sent',
                       replica=replica.record.id,
                       service=self._grant.service,
                       attempt=len(self.attempts),
                       priority=priority,
                       outstanding=replica.target.outstanding,
                       others=replica.target.others,
                       version=self.node.table.version,
                       proof_age_s=self.node.proof.logged_age_s())
        self._watch_attempt()

    def _order_copy(self, replica):
        """Returns the address of the replica that copies the run, or None."""
        service = self.node.table.services.get(self._grant.service)
        want = self._grant.want()
        if (service is None or not service.backups or not want.writes or
                not self._grant.streams):
            return None
        others = self.node.fleet.candidates(self._grant.service,
                                            {replica.record.id})
        return self._copy.order(others, self.req.id)

    def _watch_attempt(self):
        if not self._may_repeat():
            return
        floor = ATTEMPT_MIN_S
        if self._grant.streams:
            floor = STREAM_ATTEMPT_MIN_S
        patience = self._patience()
        self._set_attempt_timer(
            max(ATTEMPT_SHARE * self._time_left(), patience.wait_s(floor)))

    def _set_attempt_timer(self, wait_s):
        if self._attempt_timer is not None:
            self._attempt_timer.cancel()
        self._attempt_timer = self.node.loop.later(wait_s, self._attempt_silent)

    def _may_repeat(self):
        return (self._grant.route.repeatable and
                len(self.attempts) < self._grant.route.max_attempts)

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
        if not self._may_repeat():
            return
        if self._budget().room(time.monotonic()) < 1:
            return
        attempt.channel.cancel()
        if not attempt.begun:
            self._note_wait(attempt)
        self.attempt_failed(attempt, outbound.Failure(True, 'silent'))

    def _note_wait(self, attempt):
        self._patience().began(time.monotonic() - attempt.began)

    # -- what a replica answers ------------------------------------------------

    def answer_began(self, attempt, answer):
        """Called with the head of an answer."""
        self._answer = answer
        # The rest of a stream that has begun can only be more events.
        self._streaming = (self._grant.streams and answer.success and
                           answer.genuine)
        if self._streaming:
            self._splitter = self._splitter or events.Splitter()
            self._splitter.rest = b''

    def answer_data(self, attempt, data):
        """Called with a piece of an answer's body."""
        if self._first_at is None:
            self._first_at = time.monotonic()
        if not attempt.begun:
            attempt.begun = True
            self._note_wait(attempt)
        attempt.prompt_read()
        if self._streaming:
            self._pass_on(attempt, self._splitter.feed(data))
            return
        self._body.append(data)
        self._size += len(data)
        if self._size > MAX_BUFFERED:
            self._attempt.channel.cancel()
            self.attempt_failed(
                attempt,
                outbound.Failure(True, f'answer over {MAX_BUFFERED} bytes'))

    def _pass_on(self, attempt, data):
        if not data:
            return
        if self._restorable():
            self._set_attempt_timer(COPY_GAP_S)
        elif self._may_repeat():
            self._set_attempt_timer(STREAM_GAP_S)
        if not self._reply.started:
            self.phase = Phase.ANSWERING
            self._reply.head(self._answer.status,
                             self.node.dialect.encode_answer(self._answer))
        if not self._reply.data(data):
            attempt.channel.pause()

    def caller_drained(self):
        """Called when the caller has taken all that was sent to it."""
        if self._attempt is not None:
            self._attempt.channel.resume()

    def answer_ended(self, attempt, answer):
        """Called when an answer is whole."""
        self._close_attempt(attempt)
        now = time.monotonic()
        health = attempt.replica.target
        if answer.not_run:
            self._in_doubt.discard(attempt.replica.record.id)
            if answer.misdirected:
                self.node.fleet.replaced(attempt.replica.record.id)
            self._log.info('not_run',
                           replica=attempt.replica.record.id,
                           status=answer.status,
                           load=answer.load)
            self._again_or(
                errors.ReplicaRefusedError(
                    f'the replica refused it ({answer.status})',
                    retry_after=outcomes.spread_s()), 'not run')
            return
        health.succeeded()
        health.answered(answer.status < INTERNAL or answer.status == TIME_UP)
        if answer.success and not answer.genuine:
            health.failed(now)
            self._again_or(self._unknown('its answer is not its own'),
                           'not genuine')
        elif self._streaming:
            self._end_stream()
        elif self._splitter is not None:
            self._again_or(self._unknown(f'resuming gave {answer.status}'),
                           'not resumed')
        elif answer.status == INTERNAL and self._take_retry():
            # Without another replica to ask, the answer itself is the best
            # that the caller can get, so it is passed on below.
            self._log.info('retry', reason=f'status {answer.status}')
            self._restart()
        else:
            self._pass_whole(answer)

    def _end_stream(self):
        if not self._reply.started:
            self._reply.head(self._answer.status,
                             self.node.dialect.encode_answer(self._answer))
        if self._splitter.rest:
            self._reply.data(self._splitter.rest)
        self._reply.end()
        self._close(outcomes.Outcome.SERVED)

    def _pass_whole(self, answer):
        self._reply.whole(answer.status,
                          self.node.dialect.encode_answer(answer),
                          b''.join(self._body))
        self._close(outcomes.Outcome.SERVED if answer.success else outcomes.
                    Outcome.REPLICA_FAILED)

    def attempt_failed(self, attempt, failure):
        """Called when an attempt ended without a whole answer."""
        self._close_attempt(attempt)
        now = time.monotonic()
        attempt.replica.target.failed(now)
        self._log.info('attempt_failed',
                       replica=attempt.replica.record.id,
                       reason=failure.reason,
                       sent=failure.sent,
                       after_ms=round((now - attempt.began) * 1000, 1))
        if not failure.sent:
            # Never connected: nothing reached the replica, so this was no
            # attempt at all.
            self.attempts.pop()
            self._in_doubt.discard(attempt.replica.record.id)
            self._restart()
            return
        if self._restorable():
            self._look_after(attempt, failure.reason)
            return
        self._again_or(self._unknown(failure.reason), failure.reason)

    # -- going on from a copy --------------------------------------------------

    def _restorable(self):
        """Whether the run has a copy and the caller part of its answer."""
        return (self._copy.held and self._splitter is not None and
                self._splitter.last_id is not None)

    def _look_after(self, attempt, broken=None):
        """Looks whether the replica of a broken or silent stream is there."""

        def looked(alive):
            if not alive:
                self._restore(attempt)
            elif broken:
                self._again_or(self._unknown(broken), broken)
            else:
                self._set_attempt_timer(COPY_GAP_S)

        self._copy.look(attempt.replica, looked)

    def _restore(self, attempt):
        """Goes on at the replica that has the copy of the run's memory."""
        if self._attempt is not None:
            attempt.channel.cancel()
            self._close_attempt(attempt)
            attempt.replica.target.failed(time.monotonic())
        replica = self._copy.take()
        if (replica is None or not self._budget().take(time.monotonic())):
            self._fail(
                self._unknown('its replica is gone, and no copy is left'))
            return
        self._log.info('restored',
                       gone=attempt.replica.record.id,
                       replica=replica.record.id,
                       after=self._last_event())
        try:
            self._grant.renew()
            self._send(replica, 0, from_copy=True)
        except errors.GorsefallError as exc:
            self._fail(exc)

    def _unknown(self, reason):
        return errors.OutcomeUnknownError(
            f'{self.attempts[-1]} may have run it: {reason}')

    def _nothing_left(self, why):
        if self._in_doubt:
            return errors.OutcomeUnknownError(why)
        return errors.NoReplicaError(why, retry_after=outcomes.spread_s())

    def _take_retry(self, *, not_run=False):
        """Whether the request may be sent once more; takes it if so."""
        if len(self.attempts) >= self._grant.route.max_attempts:
            return False
        if not (not_run or self._grant.route.repeatable):
            return False
        if not self.node.fleet.candidates(self._grant.service, self._tried):
            return False
        return self._budget().take(time.monotonic())

    def _again_or(self, exc, reason):
        not_run = (isinstance(exc, errors.NotRunError) and not self._in_doubt)
        if self._take_retry(not_run=not_run):
            self._log.info('retry', reason=reason)
            self._restart()
            return
        if isinstance(exc, errors.NotRunError) and self._in_doubt:
            # An earlier attempt may have run: "not run" would be false.
            exc = self._unknown(reason)
        self._fail(exc)

    def _restart(self):
        self._answer = None
        self._streaming = False
        self._body.clear()
        self._size = 0
        self._try_next()

    # -- endings ---------------------------------------------------------------

    def caller_left(self):
        """The caller's channel ended: stops the replica's work."""
        self._drop_attempt()
        self._close(outcomes.Outcome.CALLER_LEFT)

    def _time_up(self):
        self._drop_attempt()
        if self._in_doubt:
            self._fail(errors.TimedOutError('no whole answer in time'))
        else:
            self._fail(
                errors.DeadlineError('could not be sent in time',
                                     retry_after=outcomes.spread_s()))

    def cut(self):
        """Ends the exchange because the process ends."""
        self._drop_attempt()
        self._fail(
            self._unknown('the entry is shutting down') if self.
            _in_doubt else errors.DrainingError('the entry is shutting down'))

    def _drop_attempt(self):
        attempt = self._attempt
        if attempt is not None:
            if not attempt.channel.cancel():
                self._in_doubt.discard(attempt.replica.record.id)
            self._close_attempt(attempt)

    def _close_attempt(self, attempt):
        attempt.place.close()
        self._attempt = None
        if self._attempt_timer is not None:
            self._attempt_timer.cancel()

    def _fail(self, exc):
        """Gives the caller its final answer ``exc`` now."""
        if self.phase is Phase.DONE:
            return
        if self._reply.started:
            self._reply.break_off()
            self._close(outcomes.Outcome.BROKEN, exc)
            return
        self._reply.whole(*outcomes.error_answer(exc))
        self._close(outcomes.outcome_of(exc), exc)

    def _close(self, outcome, exc=None):
        if self.phase is Phase.DONE:
            return
        self.phase = Phase.DONE
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self._copy.cancel()
        now = time.monotonic()
        route = self._grant.route
        account = self._grant.account.name if self._grant.account else ''
        metrics.relayed(account, route.name if route else '', outcome.value)
        if outcome is outcomes.Outcome.SERVED:
            metrics.relay_times(route.name, self._first_at - self._arrived,
                                now - self._arrived)
        self._log.info(
            'answered',
            outcome=outcome.value,
            error=str(exc) if exc else None,
            code=exc.code if exc else None,
            retry_after_s=_retry_after_s(exc),
            route=route.name if route else None,
            kind=route.kind.value if route else None,
            account=account,
            attempts=self.attempts,
            first_ms=self._since(self._first_at),
            ms=self._since(now),
            last_event=self._last_event(),
            version=self.node.table.version if self.node.table else None,
            proof_age_s=self.node.proof.logged_age_s())
        self.node.exchange_done(self)

    def _last_event(self):
        """Returns the id of the last event passed on, or None."""
        if self._splitter is None or self._splitter.last_id is None:
            return None
        return self._splitter.last_id.decode('latin-1')

    def _since(self, when):
        if when is None:
            return None
        return round((when - self._arrived) * 1000, 1)
