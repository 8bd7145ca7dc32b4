"""The callers' side over HTTP, as an ASGI application."""

import collections.abc
import contextlib
import typing
import uuid

import anyio
import eliot
import orjson

from .. import errors
from .. import gateway as gateways
from .. import settings as settings_module
from .. import timers as timer_service
from ..ports import backends
from ..ports import callers

Receive = collections.abc.Callable[[], collections.abc.Awaitable[dict]]
Send = collections.abc.Callable[[dict], collections.abc.Awaitable[None]]
HEALTH_PATHS = ('/healthz', '/readyz')
DRAIN_BYTES = 16 * 1024 * 1024
DRAIN_SECONDS = 1.0
SSE_TYPE = 'text/event-stream'


class CallerGone(Exception):  # noqa: N818
    """The caller closed the connection before it had its answer."""


class Entry:
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
        self, scope: dict, receive: Receive, send: Send
    ) -> None:
        if scope['type'] == 'lifespan':
            await serve_lifespan(receive, send)
        elif scope['type'] == 'http':
            await self.serve(scope, receive, send)

    async def serve(self, scope: dict, receive: Receive, send: Send) -> None:
        """Answers one request."""
        if scope['path'] in HEALTH_PATHS:
            await self.answer_health(scope['path'], send)
            return
        request_id = uuid.uuid4().hex
        reply = Reply(send, request_id)
        try:
            await self.answer(scope, receive, reply, request_id)
        except CallerGone:
            pass
        except errors.GatewayError as error:
            await reply.fail(error)
        except Exception:
            eliot.write_traceback()
            error = errors.GatewayError('an internal error occurred')
            await reply.fail(error)

    async def answer(
        self, scope: dict, receive: Receive, reply: 'Reply', request_id: str
    ) -> None:
        check_head(scope, self.settings.limits.header_bytes)
        try:
            body = await self.read_body(scope, receive)
        except errors.BodyTooLargeError:
            await self.drain(receive)
            raise
        request = make_request(scope, body, request_id)
        is_finished = False
        is_gone = False
        with anyio.CancelScope() as handling:

            async def watch_caller() -> None:
                nonlocal is_gone
                while True:
                    message = await receive()
                    if message['type'] == 'http.disconnect':
                        is_gone = not is_finished
                        handling.cancel()
                        return

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch_caller)
                try:
                    async with self.gateway.handle(request) as answer:
                        await reply.send_answer(answer)
                    is_finished = True
                except errors.GatewayError as error:
                    await reply.fail(error)
                tasks.cancel_scope.cancel()
        if is_gone:
            raise CallerGone

    async def read_body(self, scope: dict, receive: Receive) -> bytes:
        """Returns the body of a request.

        :raises BodyTooLargeError: before more than the limit is held.
        :raises SlowRequestError: if it does not arrive in time.
        """
        limit = self.settings.limits.body_bytes
        check_length(scope, limit)
        parts = []
        size = 0
        is_whole = False
        with self.timers.limit(self.settings.timeouts.body_seconds):
            while not is_whole:
                message = await receive()
                if message['type'] == 'http.disconnect':
                    raise CallerGone
                parts.append(message.get('body', b''))
                size += len(parts[-1])
                if size > limit:
                    raise errors.BodyTooLargeError(
                        f'the body is over {limit} bytes'
                    )
                is_whole = not message.get('more_body', False)
        if not is_whole:
            raise errors.SlowRequestError('the body did not arrive in time')
        return b''.join(parts)

    async def drain(self, receive: Receive) -> None:
        """Reads on for a little while after a body was refused.

        A connection that is closed with unread bytes is reset, and then
        the caller may never see why it was refused.
        """
        size = 0
        with self.timers.limit(DRAIN_SECONDS):
            while size < DRAIN_BYTES:
                message = await receive()
                size += len(message.get('body', b''))
                if not message.get('more_body', False):
                    return

    async def answer_health(self, path: str, send: Send) -> None:
        is_good = path == '/healthz' or self.is_ready()
        await send_whole(
            send,
            200 if is_good else 503,
            [(b'content-type', b'text/plain')],
            b'ok\n' if is_good else b'not ready\n',
        )


class Reply:
    """The answer on its way to a caller."""

    def __init__(self, send: Send, request_id: str) -> None:
        self.send = send
        self.request_id = request_id
        self.is_started = False
        self.is_stream = False

    async def send_answer(self, answer: backends.Answer) -> None:
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
            await self.send_chunk(first)
        async for chunk in answer.chunks:
            await self.send_chunk(chunk)
        await self.send({'type': 'http.response.body', 'body': b''})

    async def send_chunk(self, chunk: bytes) -> None:
        await self.send(
            {
                'type': 'http.response.body',
                'body': chunk,
                'more_body': True,
            }
        )

    async def fail(self, error: errors.GatewayError) -> None:
        """Tells the caller of a failure.

        A stream that has begun ends with an event of its own. Any other
        answer that has begun is broken off, so that nobody takes it for
        the whole.
        """
        body = orjson.dumps(describe(error, self.request_id))
        if not self.is_started:
            await send_whole(
                self.send, error.status, error_headers(error), body
            )
        elif self.is_stream:
            event = b'event: error\ndata: ' + body + b'\n\n'
            await self.send({'type': 'http.response.body', 'body': event})
        else:
            raise error


async def send_whole(
    send: Send, status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    """Sends an answer whose body is at hand."""
    headers = [*headers, (b'content-length', str(len(body)).encode())]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': body})


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


def check_head(scope: dict, limit: int) -> None:
    """Refuses a request whose head is too large."""
    size = len(scope['raw_path']) + len(scope['query_string'])
    size += sum(len(name) + len(value) for name, value in scope['headers'])
    if size > limit:
        raise errors.HeadTooLargeError(f'the head is over {limit} bytes')


def check_length(scope: dict, limit: int) -> None:
    """Refuses a request that announces too large a body."""
    for name, value in scope['headers']:
        if name == b'content-length' and int(value) > limit:
            raise errors.BodyTooLargeError(f'the body is over {limit} bytes')


def make_request(
    scope: dict, body: bytes, request_id: str
) -> callers.CallerRequest:
    """Returns a request in the form that the gateway takes."""
    headers = tuple(
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in scope['headers']
    )
    path = scope['raw_path'].decode('latin-1').partition('?')[0]
    return callers.CallerRequest(
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


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Answers the start and stop messages of the server."""
    with contextlib.suppress(anyio.EndOfStream):
        while True:
            message = await receive()
            await send({'type': f'{message["type"]}.complete'})
            if message['type'] == 'lifespan.shutdown':
                return
