"""Libraries without the parts that an entry does not use.

A package's own start imports all of it, and with it servers, event loops and
parsers: two fifths of an entry's memory. Here a package starts empty; what is
asked of it comes from the submodule that defines it, and anything that is not
listed has the whole package started as usual.
"""

import importlib
import importlib.util
import sys

PACKAGES = {
    'circuits': {},
    'circuits.core': {
        'BaseComponent': 'components',
        'Component': 'components',
        'Event': 'events',
        'handler': 'handlers',
    },
    'prometheus_client': {
        'CollectorRegistry': 'registry',
        'Counter': 'metrics',
        'Gauge': 'metrics',
        'Histogram': 'metrics',
        'disable_created_metrics': 'metrics',
    },
    'structlog': {
        'PrintLoggerFactory': '_output',
        'configure': '_config',
        'get_config': '_config',
        'get_logger': '_config',
        'is_configured': '_config',
        'make_filtering_bound_logger': '_native',
    },
}
"""``package -> {name: submodule that defines it}``."""


def install():
    """Has the packages that were not imported yet start empty."""
    for name, homes in PACKAGES.items():
        if name not in sys.modules:
            _install(name, homes)


def _install(name, homes):
    spec = importlib.util.find_spec(name)
    package = importlib.util.module_from_spec(spec)

    def find(attribute):
        if attribute.startswith('__'):
            raise AttributeError(attribute)
        if attribute in homes:
            home = importlib.import_module(f'{name}.{homes[attribute]}')
            return getattr(home, attribute)
        if importlib.util.find_spec(f'{name}.{attribute}') is not None:
            return importlib.import_module(f'{name}.{attribute}')
        del package.__getattr__
        spec.loader.exec_module(package)
        return getattr(package, attribute)

    package.__getattr__ = find
    sys.modules[name] = package
    parent, _, own = name.rpartition('.')
    if parent:
        setattr(sys.modules[parent], own, package)
