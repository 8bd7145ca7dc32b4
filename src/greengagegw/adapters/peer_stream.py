"""A stream of a peer connection, and a reply that is still awaited."""

import asyncio
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
    """A stream of a connection, on either of its sides.

    :ivar credit: bytes that this side may still send.
    :ivar consumed_bytes: received bytes that were read since credit for
        them was last given.
    :ivar uncredited_bytes: received bytes for which no credit was given.
    """

    def __init__(
        self, connection: 'peer_connection.Connection', stream_id: int
    ) -> None:
        self.connection = connection
        self.stream_id = stream_id
        self.received: collections.deque = collections.deque()
        self.message_arrived = anyio.Event()
        self.is_ended = False
        self.error: errors.GatewayError | None = None
        self.credit = WINDOW_BYTES
        self.credit_arrived = anyio.Event()
        self.consumed_bytes = 0
        self.uncredited_bytes = 0

    async def receive(self) -> typing.Any:
        """Returns the next message.

        :raises anyio.EndOfStream: after the last message.
        :raises GatewayError: if the peer reported one or was lost.
        """
        while not self.received:
            if self.error is not None:
                raise self.error
            if self.is_ended:
                raise anyio.EndOfStream
            self.message_arrived = anyio.Event()
            await self.message_arrived.wait()
        message, size = self.received.popleft()
        self.consumed_bytes += size
        if self.consumed_bytes >= WINDOW_BYTES // 2:
            credit, self.consumed_bytes = self.consumed_bytes, 0
            self.uncredited_bytes -= credit
            await self.connection.send(
                frames.Kind.CREDIT, self.stream_id, credit
            )
        return message

    async def send(self, message: typing.Any) -> None:
        """Sends a message as soon as the reader has given credit.

        :raises GatewayError: if the peer reported one or was lost.
        """
        body = msgpack.packb(message, use_bin_type=True)
        while self.credit <= 0 and self.error is None:
            self.credit_arrived = anyio.Event()
            await self.credit_arrived.wait()
        if self.error is not None:
            raise self.error
        self.credit -= len(body)
        await self.connection.send(frames.Kind.DATA, self.stream_id, body)

    async def finish(self) -> None:
        """Tells the peer that no more messages follow."""
        await self.connection.send(frames.Kind.END, self.stream_id)

    def receive_data(self, body: bytes) -> None:
        """Queues a message that the peer sent.

        :raises PeerProtocolError: if the peer sent more than its credit.
        """
        self.uncredited_bytes += len(body)
        if (
            self.uncredited_bytes
            > WINDOW_BYTES + self.connection.max_frame_bytes
        ):
            raise errors.PeerProtocolError(
                f'stream {self.stream_id} received {self.uncredited_bytes} '
                f'bytes on a credit of {WINDOW_BYTES}'
            )
        message = msgpack.unpackb(body, raw=False)
        self.received.append((message, len(body)))
        self.message_arrived.set()

    def fail(self, error: errors.GatewayError) -> None:
        """Ends the stream with an error for its reader and its writer."""
        if self.error is None:
            self.error = error
        self.message_arrived.set()
        self.credit_arrived.set()

    def end(self) -> None:
        self.is_ended = True
        self.message_arrived.set()


class PendingReply:
    """The reply to a call, once it has arrived.

    :ivar arrived: done when there is a reply, an error or no time left.
    """

    __slots__ = ('arrived', 'error', 'is_expired', 'value')

    def __init__(self) -> None:
        self.arrived = asyncio.get_running_loop().create_future()
        self.is_expired = False
        self.value: typing.Any = None
        self.error: errors.GatewayError | None = None

    def succeed(self, value: typing.Any) -> None:
        if not self.arrived.done():
            self.value = value
            self.arrived.set_result(None)

    def fail(self, error: errors.GatewayError) -> None:
        if not self.arrived.done():
            self.error = error
            self.arrived.set_result(None)

    def expire(self) -> None:
        if not self.arrived.done():
            self.is_expired = True
            self.arrived.set_result(None)
