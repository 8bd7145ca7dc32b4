"""ASGI application for clients of the platform."""

import collections.abc
import math
import re
import typing

import eliot
import orjson

from .. import errors
from .. import logs
from .. import streams
from .. import timers as timer_service
from ..adapters import asgi
from ..fleet import configuration as configurations
from . import http_names
from ..serving import dispatcher as dispatchers
from ..serving import ports
from ..serving import prompts

BODY_TIMEOUT_SECONDS = 10.0
# A longer number cannot be a token count, and would overflow in the model of
# the caches and in messages to other VMs.
COUNT = re.compile('[0-9]{1,9}', re.ASCII)
# A timer of the event loop takes at most some hundred years.
MAX_TIMEOUT_SECONDS = 1e9


class ClientApplication:
    """Serves clients on one entry VM.

    :param is_leaving: whether this VM is shutting down, so that clients
        should connect to another one.
    :param rejects_request: whether a request came so late in the shutdown
        that it may not end in time.
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
        """Serves one HTTP request."""
        writer = ResponseWriter(scope, send, self.is_leaving)
        started_at = self.timers.now()
        request_id = find_header(scope, http_names.REQUEST_ID)
        outcome = 'answered'
        try:
            await self.handle_request(scope, receive, writer)
        except asgi.ClientDisconnected:
            outcome = 'caller_gone'
        except errors.GatewayError as error:
            outcome = error.code
            logs.log_message(
                'request:failed',
                request=request_id,
                code=error.code,
                run=error.run,
                reason=error.message,
                retry_after=error.retry_after,
            )
            await writer.send_error(error)
        except Exception:
            eliot.write_traceback()
            outcome = errors.GatewayError.code
            await writer.send_error(
                errors.GatewayError('an internal error occurred')
            )
        finally:
            logs.log_message(
                'request:ended',
                request=request_id,
                outcome=outcome,
                status=writer.status,
                seconds=round(self.timers.now() - started_at, 4),
            )

    async def handle_request(
        self, scope: dict, receive: asgi.Receive, writer: 'ResponseWriter'
    ) -> None:
        limits = self.limits
        asgi.check_header_size(scope, limits.header_bytes)
        with self.dispatcher.in_flight.enter(self.timers.now()):
            body = await asgi.read_body(
                scope,
                receive,
                limits.body_bytes,
                self.timers,
                BODY_TIMEOUT_SECONDS,
                lambda: self.check_head(scope),
            )
        request = decode_request(scope, body)
        self.check_stop(request)
        failure: errors.GatewayError | None = None

        async def handle() -> None:
            nonlocal failure
            try:
                async with self.dispatcher.handle(request) as response:
                    await writer.send_response(response)
            except errors.GatewayError as error:
                failure = error

        await asgi.run_until_disconnect(receive, handle)
        try:
            if failure is not None:
                raise failure
        finally:
            # The error refers to this frame, and so to the body.
            failure = None

    def check_head(self, scope: dict) -> None:
        """Checks what the head of a request tells before its body arrives.

        :raises NotRunError: if the request will be rejected.
        """
        request = decode_request(scope, b'')
        self.check_stop(request)
        self.dispatcher.check_head(request)

    def check_stop(self, request: ports.Request) -> None:
        """Checks that a request does not come too late in a shutdown.

        :raises StoppingError: if it does.
        """
        if self.rejects_request(request):
            raise errors.StoppingError(
                'this VM is shutting down', retry_after=0.05
            )


class ResponseWriter:
    """Sends one response to a client.

    :ivar status: status that was sent, 0 before.
    """

    def __init__(
        self,
        scope: dict,
        send: asgi.Send,
        is_leaving: collections.abc.Callable[[], bool],
    ) -> None:
        self.scope = scope
        self.send = send
        self.is_leaving = is_leaving
        self.status = 0

    async def send_response(self, response: ports.Response) -> None:
        """Sends a response chunk by chunk.

        The status is sent with the first chunk, so that an earlier failure
        can still be reported by a status of its own.

        :raises BrokenStreamError: if the response ends early.
        """
        if asgi.ends_by_close(self.scope, response.headers):
            body = await streams.read_body(
                response.chunks, asgi.memory_counter(self.scope)
            )
            headers = [*response.headers, *self.connection_headers()]
            self.status = response.status
            await asgi.send_response(self.send, self.status, headers, body)
            return
        send = self.send
        first = await anext(response.chunks, b'')
        headers = [*response.headers, *self.connection_headers()]
        await send(
            {
                'type': 'http.response.start',
                'status': response.status,
                'headers': headers,
            }
        )
        self.status = response.status
        if first:
            await send(asgi.make_chunk(first))
        async for chunk in response.chunks:
            await send(asgi.make_chunk(chunk))
        await send({'type': 'http.response.body', 'body': b''})

    def connection_headers(self) -> list[tuple[bytes, bytes]]:
        return [(b'connection', b'close')] if self.is_leaving() else []

    async def send_error(self, error: errors.GatewayError) -> None:
        """Sends an error response.

        A response that has started is aborted instead, so that the client
        does not take it for complete.

        :raises ResponseAbortedError: if a response has started.
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
    """Makes the HTTP server close the connection during a response."""


