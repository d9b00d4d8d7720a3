"""Explains from the logs why a request ended as it did.

The explanation lists the state that the entry observed when the request
arrived, the decisions about the request, and the cause of its outcome.
"""

import functools
import re

from gorsefall import errors
from gorsefall import loglines

_CAUSES = {
    'no_catalogue':
        'the entry had not read any configuration yet, so it could not decide '
        'whether the request is allowed',
    'unproven':
        'the entry could not confirm its configuration within the time limit '
        'for revoked keys, so the key might have been revoked, or a route '
        'added',
    'crashes_replicas':
        'replicas repeatedly crashed while running the same request (caller, '
        'path and body), or requests with the same part of their prompts, so '
        'it was not sent',
    'part_suspected':
        'replicas crashed while running it or requests with a part of its '
        'prompt, but many requests share that part, or replicas crash as often '
        'without it; one run shows soon whether it may be sent again',
    'no_replica':
        'no replica of the service was available for it',
    'replica_refused':
        'the replica had no capacity for it, or was not the replica that the '
        'entry had addressed',
    'stream_unknown':
        'no entry knew at which software version the stream began, and '
        'replicas of several versions served',
    'shed':
        'the service had more work than it could finish in time, and requests '
        'of higher value go first',
    'deadline':
        'its deadline passed before it could be sent',
    'draining':
        'the entry was shutting down',
    'unknown_key':
        'the active configuration does not contain its API key',
    'no_route':
        'the active configuration has no route for its host and path',
    'outcome_unknown':
        'a replica may have run it and its response is lost; either it must '
        'not run twice, or no attempt was left',
    'caller_lost':
        'the connection to its caller failed, and the caller had not closed it',
    'caller_yielded':
        'its caller did not read for a while, and others needed what it held',
    'memory_short':
        'the entry had no memory for it beside what it held for others',
    'timed_out':
        'a replica received it but did not complete the response in time',
}
"""``error code -> cause``."""

_SENTENCES = {
    loglines.NotRun:
        '{0.replica} reported that it did not run the request ({0.status})',
    loglines.Retry:
        'sent again: {0.reason}',
    loglines.Restored:
        '{0.gone} is gone; the stream continues at {0.replica} after event '
        '{0.after}',
    loglines.NotTakenOver:
        'no other replica takes it over: {0.error}',
    loglines.Kept:
        'the attempt at {0.replica}, which was silent, goes on ({0.by})',
    loglines.AwaitsReplicas:
        "waits for a read of the replicas' records, which were too old",
    loglines.Parked:
        'waiting for another run of the same request, which shows whether the '
        'request crashes replicas',
    loglines.Configuration:
        'configuration {0.version} became active',
    loglines.ProofLost:
        'the configuration was last confirmed {0.age_s:.2f} s earlier',
    loglines.ProofRegained:
        'the configuration was confirmed again',
    loglines.StoreLost:
        'the store stopped responding for {0.topic} ({0.error})',
    loglines.StoreRegained:
        'the store responded again for {0.topic}',
    loglines.StoreRestored:
        'the store came back from an older copy for {0.topic} (era {0.era})',
    loglines.StoreIsBehind:
        'the store held version {0.stored} only, {0.version} stayed active',
    loglines.ConfirmationWithheld:
        'version {0.version} was not confirmed, as the store may have lost a '
        'newer one (another entry knew {0.told})',
    loglines.LostVersionTold:
        'another entry sent version {0.version}, which the store had lost',
    loglines.ReplicaSeen:
        '{0.replica} was reported as {0.status}',
    loglines.ReplicaDoubtful:
        'the record of {0.replica} expired during a store outage',
    loglines.ReplicaGone:
        '{0.replica} received no more requests ({0.reason})',
    loglines.ReplicaLeaving:
        '{0.replica} announced its exit in a response',
    loglines.ReplicaPaused:
        '{0.replica} refused a request and asked for a pause of {0.for_s:g} s',
    loglines.PathsRegained:
        'the replicas of {0.service} could be reached again, after '
        '{0.after_s:g} s',
    loglines.Forwarded:
        'forwarded for {0.entry} to {0.replica}: {0.outcome} after {0.ms} ms',
    loglines.Started:
        'the process started',
    loglines.Stopping:
        'the process received a signal to stop',
    loglines.Stopped:
        'the process exited normally',
}
"""``event type -> format string``, for events without a function below."""

_ENDINGS = {'closed': ', ended by the end of its connection'}
"""``ending -> addition``; nothing about a response that was framed."""

