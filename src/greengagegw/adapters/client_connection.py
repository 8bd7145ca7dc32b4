"""One connection of a client, between its socket and hypercorn's HTTP/1.1.

It buffers a bounded part of what the client sends and of what it does not
read, and counts both in the account of the requests' memory.
"""

import asyncio
import collections.abc
import typing

import eliot
from hypercorn.asyncio import task_group
from hypercorn import events
from hypercorn.protocol import h11 as h11_protocol
from hypercorn.typing import ConnectionState
from hypercorn import utils

from .. import connection_limit
from .. import request_memory
from .. import timers as timer_service

if typing.TYPE_CHECKING:
    from . import servers

# What one read of the socket returns at most, and what the protocol gets.
SOCKET_READ_BYTES = 8 * 1024
# Reading pauses while so much waits for the protocol.
MAX_UNREAD_BYTES = 8 * 1024
# Writing waits while the client has so much to read.
MAX_UNSENT_BYTES = 32 * 1024
# A connection is closed if its client reads nothing for so long. Clients read
# events as they arrive, and give up streams without events sooner.
SEND_STALL_SECONDS = 20.0
# How much of a rejected body is discarded, how long, and without a pause.
# Closing a connection with unread bytes resets it, and the client may then
# never receive the response.
LINGER_BYTES = 16 * 1024 * 1024
LINGER_SECONDS = 10.0
LINGER_PAUSE_SECONDS = 1.0

# All connections of the event loop read into one buffer, one after another.
socket_buffer = bytearray(SOCKET_READ_BYTES)


class Http1Protocol(h11_protocol.H11Protocol):
    """HTTP/1.1 that ignores offers to use HTTP/2."""

    async def _check_protocol(self, event: typing.Any) -> None:
        """Goes on in HTTP/1.1, as a server may that does not upgrade."""


