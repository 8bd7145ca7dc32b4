"""HTTP transport for connections to backend servers.

Reads and writes have no time limit of their own, since a timer for each read
would cost more than the read. The caller aborts an idle connection instead.
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
import eliot
import httpcore

from .. import timers as timer_service

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
# Bytes up to the end of the head of a response, with informational ones before
# it. A server may send these without end.
MAX_HEADS_BYTES = 256 * 1024
# Higher status codes belong to no class (RFC 9110, section 15).
MAX_STATUS = 599
HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class NetworkStream(httpcore.AsyncNetworkStream):
    """A connection over TCP or TLS.

    :ivar response_count: responses that were received, as its user counts.
    :ivar is_receiving_head: whether the head of a response is not complete,
        as its user tells.
    :ivar head_bytes: bytes that were received since the last write.
    """

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self.stream = stream
        self.response_count = 0
        self.is_receiving_head = False
        self.head_bytes = 0
        self.socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        self.poll = select.poll()
        self.poll.register(self.socket, select.POLLIN)

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        try:
            data = await self.stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b''
        except CONNECTION_LOST_ERRORS as error:
            raise httpcore.ReadError(
                f'connection lost while reading: {error!r}'
            ) from error
        self.head_bytes += len(data)
        if self.is_receiving_head and self.head_bytes > MAX_HEADS_BYTES:
            raise httpcore.RemoteProtocolError(
                f'no response in the first {MAX_HEADS_BYTES} bytes'
            )
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if not buffer:
            return
        self.is_receiving_head = True
        self.head_bytes = 0
        try:
            await self.stream.send(buffer)
        except CONNECTION_LOST_ERRORS as error:
            raise httpcore.WriteError(
                f'connection lost while writing: {error!r}'
            ) from error

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
            raise httpcore.ConnectError(
                f'TLS handshake failed: {error!r}'
            ) from error
        if wrapped is None:
            raise httpcore.ConnectTimeout(
                f'no TLS session within {timeout:g} s'
            )
        return NetworkStream(wrapped)

    def get_extra_info(self, info: str) -> typing.Any:
        if info == 'is_readable':
            return self.socket.fileno() < 0 or bool(self.poll.poll(0))
        if info == 'break':
            return self.abort
        if info == 'connection':
            return self
        return None

    def abort(self) -> None:
        """Shuts the socket down, which also ends a pending read."""
        # The event loop's own socket object does not allow a shutdown.
        with contextlib.suppress(OSError):
            with sockets.socket(fileno=os.dup(self.socket.fileno())) as copy:
                copy.shutdown(sockets.SHUT_RDWR)


class NetworkBackend(httpcore.AsyncNetworkBackend):
    """Opens the connections of a pool."""

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
            raise httpcore.ConnectTimeout(
                f'{host}:{port}: no connection within {timeout:g} s'
            )
        return NetworkStream(stream)


async def is_accepting_connections(
    host: str, port: int, timers: timer_service.Timers, timeout: float
) -> bool:
    """Returns whether a connection is established in time.

    :param timeout: in seconds.
    """
    try:
        with timers.move_on_after(timeout):
            stream = await anyio.connect_tcp(host, port)
            await stream.aclose()
            return True
    except OSError as error:
        eliot.log_message(
            'backend:not_accepting',
            address=f'{host}:{port}',
            reason=str(error),
        )
    return False


async def is_refusing_connections(
    host: str, port: int, timers: timer_service.Timers, timeout: float
) -> bool:
    """Returns whether nothing listens at an address.

    An attempt that gets no reply in time says nothing, since a packet may be
    lost.

    :param timeout: in seconds.
    """
    try:
        with timers.move_on_after(timeout):
            stream = await anyio.connect_tcp(host, port)
            await stream.aclose()
    except OSError as error:
        eliot.log_message(
            'backend:not_listening',
            address=f'{host}:{port}',
            reason=str(error),
        )
        return True
    return False


async def read_limited(
    chunks: collections.abc.AsyncIterable[bytes], max_bytes: int
) -> bytes:
    """Returns a whole body.

    :raises httpcore.RemoteProtocolError: if it is over ``max_bytes``.
    """
    body = b''
    async for chunk in chunks:
        body += chunk
        if len(body) > max_bytes:
            raise httpcore.RemoteProtocolError(
                f'a body of {len(body)} bytes or more exceeds the limit of'
                f' {max_bytes} bytes'
            )
    return body


class ConnectionPool(httpcore.AsyncConnectionPool):
    """A pool whose connections are told when a head is complete."""

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        response = await super().handle_async_request(request)
        connection = response.extensions['network_stream'].get_extra_info(
            'connection'
        )
        connection.is_receiving_head = False
        return response


def make_pool(
    ssl_context: ssl.SSLContext, max_idle: int, idle_seconds: float
) -> httpcore.AsyncConnectionPool:
    """Returns a pool of connections to one server.

    :param max_idle: maximal number of idle connections.
    :param idle_seconds: time after which an idle connection is closed.
    """
    return ConnectionPool(
        ssl_context=ssl_context,
        max_connections=None,
        max_keepalive_connections=max_idle,
        keepalive_expiry=idle_seconds,
        network_backend=NetworkBackend(),
    )
