"""Steps that kill, freeze or mute processes."""

import signal

from behave import step
from behave import then
from behave import when
from steps import common
from steps import own_steps

from gorsefall.standins import waiting


def _kill(context, name):
    context.procs[name].kill()
    context.procs[name].wait(timeout=20)


def _freeze(context, name):
    context.procs[name].send_signal(signal.SIGSTOP)


def _mute(context, name):
    # Silences all streams that are open now; new streams work.
    stats = common.http('GET', common.standin_addr(context, name), '/stats')[1]
    common.set_faults(context, name, mute=stats['running'] + stats['waiting'])


def _crash_loop(context, name):
    common.set_faults(context, name, crash_after=2)


FAILURES = {
    'a kill': _kill,
    'a freeze': _freeze,
    'silent links': _mute,
    'a crash loop': _crash_loop
}


@when('{what} happens to {names}')
def step_fail(context, what, names):
    for name in names.split(','):
        FAILURES[what](context, name)


@then('no engine has requests running')
def step_no_running(context):

    def is_idle():
        stats = [
            common.http('GET', common.standin_addr(context, n), '/stats')[1]
            for n in own_steps.ENGINES
        ]
        return all(s['running'] + s['waiting'] == 0 for s in stats)

    waiting.until(is_idle, 'the engines to stop')


@step('the {who} has the fault {switch}')
def step_has_fault(context, who, switch):
    name = {'log service': 'log', 'VM list': 'vmlist'}[who]
    key, _, val = switch.partition('=')
    common.set_faults(context, name, **{key: common.parse_switch(val)})


@then('the faults of the log service are cleared')
def step_clear_log_faults(context):
    common.set_faults(context, 'log', **common.FAULTS_OFF, max_appends_per_s=0)
