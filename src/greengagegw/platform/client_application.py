"""Answers callers in the platform's form, as an ASGI application."""

import collections.abc
import typing

import eliot
import orjson

from .. import errors
from .. import timers as timer_service
from ..adapters import asgi
from ..fleet import configuration as configurations
from . import http_names
from ..serving import dispatcher as dispatchers
from ..serving import ports
from ..serving import prompts

BODY_TIMEOUT_SECONDS = 10.0
# Longer hints are no counts of tokens.
MAX_HINT_DIGITS = 9


class ClientApplication:
    """Serves callers on one entry VM.

    :param refuses_new: tells whether a request comes too late to be ended
        before this VM stops.
    :param is_leaving: tells whether callers should connect elsewhere.
    """

    def __init__(
        self,
        timers: timer_service.Timers,
        dispatcher: dispatchers.Dispatcher,
        is_leaving: collections.abc.Callable[[], bool],
        rejects_request: collections.abc.Callable[[ports.Request], bool],
    ) -> None:
        self.timers = timers
        self.dispatcher = dispatcher
        self.is_leaving = is_leaving
        self.rejects_request = rejects_request

    @property
    def limits(self) -> configurations.RequestLimits:
        configuration = self.dispatcher.view.configuration
        if configuration is None:
            return configurations.RequestLimits()
        return configuration.limits

    async def __call__(
        self, scope: dict, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if scope['type'] == 'lifespan':
            await asgi.serve_lifespan(receive, send)
        elif scope['type'] == 'http':
            await self.serve(scope, receive, send)

    async def serve(
        self, scope: dict, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answers one request."""
        reply = ResponseWriter(send, self.is_leaving)
        began_at = self.timers.now()
        request_id = find_header(scope, http_names.REQUEST_ID)
        outcome = 'answered'
        try:
            await self.answer(scope, receive, reply)
        except asgi.ClientDisconnected:
            outcome = 'caller_gone'
        except errors.GatewayError as error:
            outcome = error.code
            eliot.log_message(
                'request:failed',
                request=request_id,
                code=error.code,
                run=error.run,
                reason=error.message,
                retry_after=error.retry_after,
            )
            await reply.send_error(error)
        except Exception:
            eliot.write_traceback()
            outcome = errors.GatewayError.code
            await reply.send_error(
                errors.GatewayError('an internal error occurred')
            )
        finally:
            eliot.log_message(
                'request:ended',
                request=request_id,
                outcome=outcome,
                status=reply.status,
                seconds=round(self.timers.now() - began_at, 4),
            )

    async def answer(
        self, scope: dict, receive: asgi.Receive, reply: 'ResponseWriter'
    ) -> None:
        limits = self.limits
        asgi.check_header_size(scope, limits.header_bytes)
        body = await asgi.read_body(
            scope,
            receive,
            limits.body_bytes,
            self.timers,
            BODY_TIMEOUT_SECONDS,
        )
        request = decode_request(scope, body)
        if self.rejects_request(request):
            raise errors.StoppingError('this VM stops', retry_after=0.05)
        failure: errors.GatewayError | None = None

        async def handle() -> None:
            nonlocal failure
            try:
                async with self.dispatcher.handle(request) as answer:
                    await reply.send_response(answer)
            except errors.GatewayError as error:
                failure = error

        await asgi.run_until_disconnect(receive, handle)
        if failure is not None:
            raise failure


class ResponseWriter:
    """The answer on its way to a caller."""

    def __init__(
        self,
        send: asgi.Send,
        is_leaving: collections.abc.Callable[[], bool],
    ) -> None:
        self.send = send
        self.is_leaving = is_leaving
        self.status = 0

    async def send_response(self, response: ports.Response) -> None:
        """Sends an answer as it arrives.

        The head waits for the first chunk, so that a failure before it can
        still be told by its status.
        """
        first = await anext(response.chunks, b'')
        headers = [*response.headers, *self.connection_headers()]
        await self.send(
            {
                'type': 'http.response.start',
                'status': response.status,
                'headers': headers,
            }
        )
        self.status = response.status
        if first:
            await asgi.send_chunk(self.send, first)
        async for chunk in response.chunks:
            await asgi.send_chunk(self.send, chunk)
        await self.send({'type': 'http.response.body', 'body': b''})

    def connection_headers(self) -> list[tuple[bytes, bytes]]:
        return [(b'connection', b'close')] if self.is_leaving() else []

    async def send_error(self, error: errors.GatewayError) -> None:
        """Tells the caller of a failure.

        An answer that has begun is broken off, so that nobody takes it for
        the whole.
        """
        if self.status:
            raise ResponseAbortedError(error.code)
        headers = [
            (b'content-type', b'application/json'),
            *self.connection_headers(),
        ]
        if error.retry_after is not None:
            value = f'{error.retry_after:.3f}'.encode()
            headers.append((http_names.RETRY_AFTER, value))
        self.status = encode_status(error)
        body = orjson.dumps(
            {'error': {'code': error.code, 'message': error.message}}
        )
        await asgi.send_response(self.send, self.status, headers, body)


class ResponseAbortedError(Exception):
    """Makes the HTTP server close a connection in the middle of an answer."""


def encode_status(error: errors.GatewayError) -> int:
    """Returns the status of a failure.

    Some statuses promise that the request did not run and never will, so
    they are kept from failures that cannot promise it.
    """
    if error.status in (408, 421, 429, 503) and error.run != errors.NOT_RUN:
        return 502
    if error.status == 502 and error.run == errors.NOT_RUN:
        return 503
    return error.status


def find_header(scope: dict, name: bytes) -> str:
    """Returns the value of a header, an empty text if there is none."""
    for found, value in scope['headers']:
        if found == name:
            return value.decode('latin-1')
    return ''


def decode_request(scope: dict, body: bytes) -> ports.Request:
    """Returns a caller's request in the gateway's form.

    :raises BadRequestError: if it cannot be understood.
    """
    target = scope['raw_path']
    if scope['query_string'] and b'?' not in target:
        target += b'?' + scope['query_string']
    path = target.partition(b'?')[0].decode('latin-1')
    pairs = [
        (name.lower(), value)
        for name, value in http_names.drop_hop_by_hop_headers(scope['headers'])
    ]
    headers = tuple(
        (name, value)
        for name, value in pairs
        if name not in http_names.GATEWAY_HEADERS and name != b'content-length'
    )
    host = find_header(scope, b'host').lower().partition(':')[0]
    return ports.Request(
        request_id=find_header(scope, http_names.REQUEST_ID),
        method=scope['method'],
        target=target,
        host=host,
        path=path,
        headers=headers,
        body=body,
        key=find_header(scope, http_names.API_KEY),
        client_timeout_seconds=decode_timeout(
            find_header(scope, http_names.DEADLINE_MS)
        ),
        prompt=decode_prompt(scope),
        resume_after=find_header(scope, http_names.RESUME_AFTER) or None,
    )


def decode_timeout(value: str) -> float | None:
    """Returns seconds that a caller waits, None if it does not say."""
    if not value:
        return None
    try:
        return max(0.0, float(value) / 1000)
    except ValueError as error:
        raise errors.BadRequestError('a deadline that is no number') from error


def decode_prompt(scope: dict) -> prompts.Prompt | None:
    """Returns the size of a generation, None for a plain call."""
    value = find_header(scope, http_names.TOKEN_COUNTS)
    if not value:
        return None
    try:
        tokens, output_tokens = (int(one) for one in value.split(','))
        parts = tuple(
            decode_segment(one)
            for one in find_header(scope, http_names.PROMPT_SEGMENTS).split(
                ','
            )
            if one
        )
    except ValueError as error:
        raise errors.BadRequestError('token counts are wrong') from error
    model = find_header(scope, http_names.MODEL)
    hint = find_header(scope, http_names.OUTPUT_LENGTH_HINT)
    # A hint that is no number is none: the request itself is sound.
    is_number = hint.isascii() and hint.isdigit()
    expected = int(hint) if is_number and len(hint) <= MAX_HINT_DIGITS else 0
    return prompts.Prompt(model, tokens, output_tokens, parts, expected)


def decode_segment(value: str) -> prompts.Segment:
    name, _, tokens = value.strip().partition(':')
    return prompts.Segment(name, int(tokens))


def make_readiness_application(
    is_ready: collections.abc.Callable[[], bool],
) -> collections.abc.Callable[..., collections.abc.Awaitable[None]]:
    """Returns the application that tells whether callers may come."""

    async def ready(
        scope: dict, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if scope['type'] == 'lifespan':
            await asgi.serve_lifespan(receive, send)
            return
        status: typing.Any = 404
        if scope['path'] == http_names.READY_PATH:
            status = 200 if is_ready() else 503
        await asgi.send_response(send, status, [], b'')

    return ready
