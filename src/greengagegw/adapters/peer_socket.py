"""The TCP socket of a peer connection.

Frames are written to the transport at once and handled in the callback that
receives them, so that neither needs a task of its own.
"""

import asyncio
import collections.abc
import contextlib
import socket
import typing

import anyio

READ_BYTES = 65536
# Bytes that may wait to be written while the peer reads slowly. Up to here
# frames are sent without waiting.
MAX_UNSENT_BYTES = 65536
LISTEN_BACKLOG = 1024


class PeerSocket(asyncio.Protocol):
    """A connected socket.

    Data is read with :meth:`receive` during the handshake, and is passed to a
    callback after :meth:`start`.

    :ivar on_accept: called with the socket when it is connected; for accepted
        ones.
    :ivar is_writable: whether the peer reads fast enough.
    :ivar is_lost: whether the connection has ended.
    """

    def __init__(
        self,
        on_accept: collections.abc.Callable[['PeerSocket'], typing.Any]
        | None = None,
    ) -> None:
        self.on_accept = on_accept
        self.transport: typing.Any = None
        self.on_data: collections.abc.Callable[[bytes], None] | None = None
        self.on_lost: collections.abc.Callable[[], None] | None = None
        self.received = bytearray()
        self.changed = asyncio.Event()
        self.is_writable = True
        self.writable = asyncio.Event()
        self.is_lost = False
        self.is_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.transport.set_write_buffer_limits(MAX_UNSENT_BYTES)
        if self.on_accept is not None:
            self.on_accept(self)

    def data_received(self, data: bytes) -> None:
        if self.on_data is not None:
            self.on_data(data)
            return
        self.received += data
        self.changed.set()
        if len(self.received) >= READ_BYTES and not self.is_paused:
            # A peer that is not authenticated must not fill the memory.
            self.is_paused = True
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.is_lost = True
        self.changed.set()
        self.writable.set()
        if self.on_lost is not None:
            self.on_lost()

    def pause_writing(self) -> None:
        self.is_writable = False
        self.writable.clear()

    def resume_writing(self) -> None:
        self.is_writable = True
        self.writable.set()

    @property
    def has_unsent(self) -> bool:
        """Whether data waits to be written."""
        return self.transport.get_write_buffer_size() > 0

    def write(self, data: bytes) -> None:
        """Writes data, which waits in the transport if it must."""
        self.transport.write(data)

    async def wait_writable(self) -> None:
        """Waits until the peer has read enough, or the connection ended."""
        while not self.is_writable and not self.is_lost:
            await self.writable.wait()

    async def send(self, data: bytes) -> None:
        """Writes data of the handshake.

        :raises anyio.BrokenResourceError: if the connection has ended.
        """
        if self.is_lost:
            raise anyio.BrokenResourceError
        self.write(data)

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Returns received data; only before :meth:`start`.

        :raises anyio.EndOfStream: if the connection has ended.
        """
        while not self.received:
            if self.is_lost:
                raise anyio.EndOfStream
            self.changed.clear()
            await self.changed.wait()
        data = bytes(self.received[:max_bytes])
        del self.received[:max_bytes]
        self.resume_reading()
        return data

    def resume_reading(self) -> None:
        if self.is_paused and not self.is_lost:
            self.is_paused = False
            self.transport.resume_reading()

    def start(
        self,
        on_data: collections.abc.Callable[[bytes], None],
        on_lost: collections.abc.Callable[[], None],
    ) -> None:
        """Passes all further data, and the end, to callbacks."""
        self.on_data = on_data
        self.on_lost = on_lost
        if self.received:
            data, self.received = bytes(self.received), bytearray()
            on_data(data)
        self.resume_reading()
        if self.is_lost:
            on_lost()

    def close(self) -> None:
        """Closes the connection; data that waits to be written is dropped."""
        if self.transport is not None:
            self.transport.abort()


async def connect(
    host: str,
    port: int,
    make_socket: collections.abc.Callable[[], PeerSocket] = PeerSocket,
) -> PeerSocket:
    """Returns a socket that is connected to an address.

    :raises OSError: if the connection fails.
    """
    loop = asyncio.get_running_loop()
    _, connected = await loop.create_connection(make_socket, host, port)
    return connected


@contextlib.asynccontextmanager
async def accepting(
    listener: socket.socket,
    on_accept: collections.abc.Callable[[PeerSocket], typing.Any],
) -> collections.abc.AsyncIterator[None]:
    """Accepts connections for the duration of the context."""
    server = await asyncio.get_running_loop().create_server(
        lambda: PeerSocket(on_accept), sock=listener, backlog=LISTEN_BACKLOG
    )
    try:
        yield
    finally:
        server.close()
