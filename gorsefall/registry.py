"""Maps names in settings and on the command line to classes."""

import dataclasses
import importlib

STANDINS = {
    'engine': ('gorsefall.standins.engine', 'Engine'),
    'service': ('gorsefall.standins.service', 'Service'),
    'log': ('gorsefall.standins.logservice', 'LogService'),
    'vmlist': ('gorsefall.standins.vmlist', 'VmList'),
    'weights': ('gorsefall.standins.weights', 'WeightStore'),
}

POLICIES = {
    'tiers': (('gorsefall.policy.admission', 'TierAdmission'),
              ('gorsefall.policy.routing', 'LoadRouter')),
    'fifo': (('gorsefall.policy.baselines', 'FifoAdmission'),
             ('gorsefall.policy.routing', 'LeastInflightRouter')),
    'roundrobin': (('gorsefall.policy.baselines', 'OpenAdmission'),
                   ('gorsefall.policy.routing', 'RoundRobinRouter')),
}


@dataclasses.dataclass(frozen=True)
class Policy:
    """An admission class and its router class."""
    admission: type
    router: type


def _load(ref):
    module, name = ref
    return getattr(importlib.import_module(module), name)


def standin(kind):
    """Returns the stand-in class for ``kind``.

    Only the requested module is imported, so that an entry loads no stand-in.

    Raises:
        KeyError: No stand-in has that name.
    """
    return _load(STANDINS[kind])


def policy(name):
    """Returns the ``Policy`` named ``name``.

    Raises:
        KeyError: No policy has that name.
    """
    return Policy(*(_load(ref) for ref in POLICIES[name]))
