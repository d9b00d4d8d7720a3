"""The ``gorsefall`` command line."""

import argparse
import pathlib
import sys

import msgspec

import gorsefall
from gorsefall import catalogue
from gorsefall import errors
from gorsefall import explain
from gorsefall import explainduties
from gorsefall import loglines
from gorsefall import logs
from gorsefall import publish
from gorsefall import registry
from gorsefall import settings
from gorsefall import settingsfile
from gorsefall.relay import settings as relay_settings


def _addr(text):
    try:
        return settingsfile.split_addr(text)
    except errors.SettingsError as exc:
        raise argparse.ArgumentTypeError(str(exc)) from exc


def _entry(args):
    from gorsefall.entry import app
    cfg = settings.load(args.config)
    server, _ = app.build(cfg)
    logs.get('entry').info('starting',
                           entry=cfg.entry.name,
                           listen=cfg.entry.listen,
                           zone=cfg.entry.zone)
    server.run()
    return 0


def _check_settings(args):
    module = relay_settings if args.relay else settings
    module.load(args.config)
    print(f'{args.config}: valid')
    return 0


def _standin(args):
    from gorsefall.standins import base
    cls = registry.standin(args.kind)
    opts = dict(kv.split('=', 1) for kv in args.opt)
    typed = {
        k: (float(v) if '.' in v else int(v))
           if v.replace('.', '', 1).isdigit() else v for k, v in opts.items()
    }
    app = base.serve(cls(**typed), args.listen)
    logs.get('standin').info('starting',
                             kind=args.kind,
                             listen=f'{args.listen[0]}:{args.listen[1]}')
    app.run()
    return 0


def _catalogue(args):
    if args.action == 'show':
        sys.stdout.write(catalogue.to_toml(publish.current(args.log).doc))
        return 0
    if not args.file:
        raise errors.CatalogueError('publish: catalogue file is missing')
    doc = catalogue.load(args.file)
    base = doc.version if args.base is None else args.base
    if not base and publish.current(args.log).version:
        # Without a base version the file would silently undo all changes made
        # since it was written.
        raise errors.CatalogueError(
            f'{args.file} has no version, but a catalogue is already active; '
            'start from "gorsefall catalogue show" or pass --base')
    version = publish.publish(args.log, doc, author=args.author, base=base)
    print(f'accepted as version {version}')
    return 0


def _bench(args):
    from gorsefall import bench
    return bench.main(args)


def _demo(args):
    from gorsefall import demo
    return demo.run(args.site, args.scenario, args.out)


def _emulate(args):
    from gorsefall.emulator import compare
    from gorsefall.emulator import site
    sites = [site.load(path) for path in args.sites]
    sites += [site.random_site(seed) for seed in range(args.drawn)]
    if not sites:
        raise errors.SettingsError('a site file or --drawn is required')
    results = []
    for row in compare.rows(sites, args.seeds, args.seconds):
        print(compare.format_row(row), flush=True)
        results.append(row)
    if args.out:
        pathlib.Path(args.out).write_bytes(msgspec.json.encode(results))
    if args.plot:
        compare.plot(results, args.plot)
    return 0


def _emulate_scaling(args):
    from gorsefall.emulator import scaling
    results = []
    for seed in range(args.seeds):
        for name in scaling.POLICIES:
            results.append(scaling.simulate(name, seed))
            print(scaling.format_result(results[-1]), flush=True)
    if args.out:
        pathlib.Path(args.out).write_bytes(msgspec.json.encode(results))
    if args.plot:
        scaling.plot(results, args.plot)
    return 0


def _explain(args):
    *files, request = args.files_and_id
    if not files:
        raise errors.LogFileError(
            'at least one log file is required before the request ID')
    log = loglines.read_files(files)
    window = request.removeprefix(explainduties.WINDOW_PREFIX)
    if window == request:
        print(explain.explain(log, request))
        return 0
    if not window.isdecimal():
        raise errors.LogFileError(f'{window!r} is not the number of a window')
    print(explainduties.explain(log, int(window)))
    return 0


