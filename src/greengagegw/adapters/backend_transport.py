"""The connections of a backend server's HTTP client.

They set no time limit on each read, which would cost more than the read;
the limits are the timer service's, and end a silent connection from outside.
"""

import collections.abc
import contextlib
import os
import select
import socket as sockets
import ssl
import typing

import anyio
import anyio.abc
import anyio.streams.tls
import httpcore
import httpx

CONNECTION_LOST_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    ssl.SSLError,
    OSError,
)

CONNECT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
HTTP_ERRORS = (
    httpx.HTTPError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class NetworkStream(httpcore.AsyncNetworkStream):
    """One connection, over TCP or TLS."""

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self.stream = stream
        self.socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        self.poll = select.poll()
        self.poll.register(self.socket, select.POLLIN)

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        try:
            return await self.stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b''
        except CONNECTION_LOST_ERRORS as error:
            raise httpcore.ReadError('the connection broke') from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if not buffer:
            return
        try:
            await self.stream.send(buffer)
        except CONNECTION_LOST_ERRORS as error:
            raise httpcore.WriteError('the connection broke') from error

    async def aclose(self) -> None:
        await self.stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> 'NetworkStream':
        wrapped = None
        try:
            with anyio.move_on_after(timeout):
                wrapped = await anyio.streams.tls.TLSStream.wrap(
                    self.stream,
                    hostname=server_hostname,
                    ssl_context=ssl_context,
                    standard_compatible=False,
                )
        except CONNECTION_LOST_ERRORS + (anyio.EndOfStream,) as error:
            raise httpcore.ConnectError('no TLS session') from error
        if wrapped is None:
            raise httpcore.ConnectTimeout('no TLS session in time')
        return NetworkStream(wrapped)

    def get_extra_info(self, info: str) -> typing.Any:
        if info == 'is_readable':
            return self.socket.fileno() < 0 or bool(self.poll.poll(0))
        if info == 'break':
            return self.abort
        return None

    def abort(self) -> None:
        """Ends the connection at once, for whoever waits on it."""
        # The event loop's own socket object refuses to be shut down.
        with contextlib.suppress(OSError):
            with sockets.socket(fileno=os.dup(self.socket.fileno())) as copy:
                copy.shutdown(sockets.SHUT_RDWR)


class NetworkBackend(httpcore.AsyncNetworkBackend):
    """Makes connections."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: typing.Iterable | None = None,
    ) -> NetworkStream:
        stream = None
        try:
            with anyio.move_on_after(timeout):
                stream = await anyio.connect_tcp(host, port)
        except OSError as error:
            raise httpcore.ConnectError(f'{host}:{port}: {error}') from error
        if stream is None:
            raise httpcore.ConnectTimeout(f'{host}:{port}: no answer')
        return NetworkStream(stream)


class ResponseBody(httpx.AsyncByteStream):
    """The body of a response as httpcore gives it."""

    def __init__(self, stream: typing.Any) -> None:
        self.stream = stream

    def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        return self.stream.__aiter__()

    async def aclose(self) -> None:
        await self.stream.aclose()


class Transport(httpx.AsyncBaseTransport):
    """A pool of connections to one backend server.

    It raises httpcore's errors.

    :param kept: idle connections that are kept.
    :param idle_seconds: how long they are kept.
    """

    def __init__(
        self, context: ssl.SSLContext, kept: int, idle_seconds: float
    ) -> None:
        self.pool = httpcore.AsyncConnectionPool(
            ssl_context=context,
            max_connections=None,
            max_keepalive_connections=kept,
            keepalive_expiry=idle_seconds,
            network_backend=NetworkBackend(),
        )

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        url = request.url
        response = await self.pool.handle_async_request(
            httpcore.Request(
                request.method,
                httpcore.URL(
                    scheme=url.raw_scheme,
                    host=url.raw_host,
                    port=url.port,
                    target=url.raw_path,
                ),
                headers=request.headers.raw,
                content=request.stream,
                extensions=request.extensions,
            )
        )
        return httpx.Response(
            response.status,
            headers=response.headers,
            stream=ResponseBody(response.stream),
            extensions=response.extensions,
        )

    async def aclose(self) -> None:
        await self.pool.aclose()
