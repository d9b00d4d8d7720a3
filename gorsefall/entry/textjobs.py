"""Text generation requests: relays an engine's stream to the caller."""

import time

import msgspec

from gorsefall import decoding
from gorsefall import errors
from gorsefall import messages
from gorsefall import metrics
from gorsefall.entry import jobs
from gorsefall.entry import openai
from gorsefall.net import links

OK_STATUS = 200

_EVENT = decoding.json_decoder(messages.Event)


class TextJob(jobs.Job):
    """Generates text for one ``jobs.TextRequest``.

    Generation has no side effects outside the engine. If an attempt is
    interrupted, another replica therefore continues after the tokens already
    delivered, and the caller receives each token exactly once.
    """

    def __init__(self, app, request, ticket, reply):
        super().__init__(app, request, ticket, reply)
        self._parts = []
        self._partial_line = b''
        self._status = None
        self._final_event = None
        self._last_event_at = None

    def send(self, replica):
        """See ``jobs.Job.send``."""
        body = messages.GenerateOrder(id=self.request.rid,
                                      entry=self.app.entry_name,
                                      model=self.request.model,
                                      prompt=self.request.prompt,
                                      max_tokens=self.request.max_tokens,
                                      priority=self.ticket.priority,
                                      preempt=not self.ticket.promoted,
                                      resume_from=self.tokens,
                                      prior=''.join(self._parts))
        self._partial_line = b''
        self._status = None
        self._final_event = None
        self._last_event_at = None
        self.call = links.call(self.app,
                               replica.addr,
                               'POST',
                               '/generate',
                               body,
                               on_head=self._on_head,
                               on_data=self._on_data,
                               on_end=self._on_end,
                               idle_s=self.app.cfg.entry.stream_idle_s)

    def _on_head(self, status):
        self._status = status

    def _on_data(self, data):
        if self._status != OK_STATUS:
            return
        self._partial_line += data
        *lines, self._partial_line = self._partial_line.split(b'\n')
        for line in lines:
            if line and not self._handle_line(line):
                return

    def _handle_line(self, line):
        """Handles a line of the stream; returns whether it is an event."""
        try:
            event = _EVENT.decode(line)
        except errors.UndecodableError as exc:
            self.log.error('engine_event_malformed',
                           replica=self.replica.name,
                           error=str(exc))
            self._abort('sent what is no event')
            return False
        self._on_event(event)
        return True

    def _on_event(self, event):
        if event.done:
            self._final_event = event
        elif event.n == 0:
            return
        elif event.i == self.tokens:
            self._deliver(event)
        elif event.i + event.n <= self.tokens:
            self.wasted_tokens += event.n
        else:
            # Tokens are missing, or the event mixes delivered and new
            # tokens. Relaying it would give the caller a text that no engine
            # generated.
            self._abort_on_gap(event)

    def _abort_on_gap(self, event):
        self.log.error('engine_out_of_step',
                       replica=self.replica.name,
                       at=event.i,
                       n=event.n,
                       delivered=self.tokens)
        self._abort('out of step')

    def _abort(self, reason):
        self.call.cancel()
        self.stop_backend(self.replica)
        self._on_end(errors.LinkError(f'{self.replica.name} {reason}'))

    def _deliver(self, event):
        now = time.monotonic()
        if self.first_byte_at is None:
            self.record_first_token(now)
        else:
            metrics.TBT.labels(*self.labels).observe(
                (now - self.last_progress_at) / event.n)
        if self._last_event_at is not None:
            self.replica.observe_gap((now - self._last_event_at) / event.n)
        self._last_event_at = self.last_progress_at = now
        first = self.tokens == 0
        self.tokens += event.n
        self._parts.append(event.t)
        if self.request.stream:
            self._send_chunk(openai.chunk(self.request, event.t, first=first))

    def _on_end(self, exc):
        replica = self.replica
        self.end_attempt(reached=self.call is None or self.call.sent,
                         refused=self._status not in (None, OK_STATUS))
        if self.done:
            return
        if self._final_event is not None and self._final_event.n == self.tokens:
            replica.record_success()
            self._finish(self._final_event.reason)
            return
        replica.record_failure(time.monotonic())
        self.log.warning('engine_attempt_failed',
                         replica=replica.name,
                         status=self._status,
                         error=str(exc),
                         tokens=self.tokens)
        self.retry_or_fail(
            errors.BackendFailedError(
                f'{len(self.attempts.replicas)} engines failed; '
                f'{self.tokens} tokens were delivered'), str(exc))

    def _finish(self, reason):
        if self.request.stream:
            self._send_chunk(openai.chunk(self.request, None, reason=reason))
            self.reply.push.send(b'data: [DONE]\n\n')
            self.reply.push.end()
        else:
            body = openai.full_response(self.request, ''.join(self._parts),
                                        reason, self.tokens)
            self.record_response(body, OK_STATUS)
            self.reply.json(body)
        self.close(jobs.Outcome.OK.value)

    def _send_chunk(self, obj):
        stream = self.reply.stream(openai.SSE_CONTENT_TYPE)
        stream.send(b'data: ' + msgspec.json.encode(obj) + b'\n\n')

    def can_replay(self):
        """See ``jobs.Job.can_replay``."""
        return not self.request.stream

    def stop_backend(self, replica):
        """See ``jobs.Job.stop_backend``."""
        self._post(replica, '/cancel', {'id': self.request.rid})

    def raise_priority(self):
        """See ``jobs.Job.raise_priority``."""
        if self.call is not None:
            self._post(self.replica, '/priority', {
                'id': self.request.rid,
                'priority': self.ticket.priority
            })

    def _post(self, replica, path, body):
        # Failures are ignored: an engine that misses a cancellation detects
        # the closed stream, and a missed promotion only delays the request.
        links.fetch_json(self.app,
                         replica.addr,
                         'POST',
                         path,
                         body,
                         done=lambda *reply: None)
