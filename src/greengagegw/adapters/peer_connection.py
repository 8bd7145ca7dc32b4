"""One authenticated connection between two VMs, shared by many streams.

Each stream has its own credit in bytes, so that a slow reader of one stream
does not hold up the others.
"""

import collections.abc
import contextlib
import itertools
import typing

import anyio
import anyio.abc

from .. import errors
from .. import timers as timer_service
from . import error_codec
from . import frames
from . import peer_stream
from ..ports import peers

MAX_CALLS_IN_FLIGHT = 1024
# The number of a call that gets no answer.
NO_REPLY_ID = 0
# How long a stream that is left waits for its end to be written.
RESET_TIMEOUT_SECONDS = 0.2
CONNECTION_LOST_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


class Handlers:
    """What a VM does for its peers, by name of the method."""

    def __init__(self) -> None:
        self.calls: dict[str, peers.Handler] = {}
        self.streams: dict[str, peers.StreamHandler] = {}


class Connection:
    """A connection after its handshake.

    :ivar peer: name of the VM at the other end.
    """

    def __init__(
        self,
        socket: anyio.abc.ByteStream,
        reader: frames.FrameReader,
        peer: str,
        handlers: Handlers,
        timers: timer_service.Timers,
        heartbeat_seconds: float,
        silence_seconds: float,
    ) -> None:
        self.socket = socket
        self.reader = reader
        self.frame_limit = reader.max_body_bytes
        self.peer = peer
        self.handlers = handlers
        self.timers = timers
        self.heartbeat_seconds = heartbeat_seconds
        self.silence_seconds = silence_seconds
        self.next_ids = itertools.count(1)
        self.replies: dict[int, peer_stream.PendingReply] = {}
        self.opened_streams: dict[int, peer_stream.Stream] = {}
        self.accepted_streams: dict[int, peer_stream.Stream] = {}
        self.handler_scopes: dict[int, anyio.CancelScope] = {}
        self.calls_running = 0
        self.last_received_at = timers.now()
        self.last_used_at = timers.now()
        self.bytes_sent = 0
        self.is_closed = False
        self.send_lock = anyio.Lock()

    async def send(self, kind: frames.Kind, *values: typing.Any) -> None:
        """Sends a frame.

        :raises PeerLostError: if the connection is gone.
        """
        data = frames.encode(kind, *values)
        if len(data) > self.frame_limit:
            raise errors.FrameTooLargeError(f'a frame of {len(data)} bytes')
        if self.is_closed:
            raise errors.PeerLostError(f'{self.peer} is gone')
        try:
            async with self.send_lock:
                await self.socket.send(data)
        except CONNECTION_LOST_ERRORS as error:
            raise errors.PeerLostError(f'{self.peer} is gone') from error
        self.bytes_sent += len(data)

    async def call(
        self, method: str, message: typing.Any, timeout: float
    ) -> typing.Any:
        """Sends a message and returns the answer to it.

        :param timeout: seconds.
        :raises PeerLostError: if the connection ended before the answer.
        :raises PeerTimeoutError: if no answer came in time.
        """
        number = next(self.next_ids)
        reply = self.replies[number] = peer_stream.PendingReply()
        self.last_used_at = self.timers.now()
        try:
            with self.timers.move_on_after(timeout):
                await self.send(frames.Kind.CALL, number, method, message)
                await reply.arrived.wait()
        finally:
            del self.replies[number]
        if reply.error is not None:
            raise reply.error
        if not reply.arrived.is_set():
            raise errors.PeerTimeoutError(
                f'{self.peer} did not answer {method} in {timeout:g} s'
            )
        return reply.value

    async def notify(self, method: str, message: typing.Any) -> None:
        """Sends a message that gets no answer.

        :raises PeerLostError: if the connection is gone.
        """
        self.last_used_at = self.timers.now()
        await self.send(frames.Kind.CALL, NO_REPLY_ID, method, message)

    @contextlib.asynccontextmanager
    async def open(
        self, method: str, message: typing.Any
    ) -> collections.abc.AsyncIterator[peer_stream.Stream]:
        """Opens a stream; leaving the context cancels what still runs."""
        number = next(self.next_ids)
        stream = self.opened_streams[number] = peer_stream.Stream(self, number)
        self.last_used_at = self.timers.now()
        try:
            await self.send(frames.Kind.OPEN, number, method, message)
            yield stream
        finally:
            del self.opened_streams[number]
            if not stream.is_ended and stream.error is None:
                with self.timers.move_on_after(RESET_TIMEOUT_SECONDS) as scope:
                    scope.shield = True
                    await self.reset_stream(number)

    async def reset_stream(self, number: int) -> None:
        cancelled = error_codec.pack(errors.PeerLostError('cancelled'))
        with contextlib.suppress(errors.PeerError):
            await self.send(frames.Kind.RESET, number, cancelled)

    async def run(self) -> None:
        """Serves the connection until it ends."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.send_heartbeats, tasks.cancel_scope)
                try:
                    await self.read_frames(tasks)
                except CONNECTION_LOST_ERRORS + (
                    anyio.EndOfStream,
                    errors.PeerError,
                ):
                    pass
                tasks.cancel_scope.cancel()
        finally:
            self.close()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self.socket)

    def close(self) -> None:
        """Fails everything that waits for the peer."""
        self.is_closed = True
        lost = errors.PeerLostError(f'{self.peer} is gone')
        for reply in self.replies.values():
            reply.fail(lost)
        for stream in [
            *self.opened_streams.values(),
            *self.accepted_streams.values(),
        ]:
            stream.fail(lost)

    async def send_heartbeats(self, scope: anyio.CancelScope) -> None:
        """Sends heartbeats, and ends a connection that went silent."""
        while True:
            await self.timers.sleep(self.heartbeat_seconds)
            if (
                self.timers.now() - self.last_received_at
                > self.silence_seconds
            ):
                scope.cancel()
                return
            with self.timers.move_on_after(self.silence_seconds):
                with contextlib.suppress(errors.PeerError):
                    await self.send(frames.Kind.PING)

    async def read_frames(self, tasks: anyio.abc.TaskGroup) -> None:
        """Takes in frames until the connection ends."""
        actions = {
            frames.Kind.CALL: self.on_call,
            frames.Kind.REPLY: self.on_reply,
            frames.Kind.OPEN: self.on_open,
            frames.Kind.DATA: self.on_data,
            frames.Kind.END: self.on_end,
            frames.Kind.RESET: self.on_reset,
            frames.Kind.CREDIT: self.on_credit,
            frames.Kind.PING: self.on_ping,
            frames.Kind.PONG: self.on_pong,
        }
        while True:
            frame = await self.reader.receive()
            self.last_received_at = self.timers.now()
            action = actions.get(frame.kind)
            if action is None:
                raise errors.PeerProtocolError(f'{frame.kind.name} here')
            action(tasks, *frame.values)

    def on_call(
        self,
        tasks: anyio.abc.TaskGroup,
        number: int,
        method: str,
        message: typing.Any,
    ) -> None:
        if self.calls_running >= MAX_CALLS_IN_FLIGHT and number == NO_REPLY_ID:
            return
        if self.calls_running >= MAX_CALLS_IN_FLIGHT:
            refusal = errors.OverloadedError('too many calls of one peer')
            tasks.start_soon(self.send_error, number, refusal)
            return
        tasks.start_soon(self.serve_call, number, method, message)

    async def serve_call(
        self, number: int, method: str, message: typing.Any
    ) -> None:
        self.calls_running += 1
        try:
            handler = self.handlers.calls.get(method)
            if handler is None:
                raise errors.PeerProtocolError(f'no method {method}')
            value = await handler(self.peer, message)
            if number != NO_REPLY_ID:
                await self.send(frames.Kind.REPLY, number, True, value)
        except Exception as error:
            if number != NO_REPLY_ID:
                await self.send_error(number, error)
        finally:
            self.calls_running -= 1

    async def send_error(self, number: int, error: Exception) -> None:
        with contextlib.suppress(errors.PeerError):
            packed = error_codec.pack(error)
            await self.send(frames.Kind.REPLY, number, False, packed)

    def on_reply(
        self,
        tasks: anyio.abc.TaskGroup,
        number: int,
        is_value: bool,
        value: typing.Any,
    ) -> None:
        reply = self.replies.get(number)
        if reply is None:
            return
        if is_value:
            reply.succeed(value)
        else:
            reply.fail(error_codec.unpack(value))

    def on_open(
        self,
        tasks: anyio.abc.TaskGroup,
        number: int,
        method: str,
        message: typing.Any,
    ) -> None:
        stream = self.accepted_streams[number] = peer_stream.Stream(
            self, number
        )
        tasks.start_soon(self.serve_stream, stream, method, message)

    async def serve_stream(
        self, stream: peer_stream.Stream, method: str, message: typing.Any
    ) -> None:
        with anyio.CancelScope() as scope:
            self.handler_scopes[stream.stream_id] = scope
            try:
                handler = self.handlers.streams.get(method)
                if handler is None:
                    raise errors.PeerProtocolError(f'no method {method}')
                await handler(self.peer, message, stream)
                await stream.finish()
            except Exception as error:
                with contextlib.suppress(errors.PeerError):
                    packed = error_codec.pack(error)
                    await self.send(
                        frames.Kind.RESET, stream.stream_id, packed
                    )
            finally:
                del self.handler_scopes[stream.stream_id]
                del self.accepted_streams[stream.stream_id]

    def on_data(
        self, tasks: anyio.abc.TaskGroup, number: int, body: bytes
    ) -> None:
        stream = self.find_stream(number)
        if stream is not None:
            stream.receive_data(body)

    def find_stream(self, number: int) -> peer_stream.Stream | None:
        return self.opened_streams.get(number) or self.accepted_streams.get(
            number
        )

    def on_end(self, tasks: anyio.abc.TaskGroup, number: int) -> None:
        stream = self.find_stream(number)
        if stream is not None:
            stream.end()

    def on_reset(
        self,
        tasks: anyio.abc.TaskGroup,
        number: int,
        packed: dict[str, typing.Any],
    ) -> None:
        stream = self.find_stream(number)
        if stream is not None:
            stream.fail(error_codec.unpack(packed))
        if number in self.handler_scopes:
            self.handler_scopes[number].cancel()

    def on_credit(
        self, tasks: anyio.abc.TaskGroup, number: int, size: int
    ) -> None:
        stream = self.find_stream(number)
        if stream is not None:
            stream.credit += size
            stream.credit_arrived.set()

    def on_ping(self, tasks: anyio.abc.TaskGroup) -> None:
        tasks.start_soon(self.send_pong)

    async def send_pong(self) -> None:
        with contextlib.suppress(errors.PeerError):
            await self.send(frames.Kind.PONG)

    def on_pong(self, tasks: anyio.abc.TaskGroup) -> None:
        """Needs nothing: any frame shows that the peer lives."""
