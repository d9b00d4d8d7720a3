"""Which kind of job runs which kind of ask."""

import functools

from gorsefall.entry import jobs
from gorsefall.entry import servicejobs
from gorsefall.entry import textjobs


@functools.singledispatch
def job(ask, app, ticket, reply):
    """Returns the ``jobs.Job`` that runs ``ask``.

    Raises:
        TypeError: No kind of job is registered for it.
    """
    raise TypeError(f'no job for {type(ask).__name__}')


@job.register
def _(ask: jobs.TextAsk, app, ticket, reply):
    return textjobs.TextJob(app, ask, ticket, reply)


@job.register
def _(ask: jobs.ServiceAsk, app, ticket, reply):
    return servicejobs.ServiceJob(app, ask, ticket, reply)
