"""Caller requests and their life cycle: claim, dispatch, retry, response."""

import contextlib
import dataclasses
import enum
import time
import uuid

from gorsefall import claims
from gorsefall import errors
from gorsefall import ids
from gorsefall import logs
from gorsefall import metrics
from gorsefall import serving
from gorsefall.policy import attempts

MAX_ATTEMPTS = 3
"""Maximum number of replicas that may have started the same request.

The second attempt covers the crash of one replica, the third the crash of
another one while the work moves."""


class Outcome(enum.Enum):
    """Outcomes of a job other than the error codes."""
    OK = 'ok'
    REFUSED = 'refused'
    REPLAYED = 'replayed'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(kw_only=True)
class CallerRequest:
    """A decoded request of a caller; subclasses add its payload.

    Attributes:
        rid: Request id.
        customer: Customer name.
        klass: The catalogue ``Klass``.
        key: Idempotency key prefixed with the customer, or empty.
        repeatable: False if the request must be executed at most once.
        deadline: Latest start time, s (monotonic).
    """
    rid: ids.RequestId
    customer: ids.CustomerId
    klass: object
    key: str = ''
    repeatable: bool = True
    deadline: float = float('inf')

    @property
    def prefix_text(self):
        """The text whose prefix determines cache affinity."""
        return ''

    @property
    def digest(self):
        """Digest of the payload; detects reuse of a key for another request."""
        return ''


@dataclasses.dataclass(kw_only=True)
class TextRequest(CallerRequest):
    """A request for generated text.

    Attributes:
        model: Model name.
        prompt: Prompt text (chat messages joined).
        max_tokens: Maximum number of generated tokens.
        stream: Whether the caller wants server-sent events.
    """
    model: str = 'default'
    prompt: str = ''
    max_tokens: int = 256
    stream: bool = False

    @property
    def prefix_text(self):
        """See ``CallerRequest.prefix_text``."""
        return self.prompt

    @property
    def digest(self):
        """See ``CallerRequest.digest``."""
        return claims.call_digest(self.model, [self.prompt, self.max_tokens])


class ChatRequest(TextRequest):
    """A chat completion request."""


class CompletionRequest(TextRequest):
    """A text completion request."""


@dataclasses.dataclass(kw_only=True)
class ServiceRequest(CallerRequest):
    """A call of a plain service.

    Attributes:
        op: Operation name.
        args: Operation arguments.
    """
    op: str = ''
    args: dict = dataclasses.field(default_factory=dict)

    @property
    def digest(self):
        """See ``CallerRequest.digest``."""
        return claims.call_digest(self.op, self.args)


def _elapsed_ms(since, until):
    """Returns the time from ``since`` to ``until`` in ms.

    Args:
        since: Start time, s.
        until: End time, s, or None if the event did not occur.

    Returns:
        The time in ms, or None if ``until`` is None.
    """
    return None if until is None else round((until - since) * 1000, 1)


def new_rid():
    """Returns a new unique request id."""
    return ids.RequestId('req-' + uuid.uuid4().hex[:16])


