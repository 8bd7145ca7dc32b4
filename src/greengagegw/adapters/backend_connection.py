"""Lean HTTP/1.1 connections to backend servers.

Requests and responses are encoded and parsed by h11 right on the transport of
the event loop. A read takes the bytes that have arrived, or waits for a single
future: it needs no cancel scope, timer or additional turn of the event loop.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import functools
import math
import os
import re
import select
import socket as sockets
import typing

import anyio
import eliot
import h11
import httpcore

from .. import timers as timer_service
from . import backend_transport

MAX_HEAD_BYTES = 100 * 1024
# Informational responses before the final one. More are no use, and a server
# that sends them without end would keep the process from all other work.
MAX_INFORMATIONAL_RESPONSES = 16
# A larger body is not copied to send it together with the head.
MAX_COPIED_BYTES = 16 * 1024
# What one read of a socket returns at most.
SOCKET_READ_BYTES = 16 * 1024
# Reading pauses while this much of a response waits for a slow client.
MAX_BUFFERED_BYTES = 16 * 1024
# Idle connections that a pool keeps for longer than its shorter idle time.
LONG_IDLE_CONNECTIONS = 2
# Part of the time after which a server closes idle connections.
SAFE_IDLE_SHARE = 0.8
# A server that has sent a response twice gets each request on a connection of
# its own for this long, so that a copy meets no later request.
SINGLE_USE_SECONDS = 60.0
# Bounds the request IDs that a connection remembers, to about 20 KB.
MAX_REQUESTS_PER_CONNECTION = 200
CHUNK_HEAD = re.compile(rb'([0-9A-Fa-f]{1,8})\r\n')
LINE_END = b'\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request with its complete body.

    :ivar request_id: which its response echoes; empty for none.
    """

    method: bytes
    host: str
    port: int
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes | None
    connect_seconds: float
    request_id: bytes = b''


# All connections of the event loop read into one buffer, one after another.
socket_buffer = bytearray(SOCKET_READ_BYTES)


