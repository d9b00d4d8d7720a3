"""Maps the names used on the command line to the classes behind them."""

from gorsefall.standins import engine
from gorsefall.standins import logservice
from gorsefall.standins import service
from gorsefall.standins import vmlist
from gorsefall.standins import weights

STANDINS = {
    'engine': engine.Engine,
    'service': service.Service,
    'log': logservice.LogService,
    'vmlist': vmlist.VmList,
    'weights': weights.WeightStore,
}


def standin(kind):
    """Returns the stand-in class for ``kind``.

    Raises:
        KeyError: No stand-in has that name.
    """
    return STANDINS[kind]