class Job(serving.ActiveRequest):
    """Executes one ``CallerRequest`` on replicas of its pool.

    Attributes:
        app: The ``app.Entry``.
        request: The ``CallerRequest``.
        ticket: Its ``admission.Ticket``.
        reply: The ``replies.DeferredReply`` to the caller.
        started_at: When the job left the queue, s (monotonic); None before.
        last_progress_at: When the replica last made progress, s (monotonic).
        tokens: Number of tokens delivered to the caller.
        wasted_tokens: Number of tokens generated but discarded or repeated.
        replica: The ``routing.Replica`` of the current attempt.
        call: The call to that replica; None between attempts.
        fence: Fencing token of the ledger claim; 0 without a claim.
        labels: Label values of the job's metrics.
    """

    def __init__(self, app, request, ticket, reply):
        klass = request.klass
        super().__init__(
            logs.get('job').bind(rid=request.rid,
                                 customer=request.customer,
                                 klass=klass.name))
        self.app = app
        self.request = request
        self.ticket = ticket
        self.reply = reply
        self.started_at = None
        self.last_progress_at = self.arrived_at
        self.tokens = 0
        self.wasted_tokens = 0
        self.replica = None
        self.call = None
        self.fence = 0
        self._claimed = False
        self._replica_slot = contextlib.ExitStack()
        self.labels = (request.customer, klass.name, str(klass.tier))

    # -- lifecycle -----------------------------------------------------------

    def start(self):
        """Starts the first attempt, after a ledger claim if one is needed.

        Only non-repeatable requests with a key are claimed: without a key,
        no retry and no other entry can identify the same request.
        """
        self.started_at = self.last_progress_at = time.monotonic()
        if self.request.repeatable or not self.request.key:
            self.dispatch()
            return
        self.app.ledger.claim(self.request.key, self.request.rid,
                              self.request.digest, self._on_claim)

    def _on_claim(self, fence, exc):
        if isinstance(exc, errors.DuplicateRequestError):
            self._replay_recorded(exc)
        elif exc is not None:
            self.fail(exc)
        elif self.done:
            # The caller disconnected while the claim was written. Nothing
            # was sent to a replica, so the caller may retry with this key.
            self.app.ledger.release(self.request.key, self.request.rid)
        else:
            self.fence = fence
            self._claimed = True
            self.dispatch()

    def can_replay(self):
        """Returns True if a recorded response has the format requested."""
        return True

    def _replay_recorded(self, exc):
        if self.done:
            return
        if exc.reply is None or not self.can_replay():
            self.fail(exc)
            return
        self.reply.res.headers['X-Replayed'] = '1'
        self.reply.json(exc.reply, exc.status)
        self.close(Outcome.REPLAYED.value)

    @property
    def terms(self):
        """See ``serving.ActiveRequest``.

        Refusals don't count as attempts, so each replica may refuse once.
        Otherwise a request fails with backend_failed although a replica is
        healthy, for instance when four of five engines are down and the load
        reports don't show it yet.
        """
        return attempts.RetryTerms(repeatable=self.request.repeatable,
                                   max_attempts=MAX_ATTEMPTS,
                                   refusals_uncounted=True)

    def send_next(self):
        """See ``serving.ActiveRequest``."""
        replica = self.app.choose_replica(self.request, self.ticket.priority,
                                          self.attempts.tried)
        if replica is None:
            raise self._no_replica_error()
        self.attempts.record_sent(replica.name)
        self.replica = replica
        self._replica_slot.enter_context(replica.occupied(self.ticket.priority))
        self.send(replica)

    def _no_replica_error(self):
        pool = self.request.klass.pool
        if self.attempts.in_doubt:
            return errors.BackendFailedError(
                f'{len(self.attempts.replicas)} replicas of {pool} failed; '
                'none is left')
        return errors.NoReplicaError(f'no replica of {pool} takes requests')

    def send(self, replica):
        """Starts a call to ``replica``.

        Subclasses call ``end_attempt`` when the call ends.
        """
        raise NotImplementedError

    def end_attempt(self, *, reached=True, refused=False):
        """Releases the replica's slot; called once per attempt.

        Args:
            reached: Whether any byte was sent to the replica.
            refused: Whether the replica reported that it did not execute the
                request.
        """
        self._replica_slot.close()
        self.call = None
        if not reached:
            self.attempts.record_unreached()
        elif refused:
            self.attempts.record_refusal()

    def cancel(self):
        """Cancels the job after its caller disconnected."""
        if self.done:
            return
        if self.call is not None:
            self.call.cancel()
            self.stop_backend(self.replica)
            self.end_attempt()
        self.close(Outcome.CANCELLED.value)

    def stop_backend(self, replica):
        """Asks ``replica`` to stop the request, if it supports that."""

    def raise_priority(self):
        """Sends the raised priority to the replica, if it supports that."""

    # -- endings ---------------------------------------------------------------

    def send_error(self, exc):
        """See ``serving.ActiveRequest``."""
        self.log.info('job_failed', code=exc.code, error=str(exc))
        if self._claimed and isinstance(exc, errors.NotRunError):
            self.app.ledger.release(self.request.key, self.request.rid)
        elif self._claimed:
            self.record_response(exc.to_json(), exc.status)
        if not self.reply.error(exc):
            self.reply.stream_error(exc)
        return exc.code

    def record_response(self, obj, status):
        """Records a claimed request's response, to replay it to retries."""
        if self._claimed:
            self.app.ledger.record_response(self.request.key, self.request.rid,
                                            status, obj)

    def record_first_token(self, now):
        """Records the time of the first token or of a service's response."""
        self.first_byte_at = now
        metrics.TTFT.labels(*self.labels).observe(now - self.arrived_at)

    def record_end(self, outcome, exc):
        """See ``serving.ActiveRequest``."""
        e2e_s = time.monotonic() - self.arrived_at
        if outcome == Outcome.OK.value:
            self._count_served(e2e_s)
        else:
            self.wasted_tokens += self.tokens
        metrics.OUTCOMES.labels(*self.labels, outcome).inc()
        if self.wasted_tokens:
            metrics.WASTED.labels(*self.labels).inc(self.wasted_tokens)
        self.log.info('job_done',
                      outcome=outcome,
                      tokens=self.tokens,
                      queued_ms=_elapsed_ms(self.arrived_at, self.started_at),
                      ttft_ms=_elapsed_ms(self.arrived_at, self.first_byte_at),
                      e2e_ms=round(e2e_s * 1000, 1),
                      attempts=self.attempts.replicas)
        was_started = self.started_at is not None
        self.app.finish_job(self, served_s=e2e_s if was_started else None)

    def _count_served(self, e2e_s):
        klass = self.request.klass
        metrics.E2E.labels(*self.labels).observe(e2e_s)
        ttft_s = self.first_byte_at - self.arrived_at
        if ttft_s * 1000 <= klass.ttft_ms and e2e_s * 1000 <= klass.e2e_ms:
            metrics.ATTAINED.labels(*self.labels).inc()
            metrics.GOODPUT.labels(*self.labels).inc(self.tokens)
