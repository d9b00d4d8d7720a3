"""From a request's id to its cause: what was decided, and on what beliefs."""

import functools

from gorsefall import errors
from gorsefall import loglines

_CAUSES = {
    'no_catalogue':
        'the entry had not read any configuration yet, so it could not know '
        'what is allowed',
    'unproven':
        'the entry could not confirm its configuration within the bound on '
        'revoked keys, so the key might have been revoked',
    'crashes_replicas':
        'replicas ended again and again as they ran the same request (caller, '
        'path and body), so it was not sent',
    'no_replica':
        'no replica of the service was left that might take it',
    'replica_refused':
        'the replica had no room for it or was not the one it was meant for',
    'shed':
        'the service had more work than it could finish in time, and more '
        'valuable work goes first',
    'deadline':
        'its time was up before it could be sent',
    'draining':
        'the entry was shutting down',
    'unknown_key':
        'the configuration in force does not hold its key',
    'no_route':
        'the configuration in force has no route for its host and path',
    'outcome_unknown':
        'a replica may have run it and its answer is lost; its kind forbids '
        'another run, or no attempt was left',
    'timed_out':
        'a replica had it and gave no whole answer in time',
}
"""Error codes of final answers, in words."""

_SENTENCES = {
    loglines.NotRun:
        '{0.replica} says it did not run it ({0.status})',
    loglines.Retry:
        'sent once more: {0.reason}',
    loglines.Restored:
        '{0.gone} is gone; the stream goes on at {0.replica} after event '
        '{0.after}',
    loglines.Parked:
        'it waits while another run of the same request shows whether that '
        'one crashes its replica',
    loglines.Configuration:
        'configuration {0.version} came into force',
    loglines.ProofLost:
        'the configuration was last confirmed {0.age_s:.2f} s before',
    loglines.ProofRegained:
        'the configuration was confirmed again',
    loglines.StoreLost:
        'the store stopped answering for {0.topic} ({0.error})',
    loglines.StoreRegained:
        'the store answered again for {0.topic}',
    loglines.ReplicaSeen:
        '{0.replica} was seen {0.status}',
    loglines.ReplicaDoubtful:
        'the record of {0.replica} lapsed beside a store outage',
    loglines.ReplicaGone:
        '{0.replica} got no more work ({0.reason})',
    loglines.Started:
        'the process started',
    loglines.Stopping:
        'the process was told to stop',
    loglines.Stopped:
        'the process ended by itself',
}
"""What events say whose sentence is always built alike."""

_OUTCOMES = {
    'served': 'it was served',
    'replica_failed': "the replica's own error was passed on",
}


def _confirmed(event):
    if event.proof_age_s is None:
        return 'no configuration was confirmed yet'
    return (f'configuration {event.version}, confirmed '
            f'{event.proof_age_s:.2f} s before')


@functools.singledispatch
def describe(event):
    """Returns a sentence for a ``loglines.Event``."""
    return _SENTENCES.get(type(event), type(event).__name__).format(event)


@describe.register
def _(event: loglines.Sent):
    return (f'attempt {event.attempt}: sent to {event.replica} of '
            f'{event.service or "its service"}, priority {event.priority}; '
            f'{event.outstanding} requests of this entry and about '
            f'{event.others:.0f} of others were there; '
            f'{_confirmed(event)}')


@describe.register
def _(event: loglines.AttemptFailed):
    reached = 'may have it' if event.sent else 'was never reached'
    return (f'{event.replica} gave no whole answer after '
            f'{event.after_ms:.0f} ms ({event.reason}); it {reached}')


@describe.register
def _(event: loglines.Answered):
    took = '' if event.ms is None else f' after {event.ms:.0f} ms'
    route = f' on route {event.route}' if event.route else ''
    last = f', last event {event.last_event}' if event.last_event else ''
    why = f': {event.error}' if event.error else ''
    back = ('' if event.retry_after_s is None else
            f'; told to return after {event.retry_after_s:.2f} s')
    return f'{event.outcome}{route}{took}{last}{why}{back}'