def parser():
    """Returns the argument parser."""
    p = argparse.ArgumentParser(
        prog='gorsefall',
        description=('Router for language-model traffic with service levels.'))
    p.add_argument('--version',
                   action='version',
                   version=f'gorsefall {gorsefall.__version__}')
    p.add_argument('--log-level', default='info')
    sub = p.add_subparsers(dest='cmd', required=True)

    e = sub.add_parser('entry', help='run the entry daemon')
    e.add_argument('config', help='settings TOML file')
    e.set_defaults(func=_entry)

    k = sub.add_parser('check-settings', help='validate a settings file')
    k.add_argument('config', help='settings TOML file')
    k.add_argument('--relay',
                   action='store_true',
                   help='the file is for a relay entry')
    k.set_defaults(func=_check_settings)

    s = sub.add_parser('standin', help='run a stand-in for a platform system')
    s.add_argument('kind', choices=sorted(registry.STANDINS))
    s.add_argument('--listen', type=_addr, required=True, help='host:port')
    s.add_argument('--opt',
                   action='append',
                   default=[],
                   help='constructor option NAME=VALUE, repeatable')
    s.set_defaults(func=_standin)

    c = sub.add_parser('catalogue', help='publish or show the catalogue')
    c.add_argument('action', choices=['publish', 'show'])
    c.add_argument('file', nargs='?', help='catalogue TOML (publish)')
    c.add_argument('--log',
                   type=_addr,
                   required=True,
                   help='log service host:port')
    c.add_argument('--author', default='')
    c.add_argument('--base',
                   type=int,
                   default=None,
                   help='version the change is based on (default: the '
                   'version in the file)')
    c.set_defaults(func=_catalogue)

    x = sub.add_parser('explain',
                       help='explain from log files why a request failed')
    x.add_argument('files_and_id',
                   nargs='+',
                   metavar='LOGFILE... REQUEST-ID',
                   help='log files of relay entries, then the request ID')
    x.set_defaults(func=_explain)

    m = sub.add_parser('emulate',
                       help='compare placement policies by simulation')
    m.add_argument('sites', nargs='*', help='site TOML files')
    m.add_argument('--drawn',
                   type=int,
                   default=0,
                   help='number of additional random sites')
    m.add_argument('--seeds', type=int, default=3)
    m.add_argument('--seconds', type=float, default=20.0)
    m.add_argument('--out', help='JSON file for the results')
    m.add_argument('--plot', help='PNG file for a plot of the value earned')
    m.set_defaults(func=_emulate)

    z = sub.add_parser('emulate-scaling',
                       help='compare ways of ordering replicas by simulation')
    z.add_argument('--seeds', type=int, default=5)
    z.add_argument('--out', help='JSON file for the results')
    z.add_argument('--plot',
                   help='PNG file for a plot of the first day: replicas, load '
                   'and wait over time')
    z.set_defaults(func=_emulate_scaling)

    b = sub.add_parser('bench',
                       help='send a load with a burst, report by class')
    b.add_argument('scenario', help='scenario TOML file')
    b.add_argument('--entry',
                   type=_addr,
                   action='append',
                   required=True,
                   help='entry host:port, repeatable')
    b.add_argument('--out', default='out/bench.json')
    b.add_argument('--label', default='gorsefall')
    b.set_defaults(func=_bench)

    d = sub.add_parser('demo',
                       help='run a site of stand-ins and send it a load')
    d.add_argument('site', help='folder of the site, e.g. examples/authority')
    d.add_argument('scenario', help='scenario TOML file for the load')
    d.add_argument('--out', default='out', help='folder for logs and results')
    d.set_defaults(func=_demo)
    return p


def main(argv=None):
    """Runs the command line; returns the exit status."""
    args = parser().parse_args(argv)
    logs.setup(args.log_level)
    try:
        return args.func(args)
    except errors.GorsefallError as exc:
        print(f'gorsefall: error [{exc.code}]: {exc}', file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 130
