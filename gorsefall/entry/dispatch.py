"""Selects the job class for the type of a request."""

import functools

from gorsefall.entry import jobs
from gorsefall.entry import servicejobs
from gorsefall.entry import textjobs


@functools.singledispatch
def create_job(request, app, ticket, reply):
    """Creates the job for a request.

    Args:
        request: The ``jobs.CallerRequest``.
        app: The ``app.Entry``.
        ticket: Its ``admission.Ticket``.
        reply: The ``replies.DeferredReply`` to the caller.

    Returns:
        A ``jobs.Job``.

    Raises:
        TypeError: No job class is registered for the request's type.
    """
    raise TypeError(f'no job class for {type(request).__name__}')


@create_job.register
def _(request: jobs.TextRequest, app, ticket, reply):
    return textjobs.TextJob(app, request, ticket, reply)


@create_job.register
def _(request: jobs.ServiceRequest, app, ticket, reply):
    return servicejobs.ServiceJob(app, request, ticket, reply)
