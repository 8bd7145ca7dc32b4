"""Turns a caller's request into a call for a backend server."""

import dataclasses
import re
import typing
import urllib.parse

import orjson

from . import errors
from . import settings as settings_module
from .ports import backends
from .ports import callers

MODEL_PATHS = ('/v1/chat/completions', '/v1/completions')
REPEATABLE_METHODS = frozenset(
    {'GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE'}
)
# Only these headers of a caller reach a backend server.
PASSED_HEADERS = frozenset(
    {
        'accept',
        'accept-language',
        'content-language',
        'content-type',
        'if-match',
        'if-modified-since',
        'if-none-match',
        'idempotency-key',
        'traceparent',
        'tracestate',
    }
)
IDEMPOTENCY_KEY = re.compile(r'[\x21-\x7e]{1,255}\Z')
PREFIX_BYTES = 512
# A plain call costs this many tokens of its organisation's allowance.
PLAIN_CALL_TOKENS = 1
# Room for the tokens with which a chat template wraps each message.
TOKENS_PER_MESSAGE = 8


@dataclasses.dataclass(frozen=True, slots=True)
class ModelRequest:
    """What the gateway reads of an inference request.

    :ivar tokens: upper bound of prompt and completion tokens.
    :ivar adds_usage: the caller did not ask for the usage that the gateway
        asks for, so it is taken out of the stream again.
    """

    model: str
    body: bytes
    stream: bool
    tokens: int
    adds_usage: bool
    prefix: bytes


def check_leaks(request: callers.CallerRequest) -> None:
    """Refuses a request that would show the key to a backend server.

    :raises KeyInRequestError: if the key stands in path, query or body.
    """
    key = request.key
    places = {
        'path': urllib.parse.unquote(request.path),
        'query': urllib.parse.unquote_plus(request.query),
    }
    for place, text in places.items():
        if key in text:
            raise errors.KeyInRequestError(
                f'the key stands in the {place} of the request'
            )
    if key.encode() in request.body:
        raise errors.KeyInRequestError(
            'the key stands in the body of the request'
        )


def passed_headers(
    request: callers.CallerRequest,
) -> tuple[tuple[str, str], ...]:
    """Returns the headers for a backend server, without the key."""
    return tuple(
        (name, value)
        for name, value in request.headers
        if name in PASSED_HEADERS and request.key not in value
    )


def read_model_request(
    request: callers.CallerRequest, limits: settings_module.Limits
) -> ModelRequest:
    """Returns an inference request with bounds on its tokens.

    :raises BadRequestError: if the body is not an inference request.
    """
    content = _read_object(request.body)
    if request.key in orjson.dumps(content).decode():
        raise errors.KeyInRequestError('the key stands in the body')
    model = content.get('model')
    if not isinstance(model, str) or not model:
        raise errors.BadRequestError('model must be a text')
    stream = content.get('stream', False)
    if not isinstance(stream, bool):
        raise errors.BadRequestError('stream must be true or false')
    prompt = _read_prompt(request.path, content)
    answers = _read_count(content, 'n', 1, 128)
    most = _read_most_tokens(content, limits)
    adds_usage = stream and _add_usage(content)
    texts = orjson.dumps(prompt)
    messages = len(prompt) if isinstance(prompt, list) else 1
    tokens = len(texts) + TOKENS_PER_MESSAGE * messages + answers * most
    return ModelRequest(
        model,
        orjson.dumps(content),
        stream,
        tokens,
        adds_usage,
        texts[:PREFIX_BYTES],
    )


def _read_object(body: bytes) -> dict[str, typing.Any]:
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise errors.BadRequestError(f'the body is not JSON: {error}') from (
            error
        )
    if not isinstance(content, dict):
        raise errors.BadRequestError('the body must be a JSON object')
    return content


def _read_prompt(path: str, content: dict) -> typing.Any:
    if path == MODEL_PATHS[0]:
        messages = content.get('messages')
        if not isinstance(messages, list) or not messages:
            raise errors.BadRequestError('messages must be a filled list')
        if not all(isinstance(one, dict) for one in messages):
            raise errors.BadRequestError('each message must be an object')
        return [*messages, content.get('tools', [])]
    prompt = content.get('prompt')
    if not isinstance(prompt, str | list) or not prompt:
        raise errors.BadRequestError('prompt must be a text or a list')
    return prompt


def _read_count(content: dict, name: str, usual: int, most: int) -> int:
    value = content.get(name)
    if value is None:
        return usual
    if isinstance(value, bool) or not isinstance(value, int):
        raise errors.BadRequestError(f'{name} must be a whole number')
    if not 1 <= value <= most:
        raise errors.BadRequestError(f'{name} must be from 1 to {most}')
    return value


def _read_most_tokens(content: dict, limits: settings_module.Limits) -> int:
    longest = limits.longest_max_tokens
    name = (
        'max_completion_tokens'
        if content.get('max_completion_tokens') is not None
        else 'max_tokens'
    )
    most = _read_count(content, name, limits.default_max_tokens, longest)
    content[name] = most
    return most


def _add_usage(content: dict) -> bool:
    """Asks for the usage at the end of a stream.

    :returns: whether the caller had not asked for it.
    """
    options = content.get('stream_options')
    if not isinstance(options, dict):
        options = {}
    asked = options.get('include_usage') is True
    content['stream_options'] = {**options, 'include_usage': True}
    return not asked


def make_model_call(
    request: callers.CallerRequest,
    model_request: ModelRequest,
    organisation: str,
    service: str,
) -> backends.Call:
    """Returns the call of an inference request."""
    return backends.Call(
        request_id=request.request_id,
        organisation=organisation,
        service=service,
        kind='model',
        method='POST',
        path=request.path,
        headers=(('content-type', 'application/json'),)
        + tuple(
            (name, value)
            for name, value in passed_headers(request)
            if name in ('traceparent', 'tracestate')
        ),
        body=model_request.body,
        repeatable=True,
        stream=model_request.stream,
        tokens=model_request.tokens,
    )


def make_plain_call(
    request: callers.CallerRequest,
    organisation: str,
    service: str,
    path: str,
) -> backends.Call:
    """Returns the call of a request for a plain service.

    :param path: the path below the service's prefix.
    """
    query = f'?{request.query}' if request.query else ''
    return backends.Call(
        request_id=request.request_id,
        organisation=organisation,
        service=service,
        kind='plain',
        method=request.method,
        path=path + query,
        headers=passed_headers(request),
        body=request.body,
        repeatable=request.method in REPEATABLE_METHODS,
        stream=False,
        tokens=PLAIN_CALL_TOKENS,
    )


def read_idempotency_key(request: callers.CallerRequest) -> str | None:
    """Returns the idempotency key of a request that has one.

    :raises BadRequestError: if it is not of the allowed form.
    """
    key = request.header('idempotency-key')
    if key is None:
        return None
    if not IDEMPOTENCY_KEY.match(key):
        raise errors.BadRequestError(
            'Idempotency-Key must be 1 to 255 visible ASCII characters'
        )
    return key