class Connection(asyncio.BufferedProtocol):
    """One connection, which runs one request at a time.

    :ivar received: bytes that were not parsed yet.
    :ivar waiter: completed when there is more to read.
    :ivar idle_since: timer seconds at which the last response ended.
    :ivar max_idle: idle connections of its pool, including this one, up to
        which it is kept.
    :ivar on_idle_end: called if the server closes the idle connection.
    :ivar on_idle_bytes: called if the server sends on the idle connection.
    :ivar request_ids: of the requests that were sent on it.
    :ivar is_first: whether no request was sent on it before the last one.
    :ivar is_chunked: whether the body of the response comes in chunks.
    :ivar ends_chunk: whether the parser has nothing left but the line end
        after a chunk that it has returned.
    :ivar is_between_chunks: whether the parser waits for a new chunk and has
        read nothing of it.
    """

    def __init__(self) -> None:
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.transport: typing.Any = None
        self.loop = asyncio.get_running_loop()
        self.received = bytearray()
        self.waiter: asyncio.Future | None = None
        self.has_ended = False
        self.failure: BaseException | None = None
        self.is_reading_paused = False
        self.can_write: asyncio.Future | None = None
        self.idle_since = 0.0
        self.max_idle = 0
        self.on_idle_end: collections.abc.Callable[[], None] | None = None
        self.on_idle_bytes: collections.abc.Callable[[], None] | None = None
        self.request_ids: set[bytes] = set()
        self.is_first = True
        self.is_chunked = False
        self.ends_chunk = False
        self.is_between_chunks = False

    # Called by the event loop.

    def connection_made(self, transport: typing.Any) -> None:
        self.transport = transport

    def get_buffer(self, size_hint: int) -> bytearray:
        return socket_buffer

    def buffer_updated(self, count: int) -> None:
        self.data_received(memoryview(socket_buffer)[:count])

    def data_received(self, data: bytes | memoryview) -> None:
        self.received += data
        if self.on_idle_bytes is not None:
            self.on_idle_bytes()
            return
        if len(self.received) > MAX_BUFFERED_BYTES:
            self.is_reading_paused = True
            self.transport.pause_reading()
        self.wake()

    def eof_received(self) -> bool:
        """Keeps the connection open while a request is being sent on it."""
        self.has_ended = True
        self.wake()
        if self.on_idle_end is not None:
            self.on_idle_end()
        return self.http.our_state is not h11.IDLE

    def connection_lost(self, exc: BaseException | None) -> None:
        self.has_ended = True
        self.failure = self.failure or exc
        self.wake()
        self.resume_writing()

    def pause_writing(self) -> None:
        self.can_write = self.loop.create_future()

    def resume_writing(self) -> None:
        if self.can_write is not None and not self.can_write.done():
            self.can_write.set_result(None)
        self.can_write = None

    def wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    # Called by the client.

    def abort(self) -> None:
        """Closes the connection at once; a pending read fails."""
        self.failure = self.failure or ConnectionAbortedError()
        self.has_ended = True
        self.transport.abort()
        self.wake()

    def is_reusable(self) -> bool:
        """Returns whether an idle connection may get another request."""
        if self.has_ended or self.received:
            return False
        # The server may have closed it since the last turn of the event loop.
        poll = select.poll()
        poll.register(self.transport.get_extra_info('socket'), select.POLLIN)
        return not poll.poll(0)

    def has_foreign_bytes(self) -> bool:
        """Returns whether bytes have arrived that belong to no request.

        Call it before a request, or after a complete response. The parser may
        hold bytes that came in the same packet as the response.
        """
        return bool(self.received or self.http.trailing_data[0])

    def has_unread_bytes(self) -> bool:
        """Returns whether the socket has bytes that were not received."""
        descriptor = self.transport.get_extra_info('socket').fileno()
        # The event loop's own socket object does not allow a read.
        with contextlib.suppress(OSError):
            with sockets.socket(fileno=os.dup(descriptor)) as copy:
                flags = sockets.MSG_PEEK | sockets.MSG_DONTWAIT
                return bool(copy.recv(1, flags))
        return False

    async def send(self, request: Request) -> h11.Response:
        """Sends a request and returns the head of its response.

        :raises httpcore.NetworkError: if the connection is lost.
        :raises httpcore.ProtocolError: if the response is no valid HTTP.
        """
        try:
            head = h11.Request(
                method=request.method,
                target=request.target,
                headers=request.headers,
            )
            parts = [self.http.send(head)]
            if request.body:
                parts.append(self.http.send(h11.Data(data=request.body)))
            parts.append(self.http.send(h11.EndOfMessage()))
        except h11.LocalProtocolError as error:
            raise httpcore.LocalProtocolError(str(error)) from error
        self.is_first = not self.request_ids
        self.request_ids.add(request.request_id)
        if not self.has_ended:
            if len(request.body or b'') > MAX_COPIED_BYTES:
                # Without a copy of the body.
                self.transport.writelines(parts)
            else:
                self.transport.write(b''.join(parts))
        if self.can_write is not None:
            await self.can_write
        informational_count = 0
        while True:
            event = self.parse_event()
            if event is h11.NEED_DATA:
                await self.wait_received()
                self.parse_received()
            elif type(event) is h11.InformationalResponse:
                informational_count += 1
                if informational_count > MAX_INFORMATIONAL_RESPONSES:
                    raise httpcore.RemoteProtocolError(
                        f'more than {MAX_INFORMATIONAL_RESPONSES}'
                        ' informational responses'
                    )
            elif type(event) is h11.Response:
                if event.status_code > backend_transport.MAX_STATUS:
                    raise httpcore.RemoteProtocolError(
                        f'status {event.status_code} is above'
                        f' {backend_transport.MAX_STATUS}'
                    )
                self.is_between_chunks = False
                self.ends_chunk = not self.http.trailing_data[0]
                self.is_chunked = any(
                    name == b'transfer-encoding' for name, _ in event.headers
                )
                return event

    async def next_chunk(self) -> bytes | None:
        """Returns the next part of the body, None after the last one.

        :raises httpcore.NetworkError: if the connection is lost.
        :raises httpcore.ProtocolError: if the response is no valid HTTP.
        """
        while True:
            if self.is_between_chunks:
                await self.wait_received()
                data = self.take_chunks()
                if data:
                    return data
                self.is_between_chunks = False
                self.parse_received()
            event = self.parse_event()
            if type(event) is h11.Data:
                self.ends_chunk = (
                    event.chunk_end and self.http.trailing_data[0] == LINE_END
                )
                return bytes(event.data)
            if event is not h11.NEED_DATA:
                return None
            self.is_between_chunks = self.is_chunked and self.ends_chunk
            if not self.is_between_chunks:
                await self.wait_received()
                self.parse_received()

    async def wait_received(self) -> None:
        """Waits for bytes, or for the end of the connection."""
        if not self.received and not self.has_ended:
            self.waiter = self.loop.create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None

    def parse_event(self) -> typing.Any:
        """Returns the next event of h11.

        :raises httpcore.ProtocolError: if the response is no valid HTTP.
        """
        try:
            return self.http.next_event()
        except h11.RemoteProtocolError as error:
            raise httpcore.RemoteProtocolError(str(error)) from error

    def take_chunks(self) -> bytes:
        """Returns the content of the whole chunks that have arrived.

        The events of a stream are such chunks, and h11 takes many times as
        long for one. It parses whatever else there is: parts of chunks,
        extensions and the end of the body.
        """
        received = self.received
        parts = []
        position = 0
        while head := CHUNK_HEAD.match(received, position):
            begin = head.end()
            end = begin + int(head[1], 16)
            if end == begin or received[end : end + 2] != LINE_END:
                break
            parts.append(received[begin:end])
            position = end + 2
        if position:
            del received[:position]
            self.resume_reading()
        return b''.join(parts)

    def resume_reading(self) -> None:
        if self.is_reading_paused:
            self.is_reading_paused = False
            self.transport.resume_reading()

    def parse_received(self) -> None:
        """Passes the received bytes, or the end, to the parser."""
        if self.received:
            self.ends_chunk = False
            self.http.receive_data(self.received)
            self.received = bytearray()
            self.resume_reading()
        elif self.failure is not None:
            raise httpcore.ReadError(
                f'connection lost while reading: {self.failure!r}'
            ) from self.failure
        elif self.has_ended:
            if self.http.their_state is h11.SEND_RESPONSE:
                raise httpcore.RemoteProtocolError(
                    'the server disconnected without sending a response'
                )
            self.http.receive_data(b'')

    def start_next_cycle(self) -> bool:
        """Prepares for another request; returns whether one is possible."""
        done = h11.DONE
        if (
            self.http.our_state is not done
            or self.http.their_state is not done
        ):
            return False
        self.http.start_next_cycle()
        return not self.has_ended