def _subject(event):
    """What a belief is about; a later line of the same replaces it."""
    if isinstance(event, loglines.Configuration):
        return 'configuration'
    if isinstance(event, loglines.ProofLost | loglines.ProofRegained):
        return 'proof'
    if isinstance(event, loglines.StoreLost | loglines.StoreRegained):
        return f'store {event.topic}'
    if isinstance(
            event, loglines.ReplicaSeen | loglines.ReplicaDoubtful |
            loglines.ReplicaGone):
        return f'replica {event.replica}'
    return 'process'


def _beliefs(lines, own):
    """Returns the lines in force at the process when the request came."""
    replicas = set()
    for line in own:
        if isinstance(line.event, loglines.Answered):
            replicas.update(line.event.attempts)
        elif isinstance(line.event, loglines.Sent):
            replicas.add(line.event.replica)
    latest = {}
    for line in lines:
        if line is own[0]:
            break
        if line.process != own[0].process:
            continue
        if isinstance(line.event, loglines.Started):
            latest.clear()
        if isinstance(line.event, loglines.ObservedState):
            subject = _subject(line.event)
            latest.pop(subject, None)
            latest[subject] = line
    return [
        line for subject, line in latest.items()
        if not subject.startswith('replica ') or line.event.replica in replicas
    ]


def cause(lines, own):
    """Returns in one sentence why a request ended as it did.

    Args:
        lines: All ``loglines.Line`` objects.
        own: Those of the request, not empty.
    """
    last = own[-1].event
    if not isinstance(last, loglines.Answered):
        return _no_end(lines, own[-1])
    if last.outcome == 'broken_off':
        return ('its answer had begun and could not go on: '
                f'{_CAUSES.get(last.code, last.code)}{_trouble(own)}')
    if last.outcome == 'caller_left':
        return f'the caller left {_progress(own)}{_trouble(own)}'
    known = _OUTCOMES.get(last.outcome) or _CAUSES.get(last.code)
    return f'{known or last.error or last.outcome}{_trouble(own)}'


def _progress(own):
    """Returns how far a request had come when its caller left."""
    last = own[-1].event
    if last.first_ms is not None:
        return (f'in the middle of an answer that had begun after '
                f'{last.first_ms:.0f} ms')
    sends = [ln.event for ln in own if isinstance(ln.event, loglines.Sent)]
    if not sends:
        return 'before it was sent to any replica'
    return (f'before its answer began; it waited at {sends[-1].replica}, '
            f'where {sends[-1].outstanding} requests of this entry and about '
            f'{sends[-1].others:.0f} of others were before it')


def _trouble(own):
    """Returns what replicas did to the request, for the end of a sentence."""
    told = [
        describe(line.event)
        for line in own
        if isinstance(line.event, loglines.AttemptFailed | loglines.NotRun)
    ]
    return f' ({"; ".join(told)})' if told else ''


def _no_end(lines, last):
    after = lines[lines.index(last) + 1:]
    for line in after:
        if line.process == last.process and isinstance(line.event,
                                                       loglines.Started):
            return ('its process ended without a word (killed, or its VM lost '
                    f'power) and started again at {line.at_s:.3f} s')
    return 'no final answer is logged: it still ran at the end of the logs'


def explain(log, request):
    """Returns the explanation of a request as text.

    Args:
        log: A ``loglines.Log``.
        request: The request's id.

    Raises:
        errors.UnknownRequestError: No line has this id.
    """
    # Each process's lines keep their order: its clock may be set back.
    own = [
        line for line in log.lines
        if isinstance(line.event, loglines.RequestEvent) and
        line.event.rid == request
    ]
    if not own:
        raise errors.UnknownRequestError(
            f'{request}: no line of this request in {len(log.lines)} lines; '
            'it never reached these entries, or its lines were left out')
    out = [f'request {request} at {own[0].process}', '', 'believed then:']
    out += _told(_beliefs(log.lines, own)) or ['  nothing yet']
    out += ['', 'decided:', *_told(own), '', f'cause: {cause(log.lines, own)}']
    if log.malformed:
        out += ['', f'{log.malformed} spoilt lines were passed over']
    return '\n'.join(out)


def _told(lines):
    return [f'  {line.at_s:.4f}  {describe(line.event)}' for line in lines]
