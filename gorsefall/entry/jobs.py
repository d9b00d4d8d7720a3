"""What every caller request goes through: claim, dispatch, retry, finish."""

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
"""Replicas that may have begun one request, at most: the second covers one
that crashed, the third one that crashed while its work moved."""


class Outcome(enum.Enum):
    """How a job ended, beside the error codes."""
    OK = 'ok'
    REFUSED = 'refused'
    REPLAYED = 'replayed'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(kw_only=True)
class CallerRequest:
    """What a caller asked, decoded; subclasses add what is asked for.

    Attributes:
        rid: Request id.
        customer: Customer name.
        klass: The catalogue ``Klass``.
        key: Idempotency key scoped by customer, or empty.
        repeatable: False when the request must run at most once.
        deadline: Time by which it must have started, s (monotonic).
    """
    rid: ids.RequestId
    customer: ids.CustomerId
    klass: object
    key: str = ''
    repeatable: bool = True
    deadline: float = float('inf')

    @property
    def prefix_text(self):
        """Text whose start decides where its shared part is cached."""
        return ''

    @property
    def digest(self):
        """Digest of what is asked, to notice a key used for another."""
        return ''


@dataclasses.dataclass(kw_only=True)
class TextRequest(CallerRequest):
    """A request for generated text.

    Attributes:
        model: Model name.
        prompt: Prompt text (chat messages joined).
        max_tokens: Token cap.
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
    """A chat completion."""


class CompletionRequest(TextRequest):
    """A plain completion."""


@dataclasses.dataclass(kw_only=True)
class ServiceRequest(CallerRequest):
    """A plain-service call.

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


def _ms(since, until):
    """Returns the time between in ms, or None when it never came."""
    return None if until is None else round((until - since) * 1000, 1)


def new_rid():
    """Returns a fresh request id."""
    return ids.RequestId('req-' + uuid.uuid4().hex[:16])


class Job(serving.ActiveRequest):
    """Runs one ``CallerRequest`` through a pool's replicas; owns its reply.

    Attributes:
        ticket: Its ``admission.Ticket``.
        tokens: Tokens delivered to the caller.
        wasted_tokens: Tokens generated and then thrown away or repeated.
        last_progress_at: Last sign of service from the replica, s (monotonic).
    """

    def __init__(self, app, request, ticket, reply):
        k = request.klass
        super().__init__(
            logs.get('job').bind(rid=request.rid,
                                 customer=request.customer,
                                 klass=k.name))
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
        self._place = contextlib.ExitStack()
        self.labels = (request.customer, k.name, str(k.tier))

    # -- lifecycle -----------------------------------------------------------

    def start(self):
        """Leaves the queue and goes out, after a ledger claim if needed.

        Without a key no other entry and no retry can run the same request,
        so only requests with a key are claimed.
        """
        self.started_at = self.last_progress_at = time.monotonic()
        if self.request.repeatable or not self.request.key:
            self.dispatch()
            return
        self.app.ledger.claim(self.request.key, self.request.rid,
                              self.request.digest, self._on_claim)

    def _on_claim(self, fence, exc):
        if isinstance(exc, errors.DuplicateRequestError):
            self._replay(exc)
        elif exc is not None:
            self.fail(exc)
        elif self.done:
            # The caller left while the claim was written: nothing was sent,
            # so the key is free for its next try.
            self.app.ledger.release(self.request.key, self.request.rid)
        else:
            self.fence = fence
            self._claimed = True
            self.dispatch()

    def can_replay(self):
        """Whether a recorded answer fits the form the caller wants."""
        return True

    def _replay(self, exc):
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

        Counting refusals failed requests while a healthy replica was left
        (symptom: backend_failed with one of five engines up, before load
        reports showed the outage), so each replica may refuse once.
        """
        return attempts.RetryTerms(repeatable=self.request.repeatable,
                                   max_attempts=MAX_ATTEMPTS,
                                   refusals_uncounted=True)

    def send_next(self):
        """See ``serving.ActiveRequest``."""
        replica = self.app.choose_replica(self.request, self.ticket.priority,
                                          self.attempts.tried)
        if replica is None:
            raise self._no_replica()
        self.attempts.record_sent(replica.name)
        self.replica = replica
        self._place.enter_context(replica.occupied(self.ticket.priority))
        self.send(replica)

    def _no_replica(self):
        pool = self.request.klass.pool
        if self.attempts.in_doubt:
            return errors.BackendFailedError(
                f'{len(self.attempts.replicas)} replicas of {pool} failed; '
                'none is left')
        return errors.NoReplicaError(f'no replica of {pool} takes requests')

    def send(self, replica):
        """Calls ``replica``; subclasses call ``end_attempt``."""
        raise NotImplementedError

    def end_attempt(self, *, reached=True, refused=False):
        """Gives back the replica's place; called once per attempt.

        Args:
            reached: Whether any byte went out.
            refused: Whether the replica says that it did nothing.
        """
        self._place.close()
        self.call = None
        if not reached:
            self.attempts.record_unreached()
        elif refused:
            self.attempts.record_refusal()

    def cancel(self):
        """The caller went away: stop the back end and count the waste."""
        if self.done:
            return
        if self.call is not None:
            self.call.cancel()
            self.stop_backend(self.replica)
            self.end_attempt()
        self.close(Outcome.CANCELLED.value)

    def stop_backend(self, replica):
        """Tells ``replica`` to stop working on the request, where it can."""

    def raise_priority(self):
        """Tells the replica of a promotion, where it can act on it."""

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
        """Records the answer of a claimed request for its repetitions."""
        if self._claimed:
            self.app.ledger.record_response(self.request.key, self.request.rid,
                                            status, obj)

    def record_first_token(self, now):
        """Notes the first token, or the whole reply of a plain service."""
        self.first_byte_at = now
        metrics.TTFT.labels(*self.labels).observe(now - self.arrived_at)

    def record_end(self, outcome, exc):
        """See ``serving.ActiveRequest``."""
        e2e = time.monotonic() - self.arrived_at
        if outcome == Outcome.OK.value:
            self._count_served(e2e)
        else:
            self.wasted_tokens += self.tokens
        metrics.OUTCOMES.labels(*self.labels, outcome).inc()
        if self.wasted_tokens:
            metrics.WASTED.labels(*self.labels).inc(self.wasted_tokens)
        self.log.info('job_done',
                      outcome=outcome,
                      tokens=self.tokens,
                      queued_ms=_ms(self.arrived_at, self.started_at),
                      ttft_ms=_ms(self.arrived_at, self.first_byte_at),
                      e2e_ms=round(e2e * 1000, 1),
                      attempts=self.attempts.replicas)
        ran = self.started_at is not None
        self.app.finish_job(self, served_s=e2e if ran else None)

    def _count_served(self, e2e):
        klass = self.request.klass
        metrics.E2E.labels(*self.labels).observe(e2e)
        ttft = self.first_byte_at - self.arrived_at
        if ttft * 1000 <= klass.ttft_ms and e2e * 1000 <= klass.e2e_ms:
            metrics.ATTAINED.labels(*self.labels).inc()
            metrics.GOODPUT.labels(*self.labels).inc(self.tokens)
