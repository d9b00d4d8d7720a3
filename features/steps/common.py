"""Steps and helpers shared by the features."""

import json
import signal
import subprocess
import urllib.error
import urllib.request

from behave import given
from behave import then

from gorsefall.standins import waiting


def http(method, addr, path, body=None, *, headers=None, raw=None):
    """Returns ``(status, decoded JSON or text, headers)``."""
    data = raw if raw is not None else (
        None if body is None else json.dumps(body).encode())
    hdrs = {'Content-Type': 'application/json'} | (headers or {})
    req = urllib.request.Request(f'http://{addr}{path}',
                                 data=data,
                                 headers=hdrs,
                                 method=method)
    try:
        with urllib.request.urlopen(req, timeout=waiting.TIMEOUT_S) as res:
            text = res.read().decode()
            status, rhdrs = res.status, res.headers
    except urllib.error.HTTPError as exc:
        text = exc.read().decode()
        status, rhdrs = exc.code, exc.headers
    try:
        return status, json.loads(text), rhdrs
    except ValueError:
        return status, text, rhdrs


def entry_addr(context, name='entry-a'):
    return context.cfg[name].entry.listen


def standin_addr(context, name):
    for line in (context.site / 'standins.txt').read_text().splitlines():
        parts = line.split()
        if len(parts) == 3 and parts[1] == name:
            return parts[2]
    raise KeyError(name)


def wait_version(context, version, names=('entry-a', 'entry-b')):
    for n in names:
        waiting.until(lambda n=n: http('GET', entry_addr(context, n), '/status')
                      [1]['catalogue']['version'] >= version,
                      f'{n} at v{version}')


def wait_replicas(context, names=('entry-a', 'entry-b')):
    """Waits until each entry has all load reports and avoids no replica."""
    for n in names:
        waiting.until(lambda n=n: all(r['failures'] == 0 and r[
            'report_age_s'] < waiting.TIMEOUT_S for r in http(
                'GET', entry_addr(context, n), '/status')[1]['replicas']),
                      f'{n} to use all replicas')


def chat(context,
         customer,
         klass,
         *,
         stream=False,
         name='entry-a',
         prompt='seats to terminal 2?',
         headers=None):
    body = {
        'model': 'default',
        'stream': stream,
        'messages': [{
            'role': 'user',
            'content': prompt
        }]
    }
    hdrs = {'X-Customer': customer, 'X-Class': klass} | (headers or {})
    return http('POST',
                entry_addr(context, name),
                '/v1/chat/completions',
                body,
                headers=hdrs)


def set_faults(context, name, **switches):
    status, obj, _ = http('POST', standin_addr(context, name), '/control',
                          switches)
    assert status == 200, obj


FAULTS_OFF = {
    'outage': False,
    'delay_ms': 0.0,
    'lose_reply': 0,
    'cut_reply': 0,
    'crash_after': -1,
    'cut_line': False,
    'mute': 0,
    'stall': False,
    'slow': 1,
    'lag_s': 0.0
}


def parse_switch(text):
    """Returns the value of a fault switch from its text in a table."""
    if text in ('true', 'false'):
        return text == 'true'
    return float(text) if '.' in text else int(text)


def standin_names(context):
    lines = (context.site / 'standins.txt').read_text().splitlines()
    return [ln.split()[1] for ln in lines if ln and not ln.startswith('#')]


def respawn(context, name):
    """Restarts a process that has exited, with the same command."""
    with open(f'{context.tmp}/{name}-again.log', 'ab') as out:
        context.procs[name] = subprocess.Popen(context.procs[name].args,
                                               stdout=out,
                                               stderr=subprocess.STDOUT)
    addr = entry_addr(context, name) if name in context.cfg else standin_addr(
        context, name)
    waiting.until(lambda: is_up(addr), f'{name} back up')


def is_up(addr):
    try:
        return http('GET', addr, '/healthz')[0] == 200
    except OSError:
        return False


def restore_site(context):
    """Resumes or restarts every process of the site and clears its faults."""
    for name, proc in list(context.procs.items()):
        if proc.poll() is None:
            proc.send_signal(signal.SIGCONT)
        else:
            respawn(context, name)
    for name in standin_names(context):
        set_faults(context, name, **FAULTS_OFF)


@then('the site is restored')
def step_restore_site(context):
    restore_site(context)


@given('the site is up with an active catalogue')
def step_site_up(context):
    assert context.procs is not None
    wait_version(context, 1)


@then('entry "{name}" still responds to health checks')
def step_health(context, name):
    assert http('GET', entry_addr(context, name), '/healthz')[0] == 200
