"""Behave hooks: each feature gets a fresh site of real processes."""

import pathlib
import shutil
import tempfile

from gorsefall import cmdline
from gorsefall import publish
from gorsefall import settings
from gorsefall.standins import launch

SITE = pathlib.Path(__file__).parent / 'site'


def before_feature(context, feature):
    context.site = SITE
    context.cfg = {
        n: settings.load(SITE / f'{n}.toml') for n in ('entry-a', 'entry-b')
    }
    context.log_addr = settings.split_addr(
        context.cfg['entry-a'].entry.log_service)
    context.tmp = tempfile.mkdtemp(prefix='gorsefall-test-')
    if 'nosite' in feature.tags:
        context.procs = None
        return
    opts = {'log': ['retain_s=4.0']} if 'retain' in feature.tags else None
    context.launch = launch.processes(SITE, context.tmp, opts=opts)
    context.procs = context.launch.__enter__()
    doc = cmdline.catalogue_doc(SITE / 'catalogue.toml')
    publish.publish(context.log_addr, doc, 'test')
    from steps import common
    common.wait_version(context, 1)


def after_scenario(context, scenario):
    # A failed scenario may leave processes frozen, dead or faulty; the
    # next one must not fail for it.
    if scenario.status == 'failed' and context.procs is not None:
        from steps import common
        common.heal(context)


def after_feature(context, feature):
    del feature
    if context.procs is not None:
        context.launch.__exit__(None, None, None)
    shutil.rmtree(context.tmp, ignore_errors=True)
