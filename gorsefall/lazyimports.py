"""Lazy loading of library packages, to save memory.

The ``__init__`` modules of some libraries import servers, event loops and
parsers that an entry does not use; these would take two fifths of its memory.
Such a package is installed without running its ``__init__``. A listed
attribute is imported from the submodule that defines it; any other attribute
runs the ``__init__`` as usual.
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
    """Makes the packages lazy that have not been imported yet."""
    for name, submodules in PACKAGES.items():
        if name not in sys.modules:
            _install(name, submodules)


def _install(name, submodules):
    spec = importlib.util.find_spec(name)
    package = importlib.util.module_from_spec(spec)

    def get_attribute(attribute):
        if attribute.startswith('__'):
            raise AttributeError(attribute)
        if attribute in submodules:
            submodule = importlib.import_module(
                f'{name}.{submodules[attribute]}')
            return getattr(submodule, attribute)
        if importlib.util.find_spec(f'{name}.{attribute}') is not None:
            return importlib.import_module(f'{name}.{attribute}')
        del package.__getattr__
        spec.loader.exec_module(package)
        return getattr(package, attribute)

    package.__getattr__ = get_attribute
    sys.modules[name] = package
    parent, _, child = name.rpartition('.')
    if parent:
        setattr(sys.modules[parent], child, package)