_OUTCOMES = {
    'served': 'it was served',
    'replica_failed': "the replica's own error was forwarded",
}


def _confirmed(event):
    if event.proof_age_s is None:
        return 'no configuration had been confirmed yet'
    return (f'configuration {event.version}, confirmed '
            f'{event.proof_age_s:.2f} s earlier')


def _replicas_known(event):
    if event.replicas_age_s is None:
        return ''
    text = f"; replicas' records confirmed {event.replicas_age_s:.2f} s earlier"
    if event.told_by:
        text += f', told by {event.told_by}'
    if event.lapsed:
        text += '; this replica has no record any more'
    return text


def _via(event):
    return f'; through the entry at {event.via}' if event.via else ''


def _software(event):
    text = f', software {event.software}' if event.software else ''
    if event.began_as is not None:
        text += f', to go on with the stream of {event.began_as}'
    return text


@functools.singledispatch
def describe(event):
    """Returns a sentence that describes a ``loglines.Event``."""
    return _SENTENCES.get(type(event), type(event).__name__).format(event)


@describe.register
def _(event: loglines.Sent):
    return (f'attempt {event.attempt}: sent to {event.replica} of '
            f'{event.service or "its service"}{_software(event)}, '
            f'priority {event.priority}; '
            f'{event.outstanding} requests of this entry and about '
            f'{event.others:.0f} of other entries were in flight there; '
            f'{_confirmed(event)}{_replicas_known(event)}{_via(event)}')


@describe.register
def _(event: loglines.StreamTakenUp):
    where = ('nowhere'
             if event.software is None else f'at software {event.software}')
    return (f'takes up the stream of {event.began_as or "an unnamed request"}, '
            f'which may go on {where} ({event.reason}); {event.answers} other '
            f'entries answered{_observed(event)}')


def _observed(event):
    if event.entry_age_s is None:
        return ''
    return (f', and this one has seen for {event.entry_age_s:g} s which '
            'versions serve')


@describe.register
def _(event: loglines.PathsLost):
    return (f'this entry could not connect to {", ".join(event.not_reached)} '
            f'of {event.service}; {event.by} reached {event.reached}')


@describe.register
def _(event: loglines.LimitAnnounced):
    limit = ('no limit any more'
             if event.per_s is None else f'{event.per_s:g} requests a second')
    return f'{event.replica} announced {limit}'


@describe.register
def _(event: loglines.LimitPartChanged):
    return (f'this entry may use {event.part:.0%} of the limit of '
            f'{event.replica}, by its demand')


@describe.register
def _(event: loglines.PlacesBorrowed):
    lent = f'{event.places} places' if event.places else 'no places any more'
    return f'other entries lent this one {lent} at replicas of {event.service}'


@describe.register
def _(event: loglines.AttemptFailed):
    reached = ('may have received the request'
               if event.sent else 'did not receive the request')
    return (f'the attempt at {event.replica} failed after '
            f'{event.after_ms:.0f} ms ({event.reason}); the replica {reached}'
            f'{_via(event)}')


@describe.register
def _(event: loglines.Withheld):
    why = ('whose records were too old'
           if event.listed else 'which had left or restarted since')
    return f'not sent to {event.replica} after all, {why}'


@describe.register
def _(event: loglines.Answered):
    took = '' if event.ms is None else f' after {event.ms:.0f} ms'
    route = f' on route {event.route}' if event.route else ''
    last = f', last event {event.last_event}' if event.last_event else ''
    last += _ENDINGS.get(event.ending, '')
    why = f': {event.error}' if event.error else ''
    retry = ('' if event.retry_after_s is None else
             f'; asked to retry after {event.retry_after_s:.2f} s')
    return f'{event.outcome}{route}{took}{last}{why}{retry}'


def _subject(event):
    """Returns what an ``ObservedState`` is about.

    A later line about the same subject replaces an earlier one.
    """
    if isinstance(event, loglines.Configuration):
        return 'configuration'
    if isinstance(event, loglines.ProofLost | loglines.ProofRegained):
        return 'confirmation'
    if isinstance(event, loglines.PathsLost | loglines.PathsRegained):
        return f'paths {event.service}'
    if isinstance(event, loglines.PlacesBorrowed):
        return f'places {event.service}'
    if isinstance(event, loglines.StoreIsBehind):
        return 'stored version'
    if isinstance(event,
                  loglines.ConfirmationWithheld | loglines.LostVersionTold):
        return 'lost version'
    if isinstance(event, loglines.StoreRestored):
        return f'era {event.topic}'
    if isinstance(event, loglines.StoreLost | loglines.StoreRegained):
        return f'store {event.topic}'
    if isinstance(
            event, loglines.ReplicaSeen | loglines.ReplicaDoubtful |
            loglines.ReplicaGone):
        return f'replica {event.replica}'
    if isinstance(
            event, loglines.ReplicaLeaving | loglines.ReplicaPaused |
            loglines.LimitAnnounced | loglines.LimitPartChanged):
        return f'{type(event).__name__} {event.replica}'
    return 'process'


