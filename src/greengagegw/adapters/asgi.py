"""Helpers that the HTTP applications of the gateway share."""

import asyncio
import collections.abc
import contextlib

import anyio
import anyio.lowlevel

from .. import errors
from .. import json_memory
from .. import request_memory
from .. import timers as timer_service
from . import client_connection

Receive = collections.abc.Callable[[], collections.abc.Awaitable[dict]]
Send = collections.abc.Callable[[dict], collections.abc.Awaitable[None]]
# A body over this size waits until the head has been checked.
CHECKED_BODY_BYTES = 16 * 1024
# Parts in which a response is sent, each when the client has read the last.
RESPONSE_PART_BYTES = 32 * 1024
# The end of a connection passes through some six callbacks of the event loop,
# the stream reader and the HTTP server before ``receive`` returns it.
READ_ROUNDS = 20
# A longer content length is over every limit.
MAX_LENGTH_DIGITS = 15


class ClientDisconnected(Exception):  # noqa: N818
    """The client closed the connection before the response was complete."""


async def read_body(
    scope: dict,
    receive: Receive,
    max_bytes: int,
    timers: timer_service.Timers,
    timeout_seconds: float,
    check_head: collections.abc.Callable[[], None] | None = None,
) -> bytes:
    """Returns the complete body of a request.

    :param timeout_seconds: limit for the whole body to arrive.
    :param check_head: raises an error if the head shows that the request
        will be rejected; called before a large body is kept.
    :raises BodyTooLargeError: as soon as the body is over ``max_bytes``, so
        that no more than that is buffered.
    :raises ClientDisconnected: if the client closes the connection.
    :raises RequestTimeoutError: if the body does not arrive in time.
    :raises OverloadedError: if the requests of this VM need more memory than
        there is.
    """
    length = check_content_length(scope, max_bytes)
    if check_head is not None and length > CHECKED_BODY_BYTES:
        check_head()
        check_head = None
    connection = find_connection(scope)
    with timers.move_on_after(timeout_seconds) as time_limit:
        if connection is not None:
            connection.start_body(time_limit.cancel)
        body = await receive_body(receive, max_bytes, check_head)
        if connection is not None and not connection.end_body(len(body)):
            raise request_memory.make_error()
        return body
    if connection is not None and connection.is_rejected:
        raise request_memory.make_error()
    raise errors.RequestTimeoutError(
        f'the body did not arrive within {timeout_seconds:g} s'
    )


async def receive_body(
    receive: Receive,
    max_bytes: int,
    check_head: collections.abc.Callable[[], None] | None,
) -> bytes:
    # One buffer, whatever the sizes of the parts are.
    body = bytearray()
    try:
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                raise ClientDisconnected
            body += message.get('body', b'')
            if len(body) > max_bytes:
                raise errors.BodyTooLargeError(
                    f'the body is larger than {max_bytes} bytes'
                )
            if not message.get('more_body', False):
                return bytes(body)
            if check_head is not None and len(body) > CHECKED_BODY_BYTES:
                check_head()
                check_head = None
    finally:
        # The traceback of an error refers to it.
        body.clear()


def find_connection(
    scope: dict,
) -> client_connection.ClientConnection | None:
    """Returns the connection of a request, None without a server."""
    return scope.get('state', {}).get('connection')


def memory_counter(
    scope: dict,
) -> collections.abc.Callable[[int], bool] | None:
    """Returns what counts the bytes that a response needs.

    It returns False if there is no room for them.
    """
    connection = find_connection(scope)
    return None if connection is None else connection.extend


def count_json(scope: dict, body: bytes) -> None:
    """Counts the memory of a JSON body that will be parsed.

    :raises OverloadedError: if there is no room for it.
    """
    connection = find_connection(scope)
    if connection is None or len(body) <= CHECKED_BODY_BYTES:
        return
    if not connection.extend(json_memory.estimate(body)):
        raise request_memory.make_error()


def check_header_size(scope: dict, max_bytes: int) -> None:
    """Checks the size of a request's target and headers.

    :raises HeadTooLargeError: if they are over ``max_bytes`` together.
    """
    size = len(scope['raw_path']) + len(scope['query_string'])
    size += sum(len(name) + len(value) for name, value in scope['headers'])
    if size > max_bytes:
        raise errors.HeadTooLargeError(
            f'the request target and headers are larger than {max_bytes} bytes'
        )


