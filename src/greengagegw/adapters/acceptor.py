"""Accepts the connections of a listening socket."""

import asyncio
import collections.abc
import socket

import eliot

from .. import connection_limit
from .. import timers as timer_service

# Pause after a failure, such as the lack of a descriptor.
RETRY_SECONDS = 0.1


class Acceptor:
    """Accepts connections while the limit has room for them.

    A server of asyncio accepts all that wait at once. At the limit, a
    connection would then be closed for a later one before its request is
    read. The others wait in the backlog of the socket here.

    :param make_protocol: returns the protocol of a connection.
    :ivar opening: connections that are accepted and not admitted yet.
    """

    def __init__(
        self,
        listener: socket.socket,
        make_protocol: collections.abc.Callable[[], asyncio.BaseProtocol],
        limit: connection_limit.ConnectionLimit,
        timers: timer_service.Timers,
    ) -> None:
        self.listener = listener
        self.make_protocol = make_protocol
        self.limit = limit
        self.timers = timers
        self.loop = asyncio.get_running_loop()
        self.opening: set[asyncio.Task] = set()
        self.timer: timer_service.Timer | None = None

    def start(self) -> None:
        self.loop.add_reader(self.listener, self.accept)

    def pause(self, seconds: float) -> None:
        self.loop.remove_reader(self.listener)
        self.timer = self.timers.call_later(seconds, self.start)

    async def close(self) -> None:
        """Closes the socket, and waits for what is accepted already."""
        if self.timer is not None:
            self.timer.cancel()
        self.loop.remove_reader(self.listener)
        self.listener.close()
        if self.opening:
            await asyncio.wait(self.opening)

    def accept(self) -> None:
        """Accepts what waits, as far as there is room."""
        limit = self.limit
        while True:
            opening = len(self.opening)
            seconds = limit.seconds_until_room(opening)
            if seconds > 0:
                self.pause(seconds)
                return
            if opening and (
                len(limit.connections) + opening >= limit.max_connections
            ):
                # The next one gives way only once these are admitted.
                return
            try:
                connection, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                eliot.log_message('server:not_accepted', reason=str(error))
                self.pause(RETRY_SECONDS)
                return
            connection.setblocking(False)
            task = self.loop.create_task(self.open(connection))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)

    async def open(self, connection: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(
                self.make_protocol, connection
            )
        except OSError as error:
            connection.close()
            eliot.log_message('server:not_accepted', reason=str(error))