class Response:
    """A response whose body is still being received.

    :ivar is_first: whether its connection had no earlier request, so that it
        cannot be a late response to one.
    """

    def __init__(
        self,
        pool: 'ConnectionPool',
        connection: Connection,
        head: h11.Response,
    ) -> None:
        self.pool = pool
        self.connection = connection
        self.status = head.status_code
        self.headers = head.headers.raw_items()
        self.is_first = connection.is_first
        self.is_closed = False

    async def read(self) -> bytes | None:
        """Returns the next part of the body, None after the last one.

        :raises httpcore.NetworkError: if the connection is lost.
        :raises httpcore.ProtocolError: if the body is no valid HTTP.
        """
        chunk = None
        if not self.is_closed:
            chunk = await self.connection.next_chunk()
            if chunk is None:
                self.close()
        return chunk

    def abort(self) -> None:
        """Closes the connection, so that a pending read fails."""
        self.connection.abort()

    def drop_as_foreign(self) -> None:
        """Closes the connection, as the response is to another request."""
        self.is_closed = True
        self.connection.abort()
        self.pool.suspend_reuse()

    def close(self) -> None:
        """Returns the connection to its pool, or closes it."""
        if not self.is_closed:
            self.is_closed = True
            self.pool.release(self.connection)


class ConnectionPool:
    """The connections to one backend server.

    A few idle connections are kept for long, since a VM sends to each server
    of a large region only every few seconds. If the server closes one, they
    are closed before it does from then on.

    A connection on which bytes have arrived that belong to no request is not
    used again. A second request with the same ID uses another connection, as
    the ID would not tell a late response to the first from its own.

    :param max_idle: maximal number of idle connections.
    :param idle_seconds: time for which any idle connection is kept.
    :param long_idle_seconds: time for which a few are kept.
    :param server: name of the server, for log lines.
    :ivar single_use_until: timer seconds until which no connection is kept.
    """

    def __init__(
        self,
        max_idle: int,
        idle_seconds: float,
        long_idle_seconds: float,
        timers: timer_service.Timers,
        server: str = '',
    ) -> None:
        self.timers = timers
        self.server = server
        self.single_use_until = -math.inf
        self.max_idle = max_idle
        self.idle_seconds = idle_seconds
        self.long_idle_seconds = long_idle_seconds
        self.idle: collections.deque[Connection] = collections.deque()

    async def send(
        self, request: Request, needs_new_connection: bool = False
    ) -> Response:
        """Sends a request, and returns its response once the head is there.

        :param needs_new_connection: whether it may not use an idle one.
        :raises httpcore.ConnectError: if there is no connection.
        :raises httpcore.ConnectTimeout: if there is none in time.
        :raises httpcore.NetworkError: if the connection is lost.
        :raises httpcore.ProtocolError: if the response is no valid HTTP.
        """
        connection = None
        if not needs_new_connection:
            connection = self.take_idle(request.request_id)
        if connection is None:
            connection = await connect(
                request.host, request.port, request.connect_seconds
            )
            if connection.has_foreign_bytes():
                self.drop(connection, 'bytes before the first request')
                raise httpcore.ConnectError(
                    f'{request.host}:{request.port}: the server sent bytes'
                    ' before the request'
                )
        try:
            head = await connection.send(request)
        except httpcore.RemoteProtocolError:
            if not connection.has_ended:
                self.drop(connection, 'no valid response')
            connection.abort()
            raise
        except BaseException:
            connection.abort()
            raise
        # Requests that need a new connection leave at most one idle one, as
        # they would otherwise fill the pool.
        connection.max_idle = 1 if needs_new_connection else self.max_idle
        return Response(self, connection, head)

    def take_idle(self, request_id: bytes = b'') -> Connection | None:
        """Returns the connection used last; closes those idle for too long.

        :param request_id: one on which a request with this ID was sent is
            left in the pool.
        """
        self.close_expired()
        skipped = []
        found = None
        while self.idle and found is None:
            connection = self.idle.pop()
            if request_id and request_id in connection.request_ids:
                skipped.append(connection)
                continue
            connection.on_idle_end = connection.on_idle_bytes = None
            if connection.is_reusable():
                found = connection
            elif not connection.has_ended and connection.has_unread_bytes():
                self.drop(connection, 'bytes on an idle connection')
            else:
                connection.abort()
        self.idle.extend(reversed(skipped))
        return found

    def release(self, connection: Connection) -> None:
        """Keeps a connection whose response is complete, or closes it."""
        if (
            connection.http.their_state is h11.DONE
            and connection.has_foreign_bytes()
        ):
            self.drop(connection, 'bytes behind a response')
            return
        max_idle = min(self.max_idle, connection.max_idle)
        if (
            len(self.idle) < max_idle
            and len(connection.request_ids) < MAX_REQUESTS_PER_CONNECTION
            and self.timers.now() >= self.single_use_until
            and connection.start_next_cycle()
        ):
            connection.idle_since = self.timers.now()
            connection.on_idle_end = functools.partial(
                self.record_idle_end, connection
            )
            connection.on_idle_bytes = functools.partial(
                self.drop, connection, 'bytes on an idle connection'
            )
            self.idle.append(connection)
        else:
            connection.abort()

    def drop(self, connection: Connection, reason: str) -> None:
        """Closes a connection on which foreign bytes have arrived."""
        connection.on_idle_end = connection.on_idle_bytes = None
        with contextlib.suppress(ValueError):
            self.idle.remove(connection)
        connection.abort()
        eliot.log_message(
            'backend:foreign_response', server=self.server, reason=reason
        )
        self.suspend_reuse()

    def suspend_reuse(self) -> None:
        """Keeps no connections for a while, and closes the idle ones."""
        self.single_use_until = self.timers.now() + SINGLE_USE_SECONDS
        while self.idle:
            self.close_one(self.idle.pop())

    def record_idle_end(self, connection: Connection) -> None:
        """Shortens the idle time after a server has closed a connection."""
        connection.on_idle_end = connection.on_idle_bytes = None
        with contextlib.suppress(ValueError):
            self.idle.remove(connection)
        seconds = self.timers.now() - connection.idle_since
        self.long_idle_seconds = max(
            self.idle_seconds,
            min(self.long_idle_seconds, seconds * SAFE_IDLE_SHARE),
        )

    def close_expired(self) -> None:
        """Closes the connections that were idle for too long."""
        now = self.timers.now()
        while self.idle:
            is_long_idle = len(self.idle) <= LONG_IDLE_CONNECTIONS
            seconds = (
                self.long_idle_seconds if is_long_idle else self.idle_seconds
            )
            if now - self.idle[0].idle_since <= seconds:
                break
            self.close_one(self.idle.popleft())

    def close(self) -> None:
        """Closes the idle connections."""
        self.max_idle = 0
        while self.idle:
            self.close_one(self.idle.pop())

    @staticmethod
    def close_one(connection: Connection) -> None:
        connection.on_idle_end = connection.on_idle_bytes = None
        connection.abort()


async def connect(host: str, port: int, seconds: float) -> Connection:
    """Opens a connection.

    :raises httpcore.ConnectError: if there is none.
    :raises httpcore.ConnectTimeout: if there is none in time.
    """
    loop = asyncio.get_running_loop()
    with anyio.move_on_after(seconds):
        try:
            _, connection = await loop.create_connection(
                Connection, host, port
            )
        except OSError as error:
            raise httpcore.ConnectError(f'{host}:{port}: {error}') from error
        return connection
    raise httpcore.ConnectTimeout(
        f'{host}:{port}: no connection within {seconds:g} s'
    )
