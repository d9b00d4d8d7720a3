"""Steps of the catalogue feature."""

import pathlib
import subprocess
import sys
import threading
import time

import msgspec
from behave import given
from behave import then
from behave import when
from steps import common

from gorsefall import catalogue
from gorsefall import errors
from gorsefall import publish
from gorsefall.standins import waiting


def _doc(context, rate):
    doc = catalogue.load(context.site / 'catalogue.toml')
    doc.classes[0].rate_per_s = rate
    return doc


def _versions(context):
    versions = []
    for n in ('entry-a', 'entry-b'):
        status = common.http('GET', common.entry_addr(context, n), '/status')[1]
        versions.append(status['catalogue']['version'])
    return versions


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

    threads = [
        threading.Thread(target=run, args=(w, r))
        for w, r in (('ann', 11.0), ('bo', 22.0))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    context.base = base


@then('exactly one is accepted and the other gets "{code}"')
def step_one_accepted(context, code):
    actual = sorted(map(str, context.outcomes.values()))
    assert actual == sorted([str(context.base + 1), code]), context.outcomes
    context.winner = [w for w, v in context.outcomes.items() if v != code][0]


@then('every entry runs the accepted change and no other')
def step_all_run(context):
    state = publish.current(context.log_addr)
    common.wait_version(context, context.base + 1)
    expected = {'ann': 11.0, 'bo': 22.0}[context.winner]
    assert state.doc.classes[0].rate_per_s == expected
    assert _versions(context) == [state.version] * 2, _versions(context)


@given('the catalogue is at a new version on every entry')
def step_new_version(context):
    context.version = publish.publish(context.log_addr,
                                      _doc(context,
                                           time.time() % 97), 't')
    common.wait_version(context, context.version)


@when('the log service has the fault {switch} for a while')
def step_log_fault(context, switch):
    key, _, val = switch.partition('=')
    common.set_faults(context, 'log',
                      **{key: True if val == 'true' else float(val)})
    time.sleep(1.0)
    context.versions_during = _versions(context)
    common.set_faults(context, 'log', outage=False, delay_ms=0.0)


@then('every entry still runs that version')
def step_same_version(context):
    common.wait_version(context, context.version)
    assert _versions(context) == [context.version] * 2, _versions(context)
    for v in getattr(context, 'versions_during', []):
        assert v == context.version, context.versions_during


@when('the log service keeps only the newest {n:d} records of the catalogue')
def step_trim(context, n):
    status, obj, _ = common.http('POST', common.standin_addr(context, 'log'),
                                 '/trim/catalogue', {'keep': n})
    assert status == 200 and obj['start'] > 0, obj
    # A reader without state must still find the version.
    assert publish.current(context.log_addr).version == context.version


@when('entry "{name}" is restarted')
def step_restart(context, name):
    proc = context.procs[name]
    proc.kill()
    proc.wait(timeout=20)
    common.respawn(context, name)


# -- retention -----------------------------------------------------------------


def _expired(context):
    _, obj, _ = common.http('GET', common.standin_addr(context, 'log'),
                            '/streams/catalogue/read?start=0&limit=1')
    return obj['start'] == obj['end'] > 0


@when('all records of the catalogue stream have expired')
def step_expire(context):
    waiting.until(lambda: _expired(context), 'every change record expired')


@then('every entry runs version {version:d}')
def step_runs_version(context, version):
    common.wait_version(context, version)
    assert _versions(context) == [version] * 2, _versions(context)
    context.version = version


@when('an operator publishes one more change')
def step_one_more(context):
    actual = publish.publish(context.log_addr, _doc(context, 33.0), 'op')
    assert actual == context.version + 1, actual


@then('the change is not lost when its record has expired too')
def step_not_lost(context):
    waiting.until(lambda: _expired(context), 'the change record expired')
    state = publish.current(context.log_addr)
    assert state.version == context.version
    assert state.doc.classes[0].rate_per_s == 33.0


# -- operators -----------------------------------------------------------------


def _rate_of(doc, i):
    return doc.classes[i].rate_per_s


@when('two operators change different classes based on the current version')
def step_different_classes(context):
    context.base = publish.current(context.log_addr).version
    docs = []
    for i in (1, 2):
        doc = publish.current(context.log_addr).doc
        docs.append(msgspec.convert(msgspec.to_builtins(doc), type(doc)))
        docs[-1].classes[i].rate_per_s = 60.0 + i
    context.versions = sorted(
        publish.publish(context.log_addr, doc, f'op{i}', base=context.base)
        for i, doc in enumerate(docs))


@then('both changes are accepted and active on every entry')
def step_both_active(context):
    assert context.versions == [context.base + 1, context.base + 2]
    doc = publish.current(context.log_addr).doc
    assert (_rate_of(doc, 1), _rate_of(doc, 2)) == (61.0, 62.0)
    common.wait_version(context, context.base + 2)


def _run_command(context, *args):
    context.run = subprocess.run([
        sys.executable, '-m', 'gorsefall', 'catalogue', *args, '--log',
        '{}:{}'.format(*context.log_addr)
    ],
                                 capture_output=True,
                                 text=True,
                                 timeout=30,
                                 check=False)
    return context.run


@given('operator "ann" has saved the catalogue to a file')
def step_save(context):
    context.file = pathlib.Path(context.tmp) / 'ann.toml'
    context.file.write_text(_run_command(context, 'show').stdout)


@given('operator "bo" has changed a class that ann\'s file also changes')
def step_bo_changes(context):
    publish.publish(context.log_addr, _doc(context, 77.0), 'bo')
    doc = catalogue.load(context.file)
    doc.classes[0].rate_per_s = 55.0
    context.file.write_text(catalogue.to_toml(doc))


@when('ann publishes her file from the command line')
def step_ann_publishes(context):
    context.before = publish.current(context.log_addr)
    _run_command(context, 'publish', str(context.file))


@when('a file without a version is published from the command line')
def step_no_version(context):
    context.before = publish.current(context.log_addr)
    _run_command(context, 'publish', str(context.site / 'catalogue.toml'))


@then('the command fails with "{code}" and {what}')
def step_fails(context, code, what):
    del what
    assert context.run.returncode == 2, context.run
    assert f'[{code}]' in context.run.stderr, context.run.stderr
    after = publish.current(context.log_addr)
    assert after.version == context.before.version
    assert after.doc == context.before.doc


@given('the log service loses its next {n:d} replies')
def step_lose_replies(context, n):
    # Only appends lose their replies; reads of the entries don't count.
    common.set_faults(context, 'log', lose_reply=n)


@when('one operator publishes a change')
def step_publish_one(context):
    context.base = publish.current(context.log_addr).version
    context.published = publish.publish(context.log_addr, _doc(context, 44.0),
                                        'op')


@then('it is accepted as exactly the next version')
def step_next_version(context):
    assert context.published == context.base + 1
    common.wait_version(context, context.published)
    common.set_faults(context, 'log', lose_reply=0)