class ClientConnection(asyncio.BufferedProtocol):
    """A connection of a client.

    :ivar unread: bytes that the protocol has not taken.
    :ivar is_discarding: whether what arrives is not read any more.
    :ivar is_active: whether a request is being handled.
    """

    def __init__(self, server: 'servers.Server') -> None:
        self.server = server
        self.transport: typing.Any = None
        self.unread = bytearray()
        self.is_ended = False
        self.is_paused = False
        self.is_discarding = False
        self.is_lingering = False
        self.discarded_bytes = 0
        self.discarded_at = 0.0
        self.is_active = False
        self.arrived = asyncio.Event()
        self.writable = asyncio.Event()
        self.writable.set()
        self.send_lock = asyncio.Lock()
        self.idle_timer: timer_service.Timer | None = None
        self.on_reject: collections.abc.Callable[[], None] | None = None
        self.http: Http1Protocol | None = None
        self.task: asyncio.Task | None = None
        self.holding: typing.Any = None
        self.entry: typing.Any = None

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.transport.set_write_buffer_limits(MAX_UNSENT_BYTES)
        peer = transport.get_extra_info('peername')
        self.holding = self.server.memory.open(
            str(peer[0]) if peer else '', self.give_way
        )
        self.entry = connection_limit.Connection(
            self.holding, self.transport.abort
        )
        if not self.server.limit.admit(self.entry):
            self.transport.abort()
            return
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(self.run())
        self.server.connections.add(self)
        self.task.add_done_callback(
            lambda _: self.server.connections.discard(self)
        )

    def get_buffer(self, size_hint: int) -> bytearray:
        return socket_buffer

    def buffer_updated(self, count: int) -> None:
        if self.is_discarding:
            self.discarded_bytes += count
            self.discarded_at = self.server.timers.now()
            return
        self.unread += memoryview(socket_buffer)[:count]
        if self.holding.phase is request_memory.Phase.IDLE:
            self.holding.phase = request_memory.Phase.ARRIVING
        self.arrived.set()
        if len(self.unread) >= MAX_UNREAD_BYTES and not self.is_paused:
            self.is_paused = True
            self.transport.pause_reading()
            if self.holding.phase is request_memory.Phase.RUNNING:
                # The client sends ahead of the response.
                self.holding.phase = request_memory.Phase.STALLED
                count += request_memory.KERNEL_BUFFER_BYTES
        self.server.memory.add(self.holding, count)

    def eof_received(self) -> bool:
        self.is_ended = True
        self.arrived.set()
        # The response may still have to be sent.
        return not self.is_lingering

    def connection_lost(self, error: Exception | None) -> None:
        self.is_ended = True
        self.arrived.set()
        self.writable.set()
        self.cancel_idle_timer()
        self.server.memory.close(self.holding)
        self.server.limit.remove(self.entry)

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()

    # The protocol.

    async def run(self) -> None:
        """Serves the connection until it ends."""
        loop = asyncio.get_running_loop()
        try:
            client, server = (
                utils.parse_socket_addr(
                    self.server.family, self.transport.get_extra_info(name)
                )
                for name in ('peername', 'sockname')
            )
            async with task_group.TaskGroup(loop) as tasks:
                self.http = Http1Protocol(
                    self.server.application,
                    self.server.config,
                    self.server.context,
                    tasks,
                    ConnectionState({'connection': self}),
                    False,
                    client,
                    server,
                    self.handle_event,
                )
                self.start_idle_timer()
                await self.read()
        except OSError:
            pass
        except Exception:
            # An unexpected error ends no more than this connection.
            eliot.write_traceback()
        finally:
            self.close()
            # The protocol refers to this connection. Without the cycle its
            # buffers are freed at once.
            self.http = None

    async def read(self) -> None:
        """Passes what arrives to the protocol."""
        while True:
            while not self.unread and not self.is_ended:
                self.arrived.clear()
                await self.arrived.wait()
            if not self.unread:
                break
            data = bytes(self.unread)
            self.unread.clear()
            stalled = request_memory.Phase.STALLED
            if self.holding.phase is stalled and self.writable.is_set():
                self.holding.phase = request_memory.Phase.RUNNING
            self.resume_reading()
            await self.http.handle(events.RawData(data))
        await self.http.handle(events.Closed())

    def resume_reading(self) -> None:
        if self.is_paused and not self.transport.is_closing():
            self.is_paused = False
            self.transport.resume_reading()

    async def handle_event(self, event: events.Event) -> None:
        """Carries out what the protocol wants."""
        if isinstance(event, events.RawData):
            async with self.send_lock:
                await self.send(event.data)
        elif isinstance(event, events.Closed):
            self.close()
        elif isinstance(event, events.Updated):
            if event.idle:
                self.end_request()
            else:
                self.begin_request()

    async def send(self, data: bytes) -> None:
        """Writes data, and waits while the client does not read."""
        if self.transport.is_closing():
            await self.http.handle(events.Closed())
            return
        self.transport.write(data)
        if not self.writable.is_set():
            await self.wait_writable()

    async def wait_writable(self) -> None:
        """Waits until the client has read, or has not for too long."""
        memory, holding = self.server.memory, self.holding
        phase = holding.phase
        unsent = self.transport.get_write_buffer_size()
        if phase is not request_memory.Phase.REJECTED:
            holding.phase = request_memory.Phase.STALLED
        added = unsent + request_memory.RESPONSE_BUFFER_BYTES
        memory.add(holding, added)
        while not self.writable.is_set():
            with self.server.timers.move_on_after(SEND_STALL_SECONDS):
                await self.writable.wait()
            left = self.transport.get_write_buffer_size()
            if not self.writable.is_set() and left >= unsent:
                memory.rejections['unread'] += 1
                self.transport.abort()
                break
            unsent = left
        if holding.phase is request_memory.Phase.STALLED:
            holding.phase = phase
            memory.set_size(holding, max(0, holding.size - added))

    # Requests.

    def begin_request(self) -> None:
        self.is_active = True
        self.cancel_idle_timer()
        self.server.limit.stop_waiting(self.entry)
        if not self.is_rejected:
            self.holding.phase = request_memory.Phase.RUNNING

    def end_request(self) -> None:
        """Counts only what has arrived of the next request."""
        self.is_active = False
        self.on_reject = None
        self.entry.has_served = True
        self.reset_holding()
        self.server.limit.start_waiting(self.entry)
        if self.server.is_stopping:
            self.close()
        else:
            self.start_idle_timer()

    @property
    def is_rejected(self) -> bool:
        """Whether the request had to give way."""
        return self.holding.phase is request_memory.Phase.REJECTED

    def start_body(
        self, on_reject: collections.abc.Callable[[], None]
    ) -> None:
        """Notes that the body of the request is being kept.

        :param on_reject: called if the request has to give way.
        """
        self.on_reject = on_reject
        if self.is_rejected:
            on_reject()
        else:
            self.holding.phase = request_memory.Phase.ARRIVING

    def end_body(self, size: int) -> bool:
        """Notes that the request has arrived and will run.

        :returns: False if there is no room for it.
        """
        self.on_reject = None
        return not self.is_rejected and self.server.memory.begin_running(
            self.holding, size
        )

    def extend(self, count: int) -> bool:
        """Counts bytes that the request needs beside its body.

        :returns: False if there is no room for them.
        """
        return self.server.memory.extend(self.holding, count)

    def start_discarding(self) -> None:
        """Reads no more of a request whose response ends before its body."""
        self.on_reject = None
        self.server.memory.set_size(self.holding, 0)
        self.holding.phase = request_memory.Phase.REJECTED
        self.is_discarding = True
        self.discarded_at = self.server.timers.now()
        self.unread.clear()
        self.resume_reading()

    def reset_holding(self) -> None:
        self.server.memory.set_size(self.holding, len(self.unread))
        self.holding.phase = (
            request_memory.Phase.ARRIVING
            if self.unread
            else request_memory.Phase.IDLE
        )

    def give_way(self) -> None:
        """Rejects the request that arrives, or closes the connection."""
        if self.on_reject is not None:
            self.on_reject()
        else:
            self.transport.abort()

    def start_idle_timer(self) -> None:
        self.cancel_idle_timer()
        self.idle_timer = self.server.timers.call_later(
            self.server.config.keep_alive_timeout, self.close
        )

    def cancel_idle_timer(self) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self.idle_timer = None

    def stop(self) -> None:
        """Closes the connection, unless a request is being handled."""
        if not self.is_active:
            self.close()

    def close(self) -> None:
        """Closes the connection once all is sent that can be."""
        self.cancel_idle_timer()
        has_ended, self.is_ended = self.is_ended, True
        self.arrived.set()
        if self.transport.is_closing() or self.is_lingering:
            return
        if self.is_discarding and not has_ended:
            self.linger()
            return
        self.transport.close()
        if self.transport.get_write_buffer_size():
            self.server.timers.call_later(
                SEND_STALL_SECONDS, self.transport.abort
            )

    def linger(self) -> None:
        """Ends the response, and closes when the client stops sending."""
        self.is_lingering = True
        self.transport.write_eof()
        self.server.limit.start_waiting(self.entry)
        now = self.server.timers.now()
        self.end_linger(now + LINGER_SECONDS)

    def end_linger(self, ends_at: float) -> None:
        """Closes the connection if it is time, or looks again later."""
        now = self.server.timers.now()
        if (
            now >= ends_at
            or now - self.discarded_at >= LINGER_PAUSE_SECONDS
            or self.discarded_bytes > LINGER_BYTES
            or self.transport.is_closing()
        ):
            self.transport.abort()
        else:
            self.server.timers.call_later(
                LINGER_PAUSE_SECONDS, lambda: self.end_linger(ends_at)
            )
