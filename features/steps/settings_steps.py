"""Steps of the settings feature."""

import pathlib
import subprocess
import sys

from behave import given
from behave import then
from behave import when

VALID_SETTINGS = """[entry]
name = "e"
zone = "az1"
listen = "127.0.0.1:19199"
log_service = "127.0.0.1:19198"
{extra}
[[backends]]
name = "b"
kind = "{kind}"
pool = "llm"
zone = "az1"
addr = "127.0.0.1:19197"
"""


@given('an entry settings file with {change}')
def step_file(context, change):
    path = pathlib.Path(context.tmp) / 'entry.toml'
    kind = 'engine'
    if change.startswith('listen'):
        text = VALID_SETTINGS.format(extra='', kind=kind).replace(
            'listen = "127.0.0.1:19199"', change)
    elif change.startswith('backend kind'):
        text = VALID_SETTINGS.format(extra='', kind='robot')
    elif change.startswith('an unknown key'):
        text = VALID_SETTINGS.format(extra='colour = "red"', kind=kind)
    elif change == 'broken TOML':
        text = '[entry\nname = '
    elif change == 'no file at all':
        path = path.with_name('missing.toml')
        text = None
    else:
        text = VALID_SETTINGS.format(extra=change, kind=kind)
    if text is not None:
        path.write_text(text)
    context.path = path


@when('the entry is started on it')
def step_start(context):
    context.run = subprocess.run(
        [sys.executable, '-m', 'gorsefall', 'entry',
         str(context.path)],
        capture_output=True,
        text=True,
        timeout=30,
        check=False)


@then('it exits with status {code:d} and the error names "{names}"')
def step_exit(context, code, names):
    assert context.run.returncode == code, context.run
    assert '[bad_settings]' in context.run.stderr, context.run.stderr
    assert names in context.run.stderr, context.run.stderr
