"""Steps of the catalogue feature."""

import subprocess
import sys
import threading
import time

from behave import given
from behave import then
from behave import when
from steps import common

from gorsefall import cmdline
from gorsefall import errors
from gorsefall import publish


def _doc(context, rate):
    doc = cmdline.catalogue_doc(context.site / 'catalogue.toml')
    doc.classes[0].rate_per_s = rate
    return doc


def _rates(context):
    out = []
    for n in ('entry-a', 'entry-b'):
        st = common.http('GET', common.entry(context, n), '/status')[1]
        out.append(st['catalogue']['version'])
    return out


@when('two operators publish changes based on the current version')
def step_race(context):
    base = publish.current(context.log_addr).version
    context.outcomes = {}
    barrier = threading.Barrier(2)

    def run(who, rate):
        barrier.wait()
        try:
            context.outcomes[who] = publish.publish(context.log_addr,
                                                    _doc(context, rate),
                                                    who,
                                                    base=base)
        except errors.StaleVersionError as exc:
            context.outcomes[who] = exc.code

    ts = [
        threading.Thread(target=run, args=(w, r))
        for w, r in (('ann', 11.0), ('bo', 22.0))
    ]
    for t in ts:
        t.start()
    for t in ts:
        t.join()
    context.base = base


@then('exactly one is accepted and the other gets "{code}"')
def step_one_wins(context, code):
    got = sorted(map(str, context.outcomes.values()))
    assert got == sorted([str(context.base + 1), code]), context.outcomes
    context.winner = [w for w, v in context.outcomes.items() if v != code][0]


@then('every entry runs the accepted change and no other')
def step_all_run(context):
    state = publish.current(context.log_addr)
    common.wait_version(context, context.base + 1)
    want = {'ann': 11.0, 'bo': 22.0}[context.winner]
    assert state.doc.classes[0].rate_per_s == want
    assert _rates(context) == [state.version] * 2, _rates(context)


@given('the catalogue is at a new version on every entry')
def step_new_version(context):
    context.version = publish.publish(context.log_addr,
                                      _doc(context,
                                           time.time() % 97), 't')
    common.wait_version(context, context.version)


@when('the log service has the fault {switch} for a while')
def step_log_fault(context, switch):
    key, _, val = switch.partition('=')
    common.fault(context, 'log', **{key: True if val == 'true' else float(val)})
    time.sleep(1.0)
    context.during = _rates(context)
    common.fault(context, 'log', outage=False, delay_ms=0.0)


@then('every entry still runs that version')
def step_same_version(context):
    common.wait_version(context, context.version)
    assert _rates(context) == [context.version] * 2, _rates(context)
    for v in getattr(context, 'during', []):
        assert v == context.version, context.during


@when('the log service keeps only the newest {n:d} records of the catalogue')
def step_trim(context, n):
    status, obj, _ = common.http('POST', common.standin(context, 'log'),
                                 '/trim/catalogue', {'keep': n})
    assert status == 200 and obj['start'] > 0, obj
    # A reader from scratch must still find the version.
    assert publish.current(context.log_addr).version == context.version


@when('entry "{name}" is restarted')
def step_restart(context, name):
    proc = context.procs[name]
    proc.terminate()
    proc.wait(timeout=20)
    cfg = context.site / f'{name}.toml'
    with open(f'{context.tmp}/{name}-2.log', 'ab') as out:
        context.procs[name] = subprocess.Popen(
            [sys.executable, '-m', 'gorsefall', 'entry',
             str(cfg)],
            stdout=out,
            stderr=subprocess.STDOUT)
    common.until(lambda: _up(context, name), f'{name} back up')


def _up(context, name):
    try:
        return common.http('GET', common.entry(context, name),
                           '/healthz')[0] == 200
    except OSError:
        return False