def encode_status(error: errors.GatewayError) -> int:
    """Returns the HTTP status of an error.

    To clients some statuses mean that the request did not and will not run,
    so an error after which it may have run gets another status.
    """
    if error.status in (408, 421, 429, 503) and error.run != errors.NOT_RUN:
        return 502
    if error.status == 502 and error.run == errors.NOT_RUN:
        return 503
    return error.status


def find_header(scope: dict, name: bytes) -> str:
    """Returns the value of a header, an empty string if it is missing."""
    for found, value in scope['headers']:
        if found == name:
            return value.decode('latin-1')
    return ''


def decode_request(scope: dict, body: bytes) -> ports.Request:
    """Returns the request in an ASGI scope.

    :raises BadRequestError: if the deadline or the token counts are invalid.
    """
    find = header_finder(scope)
    target = scope['raw_path']
    if scope['query_string'] and b'?' not in target:
        target += b'?' + scope['query_string']
    path = target.partition(b'?')[0].decode('latin-1')
    pairs = [
        (name.lower(), value)
        for name, value in http_names.drop_hop_by_hop_headers(scope['headers'])
    ]
    headers = tuple(
        [one for one in pairs if one[0] not in http_names.DROPPED_HEADERS]
    )
    return ports.Request(
        request_id=find(http_names.REQUEST_ID),
        method=scope['method'],
        target=target,
        host=find(b'host').lower().partition(':')[0],
        path=path,
        headers=headers,
        body=body,
        key=find(http_names.API_KEY),
        client_timeout_seconds=decode_timeout(find(http_names.DEADLINE_MS)),
        prompt=decode_prompt(scope),
        resume_after=find(http_names.RESUME_AFTER) or None,
        resumed_request=find(http_names.RESUMED_REQUEST) or None,
    )


def header_finder(
    scope: dict,
) -> collections.abc.Callable[[bytes], str]:
    """Returns what returns the first value of a header, empty for none."""
    values = dict(reversed(scope['headers']))
    return lambda name: values.get(name, b'').decode('latin-1')


def decode_timeout(value: str) -> float | None:
    """Returns a client timeout in seconds, None if the header is missing.

    :raises BadRequestError: if the value is not a finite number.
    """
    if not value:
        return None
    try:
        milliseconds = float(value)
    except ValueError:
        milliseconds = math.nan
    if not math.isfinite(milliseconds):
        raise errors.BadRequestError(
            'the deadline is not a number of milliseconds'
        )
    return min(max(0.0, milliseconds / 1000), MAX_TIMEOUT_SECONDS)


def decode_prompt(scope: dict) -> prompts.Prompt | None:
    """Returns the size of a generation, None for other calls.

    :raises BadRequestError: if the token counts or segments are invalid.
    """
    find = header_finder(scope)
    value = find(http_names.TOKEN_COUNTS)
    if not value:
        return None
    try:
        tokens, max_output_tokens = (
            decode_count(one) for one in value.split(',')
        )
        segments = tuple(
            decode_segment(one)
            for one in find(http_names.PROMPT_SEGMENTS).split(',')
            if one
        )
    except ValueError as error:
        raise errors.BadRequestError(
            'the token counts or prompt segments are invalid'
        ) from error
    model = find(http_names.MODEL)
    hint = find(http_names.OUTPUT_LENGTH_HINT)
    # An invalid hint is ignored, since the request is valid without it.
    expected_output_tokens = int(hint) if COUNT.fullmatch(hint) else 0
    return prompts.Prompt(
        model, tokens, max_output_tokens, segments, expected_output_tokens
    )


def decode_segment(value: str) -> prompts.Segment:
    name, _, tokens = value.strip().partition(':')
    return prompts.Segment(name, decode_count(tokens))


def decode_count(value: str) -> int:
    """Returns a number of tokens.

    :raises ValueError: if it is no whole number of at most nine digits.
    """
    if COUNT.fullmatch(value.strip()) is None:
        raise ValueError(value[:20])
    return int(value)


def make_readiness_application(
    is_ready: collections.abc.Callable[[], bool],
) -> collections.abc.Callable[..., collections.abc.Awaitable[None]]:
    """Returns an ASGI application for the readiness probe."""

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
