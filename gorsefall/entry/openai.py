"""OpenAI-compatible bodies of text responses, complete and streamed."""

import functools
import time

from gorsefall.entry import jobs

SSE_CONTENT_TYPE = 'text/event-stream'


def _envelope(request, object_type, choice):
    return {
        'id': request.rid,
        'object': object_type,
        'created': int(time.time()),
        'model': request.model,
        'choices': [choice]
    }


@functools.singledispatch
def chunk(request, text, reason=None, first=False):
    """Returns one chunk of a streamed response as a dict.

    Args:
        request: The ``jobs.TextRequest`` that is processed.
        text: Generated text, or None in the last chunk.
        reason: Finish reason; None except in the last chunk.
        first: Whether this is the response's first chunk.

    Raises:
        TypeError: Requests of this type cannot be streamed.
    """
    raise TypeError(f'cannot stream a response to {type(request).__name__}')


@chunk.register
def _(request: jobs.ChatRequest, text, reason=None, first=False):
    delta = {} if text is None else {'content': text}
    if first:
        delta['role'] = 'assistant'
    return _envelope(request, 'chat.completion.chunk', {
        'index': 0,
        'delta': delta,
        'finish_reason': reason
    })


@chunk.register
def _(request: jobs.CompletionRequest, text, reason=None, first=False):
    del first
    return _envelope(request, 'text_completion', {
        'index': 0,
        'text': text or '',
        'finish_reason': reason
    })


@functools.singledispatch
def _response_choice(request, text):
    raise TypeError(f'no response format for {type(request).__name__}')


@_response_choice.register
def _(request: jobs.ChatRequest, text):
    del request
    message = {'role': 'assistant', 'content': text}
    return 'chat.completion', {'index': 0, 'message': message}


@_response_choice.register
def _(request: jobs.CompletionRequest, text):
    del request
    return 'text_completion', {'index': 0, 'text': text}


def full_response(request, text, reason, tokens):
    """Returns the body of a complete response as a dict.

    Args:
        request: The ``jobs.TextRequest`` that is processed.
        text: Generated text.
        reason: Finish reason.
        tokens: Number of generated tokens.
    """
    object_type, choice = _response_choice(request, text)
    choice['finish_reason'] = reason
    body = _envelope(request, object_type, choice)
    prompt_tokens = len(request.prompt.split())
    body['usage'] = {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': tokens,
        'total_tokens': prompt_tokens + tokens
    }
    return body
