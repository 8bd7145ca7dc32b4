"""The body of a request that is answered before it has arrived completely."""

import asyncio
import collections.abc
import typing

Receive = collections.abc.Callable[[], collections.abc.Awaitable[dict]]
Send = collections.abc.Callable[[dict], collections.abc.Awaitable[None]]
BODY_HEADERS = (b'content-length', b'transfer-encoding')
HTTP_VERSIONS = ('1.0', '1.1')


class RequestBody:
    """Receives the messages of a request and notes the end of its body.

    :ivar is_complete: whether nothing of the body is left to receive.
    """

    def __init__(self, receive: Receive) -> None:
        self.receive_message = receive
        self.is_complete = False

    async def receive(self) -> dict:
        message = await self.receive_message()
        if not message.get('more_body', False):
            self.is_complete = True
        return message

    def start_discarding(self, scope: dict) -> None:
        """Discards the rest of the body, which nothing will receive."""
        self.is_complete = True
        connection = scope['state'].get('connection')
        if connection is not None:
            connection.start_discarding()
        asyncio.get_running_loop().create_task(self.discard())

    async def discard(self) -> None:
        """Receives until the connection has ended.

        The HTTP server waits for room in the queue of messages, also to note
        the end of the response.
        """
        while (await self.receive_message())['type'] != 'http.disconnect':
            pass


def limit_body(
    application: collections.abc.Callable[..., typing.Any],
) -> collections.abc.Callable[..., collections.abc.Awaitable[None]]:
    """Returns an application that may answer before the body has arrived.

    The connection is then closed after the response, when the client has
    stopped sending.
    """

    async def serve(scope: dict, receive: Receive, send: Send) -> None:
        if scope['type'] == 'websocket':
            await send({'type': 'websocket.close'})
            return
        if scope['http_version'] not in HTTP_VERSIONS:
            await send_unsupported_version(send)
            return
        if not any(name in BODY_HEADERS for name, _ in scope['headers']):
            await application(scope, receive, send)
            return
        body = RequestBody(receive)

        async def send_early(message: dict) -> None:
            if not body.is_complete:
                if message['type'] == 'http.response.start':
                    headers = [*message['headers'], (b'connection', b'close')]
                    message = {**message, 'headers': headers}
                elif not message.get('more_body', False):
                    body.start_discarding(scope)
            await send(message)

        try:
            await application(scope, body.receive, send_early)
        finally:
            if not body.is_complete:
                body.start_discarding(scope)

    return serve


async def send_unsupported_version(send: Send) -> None:
    headers = [(b'content-length', b'0'), (b'connection', b'close')]
    await send(
        {'type': 'http.response.start', 'status': 505, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': b''})
