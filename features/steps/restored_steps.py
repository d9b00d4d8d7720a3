"""Steps of the feature on a store that comes back from an older copy."""

import signal
import threading
import time

from behave import given
from behave import then
from behave import when
from steps import platform_site
from steps import sharing_steps

import standin
import wire_callers

from gorsefall.standins import waiting

APPLY_S = 2.0
"""Time within which a version that was confirmed has to be in force, s."""

SETTLE_S = 1.0
"""Time in which all entries have received a change, s."""

BEAT_S = 0.3
"""Pause between two records of a replica, s."""

LOAD_S = 5.0
"""Time for which requests are sent after the return, s."""

PAUSE_S = 0.02
"""Pause between two rounds of requests, s."""

REVOKED_KEY = 'k-extra'


def _put_version(context, version, keys=None):
    routes = standin.config(1)['routes'] + [
        standin.route(f'v{n}', f'/v{n}/', 'idempotent', 'plain')
        for n in range(2, version + 1)
    ]
    if keys is None:
        keys = getattr(context, 'keys', standin.ACCOUNTS_BY_KEY)
    context.version = version
    context.platform.store.put('keyed.op', 'config',
                               standin.config(version, routes, keys))


def _send(context, site, path, **kw):
    return wire_callers.send_request(site.callers, path,
                                     platform_site.new_rid(context), **kw)


def _serves_version(context, site):
    return _send(context, site, f'/v{context.version}/x').status == 200


def _in_force(context):
    return all(_serves_version(context, site) for site in context.sites)


@given('versions {first:d} to {last:d} of the configuration are in force')
def step_versions(context, first, last):
    context.keys = standin.ACCOUNTS_BY_KEY | {REVOKED_KEY: 'extra'}
    for version in range(first, last + 1):
        if version == 5:
            context.copy = context.platform.store.save()
        _put_version(context, version)
    waiting.until(lambda: _in_force(context), 'the last version in force')


def _lose(context, away_s, copy):
    """The store is away and comes back from ``copy``."""
    store = context.platform.store
    store.switch('reset')
    time.sleep(away_s)
    store.restore(copy)


@when('the store is away for {away:g} s and back from a copy without versions '
      '5 to 8')
@when('the store is away for {away:g} s and back from a copy without the last '
      'version')
@when('the store is away for {away:g} s and back from a copy without the last '
      '30 records')
@when('the store is away for {away:g} s and back from a copy without the new '
      'ones')
def step_lose(context, away):
    _lose(context, away, context.copy)


@when('version {version:d} is written')
def step_write_version(context, version):
    context.copy = context.platform.store.save()
    _put_version(context, version)


@when('the store comes back once more without version 9')
def step_lose_again(context):
    _lose(context, 0.3, context.copy)


@when('versions {first:d} to {last:d} are written, with pauses of {pause:g} s '
      'after {wait:g} s')
def step_write_versions(context, first, last, pause, wait):
    time.sleep(wait)
    for version in range(first, last + 1):
        _put_version(context, version)
        time.sleep(pause)


@then('the newest version is in force at all entries within 2 s')
def step_in_force(context):
    time.sleep(APPLY_S)
    behind = [s.name for s in context.sites if not _serves_version(context, s)]
    assert not behind, behind


@when('the key of a lost version is revoked')
def step_revoke(context):
    context.copy = context.platform.store.save()
    context.keys = standin.ACCOUNTS_BY_KEY
    _put_version(context, context.version + 1)
    context.revoked_at = time.monotonic()
    time.sleep(SETTLE_S)


@then('for {seconds:g} s all entries serve the lost version and none accepts '
      'the revoked key')
