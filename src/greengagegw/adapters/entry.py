"""The callers' side over HTTP, as an ASGI application."""

import collections.abc
import typing
import uuid

import eliot
import orjson

from .. import errors
from .. import gateway as gateways
from .. import settings as settings_module
from .. import timers as timer_service
from . import asgi
from ..ports import backends
from ..ports import clients

HEALTH_PATHS = ('/healthz', '/readyz')
SSE_TYPE = 'text/event-stream'


class ClientApplication:
    """Answers callers on one VM.

    :param is_ready: tells whether new callers may be sent here.
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
        """Answers one request."""
        if scope['path'] in HEALTH_PATHS:
            await self.answer_health(scope['path'], send)
            return
        request_id = uuid.uuid4().hex
        reply = ResponseWriter(send, request_id)
        try:
            await self.answer(scope, receive, reply, request_id)
        except asgi.ClientDisconnected:
            pass
        except errors.GatewayError as error:
            await reply.fail(error)
        except Exception:
            eliot.write_traceback()
            error = errors.GatewayError('an internal error occurred')
            await reply.fail(error)

    async def answer(
        self,
        scope: dict,
        receive: asgi.Receive,
        reply: 'ResponseWriter',
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
        )
        request = make_request(scope, body, request_id)

        async def handle() -> None:
            try:
                async with self.gateway.handle(request) as answer:
                    await reply.send_answer(answer)
            except errors.GatewayError as error:
                await reply.fail(error)

        await asgi.run_until_disconnect(receive, handle)

    async def answer_health(self, path: str, send: asgi.Send) -> None:
        is_good = path == '/healthz' or self.is_ready()
        await asgi.send_response(
            send,
            200 if is_good else 503,
            [(b'content-type', b'text/plain')],
            b'ok\n' if is_good else b'not ready\n',
        )


class ResponseWriter:
    """The answer on its way to a caller."""

    def __init__(self, send: asgi.Send, request_id: str) -> None:
        self.send = send
        self.request_id = request_id
        self.is_started = False
        self.is_stream = False

    async def send_answer(self, answer: backends.Response) -> None:
        """Sends an answer as it arrives.

        The head waits for the first chunk, so that a failure before it can
        still be told by its status.
        """
        first = await anext(answer.chunks, b'')
        headers = [
            (name.encode(), value.encode()) for name, value in answer.headers
        ]
        headers.append((b'x-request-id', self.request_id.encode()))
        content_type = dict(answer.headers).get('content-type', '')
        self.is_stream = content_type.startswith(SSE_TYPE)
        await self.send(
            {
                'type': 'http.response.start',
                'status': answer.status,
                'headers': headers,
            }
        )
        self.is_started = True
        if first:
            await asgi.send_chunk(self.send, first)
        async for chunk in answer.chunks:
            await asgi.send_chunk(self.send, chunk)
        await self.send({'type': 'http.response.body', 'body': b''})

    async def fail(self, error: errors.GatewayError) -> None:
        """Tells the caller of a failure.

        A stream that has begun ends with an event of its own. Any other
        answer that has begun is broken off, so that nobody takes it for
        the whole.
        """
        body = orjson.dumps(describe(error, self.request_id))
        if not self.is_started:
            await asgi.send_response(
                self.send, error.status, error_headers(error), body
            )
        elif self.is_stream:
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


def describe(
    error: errors.GatewayError, request_id: str
) -> dict[str, typing.Any]:
    """Returns the error object of an answer."""
    kind = (
        'invalid_request_error'
        if 400 <= error.status < 500
        else 'server_error'
    )
    return {
        'error': {
            'message': error.message,
            'type': kind,
            'param': None,
            'code': error.code,
            'request_id': request_id,
            'run': error.run,
        }
    }


def make_request(
    scope: dict, body: bytes, request_id: str
) -> clients.ClientRequest:
    """Returns a request in the form that the gateway takes."""
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
        find_key(headers),
        body,
    )


def find_key(headers: tuple[tuple[str, str], ...]) -> str:
    """Returns the key that a caller presents, or an empty text.

    :raises BadRequestError: if different keys are presented.
    """
    found = set()
    for name, value in headers:
        if name == 'authorization':
            scheme, _, key = value.partition(' ')
            if scheme.lower() == 'bearer':
                found.add(key.strip())
        elif name == 'x-api-key':
            found.add(value.strip())
    if len(found) > 1:
        raise errors.BadRequestError('different keys are presented')
    return found.pop() if found else ''
