"""What the HTTP applications of the gateway have in common."""

import collections.abc
import contextlib

import anyio

from .. import errors
from .. import timers as timer_service

Receive = collections.abc.Callable[[], collections.abc.Awaitable[dict]]
Send = collections.abc.Callable[[dict], collections.abc.Awaitable[None]]
DRAIN_BYTES = 16 * 1024 * 1024
DRAIN_SECONDS = 1.0


class ClientDisconnected(Exception):  # noqa: N818
    """The caller closed the connection before it had its answer."""


async def read_body(
    scope: dict,
    receive: Receive,
    limit: int,
    timers: timer_service.Timers,
    seconds: float,
) -> bytes:
    """Returns the body of a request.

    :param seconds: how long it may take to arrive.
    :raises BodyTooLargeError: before more than the limit is held.
    :raises RequestTimeoutError: if it does not arrive in time.
    """
    try:
        check_content_length(scope, limit)
        return await read_chunks(receive, limit, timers, seconds)
    except errors.BodyTooLargeError:
        await drain_body(receive, timers)
        raise


async def read_chunks(
    receive: Receive,
    limit: int,
    timers: timer_service.Timers,
    seconds: float,
) -> bytes:
    parts = []
    size = 0
    is_whole = False
    with timers.move_on_after(seconds):
        while not is_whole:
            message = await receive()
            if message['type'] == 'http.disconnect':
                raise ClientDisconnected
            parts.append(message.get('body', b''))
            size += len(parts[-1])
            if size > limit:
                raise errors.BodyTooLargeError(
                    f'the body is over {limit} bytes'
                )
            is_whole = not message.get('more_body', False)
    if not is_whole:
        raise errors.RequestTimeoutError('the body did not arrive in time')
    return b''.join(parts)


async def drain_body(receive: Receive, timers: timer_service.Timers) -> None:
    """Reads on for a little while after a body was refused.

    A connection that is closed with unread bytes is reset, and then the
    caller may never see why it was refused.
    """
    size = 0
    with timers.move_on_after(DRAIN_SECONDS):
        while size < DRAIN_BYTES:
            message = await receive()
            size += len(message.get('body', b''))
            if not message.get('more_body', False):
                return


def check_header_size(scope: dict, limit: int) -> None:
    """Refuses a request whose head is too large."""
    size = len(scope['raw_path']) + len(scope['query_string'])
    size += sum(len(name) + len(value) for name, value in scope['headers'])
    if size > limit:
        raise errors.HeadTooLargeError(f'the head is over {limit} bytes')


def check_content_length(scope: dict, limit: int) -> None:
    """Refuses a request that announces too large a body."""
    for name, value in scope['headers']:
        if name == b'content-length' and int(value) > limit:
            raise errors.BodyTooLargeError(f'the body is over {limit} bytes')


async def run_until_disconnect(
    receive: Receive,
    action: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Runs an action, which ends when the caller goes.

    :raises CallerGone: if the caller went first.
    """
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
            await action()
            is_finished = True
            tasks.cancel_scope.cancel()
    if is_gone:
        raise ClientDisconnected


async def send_response(
    send: Send, status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    """Sends an answer whose body is at hand."""
    headers = [*headers, (b'content-length', str(len(body)).encode())]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': body})


async def send_chunk(send: Send, chunk: bytes) -> None:
    await send(
        {'type': 'http.response.body', 'body': chunk, 'more_body': True}
    )


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Answers the start and stop messages of the server."""
    with contextlib.suppress(anyio.EndOfStream):
        while True:
            message = await receive()
            await send({'type': f'{message["type"]}.complete'})
            if message['type'] == 'lifespan.shutdown':
                return