def _observed_state(lines, own):
    """Returns the ``ObservedState`` lines in effect at a request's arrival."""
    replicas = set()
    for line in own:
        if isinstance(line.event, loglines.Answered):
            replicas.update(line.event.attempts)
            # The error names the replicas that accept no requests.
            replicas.update(re.findall(r'[^\s(),]+', line.event.error or ''))
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
        line for line in latest.values()
        if getattr(line.event, 'replica', None) in (None, *replicas)
    ]


def cause(lines, own):
    """Returns a sentence on why a request ended as it did.

    Args:
        lines: All ``loglines.Line`` objects.
        own: The lines of the request; not empty.
    """
    last = own[-1].event
    if not isinstance(last, loglines.Answered):
        return _missing_end(lines, own[-1])
    if last.outcome == 'broken_off':
        cause_code = last.cause or last.code
        return ('its response had begun and could not be completed: '
                f'{_CAUSES.get(cause_code, cause_code)}{_failures(own)}')
    if last.outcome in ('caller_lost', 'caller_yielded'):
        return (f'{_CAUSES[last.outcome]} ({last.disconnect or last.error}), '
                f'{_progress(own)}')
    if last.outcome == 'caller_left':
        return f'the caller left {_progress(own)}{_failures(own)}'
    text = _OUTCOMES.get(last.outcome) or _CAUSES.get(last.code)
    return f'{text or last.error or last.outcome}{_failures(own)}'


def _progress(own):
    """Returns how far a request had got when its caller left."""
    last = own[-1].event
    if last.first_ms is not None:
        return (f'in the middle of a response that had begun after '
                f'{last.first_ms:.0f} ms')
    sent = [ln.event for ln in own if isinstance(ln.event, loglines.Sent)]
    if not sent:
        return 'before it was sent to any replica'
    return (f'before its response began; it waited at {sent[-1].replica}, '
            f'behind {sent[-1].outstanding} requests of this entry and about '
            f'{sent[-1].others:.0f} of other entries')


def _failures(own):
    """Returns the failed attempts in parentheses, or an empty string."""
    failures = [
        describe(line.event)
        for line in own
        if isinstance(line.event, loglines.AttemptFailed | loglines.NotRun)
    ]
    return f' ({"; ".join(failures)})' if failures else ''


def _missing_end(lines, last):
    """Returns why the logs contain no final response of a request."""
    after = lines[lines.index(last) + 1:]
    for line in after:
        if line.process == last.process and isinstance(line.event,
                                                       loglines.Started):
            return ('its process exited without logging it (killed, or its VM '
                    f'lost power) and started again at {line.at_s:.3f} s')
    return ('no final response is logged: it was still in progress at the end '
            'of the logs')


def explain(log, request):
    """Returns the explanation of a request as text.

    Args:
        log: A ``loglines.Log``.
        request: Request ID.

    Raises:
        errors.UnknownRequestError: No line has this ID.
    """
    # Lines are not sorted by time, as a process's clock may be set back.
    own = [
        line for line in log.lines
        if isinstance(line.event, loglines.RequestEvent) and
        line.event.rid == request
    ]
    forwarded = [ln for ln in own if isinstance(ln.event, loglines.Forwarded)]
    own = [ln for ln in own if ln not in forwarded] or own
    if not own:
        raise errors.UnknownRequestError(
            f'{request}: none of {len(log.lines)} lines is of this request; it '
            'never reached these entries, or its lines were dropped')
    out = [f'request {request} at {own[0].process}', '', 'observed state:']
    out += _format(_observed_state(log.lines, own)) or ['  nothing yet']
    out += ['', 'decisions:', *_format(own)]
    if forwarded and forwarded != own:
        out += ['', f'at {forwarded[0].process}:', *_format(forwarded)]
    out += ['', f'cause: {cause(log.lines, own)}']
    if log.malformed:
        out += ['', f'{log.malformed} malformed lines were skipped']
    return '\n'.join(out)


def _format(lines):
    return [f'  {line.at_s:.4f}  {describe(line.event)}' for line in lines]
