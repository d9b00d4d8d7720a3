"""OpenAI-shaped bodies of text answers, whole and streamed."""

import functools
import time

from gorsefall.entry import jobs

SSE_CONTENT_TYPE = 'text/event-stream'


def _envelope(request, obj, choice):
    return {
        'id': request.rid,
        'object': obj,
        'created': int(time.time()),
        'model': request.model,
        'choices': [choice]
    }


@functools.singledispatch
def chunk(request, text, reason=None, first=False):
    """Returns one streamed chunk as a dict.

    Args:
        request: The ``jobs.TextRequest`` being answered.
        text: Generated text, or None in the last chunk.
        reason: Finish reason, in the last chunk only.
        first: Whether this is the answer's first chunk.

    Raises:
        TypeError: The kind of request has no streamed form.
    """
    raise TypeError(f'no chunk for {type(request).__name__}')


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
def _whole_choice(request, text):
    raise TypeError(f'no answer for {type(request).__name__}')


@_whole_choice.register
def _(request: jobs.ChatRequest, text):
    del request
    message = {'role': 'assistant', 'content': text}
    return 'chat.completion', {'index': 0, 'message': message}


@_whole_choice.register
def _(request: jobs.CompletionRequest, text):
    del request
    return 'text_completion', {'index': 0, 'text': text}


def full_response(request, text, reason, tokens):
    """Returns a whole answer of ``tokens`` generated tokens as a dict."""
    obj, choice = _whole_choice(request, text)
    choice['finish_reason'] = reason
    body = _envelope(request, obj, choice)
    prompt_tokens = len(request.prompt.split())
    body['usage'] = {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': tokens,
        'total_tokens': prompt_tokens + tokens
    }
    return body