def step_stays_in_force(context, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for site in context.sites:
            assert _serves_version(context, site), site.name
            reply = _send(context, site, '/i/x', key=REVOKED_KEY)
            assert reply.status == 401, (site.name, reply)
        time.sleep(PAUSE_S)


@when('one of the entries is {how}')
def step_stop_entry(context, how):
    context.stopped_site = context.sites[-1]
    proc = context.stopped_site.proc
    proc.send_signal(signal.SIGKILL if how == 'killed' else signal.SIGSTOP)
    if how == 'paused':
        context.add_cleanup(proc.send_signal, signal.SIGCONT)


@when('the same entry is {how}')
def step_continue_entry(context, how):
    site = context.stopped_site
    if how == 'started':
        site.proc.wait()
        site.start()
    else:
        # Until then it may rely on what it knew.
        time.sleep(context.revoked_at + sharing_steps.REVOKE_S -
                   time.monotonic())
        site.proc.send_signal(signal.SIGCONT)
    context.continued_at = time.monotonic()


@then('it never accepts the revoked key')
def step_never_accepts(context):
    context.served_at = None
    while time.monotonic() - context.continued_at < LOAD_S:
        status = _send(context, context.stopped_site, '/i/x',
                       key=REVOKED_KEY).status
        assert status in (401, 503), status
        if context.served_at is None and _serves_version(
                context, context.stopped_site):
            context.served_at = time.monotonic()
        time.sleep(PAUSE_S)


@then('it serves the lost version within {seconds:g} s')
def step_serves(context, seconds):
    assert context.served_at is not None
    assert context.served_at - context.continued_at < seconds


class _Writer(threading.Thread):
    """Writes the records of replicas again and again while the store is up.

    Attributes:
        states: ``replica id -> state`` to write.
    """

    def __init__(self, site, states):
        super().__init__(daemon=True)
        self._site = site
        self.states = states
        self._done = threading.Event()

    def run(self):
        while not self._done.wait(BEAT_S):
            if self._site.store.mode != 'ok':
                continue
            for name, state in list(self.states.items()):
                self._site.store.put('keyed.servers', name,
                                     self._site.replicas[name].record(state))

    def close(self):
        self._done.set()


@given('the replicas write their records again and again')
def step_beats(context):
    context.writer = _Writer(context.platform,
                             {n: 'ready' for n in platform_site.PLAIN_REPLICAS})
    context.writer.start()
    context.add_cleanup(context.writer.close)
    time.sleep(SETTLE_S)
    # At least fifteen records of each replica are lost.
    context.copy = context.platform.store.save()
    time.sleep(5 * SETTLE_S)


@when('the store is away for {away:g} s and back from a copy in which it is '
      'ready')
def step_lose_leaving(context, away):
    # Its next record comes a while after the return.
    name = context.leaving.id
    state = context.writer.states.pop(name, None)
    _lose(context, away, context.copy)
    context.sent_until = time.monotonic()
    if state is not None:
        threading.Timer(1.0, context.writer.states.__setitem__,
                        (name, state)).start()


@when('a plain replica says that it leaves')
def step_leaves(context):
    name = platform_site.PLAIN_REPLICAS[0]
    site = context.platform
    context.leaving = site.replicas[name]
    time.sleep(0.5)
    context.writer.states[name] = 'draining'
    site.store.put('keyed.servers', name, context.leaving.record('draining'))
    context.sent_until = time.monotonic()
    if site.store.era == 1:
        time.sleep(2 * SETTLE_S)


def _serve(context):
    """Returns the refused responses to requests at all entries in turn."""
    refused = []
    end = time.monotonic() + LOAD_S
    while time.monotonic() < end:
        for site in context.sites:
            reply = _send(context, site, '/i/x')
            if reply.status != 200:
                refused.append(reply)
        time.sleep(PAUSE_S)
    return refused


@then('no request is refused')
def step_none_refused(context):
    refused = _serve(context)
    assert not refused, (len(refused), refused[0])


@then('it gets no request later than {bound:g} s, and none is refused')
def step_unused(context, bound):
    since = context.sent_until + bound
    step_none_refused(context)
    late = [r for r in context.leaving.received_requests if r.at > since]
    assert not late, len(late)


@when('a plain replica ends and its record is removed')
def step_ends(context):
    name = platform_site.PLAIN_REPLICAS[0]
    site = context.platform
    context.leaving = site.replicas[name]
    del context.writer.states[name]
    context.leaving.close()
    site.store.put('keyed.servers', name, None)
    time.sleep(2 * SETTLE_S)


@then('no entry uses it again, and no request is refused')
def step_not_back(context):
    step_none_refused(context)
    for site in context.sites:
        seen = [
            ln for ln in site.log()
            if ln['event'] in ('replica_seen', 'replica_gone') and
            ln['replica'] == context.leaving.id
        ]
        assert seen[-1]['event'] == 'replica_gone', (site.name, seen)


@when('all plain replicas are replaced by new ones')
def step_replace(context):
    site = context.platform
    for name in platform_site.PLAIN_REPLICAS:
        site.add(f'{name}-new', 'plain')
        context.writer.states[f'{name}-new'] = 'ready'
    time.sleep(2 * SETTLE_S)
    for name in platform_site.PLAIN_REPLICAS:
        del context.writer.states[name]
        site.replicas[name].close()
        site.store.put('keyed.servers', name, None)
    time.sleep(2 * SETTLE_S)
