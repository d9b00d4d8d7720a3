"""Behave hooks: each feature gets a fresh site of real processes."""

import contextlib
import os
import pathlib
import shutil
import tempfile

from gorsefall import catalogue
from gorsefall import publish
from gorsefall import settings
from gorsefall import settingsfile
from gorsefall.standins import launch
from gorsefall.standins import logcheck
from gorsefall.standins import ports

SITE = pathlib.Path(__file__).parent / 'site'


def before_feature(context, feature):
    context.known_exceptions = 0
    context.tmp = tempfile.mkdtemp(prefix='gorsefall-test-')
    context.site_stack = contextlib.ExitStack()
    context.site = context.site_stack.enter_context(
        ports.copy_site(SITE, f'{context.tmp}/site'))
    next_port = context.site_stack.enter_context(ports.allocator())
    context.extra_addr = f'127.0.0.1:{next_port()}'
    context.third_addr = f'127.0.0.1:{next_port()}'
    context.cfg = {
        n: settings.load(context.site / f'{n}.toml')
        for n in ('entry-a', 'entry-b')
    }
    context.log_addr = settingsfile.split_addr(
        context.cfg['entry-a'].entry.log_service)
    if 'nosite' in feature.tags:
        context.procs = None
        return
    opts = {'log': ['retain_s=4.0']} if 'retain' in feature.tags else None
    context.procs = context.site_stack.enter_context(
        launch.run_processes(context.site, context.tmp, opts=opts))
    doc = catalogue.load(SITE / 'catalogue.toml')
    publish.publish(context.log_addr, doc, 'test')
    from steps import common
    common.wait_version(context, 1)
    # An engine that was probed before it listened is avoided for a while, but
    # the scenarios need all engines.
    common.wait_replicas(context)


def before_scenario(context, scenario):
    del context
    known = os.environ.get('KNOWN_RED_SCENARIOS', '').splitlines()
    if f'{scenario.filename}::{scenario.name}' in known:
        scenario.skip('listed in KNOWN-RED.txt')


def _check_logs(context):
    """Fails a scenario in which an entry logged an exception."""
    found = list(logcheck.exceptions(context.tmp))
    new = found[context.known_exceptions:]
    context.known_exceptions = len(found)
    assert not new, new[0]


def after_scenario(context, scenario):
    # A failed scenario may leave processes frozen, dead or faulty, which must
    # not fail the next scenario.
    if scenario.status == 'failed' and context.procs is not None:
        from steps import common
        common.restore_site(context)
    _check_logs(context)


def after_feature(context, feature):
    del feature
    context.site_stack.close()
    shutil.rmtree(context.tmp, ignore_errors=True)
