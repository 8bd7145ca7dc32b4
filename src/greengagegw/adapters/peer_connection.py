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
from . import peer_socket
from . import peer_stream
from ..ports import peers

MAX_CALLS_IN_FLIGHT = 1024
# ID of a call without a reply.
NO_REPLY_ID = 0
# Time limit for sending the RESET of a stream that its reader closes early.
RESET_TIMEOUT_SECONDS = 0.2
# Heartbeat intervals without a frame of the peer after which a ping is sent.
# The answer to a ping arrives just after a check, so that with 1.0 it would
# depend on the round trip whether every check or every other one sends a ping.
DIALLER_IDLE_INTERVALS = 1.5
LISTENER_IDLE_INTERVALS = 2.5
# Time without frames but heartbeats after which the dialling end closes a
# connection that nothing waits for. Each connection costs heartbeats.
IDLE_CLOSE_SECONDS = 10.0
HEARTBEAT_KINDS = (frames.Kind.PING, frames.Kind.PONG)
# Encoded once: most frames of an idle VM are heartbeats.
PING_FRAME = frames.encode(frames.Kind.PING)
PONG_FRAME = frames.encode(frames.Kind.PONG)
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
        socket: peer_socket.PeerSocket,
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
        self.tasks: anyio.abc.TaskGroup | None = None
        self.ended = anyio.Event()

    async def send(self, kind: frames.Kind, *values: typing.Any) -> None:
        """Sends a frame, after waiting if the peer reads slowly.

        :raises FrameTooLargeError: if the frame is over the limit.
        :raises PeerLostError: if the connection is closed or broken.
        """
        data = self.encode(kind, *values)
        if not self.socket.is_writable:
            await self.socket.wait_writable()
        self.append(data)

    def send_nowait(self, kind: frames.Kind, *values: typing.Any) -> bool:
        """Sends a frame, or drops it if the peer reads slowly.

        :returns: whether it will be sent.
        :raises FrameTooLargeError: if the frame is over the limit.
        :raises PeerLostError: if the connection is closed or broken.
        """
        data = self.encode(kind, *values)
        if not self.socket.is_writable and not self.is_closed:
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
        self.bytes_sent += len(data)
        self.socket.write(data)

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
        timer = self.timers.call_later(timeout, reply.expire)
        try:
            if self.socket.is_writable:
                data = self.encode(frames.Kind.CALL, call_id, method, message)
                self.append(data)
            else:
                with self.timers.move_on_after(timeout):
                    await self.send(frames.Kind.CALL, call_id, method, message)
            await reply.arrived
        finally:
            timer.cancel()
            del self.replies[call_id]
        if reply.error is not None:
            raise reply.error
        if reply.is_expired:
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
        """Serves the connection until it ends.

        Received frames are handled in the callback of the socket.
        """
        try:
            async with anyio.create_task_group() as self.tasks:
                self.handle_frames()
                self.socket.start(self.on_data, self.end)
                await self.ended.wait()
                self.tasks.cancel_scope.cancel()
        finally:
            self.close()
            self.socket.close()

    def end(self) -> None:
        """Ends :meth:`run`."""
        self.close()
        self.ended.set()

    def close(self) -> None:
        """Fails all pending calls and open streams, if it is not closed."""
        if self.is_closed:
            return
        self.is_closed = True
        error = errors.PeerLostError(f'lost the connection to {self.peer}')
        for reply in self.replies.values():
            reply.fail(error)
        for stream in [
            *self.opened_streams.values(),
            *self.accepted_streams.values(),
        ]:
            stream.fail(error)

    def check(self, now: float) -> None:
        """Sends a heartbeat if it is due, and ends a silent connection.

        It is called in each heartbeat interval. Any frame of the peer shows
        that it is alive, so an end sends a heartbeat only if it has received
        nothing for a while, the listening end after a longer one: the
        heartbeats of the dialling end are enough. If frames are lost in one
        direction, the end that receives nothing closes the connection, which
        ends it for the other one.

        An end that receives a long frame sends heartbeats too, as those of
        the sender would wait behind the frame.
        """
        if self.is_closed:
            return
        silence = now - self.last_received_at
        idle_intervals = LISTENER_IDLE_INTERVALS
        if self.is_dialler:
            idle_intervals = DIALLER_IDLE_INTERVALS
        if silence > self.silence_seconds or (
            self.is_dialler and self.is_unused(now)
        ):
            self.end()
        elif not self.socket.is_writable:
            return
        elif silence >= idle_intervals * self.heartbeat_seconds:
            self.append(PING_FRAME)
        elif self.reader.buffer:
            self.append(PONG_FRAME)

    def is_unused(self, now: float) -> bool:
        """Returns whether nothing has used the connection for a while."""
        return (
            now - self.last_used_at > IDLE_CLOSE_SECONDS
            and not self.replies
            and not self.opened_streams
            and not self.accepted_streams
            and not self.socket.has_unsent
        )

    def on_data(self, data: bytes) -> None:
        self.reader.append(data)
        self.handle_frames()

    def handle_frames(self) -> None:
        """Handles the frames that have arrived completely."""
        self.last_received_at = self.timers.now()
        try:
            while not self.is_closed:
                frame = self.reader.next_frame()
                if frame is None:
                    return
                self.handle_frame(frame)
        except errors.PeerError as error:
            eliot.log_message(
                'peer:closed',
                peer=self.peer,
                code=error.code,
                reason=error.message,
            )
            self.end()
        except Exception:
            # An unexpected error ends no more than this connection.
            eliot.write_traceback()
            self.end()

    def handle_frame(self, frame: frames.Frame) -> None:
        """Handles a frame.

        :raises PeerProtocolError: if it is malformed or unexpected.
        """
        kind, values = frame
        if kind not in HEARTBEAT_KINDS:
            self.last_used_at = self.last_received_at
        handle = FRAME_HANDLERS.get(kind)
        if handle is None:
            raise errors.PeerProtocolError(
                f'{self.peer} sent {kind.name} after the handshake'
            )
        try:
            handle(self, *values)
        except MALFORMED_VALUE_ERRORS as error:
            raise errors.PeerProtocolError(
                f'{self.peer} sent a malformed {kind.name} frame:'
                f' {type(error).__name__}'
            ) from error

    def on_call(self, call_id: int, method: str, message: typing.Any) -> None:
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
            self.tasks.start_soon(self.serve_call, call_id, method, message)

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
        stream_id: int,
        method: str,
        message: typing.Any,
    ) -> None:
        if stream_id in self.accepted_streams:
            raise errors.PeerProtocolError(
                f'{self.peer} opened the stream {stream_id} twice'
            )
        stream = self.accepted_streams[stream_id] = peer_stream.Stream(
            self, stream_id
        )
        self.tasks.start_soon(self.serve_stream, stream, method, message)

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

    def on_data_frame(self, stream_id: int, body: bytes) -> None:
        stream = self.find_stream(stream_id)
        if stream is not None:
            stream.receive_data(body)

    def find_stream(self, stream_id: int) -> peer_stream.Stream | None:
        return self.opened_streams.get(stream_id) or self.accepted_streams.get(
            stream_id
        )

    def on_end(self, stream_id: int) -> None:
        stream = self.find_stream(stream_id)
        if stream is not None:
            stream.end()

    def on_reset(
        self,
        stream_id: int,
        packed: dict[str, typing.Any],
    ) -> None:
        stream = self.find_stream(stream_id)
        if stream is not None:
            stream.fail(error_codec.unpack(packed))
        if stream_id in self.handler_scopes:
            self.handler_scopes[stream_id].cancel()

    def on_credit(self, stream_id: int, size: int) -> None:
        stream = self.find_stream(stream_id)
        if stream is not None:
            stream.credit += size
            stream.credit_arrived.set()

    def on_ping(self) -> None:
        if self.socket.is_writable:
            self.append(PONG_FRAME)

    def on_pong(self) -> None:
        """Does nothing, since any frame counts as a heartbeat."""


FRAME_HANDLERS: dict[frames.Kind, collections.abc.Callable] = {
    frames.Kind.CALL: Connection.on_call,
    frames.Kind.REPLY: Connection.on_reply,
    frames.Kind.OPEN: Connection.on_open,
    frames.Kind.DATA: Connection.on_data_frame,
    frames.Kind.END: Connection.on_end,
    frames.Kind.RESET: Connection.on_reset,
    frames.Kind.CREDIT: Connection.on_credit,
    frames.Kind.PING: Connection.on_ping,
    frames.Kind.PONG: Connection.on_pong,
}
