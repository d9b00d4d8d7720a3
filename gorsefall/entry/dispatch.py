"""Which kind of job runs which kind of request."""

import functools

from gorsefall.entry import jobs
from gorsefall.entry import servicejobs
from gorsefall.entry import textjobs


@functools.singledispatch
def create_job(request, app, ticket, reply):
    """Returns the ``jobs.Job`` that runs ``request``.

    Raises:
        TypeError: No kind of job is registered for it.
    """
    raise TypeError(f'no job for {type(request).__name__}')


@create_job.register
def _(request: jobs.TextRequest, app, ticket, reply):
    return textjobs.TextJob(app, request, ticket, reply)


@create_job.register
def _(request: jobs.ServiceRequest, app, ticket, reply):
    return servicejobs.ServiceJob(app, request, ticket, reply)
