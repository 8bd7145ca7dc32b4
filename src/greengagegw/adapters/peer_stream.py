"""One stream of a peer connection, and an answer that is awaited."""

import collections
import typing

import anyio
import msgpack

from .. import errors
from . import frames

if typing.TYPE_CHECKING:
    from . import peer_connection

WINDOW_BYTES = 256 * 1024


class Stream:
    """One stream of a connection, as either side sees it."""

    def __init__(
        self, connection: 'peer_connection.Connection', number: int
    ) -> None:
        self.connection = connection
        self.number = number
        self.received: collections.deque = collections.deque()
        self.arrived = anyio.Event()
        self.ended = False
        self.error: errors.GatewayError | None = None
        self.credit = WINDOW_BYTES
        self.credited = anyio.Event()
        self.uncredited = 0
        self.outstanding = 0

    async def receive(self) -> typing.Any:
        """Returns the next message.

        :raises anyio.EndOfStream: after the last message.
        :raises GatewayError: if the peer reported one or is gone.
        """
        while not self.received:
            if self.error is not None:
                raise self.error
            if self.ended:
                raise anyio.EndOfStream
            self.arrived = anyio.Event()
            await self.arrived.wait()
        message, size = self.received.popleft()
        self.uncredited += size
        if self.uncredited >= WINDOW_BYTES // 2:
            credit, self.uncredited = self.uncredited, 0
            self.outstanding -= credit
            await self.connection.send(frames.Kind.CREDIT, self.number, credit)
        return message

    async def send(self, message: typing.Any) -> None:
        """Sends a message once the reader has given credit for it."""
        body = msgpack.packb(message, use_bin_type=True)
        while self.credit <= 0 and self.error is None:
            self.credited = anyio.Event()
            await self.credited.wait()
        if self.error is not None:
            raise self.error
        self.credit -= len(body)
        await self.connection.send(frames.Kind.DATA, self.number, body)

    async def finish(self) -> None:
        """Says that no more messages follow."""
        await self.connection.send(frames.Kind.END, self.number)

    def put(self, body: bytes) -> None:
        """Takes in a message that the peer sent."""
        self.outstanding += len(body)
        if self.outstanding > WINDOW_BYTES + self.connection.frame_limit:
            raise errors.PeerProtocolError('more data than credit')
        message = msgpack.unpackb(body, raw=False)
        self.received.append((message, len(body)))
        self.arrived.set()

    def fail(self, error: errors.GatewayError) -> None:
        """Ends the stream with an error, for reader and writer alike."""
        if self.error is None:
            self.error = error
        self.arrived.set()
        self.credited.set()

    def end(self) -> None:
        self.ended = True
        self.arrived.set()


class Reply:
    """An answer that is awaited."""

    __slots__ = ('arrived', 'error', 'value')

    def __init__(self) -> None:
        self.arrived = anyio.Event()
        self.value: typing.Any = None
        self.error: errors.GatewayError | None = None

    def succeed(self, value: typing.Any) -> None:
        self.value = value
        self.arrived.set()

    def fail(self, error: errors.GatewayError) -> None:
        self.error = error
        self.arrived.set()
