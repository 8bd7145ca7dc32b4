"""Serves an ASGI application with hypercorn's HTTP/1.1."""

import asyncio
import collections.abc
import dataclasses
import socket
import typing

import anyio
from hypercorn import app_wrappers
from hypercorn.asyncio import worker_context
import hypercorn.config

from .. import connection_limit
from .. import request_memory
from .. import timers as timer_service
from . import acceptor
from . import client_connection
from . import request_body

MAX_KEEP_ALIVE_REQUESTS = 100000
BACKLOG = 1024
# Parts of a body that wait for the application, each of one read or chunk.
MAX_QUEUED_PARTS = 2
# Time that a cancelled server leaves its open requests.
ABORT_GRACE_SECONDS = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSettings:
    """Limits of a server.

    :ivar header_bytes: maximal size of a request's headers.
    :ivar idle_seconds: keep-alive timeout of an idle connection.
    :ivar stop_seconds: time for open requests to end after a stop.
    """

    header_bytes: int
    idle_seconds: float
    stop_seconds: float


class Server:
    """A listening server.

    :ivar connections: those that are open.
    :ivar is_stopping: whether connections close as soon as they are idle.
    """

    def __init__(
        self,
        application: typing.Any,
        address: tuple[str, int],
        settings: ServerSettings,
        limit: connection_limit.ConnectionLimit,
        timers: timer_service.Timers,
    ) -> None:
        self.family = socket.AF_INET6 if ':' in address[0] else socket.AF_INET
        self.address = address
        self.settings = settings
        self.limit = limit
        self.memory: request_memory.RequestMemory = limit.memory
        self.timers = timers
        self.config = make_config(settings)
        self.context = worker_context.WorkerContext(None)
        self.application = app_wrappers.ASGIWrapper(
            request_body.limit_body(application)
        )
        self.connections: set[client_connection.ClientConnection] = set()
        self.is_stopping = False
        self.stop_seconds = settings.stop_seconds

    def listen(self) -> socket.socket:
        """Returns a listening socket.

        :raises OSError: if the address cannot be used.
        """
        listener = socket.socket(self.family, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # Accepted sockets inherit it.
            listener.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                request_memory.KERNEL_BUFFER_BYTES,
            )
            listener.setblocking(False)
            listener.bind(self.address)
            listener.listen(BACKLOG)
        except BaseException:
            listener.close()
            raise
        return listener

    async def run(
        self,
        stop: collections.abc.Callable[
            [], collections.abc.Awaitable[typing.Any]
        ],
    ) -> None:
        """Serves until ``stop`` returns and the open requests have ended."""
        connections = acceptor.Acceptor(
            self.listen(),
            lambda: client_connection.ClientConnection(self),
            self.limit,
            self.timers,
        )
        connections.start()
        try:
            await stop()
        except anyio.get_cancelled_exc_class():
            self.stop_seconds = ABORT_GRACE_SECONDS
            raise
        finally:
            with anyio.CancelScope(shield=True):
                await connections.close()
                await self.stop_connections()

    async def stop_connections(self) -> None:
        """Ends the idle connections, then those whose requests have ended."""
        self.is_stopping = True
        await self.context.terminated.set()
        for one in [*self.connections]:
            one.stop()
        tasks = [one.task for one in self.connections]
        if not tasks:
            return
        _, running = await asyncio.wait(tasks, timeout=self.stop_seconds)
        for one in running:
            one.cancel()
        if running:
            await asyncio.wait(running)


def make_config(settings: ServerSettings) -> hypercorn.config.Config:
    config = hypercorn.config.Config()
    config.h11_max_incomplete_size = settings.header_bytes
    config.keep_alive_timeout = settings.idle_seconds
    config.keep_alive_max_requests = MAX_KEEP_ALIVE_REQUESTS
    config.max_app_queue_size = MAX_QUEUED_PARTS
    config.include_server_header = False
    config.errorlog = None
    config.accesslog = None
    return config


async def serve(
    application: typing.Any,
    address: tuple[str, int],
    settings: ServerSettings,
    stop: collections.abc.Callable[[], collections.abc.Awaitable[typing.Any]],
    limit: connection_limit.ConnectionLimit,
    timers: timer_service.Timers,
) -> None:
    """Serves until ``stop`` returns and the open requests have ended."""
    await Server(application, address, settings, limit, timers).run(stop)