def check_content_length(scope: dict, max_bytes: int) -> int:
    """Checks the declared length of a request's body.

    :returns: the length, 0 if there is none.
    :raises BadRequestError: if it is not a number.
    :raises BodyTooLargeError: if it is over ``max_bytes``.
    """
    for name, value in scope['headers']:
        if name != b'content-length':
            continue
        if not value.isdigit():
            raise errors.BadRequestError('the content length is not a number')
        if len(value) > MAX_LENGTH_DIGITS or int(value) > max_bytes:
            raise errors.BodyTooLargeError(
                f'the body is larger than {max_bytes} bytes'
            )
        return int(value)
    return 0


async def run_until_disconnect(
    receive: Receive,
    action: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Runs an action and cancels it when the client disconnects.

    The watching task is one of the event loop itself, which costs a tenth of
    a task group for each request. Nothing waits for it, since it only reads.

    :raises ClientDisconnected: if that happens before the action ends.
    """
    is_finished = False
    is_disconnected = False
    with anyio.CancelScope() as action_scope:

        async def watch_disconnect() -> None:
            nonlocal is_disconnected
            while True:
                message = await receive()
                if message['type'] == 'http.disconnect':
                    is_disconnected = not is_finished
                    action_scope.cancel()
                    return

        watcher = asyncio.get_running_loop().create_task(watch_disconnect())
        try:
            await action()
            is_finished = True
        finally:
            watcher.cancel()
    if is_disconnected:
        raise ClientDisconnected


class CallerWatch:
    """Watches whether the caller of a request waits for the response.

    To be used once the body of the request was read, or if it is not needed.

    :ivar has_gone: whether the caller is known to have closed the connection.
    """

    def __init__(self, receive: Receive) -> None:
        self.receive = receive
        self.has_gone = False
        self.watcher: asyncio.Task | None = None

    async def watch(self) -> None:
        while not self.has_gone:
            message = await self.receive()
            self.has_gone = message['type'] == 'http.disconnect'

    def __enter__(self) -> 'CallerWatch':
        loop = asyncio.get_running_loop()
        self.watcher = loop.create_task(self.watch())
        return self

    def __exit__(self, *_: object) -> None:
        if self.watcher is not None:
            self.watcher.cancel()

    async def is_waiting(self) -> bool:
        """Returns whether the caller waits, after reading its connection.

        A process that was suspended may read a request before the end of its
        connection, though both have arrived.
        """
        for _ in range(READ_ROUNDS):
            await anyio.lowlevel.checkpoint()
        return not self.has_gone


def ends_by_close(
    scope: dict, headers: collections.abc.Iterable[tuple[bytes, bytes]]
) -> bool:
    """Returns whether only the end of the connection ends a response.

    HTTP/1.0 has no chunks, so without a length such a client takes an aborted
    response for complete.
    """
    return scope['http_version'] == '1.0' and not any(
        name.lower() == b'content-length' for name, _ in headers
    )


async def send_response(
    send: Send, status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    """Sends a complete response."""
    headers = [*headers, (b'content-length', str(len(body)).encode())]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    if len(body) > RESPONSE_PART_BYTES:
        await send_parts(send, body)
        return
    await send({'type': 'http.response.body', 'body': body})


async def send_parts(send: Send, body: bytes) -> None:
    """Sends a body in parts, so that a slow client has few of them."""
    content = memoryview(body)
    for start in range(0, len(content), RESPONSE_PART_BYTES):
        await send(make_chunk(content[start : start + RESPONSE_PART_BYTES]))
    await send({'type': 'http.response.body', 'body': b''})


async def send_chunk(send: Send, chunk: bytes) -> None:
    await send(make_chunk(chunk))


def make_chunk(chunk: bytes) -> dict:
    """Returns the message of a part of a body, after which more follow."""
    return {'type': 'http.response.body', 'body': chunk, 'more_body': True}


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledges the startup and shutdown events of the server."""
    with contextlib.suppress(anyio.EndOfStream):
        while True:
            message = await receive()
            await send({'type': f'{message["type"]}.complete'})
            if message['type'] == 'lifespan.shutdown':
                return
