"""A small HTTP server that can send broken responses."""

import collections.abc
import contextlib
import dataclasses

import anyio
import anyio.abc
import h11

READ_BYTES = 65536
CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
    h11.RemoteProtocolError,
    h11.LocalProtocolError,
)


@dataclasses.dataclass(frozen=True)
class Request:
    """A request as received."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class ResponseWriter:
    """Writes one response in steps.

    Leaving out a step produces an incomplete response.
    """

    def __init__(
        self, stream: anyio.abc.SocketStream, connection: h11.Connection
    ) -> None:
        self.stream = stream
        self.connection = connection
        self.is_started = False

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        self.is_started = True
        await self.write(h11.Response(status_code=status, headers=headers))

    async def send(self, chunk: bytes) -> None:
        await self.write(h11.Data(data=chunk))

    async def finish(self) -> None:
        await self.write(h11.EndOfMessage())

    async def send_response(
        self,
        status: int,
        body: bytes,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Sends a complete response."""
        await self.start(
            status,
            [
                ('content-type', 'application/json'),
                ('content-length', str(len(body))),
                *headers,
            ],
        )
        await self.send(body)
        await self.finish()

    async def write(self, event: object) -> None:
        await self.stream.send(self.connection.send(event))

    async def send_raw(self, content: bytes) -> None:
        """Sends bytes that may be invalid HTTP."""
        await self.stream.send(content)

    async def abort(self) -> None:
        """Closes the connection in the middle of the response.

        :raises ConnectionResetError: always, to end the handler.
        """
        await anyio.aclose_forcefully(self.stream)
        raise ConnectionResetError('connection closed by an injected fault')


Handler = collections.abc.Callable[
    [Request, ResponseWriter], collections.abc.Awaitable[None]
]


RESTART_SECONDS = 1.0


class Server:
    """Serves a handler on one address."""

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        self.host = host
        self.port = port
        self.handler = handler
        self.connection_count = 0
        self.crash_requested = anyio.Event()

    @property
    def url(self) -> str:
        return f'http://{self.host}:{self.port}'

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        listener = await anyio.create_tcp_listener(
            local_host=self.host, local_port=self.port
        )
        if not self.port:
            self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started()
        while True:
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(self.cancel_on_crash, tasks.cancel_scope)
                await listener.serve(self.serve_connection)
            await anyio.sleep(RESTART_SECONDS)
            listener = await anyio.create_tcp_listener(
                local_host=self.host, local_port=self.port
            )

    def crash(self) -> None:
        """Drops all connections, and refuses new ones for some time."""
        self.crash_requested.set()

    async def cancel_on_crash(self, scope: anyio.CancelScope) -> None:
        await self.crash_requested.wait()
        self.crash_requested = anyio.Event()
        scope.cancel()

    async def serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        self.connection_count += 1
        connection = h11.Connection(h11.SERVER)
        async with stream:
            with contextlib.suppress(*CONNECTION_ERRORS):
                while connection.our_state is h11.IDLE:
                    request = await self.read_request(stream, connection)
                    if request is None:
                        return
                    await self.handle_request(
                        request, ResponseWriter(stream, connection)
                    )
                    if connection.our_state is not h11.DONE:
                        return
                    connection.start_next_cycle()

    async def handle_request(
        self, request: Request, writer: ResponseWriter
    ) -> None:
        """Runs the handler until it ends or the client disconnects."""
        async with anyio.create_task_group() as tasks:

            async def cancel_on_disconnect() -> None:
                with contextlib.suppress(
                    anyio.ClosedResourceError,
                    anyio.BrokenResourceError,
                    anyio.EndOfStream,
                ):
                    await writer.stream.receive(1)
                tasks.cancel_scope.cancel()

            tasks.start_soon(cancel_on_disconnect)
            with contextlib.suppress(*CONNECTION_ERRORS):
                await self.handler(request, writer)
            tasks.cancel_scope.cancel()

    async def read_request(
        self, stream: anyio.abc.SocketStream, connection: h11.Connection
    ) -> Request | None:
        request_event: h11.Request | None = None
        chunks = []
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                try:
                    data = await stream.receive(READ_BYTES)
                except anyio.EndOfStream:
                    data = b''
                connection.receive_data(data)
            elif isinstance(event, h11.Request):
                request_event = event
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return Request(
                    request_event.method.decode(),
                    request_event.target.decode(),
                    {
                        name.decode(): value.decode()
                        for name, value in request_event.headers
                    },
                    b''.join(chunks),
                )
            else:
                return None
