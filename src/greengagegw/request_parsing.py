"""Parses a client's request into a call for a backend server."""

import dataclasses
import re
import typing
import urllib.parse

import orjson
import xxhash

from . import errors
from . import settings as settings_module
from .ports import backends
from .ports import clients

MODEL_PATHS = ('/v1/chat/completions', '/v1/completions')
REPEATABLE_METHODS = frozenset(
    {'GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE'}
)
# Request headers that are forwarded to a backend server; all others are
# dropped.
FORWARDED_HEADERS = frozenset(
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
MAX_SEGMENTS = 64
# Charged to the organisation's token quota for a call of a plain service.
PLAIN_CALL_TOKENS = 1
# Upper bound of the tokens that a chat template adds to each message.
TOKENS_PER_MESSAGE = 8


@dataclasses.dataclass(frozen=True, slots=True)
class ModelRequest:
    """The parts of an inference request that the gateway needs.

    :ivar tokens: upper bound of prompt and completion tokens.
    :ivar adds_usage: the gateway requests the usage and the client did not,
        so it is removed from the stream.
    :ivar prefix: beginning of the prompt, for prefix cache affinity.
    :ivar segments: digests of the prompt's messages.
    """

    model: str
    body: bytes
    stream: bool
    tokens: int
    adds_usage: bool
    prefix: bytes
    segments: tuple[str, ...] = ()


def check_key_disclosure(request: clients.ClientRequest) -> None:
    """Rejects a request that would disclose its key to a backend server.

    :raises KeyInRequestError: if the path, query or body contains the key.
    """
    key = request.key
    parts = {
        'path': urllib.parse.unquote(request.path),
        'query': urllib.parse.unquote_plus(request.query),
    }
    for part, text in parts.items():
        if key in text:
            raise errors.KeyInRequestError(
                f'the {part} of the request contains the API key'
            )
    if key.encode() in request.body:
        raise errors.KeyInRequestError(
            'the body of the request contains the API key'
        )


def forwarded_headers(
    request: clients.ClientRequest,
) -> tuple[tuple[str, str], ...]:
    """Returns the headers to forward, except any that contain the key."""
    return tuple(
        (name, value)
        for name, value in request.headers
        if name in FORWARDED_HEADERS and request.key not in value
    )


def read_model_request(
    request: clients.ClientRequest, limits: settings_module.Limits
) -> ModelRequest:
    """Parses an inference request and bounds the tokens it may use.

    :raises BadRequestError: if the body is not an inference request.
    :raises KeyInRequestError: if the body contains the key, also escaped.
    """
    content = _read_object(request.body)
    if request.key in _encode(content).decode():
        raise errors.KeyInRequestError(
            'the JSON body of the request contains the API key'
        )
    model = content.get('model')
    if not isinstance(model, str) or not model:
        raise errors.BadRequestError('model must be a non-empty string')
    stream = content.get('stream', False)
    if not isinstance(stream, bool):
        raise errors.BadRequestError('stream must be a boolean')
    prompt = _read_prompt(request.path, content)
    choices = _read_count(content, 'n', 1, 128)
    max_tokens = _read_max_tokens(content, limits)
    adds_usage = stream and _add_usage(content)
    serialized = _encode(prompt)
    messages = len(prompt) if isinstance(prompt, list) else 1
    tokens = (
        len(serialized) + TOKENS_PER_MESSAGE * messages + choices * max_tokens
    )
    return ModelRequest(
        model,
        _encode(content),
        stream,
        tokens,
        adds_usage,
        serialized[:PREFIX_BYTES],
        digest_segments(prompt),
    )


def digest_segments(prompt: typing.Any) -> tuple[str, ...]:
    """Returns the digests of the messages of a prompt, in their order.

    The middle of a long conversation is left out.
    """
    parts = prompt if isinstance(prompt, list) else [prompt]
    if len(parts) > MAX_SEGMENTS:
        half = MAX_SEGMENTS // 2
        parts = [*parts[:half], *parts[-half:]]
    return tuple(xxhash.xxh64_hexdigest(_encode(one)) for one in parts if one)


def read_segments(path: str, body: bytes) -> tuple[str, ...]:
    """Returns the segments of a call that another VM has parsed.

    :raises BadRequestError: if the body is not an inference request.
    """
    return digest_segments(_read_prompt(path, _read_object(body)))


def _read_object(body: bytes) -> dict[str, typing.Any]:
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise errors.BadRequestError(
            f'the body is not valid JSON: {error}'
        ) from error
    if not isinstance(content, dict):
        raise errors.BadRequestError('the body must be a JSON object')
    return content


def _encode(value: typing.Any) -> bytes:
    """Returns a part of a body as JSON.

    :raises BadRequestError: if it is nested deeper than the encoder can go,
        which is less deep than the decoder can.
    """
    try:
        return orjson.dumps(value)
    except orjson.JSONEncodeError as error:
        raise errors.BadRequestError(
            'the body is nested too deeply'
        ) from error


def _read_prompt(path: str, content: dict) -> typing.Any:
    if path == MODEL_PATHS[0]:
        messages = content.get('messages')
        if not isinstance(messages, list) or not messages:
            raise errors.BadRequestError('messages must be a non-empty list')
        if not all(isinstance(one, dict) for one in messages):
            raise errors.BadRequestError('each message must be a JSON object')
        return [*messages, content.get('tools', [])]
    prompt = content.get('prompt')
    if not isinstance(prompt, str | list) or not prompt:
        raise errors.BadRequestError(
            'prompt must be a non-empty string or list'
        )
    return prompt


def _read_count(content: dict, name: str, default: int, max_value: int) -> int:
    value = content.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int):
        raise errors.BadRequestError(f'{name} must be an integer')
    if not 1 <= value <= max_value:
        raise errors.BadRequestError(
            f'{name} is {value}, must be from 1 to {max_value}'
        )
    return value


def _read_max_tokens(content: dict, limits: settings_module.Limits) -> int:
    max_allowed = limits.longest_max_tokens
    name = (
        'max_completion_tokens'
        if content.get('max_completion_tokens') is not None
        else 'max_tokens'
    )
    max_tokens = _read_count(
        content, name, limits.default_max_tokens, max_allowed
    )
    content[name] = max_tokens
    return max_tokens


def _add_usage(content: dict) -> bool:
    """Requests the usage at the end of a stream.

    :returns: whether the client had not requested it.
    """
    options = content.get('stream_options')
    if not isinstance(options, dict):
        options = {}
    requested = options.get('include_usage') is True
    content['stream_options'] = {**options, 'include_usage': True}
    return not requested


def make_model_call(
    request: clients.ClientRequest,
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
            for name, value in forwarded_headers(request)
            if name in ('traceparent', 'tracestate')
        ),
        body=model_request.body,
        repeatable=True,
        stream=model_request.stream,
        tokens=model_request.tokens,
    )


def make_plain_call(
    request: clients.ClientRequest,
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
        headers=forwarded_headers(request),
        body=request.body,
        repeatable=request.method in REPEATABLE_METHODS,
        stream=False,
        tokens=PLAIN_CALL_TOKENS,
    )


def read_idempotency_key(request: clients.ClientRequest) -> str | None:
    """Returns the idempotency key of a request that has one.

    :raises BadRequestError: if it is not 1 to 255 visible ASCII characters.
    """
    key = request.header('idempotency-key')
    if key is None:
        return None
    if not IDEMPOTENCY_KEY.match(key):
        raise errors.BadRequestError(
            'Idempotency-Key must be 1 to 255 visible ASCII characters'
        )
    return key
