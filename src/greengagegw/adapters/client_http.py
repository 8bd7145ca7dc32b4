"""ASGI application that serves the clients of an entry VM."""

import collections.abc
import typing
import uuid

import eliot
import orjson

from .. import errors
from .. import gateway as gateways
from .. import request_parsing
from .. import settings as settings_module
from .. import streams
from .. import timers as timer_service
from . import asgi
from ..ports import backends
from ..ports import clients

HEALTH_PATHS = ('/healthz', '/readyz')
EVENT_STREAM_TYPE = 'text/event-stream'


class ClientApplication:
    """Serves API requests and health checks on one VM.

    :param is_ready: whether ``/readyz`` reports this VM as ready for new
        clients.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        timers: timer_service.Timers,
        gateway: gateways.Gateway,
        is_ready: collections.abc.Callable[[], bool],
    ) -> None:
        self.settings = settings
        self.timers = timers
        self.gateway = gateway
        self.is_ready = is_ready

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
        if scope['path'] in HEALTH_PATHS:
            await self.send_health(scope['path'], send)
            return
        request_id = uuid.uuid4().hex
        writer = ResponseWriter(scope, send, request_id)
        try:
            await self.process_request(scope, receive, writer, request_id)
        except asgi.ClientDisconnected:
            pass
        except errors.GatewayError as error:
            await writer.send_error(error)
        except Exception:
            eliot.write_traceback()
            error = errors.GatewayError('an internal error occurred')
            await writer.send_error(error)

    async def process_request(
        self,
        scope: dict,
        receive: asgi.Receive,
        writer: 'ResponseWriter',
        request_id: str,
    ) -> None:
        limits = self.settings.limits
        asgi.check_header_size(scope, limits.header_bytes)
        body = await asgi.read_body(
            scope,
            receive,
            limits.body_bytes,
            self.timers,
            self.settings.timeouts.body_seconds,
            lambda: self.gateway.check_head(
                parse_request(scope, b'', request_id)
            ),
        )
        if scope['path'] in request_parsing.MODEL_PATHS:
            asgi.count_json(scope, body)
        request = parse_request(scope, body, request_id)

        async def handle() -> None:
            try:
                async with self.gateway.handle(request) as response:
                    await writer.send_response(response)
            except errors.GatewayError as error:
                await writer.send_error(error)

        await asgi.run_until_disconnect(receive, handle)

    async def send_health(self, path: str, send: asgi.Send) -> None:
        is_ok = path == '/healthz' or self.is_ready()
        await asgi.send_response(
            send,
            200 if is_ok else 503,
            [(b'content-type', b'text/plain')],
            b'ok\n' if is_ok else b'not ready\n',
        )


class ResponseWriter:
    """Writes the response to a request, or the error in its place."""

    def __init__(self, scope: dict, send: asgi.Send, request_id: str) -> None:
        self.scope = scope
        self.send = send
        self.request_id = request_id
        self.is_started = False
        self.is_event_stream = False

    async def send_response(self, response: backends.Response) -> None:
        """Sends a response as it arrives.

        Status and headers wait for the first chunk, so that an earlier
        failure can still change the status.
        """
        headers = [
            (name.encode(), value.encode()) for name, value in response.headers
        ]
        headers.append((b'x-request-id', self.request_id.encode()))
        if asgi.ends_by_close(self.scope, headers):
            body = await streams.read_body(
                response.chunks, asgi.memory_counter(self.scope)
            )
            self.is_started = True
            await asgi.send_response(self.send, response.status, headers, body)
            return
        first_chunk = await anext(response.chunks, b'')
        content_type = dict(response.headers).get('content-type', '')
        self.is_event_stream = content_type.startswith(EVENT_STREAM_TYPE)
        await self.send(
            {
                'type': 'http.response.start',
                'status': response.status,
                'headers': headers,
            }
        )
        self.is_started = True
        if first_chunk:
            await asgi.send_chunk(self.send, first_chunk)
        async for chunk in response.chunks:
            await asgi.send_chunk(self.send, chunk)
        await self.send({'type': 'http.response.body', 'body': b''})

    async def send_error(self, error: errors.GatewayError) -> None:
        """Reports an error to the client.

        An event stream that has begun ends with an error event. Any other
        response that has begun is aborted, so that the client does not take
        it for complete.
        """
        body = orjson.dumps(make_error_object(error, self.request_id))
        if not self.is_started:
            await asgi.send_response(
                self.send, error.status, error_headers(error), body
            )
        elif self.is_event_stream:
            event = b'event: error\ndata: ' + body + b'\n\n'
            await self.send({'type': 'http.response.body', 'body': event})
        else:
            raise error


def error_headers(error: errors.GatewayError) -> list[tuple[bytes, bytes]]:
    headers = [(b'content-type', b'application/json')]
    if error.retry_after is not None:
        seconds = max(1, round(error.retry_after + 0.5))
        headers.append((b'retry-after', str(seconds).encode()))
    if isinstance(error, errors.AuthenticationError):
        headers.append((b'www-authenticate', b'Bearer'))
    return headers


def make_error_object(
    error: errors.GatewayError, request_id: str
) -> dict[str, typing.Any]:
    """Returns the error object of a response body."""
    error_type = (
        'invalid_request_error'
        if 400 <= error.status < 500
        else 'server_error'
    )
    return {
        'error': {
            'message': error.message,
            'type': error_type,
            'param': None,
            'code': error.code,
            'request_id': request_id,
            'run': error.run,
        }
    }


def parse_request(
    scope: dict, body: bytes, request_id: str
) -> clients.ClientRequest:
    """Converts a request from ASGI to the gateway's form."""
    headers = tuple(
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in scope['headers']
    )
    path = scope['raw_path'].decode('latin-1').partition('?')[0]
    return clients.ClientRequest(
        request_id,
        scope['method'],
        path,
        scope['query_string'].decode('latin-1'),
        headers,
        find_api_key(headers),
        body,
    )


def find_api_key(headers: tuple[tuple[str, str], ...]) -> str:
    """Returns the API key of a request, or an empty string.

    :raises BadRequestError: if its headers contain different keys.
    """
    keys = set()
    for name, value in headers:
        if name == 'authorization':
            scheme, _, key = value.partition(' ')
            if scheme.lower() == 'bearer':
                keys.add(key.strip())
        elif name == 'x-api-key':
            keys.add(value.strip())
    if len(keys) > 1:
        raise errors.BadRequestError(
            'the request headers contain different API keys'
        )
    return keys.pop() if keys else ''
