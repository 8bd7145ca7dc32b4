"""An authenticated connection between two VMs that carries many streams.

Each stream has a flow-control window of its own, so that a slow reader of one
stream does not block the others.
"""

import collections.abc
import contextlib
import itertools
import typing

import anyio
import anyio.abc
import eliot
import msgpack

from .. import errors
from .. import timers as timer_service
from . import error_codec
from . import frames
from . import peer_stream
from ..ports import peers

MAX_CALLS_IN_FLIGHT = 1024
# ID of a call without a reply.
NO_REPLY_ID = 0
# Time limit for sending the RESET of a stream that its reader closes early.
RESET_TIMEOUT_SECONDS = 0.2
# Bytes that may wait to be written while the peer reads slowly. Up to here
# frames are sent without waiting.
MAX_UNSENT_BYTES = 65536
# Heartbeat intervals without a frame of the peer after which a ping is sent.
DIALLER_IDLE_INTERVALS = 1.0
LISTENER_IDLE_INTERVALS = 2.5
# Time without frames but heartbeats after which the dialling end closes a
# connection that nothing waits for. Each connection costs heartbeats.
IDLE_CLOSE_SECONDS = 10.0
HEARTBEAT_KINDS = (frames.Kind.PING, frames.Kind.PONG)
CONNECTION_LOST_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)
# Raised by the handling of a frame whose values are not what they should be.
MALFORMED_VALUE_ERRORS = (
    TypeError,
    ValueError,
    KeyError,
    AttributeError,
    msgpack.UnpackException,
)


class Handlers:
    """The handlers of a VM for its peers' requests, by method name."""

    def __init__(self) -> None:
        self.calls: dict[str, peers.Handler] = {}
        self.streams: dict[str, peers.StreamHandler] = {}


