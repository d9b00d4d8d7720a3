"""Demonstration: starts a site of stand-ins and sends it requests."""

import pathlib

from gorsefall import bench
from gorsefall import catalogue
from gorsefall import errors
from gorsefall import publish
from gorsefall import settings
from gorsefall import settingsfile
from gorsefall.standins import launch
from gorsefall.standins import ports


def run(site, scenario, out):
    """Starts a site, publishes its catalogue and runs a benchmark.

    Args:
        site: Folder with ``standins.txt``, entry settings and a catalogue.
        scenario: Scenario file for the load.
        out: Folder for logs and results.

    Returns:
        The exit status.

    Raises:
        errors.SettingsError: The folder contains no site.
    """
    site, out = pathlib.Path(site), pathlib.Path(out)
    if not (site / 'standins.txt').is_file():
        raise errors.SettingsError(f'{site}: contains no standins.txt')
    with ports.copy_site(site, out / 'sites' / site.name) as site_dir:
        with launch.run_processes(site_dir, out / 'logs'):
            doc = catalogue.load(site_dir / 'catalogue.toml')
            entries = [
                settings.load(path).entry
                for path in sorted(site_dir.glob('entry-*.toml'))
            ]
            log = settingsfile.split_addr(entries[0].log_service)
            version = publish.publish(log, doc, 'demo')
            print('catalogue accepted as version', version)
            listens = [entry.listen for entry in entries]
            launch.wait_ready(listens)
            _send_chats(listens[0], doc.classes[0])
            return bench.report(scenario,
                                [settingsfile.split_addr(a) for a in listens],
                                out / f'{site.name}.json')


def _send_chats(listen, klass):
    """Sends two chat requests with the OpenAI client, one of them streamed."""
    import openai
    client = openai.OpenAI(base_url=f'http://{listen}/v1',
                           api_key='unused',
                           default_headers={
                               'X-Customer': klass.owner,
                               'X-Class': klass.name
                           })

    def complete(text, stream):
        return client.chat.completions.create(model='default',
                                              stream=stream,
                                              messages=[{
                                                  'role': 'user',
                                                  'content': text
                                              }])

    response = complete('seats to terminal 2?', False)
    print('non-streamed:', response.choices[0].message.content[:60], '...')
    chunks = [
        c.choices[0].delta.content or ''
        for c in complete('next bus to city?', True)
    ]
    print('streamed:', len(chunks), 'chunks:', ''.join(chunks)[:60], '...')
