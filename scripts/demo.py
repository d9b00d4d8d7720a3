"""Runs the main job on the embedded default: stand-ins, two entries, load.

Usage: python scripts/demo.py [authority|hollinbrook]
"""

import json
import pathlib
import sys
import time
import urllib.request

import openai

from gorsefall import cmdline
from gorsefall import publish
from gorsefall import settings
from gorsefall.standins import launch
from gorsefall.standins import ports

ROOT = pathlib.Path(__file__).resolve().parent.parent


def main(site='authority'):
    """Starts the site, publishes its catalogue, sends requests, benches."""
    with ports.site(ROOT / 'examples' / site,
                    ROOT / 'out' / 'sites' / site) as site_dir:
        return _run(site, site_dir)


def _run(site, site_dir):
    entry_cfg = settings.load(site_dir / 'entry-a.toml')
    log = settings.split_addr(entry_cfg.entry.log_service)
    with launch.processes(site_dir, ROOT / 'out' / 'logs'):
        doc = cmdline.catalogue_doc(site_dir / 'catalogue.toml')
        print('catalogue accepted as version',
              publish.publish(log, doc, 'demo'))
        entries = [
            settings.load(p).entry.listen
            for p in sorted(site_dir.glob('entry-*.toml'))
        ]
        _wait_ready(entries)
        owner, klass = doc.classes[0].owner, doc.classes[0].name
        client = openai.OpenAI(base_url=f'http://{entries[0]}/v1',
                               api_key='unused',
                               default_headers={
                                   'X-Customer': owner,
                                   'X-Class': klass
                               })
        whole = client.chat.completions.create(
            model='default',
            messages=[{
                'role': 'user',
                'content': 'seats to terminal 2?'
            }])
        print('non-streamed:', whole.choices[0].message.content[:60], '...')
        parts = [
            c.choices[0].delta.content or '' for c in
            client.chat.completions.create(model='default',
                                           stream=True,
                                           messages=[{
                                               'role': 'user',
                                               'content': 'next bus to city?'
                                           }])
        ]
        print('streamed:', len(parts), 'chunks:', ''.join(parts)[:60], '...')
        scenario = ROOT / 'bench' / f'{site}-burst.toml'
        args = [
            'bench',
            str(scenario), '--out',
            str(ROOT / 'out' / f'{site}.json')
        ]
        for e in entries:
            args += ['--entry', e]
        return cmdline.main(args)


def _wait_ready(entries, timeout_s=15.0):
    end = time.monotonic() + timeout_s
    for e in entries:
        while True:
            try:
                with urllib.request.urlopen(f'http://{e}/readyz',
                                            timeout=1) as res:
                    if json.load(res)['ready']:
                        break
            except OSError:
                pass
            if time.monotonic() > end:
                raise TimeoutError(f'{e} not ready')
            time.sleep(0.1)


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:]))