class Connection:
    """A connection after its handshake.

    :param is_dialler: whether this side opened the connection.
    :param heartbeat_seconds: interval at which pings to the peer are due.
    :param silence_seconds: time without a frame from the peer after which
        the connection is closed.
    :ivar peer: name of the VM at the other side.
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
        is_dialler: bool,
    ) -> None:
        self.is_dialler = is_dialler
        self.socket = socket
        self.reader = reader
        self.max_frame_bytes = reader.max_body_bytes
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
        self.unsent = bytearray()
        self.unsent_changed = anyio.Event()
        self.unsent_written = anyio.Event()

    async def send(self, kind: frames.Kind, *values: typing.Any) -> None:
        """Sends a frame, after waiting if the peer reads slowly.

        :raises FrameTooLargeError: if the frame is over the limit.
        :raises PeerLostError: if the connection is closed or broken.
        """
        data = self.encode(kind, *values)
        while len(self.unsent) >= MAX_UNSENT_BYTES and not self.is_closed:
            await self.unsent_written.wait()
        self.append(data)

    def send_nowait(self, kind: frames.Kind, *values: typing.Any) -> bool:
        """Sends a frame, or drops it if the peer reads slowly.

        :returns: whether it will be sent.
        :raises FrameTooLargeError: if the frame is over the limit.
        :raises PeerLostError: if the connection is closed or broken.
        """
        data = self.encode(kind, *values)
        if len(self.unsent) >= MAX_UNSENT_BYTES and not self.is_closed:
            return False
        self.append(data)
        return True

    def encode(self, kind: frames.Kind, *values: typing.Any) -> bytes:
        data = frames.encode(kind, *values)
        if len(data) > self.max_frame_bytes:
            raise errors.FrameTooLargeError(
                f'a frame of {len(data)} bytes is over the limit of '
                f'{self.max_frame_bytes} bytes'
            )
        return data

    def append(self, data: bytes) -> None:
        if self.is_closed:
            raise errors.PeerLostError(
                f'the connection to {self.peer} is closed'
            )
        if not self.unsent:
            self.unsent_changed.set()
        self.unsent += data

    async def write_until_lost(self, scope: anyio.CancelScope) -> None:
        """Writes frames, and ends the connection if it is broken."""
        with contextlib.suppress(*CONNECTION_LOST_ERRORS):
            await self.write_unsent()
        scope.cancel()

    async def write_unsent(self) -> None:
        """Writes the frames that are sent until the connection ends.

        One task writes for all senders: frames that are sent together become
        one write, and a sender needs no lock, which would cost it iterations
        of the event loop.
        """
        while True:
            await self.unsent_changed.wait()
            self.unsent_changed = anyio.Event()
            data, self.unsent = bytes(self.unsent), bytearray()
            await self.socket.send(data)
            self.bytes_sent += len(data)
            self.unsent_written.set()
            self.unsent_written = anyio.Event()

    async def call(
        self, method: str, message: typing.Any, timeout: float
    ) -> typing.Any:
        """Sends a message and returns the reply to it.

        :param timeout: in seconds.
        :raises PeerLostError: if the connection ended before the reply.
        :raises PeerTimeoutError: if no reply arrived in time.
        """
        call_id = next(self.next_ids)
        reply = self.replies[call_id] = peer_stream.PendingReply()
        self.last_used_at = self.timers.now()
        try:
            with self.timers.move_on_after(timeout):
                await self.send(frames.Kind.CALL, call_id, method, message)
                await reply.arrived.wait()
        finally:
            del self.replies[call_id]
        if reply.error is not None:
            raise reply.error
        if not reply.arrived.is_set():
            raise errors.PeerTimeoutError(
                f'{self.peer} did not reply to {method} within {timeout:g} s'
            )
        return reply.value

    async def notify(self, method: str, message: typing.Any) -> None:
        """Sends a message that gets no reply.

        :raises PeerLostError: if the connection is closed or broken.
        """
        self.last_used_at = self.timers.now()
        await self.send(frames.Kind.CALL, NO_REPLY_ID, method, message)

    def post(self, method: str, message: typing.Any) -> None:
        """Sends a message that gets no reply, without waiting.

        It is dropped if the peer reads slowly.

        :raises PeerLostError: if the connection is closed or broken.
        """
        self.last_used_at = self.timers.now()
        self.send_nowait(frames.Kind.CALL, NO_REPLY_ID, method, message)

    @contextlib.asynccontextmanager
    async def open(
        self, method: str, message: typing.Any
    ) -> collections.abc.AsyncIterator[peer_stream.Stream]:
        """Opens a stream; leaving the context cancels its handler."""
        stream_id = next(self.next_ids)
        stream = self.opened_streams[stream_id] = peer_stream.Stream(
            self, stream_id
        )
        self.last_used_at = self.timers.now()
        try:
            await self.send(frames.Kind.OPEN, stream_id, method, message)
            yield stream
        finally:
            del self.opened_streams[stream_id]
            if not stream.is_ended and stream.error is None:
                with self.timers.move_on_after(RESET_TIMEOUT_SECONDS) as scope:
                    scope.shield = True
                    await self.reset_stream(stream_id)

    async def reset_stream(self, stream_id: int) -> None:
        packed = error_codec.pack(errors.PeerLostError('cancelled'))
        with contextlib.suppress(errors.PeerError):
            await self.send(frames.Kind.RESET, stream_id, packed)

    async def run(self) -> None:
        """Serves the connection until it ends."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.send_heartbeats, tasks.cancel_scope)
                tasks.start_soon(self.write_until_lost, tasks.cancel_scope)
                try:
                    await self.read_frames(tasks)
                except CONNECTION_LOST_ERRORS + (anyio.EndOfStream,):
                    pass
                except errors.PeerError as error:
                    eliot.log_message(
                        'peer:closed',
                        peer=self.peer,
                        code=error.code,
                        reason=error.message,
                    )
                tasks.cancel_scope.cancel()
        finally:
            self.close()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self.socket)

    def close(self) -> None:
        """Fails all pending calls and open streams."""
        self.is_closed = True
        self.unsent_written.set()
        error = errors.PeerLostError(f'lost the connection to {self.peer}')
        for reply in self.replies.values():
            reply.fail(error)
        for stream in [
            *self.opened_streams.values(),
            *self.accepted_streams.values(),
        ]:
            stream.fail(error)

    async def send_heartbeats(self, scope: anyio.CancelScope) -> None:
        """Sends heartbeats, and closes a connection without any frames.

        Any frame of the peer shows that it is alive, so an end sends a
        heartbeat only if it has received nothing for a while, the listening
        end after a longer one: the heartbeats of the dialling end are enough.
        If frames are lost in one direction, the end that receives nothing
        closes the connection, which ends it for the other one.
        """
        idle_intervals = DIALLER_IDLE_INTERVALS
        if not self.is_dialler:
            idle_intervals = LISTENER_IDLE_INTERVALS
        while True:
            await self.timers.sleep(self.heartbeat_seconds)
            silence = self.timers.now() - self.last_received_at
            if silence > self.silence_seconds:
                scope.cancel()
                return
            if self.is_dialler and self.is_unused():
                # Closed first, so that no call is made on it any more.
                self.close()
                scope.cancel()
                return
            if silence < idle_intervals * self.heartbeat_seconds:
                continue
            with contextlib.suppress(errors.PeerError):
                self.send_nowait(frames.Kind.PING)

    def is_unused(self) -> bool:
        """Returns whether nothing has used the connection for a while."""
        return (
            not self.replies
            and not self.opened_streams
            and not self.accepted_streams
            and not self.unsent
            and self.timers.now() - self.last_used_at > IDLE_CLOSE_SECONDS
        )

    async def read_frames(self, tasks: anyio.abc.TaskGroup) -> None:
        """Handles the frames of the peer until the connection ends."""
        frame_handlers = {
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
            if frame.kind not in HEARTBEAT_KINDS:
                self.last_used_at = self.last_received_at
            handle_frame = frame_handlers.get(frame.kind)
            if handle_frame is None:
                raise errors.PeerProtocolError(
                    f'{self.peer} sent {frame.kind.name} after the handshake'
                )
            try:
                handle_frame(tasks, *frame.values)
            except MALFORMED_VALUE_ERRORS as error:
                raise errors.PeerProtocolError(
                    f'{self.peer} sent a malformed {frame.kind.name} frame:'
                    f' {error!r}'
                ) from error

    def on_call(
        self,
        tasks: anyio.abc.TaskGroup,
        call_id: int,
        method: str,
        message: typing.Any,
    ) -> None:
        is_notification = call_id == NO_REPLY_ID
        if self.calls_running >= MAX_CALLS_IN_FLIGHT:
            if not is_notification:
                error = errors.OverloadedError(
                    f'{self.peer} has {MAX_CALLS_IN_FLIGHT} calls in flight'
                )
                self.send_error(call_id, error)
            return
        handler = self.handlers.calls.get(method)
        if is_notification and getattr(handler, 'never_waits', False):
            self.handle_at_once(method, handler(self.peer, message))
        else:
            tasks.start_soon(self.serve_call, call_id, method, message)

    def handle_at_once(
        self, method: str, coroutine: collections.abc.Coroutine
    ) -> None:
        """Runs a handler that never waits, without a task of its own."""
        try:
            coroutine.send(None)
        except StopIteration:
            return
        except Exception as error:
            self.log_handler_failure(method, error)
            return
        coroutine.close()
        eliot.log_message('peer:handler_waits', method=method)

    async def serve_call(
        self, call_id: int, method: str, message: typing.Any
    ) -> None:
        self.calls_running += 1
        try:
            handler = self.handlers.calls.get(method)
            if handler is None:
                raise errors.PeerProtocolError(f'unknown method {method}')
            value = await handler(self.peer, message)
            if call_id != NO_REPLY_ID:
                await self.send(frames.Kind.REPLY, call_id, True, value)
        except Exception as error:
            self.log_handler_failure(method, error)
            if call_id != NO_REPLY_ID:
                self.send_error(call_id, error)
        finally:
            self.calls_running -= 1

    def log_handler_failure(self, method: str, error: Exception) -> None:
        """Logs an exception that the protocol does not provide for."""
        if not isinstance(error, errors.GatewayError):
            eliot.write_traceback()
            eliot.log_message(
                'peer:handler_failed', peer=self.peer, method=method
            )

    def send_error(self, call_id: int, error: Exception) -> None:
        """Replies with an error, which may be dropped as the reply may."""
        with contextlib.suppress(errors.PeerError):
            packed = error_codec.pack(error)
            self.append(self.encode(frames.Kind.REPLY, call_id, False, packed))

    def on_reply(
        self,
        tasks: anyio.abc.TaskGroup,
        call_id: int,
        is_success: bool,
        value: typing.Any,
    ) -> None:
        reply = self.replies.get(call_id)
        if reply is None:
            return
        if is_success:
            reply.succeed(value)
        else:
            reply.fail(error_codec.unpack(value))

    def on_open(
        self,
        tasks: anyio.abc.TaskGroup,
        stream_id: int,
        method: str,
        message: typing.Any,
    ) -> None:
        stream = self.accepted_streams[stream_id] = peer_stream.Stream(
            self, stream_id
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
                    raise errors.PeerProtocolError(f'unknown method {method}')
                await handler(self.peer, message, stream)
                await stream.finish()
            except Exception as error:
                self.log_handler_failure(method, error)
                with contextlib.suppress(errors.PeerError):
                    packed = error_codec.pack(error)
                    await self.send(
                        frames.Kind.RESET, stream.stream_id, packed
                    )
            finally:
                del self.handler_scopes[stream.stream_id]
                del self.accepted_streams[stream.stream_id]

    def on_data(
        self, tasks: anyio.abc.TaskGroup, stream_id: int, body: bytes
    ) -> None:
        stream = self.find_stream(stream_id)
        if stream is not None:
            stream.receive_data(body)

    def find_stream(self, stream_id: int) -> peer_stream.Stream | None:
        return self.opened_streams.get(stream_id) or self.accepted_streams.get(
            stream_id
        )

    def on_end(self, tasks: anyio.abc.TaskGroup, stream_id: int) -> None:
        stream = self.find_stream(stream_id)
        if stream is not None:
            stream.end()

    def on_reset(
        self,
        tasks: anyio.abc.TaskGroup,
        stream_id: int,
        packed: dict[str, typing.Any],
    ) -> None:
        stream = self.find_stream(stream_id)
        if stream is not None:
            stream.fail(error_codec.unpack(packed))
        if stream_id in self.handler_scopes:
            self.handler_scopes[stream_id].cancel()

    def on_credit(
        self, tasks: anyio.abc.TaskGroup, stream_id: int, size: int
    ) -> None:
        stream = self.find_stream(stream_id)
        if stream is not None:
            stream.credit += size
            stream.credit_arrived.set()

    def on_ping(self, tasks: anyio.abc.TaskGroup) -> None:
        with contextlib.suppress(errors.PeerError):
            self.send_nowait(frames.Kind.PONG)

    def on_pong(self, tasks: anyio.abc.TaskGroup) -> None:
        """Does nothing, since any frame counts as a heartbeat."""
