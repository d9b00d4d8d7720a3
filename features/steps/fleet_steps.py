"""Steps of the VM list feature."""

import subprocess
import sys
import time

from behave import then
from behave import when
from steps import common

from gorsefall.standins import launch
from gorsefall.standins import waiting


def _entry_statuses(context):
    return [
        common.http('GET', common.entry_addr(context, n), '/status')[1]
        for n in ('entry-a', 'entry-b')
    ]


def _states(context, name):
    return [{
        r['name']: r['state'] for r in status['replicas']
    }.get(name) for status in _entry_statuses(context)]


@when('the VM list shows "{name}" live at a new engine process')
def step_new_engine(context, name):
    if name not in context.procs:
        with open(f'{context.tmp}/{name}.log', 'ab') as out:
            context.procs[name] = subprocess.Popen([
                sys.executable, '-m', 'gorsefall', 'standin', 'engine',
                '--listen', context.extra_addr, '--opt', f'name={name}'
            ],
                                                   stdout=out,
                                                   stderr=subprocess.STDOUT)
        waiting.until(lambda: common.is_up(context.extra_addr),
                      f'{name} to be up')
    launch.set_vm(common.standin_addr(context, 'vmlist'),
                  name=name,
                  addr=context.extra_addr,
                  zone='az1',
                  pool='llm')
    waiting.until(lambda: _states(context, name) == ['live'] * 2,
                  f'{name} to be live at every entry')


def _tokens(addr):
    return common.http('GET', addr, '/stats')[1]['tokens_out']


@then('"{name}" has served some of them')
def step_served(context, name):
    del name
    assert _tokens(context.extra_addr) > 0


@when('the VM list drops "{name}"')
def step_drop(context, name):
    status, obj, _ = common.http('POST', common.standin_addr(context, 'vmlist'),
                                 '/drop', {'name': name})
    assert status == 200, obj
    if name.startswith('engine'):
        waiting.until(lambda: _states(context, name) == ['down'] * 2,
                      f'{name} to be down at every entry')
        context.before = _tokens(context.extra_addr)


@when('the VM list shows a third entry "{name}"')
def step_third_entry(context, name):
    launch.set_vm(common.standin_addr(context, 'vmlist'),
                  name=name,
                  addr=context.third_addr,
                  zone='az3',
                  role='entry')


@then('every entry splits the limits by {n:d}')
def step_split(context, n):

    def is_split():
        statuses = _entry_statuses(context)
        return [s['entries'] for s in statuses
               ] == [n, n] and {s['rank'] for s in statuses} == {0, 1}

    waiting.until(is_split, f'limits to be split by {n}')


@when('the VM list has the fault {switch} for a while')
def step_vm_fault(context, switch):
    key, _, val = switch.partition('=')
    common.set_faults(context, 'vmlist', **{key: common.parse_switch(val)})
    time.sleep(1.0)


@then('"{name}" is still leaving at every entry')
def step_still_leaving(context, name):
    assert _states(context, name) == ['leaving'] * 2, _states(context, name)
    common.set_faults(context, 'vmlist', **common.FAULTS_OFF)


@then('a seat request sent to entry "{name}" still gets a complete response')
def step_lame_duck(context, name):
    status, obj, _ = common.chat(context, 'kiosk', 'seat', name=name)
    assert status == 200, obj
    assert obj['choices'][0]['finish_reason'] == 'stop', obj
