"""OpenAI-shaped bodies of text answers, whole and streamed."""

import functools
import time

from gorsefall.entry import jobs

SSE_TYPE = 'text/event-stream'


def _envelope(ask, obj, choice):
    return {
        'id': ask.rid,
        'object': obj,
        'created': int(time.time()),
        'model': ask.model,
        'choices': [choice]
    }


@functools.singledispatch
def chunk(ask, text, reason=None, first=False):
    """Returns one streamed chunk as a dict.

    Args:
        ask: The ``jobs.TextAsk`` being answered.
        text: Generated text, or None in the last chunk.
        reason: Finish reason, in the last chunk only.
        first: Whether this is the answer's first chunk.

    Raises:
        TypeError: The kind of ask has no streamed form.
    """
    raise TypeError(f'no chunk for {type(ask).__name__}')


@chunk.register
def _(ask: jobs.ChatAsk, text, reason=None, first=False):
    delta = {} if text is None else {'content': text}
    if first:
        delta['role'] = 'assistant'
    return _envelope(ask, 'chat.completion.chunk', {
        'index': 0,
        'delta': delta,
        'finish_reason': reason
    })


@chunk.register
def _(ask: jobs.CompletionAsk, text, reason=None, first=False):
    del first
    return _envelope(ask, 'text_completion', {
        'index': 0,
        'text': text or '',
        'finish_reason': reason
    })


@functools.singledispatch
def _whole_choice(ask, text):
    raise TypeError(f'no answer for {type(ask).__name__}')


@_whole_choice.register
def _(ask: jobs.ChatAsk, text):
    del ask
    message = {'role': 'assistant', 'content': text}
    return 'chat.completion', {'index': 0, 'message': message}


@_whole_choice.register
def _(ask: jobs.CompletionAsk, text):
    del ask
    return 'text_completion', {'index': 0, 'text': text}


def whole(ask, text, reason, tokens):
    """Returns a whole answer of ``tokens`` generated tokens as a dict."""
    obj, choice = _whole_choice(ask, text)
    choice['finish_reason'] = reason
    body = _envelope(ask, obj, choice)
    prompt_tokens = len(ask.prompt.split())
    body['usage'] = {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': tokens,
        'total_tokens': prompt_tokens + tokens
    }
    return body
